//! Files in the data folder besides the replicated log: the id of the VM, the known VMs and
//! targets, and the applied configuration. They let a restarted VM serve calls before it has found
//! a leader.

use std::{cell, collections, fs, io, path, rc, time};

use prost::Message;
use rand::{Rng, SeedableRng, rngs};
use wagtailshunt_core::{formation, state_machine, types};
use wagtailshunt_wire::{self as wire, generated::fleet};

use crate::entry::{cold_targets, leader_sync, state, targets};

const ID_FILE: &str = "vm-id";
const ROSTER_FILE: &str = "roster";
const TARGETS_FILE: &str = "targets";
const CONFIGURATION_FILE: &str = "configuration";

/// Interval at which a file that could not be written is written again.
const WRITE_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Errors of the file with the VM's id.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file does not contain an id.
    #[error("{0} does not contain the id of a VM")]
    Content(path::PathBuf),
}

/// Returns a random id: for a VM with an empty disk, or for one process on a VM without a disk.
pub fn random_id() -> types::VmId {
    // Messages use 0 for no VM.
    types::VmId(rngs::SmallRng::from_os_rng().random_range(1..=u32::MAX))
}

/// Returns the id stored in the data folder; stores a new one when there is none.
///
/// # Errors
///
/// Returns an error when the file cannot be read, written or synced, or contains no id.
pub fn vm_id(folder: &path::Path) -> Result<types::VmId, Error> {
    let path = folder.join(ID_FILE);
    match fs::read_to_string(&path) {
        Ok(text) => match text.trim().parse() {
            Ok(id) => Ok(types::VmId(id)),
            Err(_) => Err(Error::Content(path)),
        },
        Err(err) if err.kind() == io::ErrorKind::NotFound => {
            let id = random_id();
            write(folder, ID_FILE, id.to_string().as_bytes())?;
            Ok(id)
        }
        Err(err) => Err(err.into()),
    }
}

/// Replaces a file atomically: after a loss of power it has either the old or the new content.
fn write(folder: &path::Path, name: &str, content: &[u8]) -> io::Result<()> {
    let new = folder.join(format!("{name}.new"));
    let mut file = fs::File::create(&new)?;
    io::Write::write_all(&mut file, content)?;
    file.sync_all()?;
    fs::rename(&new, folder.join(name))?;
    fs::File::open(folder)?.sync_all()
}

/// Reads a file with one encoded message; `None` when there is no valid one.
fn read<M: Message + Default>(state: &state::State, name: &str) -> Option<M> {
    let folder = state.cfg.data_folder.as_ref()?;
    let content = match fs::read(folder.join(name)) {
        Ok(content) => content,
        Err(err) if err.kind() == io::ErrorKind::NotFound => return None,
        Err(err) => {
            log::warn!("cannot read file {name}: {err}; starting without its content");
            return None;
        }
    };
    match M::decode(&content[..]) {
        Ok(message) => Some(message),
        Err(err) => {
            log::warn!("cannot decode file {name}: {err}; starting without its content");
            None
        }
    }
}

/// Files whose content in memory is newer than on the disk.
#[derive(Debug, Default)]
pub struct Unsaved {
    /// Known VMs that are eligible as voters.
    pub roster: cell::Cell<bool>,
    /// Known targets.
    pub targets: cell::Cell<bool>,
    /// Applied configuration.
    pub configuration: cell::Cell<bool>,
    /// Files that are being written. A concurrent second write could finish before the first one.
    writing: cell::RefCell<collections::BTreeSet<&'static str>>,
    /// Files whose last write failed.
    failed: cell::RefCell<collections::BTreeSet<&'static str>>,
}

impl Unsaved {
    /// Returns whether all files are up to date on the disk.
    pub fn is_stored(&self) -> bool {
        let flags = [&self.roster, &self.targets, &self.configuration];
        flags.iter().all(|unsaved| !unsaved.get()) && self.writing.borrow().is_empty()
    }

    fn flag(&self, name: &'static str) -> &cell::Cell<bool> {
        match name {
            ROSTER_FILE => &self.roster,
            TARGETS_FILE => &self.targets,
            _ => &self.configuration,
        }
    }

    /// Returns whether a file must be written now, and clears its flag. A file that is being
    /// written keeps its flag.
    fn start_save(&self, name: &'static str, unsaved: &cell::Cell<bool>) -> bool {
        !self.writing.borrow().contains(name) && unsaved.replace(false)
    }
}

