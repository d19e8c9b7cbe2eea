//! What the system tells a caller about a call: outcomes, reasons and the proof of not-run.

use derive_more::Display;

use crate::ledger;

/// Whether a call ran, as far as the system can prove it. Its text is the value of the header
/// `Wagtailshunt-Outcome`.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// Proved: the call did not run and will not run.
    #[display("not-run")]
    NotRun,
    /// The call may have run.
    #[display("unknown")]
    Unknown,
    /// The call ran; the answer is its stored answer.
    #[display("completed")]
    Completed,
}

impl Outcome {
    /// Combines the outcome of this attempt with what is known about earlier attempts of the call.
    /// Only together do they prove that the call was not run.
    pub fn with_earlier(self, earlier: EarlierAttempts) -> Outcome {
        match (self, earlier) {
            (Outcome::NotRun, EarlierAttempts::MayHaveRun) => Outcome::Unknown,
            (outcome, _) => outcome,
        }
    }
}

/// What is known about earlier attempts of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierAttempts {
    /// There was none, or the ledger proves that none ran.
    NoneRan,
    /// An earlier attempt may have run.
    MayHaveRun,
}

impl EarlierAttempts {
    /// Judges a call by its headers alone, as when no quorum of the ledger can be reached. Without
    /// a key the system makes no statement about other calls, so each call stands alone. With a
    /// key, only the caller's declared attempt 1 shows that there was no earlier attempt.
    pub fn from_headers(keyed: bool, attempt: Option<u32>) -> EarlierAttempts {
        match (keyed, attempt) {
            (false, None | Some(0..=1)) | (true, Some(1)) => EarlierAttempts::NoneRan,
            _ => EarlierAttempts::MayHaveRun,
        }
    }
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// No byte of the request was handed to a connection.
    NotSent,
    /// The target answered completely, with or without the marker `Wagtailshunt-Not-Run: 1`.
    Answered {
        /// Whether the answer carries the marker.
        not_run_marker: bool,
    },
    /// Bytes were sent and the connection ended, or the answer was incomplete.
    Broken,
    /// Bytes were sent and the deadline passed without a complete answer.
    TimedOut,
}

impl AttemptResult {
    /// Returns the proved outcome, or `None` when the target's answer speaks for itself. A bare
    /// 503, a reset and a timeout prove nothing.
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

/// Proof that an attempt did not run. It can only be had from an [`AttemptResult`] that proves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Returns the proof, if the attempt is one.
    pub fn of(attempt: AttemptResult) -> Option<NotRunProof> {
        (attempt.outcome() == Some(Outcome::NotRun)).then_some(NotRunProof(()))
    }
}

/// Whether the header value of `Wagtailshunt-Not-Run` is the marker.
pub fn is_not_run_marker(value: &str) -> bool {
    value.trim() == "1"
}

macro_rules! reasons {
    ($($(#[doc = $doc:literal])* $name:ident = $status:literal, $slug:literal, $title:literal;)*) => {
        /// Why the system itself answered a call. Types and statuses are stable.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Reason {
            $($(#[doc = $doc])* $name,)*
        }

        impl Reason {
            /// All reasons.
            pub const ALL: &[Reason] = &[$(Reason::$name,)*];

            /// HTTP status of the answer.
            pub fn status(self) -> u16 {
                match self {
                    $(Reason::$name => $status,)*
                }
            }

            /// Problem type URI (RFC 9457).
            pub fn type_uri(self) -> &'static str {
                match self {
                    $(Reason::$name => concat!("urn:wagtailshunt:problem:", $slug),)*
                }
            }

            /// Problem title (RFC 9457).
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
    /// The service has no target that takes new calls.
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
    /// The idempotency key is older than the kept window.
    KeyExpired = 409, "key-expired", "The idempotency key is older than the kept window";
    /// The key was used with another request.
    KeyMismatch = 422, "key-mismatch", "The idempotency key was used with another request";
    /// The key's first run has no known outcome.
    KeyUnknown = 409, "key-unknown", "The outcome of the call with this key is not known";
    /// The first run with this key has not ended.
    KeyRunning = 409, "key-running", "The call with this key is still running";
    /// The call ran and its answer was too large to be stored.
    AnswerNotStored = 409, "answer-not-stored", "The call ran; its answer was not stored";
    /// The ledger is full.
    LedgerFull = 503, "ledger-full", "No further idempotency keys can be stored";
    /// No quorum of the ledger can be reached.
    LedgerUnavailable = 503, "ledger-unavailable", "The key could not be claimed";
    /// The request is blocked because it crashed targets.
    Blocked = 503, "blocked", "The request is blocked because it crashed targets";
    /// The request waits for its turn to run isolated and did not get it in time.
    Isolated = 503, "isolated", "The request is suspected of crashing targets and had to wait";
    /// No connection to a target could be opened.
    ConnectFailed = 502, "connect-failed", "No connection to a target could be opened";
    /// The connection to the target ended or its answer was incomplete.
    ConnectionBroken = 502, "connection-broken", "The target did not answer completely";
    /// The deadline passed while the target ran the call.
    TimedOut = 504, "timed-out", "The target did not answer in time";
    /// The target marked the call as not run.
    TargetRefused = 503, "target-refused", "The target refused the call";
}

impl Reason {
    /// Reason and outcome of a claim that was not granted, or `None` when the claim was granted,
    /// waits, or has a stored answer to replay.
    pub fn of_reply(reply: &ledger::Reply) -> Option<(Reason, Outcome)> {
        match reply {
            ledger::Reply::Unknown => Some((Reason::KeyUnknown, Outcome::Unknown)),
            ledger::Reply::TooOld => Some((Reason::KeyExpired, Outcome::Unknown)),
            // The key belongs to another request; this one was not run.
            ledger::Reply::Mismatch => Some((Reason::KeyMismatch, Outcome::NotRun)),
            // A key that is not in the ledger and not below the floor never ran.
            ledger::Reply::Full => Some((Reason::LedgerFull, Outcome::NotRun)),
            ledger::Reply::Expired => Some((Reason::DeadlineUnreachable, Outcome::NotRun)),
            ledger::Reply::TooNew => Some((Reason::KeyFromFuture, Outcome::NotRun)),
            ledger::Reply::Completed(answer) if answer.body.is_none() => {
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
