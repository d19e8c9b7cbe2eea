//! Calls of callers: from the head to the answer.
//!
//! Read in this order: `listener` takes a request, `call` keeps its deadline, `find` looks for a
//! target with room, `attempt` sends the call there, `pool` holds the connections, `probe` asks targets for their load,
//! `crash` notices targets that are lost with a call, `allowance` bounds repeats and questions.

mod allowance;
mod answer;
mod attempt;
mod call;
mod crash;
mod find;
mod listener;
mod pool;
mod probe;
mod work;

pub use crash::reported as crash_reported;
pub use listener::{handle, may_start_early};
pub use pool::Pool;
pub use probe::run as run_probes;
pub use work::WorkTime;
