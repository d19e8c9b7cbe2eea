//! Runs one case of the review: starts the entry VMs of a small deployment as processes, with
//! stand-ins for servers, callers, the operator and the platform, and checks one rule.
//!
//! `review-case CASE FOLDER` writes FOLDER/record.txt. It exits with 1 if the rule was broken, with 0
//! if it held and with 2 if the case could not run. With `TROUBLE=0` in the environment the
//! disruption is left out.

mod callers;
mod cases;
mod http;
mod record;
mod target;
mod vm;
mod wire;

use std::{env, panic, path, process, sync::Arc};

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

fn main() -> process::ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let [case, folder] = args.as_slice() else {
        eprintln!("usage: review-case CASE FOLDER");
        return process::ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = path::Path::new(folder).join("record.txt");
    let record = Arc::new(record::Record::create(&record));
    record.line(format!("case {case}, disruption: {has_trouble}"));
    let run = || match case.as_str() {
        "endless-refusal" => cases::endless_refusal(&record, has_trouble),
        "long-announcement" => cases::long_announcement(&record, has_trouble),
        "leaving" => cases::leaving(&record, has_trouble),
        "other-service" => cases::other_service(&record, has_trouble),
        "incomplete-leave" => cases::incomplete_leave(&record, has_trouble),
        _ => Verdict::NotRun("unknown case"),
    };
    let verdict = panic::catch_unwind(panic::AssertUnwindSafe(run));
    let verdict = verdict.unwrap_or(Verdict::NotRun("a stand-in failed"));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{text}");
    process::ExitCode::from(code)
}
