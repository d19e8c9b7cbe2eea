//! Turns the text of a record into its effective form or a list of faults.
//!
//! The rules of a published schema never change: replicas of different versions must give the
//! same verdict on the same text.

use std::{collections, time};

use crate::records::{
    Fault, Heading, Hedge, Key, Kind, MAX_TEXT_BYTES, MeasuringBudget, Policy, Record, Retry,
    SCHEMAS, ServiceSpec, Spec, VmSpec, reader, routes, service,
};
use crate::types;

const MAX_LIST: usize = 256;
const MAX_NAME_BYTES: usize = 63;

pub(super) fn record(text: &str) -> Result<Record, Vec<Fault>> {
    let mut report = reader::Report::default();
    let record = read_record(text, &mut report);
    match record {
        Some(record) if report.faults.is_empty() => Ok(Record {
            unknown: report.unknown,
            ..record
        }),
        _ => Err(report.faults),
    }
}

pub(super) fn heading(text: &str) -> Result<Heading, Vec<Fault>> {
    let mut report = reader::Report::default();
    let top = read_top(text, &mut report);
    let heading = top.and_then(|mut top| read_parts(&mut top, &mut report).heading());
    match heading {
        Some(heading) if report.faults.is_empty() => Ok(heading),
        _ => Err(report.faults),
    }
}

fn read_top<'a>(text: &'a str, report: &mut reader::Report) -> Option<reader::Object<'a>> {
    if text.len() > MAX_TEXT_BYTES {
        let message = format!("has {} bytes; the limit is {MAX_TEXT_BYTES}", text.len());
        report.fault("$", message);
        return None;
    }
    reader::Object::read("$", text, report)
}

/// Schema, kind and name as far as they are valid.
struct Parts {
    schema: Option<u32>,
    kind: Option<Kind>,
    name: Option<String>,
}

impl Parts {
    fn heading(self) -> Option<Heading> {
        let key = Key::new(self.kind?, self.name?);
        Some(Heading {
            schema: self.schema?,
            key,
        })
    }
}

fn read_parts(top: &mut reader::Object<'_>, report: &mut reader::Report) -> Parts {
    let schema = read_schema(top, report);
    let kind = read_kind(top, report);
    let name = read_name(top, kind, report);
    Parts { schema, kind, name }
}

fn read_schema(top: &mut reader::Object<'_>, report: &mut reader::Report) -> Option<u32> {
    let raw = top.require("schema", report)?;
    let schema = serde_json::from_str(raw.get())
        .ok()
        .filter(|schema| *schema > 0);
    if schema.is_none() {
        report.fault("$.schema", "must be a whole number from 1");
    }
    schema
}

fn read_kind(top: &mut reader::Object<'_>, report: &mut reader::Report) -> Option<Kind> {
    let raw = top.require("kind", report)?;
    let kind = serde_json::from_str(raw.get()).ok();
    if kind.is_none() {
        report.fault("$.kind", "must be \"service\" or \"vm\"");
    }
    kind
}

fn read_name(
    top: &mut reader::Object<'_>,
    kind: Option<Kind>,
    report: &mut reader::Report,
) -> Option<String> {
    let raw = top.require("name", report)?;
    let name: Option<String> = serde_json::from_str(raw.get()).ok();
    let valid = |name: &String| match kind {
        Some(Kind::Vm) => name.parse::<u32>().is_ok_and(|id| id.to_string() == *name),
        _ => is_name(name),
    };
    let name = name.filter(valid);
    if name.is_none() {
        let message = match kind {
            Some(Kind::Vm) => "must be the decimal id of a VM",
            _ => "must be 1 to 63 lower-case letters, digits, '-', '_' or '.'",
        };
        report.fault("$.name", message);
    }
    name
}

fn is_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

fn read_record(text: &str, report: &mut reader::Report) -> Option<Record> {
    let mut top = read_top(text, report)?;
    let parts = read_parts(&mut top, report);
    if parts
        .schema
        .is_some_and(|schema| !SCHEMAS.contains(&schema))
    {
        report.fault("$.schema", "must be 1 or 2");
        return None;
    }
    let spec = read_spec(&mut top, parts.kind, parts.schema, report);
    top.finish(report);
    let heading = parts.heading()?;
    Some(Record {
        schema: heading.schema,
        key: heading.key,
        spec: spec?,
        unknown: Vec::new(),
        text: text.to_owned(),
    })
}

fn read_spec(
    top: &mut reader::Object<'_>,
    kind: Option<Kind>,
    schema: Option<u32>,
    report: &mut reader::Report,
) -> Option<Spec> {
    let raw = top.require("spec", report)?;
    let mut object = reader::Object::read("$.spec", raw.get(), report)?;
    // With a faulty kind the spec is still read as a service, so that its faults are listed.
    let spec = match kind {
        Some(Kind::Vm) => Spec::Vm(read_vm(&mut object, report)),
        _ => Spec::Service(Box::new(read_service(
            &mut object,
            schema.unwrap_or(2),
            report,
        ))),
    };
    object.finish(report);
    Some(spec)
}

