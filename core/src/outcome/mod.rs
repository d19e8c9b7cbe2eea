//! Outcome of a call as returned to the caller: whether it ran, and for responses of the system
//! itself the reason with its HTTP status.
//!
//! The inputs are the result of the attempt at a target, the reply of the ledger of idempotency
//! keys, and the headers of the call.

use derive_more::Display;

use crate::ledger;

/// Whether a call ran, as far as the system can prove it. The `Display` text is the value of the
/// `Wagtailshunt-Outcome` header.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// It is proved that the call did not run and will not run.
    #[display("not-run")]
    NotRun,
    /// The call may have run.
    #[display("unknown")]
    Unknown,
    /// The call ran; the response is its stored response.
    #[display("completed")]
    Completed,
}

impl Outcome {
    /// Returns the outcome of the call from the outcome of its latest attempt and its earlier
    /// attempts. The call is proved not to have run only if none of its attempts ran.
    pub fn with_earlier(self, earlier: EarlierAttempts) -> Outcome {
        match (self, earlier) {
            (Outcome::NotRun, EarlierAttempts::MayHaveRun) => Outcome::Unknown,
            (outcome, _) => outcome,
        }
    }
}

/// Whether earlier attempts of a call may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierAttempts {
    /// There was no earlier attempt, or the ledger proves that none ran.
    NoneRan,
    /// An earlier attempt may have run.
    MayHaveRun,
}

impl EarlierAttempts {
    /// Decides from the headers of a call alone, for example when no quorum of the ledger can be
    /// reached. Without an idempotency key, each call is considered on its own. With a key, only
    /// the attempt number 1 from the caller shows that there was no earlier attempt.
    pub fn from_headers(keyed: bool, attempt: Option<u32>) -> EarlierAttempts {
        match (keyed, attempt) {
            (false, None | Some(0..=1)) | (true, Some(1)) => EarlierAttempts::NoneRan,
            _ => EarlierAttempts::MayHaveRun,
        }
    }
}

/// Result of an attempt at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// No byte of the request was written to a connection.
    NotSent,
    /// The target answered completely, with or without the header `Wagtailshunt-Not-Run: 1`.
    Answered {
        /// Whether the response has the header.
        not_run_marker: bool,
    },
    /// Bytes were sent and the connection ended, or the response was incomplete.
    Broken,
    /// Bytes were sent and the deadline passed without a complete response.
    TimedOut,
}

impl AttemptResult {
    /// Returns the outcome that the result proves, or `None` when the target's response is returned
    /// to the caller as it is. A 503 without the marker, a reset and a timeout are no proof that
    /// the call did not run.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            AttemptResult::NotSent
            | AttemptResult::Answered {
                not_run_marker: true,
            } => Some(Outcome::NotRun),
            AttemptResult::Answered {
                not_run_marker: false,
            } => None,
            AttemptResult::Broken | AttemptResult::TimedOut => Some(Outcome::Unknown),
        }
    }
}

/// Proof that an attempt did not run. It can only be obtained from an [`AttemptResult`] that proves
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Returns the proof if the result of the attempt is one.
    pub fn of(attempt: AttemptResult) -> Option<NotRunProof> {
        (attempt.outcome() == Some(Outcome::NotRun)).then_some(NotRunProof(()))
    }
}

/// Returns whether a value of the `Wagtailshunt-Not-Run` header marks the call as not run.
pub fn is_not_run_marker(value: &str) -> bool {
    value.trim() == "1"
}

