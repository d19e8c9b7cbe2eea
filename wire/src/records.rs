//! Conversions between the `records` messages and the core.
