//! Parses the text of a record into its effective spec or a list of validation errors.
//!
//! The rules and messages of a published schema never change, because replicas of different
//! versions must reach the same result for the same text.

use std::{collections, time};

use crate::records::{
    Hedge, Key, Kind, MAX_TEXT_BYTES, MeasuringBudget, Policy, Record, RecordHeader, Retry,
    SCHEMAS, ServiceSpec, Spec, ValidationError, VmSpec, reader, routes, service,
};
use crate::types;

const MAX_LIST_LENGTH: usize = 256;
const MAX_NAME_BYTES: usize = 63;

pub(super) fn record(text: &str) -> Result<Record, Vec<ValidationError>> {
    let mut findings = reader::Findings::default();
    let record = read_record(text, &mut findings);
    match record {
        Some(record) if findings.errors.is_empty() => Ok(Record {
            unknown: findings.unknown,
            ..record
        }),
        _ => Err(findings.errors),
    }
}

pub(super) fn header(text: &str) -> Result<RecordHeader, Vec<ValidationError>> {
    let mut findings = reader::Findings::default();
    let top = read_top(text, &mut findings);
    let header = top.and_then(|mut top| read_header(&mut top, &mut findings).header());
    match header {
        Some(header) if findings.errors.is_empty() => Ok(header),
        _ => Err(findings.errors),
    }
}

fn read_top<'a>(text: &'a str, findings: &mut reader::Findings) -> Option<reader::Object<'a>> {
    if text.len() > MAX_TEXT_BYTES {
        let message = format!("has {} bytes; the limit is {MAX_TEXT_BYTES}", text.len());
        findings.error("$", message);
        return None;
    }
    reader::Object::read("$", text, findings)
}

/// Schema, kind and name; `None` for a field that is missing or invalid.
struct PartialHeader {
    schema: Option<u32>,
    kind: Option<Kind>,
    name: Option<String>,
}

impl PartialHeader {
    fn header(self) -> Option<RecordHeader> {
        let key = Key::new(self.kind?, self.name?);
        Some(RecordHeader {
            schema: self.schema?,
            key,
        })
    }
}

fn read_header(top: &mut reader::Object<'_>, findings: &mut reader::Findings) -> PartialHeader {
    let schema = read_schema(top, findings);
    let kind = read_kind(top, findings);
    let name = read_name(top, kind, findings);
    PartialHeader { schema, kind, name }
}

fn read_schema(top: &mut reader::Object<'_>, findings: &mut reader::Findings) -> Option<u32> {
    let raw = top.require("schema", findings)?;
    let schema = serde_json::from_str(raw.get())
        .ok()
        .filter(|schema| *schema > 0);
    if schema.is_none() {
        findings.error("$.schema", "must be a whole number from 1");
    }
    schema
}

fn read_kind(top: &mut reader::Object<'_>, findings: &mut reader::Findings) -> Option<Kind> {
    let raw = top.require("kind", findings)?;
    let kind = serde_json::from_str(raw.get()).ok();
    if kind.is_none() {
        findings.error("$.kind", "must be \"service\" or \"vm\"");
    }
    kind
}

fn read_name(
    top: &mut reader::Object<'_>,
    kind: Option<Kind>,
    findings: &mut reader::Findings,
) -> Option<String> {
    let raw = top.require("name", findings)?;
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
        findings.error("$.name", message);
    }
    name
}

fn is_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

fn read_record(text: &str, findings: &mut reader::Findings) -> Option<Record> {
    let mut top = read_top(text, findings)?;
    let partial_header = read_header(&mut top, findings);
    if partial_header
        .schema
        .is_some_and(|schema| !SCHEMAS.contains(&schema))
    {
        findings.error("$.schema", "must be 1 or 2");
        return None;
    }
    let spec = read_spec(
        &mut top,
        partial_header.kind,
        partial_header.schema,
        findings,
    );
    top.finish(findings);
    let header = partial_header.header()?;
    Some(Record {
        schema: header.schema,
        key: header.key,
        spec: spec?,
        unknown: Vec::new(),
        text: text.to_owned(),
    })
}

fn read_spec(
    top: &mut reader::Object<'_>,
    kind: Option<Kind>,
    schema: Option<u32>,
    findings: &mut reader::Findings,
) -> Option<Spec> {
    let raw = top.require("spec", findings)?;
    let mut object = reader::Object::read("$.spec", raw.get(), findings)?;
    // With an invalid kind the spec is read as that of a service, so that its errors are listed
    // too.
    let spec = match kind {
        Some(Kind::Vm) => Spec::Vm(read_vm(&mut object, findings)),
        _ => Spec::Service(Box::new(read_service(
            &mut object,
            schema.unwrap_or(2),
            findings,
        ))),
    };
    object.finish(findings);
    Some(spec)
}

