//! Sets one field in the text of a record and keeps all other bytes.

use crate::records::{ValidationError, reader};

/// Returns `text` with the field `name` of its spec set to `value`, which is JSON text.
///
/// All other bytes are kept, so that an older program does not drop fields that it does not know.
///
/// # Errors
///
/// Returns validation errors if `text` is not an object with an object `spec`, or `value` is not
/// valid JSON.
pub fn set_spec_field(text: &str, name: &str, value: &str) -> Result<String, Vec<ValidationError>> {
    let mut findings = reader::Findings::default();
    if serde_json::from_str::<&serde_json::value::RawValue>(value).is_err() {
        findings.error(format!("$.spec.{name}"), "is not valid JSON");
    }
    let spec = reader::Object::read("$", text, &mut findings)
        .and_then(|mut top| top.require("spec", &mut findings));
    let fields = spec.and_then(|spec| reader::Object::read("$.spec", spec.get(), &mut findings));
    let (Some(spec), Some(mut fields), true) = (spec, fields, findings.errors.is_empty()) else {
        return Err(findings.errors);
    };
    if let Some(old) = fields.take(name) {
        return Ok(splice(text, old.get(), value));
    }
    Ok(splice(
        text,
        spec.get(),
        &append_field(spec.get(), name, value),
    ))
}

/// Replaces `part`, which must be a slice of `text`, in a copy of `text`.
fn splice(text: &str, part: &str, replacement: &str) -> String {
    let start = part.as_ptr() as usize - text.as_ptr() as usize;
    let end = start + part.len();
    format!("{}{replacement}{}", &text[..start], &text[end..])
}

fn append_field(object: &str, name: &str, value: &str) -> String {
    let end = object.rfind('}').unwrap_or(object.len());
    let head = object[..end].trim_end();
    let comma = if head.ends_with('{') { "" } else { ", " };
    let name = serde_json::Value::from(name);
    format!("{head}{comma}{name}: {value}{}", &object[head.len()..])
}
