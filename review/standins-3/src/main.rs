//! Runs one review case against the real daemons.
//!
//! Usage: `CASE PROGRAM FOLDER RECORD TROUBLE`. Exits with 1 if the rule was broken, 0 if it held and
//! 2 if the case couldn't run.

mod callers_leave;
mod endless_answers;
mod lost_answers;
mod message;
mod names;
mod platform;
mod record;
mod target;
mod trouble;

use std::{
    io,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    thread,
    time::Duration,
};

/// Longest time that a case may take, with its start.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case needs to run.
pub struct Setting {
    /// Command of the daemon in the deploy file.
    program: String,
    /// Folder for settings, data and logs.
    folder: PathBuf,
    /// Whether the disruption is played.
    has_trouble: bool,
    record: Arc<record::Record>,
}

impl Setting {
    /// Starts the deployment; `large_type` is the type of the route for large answers.
    fn deploy(&self, large_type: &str) -> io::Result<platform::Deployment> {
        let values = [("large_type", large_type.to_owned())];
        let configuration = names::fill(names::CONFIGURATION, &values);
        let deployment = platform::Deployment::start(&self.program, &self.folder, &configuration)?;
        self.record.line("all machines are ready");
        Ok(deployment)
    }
}

/// Time from the start of the targets until all machines know them and are in touch.
const SETTLE_TIME: Duration = Duration::from_secs(5);

fn settle() {
    thread::sleep(SETTLE_TIME);
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, folder, record, trouble] = args.as_slice() else {
        eprintln!("usage: CASE PROGRAM FOLDER RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let record = match record::Record::create(Path::new(record)) {
        Ok(record) => Arc::new(record),
        Err(err) => {
            eprintln!("{record}: {err}");
            return ExitCode::from(2);
        }
    };
    let setting = Setting {
        program: program.clone(),
        folder: PathBuf::from(folder),
        has_trouble: trouble != "0",
        record,
    };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let broken = match case.as_str() {
        "lost-answers" => lost_answers::run(&setting),
        "endless-answers" => endless_answers::run(&setting),
        "callers-leave" => callers_leave::run(&setting),
        _ => Err(io::ErrorKind::InvalidInput.into()),
    };
    match broken {
        Ok(false) => {
            setting.record.result("the rule held");
            ExitCode::SUCCESS
        }
        Ok(true) => {
            setting.record.result("the rule was broken");
            ExitCode::from(1)
        }
        Err(err) => {
            setting
                .record
                .result(&format!("the case couldn't run: {err}"));
            ExitCode::from(2)
        }
    }
}