fn read_vm(object: &mut reader::Object<'_>, report: &mut reader::Report) -> VmSpec {
    let drain = object.value("drain", "true or false", report);
    VmSpec {
        drain: drain.unwrap_or_default(),
    }
}

fn read_service(
    object: &mut reader::Object<'_>,
    schema: u32,
    report: &mut reader::Report,
) -> ServiceSpec {
    let mut spec = ServiceSpec {
        hosts: read_hosts(object, report),
        ..ServiceSpec::default()
    };
    if let Some(prefix) = read_prefix(object, report) {
        spec.path_prefix = prefix;
    }
    read_methods(object, &mut spec, report);
    if let Some(number) = object.number("max_in_flight", 1, 100_000, report) {
        spec.max_in_flight = number as u32;
    }
    if let Some(number) = object.number("queue_limit", 0, 100_000, report) {
        spec.queue_limit = number as u32;
    }
    if let Some(number) = object.number("timeout_ms", 1, 600_000, report) {
        spec.timeout = time::Duration::from_millis(number);
    }
    if let Some(policy) = read_policy(object, report) {
        spec.policy = policy;
    }
    if let Some(ids) = read_list(object, "drain", report) {
        spec.drain = ids.into_iter().map(types::TargetId).collect();
    }
    if schema >= 2 {
        read_schema_2(object, &mut spec, report);
    }
    spec
}

fn read_schema_2(
    object: &mut reader::Object<'_>,
    spec: &mut ServiceSpec,
    report: &mut reader::Report,
) {
    if let Some(hedge) = read_hedge(object, report) {
        spec.hedge = hedge;
    }
    if let Some(retry) = read_retry(object, report) {
        spec.retry = retry;
    }
    if let Some(number) = object.number("fair_share_weight", 1, 10_000, report) {
        spec.fair_share_weight = number as u32;
    }
    if let Some(budget) = read_budget(object, report) {
        spec.measuring_budget = budget;
    }
    if let Some(number) = object.number("priority", 0, 1000, report) {
        spec.priority = number as u32;
    }
    if let Some(fingerprints) = read_list(object, "unblock", report) {
        spec.unblock = fingerprints;
    }
}

fn read_list(
    object: &mut reader::Object<'_>,
    name: &str,
    report: &mut reader::Report,
) -> Option<Vec<String>> {
    let path = object.path_of(name);
    let items = object.strings(name, report)?;
    if items.len() > MAX_LIST {
        report.fault(&path, format!("must have at most {MAX_LIST} elements"));
    }
    let mut seen = collections::BTreeSet::new();
    for (at, item) in items.iter().enumerate() {
        if item.is_empty() {
            report.fault(format!("{path}[{at}]"), "must not be empty");
        } else if !seen.insert(item) {
            report.fault(format!("{path}[{at}]"), "is given more than once");
        }
    }
    Some(items)
}

fn read_hosts(object: &mut reader::Object<'_>, report: &mut reader::Report) -> Vec<String> {
    let path = object.path_of("hosts");
    let faults = report.faults.len();
    let Some(hosts) = read_list(object, "hosts", report) else {
        if report.faults.len() == faults {
            report.fault(path, "is missing");
        }
        return Vec::new();
    };
    if hosts.is_empty() {
        report.fault(&path, "must name at least one host");
    }
    for (at, host) in hosts.iter().enumerate() {
        if !is_host(host) {
            let message = "must be a lower-case host name or address without port, or \"*\"";
            report.fault(format!("{path}[{at}]"), message);
        }
    }
    hosts
}

fn is_host(host: &str) -> bool {
    let name = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-.".contains(&b);
    let address = |b: u8| b.is_ascii_hexdigit() || b == b':';
    if host == "*" {
        return true;
    }
    match host
        .strip_prefix('[')
        .and_then(|rest| rest.strip_suffix(']'))
    {
        Some(inner) => !inner.is_empty() && inner.bytes().all(address),
        None => !host.is_empty() && host.len() <= 253 && host.bytes().all(name),
    }
}

fn read_prefix(object: &mut reader::Object<'_>, report: &mut reader::Report) -> Option<String> {
    let path = object.path_of("path_prefix");
    let prefix: String = object.value("path_prefix", "a string", report)?;
    let printable = prefix.bytes().all(|b| b.is_ascii_graphic());
    if !prefix.starts_with('/') || !printable || prefix.contains(['?', '#']) {
        report.fault(
            path,
            "must be a path that starts with '/', without query or fragment",
        );
        return None;
    }
    Some(routes::normalize_prefix(&prefix).to_owned())
}

