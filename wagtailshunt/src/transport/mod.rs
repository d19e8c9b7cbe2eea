//! Framed TCP connections between the processes of a cluster.
//!
//! A connection carries envelopes in both directions. Each side sends heartbeats while it has no
//! other frames, and closes a connection on which it receives nothing. A connection whose state was
//! lost in the network is thereby replaced.

mod connection;
mod dial;
mod identity;
mod listen;

pub use connection::{Error, Handle, Payload, RECEIVE_TIMEOUT};
pub use dial::{Dialer, dial};
pub use identity::{Identity, Peer};
pub use listen::listen;
