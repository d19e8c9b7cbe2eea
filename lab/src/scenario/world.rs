//! What a script drives.

use wagtailshunt_core::time;

use super::{Arg, ArgError, Args};

/// A part of the core with fakes at its interfaces, driven in virtual time.
///
/// The runner calls [`set`](World::set) for each setting, then [`start`](World::start) once.
/// After that it repeats: it moves to the earliest of the world's next event and the script's next
/// statement, calls [`advance`](World::advance) until no event is due, runs the statements of that
/// time in script order (with `advance` after each), and evaluates the `expect always` checks.
///
/// For the same settings, seed and calls a world must produce the same lines and verdicts: all
/// randomness comes from the seed, no clock is read, and no hash map's order reaches an output.
///
/// Virtual time starts at `Instant(0)`.
pub trait World {
    /// Applies `set key value` from the header. A later value for a key replaces an earlier one.
    fn set(&mut self, key: &str, value: &Arg) -> Result<(), WorldError>;

    /// Builds the world from its settings at `Instant(0)`.
    fn start(&mut self, seed: u64) -> Result<(), WorldError>;

    /// Returns the time of the earliest pending event (timer, delivery, end of a disk write).
    ///
    /// A time that has passed already means that the event is due now.
    fn next_event(&self) -> Option<time::Instant>;

    /// Handles the events that are due at `now`. Later events stay pending.
    ///
    /// The runner stops with an error when events stay due after many calls at one time.
    fn advance(&mut self, now: time::Instant);

    /// Runs a command of the script.
    fn command(&mut self, now: time::Instant, name: &str, args: &Args) -> Result<(), WorldError>;

    /// Evaluates a check. It must not change what the world does later.
    fn check(&mut self, now: time::Instant, name: &str, args: &Args)
    -> Result<Verdict, WorldError>;

    /// Takes the lines that were added to the time line since the last call, in order.
    fn timeline(&mut self) -> Vec<Line>;
}

/// Result of a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The expectation holds.
    Holds,
    /// It does not hold, for this reason.
    Fails(String),
}

impl Verdict {
    /// Returns `Holds` if `condition` is true, else `Fails` with the reason given by `reason`.
    pub fn from_condition(condition: bool, reason: impl FnOnce() -> String) -> Verdict {
        if condition {
            Verdict::Holds
        } else {
            Verdict::Fails(reason())
        }
    }
}

/// One line of a world's time line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Virtual time of the event.
    pub at: time::Instant,
    /// What happened, on one line.
    pub text: String,
}

/// An error in how a script uses a world. It is a fault of the script, not a failed expectation.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum WorldError {
    /// No world has this name.
    #[error("unknown world `{0}`")]
    UnknownWorld(String),
    /// The world has no setting of this name.
    #[error("unknown setting `{0}`")]
    UnknownSetting(String),
    /// The world has no command of this name.
    #[error("unknown command `{0}`")]
    UnknownCommand(String),
    /// The world has no check of this name.
    #[error("unknown check `{0}`")]
    UnknownCheck(String),
    /// An argument is missing or has the wrong type.
    #[error(transparent)]
    Arg(#[from] ArgError),
    /// Any other misuse.
    #[error("{0}")]
    Invalid(String),
}
