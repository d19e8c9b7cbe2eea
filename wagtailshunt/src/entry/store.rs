//! What an entry VM keeps besides the replicated log: its id, the VMs and targets that it knows, and the
//! configuration that it serves by.

use std::{cell, collections, fs, io, path, rc};

use prost::Message;
use rand::{Rng, SeedableRng, rngs};
use wagtailshunt_core::{formation, state_machine, types};
use wagtailshunt_wire::{self as wire, generated::fleet};

use crate::entry::{feed, state, targets};

const ID_FILE: &str = "vm-id";
const ROSTER_FILE: &str = "roster";
const TARGETS_FILE: &str = "targets";
const CONFIGURATION_FILE: &str = "configuration";

/// Errors of the file with the VM's id.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file doesn't hold an id.
    #[error("{0} doesn't hold an id")]
    Content(path::PathBuf),
}

/// Draws an id for the life of a disk, or of a process without one.
pub fn draw_id() -> types::VmId {
    // 0 means none in messages.
    types::VmId(rngs::SmallRng::from_os_rng().random_range(1..=u32::MAX))
}

/// Returns the id in the data folder, drawing one on an empty disk.
///
/// # Errors
///
/// When the file cannot be read, written or synced.
pub fn vm_id(folder: &path::Path) -> Result<types::VmId, Error> {
    let path = folder.join(ID_FILE);
    match fs::read_to_string(&path) {
        Ok(text) => match text.trim().parse() {
            Ok(id) => Ok(types::VmId(id)),
            Err(_) => Err(Error::Content(path)),
        },
        Err(err) if err.kind() == io::ErrorKind::NotFound => {
            let id = draw_id();
            write(folder, ID_FILE, id.to_string().as_bytes())?;
            Ok(id)
        }
        Err(err) => Err(err.into()),
    }
}

/// Replaces a file so that after a loss of power the old or the new content is there.
fn write(folder: &path::Path, name: &str, content: &[u8]) -> io::Result<()> {
    let new = folder.join(format!("{name}.new"));
    let mut file = fs::File::create(&new)?;
    io::Write::write_all(&mut file, content)?;
    file.sync_all()?;
    fs::rename(&new, folder.join(name))?;
    fs::File::open(folder)?.sync_all()
}

/// Reads a file with one message; `None` when there is none that can be used.
fn read<M: Message + Default>(state: &state::State, name: &str) -> Option<M> {
    let folder = state.cfg.data_folder.as_ref()?;
    let content = match fs::read(folder.join(name)) {
        Ok(content) => content,
        Err(err) if err.kind() == io::ErrorKind::NotFound => return None,
        Err(err) => {
            log::warn!("{name} of the last start cannot be read: {err}");
            return None;
        }
    };
    match M::decode(&content[..]) {
        Ok(message) => Some(message),
        Err(err) => {
            log::warn!("{name} of the last start cannot be read: {err}");
            None
        }
    }
}

/// Files whose content in memory is newer than on the disk.
#[derive(Debug, Default)]
pub struct Due {
    /// VMs that may vote.
    pub roster: cell::Cell<bool>,
    /// Targets.
    pub targets: cell::Cell<bool>,
    /// Configuration in place.
    pub configuration: cell::Cell<bool>,
    /// Files that are being written; a second write at the same time could end before the first.
    writing: cell::RefCell<collections::BTreeSet<&'static str>>,
}

impl Due {
    /// Returns whether everything is on the disk.
    pub fn is_stored(&self) -> bool {
        let due = [&self.roster, &self.targets, &self.configuration];
        due.iter().all(|due| !due.get()) && self.writing.borrow().is_empty()
    }

    /// Takes the duty to write a file, unless it is being written.
    fn take(&self, name: &'static str, due: &cell::Cell<bool>) -> bool {
        !self.writing.borrow().contains(name) && due.replace(false)
    }
}

