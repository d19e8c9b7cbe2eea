//! Conversions between the `ledger` messages and the core.
