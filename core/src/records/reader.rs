//! Reads JSON objects field by field and collects all errors instead of stopping at the first.

use std::fmt;

use serde::de::{self, Deserialize};
use serde_json::value;

use crate::records::{UnknownField, ValidationError};

/// Names and raw values of the fields of a JSON object, in the order of the text.
pub(crate) struct Fields<'a>(pub Vec<(String, &'a value::RawValue)>);

impl<'de> Deserialize<'de> for Fields<'de> {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Visitor;

        impl<'de> de::Visitor<'de> for Visitor {
            type Value = Fields<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Fields<'de>, A::Error> {
                let mut fields = Vec::new();
                while let Some(entry) = map.next_entry()? {
                    fields.push(entry);
                }
                Ok(Fields(fields))
            }
        }

        deserializer.deserialize_map(Visitor)
    }
}

/// Errors and unknown fields found so far.
#[derive(Default)]
pub(crate) struct Findings {
    pub errors: Vec<ValidationError>,
    pub unknown: Vec<UnknownField>,
}

impl Findings {
    pub fn error(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.errors.push(ValidationError::new(path, message));
    }
}

/// A JSON object that is being read. `finish` reports the fields that were not read as unknown.
pub(crate) struct Object<'a> {
    pub path: String,
    fields: Vec<(String, &'a value::RawValue)>,
}

impl<'a> Object<'a> {
    /// Parses `text` as an object, or reports an error and returns `None`.
    pub fn read(path: &str, text: &'a str, findings: &mut Findings) -> Option<Object<'a>> {
        if !text.trim_start().starts_with('{') {
            findings.error(path, "must be an object");
            return None;
        }
        match serde_json::from_str::<Fields<'a>>(text) {
            Ok(Fields(fields)) => {
                let object = Object {
                    path: path.to_owned(),
                    fields,
                };
                object.check_duplicates(findings);
                Some(object)
            }
            Err(err) => {
                findings.error(path, format!("is not valid JSON: {err}"));
                None
            }
        }
    }

    fn check_duplicates(&self, findings: &mut Findings) {
        for (at, (name, _)) in self.fields.iter().enumerate() {
            if self.fields[..at].iter().any(|(earlier, _)| earlier == name) {
                findings.error(self.path_of(name), "is given more than once");
            }
        }
    }

    /// Returns the JSON path of a field of this object.
    pub fn path_of(&self, name: &str) -> String {
        let plain = name.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_')
            && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
        if plain {
            format!("{}.{name}", self.path)
        } else {
            format!("{}[{}]", self.path, serde_json::Value::from(name))
        }
    }

    /// Removes a field and returns its raw value.
    pub fn take(&mut self, name: &str) -> Option<&'a value::RawValue> {
        let at = self.fields.iter().position(|(field, _)| field == name)?;
        Some(self.fields.remove(at).1)
    }

    /// Removes a field and returns its raw value, or reports an error if it is missing.
    pub fn require(&mut self, name: &str, findings: &mut Findings) -> Option<&'a value::RawValue> {
        let raw = self.take(name);
        if raw.is_none() {
            findings.error(self.path_of(name), "is missing");
        }
        raw
    }

    /// Removes a field and returns its value as a `T`, or reports an error that names the
    /// type as `expected`.
    pub fn value<T: de::DeserializeOwned>(
        &mut self,
        name: &str,
        expected: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        let raw = self.take(name)?;
        let value = serde_json::from_str(raw.get()).ok();
        if value.is_none() {
            findings.error(self.path_of(name), format!("must be {expected}"));
        }
        value
    }

    /// Removes a field and returns its whole number, or reports an error if it is not within
    /// `low..=high`.
    pub fn number(
        &mut self,
        name: &str,
        low: u64,
        high: u64,
        findings: &mut Findings,
    ) -> Option<u64> {
        let raw = self.take(name)?;
        match serde_json::from_str::<u64>(raw.get()) {
            Ok(number) if (low..=high).contains(&number) => Some(number),
            _ => {
                let message = format!("must be a whole number from {low} to {high}");
                findings.error(self.path_of(name), message);
                None
            }
        }
    }

    /// Removes a field and returns its list of strings. Reports an error for each element that is
    /// not a string.
    pub fn strings(&mut self, name: &str, findings: &mut Findings) -> Option<Vec<String>> {
        let path = self.path_of(name);
        let raw = self.take(name)?;
        let Ok(items) = serde_json::from_str::<Vec<serde_json::Value>>(raw.get()) else {
            findings.error(path, "must be a list of strings");
            return None;
        };
        let mut strings = Vec::with_capacity(items.len());
        for (at, item) in items.into_iter().enumerate() {
            match item {
                serde_json::Value::String(text) => strings.push(text),
                _ => findings.error(format!("{path}[{at}]"), "must be a string"),
            }
        }
        Some(strings)
    }

    /// Removes a field and returns its nested object.
    pub fn object(&mut self, name: &str, findings: &mut Findings) -> Option<Object<'a>> {
        let raw = self.take(name)?;
        Object::read(&self.path_of(name), raw.get(), findings)
    }

    /// Returns the fields that were not removed.
    pub fn remaining(self) -> Vec<(String, &'a value::RawValue)> {
        self.fields
    }

    /// Reports the fields that were not removed as unknown.
    pub fn finish(self, findings: &mut Findings) {
        for (name, raw) in &self.fields {
            let value = raw.get().to_owned();
            findings.unknown.push(UnknownField {
                path: self.path_of(name),
                value,
            });
        }
    }
}
