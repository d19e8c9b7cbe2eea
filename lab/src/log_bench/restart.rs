//! Measures the restart of a node from a log on a real disk.

use std::{fs, path, time};

use bytes::Bytes;
use wagtailshunt::disk;
use wagtailshunt_core::time::Instant;
use wagtailshunt_core::{replication, storage, types};

use super::{Error, Restart, unused_folder};

/// Size of each command in bytes.
const COMMAND_BYTES: usize = 256;

/// Number of entries per batch while the log is written.
const BATCH_ENTRIES: u64 = 64;

const GROUP: types::GroupId = types::GroupId(0);

/// Writes a log of `entries` entries without a snapshot below `parent`, and measures a restart from
/// it.
///
/// The files are read from the page cache, as after a restart of the process without a reboot.
///
/// # Errors
///
/// Returns any error of the disk layer.
pub fn restart(parent: &path::Path, entries: u64) -> Result<Restart, Error> {
    let folder = unused_folder(parent, "restart")?;
    let members = storage::Membership::of_voters([types::VmId(1)]);
    write(&folder, &members, entries)?;
    let mut bytes = 0;
    for file in fs::read_dir(folder.join(format!("group-{GROUP}")))? {
        bytes += file?.metadata()?.len();
    }
    let begin = time::Instant::now();
    let data = disk::DataFolder::open(&folder)?;
    let (_, recovered) = data.open_group(GROUP, Some(&members))?;
    let entries = recovered.entries.len() as u64;
    let node = replication::Node::new(replication::Config::default(), recovered, Instant(0));
    let elapsed = begin.elapsed();
    drop((node, data));
    fs::remove_dir_all(&folder)?;
    Ok(Restart {
        entries,
        bytes,
        elapsed,
    })
}

fn write(folder: &path::Path, members: &storage::Membership, entries: u64) -> Result<(), Error> {
    let data = disk::DataFolder::open(folder)?;
    let (mut store, _) = data.open_group(GROUP, Some(members))?;
    let mut first = 1;
    while first <= entries {
        let last = (first + BATCH_ENTRIES - 1).min(entries);
        let batch = (first..=last).map(|index| storage::Entry {
            index: types::LogIndex(index),
            term: types::Term(1),
            payload: storage::Payload::Command(Bytes::from(vec![index as u8; COMMAND_BYTES])),
        });
        let entries = batch.collect();
        store.execute(&[storage::Op::Append { entries }])?;
        first = last + 1;
    }
    Ok(())
}
