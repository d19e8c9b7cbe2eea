//! Completeness of one answer on a connection.

use derive_more::{Display, Error};

/// How the end of an answer's body is marked (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// No body, as in answers to HEAD or with status 204 or 304.
    Empty,
    /// `Content-Length` in bytes.
    Known(u64),
    /// Chunked transfer coding; complete only with the last chunk.
    Chunked,
    /// The body ends with the connection, so that truncation cannot be detected.
    UntilClose,
}

/// Facts from the head of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Head {
    /// Call id echoed by the target, if it echoes one.
    pub echoed_call: Option<u64>,
    /// Marker of the end of the body.
    pub length: BodyLength,
    /// Whether the target keeps the connection open after this answer.
    pub keep_alive: bool,
}

/// Why an answer must not be passed on as complete. Each fault destroys the connection.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// Bytes arrived before the request was started or after the answer had ended.
    #[display("surplus bytes")]
    Surplus,
    /// The answer ended before its stated length.
    #[display("truncated answer")]
    Truncated,
    /// The answer belongs to another call.
    #[display("answer of another call")]
    Crossed,
    /// The connection ended before the head of the answer.
    #[display("no answer")]
    NoAnswer,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Unsent,
    Awaiting,
    Body { length: BodyLength, received: u64 },
    Ended,
    Failed(Fault),
}

/// Tracks one request and its answer on a connection.
#[derive(Debug)]
pub struct Exchange {
    call: u64,
    state: State,
    request_complete: bool,
    keep_alive: bool,
}

impl Exchange {
    /// Starts tracking the call with the id `call`.
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

    /// The first byte of the request is about to be written.
    pub fn request_started(&mut self) {
        if self.state == State::Unsent {
            self.state = State::Awaiting;
        }
    }

    /// The last byte of the request was written.
    pub fn request_complete(&mut self) {
        self.request_complete = true;
    }

    /// Whether a byte of the request may have reached the target.
    pub fn is_dispatched(&self) -> bool {
        self.state != State::Unsent
    }

    /// The head of an answer arrived.
    pub fn head(&mut self, head: &Head) -> Result<(), Fault> {
        if self.state != State::Awaiting {
            return self.fail(Fault::Surplus);
        }
        if head.echoed_call.is_some_and(|call| call != self.call) {
            return self.fail(Fault::Crossed);
        }
        self.keep_alive = head.keep_alive && head.length != BodyLength::UntilClose;
        self.state = State::Body {
            length: head.length,
            received: 0,
        };
        Ok(())
    }

    /// `bytes` of the decoded body arrived.
    pub fn data(&mut self, bytes: u64) -> Result<(), Fault> {
        let State::Body { length, received } = self.state else {
            return self.fail(Fault::Surplus);
        };
        let received = received.saturating_add(bytes);
        let limit = match length {
            BodyLength::Empty => 0,
            BodyLength::Known(limit) => limit,
            BodyLength::Chunked | BodyLength::UntilClose => u64::MAX,
        };
        if received > limit {
            return self.fail(Fault::Surplus);
        }
        self.state = State::Body { length, received };
        Ok(())
    }

    /// The body ended as its marker says: last chunk, stated length, or close for
    /// [`BodyLength::UntilClose`].
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
            State::Unsent | State::Awaiting => self.fail(Fault::NoAnswer),
            State::Ended => Ok(()),
        }
    }

    /// The connection was closed or reset. Returns an error unless the answer is complete.
    pub fn closed(&mut self) -> Result<(), Fault> {
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
            State::Unsent | State::Awaiting => self.fail(Fault::NoAnswer),
            State::Ended => Ok(()),
        }
    }

    /// Bytes arrived after the end of the answer, or while no request was in flight.
    pub fn surplus(&mut self) -> Fault {
        self.state = State::Failed(Fault::Surplus);
        Fault::Surplus
    }

    /// Whether the head of the answer arrived.
    pub fn is_answered(&self) -> bool {
        matches!(self.state, State::Body { .. } | State::Ended)
    }

    /// Whether the answer is complete and belongs to this call.
    pub fn is_complete(&self) -> bool {
        self.state == State::Ended
    }

    /// Whether the connection may carry another call.
    pub fn is_reusable(&self) -> bool {
        self.is_complete() && self.request_complete && self.keep_alive
    }

    /// Returns the fault, if there was one.
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
