//! Decision core of the wagtailshunt load balancer.
//!
//! Every module is a state machine without input or output: inputs are methods that take the
//! current time, outputs are pulled with `poll_output`.

pub mod time;
pub mod types;
