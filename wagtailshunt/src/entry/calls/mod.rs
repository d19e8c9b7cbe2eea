//! Handling of calls, from the request head to the response.
//!
//! `handler` matches a request to a route, `call` runs its attempts until the deadline,
//! `target_search` finds a target with capacity, and `attempt` sends the call to it. `pool` keeps
//! idle connections, `probe` requests the load of targets, `crash` detects targets that crash
//! during a call, `budget` limits retries and probes, `work` estimates the service time of a route,
//! and `failure` builds error responses. `key_check` checks the API key of a call, `shed` refuses calls
//! by what their loss costs callers, and `hedging` decides when a slow call gets a second attempt.
//! `record` logs attempts and updates estimates. `relay` sends calls to another VM while this one has
//! lost its path to the targets.

mod attempt;
mod budget;
mod call;
mod cold_target;
mod crash;
mod failure;
mod handler;
mod hedging;
mod key_check;
mod pool;
mod probe;
mod record;
mod relay;
mod response;
mod shed;
mod stopping;
mod target_search;
mod work;

pub use attempt::{Destination, Withdrawal, accepts_connection};
pub(super) use call::{configured_search, room_rule};
pub(super) use cold_target::has_repeatable_calls;
pub use crash::crash_received;
pub use failure::Failure;
pub use handler::{MAX_LOGGED_TEXT_CHARS, handle, handle_relayed, may_start_early};
pub use pool::Pool;
pub use probe::run as run_probes;
pub use work::ServiceTime;
