//! Parses settings text and finds the line of a key.

use std::{collections, fmt};

use jsonc_parser::common::Ranged;
use jsonc_parser::{ast, errors};
use serde::{Deserialize, de};
use wagtailshunt_core::types;

use super::ValidationError;

/// A settings text and its syntax tree.
pub(super) struct Source<'a> {
    text: &'a str,
    root: ast::Object<'a>,
}

impl<'a> Source<'a> {
    /// Parses the syntax of a settings text.
    pub fn new(text: &'a str) -> Result<Source<'a>, ValidationError> {
        let options = parse_options();
        let collect = jsonc_parser::CollectOptions::default();
        let parsed = jsonc_parser::parse_to_ast(text, &collect, &options).map_err(|err| {
            ValidationError {
                line: err.line_display(),
                ..ValidationError::new("", err.kind().to_string())
            }
        })?;
        match parsed.value {
            Some(ast::Value::Object(root)) => Ok(Source { text, root }),
            _ => Err(ValidationError {
                line: 1,
                ..ValidationError::new("", "the text is not a JSON object")
            }),
        }
    }

    /// Converts the text to settings.
    pub fn deserialize<T: de::DeserializeOwned>(&self) -> Result<T, ValidationError> {
        let options = parse_options();
        jsonc_parser::parse_to_serde_value(self.text, &options)
            .map_err(|err| self.parse_error(&err))
    }

    /// Returns an error if one of `keys` is missing.
    pub fn require(&self, keys: &[&str]) -> Result<(), ValidationError> {
        for key in keys {
            let (found, _, complete) = self.find(key);
            if !complete {
                let line = self.line(found);
                return Err(ValidationError {
                    line,
                    ..ValidationError::new(*key, "the key is missing")
                });
            }
        }
        Ok(())
    }

    /// Adds the line number to an error that has a key.
    pub fn locate(&self, error: ValidationError) -> ValidationError {
        let (offset, ..) = self.find(&error.key);
        ValidationError {
            line: self.line(offset),
            ..error
        }
    }

    /// Converts an error of the deserializer, which has a position but not always the key.
    fn parse_error(&self, err: &errors::ParseError) -> ValidationError {
        let message = err.kind().to_string();
        let mut key = Vec::new();
        let mut offset = err.range().start;
        let object = path_to(&self.root, offset, &mut key);
        if let Some(name) = quoted(&message, "unknown field `") {
            if let Some(prop) = object.get(name) {
                offset = prop.range.start;
            }
            key.push(name);
        } else if let Some(name) = quoted(&message, "missing field `") {
            key.push(name);
        }
        ValidationError {
            line: self.line(offset),
            ..ValidationError::new(key.join("."), message)
        }
    }

    /// Returns the byte offset of the deepest existing part of `key`, its value, and whether all
    /// parts exist.
    fn find(&self, key: &str) -> (usize, Option<&ast::Value<'a>>, bool) {
        let mut object = Some(&self.root);
        let mut offset = self.root.range.start;
        let mut value = None;
        for part in key.split('.').filter(|part| !part.is_empty()) {
            let Some(prop) = object.and_then(|object| object.get(part)) else {
                return (offset, value, false);
            };
            offset = prop.range.start;
            value = Some(&prop.value);
            object = prop.value.as_object();
        }
        (offset, value, true)
    }

    fn line(&self, offset: usize) -> usize {
        let before = &self.text.as_bytes()[..offset.min(self.text.len())];
        before.iter().filter(|byte| **byte == b'\n').count() + 1
    }
}

/// Returns the parser options: JSON with comments and trailing commas.
///
/// The parser's other extensions are off. A missing comma, for example, is more often a sign of a
/// lost line than intended.
fn parse_options() -> jsonc_parser::ParseOptions {
    jsonc_parser::ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Collects the keys on the path to `offset`; returns the innermost object that contains it.
fn path_to<'a, 'b>(
    object: &'b ast::Object<'a>,
    offset: usize,
    key: &mut Vec<&'b str>,
) -> &'b ast::Object<'a> {
    let within = |prop: &&ast::ObjectProp<'a>| {
        let range = prop.range();
        (range.start..range.end).contains(&offset)
    };
    let Some(prop) = object.properties.iter().find(within) else {
        return object;
    };
    key.push(prop.name.as_str());
    match &prop.value {
        ast::Value::Object(inner) => path_to(inner, offset, key),
        _ => object,
    }
}

/// Returns the text between `prefix` and the next back quote.
fn quoted<'a>(message: &'a str, prefix: &str) -> Option<&'a str> {
    let (_, rest) = message.split_once(prefix)?;
    rest.split('`').next()
}

/// Deserializes an object whose keys are VM ids.
///
/// The deserializer provides keys as text only, from which a numeric id cannot be deserialized.
pub(super) fn by_vm<'de, D, T>(
    deserializer: D,
) -> Result<collections::BTreeMap<types::VmId, T>, D::Error>
where
    D: de::Deserializer<'de>,
    T: Deserialize<'de>,
{
    struct ByVm<T>(std::marker::PhantomData<T>);

    impl<'de, T: Deserialize<'de>> de::Visitor<'de> for ByVm<T> {
        type Value = collections::BTreeMap<types::VmId, T>;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("an object with VM ids as keys")
        }

        fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
            let mut entries = collections::BTreeMap::new();
            while let Some(key) = map.next_key::<String>()? {
                let vm = key
                    .parse()
                    .map_err(|_| de::Error::custom(format!("`{key}` is not a VM id")))?;
                entries.insert(types::VmId(vm), map.next_value()?);
            }
            Ok(entries)
        }
    }

    deserializer.deserialize_map(ByVm(std::marker::PhantomData))
}