fn read_vm(object: &mut reader::Object<'_>, findings: &mut reader::Findings) -> VmSpec {
    let drain = object.value("drain", "true or false", findings);
    VmSpec {
        drain: drain.unwrap_or_default(),
    }
}

fn read_service(
    object: &mut reader::Object<'_>,
    schema: u32,
    findings: &mut reader::Findings,
) -> ServiceSpec {
    let mut spec = ServiceSpec {
        hosts: read_hosts(object, findings),
        ..ServiceSpec::default()
    };
    if let Some(prefix) = read_prefix(object, findings) {
        spec.path_prefix = prefix;
    }
    read_methods(object, &mut spec, findings);
    if let Some(number) = object.number("max_in_flight", 1, 100_000, findings) {
        spec.max_in_flight = number as u32;
    }
    if let Some(number) = object.number("queue_limit", 0, 100_000, findings) {
        spec.queue_limit = number as u32;
    }
    if let Some(number) = object.number("timeout_ms", 1, 600_000, findings) {
        spec.timeout = time::Duration::from_millis(number);
    }
    if let Some(policy) = read_policy(object, findings) {
        spec.policy = policy;
    }
    if let Some(ids) = read_list(object, "drain", findings) {
        spec.drain = ids.into_iter().map(types::TargetId).collect();
    }
    if schema >= 2 {
        read_schema_2(object, &mut spec, findings);
    }
    spec
}

fn read_schema_2(
    object: &mut reader::Object<'_>,
    spec: &mut ServiceSpec,
    findings: &mut reader::Findings,
) {
    if let Some(hedge) = read_hedge(object, findings) {
        spec.hedge = hedge;
    }
    if let Some(retry) = read_retry(object, findings) {
        spec.retry = retry;
    }
    if let Some(number) = object.number("fair_share_weight", 1, 10_000, findings) {
        spec.fair_share_weight = number as u32;
    }
    if let Some(budget) = read_budget(object, findings) {
        spec.measuring_budget = budget;
    }
    if let Some(number) = object.number("priority", 0, 1000, findings) {
        spec.priority = number as u32;
    }
    if let Some(fingerprints) = read_list(object, "unblock", findings) {
        spec.unblock = fingerprints;
    }
}

fn read_list(
    object: &mut reader::Object<'_>,
    name: &str,
    findings: &mut reader::Findings,
) -> Option<Vec<String>> {
    let path = object.path_of(name);
    let items = object.strings(name, findings)?;
    if items.len() > MAX_LIST_LENGTH {
        findings.error(
            &path,
            format!("must have at most {MAX_LIST_LENGTH} elements"),
        );
    }
    let mut seen = collections::BTreeSet::new();
    for (at, item) in items.iter().enumerate() {
        if item.is_empty() {
            findings.error(format!("{path}[{at}]"), "must not be empty");
        } else if !seen.insert(item) {
            findings.error(format!("{path}[{at}]"), "is given more than once");
        }
    }
    Some(items)
}

