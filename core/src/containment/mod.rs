//! Requests that crash targets: suspects, permits and blocks.
//!
//! A [`Gateway`] attributes lost targets to the calls that were in flight on them and reports these
//! as suspects. The [`Leader`] of group 0 counts the targets lost to each fingerprint over all
//! gateways, lets one isolated run at a time decide whether a suspect is guilty, and blocks it
//! after [`LOSSES_TO_BLOCK`] lost targets.
//!
//! Entry VMs serve without a leader; they share a [`Tally`] in place of these two.

mod fingerprint;
mod gateway;
mod instance;
mod leader;
mod message;
mod tally;

pub use fingerprint::{Fingerprint, FingerprintError, Identity};
pub use gateway::{Call, Decision, Gateway, GatewayConfig, Output, Verdict};
pub use instance::End;
pub use leader::{LOSSES_TO_BLOCK, Leader, LeaderConfig, LeaderOutput, MAX_ENTRIES, MAX_LOSSES};
pub use message::{
    CrashReport, Notice, PermitDone, PermitReply, PermitRequest, Rebuild, Record, RunResult,
    Suspect, Target,
};
pub use tally::{Counted, Tally};
