//! Settings of the world.

use std::time::Duration;

use crate::scenario;

macro_rules! settings {
    ($($(#[doc = $doc:literal])* $name:ident: $type:ty = $default:expr, $read:ident;)*) => {
        /// Settings, with the names that scripts use.
        #[derive(Clone, Debug)]
        pub(super) struct Settings {
            $($(#[doc = $doc])* pub(super) $name: $type,)*
        }

        impl Default for Settings {
            fn default() -> Self {
                Settings { $($name: $default,)* }
            }
        }

        impl Settings {
            pub(super) fn set(
                &mut self,
                key: &str,
                value: &scenario::Arg,
            ) -> Result<(), scenario::WorldError> {
                match key {
                    $(stringify!($name) => self.$name = value.$read()?,)*
                    _ => return Err(scenario::WorldError::UnknownSetting(key.to_owned())),
                }
                Ok(())
            }
        }
    };
}

settings! {
    /// Number of gateways.
    gateways: u64 = 3, as_u64;
    /// Number of targets.
    targets: u64 = 6, as_u64;
    /// Interval of the timers of gateways and control VMs.
    tick: Duration = Duration::from_millis(100), as_duration;
    /// Mean time for which a target runs a call.
    service_time: Duration = Duration::from_millis(5), as_duration;
    /// Time from a crash of a target to its restart.
    restart: Duration = Duration::from_millis(1_500), as_duration;
    /// Time from the loss of a ledger leader to the next one.
    election: Duration = Duration::from_millis(700), as_duration;
    /// Share of answers that are lost with their connection's state in a middlebox.
    lost: f64 = 0.0, as_f64;
    /// Share of answers that arrive after the deadline.
    late: f64 = 0.0, as_f64;
    /// Share of answers that arrive twice.
    doubled: f64 = 0.0, as_f64;
    /// Share of answers that belong to another call.
    crossed: f64 = 0.0, as_f64;
    /// Share of answers that end early.
    truncated: f64 = 0.0, as_f64;
    /// Share of calls whose connection is reset after the run.
    reset: f64 = 0.0, as_f64;
    /// Share of calls that are refused with the marker of not-run.
    refused: f64 = 0.0, as_f64;
    /// Share of calls that get a bare 503, half of them after the run.
    bare: f64 = 0.0, as_f64;
    /// Share of messages between gateways and control that are lost.
    control_lost: f64 = 0.0, as_f64;
    /// Share of messages between gateways and control that arrive twice, the second one late.
    control_doubled: f64 = 0.0, as_f64;
    /// Keyed calls are claimed before dispatch.
    claims: bool = true, as_bool;
    /// A call that gave up is not dispatched when its grant arrives late.
    grant_fence: bool = true, as_bool;
    /// Late grants are released.
    late_release: bool = true, as_bool;
    /// Only proofs release a dispatched call.
    proofs: bool = true, as_bool;
    /// The digest of the request is compared.
    digests: bool = true, as_bool;
    /// Claims of one gateway are told apart.
    claim_numbers: bool = true, as_bool;
    /// Resends wait for the outcome of the first run.
    waiting: bool = true, as_bool;
    /// Expired claims become unknown; without it the key is free again.
    expiry_is_unknown: bool = true, as_bool;
    /// Keys below the floor do not run; without it they are free again.
    floor: bool = true, as_bool;
    /// The outcome is committed before the answer is passed on.
    commit_first: bool = true, as_bool;
    /// Without a quorum the declared attempt decides between not-run and unknown.
    attempts: bool = true, as_bool;
    /// Suspects are isolated and guilty requests blocked.
    containment: bool = true, as_bool;
    /// Gateways tell a new leader what they know of suspects and blocks.
    rebuild: bool = true, as_bool;
    /// Success clears a suspect.
    clearing: bool = true, as_bool;
    /// Idempotent calls move from silent connections.
    silence: bool = true, as_bool;
    /// Calls that must not repeat need a connection that is proved alive.
    proof_of_life: bool = true, as_bool;
    /// Answers are checked for completeness and for their call.
    framing: bool = true, as_bool;
}
