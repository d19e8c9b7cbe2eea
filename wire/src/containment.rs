//! Conversions between the `containment` messages and the core.
