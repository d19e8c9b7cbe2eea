//! Records that operators submit: schemas, validation and effective form.
//!
//! The text of a record is stored as submitted, so fields that this version does not know survive
//! byte for byte. Both schema versions are turned into one effective form, in which a field of
//! schema 2 that a schema 1 record cannot state has its default.

mod amend;
mod error;
mod reader;
mod routes;
mod service;
mod table;
mod validate;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::types;

pub use amend::set_spec_field;
pub use error::{UnknownField, ValidationError};
pub use routes::{Routes, normalize_host, normalize_prefix};
pub use service::{Hedge, MeasuringBudget, Policy, Retry, ServiceSpec};
pub use table::{AppliedChanges, ApplyError, Table};

/// Schemas that this version can enforce.
pub const SCHEMAS: [u32; 2] = [1, 2];

/// Largest text of a record in bytes. It bounds the memory of registry and gateways.
pub const MAX_TEXT_BYTES: usize = 4096;

/// Kind of a record.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A service and how callers reach it.
    #[display("service")]
    Service,
    /// One of the system's own VMs; the name is the decimal VM id.
    #[display("vm")]
    Vm,
}

impl Kind {
    /// Returns the kind with this name, as used in records and request paths.
    pub fn from_name(name: &str) -> Option<Kind> {
        match name {
            "service" => Some(Kind::Service),
            "vm" => Some(Kind::Vm),
            _ => None,
        }
    }
}

/// Identifies a record.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{kind}/{name}")]
pub struct Key {
    /// Kind of the record.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
}

impl Key {
    /// Returns the key of a record.
    pub fn new(kind: Kind, name: impl Into<String>) -> Key {
        Key {
            kind,
            name: name.into(),
        }
    }
}

/// Spec of a record of kind `vm`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VmSpec {
    /// Whether the VM stops taking new calls.
    pub drain: bool,
}

/// Effective spec of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Spec {
    /// Of a service.
    Service(Box<ServiceSpec>),
    /// Of a VM.
    Vm(VmSpec),
}

/// A valid record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Schema version that the record states.
    pub schema: u32,
    /// Kind and name.
    pub key: Key,
    /// Effective form.
    pub spec: Spec,
    /// Fields that this version does not know, in the order of the text.
    pub unknown: Vec<UnknownField>,
    /// Text as submitted.
    pub text: String,
}

impl Record {
    /// Returns the spec of a record of kind `service`.
    pub fn service(&self) -> Option<&ServiceSpec> {
        match &self.spec {
            Spec::Service(spec) => Some(spec),
            Spec::Vm(_) => None,
        }
    }

    /// Returns id and spec of a record of kind `vm`.
    pub fn vm(&self) -> Option<(types::VmId, VmSpec)> {
        match self.spec {
            Spec::Vm(spec) => Some((types::VmId(self.key.name.parse().ok()?), spec)),
            Spec::Service(_) => None,
        }
    }
}

/// Schema, kind and name of a record whose spec has not been validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordHeader {
    /// Schema version that the record states.
    pub schema: u32,
    /// Kind and name.
    pub key: Key,
}

/// Parses and validates the text of a record.
///
/// # Errors
///
/// Returns every fault of the text at once, in the order of the fields.
pub fn parse(text: &str) -> Result<Record, Vec<ValidationError>> {
    validate::record(text)
}

/// Reads schema, kind and name only, so that a record of a schema that this version does not know
/// can still be told apart from a malformed one.
///
/// # Errors
///
/// Returns every fault of these three fields.
pub fn parse_header(text: &str) -> Result<RecordHeader, Vec<ValidationError>> {
    validate::header(text)
}
