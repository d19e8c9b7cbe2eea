//! Checks that the response to a request on a connection is complete and belongs to the call.
//!
//! The I/O layer reports the progress of the request and the parts of the response; the result
//! decides whether the response may be passed to the caller and whether the connection may be
//! reused.

use derive_more::{Display, Error};

/// How the end of a response body is determined (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// No body, as in responses to HEAD or with status 204 or 304.
    Empty,
    /// `Content-Length` in bytes.
    Known(u64),
    /// Chunked transfer coding; complete only with the last chunk.
    Chunked,
    /// The body ends with the connection, so truncation cannot be detected.
    UntilClose,
}

/// Properties of a response head that determine completeness and reuse.
#[derive(Clone, Copy, Debug)]
pub struct Head {
    /// Call id echoed by the target, if any.
    pub echoed_call: Option<u64>,
    /// How the end of the body is determined.
    pub length: BodyLength,
    /// Whether the target keeps the connection open after this response.
    pub keep_alive: bool,
}

/// Reason why a response must not be passed on as complete. After any fault the connection is
/// closed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// Bytes arrived before the request was started or beyond the end of the response.
    #[display("unexpected bytes outside a response")]
    UnexpectedData,
    /// The response ended before its declared length.
    #[display("response ended before its declared length")]
    Truncated,
    /// The response belongs to another call.
    #[display("response belongs to another call")]
    WrongCall,
    /// The connection ended before the head of the response.
    #[display("connection ended before a response")]
    NoResponse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Unsent,
    Awaiting,
    Body { length: BodyLength, received: u64 },
    Ended,
    Failed(Fault),
}

/// Progress of one request and its response on a connection.
#[derive(Debug)]
pub struct Exchange {
    call: u64,
    state: State,
    request_complete: bool,
    keep_alive: bool,
}

impl Exchange {
    /// Creates the state of the call with the id `call`, before its request is sent.
    pub fn new(call: u64) -> Self {
        Exchange {
            call,
            state: State::Unsent,
            request_complete: false,
            keep_alive: false,
        }
    }

    /// Returns the id of the call.
    pub fn call(&self) -> u64 {
        self.call
    }

    /// Records that the first byte of the request is about to be written.
    pub fn request_started(&mut self) {
        if self.state == State::Unsent {
            self.state = State::Awaiting;
        }
    }

    /// Records that the last byte of the request was written.
    pub fn request_complete(&mut self) {
        self.request_complete = true;
    }

    /// Returns `true` if a byte of the request may have reached the target.
    pub fn is_dispatched(&self) -> bool {
        self.state != State::Unsent
    }

    /// Records the head of the response.
    ///
    /// # Errors
    ///
    /// Returns a fault if no response is expected or the response belongs to another call.
    pub fn head(&mut self, head: &Head) -> Result<(), Fault> {
        if self.state != State::Awaiting {
            return self.fail(Fault::UnexpectedData);
        }
        if head.echoed_call.is_some_and(|call| call != self.call) {
            return self.fail(Fault::WrongCall);
        }
        self.keep_alive = head.keep_alive && head.length != BodyLength::UntilClose;
        self.state = State::Body {
            length: head.length,
            received: 0,
        };
        Ok(())
    }

    /// Records `bytes` bytes of the decoded body.
    ///
    /// # Errors
    ///
    /// Returns a fault if no body is expected or the body exceeds its declared length.
    pub fn data(&mut self, bytes: u64) -> Result<(), Fault> {
        let State::Body { length, received } = self.state else {
            return self.fail(Fault::UnexpectedData);
        };
        let received = received.saturating_add(bytes);
        let limit = match length {
            BodyLength::Empty => 0,
            BodyLength::Known(limit) => limit,
            BodyLength::Chunked | BodyLength::UntilClose => u64::MAX,
        };
        if received > limit {
            return self.fail(Fault::UnexpectedData);
        }
        self.state = State::Body { length, received };
        Ok(())
    }

    /// Records the end of the body: the last chunk, the declared length, or the close of the
    /// connection for [`BodyLength::UntilClose`].
    ///
    /// # Errors
    ///
    /// Returns a fault if the body is shorter than declared, no head arrived, or an earlier fault
    /// occurred.
    pub fn end(&mut self) -> Result<(), Fault> {
        match self.state {
            State::Body {
                length: BodyLength::Known(limit),
                received,
            } if received < limit => self.fail(Fault::Truncated),
            State::Body { .. } => {
                self.state = State::Ended;
                Ok(())
            }
            State::Failed(fault) => Err(fault),
            State::Unsent | State::Awaiting => self.fail(Fault::NoResponse),
            State::Ended => Ok(()),
        }
    }

    /// Records that the connection was closed or reset.
    ///
    /// # Errors
    ///
    /// Returns a fault unless the response is complete.
    pub fn connection_closed(&mut self) -> Result<(), Fault> {
        self.keep_alive = false;
        match self.state {
            State::Body {
                length: BodyLength::UntilClose,
                ..
            } => self.end(),
            State::Body {
                length: BodyLength::Known(limit),
                received,
            } if received == limit => self.end(),
            State::Body {
                length: BodyLength::Empty,
                ..
            } => self.end(),
            State::Body { .. } => self.fail(Fault::Truncated),
            State::Failed(fault) => Err(fault),
            State::Unsent | State::Awaiting => self.fail(Fault::NoResponse),
            State::Ended => Ok(()),
        }
    }

    /// Records bytes that arrived after the end of the response, or while no request was in flight.
    pub fn unexpected_data(&mut self) -> Fault {
        self.state = State::Failed(Fault::UnexpectedData);
        Fault::UnexpectedData
    }

    /// Returns `true` if the head of the response arrived.
    pub fn has_response_head(&self) -> bool {
        matches!(self.state, State::Body { .. } | State::Ended)
    }

    /// Returns `true` if the response is complete and belongs to this call.
    pub fn is_complete(&self) -> bool {
        self.state == State::Ended
    }

    /// Returns `true` if the connection may carry another call.
    pub fn is_reusable(&self) -> bool {
        self.is_complete() && self.request_complete && self.keep_alive
    }

    /// Returns the fault, if one occurred.
    pub fn fault(&self) -> Option<Fault> {
        match self.state {
            State::Failed(fault) => Some(fault),
            _ => None,
        }
    }

    fn fail(&mut self, fault: Fault) -> Result<(), Fault> {
        self.state = State::Failed(fault);
        Err(fault)
    }
}
