//! Settings of the world: the fault rates and mechanisms that a script sets by name.

use std::time::Duration;

use crate::scenario;

macro_rules! settings {
    ($($(#[doc = $doc:literal])* $name:ident: $type:ty = $default:expr, $read:ident;)*) => {
        /// Settings under the names that scripts use.
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
    /// Time from the loss of a ledger leader to the election of the next one.
    election: Duration = Duration::from_millis(700), as_duration;
    /// Share of responses that are lost because a middlebox drops the connection's state.
    lost: f64 = 0.0, as_f64;
    /// Share of responses that arrive after the deadline.
    late: f64 = 0.0, as_f64;
    /// Share of responses that arrive twice.
    doubled: f64 = 0.0, as_f64;
    /// Share of responses that are replaced by the response to another call.
    crossed: f64 = 0.0, as_f64;
    /// Share of responses that end before their stated length.
    truncated: f64 = 0.0, as_f64;
    /// Share of calls whose connection is reset after the run.
    reset: f64 = 0.0, as_f64;
    /// Share of calls that the target refuses with the marker that it did not run them.
    refused: f64 = 0.0, as_f64;
    /// Share of calls that get a 503 without that marker, half of them after they ran.
    bare: f64 = 0.0, as_f64;
    /// Share of messages between gateways and control that are lost.
    control_lost: f64 = 0.0, as_f64;
    /// Share of messages between gateways and control that arrive twice, the copy after a delay.
    control_doubled: f64 = 0.0, as_f64;
    /// A gateway claims the key of a call before it dispatches the call.
    claims: bool = true, as_bool;
    /// A call whose claim was abandoned is not dispatched when the grant arrives late.
    grant_fence: bool = true, as_bool;
    /// Gateways release grants that arrive late.
    late_release: bool = true, as_bool;
    /// The claim of a dispatched call is released only with proof that the call did not run.
    proofs: bool = true, as_bool;
    /// The ledger compares the digest of a request with that of the stored claim.
    digests: bool = true, as_bool;
    /// Each claim of a gateway has its own number.
    claim_numbers: bool = true, as_bool;
    /// Resends wait for the result of the run in progress.
    waiting: bool = true, as_bool;
    /// An expired claim gets an unknown outcome; when off, the key becomes free.
    expiry_is_unknown: bool = true, as_bool;
    /// Keys below the retention floor do not run; when off, they become free.
    floor: bool = true, as_bool;
    /// The outcome is committed before the response is forwarded.
    commit_first: bool = true, as_bool;
    /// Without a quorum, the attempt number that the caller declares decides between not-run and
    /// unknown.
    attempts: bool = true, as_bool;
    /// Suspected requests are isolated, and requests that crash targets are blocked.
    containment: bool = true, as_bool;
    /// Gateways send their records of suspects and blocks to a new leader.
    rebuild: bool = true, as_bool;
    /// A successful run clears a suspect.
    clearing: bool = true, as_bool;
    /// Idempotent calls on a silent connection are sent again on another one.
    silence: bool = true, as_bool;
    /// Calls that are not idempotent use only connections with recent proof of life.
    proof_of_life: bool = true, as_bool;
    /// Responses are checked for completeness and for the call that they belong to.
    framing: bool = true, as_bool;
}
