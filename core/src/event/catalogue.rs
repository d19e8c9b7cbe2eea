//! The catalogue of events: number, name, level and log text. `docs/events.md` describes each
//! event.

use derive_more::Display;

/// Severity of an event.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Level {
    /// A failure that requires an operator's attention.
    #[display("error")]
    Error,
    /// An unusual condition that was handled.
    #[display("warn")]
    Warn,
    /// A change of state.
    #[display("info")]
    Info,
    /// Details for debugging.
    #[display("debug")]
    Debug,
}

/// Entry of the catalogue.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Identifier of the event, which has its number.
    pub id: Id,
    /// Severity of the event.
    pub level: Level,
    /// Text of the event in logs.
    pub text: &'static str,
}

macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// Identifier of an event. The number of a released event never changes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[repr(u16)]
        pub enum Id {
            $(#[doc = $text] $name = $number,)*
        }

        impl Id {
            /// Returns the number of the event.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// Returns the catalogue entry of the event.
            pub fn entry(self) -> &'static Entry {
                match self {
                    $(Id::$name => &Entry { id: Id::$name, level: Level::$level, text: $text },)*
                }
            }
        }

        /// All events, in the order of their numbers.
        pub const CATALOGUE: &[Entry] = &[
            $(Entry { id: Id::$name, level: Level::$level, text: $text },)*
        ];
    };
}

events! {
    ProcessStarted = 1, Info, "process started";
    ProcessStopping = 2, Info, "planned shutdown started";
    ProcessStopped = 3, Info, "process stopped";
    ListenerFailed = 4, Error, "listener failed";
    PeerConnected = 10, Info, "connection to peer established";
    PeerLost = 11, Warn, "connection to peer lost";
    PeerRefused = 12, Warn, "peer refused: wrong cluster, key or frame";
    RoleChanged = 20, Info, "role in a replicated group changed";
    SnapshotTaken = 21, Info, "snapshot taken";
    SnapshotInstalled = 22, Info, "snapshot from another VM installed";
    StorageRecovered = 23, Info, "replicated group recovered from disk";
    StorageFailed = 24, Error, "storage failed";
    MembershipChanged = 25, Info, "membership of a replicated group changed";
    RecordAccepted = 30, Info, "record accepted";
    RecordRefused = 31, Info, "record refused";
    RecordInForce = 32, Info, "record in force on every VM";
    RecordApplied = 33, Info, "record applied";
    LeaseGranted = 40, Info, "serving lease acquired";
    LeaseLost = 41, Warn, "serving lease expired; new calls are refused";
    TargetJoined = 50, Info, "target announced itself";
    TargetChanged = 51, Info, "target changed state";
    TargetLeft = 52, Info, "target left";
    TargetEjected = 53, Warn, "target ejected after consecutive failures";
    TargetRestored = 54, Info, "ejected target restored";
    AnnouncementRefused = 55, Warn, "announcement refused";
    CallRefused = 60, Debug, "call refused before dispatch";
    CallRetried = 61, Debug, "call retried";
    CallUnknown = 62, Warn, "call ended with an unknown outcome";
    CallReplayed = 63, Info, "stored answer replayed";
    CallAborted = 64, Warn, "answer ended early; connection to caller aborted";
    RequestRejected = 65, Warn, "malformed request rejected";
    ClaimGranted = 70, Debug, "idempotency key claimed";
    ClaimCompleted = 71, Info, "keyed call completed";
    ClaimUnknown = 72, Warn, "keyed call has an unknown outcome";
    ConnectionSilent = 80, Warn, "connection to target went silent";
    ConnectionDestroyed = 81, Warn, "connection to target destroyed";
    SuspectReported = 90, Warn, "request suspected of crashing a target";
    RequestBlocked = 91, Error, "request blocked after crashing targets";
    BlockLifted = 92, Info, "block of a request lifted";
    CallFinished = 110, Info, "call finished";
    AttemptFailed = 111, Info, "attempt at a target failed";
    CallHedged = 112, Info, "call sent to a second target";
    CallRelayed = 113, Info, "call relayed by another VM";
    OrderDecided = 120, Info, "configuration change decided";
    ConfigurationApplied = 121, Info, "configuration applied";
    LeaderKnown = 122, Info, "leader known";
    LeaderUnknown = 123, Warn, "leader lost";
    GroupFounded = 124, Info, "replicated group bootstrapped";
    ReadinessChanged = 125, Info, "readiness changed";
    TargetDeparted = 126, Info, "deregistration of a target applied";
    LinesDropped = 127, Warn, "log lines dropped";
    SettingsReloaded = 128, Info, "settings file reloaded";
    VmLearned = 129, Info, "peer VM discovered";
    TargetLostWithCall = 130, Warn, "target lost while it ran a call";
    DiskSpaceLow = 131, Warn, "disk space low";
    DiskFull = 132, Warn, "disk full or writable again";
    TargetsLearned = 133, Info, "targets added from a list";
    PathChanged = 134, Warn, "path to the targets lost or regained";
    StateSent = 135, Info, "state or missing commands sent to a VM";
    StateReceived = 136, Info, "state received from a VM";
    MemoryShort = 137, Warn, "memory budget exhausted";
    MemoryAvailable = 138, Info, "memory budget available again";
    ConnectionsReplaced = 139, Warn, "idle connections closed for new ones";
    KeyLeaseGained = 140, Info, "lease on keys acquired";
    KeyLeaseLost = 141, Warn, "lease on keys expired; calls with keys wait or are refused";
    KeysUnconfirmed = 142, Warn, "no lease on keys; calls with keys are refused";
    AllowanceExceeded = 143, Warn, "workspace over its allowance";
    AllowanceKept = 144, Info, "workspace no longer over its allowance";
    AllowanceUnanswered = 145, Warn, "allowances decided without the leader";
    EvacuationChanged = 146, Warn, "evacuation of a failure domain started or ended";
    ColdTargetReported = 147, Info, "cold target reported to all VMs";
    ColdTargetsHeld = 148, Info, "number of cold targets held by this VM changed";
    ColdTargetsAssumed = 149, Info, "targets counted as cold after an evacuation";
    CapacityShort = 150, Warn, "slots of a service short or sufficient again";
    RetriesShort = 151, Warn, "retry budget of a service short or sufficient again";
    CallShed = 152, Debug, "call refused to shed load";
    RosterChanged = 153, Info, "peer VMs learned";
    DepartureStated = 154, Info, "target states that it leaves";
}