fn read_methods(
    object: &mut reader::Object<'_>,
    spec: &mut ServiceSpec,
    report: &mut reader::Report,
) {
    let idempotent = read_method_list(object, "idempotent_methods", report);
    let key_required = read_method_list(object, "key_required_methods", report).unwrap_or_default();
    match idempotent {
        Some(methods) => {
            for method in methods
                .iter()
                .filter(|method| key_required.contains(method))
            {
                let message = format!("{method} is idempotent and requires a key; choose one");
                report.fault(object.path_of("key_required_methods"), message);
            }
            spec.idempotent_methods = methods;
        }
        None => {
            let kept = |method: &&str| !key_required.iter().any(|key| key == method);
            spec.idempotent_methods = service::IDEMPOTENT_METHODS
                .into_iter()
                .filter(kept)
                .map(str::to_owned)
                .collect();
        }
    }
    spec.key_required_methods = key_required;
}

fn read_method_list(
    object: &mut reader::Object<'_>,
    name: &str,
    report: &mut reader::Report,
) -> Option<Vec<String>> {
    let path = object.path_of(name);
    let methods = read_list(object, name, report)?;
    for (at, method) in methods.iter().enumerate() {
        if !method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-') {
            report.fault(format!("{path}[{at}]"), "must be an upper-case method name");
        }
    }
    Some(methods)
}

fn read_policy(object: &mut reader::Object<'_>, report: &mut reader::Report) -> Option<Policy> {
    let path = object.path_of("policy");
    let raw = object.take("policy")?;
    if raw.get().starts_with('{') {
        return read_named_policy(&path, raw.get(), report);
    }
    match serde_json::from_str::<String>(raw.get()).as_deref() {
        Ok("association") => Some(Policy::Association),
        Ok("krittlinje") => Some(Policy::Krittlinje),
        _ => {
            report.fault(
                path,
                "must be \"association\", \"krittlinje\" or an object with a name",
            );
            None
        }
    }
}

fn read_named_policy(path: &str, text: &str, report: &mut reader::Report) -> Option<Policy> {
    let mut object = reader::Object::read(path, text, report)?;
    let name = object.require("name", report);
    let name = name.and_then(|raw| serde_json::from_str::<String>(raw.get()).ok());
    let name = name.filter(|name| Policy::NAMES.contains(&name.as_str()));
    if name.is_none() {
        let message = format!("must be one of {}", Policy::NAMES.join(", "));
        report.fault(object.path_of("name"), message);
    }
    let mut parameters = collections::BTreeMap::new();
    for (parameter, raw) in object.rest() {
        match serde_json::from_str(raw.get()) {
            Ok(number) => {
                parameters.insert(parameter, number);
            }
            Err(_) => report.fault(format!("{path}.{parameter}"), "must be a whole number"),
        }
    }
    Some(Policy::Named {
        name: name?,
        parameters,
    })
}

fn read_hedge(object: &mut reader::Object<'_>, report: &mut reader::Report) -> Option<Hedge> {
    let mut hedge = object.object("hedge", report)?;
    let default = Hedge::default();
    let enabled = hedge.value("enabled", "true or false", report);
    let quantile = hedge.number("quantile_permille", 500, 999, report);
    let max = hedge.number("max_permille", 0, 100, report);
    hedge.finish(report);
    Some(Hedge {
        enabled: enabled.unwrap_or(default.enabled),
        quantile_permille: quantile.map_or(default.quantile_permille, |number| number as u32),
        max_permille: max.map_or(default.max_permille, |number| number as u32),
    })
}

fn read_retry(object: &mut reader::Object<'_>, report: &mut reader::Report) -> Option<Retry> {
    let mut retry = object.object("retry", report)?;
    let default = Retry::default();
    let enabled = retry.value("enabled", "true or false", report);
    let max = retry.number("max_permille", 0, 200, report);
    retry.finish(report);
    Some(Retry {
        enabled: enabled.unwrap_or(default.enabled),
        max_permille: max.map_or(default.max_permille, |number| number as u32),
    })
}

fn read_budget(
    object: &mut reader::Object<'_>,
    report: &mut reader::Report,
) -> Option<MeasuringBudget> {
    let mut budget = object.object("measuring_budget", report)?;
    let default = MeasuringBudget::default();
    let probes = budget.number("probes_per_second", 0, 10_000, report);
    let bytes = budget.number("bytes_per_second", 0, 10_000_000, report);
    let time = budget.number("target_us_per_second", 0, 10_000_000, report);
    budget.finish(report);
    Some(MeasuringBudget {
        probes_per_second: probes.map_or(default.probes_per_second, |number| number as u32),
        bytes_per_second: bytes.map_or(default.bytes_per_second, |number| number as u32),
        target_us_per_second: time.map_or(default.target_us_per_second, |number| number as u32),
    })
}
