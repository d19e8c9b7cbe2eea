//! First frame of a connection: the identity that a process sends, and the check of the peer's.

use wagtailshunt_core::{event, types};
use wagtailshunt_wire::generated::envelope;

use crate::{events, http, transport};

/// Identity of this process, sent in the first frame of each connection.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the cluster; a peer of another cluster is refused.
    pub cluster: String,
    /// Id of the VM of this process.
    pub vm: types::VmId,
    /// Incarnation of this process.
    pub incarnation: types::Incarnation,
    /// Role of this process.
    pub role: types::Role,
    /// Failure domain of the VM.
    pub failure_domain: types::FailureDomain,
    /// Highest record schema that this process can enforce.
    pub schema: u32,
    /// Shared key of the cluster.
    pub key: http::Key,
    /// Event log of this process.
    pub events: events::EventLog,
}

/// Identity of the other side of a connection, taken from its first frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Id of the VM of the peer.
    pub vm: types::VmId,
    /// Incarnation of the peer.
    pub incarnation: types::Incarnation,
    /// Role of the peer.
    pub role: types::Role,
    /// Failure domain of the peer.
    pub failure_domain: types::FailureDomain,
    /// Highest record schema that the peer can enforce.
    pub schema: u32,
}

impl Identity {
    /// Returns an envelope from this process with the given body, or without one that is encoded already.
    pub fn envelope(
        &self,
        request: u64,
        body: Option<envelope::envelope::Body>,
    ) -> envelope::Envelope {
        envelope::Envelope {
            vm: self.vm.0,
            incarnation: self.incarnation.0,
            clock: self.events.stamp().0,
            request,
            body,
        }
    }

    /// Returns the first frame of a connection from this process.
    pub fn hello(&self) -> envelope::Envelope {
        let hello = envelope::Hello {
            cluster: self.cluster.clone(),
            key: self.key.reveal().to_owned(),
            role: role_number(self.role),
            failure_domain: self.failure_domain.0.clone(),
            schema: self.schema,
        };
        self.envelope(0, Some(envelope::envelope::Body::Hello(hello)))
    }

    /// Checks the first frame of a peer and returns the peer's identity.
    ///
    /// # Errors
    ///
    /// [`transport::Error::Refused`] with the reason.
    pub fn admit(&self, first_frame: &envelope::Envelope) -> Result<Peer, transport::Error> {
        let Some(envelope::envelope::Body::Hello(hello)) = &first_frame.body else {
            return Err(transport::Error::Refused("the first frame is not a hello"));
        };
        if hello.cluster != self.cluster {
            return Err(transport::Error::Refused("wrong cluster"));
        }
        if !self.key.matches(hello.key.as_bytes()) {
            return Err(transport::Error::Refused("wrong key"));
        }
        let role = match hello.role {
            1 => types::Role::Gateway,
            2 => types::Role::Control,
            _ => return Err(transport::Error::Refused("unknown role")),
        };
        self.events.observe(event::Stamp(first_frame.clock));
        Ok(Peer {
            vm: types::VmId(first_frame.vm),
            incarnation: types::Incarnation(first_frame.incarnation),
            role,
            failure_domain: types::FailureDomain(hello.failure_domain.clone()),
            schema: hello.schema,
        })
    }
}

fn role_number(role: types::Role) -> u32 {
    match role {
        types::Role::Gateway => 1,
        types::Role::Control => 2,
    }
}
