//! Command `check`: validates files without submitting them.

use std::path;

use serde::Serialize;
use wagtailshunt::settings;
use wagtailshunt_core::records;

use crate::{exit, options};

/// Result for one file.
#[derive(Debug, Default, Serialize)]
struct Checked {
    file: path::PathBuf,
    faults: Vec<String>,
    /// Fields that this version keeps but does not know.
    unknown: Vec<String>,
}

/// Runs `check`.
pub fn run(global: &options::Program, opts: &options::Check) -> Result<exit::Code, exit::Error> {
    if opts.files.is_empty() {
        return Err(exit::Error::Usage("no file to check".to_owned()));
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

/// A fault in settings has the exit code that the daemon would give.
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

fn check_record(file: &path::Path) -> Result<Checked, exit::Error> {
    let text = crate::records::read(file)?;
    let mut checked = Checked {
        file: file.to_owned(),
        ..Checked::default()
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

fn print(all: &[Checked]) {
    for checked in all {
        let file = checked.file.display();
        for fault in &checked.faults {
            println!("{file}: {fault}");
        }
        for unknown in &checked.unknown {
            println!("{file}: {unknown}: unknown field, kept as it is");
        }
        if checked.faults.is_empty() {
            println!("{file}: ok");
        }
    }
}
