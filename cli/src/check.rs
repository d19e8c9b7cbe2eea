//! Command `check`: validates files of records or settings without submitting them.

use std::path;

use serde::Serialize;
use wagtailshunt::settings;
use wagtailshunt_core::records;

use crate::{exit, options};

/// Validation result of one record file.
#[derive(Debug, Default, Serialize)]
struct FileResult {
    file: path::PathBuf,
    faults: Vec<String>,
    /// Fields that are unknown to this version. A control daemon stores them unchanged.
    unknown: Vec<String>,
}

/// Runs `check`.
pub fn run(global: &options::Program, opts: &options::Check) -> Result<exit::Code, exit::Error> {
    if opts.files.is_empty() {
        return Err(exit::Error::Usage("no file given to check".to_owned()));
    }
    match opts.settings.as_deref() {
        None => check_records(global, &opts.files),
        Some("gateway") => check_settings::<settings::Gateway>(&opts.files),
        Some("control") => check_settings::<settings::Control>(&opts.files),
        Some(other) => {
            let message = format!("--settings takes gateway or control, not `{other}`");
            Err(exit::Error::Usage(message))
        }
    }
}

/// Checks settings files. An invalid file gives the exit code that the daemon would exit with.
fn check_settings<T: settings::Settings>(
    files: &[path::PathBuf],
) -> Result<exit::Code, exit::Error> {
    for file in files {
        settings::load::<T>(file).map_err(|err| exit::Error::Usage(err.to_string()))?;
    }
    Ok(exit::Code::Ok)
}

fn check_records(
    global: &options::Program,
    files: &[path::PathBuf],
) -> Result<exit::Code, exit::Error> {
    let mut all = Vec::new();
    for file in files {
        all.push(check_record(file)?);
    }
    if global.json {
        println!("{}", serde_json::json!(all));
    } else {
        print(&all);
    }
    match all.iter().all(|checked| checked.faults.is_empty()) {
        true => Ok(exit::Code::Ok),
        false => Ok(exit::Code::Failed),
    }
}

fn check_record(file: &path::Path) -> Result<FileResult, exit::Error> {
    let text = crate::records::read(file)?;
    let mut checked = FileResult {
        file: file.to_owned(),
        ..FileResult::default()
    };
    match records::parse(&text) {
        Ok(record) => {
            checked.unknown = record.unknown.iter().map(ToString::to_string).collect();
        }
        Err(faults) => {
            checked.faults = faults.iter().map(ToString::to_string).collect();
        }
    }
    Ok(checked)
}

fn print(all: &[FileResult]) {
    for checked in all {
        let file = checked.file.display();
        for fault in &checked.faults {
            println!("{file}: {fault}");
        }
        for unknown in &checked.unknown {
            println!("{file}: {unknown}: unknown field, stored unchanged");
        }
        if checked.faults.is_empty() {
            println!("{file}: ok");
        }
    }
}
