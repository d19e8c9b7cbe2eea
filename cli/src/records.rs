//! Commands that read and update records: `put`, `get`, `list`, `history` and `drain`.

use std::{fs, path};

use hyper::Method;
use serde::Deserialize;
use serde_json::Value;
use wagtailshunt_core::records;

use crate::{api, exit, options};

/// A version of a record in the JSON form of the operator interface.
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

/// Parameters of a record update.
struct RecordUpdate<'a> {
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
            "--wait and --no-wait exclude each other".to_owned(),
        ));
    }
    let text = read(&opts.file)?;
    let header =
        records::parse_header(&text).map_err(|faults| invalid_file(&opts.file, &faults))?;
    let client = api::Client::new(global)?;
    let update = RecordUpdate {
        record: &header.key.to_string(),
        text,
        expect: opts.expect,
        wait: !opts.no_wait,
        request_id: opts.request_id.clone(),
        actor: opts.actor.as_deref(),
    };
    submit_update(global, &client, update).await
}

/// Runs `get`.
pub async fn get(
    global: &options::Program,
    opts: &options::Get,
) -> Result<exit::Code, exit::Error> {
    let client = api::Client::new(global)?;
    let response = fetch(&client, "records", &opts.record).await?;
    if global.json {
        println!("{}", response.text);
        return Ok(exit::Code::Ok);
    }
    let version: Version = decode(&response)?;
    eprintln!("revision {}", version.revision);
    println!("{}", version.text.unwrap_or_default());
    Ok(exit::Code::Ok)
}

/// Runs `list`.
pub async fn list(global: &options::Program) -> Result<exit::Code, exit::Error> {
    let client = api::Client::new(global)?;
    let response = client
        .send(&api::Request::get("/v1/records"))
        .await?
        .error_for_status()?;
    print_versions(global, &response)
}

/// Runs `history`.
pub async fn history(
    global: &options::Program,
    opts: &options::Get,
) -> Result<exit::Code, exit::Error> {
    let client = api::Client::new(global)?;
    let response = fetch(&client, "history", &opts.record).await?;
    print_versions(global, &response)
}

/// Runs `drain`.
pub async fn drain(
    global: &options::Program,
    opts: &options::Drain,
) -> Result<exit::Code, exit::Error> {
    let what: Vec<&str> = opts.what.iter().map(String::as_str).collect();
    let client = api::Client::new(global)?;
    let (record, text, expect) = match what.as_slice() {
        ["vm", id] => vm_drain_update(&client, id, !opts.undo).await?,
        ["target", service, target] => {
            target_drain_update(&client, service, target, !opts.undo).await?
        }
        _ => {
            let message = "expected `drain vm ID` or `drain target SERVICE TARGET`";
            return Err(exit::Error::Usage(message.to_owned()));
        }
    };
    let update = RecordUpdate {
        record: &record,
        text,
        expect,
        wait: !opts.no_wait,
        request_id: None,
        actor: opts.actor.as_deref(),
    };
    submit_update(global, &client, update).await
}

/// Returns the key, the new text and the current revision of the record of a VM.
async fn vm_drain_update(
    client: &api::Client,
    id: &str,
    drain: bool,
) -> Result<(String, String, Option<u64>), exit::Error> {
    if id.parse::<u32>().is_err() {
        return Err(exit::Error::Usage(format!("`{id}` is not a VM id")));
    }
    let record = format!("vm/{id}");
    let request = api::Request::get(format!("/v1/records/{record}"));
    let response = client.send(&request).await?;
    if response.status == hyper::StatusCode::NOT_FOUND {
        let text = format!(
            r#"{{"schema": 1, "kind": "vm", "name": "{id}", "spec": {{"drain": {drain}}}}}"#
        );
        return Ok((record, text, None));
    }
    let version: Version = decode(&response.error_for_status()?)?;
    let text = version.text.unwrap_or_default();
    let text = set_field(&text, "drain", &drain.to_string())?;
    Ok((record, text, Some(version.revision)))
}

/// Returns the key, the new text and the current revision of the record of a service.
async fn target_drain_update(
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
        .map_err(|faults| exit::Error::Failed(format_faults(&faults)))
}

