//! Identifiers that several modules share.

use derive_more::{AsRef, Display, From, Into};
use serde::{Deserialize, Serialize};

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    };
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into, AsRef,
            Serialize, Deserialize,
        )]
        #[from(String, &str)]
        #[as_ref(str)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }
    };
}

number_id!(
    /// A VM of the load balancer, unique within a cluster.
    VmId(u32)
);
number_id!(
    /// One run of a process or target, from start to end; a later start has a larger number.
    Incarnation(u64)
);
number_id!(
    /// Revision of the registry: the log index of the change that produced it.
    Revision(u64)
);
number_id!(
    /// A replicated group; group 0 is the registry, the others are ledger shards.
    GroupId(u32)
);
number_id!(
    /// Election term of a replicated group.
    Term(u64)
);
number_id!(
    /// Position in a replicated log, starting at 1.
    LogIndex(u64)
);
text_id!(
    /// A set of VMs and targets that can fail together.
    FailureDomain
);
text_id!(
    /// Name of a service that callers reach through the gateways.
    ServiceName
);
text_id!(
    /// Id of a target, unique within its service.
    TargetId
);
text_id!(
    /// Identifier that an operator gives a request, by which a resent request is recognised.
    RequestId
);

/// Role of a VM in the cluster.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Forwards calls from callers to targets.
    #[display("gateway")]
    Gateway,
    /// Holds replicated state on disk.
    #[display("control")]
    Control,
}
