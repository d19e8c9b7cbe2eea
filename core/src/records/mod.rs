//! Configuration records of services and VMs: parsing, validation and the routes that result.
//!
//! Operators submit a record as JSON text. It is stored and distributed as submitted, so that
//! fields that this version does not know are kept byte for byte. [`parse`] turns the text into a
//! [`Record`] with an effective spec, which is the same for both schema versions: the fields that
//! only schema 2 has get their defaults in records of schema 1. A gateway keeps the records in
//! force in a [`Table`].

mod error;
mod reader;
mod routes;
mod service;
mod spec_field;
mod table;
mod validate;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::types;

pub use error::{UnknownField, ValidationError};
pub use routes::{Routes, normalize_host, normalize_prefix};
pub use service::{Hedge, MeasuringBudget, Policy, Retry, ServiceSpec};
pub use spec_field::set_spec_field;
pub use table::{AppliedChanges, ApplyError, Table};

/// Schema versions that this version can enforce.
pub const SCHEMAS: [u32; 2] = [1, 2];

/// Maximum size of a record's text in bytes, which bounds the memory of the registry and the
/// gateways.
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
    /// A VM of the load balancer; the name is its id in decimal.
    #[display("vm")]
    Vm,
}

impl Kind {
    /// Returns the kind with this name, as it stands in records and request paths.
    pub fn from_name(name: &str) -> Option<Kind> {
        match name {
            "service" => Some(Kind::Service),
            "vm" => Some(Kind::Vm),
            _ => None,
        }
    }
}

/// Kind and name, which identify a record.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{kind}/{name}")]
pub struct Key {
    /// Kind of the record.
    pub kind: Kind,
    /// Name of the record, unique within the kind.
    pub name: String,
}

impl Key {
    /// Creates the key of a record.
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
    /// Whether the VM accepts no new calls.
    pub drain: bool,
}

/// Effective spec of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Spec {
    /// Spec of a record of kind `service`.
    Service(Box<ServiceSpec>),
    /// Spec of a record of kind `vm`.
    Vm(VmSpec),
}

/// A valid record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Schema version that the record states.
    pub schema: u32,
    /// Kind and name.
    pub key: Key,
    /// Effective spec.
    pub spec: Spec,
    /// Fields that this version does not know, in the order in which they were read.
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

    /// Returns the VM id and the spec of a record of kind `vm`.
    pub fn vm(&self) -> Option<(types::VmId, VmSpec)> {
        match self.spec {
            Spec::Vm(spec) => Some((types::VmId(self.key.name.parse().ok()?), spec)),
            Spec::Service(_) => None,
        }
    }
}

/// Schema, kind and name of a record, read without its spec.
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
/// Returns all errors in the text, in the order in which the fields are checked.
pub fn parse(text: &str) -> Result<Record, Vec<ValidationError>> {
    validate::record(text)
}

/// Parses and validates only schema, kind and name. This distinguishes a record of an unknown
/// schema from a malformed one.
///
/// # Errors
///
/// Returns all errors in these three fields.
pub fn parse_header(text: &str) -> Result<RecordHeader, Vec<ValidationError>> {
    validate::header(text)
}