/// Writes a file with one message in the background.
fn write_later(state: &rc::Rc<state::State>, name: &'static str, content: Vec<u8>) {
    let Some(folder) = state.cfg.data_folder.clone() else {
        return;
    };
    let state = state.clone();
    state.due.writing.borrow_mut().insert(name);
    compio::runtime::spawn(async move {
        let task = compio::runtime::spawn_blocking(move || write(&folder, name, &content));
        match task.await {
            Ok(Ok(())) => {}
            Ok(Err(err)) => log::warn!("{name} cannot be stored: {err}"),
            Err(_) => log::warn!("{name} cannot be stored: the task ended"),
        }
        state.due.writing.borrow_mut().remove(name);
    })
    .detach();
}

/// Takes over the VMs that were known before the restart.
pub fn load_roster(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    let roster: fleet::Roster = read(state, ROSTER_FILE).unwrap_or_default();
    for vm in roster.vms {
        match wire::fleet::decode_vm(vm) {
            Ok(vm) if vm.peer_address != state.cfg.peers => {
                state.with(|inner| inner.roster.learn(now, &vm, formation::Source::Forwarded));
            }
            Ok(_) => {}
            Err(err) => log::warn!("known VM cannot be read: {err}"),
        }
    }
}

/// Keeps the known VMs that may vote when they changed.
pub fn save_roster(state: &rc::Rc<state::State>) {
    if !state.due.take(ROSTER_FILE, &state.due.roster) {
        return;
    }
    let vms = state.with(|inner| {
        let vms = inner.roster.eligible().into_iter();
        vms.map(wire::fleet::encode_vm).collect()
    });
    write_later(state, ROSTER_FILE, fleet::Roster { vms }.encode_to_vec());
}

/// Takes over the targets that were known before the restart, so that calls needn't wait until all of
/// them have announced themselves again. One that is gone is found by its first call; one whose
/// address another target has refuses calls that aren't meant for it.
pub fn load_targets(state: &rc::Rc<state::State>) {
    let known: fleet::State = read(state, TARGETS_FILE).unwrap_or_default();
    for report in known.reports {
        match wire::fleet::decode_report(report) {
            Ok(report) => targets::recalled(state, report),
            Err(err) => log::warn!("known target cannot be read: {err}"),
        }
    }
}

/// Keeps the known targets when they changed.
pub fn save_targets(state: &rc::Rc<state::State>) {
    if !state.due.take(TARGETS_FILE, &state.due.targets) {
        return;
    }
    let reports = state.with(|inner| {
        let known = inner.directory.targets();
        known
            .map(|known| wire::fleet::encode_report(&known.announcement))
            .collect()
    });
    let known = fleet::State {
        reports,
        ..fleet::State::default()
    };
    write_later(state, TARGETS_FILE, known.encode_to_vec());
}

/// Takes over the configuration of the last start, so that calls needn't wait for a leader. It was
/// committed, so the log of the group contains it and goes on from there.
pub fn load_configuration(state: &rc::Rc<state::State>) {
    let known: fleet::State = read(state, CONFIGURATION_FILE).unwrap_or_default();
    if known.applied == 0 {
        return;
    }
    match state_machine::StateMachine::restore(&known.snapshot) {
        Ok(machine) => feed::take_over(state, types::LogIndex(known.applied), machine),
        Err(err) => log::warn!("configuration of the last start cannot be read: {err}"),
    }
}

/// Keeps the configuration in place when it changed.
pub fn save_configuration(state: &rc::Rc<state::State>) {
    if !state.due.take(CONFIGURATION_FILE, &state.due.configuration) {
        return;
    }
    let known = state.with(|inner| {
        let snapshot = inner.machine.snapshot();
        snapshot.map(|snapshot| fleet::State {
            applied: inner.applied.0,
            snapshot,
            reports: Vec::new(),
        })
    });
    match known {
        Ok(known) => write_later(state, CONFIGURATION_FILE, known.encode_to_vec()),
        Err(err) => log::error!("configuration cannot be encoded: {err}"),
    }
}
