//! Space that the files of this VM take on its disk: metrics, and warnings before the disk is full.

use std::{fs, io, path, rc, time};

use wagtailshunt_core::{event, storage};

use crate::entry::state;

/// Interval at which the files are measured.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Measures the data folder at intervals until the process ends; returns at once on a VM without a
/// disk.
pub async fn run(state: rc::Rc<state::State>) {
    let Some(folder) = state.cfg.data_folder.clone() else {
        return;
    };
    let mut watch = storage::SpaceWatch::default();
    while !state.stopped() {
        let path = folder.clone();
        let task = compio::runtime::spawn_blocking(move || used_bytes(&path));
        match task.await {
            Ok(Ok(used)) => record(&state, &mut watch, used),
            Ok(Err(err)) => log::warn!("cannot measure the data folder: {err}"),
            Err(_) => log::warn!("cannot measure the data folder: task ended"),
        }
        compio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn record(state: &state::State, watch: &mut storage::SpaceWatch, used: u64) {
    let as_gauge = |bytes: u64| i64::try_from(bytes).unwrap_or(i64::MAX);
    state.metrics.disk_used_bytes.set(as_gauge(used));
    let Some(limit) = state.cfg.limits.disk_bytes else {
        return;
    };
    state.metrics.disk_limit_bytes.set(as_gauge(limit));
    let Some(warning) = watch.observe(state.clock.now(), used, limit) else {
        return;
    };
    let full_in = warning
        .full_in
        .map_or_else(|| "-".to_owned(), |full_in| full_in.as_secs().to_string());
    state.events.emit(
        event::Id::DiskSpaceLow,
        &[
            ("used_bytes", &warning.used),
            ("limit_bytes", &warning.limit),
            ("full_in_s", &full_in),
        ],
    );
}

/// Returns the size of all files in a folder and its subfolders.
fn used_bytes(folder: &path::Path) -> io::Result<u64> {
    let mut total = 0;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let kind = entry.file_type()?;
        total += match kind.is_dir() {
            true => used_bytes(&entry.path())?,
            // A file may be removed while the folder is read.
            false => entry.metadata().map_or(0, |metadata| metadata.len()),
        };
    }
    Ok(total)
}
