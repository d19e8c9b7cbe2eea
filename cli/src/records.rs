//! Commands that read and amend records.

use std::{fs, path};

use hyper::Method;
use serde::Deserialize;
use serde_json::Value;
use wagtailshunt_core::records;

use crate::{api, exit, options};

/// A version of a record as a control daemon reports it.
#[derive(Debug, Deserialize)]
struct Version {
    key: String,
    revision: u64,
    schema: u32,
    actor: String,
    request_id: String,
    at_unix_ms: u64,
    text: Option<String>,
}

/// How an amendment is sent.
struct Amendment<'a> {
    record: &'a str,
    text: String,
    expect: Option<u64>,
    wait: bool,
    request_id: Option<String>,
    actor: Option<&'a str>,
}

/// Runs `put`.
pub async fn put(
    global: &options::Program,
    opts: &options::Put,
) -> Result<exit::Code, exit::Error> {
    if opts.wait && opts.no_wait {
        return Err(exit::Error::Usage(
            "--wait contradicts --no-wait".to_owned(),
        ));
    }
    let text = read(&opts.file)?;
    let heading = records::parse_header(&text).map_err(|faults| faulty(&opts.file, &faults))?;
    let client = api::Client::new(global)?;
    let amendment = Amendment {
        record: &heading.key.to_string(),
        text,
        expect: opts.expect,
        wait: !opts.no_wait,
        request_id: opts.request_id.clone(),
        actor: opts.actor.as_deref(),
    };
    amend(global, &client, amendment).await
}

/// Runs `get`.
pub async fn get(
    global: &options::Program,
    opts: &options::Get,
) -> Result<exit::Code, exit::Error> {
    let client = api::Client::new(global)?;
    let answer = fetch(&client, "records", &opts.record).await?;
    if global.json {
        println!("{}", answer.text);
        return Ok(exit::Code::Ok);
    }
    let version: Version = decode(&answer)?;
    eprintln!("revision {}", version.revision);
    println!("{}", version.text.unwrap_or_default());
    Ok(exit::Code::Ok)
}

/// Runs `list`.
pub async fn list(global: &options::Program) -> Result<exit::Code, exit::Error> {
    let client = api::Client::new(global)?;
    let answer = client
        .send(&api::Request::get("/v1/records"))
        .await?
        .success()?;
    print_versions(global, &answer)
}

/// Runs `history`.
pub async fn history(
    global: &options::Program,
    opts: &options::Get,
) -> Result<exit::Code, exit::Error> {
    let client = api::Client::new(global)?;
    let answer = fetch(&client, "history", &opts.record).await?;
    print_versions(global, &answer)
}

/// Runs `drain`.
pub async fn drain(
    global: &options::Program,
    opts: &options::Drain,
) -> Result<exit::Code, exit::Error> {
    let what: Vec<&str> = opts.what.iter().map(String::as_str).collect();
    let client = api::Client::new(global)?;
    let (record, text, expect) = match what.as_slice() {
        ["vm", id] => drained_vm(&client, id, !opts.undo).await?,
        ["target", service, target] => drained_target(&client, service, target, !opts.undo).await?,
        _ => {
            let message = "expected `drain vm ID` or `drain target SERVICE TARGET`";
            return Err(exit::Error::Usage(message.to_owned()));
        }
    };
    let amendment = Amendment {
        record: &record,
        text,
        expect,
        wait: !opts.no_wait,
        request_id: None,
        actor: opts.actor.as_deref(),
    };
    amend(global, &client, amendment).await
}

/// Returns key, new text and current revision of a VM's record.
async fn drained_vm(
    client: &api::Client,
    id: &str,
    drain: bool,
) -> Result<(String, String, Option<u64>), exit::Error> {
    if id.parse::<u32>().is_err() {
        return Err(exit::Error::Usage(format!("`{id}` is not a VM id")));
    }
    let record = format!("vm/{id}");
    let request = api::Request::get(format!("/v1/records/{record}"));
    let answer = client.send(&request).await?;
    if answer.status == hyper::StatusCode::NOT_FOUND {
        let text = format!(
            r#"{{"schema": 1, "kind": "vm", "name": "{id}", "spec": {{"drain": {drain}}}}}"#
        );
        return Ok((record, text, None));
    }
    let version: Version = decode(&answer.success()?)?;
    let text = version.text.unwrap_or_default();
    let text = set_field(&text, "drain", &drain.to_string())?;
    Ok((record, text, Some(version.revision)))
}

/// Returns key, new text and current revision of a service's record.
async fn drained_target(
    client: &api::Client,
    service: &str,
    target: &str,
    drain: bool,
) -> Result<(String, String, Option<u64>), exit::Error> {
    let record = format!("service/{service}");
    let version: Version = decode(&fetch(client, "records", &record).await?)?;
    let text = version.text.unwrap_or_default();
    let current: Value = serde_json::from_str(&text).unwrap_or_default();
    let listed = current["spec"]["drain"].as_array().into_iter().flatten();
    let mut targets: Vec<&str> = listed.filter_map(Value::as_str).collect();
    targets.retain(|listed| *listed != target);
    if drain {
        targets.push(target);
    }
    let value = serde_json::json!(targets).to_string();
    let text = set_field(&text, "drain", &value)?;
    Ok((record, text, Some(version.revision)))
}

fn set_field(text: &str, name: &str, value: &str) -> Result<String, exit::Error> {
    records::set_spec_field(text, name, value)
        .map_err(|faults| exit::Error::Failed(show_faults(&faults)))
}

