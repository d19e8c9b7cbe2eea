//! Containment of requests that crash targets.
//!
//! A request that crashes its target must not crash one target after another as it is sent again.
//! The module decides which requests are suspects, which of them may run, and which are blocked;
//! its inputs are the ends of connections and calls on the gateways.
//!
//! A [`Gateway`] attributes each lost target to the requests that were in flight on it and reports
//! these as suspects. The [`Leader`] of group 0 counts the lost targets by request fingerprint over
//! all gateways, permits one isolated run of a suspect at a time, and blocks a request after
//! [`LOSSES_TO_BLOCK`] lost targets.
//!
//! Entry VMs run without this leader. They exchange crash messages and use a [`CrashCounter`]
//! instead.

mod crash_counter;
mod fingerprint;
mod gateway;
mod instance;
mod leader;
mod message;

pub use crash_counter::{CrashCounter, RecordResult};
pub use fingerprint::{Fingerprint, FingerprintError, Identity};
pub use gateway::{Call, Decision, Gateway, GatewayConfig, Output, PermitDecision};
pub use instance::ConnectionEnd;
pub use leader::{
    LOSSES_TO_BLOCK, LOSSES_TO_BLOCK_AMBIGUOUS, Leader, LeaderConfig, LeaderOutput, MAX_ENTRIES,
};
pub use message::{
    CrashReport, Notice, PermitDone, PermitReply, PermitRequest, Rebuild, Record, RunResult,
    Suspect, Target,
};
