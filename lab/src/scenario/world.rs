//! Interface between the script runner and a simulated part of the system.

use wagtailshunt_core::time;

use super::{Arg, ArgError, Args};

/// A part of the core whose interfaces are simulated and that runs in virtual time.
///
/// The runner calls [`set`](World::set) for each setting, then [`start`](World::start) once.
/// Then it repeats these steps: it moves to the time of the world's next event or of the script's
/// next statement, whichever is earlier; calls [`advance`](World::advance) until no event is due;
/// runs the statements of that time in script order, with `advance` after each; and evaluates the
/// `expect by` and `expect always` checks.
///
/// A world must be deterministic: the same settings, seed and sequence of method calls produce the
/// same lines and verdicts. All randomness comes from the seed, no clock is read, and no output
/// depends on the iteration order of a hash map.
///
/// Virtual time starts at `Instant(0)`.
pub trait World {
    /// Applies `set key value` from the header. A later value of a key replaces an earlier one.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is unknown or the value has the wrong type.
    fn set(&mut self, key: &str, value: &Arg) -> Result<(), WorldError>;

    /// Builds the world from its settings at `Instant(0)`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings do not allow a start.
    fn start(&mut self, seed: u64) -> Result<(), WorldError>;

    /// Returns the time of the earliest pending event (timer, delivery, end of a disk write).
    ///
    /// A time in the past means that the event is due now.
    fn next_event(&self) -> Option<time::Instant>;

    /// Handles the events that are due at `now`. Later events stay pending.
    ///
    /// The runner stops with an error if events are still due after many calls at one time.
    fn advance(&mut self, now: time::Instant);

    /// Runs a command of the script.
    ///
    /// # Errors
    ///
    /// Returns an error if the command is unknown or its arguments are invalid.
    fn command(&mut self, now: time::Instant, name: &str, args: &Args) -> Result<(), WorldError>;

    /// Evaluates a check. This must not change the later behaviour of the world.
    ///
    /// # Errors
    ///
    /// Returns an error if the check is unknown or its arguments are invalid.
    fn check(&mut self, now: time::Instant, name: &str, args: &Args)
    -> Result<Verdict, WorldError>;

    /// Removes and returns the lines that were added to the time line since the last call, in
    /// order.
    fn timeline(&mut self) -> Vec<Line>;
}

/// Result of a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The expectation holds.
    Holds,
    /// The expectation does not hold, for this reason.
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
    /// Description of the event, without line breaks.
    pub text: String,
}

/// Misuse of a world by a script, as opposed to a failed expectation.
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
    /// Any other misuse, with its description.
    #[error("{0}")]
    Invalid(String),
}