fn read_hosts(object: &mut reader::Object<'_>, findings: &mut reader::Findings) -> Vec<String> {
    let path = object.path_of("hosts");
    let errors = findings.errors.len();
    let Some(hosts) = read_list(object, "hosts", findings) else {
        if findings.errors.len() == errors {
            findings.error(path, "is missing");
        }
        return Vec::new();
    };
    if hosts.is_empty() {
        findings.error(&path, "must name at least one host");
    }
    for (at, host) in hosts.iter().enumerate() {
        if !is_host(host) {
            let message = "must be a lower-case host name or address without port, or \"*\"";
            findings.error(format!("{path}[{at}]"), message);
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
        .and_then(|remaining| remaining.strip_suffix(']'))
    {
        Some(inner) => !inner.is_empty() && inner.bytes().all(address),
        None => !host.is_empty() && host.len() <= 253 && host.bytes().all(name),
    }
}

fn read_prefix(object: &mut reader::Object<'_>, findings: &mut reader::Findings) -> Option<String> {
    let path = object.path_of("path_prefix");
    let prefix: String = object.value("path_prefix", "a string", findings)?;
    let printable = prefix.bytes().all(|b| b.is_ascii_graphic());
    if !prefix.starts_with('/') || !printable || prefix.contains(['?', '#']) {
        findings.error(
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
    findings: &mut reader::Findings,
) {
    let idempotent = read_method_list(object, "idempotent_methods", findings);
    let key_required =
        read_method_list(object, "key_required_methods", findings).unwrap_or_default();
    match idempotent {
        Some(methods) => {
            for method in methods
                .iter()
                .filter(|method| key_required.contains(method))
            {
                let message = format!("{method} is idempotent and requires a key; choose one");
                findings.error(object.path_of("key_required_methods"), message);
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
    findings: &mut reader::Findings,
) -> Option<Vec<String>> {
    let path = object.path_of(name);
    let methods = read_list(object, name, findings)?;
    for (at, method) in methods.iter().enumerate() {
        if !method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-') {
            findings.error(format!("{path}[{at}]"), "must be an upper-case method name");
        }
    }
    Some(methods)
}

fn read_policy(object: &mut reader::Object<'_>, findings: &mut reader::Findings) -> Option<Policy> {
    let path = object.path_of("policy");
    let raw = object.take("policy")?;
    if raw.get().starts_with('{') {
        return read_named_policy(&path, raw.get(), findings);
    }
    match serde_json::from_str::<String>(raw.get()).as_deref() {
        Ok("association") => Some(Policy::Association),
        Ok("krittlinje") => Some(Policy::Krittlinje),
        _ => {
            findings.error(
                path,
                "must be \"association\", \"krittlinje\" or an object with a name",
            );
            None
        }
    }
}

fn read_named_policy(path: &str, text: &str, findings: &mut reader::Findings) -> Option<Policy> {
    let mut object = reader::Object::read(path, text, findings)?;
    let name = object.require("name", findings);
    let name = name.and_then(|raw| serde_json::from_str::<String>(raw.get()).ok());
    let name = name.filter(|name| Policy::NAMES.contains(&name.as_str()));
    if name.is_none() {
        let message = format!("must be one of {}", Policy::NAMES.join(", "));
        findings.error(object.path_of("name"), message);
    }
    let mut parameters = collections::BTreeMap::new();
    for (parameter, raw) in object.remaining() {
        match serde_json::from_str(raw.get()) {
            Ok(number) => {
                parameters.insert(parameter, number);
            }
            Err(_) => findings.error(format!("{path}.{parameter}"), "must be a whole number"),
        }
    }
    Some(Policy::Named {
        name: name?,
        parameters,
    })
}

fn read_hedge(object: &mut reader::Object<'_>, findings: &mut reader::Findings) -> Option<Hedge> {
    let mut hedge = object.object("hedge", findings)?;
    let default = Hedge::default();
    let enabled = hedge.value("enabled", "true or false", findings);
    let quantile = hedge.number("quantile_permille", 500, 999, findings);
    let max = hedge.number("max_permille", 0, 100, findings);
    hedge.finish(findings);
    Some(Hedge {
        enabled: enabled.unwrap_or(default.enabled),
        quantile_permille: quantile.map_or(default.quantile_permille, |number| number as u32),
        max_permille: max.map_or(default.max_permille, |number| number as u32),
    })
}

fn read_retry(object: &mut reader::Object<'_>, findings: &mut reader::Findings) -> Option<Retry> {
    let mut retry = object.object("retry", findings)?;
    let default = Retry::default();
    let enabled = retry.value("enabled", "true or false", findings);
    let max = retry.number("max_permille", 0, 200, findings);
    retry.finish(findings);
    Some(Retry {
        enabled: enabled.unwrap_or(default.enabled),
        max_permille: max.map_or(default.max_permille, |number| number as u32),
    })
}

fn read_budget(
    object: &mut reader::Object<'_>,
    findings: &mut reader::Findings,
) -> Option<MeasuringBudget> {
    let mut budget = object.object("measuring_budget", findings)?;
    let default = MeasuringBudget::default();
    let probes = budget.number("probes_per_second", 0, 10_000, findings);
    let bytes = budget.number("bytes_per_second", 0, 10_000_000, findings);
    let time = budget.number("target_us_per_second", 0, 10_000_000, findings);
    budget.finish(findings);
    Some(MeasuringBudget {
        probes_per_second: probes.map_or(default.probes_per_second, |number| number as u32),
        bytes_per_second: bytes.map_or(default.bytes_per_second, |number| number as u32),
        target_us_per_second: time.map_or(default.target_us_per_second, |number| number as u32),
    })
}
