//! Conversions between the `membership` messages and the core.