macro_rules! reasons {
    ($($(#[doc = $doc:literal])* $name:ident = $status:literal, $slug:literal, $title:literal;)*) => {
        /// Reason for a response of the system itself. Types and statuses are stable.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Reason {
            $($(#[doc = $doc])* $name,)*
        }

        impl Reason {
            /// All reasons.
            pub const ALL: &[Reason] = &[$(Reason::$name,)*];

            /// Returns the HTTP status of the response.
            pub fn status(self) -> u16 {
                match self {
                    $(Reason::$name => $status,)*
                }
            }

            /// Returns the problem type URI (RFC 9457).
            pub fn type_uri(self) -> &'static str {
                match self {
                    $(Reason::$name => concat!("urn:wagtailshunt:problem:", $slug),)*
                }
            }

            /// Returns the problem title (RFC 9457).
            pub fn title(self) -> &'static str {
                match self {
                    $(Reason::$name => $title,)*
                }
            }
        }
    };
}

reasons! {
    /// The gateway holds no serving lease.
    NoLease = 503, "no-lease", "The gateway may not serve calls at the moment";
    /// No service matches host and path.
    NoService = 404, "no-service", "No service is registered for this host and path";
    /// The service has no target that accepts new calls.
    NoTarget = 503, "no-target", "No target of the service takes calls";
    /// The gateway is stopping.
    Stopping = 503, "stopping", "The gateway is stopping";
    /// The queue of the service is full or the call was shed.
    Overloaded = 503, "overloaded", "The service is overloaded";
    /// The call cannot be answered before its deadline.
    DeadlineUnreachable = 503, "deadline-unreachable", "The call cannot be answered in time";
    /// The caller's request is malformed.
    BadRequest = 400, "bad-request", "The request is malformed";
    /// The body exceeds the accepted size.
    BodyTooLarge = 413, "body-too-large", "The body is too large";
    /// The service requires an idempotency key for this method.
    KeyRequired = 400, "key-required", "The method requires an idempotency key";
    /// The idempotency key is not a UUIDv7.
    KeyInvalid = 400, "key-invalid", "The idempotency key is not a UUIDv7";
    /// The idempotency key's timestamp is too far in the future.
    KeyFromFuture = 400, "key-from-future", "The idempotency key is dated in the future";
    /// The idempotency key is older than the retention window of the ledger.
    KeyExpired = 409, "key-expired", "The idempotency key is older than the kept window";
    /// The idempotency key was used with another request.
    KeyMismatch = 422, "key-mismatch", "The idempotency key was used with another request";
    /// The outcome of the first call with this idempotency key is not known.
    KeyUnknown = 409, "key-unknown", "The outcome of the call with this key is not known";
    /// The first call with this idempotency key is still running.
    KeyRunning = 409, "key-running", "The call with this key is still running";
    /// The call ran, but its response was too large to be stored.
    AnswerNotStored = 409, "answer-not-stored", "The call ran; its answer was not stored";
    /// The ledger is full.
    LedgerFull = 503, "ledger-full", "No further idempotency keys can be stored";
    /// No quorum of the ledger can be reached.
    LedgerUnavailable = 503, "ledger-unavailable", "The key could not be claimed";
    /// The request is blocked because it crashed targets.
    Blocked = 503, "blocked", "The request is blocked because it crashed targets";
    /// The request is suspected of crashing targets and did not get a permit to run isolated in
    /// time.
    Isolated = 503, "isolated", "The request is suspected of crashing targets and had to wait";
    /// No connection to a target could be opened.
    ConnectFailed = 502, "connect-failed", "No connection to a target could be opened";
    /// The connection to the target ended or its response was incomplete.
    ConnectionBroken = 502, "connection-broken", "The target did not answer completely";
    /// The deadline passed while the target ran the call.
    TimedOut = 504, "timed-out", "The target did not answer in time";
    /// The target marked the call as not run.
    TargetRefused = 503, "target-refused", "The target refused the call";
}

impl Reason {
    /// Returns the reason and the outcome for a claim that was not granted; `None` when the claim
    /// was granted, is waiting, or has a stored response to replay.
    pub fn of_reply(reply: &ledger::Reply) -> Option<(Reason, Outcome)> {
        match reply {
            ledger::Reply::Unknown => Some((Reason::KeyUnknown, Outcome::Unknown)),
            ledger::Reply::TooOld => Some((Reason::KeyExpired, Outcome::Unknown)),
            // The key belongs to another request, so this one did not run.
            ledger::Reply::Mismatch => Some((Reason::KeyMismatch, Outcome::NotRun)),
            // The ledger does not contain the key, and the key is not below the floor of keys that
            // it has dropped, so no call with it ever ran.
            ledger::Reply::Full => Some((Reason::LedgerFull, Outcome::NotRun)),
            ledger::Reply::Expired => Some((Reason::DeadlineUnreachable, Outcome::NotRun)),
            ledger::Reply::TooNew => Some((Reason::KeyFromFuture, Outcome::NotRun)),
            ledger::Reply::Completed(response) if response.body.is_none() => {
                Some((Reason::AnswerNotStored, Outcome::Completed))
            }
            ledger::Reply::Granted
            | ledger::Reply::Running { .. }
            | ledger::Reply::Completed(_)
            | ledger::Reply::Done
            | ledger::Reply::NotHolder => None,
        }
    }
}
