//! Load pattern: callers of many workspaces, spread unevenly over many VMs, of which most send less
//! than one call a second to a VM and a few send ten times what they are allowed.
//!
//! The leader keeps a token bucket for each workspace with an allowance ([`Grantor`]). A VM asks it for
//! the tokens that it needs ([`Holder`]); one question covers all workspaces whose calls wait. A token
//! is valid for a short time from the question, by the clock of the VM that asked. A refusal states when
//! to ask again; until then the VM refuses by itself. The leader lends some tokens to a few VMs
//! ([`Deputy`]), which grant them while the leader is silent. [`Numbers`] states how the validity, the
//! number of tokens in existence and the loans keep the bound on the calls of all VMs together.
//!
//! The I/O layer asks a leader only, and lets the leader grant only while a quorum confirms it
//! ([`crate::replication::Node::lease_begin`]), so that the grants of two leaders never overlap
//! in time.

mod account;
mod deputy;
mod holder;
mod leader;
mod numbers;
mod report;

pub use self::deputy::{Deputy, LoanRequest};
pub use self::holder::{Decision, Holder, Outlook, Question, Ticket};
pub use self::leader::{Answer, Ask, Grantor, Lenders};
pub use self::numbers::{Bound, Numbers};
pub use self::report::{Report, UnansweredReport};

/// Identifies a workspace in messages: a hash of its name.
///
/// Two names with the same hash would share a bucket; with 64 bits and thousands of workspaces this is
/// improbable enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceId(pub u64);

impl WorkspaceId {
    /// Returns the id of the workspace with this name: FNV-1a with the finalizer of MurmurHash3, equal
    /// on all VMs and builds.
    pub fn of(name: &str) -> WorkspaceId {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        for byte in name.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
        hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        WorkspaceId(hash ^ (hash >> 33))
    }
}
