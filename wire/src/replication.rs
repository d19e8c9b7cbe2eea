//! Conversions between the `replication` messages and the core.