async fn amend(
    global: &options::Program,
    client: &api::Client,
    amendment: Amendment<'_>,
) -> Result<exit::Code, exit::Error> {
    let id = amendment.request_id.unwrap_or_else(api::new_request_id);
    let mut path = format!("/v1/records/{}?wait={}", amendment.record, amendment.wait);
    if let Some(expect) = amendment.expect {
        path.push_str(&format!("&expect={expect}"));
    }
    if let Some(actor) = amendment.actor {
        check_actor(actor)?;
        path.push_str(&format!("&actor={actor}"));
    }
    let request = api::Request {
        method: Method::PUT,
        path,
        request_id: Some(id.clone()),
        body: amendment.text,
    };
    let sent = client.send(&request).await;
    // The id lets the operator resend a request whose result is not known.
    let answer = sent.inspect_err(|_| eprintln!("request id {id}"))?;
    if global.json {
        println!("{}", answer.text);
    }
    conclude(global, amendment.record, amendment.wait, &id, answer)
}

/// The name stands in a query string as it is.
fn check_actor(actor: &str) -> Result<(), exit::Error> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-._~".contains(c);
    if actor.is_empty() || !actor.chars().all(plain) {
        let message = "--actor takes letters, digits and - . _ ~";
        return Err(exit::Error::Usage(message.to_owned()));
    }
    Ok(())
}

fn conclude(
    global: &options::Program,
    record: &str,
    wait: bool,
    id: &str,
    answer: api::Answer,
) -> Result<exit::Code, exit::Error> {
    let body = answer.json();
    let reply = first_reply(&body["reply"]);
    let conflict = &reply["conflict"];
    if conflict.is_object() {
        let current = &conflict["current"];
        let by = conflict["by_request"].as_str().unwrap_or("none");
        let message = format!("{record} is at revision {current} by request {by}");
        return Err(exit::Error::Conflict(message));
    }
    if let Some(faults) = reply["invalid"]["faults"].as_array() {
        let faults: Vec<String> = faults.iter().map(show_fault).collect();
        return Err(exit::Error::Failed(faults.join("\n")));
    }
    if reply["unsupported"].is_object() {
        let vms = &reply["unsupported"]["vms"];
        let message = format!("these VMs cannot enforce the schema of the record: {vms}");
        return Err(exit::Error::Failed(message));
    }
    if !reply["refused"].is_null() {
        let message = format!("refused: {}", reply["refused"]["reason"]);
        return Err(exit::Error::Failed(message));
    }
    let answer = answer.success()?;
    let revision = &reply["accepted"]["revision"];
    let in_force = body["in_force"].as_bool().unwrap_or(false);
    if wait && !in_force {
        let vms = &body["holding_back"];
        let message = format!(
            "accepted as revision {revision} (request id {id}), not in force yet; held back by {vms}"
        );
        return Err(exit::Error::Failed(message));
    }
    if !global.json {
        let state = if in_force { "in force" } else { "accepted" };
        println!(
            "{record} {state} at revision {revision} (status {})",
            answer.status.as_u16()
        );
    }
    Ok(exit::Code::Ok)
}

/// Returns the first reply to a repeated request.
fn first_reply(reply: &Value) -> &Value {
    let mut reply = reply;
    while !reply["repeated"].is_null() {
        reply = &reply["repeated"];
    }
    reply
}

async fn fetch(
    client: &api::Client,
    resource: &str,
    record: &str,
) -> Result<api::Answer, exit::Error> {
    let known = record
        .split_once('/')
        .is_some_and(|(kind, _)| records::Kind::from_name(kind).is_some());
    if !known {
        let message = format!("`{record}` is not of the form service/NAME or vm/ID");
        return Err(exit::Error::Usage(message));
    }
    let request = api::Request::get(format!("/v1/{resource}/{record}"));
    client.send(&request).await?.success()
}

fn decode<T: for<'de> Deserialize<'de>>(answer: &api::Answer) -> Result<T, exit::Error> {
    serde_json::from_str(&answer.text)
        .map_err(|err| exit::Error::Failed(format!("the answer is not understood: {err}")))
}

fn print_versions(
    global: &options::Program,
    answer: &api::Answer,
) -> Result<exit::Code, exit::Error> {
    if global.json {
        println!("{}", answer.text);
        return Ok(exit::Code::Ok);
    }
    let versions: Vec<Version> = decode(answer)?;
    println!(
        "{:<32} {:>10} {:>6} {:>14} {:<12} request",
        "record", "revision", "schema", "unix ms", "actor"
    );
    for version in versions {
        let Version {
            key,
            revision,
            schema,
            actor,
            request_id,
            at_unix_ms,
            text,
        } = version;
        let deleted = if text.is_none() { " deleted" } else { "" };
        println!(
            "{key:<32} {revision:>10} {schema:>6} {at_unix_ms:>14} {actor:<12} {request_id}{deleted}"
        );
    }
    Ok(exit::Code::Ok)
}

/// Reads a file.
pub fn read(path: &path::Path) -> Result<String, exit::Error> {
    fs::read_to_string(path).map_err(|source| exit::Error::Read {
        path: path.to_owned(),
        source,
    })
}

fn faulty(path: &path::Path, faults: &[records::ValidationError]) -> exit::Error {
    exit::Error::Failed(format!("{}:\n{}", path.display(), show_faults(faults)))
}

fn show_faults(faults: &[records::ValidationError]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn show_fault(fault: &Value) -> String {
    let path = fault["path"].as_str().unwrap_or_default();
    let message = fault["message"].as_str().unwrap_or_default();
    format!("{path}: {message}")
}
