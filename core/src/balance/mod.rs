//! Choosing a target for a call.