async fn submit_update(
    global: &options::Program,
    client: &api::Client,
    update: RecordUpdate<'_>,
) -> Result<exit::Code, exit::Error> {
    let id = update.request_id.unwrap_or_else(api::new_request_id);
    let mut path = format!("/v1/records/{}?wait={}", update.record, update.wait);
    if let Some(expect) = update.expect {
        path.push_str(&format!("&expect={expect}"));
    }
    if let Some(actor) = update.actor {
        check_actor(actor)?;
        path.push_str(&format!("&actor={actor}"));
    }
    let request = api::Request {
        method: Method::PUT,
        path,
        request_id: Some(id.clone()),
        body: update.text,
    };
    let sent = client.send(&request).await;
    // The operator needs the id to resend a request whose result is unknown.
    let response = sent.inspect_err(|_| eprintln!("request id {id}"))?;
    if global.json {
        println!("{}", response.text);
    }
    report_result(global, update.record, update.wait, &id, response)
}

/// Checks that the name needs no percent-encoding, because it is inserted into the query string as
/// is.
fn check_actor(actor: &str) -> Result<(), exit::Error> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-._~".contains(c);
    if actor.is_empty() || !actor.chars().all(plain) {
        let message = "--actor takes letters, digits and - . _ ~";
        return Err(exit::Error::Usage(message.to_owned()));
    }
    Ok(())
}

fn report_result(
    global: &options::Program,
    record: &str,
    wait: bool,
    id: &str,
    response: api::Response,
) -> Result<exit::Code, exit::Error> {
    let body = response.json();
    let reply = original_reply(&body["reply"]);
    let conflict = &reply["conflict"];
    if conflict.is_object() {
        let current = &conflict["current"];
        let by = conflict["by_request"].as_str().unwrap_or("none");
        let message = format!("conflict: {record} is at revision {current} by request {by}");
        return Err(exit::Error::Conflict(message));
    }
    if let Some(faults) = reply["invalid"]["faults"].as_array() {
        let faults: Vec<String> = faults.iter().map(format_fault).collect();
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
    let response = response.error_for_status()?;
    let revision = &reply["accepted"]["revision"];
    let in_force = body["in_force"].as_bool().unwrap_or(false);
    if wait && !in_force {
        let vms = &body["holding_back"];
        let message = format!(
            "accepted as revision {revision} (request id {id}), not in force yet; waiting for VMs {vms}"
        );
        return Err(exit::Error::Failed(message));
    }
    if !global.json {
        let state = if in_force { "in force" } else { "accepted" };
        println!(
            "{record} {state} at revision {revision} (status {})",
            response.status.as_u16()
        );
    }
    Ok(exit::Code::Ok)
}

/// Returns the reply to the original request if the request was a resent one.
fn original_reply(reply: &Value) -> &Value {
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
) -> Result<api::Response, exit::Error> {
    let known = record
        .split_once('/')
        .is_some_and(|(kind, _)| records::Kind::from_name(kind).is_some());
    if !known {
        let message = format!("`{record}` is not of the form service/NAME or vm/ID");
        return Err(exit::Error::Usage(message));
    }
    let request = api::Request::get(format!("/v1/{resource}/{record}"));
    client.send(&request).await?.error_for_status()
}

fn decode<T: for<'de> Deserialize<'de>>(response: &api::Response) -> Result<T, exit::Error> {
    serde_json::from_str(&response.text)
        .map_err(|err| exit::Error::Failed(format!("cannot decode the response: {err}")))
}

fn print_versions(
    global: &options::Program,
    response: &api::Response,
) -> Result<exit::Code, exit::Error> {
    if global.json {
        println!("{}", response.text);
        return Ok(exit::Code::Ok);
    }
    let versions: Vec<Version> = decode(response)?;
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

/// Reads a text file.
pub fn read(path: &path::Path) -> Result<String, exit::Error> {
    fs::read_to_string(path).map_err(|source| exit::Error::Read {
        path: path.to_owned(),
        source,
    })
}

fn invalid_file(path: &path::Path, faults: &[records::ValidationError]) -> exit::Error {
    exit::Error::Failed(format!("{}:\n{}", path.display(), format_faults(faults)))
}

fn format_faults(faults: &[records::ValidationError]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

fn format_fault(fault: &Value) -> String {
    let path = fault["path"].as_str().unwrap_or_default();
    let message = fault["message"].as_str().unwrap_or_default();
    format!("{path}: {message}")
}
