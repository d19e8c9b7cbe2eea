//! Command `explain`: follows one call over the logs of all VMs.
//!
//! Prints the lines of the call in causal order, with what its targets and its VM went through in the
//! seconds before its end, and what its outcome means.

use std::{collections, path};

use serde::Deserialize;
use wagtailshunt_core::event;

use crate::{exit, options, records};

/// A line of a process's log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
struct Line {
    // The order of the first two fields is the order of the time line.
    stamp: event::Stamp,
    vm: u64,
    event: u16,
    text: String,
    #[serde(flatten)]
    fields: collections::BTreeMap<String, Field>,
}

/// A value of a line; numbers and text are shown alike.
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

    fn is_of(&self, request: &str) -> bool {
        self.field("request") == Some(request)
    }

    /// Returns the targets that the line names.
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
        return Err(exit::Error::Usage("ID of the call expected".to_owned()));
    };
    if files.is_empty() {
        return Err(exit::Error::Usage("no log to read".to_owned()));
    }
    let mut lines = collections::BTreeSet::new();
    for file in files {
        lines.extend(read(path::Path::new(file))?);
    }
    let own: Vec<&Line> = lines.iter().filter(|line| line.is_of(request)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        let message = format!("no line of {request}; lines may have been dropped (event 127)");
        return Err(exit::Error::Failed(message));
    };
    let from = first.stamp.wall().0.saturating_sub(opts.before_ms);
    let targets: collections::BTreeSet<&str> = own.iter().flat_map(|line| line.targets()).collect();
    let vms: collections::BTreeSet<u64> = own.iter().map(|line| line.vm).collect();
    for line in &lines {
        let in_time = line.stamp.wall().0 >= from && line.stamp <= last.stamp;
        if line.is_of(request) {
            line.print("*");
        } else if in_time && is_background(line, &targets, &vms) {
            line.print(" ");
        }
    }
    for line in &own {
        if let Some(meaning) = line.field("outcome").and_then(meaning) {
            println!("outcome: {meaning}");
        }
    }
    Ok(exit::Code::Ok)
}

/// Returns whether a line tells what a target or the VM of the call went through.
fn is_background(
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

/// Returns what an outcome says about the call.
fn meaning(outcome: &str) -> Option<&'static str> {
    Some(match outcome {
        "answered" => "a target's own answer was passed on",
        "overloaded" => "not run: no target had room in the time that the call could wait",
        "no-target" => "not run: the service has no target that is known here",
        "refused-by-targets" => {
            "not run: every target that was tried proved that it did not run it"
        }
        "crashes-targets" => "not run: three targets were lost with the same request before",
        "no-configuration" => "not run: the process had just started and knew no configuration",
        "no-route" => "no route of the configuration in place takes the call",
        "lost" => "it may have run: it was sent and no whole answer came back",
        "timeout" => "it may have run: a target was at work when its time was over",
        "body-too-large" => "not run: its body is larger than the limits allow",
        "body-incomplete" => "not run: its body did not arrive whole",
        "malformed" => "not run: its head cannot be passed on",
        _ => return None,
    })
}

/// Reads the events of a log. Anything before the first brace of a line is skipped, as log shippers put
/// a time and a name there; lines that are no events are counted.
fn read(file: &path::Path) -> Result<Vec<Line>, exit::Error> {
    let text = records::read(file)?;
    let json = text
        .lines()
        .map(|line| &line[line.find('{').unwrap_or(0)..]);
    let parsed: Vec<Option<Line>> = json.map(|json| serde_json::from_str(json).ok()).collect();
    let skipped = parsed.iter().filter(|line| line.is_none()).count();
    if skipped > 0 {
        let file = file.display();
        eprintln!("wagtailshunt: {file}: {skipped} lines without an event skipped");
    }
    Ok(parsed.into_iter().flatten().collect())
}
