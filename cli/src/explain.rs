//! Command `explain`: shows the log lines of all VMs that concern one call.
//!
//! Reads the given log files and prints the lines of the call in causal order (marked with `*`),
//! the other events of its targets and its VMs from shortly before its first line until its last
//! line, and an explanation of its outcome.

use std::{collections, path};

use serde::Deserialize;
use wagtailshunt_core::event;

use crate::{exit, options, records};

/// An event in the log of a process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
struct Line {
    // Lines are sorted by the fields in this order, so the stamp must come first and the VM second.
    stamp: event::Stamp,
    vm: u64,
    event: u16,
    text: String,
    #[serde(flatten)]
    fields: collections::BTreeMap<String, Field>,
}

/// Value of a log field. Numbers and texts are printed in the same way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(untagged)]
enum Field {
    Number(i64),
    Text(String),
}

impl Line {
    fn field(&self, name: &str) -> Option<&str> {
        match self.fields.get(name) {
            Some(Field::Text(text)) => Some(text),
            Some(Field::Number(_)) | None => None,
        }
    }

    fn belongs_to(&self, request: &str) -> bool {
        self.field("request") == Some(request)
    }

    /// Returns the targets in the fields `target` and `choices`.
    fn targets(&self) -> Vec<&str> {
        let choices = self.field("choices").unwrap_or_default();
        let chosen = choices.split_whitespace();
        let chosen = chosen.filter_map(|choice| Some(choice.split_once(':')?.0));
        self.field("target").into_iter().chain(chosen).collect()
    }

    fn print(&self, mark: &str) {
        let Line {
            stamp,
            vm,
            event,
            text,
            fields,
        } = self;
        print!("{mark} {stamp} vm{vm} [{event}] {text}");
        for (name, value) in fields {
            match value {
                Field::Number(number) => print!(" {name}={number}"),
                Field::Text(value) => print!(" {name}={value}"),
            }
        }
        println!();
    }
}

/// Runs `explain`.
pub fn run(opts: &options::Explain) -> Result<exit::Code, exit::Error> {
    let [request, files @ ..] = opts.words.as_slice() else {
        return Err(exit::Error::Usage(
            "the id of the call is missing".to_owned(),
        ));
    };
    if files.is_empty() {
        return Err(exit::Error::Usage("no log file given".to_owned()));
    }
    let mut lines = collections::BTreeSet::new();
    for file in files {
        lines.extend(read(path::Path::new(file))?);
    }
    let own: Vec<&Line> = lines
        .iter()
        .filter(|line| line.belongs_to(request))
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        let message = format!(
            "no log line has request id {request}; event 127 shows whether lines were dropped"
        );
        return Err(exit::Error::Failed(message));
    };
    let from = first.stamp.wall().0.saturating_sub(opts.before_ms);
    let targets: collections::BTreeSet<&str> = own.iter().flat_map(|line| line.targets()).collect();
    let vms: collections::BTreeSet<u64> = own.iter().map(|line| line.vm).collect();
    for line in &lines {
        let in_period = line.stamp.wall().0 >= from && line.stamp <= last.stamp;
        if line.belongs_to(request) {
            line.print("*");
        } else if in_period && is_context(line, &targets, &vms) {
            line.print(" ");
        }
    }
    for line in &own {
        if let Some(description) = line.field("outcome").and_then(describe_outcome) {
            println!("outcome: {description}");
        }
    }
    Ok(exit::Code::Ok)
}

/// Returns whether a line is an event of a target or a VM of the call, and belongs to no other
/// call.
fn is_context(
    line: &Line,
    targets: &collections::BTreeSet<&str>,
    vms: &collections::BTreeSet<u64>,
) -> bool {
    if line.field("request").is_some() {
        return false;
    }
    match line.field("target") {
        Some(target) => targets.contains(target),
        None => vms.contains(&line.vm),
    }
}

/// Returns the explanation of a value of the field `outcome`, or `None` if the value is unknown.
fn describe_outcome(outcome: &str) -> Option<&'static str> {
    Some(match outcome {
        "answered" => "the response of a target was forwarded",
        "overloaded" => "not run: no target had capacity within the time that the call could wait",
        "no-target" => "not run: the VM knows no target of the service",
        "unreachable" => {
            "not run: the VM had lost its path to the targets, and no other VM could relay the call"
        }
        "stopping" => "not run: the VM was being stopped and might have ended before the response",
        "refused-by-targets" => {
            "not run: every target that was tried provably did not run the call"
        }
        "crashes-targets" => {
            "not run: three targets were lost earlier while they ran the same request"
        }
        "no-configuration" => "not run: the process had just started and had no configuration yet",
        "no-route" => "no route of the current configuration matches the call",
        "lost" => "it may have run: it was sent, but no complete response was received",
        "timeout" => "it may have run: a target was running it when its timeout expired",
        "body-too-large" => "not run: its body is larger than the limits allow",
        "body-incomplete" => "not run: its body was not received completely",
        "malformed" => {
            "not run: its request line or headers cannot be forwarded, or it has no call id"
        }
        _ => return None,
    })
}

/// Reads the events of a log file. Ignores the text before the first brace of a line, because log
/// shippers insert a time and a host name there. Lines without an event are skipped, and their
/// number is printed to standard error.
fn read(file: &path::Path) -> Result<Vec<Line>, exit::Error> {
    let text = records::read(file)?;
    let json = text
        .lines()
        .map(|line| &line[line.find('{').unwrap_or(0)..]);
    let parsed: Vec<Option<Line>> = json.map(|json| serde_json::from_str(json).ok()).collect();
    let skipped = parsed.iter().filter(|line| line.is_none()).count();
    if skipped > 0 {
        let file = file.display();
        eprintln!("wagtailshunt: {file}: skipped {skipped} lines without an event");
    }
    Ok(parsed.into_iter().flatten().collect())
}
