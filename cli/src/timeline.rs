//! Command `timeline`: merges the events of several processes.
//!
//! Events are ordered by their hybrid logical clock stamp. If one event can have caused another,
//! its stamp is smaller, so the order respects cause even when wall clocks disagree.

use std::{collections, fmt, path};

use serde::{Deserialize, Serialize};
use wagtailshunt_core::{event, types};

use crate::{api, exit, options, records};

/// An event as a process writes it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Event {
    // The order of the first four fields is the order of the time line.
    stamp: event::Stamp,
    vm: types::VmId,
    role: types::Role,
    sequence: u64,
    number: u16,
    text: String,
    #[serde(default)]
    fields: collections::BTreeMap<String, String>,
}

/// Runs `timeline`.
pub async fn run(
    global: &options::Program,
    opts: &options::Timeline,
) -> Result<exit::Code, exit::Error> {
    let sources = [&opts.from[..], &global.control[..]].concat();
    if sources.is_empty() && opts.files.is_empty() {
        let message = "no file, --from or --control to read events from";
        return Err(exit::Error::Usage(message.to_owned()));
    }
    // A set drops events that are both in a file and in the answer of a process.
    let mut events = collections::BTreeSet::new();
    for file in &opts.files {
        events.extend(read(file)?);
    }
    let mut missing = 0;
    for address in &sources {
        let client = api::Client::with_addresses(global, &[*address])?;
        match fetch(&client, &address.to_string()).await {
            Ok(fetched) => events.extend(fetched),
            Err(err) => {
                // The other processes still show something; the exit code says it is partial.
                eprintln!("wagtailshunt: {address}: {err}");
                missing += 1;
            }
        }
    }
    for event in &events {
        print(global, event);
    }
    match missing {
        0 => Ok(exit::Code::Ok),
        _ => Ok(exit::Code::Unreachable),
    }
}

fn read(file: &path::Path) -> Result<Vec<Event>, exit::Error> {
    parse(&records::read(file)?, &file.display().to_string())
}

async fn fetch(client: &api::Client, source: &str) -> Result<Vec<Event>, exit::Error> {
    let answer = client
        .send(&api::Request::get("/v1/events"))
        .await?
        .success()?;
    parse(&answer.text, source)
}

/// Parses JSON lines. A last line without its end is skipped, as a killed process leaves one.
fn parse(text: &str, source: &str) -> Result<Vec<Event>, exit::Error> {
    let mut events = Vec::new();
    for (index, line) in text.split_inclusive('\n').enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        match serde_json::from_str(line) {
            Ok(event) => events.push(event),
            Err(_) if !line.ends_with('\n') => {
                eprintln!(
                    "wagtailshunt: {source}: line {} is incomplete, skipped",
                    index + 1
                );
            }
            Err(err) => {
                let message = format!("{source}: line {}: {err}", index + 1);
                return Err(exit::Error::Failed(message));
            }
        }
    }
    Ok(events)
}

fn print(global: &options::Program, event: &Event) {
    if global.json {
        println!("{}", serde_json::json!(event));
    } else {
        println!("{event}");
    }
}

/// Returns the events of JSON lines as text, in causal order.
pub fn merged(text: &str) -> String {
    match parse(text, "events") {
        Ok(events) => {
            let events: collections::BTreeSet<Event> = events.into_iter().collect();
            events.iter().map(|event| format!("{event}\n")).collect()
        }
        Err(err) => format!("{err}\n"),
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Event {
            stamp,
            vm,
            role,
            number,
            text,
            fields,
            ..
        } = self;
        write!(f, "{stamp} vm{vm} {role} [{number}] {text}")?;
        for (name, value) in fields {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}
