//! Framed connections between the processes of the system.
//!
//! A connection carries envelopes both ways. Each side sends a heartbeat when it has nothing else
//! to send, and closes a connection on which nothing arrives, so that a connection whose state was
//! lost on the way is replaced.

mod connection;
mod dial;
mod identity;
mod listen;

pub use connection::{Error, Handle, RECEIVE_TIMEOUT};
pub use dial::{Dialer, dial};
pub use identity::{Identity, Peer};
pub use listen::listen;