/// Writes a file in the background. A file that cannot be written, for example on a full disk, is
/// written again: a restart must not bring back what has been withdrawn since.
fn write_later(state: &rc::Rc<state::State>, name: &'static str, content: Vec<u8>) {
    let Some(folder) = state.cfg.data_folder.clone() else {
        return;
    };
    let state = state.clone();
    state.unsaved.writing.borrow_mut().insert(name);
    compio::runtime::spawn(async move {
        let task = compio::runtime::spawn_blocking(move || write(&folder, name, &content));
        match task.await {
            Ok(Ok(())) => {
                state.unsaved.failed.borrow_mut().remove(name);
            }
            Ok(Err(err)) => write_failed(&state, name, &err.to_string()).await,
            Err(_) => write_failed(&state, name, "task ended").await,
        }
        state.unsaved.writing.borrow_mut().remove(name);
    })
    .detach();
}

/// Schedules a file to be written again. Logs only the first of several failures in a row.
async fn write_failed(state: &state::State, name: &'static str, reason: &str) {
    if state.unsaved.failed.borrow_mut().insert(name) {
        log::warn!("cannot write {name}: {reason}; retrying every {WRITE_RETRY_INTERVAL:?}");
    }
    compio::time::sleep(WRITE_RETRY_INTERVAL).await;
    state.unsaved.flag(name).set(true);
}

/// Loads the VMs that were known before the restart.
pub fn load_roster(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    let roster: fleet::Roster = read(state, ROSTER_FILE).unwrap_or_default();
    for vm in roster.vms {
        match wire::fleet::decode_vm(vm) {
            Ok(vm) if vm.peer_address != state.cfg.peer_address => {
                state.with(|inner| inner.roster.learn(now, &vm, formation::Source::Forwarded));
            }
            Ok(_) => {}
            Err(err) => log::warn!("cannot decode a VM of the stored roster: {err}; ignored"),
        }
    }
}

/// Stores the VMs that are eligible as voters if they changed.
pub fn save_roster(state: &rc::Rc<state::State>) {
    if !state.unsaved.start_save(ROSTER_FILE, &state.unsaved.roster) {
        return;
    }
    let vms = state.with(|inner| {
        let vms = inner.roster.eligible().into_iter();
        vms.map(wire::fleet::encode_vm).collect()
    });
    write_later(state, ROSTER_FILE, fleet::Roster { vms }.encode_to_vec());
}

/// Loads the targets that were known before the restart, so that calls need not wait until all of
/// them have announced themselves again. A target that no longer exists fails its first call. If
/// another target has its address now, that one refuses the call, since the call names the expected
/// target.
pub fn load_targets(state: &rc::Rc<state::State>) {
    let known: fleet::State = read(state, TARGETS_FILE).unwrap_or_default();
    let mut announcements = Vec::new();
    for report in known.reports {
        match wire::fleet::decode_announcement(report) {
            Ok(announcement) => announcements.push(announcement),
            Err(err) => log::warn!("cannot decode a stored target: {err}; ignored"),
        }
    }
    targets::register_all(state, announcements, "stored");
}

/// Stores the known targets if they changed.
pub fn save_targets(state: &rc::Rc<state::State>) {
    if !state
        .unsaved
        .start_save(TARGETS_FILE, &state.unsaved.targets)
    {
        return;
    }
    let now = state.clock.now();
    let reports = state.with(|inner| {
        let known = inner.directory.targets();
        known
            .map(|known| cold_targets::encode_known(inner, now, known))
            .collect()
    });
    let known = fleet::State {
        reports,
        ..fleet::State::default()
    };
    write_later(state, TARGETS_FILE, known.encode_to_vec());
}

/// Loads the configuration that was applied before the restart, so that calls need not wait for a
/// leader. It was committed, so the log of the group contains it and continues from there.
pub fn load_configuration(state: &rc::Rc<state::State>) {
    let known: fleet::State = read(state, CONFIGURATION_FILE).unwrap_or_default();
    if known.applied == 0 {
        return;
    }
    match state_machine::StateMachine::restore(&known.snapshot) {
        Ok(machine) => leader_sync::install_state(state, types::LogIndex(known.applied), machine),
        Err(err) => log::warn!(
            "cannot decode the stored configuration: {err}; waiting for one from the group"
        ),
    }
}

/// Stores the applied configuration if it changed.
pub fn save_configuration(state: &rc::Rc<state::State>) {
    if !state
        .unsaved
        .start_save(CONFIGURATION_FILE, &state.unsaved.configuration)
    {
        return;
    }
    let known = state.with(|inner| {
        let snapshot = inner.machine.snapshot();
        snapshot.map(|snapshot| fleet::State {
            applied: inner.applied.0,
            snapshot,
            ..fleet::State::default()
        })
    });
    match known {
        Ok(known) => write_later(state, CONFIGURATION_FILE, known.encode_to_vec()),
        Err(err) => log::error!(
            "cannot encode the configuration to store it: {err}; retrying at its next change"
        ),
    }
}
