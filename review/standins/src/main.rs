//! Stand-ins and checks of the review's cases. Arguments: the case, the record and a folder.

mod large_upload;
mod late_refusal;
mod late_stop;
mod names;
mod random;
mod record;
mod silent_answer;
mod system;
mod upstream;
mod wire;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

/// Result of a case.
pub enum Verdict {
    /// The rule was broken, with what broke it.
    Broken(Vec<String>),
    /// The rule held, with a summary.
    Held(String),
    /// The case could not run, for this reason.
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = args.as_slice() else {
        eprintln!("usage: {} CASE RECORD FOLDER", args[0]);
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(Path::new(record)) {
        Ok(record) => Arc::new(record),
        Err(err) => {
            eprintln!("cannot write the record: {err}");
            return ExitCode::from(2);
        }
    };
    let folder = Path::new(folder);
    let verdict = match case.as_str() {
        "late-refusal" => late_refusal::run(trouble, folder, &record),
        "large-upload" => large_upload::run(trouble, folder, &record),
        "silent-answer" => silent_answer::run(trouble, folder, &record),
        "late-stop" => late_stop::run(trouble, folder, &record),
        _ => Verdict::NotRun(format!("unknown case {case}")),
    };
    let (lines, code) = match verdict {
        Verdict::Broken(lines) => (lines, 1),
        Verdict::Held(summary) => (vec![format!("held: {summary}")], 0),
        Verdict::NotRun(reason) => (vec![format!("not run: {reason}")], 2),
    };
    for line in &lines {
        record.line(line);
        println!("{line}");
    }
    record.flush();
    ExitCode::from(code)
}
