//! What an entry VM keeps besides the replicated log: its id and the VMs that it knows.

use std::{fs, io, path, rc};

use prost::Message;
use rand::{Rng, SeedableRng, rngs};
use wagtailshunt_core::{formation, types};
use wagtailshunt_wire::{self as wire, generated::fleet};

use crate::entry::state;

const ID_FILE: &str = "vm-id";
const ROSTER_FILE: &str = "roster";

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

/// Takes over the VMs that were known before the restart.
pub fn load_roster(state: &rc::Rc<state::State>) {
    let Some(folder) = &state.cfg.data_folder else {
        return;
    };
    let content = match fs::read(folder.join(ROSTER_FILE)) {
        Ok(content) => content,
        Err(err) if err.kind() == io::ErrorKind::NotFound => return,
        Err(err) => {
            log::warn!("known VMs cannot be read, the seeds remain: {err}");
            return;
        }
    };
    let vms = match fleet::Roster::decode(&content[..]) {
        Ok(roster) => roster.vms,
        Err(err) => {
            log::warn!("known VMs cannot be read, the seeds remain: {err}");
            return;
        }
    };
    let now = state.clock.now();
    for vm in vms {
        match wire::fleet::decode_vm(vm) {
            Ok(vm) if vm.peer_address != state.cfg.peers => {
                state.with(|inner| inner.roster.learn(now, &vm, formation::Source::PassedOn));
            }
            Ok(_) => {}
            Err(err) => log::warn!("known VM cannot be read: {err}"),
        }
    }
}

/// Keeps the known VMs with disks when they changed.
pub fn save_roster(state: &rc::Rc<state::State>) {
    let Some(folder) = state.cfg.data_folder.clone() else {
        return;
    };
    if !state.roster_due.replace(false) {
        return;
    }
    let vms = state.with(|inner| {
        inner
            .roster
            .with_disk()
            .map(wire::fleet::encode_vm)
            .collect()
    });
    let content = fleet::Roster { vms }.encode_to_vec();
    compio::runtime::spawn(async move {
        let task = compio::runtime::spawn_blocking(move || write(&folder, ROSTER_FILE, &content));
        match task.await {
            Ok(Ok(())) => {}
            Ok(Err(err)) => log::warn!("known VMs cannot be stored: {err}"),
            Err(_) => log::warn!("known VMs cannot be stored: the task ended"),
        }
    })
    .detach();
}
