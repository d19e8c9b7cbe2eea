//! Command `timeline`: merges the events of several processes, read from files or fetched from
//! their admin addresses.
//!
//! Events are ordered by the stamps of their hybrid logical clocks. If one event can have caused
//! another, its stamp is smaller, so the order is causal even if wall clocks disagree.

use std::{collections, fmt, path};

use serde::{Deserialize, Serialize};
use wagtailshunt_core::{event, types};

use crate::{api, exit, options, records};

/// An event in the JSON form that a process writes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Event {
    // Events are sorted by the fields in this order, so the first four must stay first.
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
        let message = "no source of events given: expected files, --from or --control";
        return Err(exit::Error::Usage(message.to_owned()));
    }
    // The set removes duplicates: events that are both in a file and in the response of a process.
    let mut events = collections::BTreeSet::new();
    for file in &opts.files {
        events.extend(read_events(file)?);
    }
    let mut unreachable = 0;
    for address in &sources {
        let client = api::Client::with_addresses(global, &[*address])?;
        match fetch_events(&client, &address.to_string()).await {
            Ok(fetched) => events.extend(fetched),
            Err(err) => {
                // Events of the other processes are still printed; the exit code reports the gap.
                eprintln!("wagtailshunt: cannot fetch events of {address}: {err}");
                unreachable += 1;
            }
        }
    }
    for event in &events {
        print(global, event);
    }
    match unreachable {
        0 => Ok(exit::Code::Ok),
        _ => Ok(exit::Code::Unreachable),
    }
}

fn read_events(file: &path::Path) -> Result<Vec<Event>, exit::Error> {
    parse_events(&records::read(file)?, &file.display().to_string())
}

async fn fetch_events(client: &api::Client, source: &str) -> Result<Vec<Event>, exit::Error> {
    let response = client
        .send(&api::Request::get("/v1/events"))
        .await?
        .error_for_status()?;
    parse_events(&response.text, source)
}

/// Parses events from JSON lines. Skips a last line without a line break, because a killed process
/// can leave an incomplete one.
fn parse_events(text: &str, source: &str) -> Result<Vec<Event>, exit::Error> {
    let mut events = Vec::new();
    for (index, line) in text.split_inclusive('\n').enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        match serde_json::from_str(line) {
            Ok(event) => events.push(event),
            Err(_) if !line.ends_with('\n') => {
                eprintln!(
                    "wagtailshunt: {source}: line {} is incomplete and is skipped",
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

/// Returns the events in JSON lines as text, in causal order.
pub fn merge_events(text: &str) -> String {
    match parse_events(text, "events") {
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
