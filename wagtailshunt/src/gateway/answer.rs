//! Passing an answer on to the caller, whole or not at all.

use std::{pin, rc, task};

use bytes::Bytes;
use hyper::{
    Response,
    body::{Body as _, Frame, Incoming, SizeHint},
    header,
};
use wagtailshunt_core::{balance, event};

use crate::{
    gateway::{attempt, call, headers, state},
    http,
};

type Timer = pin::Pin<Box<dyn Future<Output = ()>>>;

/// Body of an answer on its way through the gateway.
struct AnswerBody {
    state: rc::Rc<state::State>,
    incoming: Incoming,
    flight: attempt::Flight,
    admitted: Option<call::Admitted>,
    outcome: balance::Outcome,
    deadline: wagtailshunt_core::time::Instant,
    timer: Option<Timer>,
    ended: bool,
}

/// Builds the caller's answer from the target's.
pub fn pass_on(
    state: &rc::Rc<state::State>,
    call: &call::Call,
    answered: attempt::Answered,
    admitted: Option<call::Admitted>,
    retried: bool,
) -> Response<http::Body> {
    let attempt::Answered {
        mut head,
        body,
        flight,
        not_run,
        retried_below,
    } = answered;
    let outcome = match head.status.as_u16() {
        _ if not_run => balance::Outcome::Shed,
        500..=599 => balance::Outcome::Error,
        _ => balance::Outcome::Ok,
    };
    headers::strip_connection_fields(&mut head.headers);
    head.headers.remove(headers::LOAD);
    head.headers.remove(headers::CALL);
    if retried || retried_below {
        head.headers
            .insert(headers::RETRIED, header::HeaderValue::from_static("1"));
    }
    let mut stream = AnswerBody {
        state: state.clone(),
        incoming: body,
        flight,
        admitted,
        outcome,
        deadline: call.deadline.0,
        timer: None,
        ended: false,
    };
    // An answer without a body ends with its head; nothing polls its body.
    if stream.incoming.is_end_stream() {
        stream.complete();
        return Response::from_parts(head, http::empty());
    }
    Response::from_parts(head, http::Body::Stream(Box::pin(stream)))
}

impl AnswerBody {
    fn complete(&mut self) -> bool {
        if self.ended {
            return true;
        }
        self.ended = true;
        let whole = match self.flight.busy.as_mut() {
            Some(busy) => busy.exchange_mut().end().is_ok(),
            None => false,
        };
        if !whole {
            self.fail(&"the answer is shorter than its stated length");
            return false;
        }
        self.flight.finish(self.outcome);
        if let Some(admitted) = self.admitted.as_mut() {
            admitted.ok = self.outcome == balance::Outcome::Ok;
        }
        self.admitted.take();
        true
    }

    /// Ends the answer early; hyper then aborts the caller's connection.
    fn fail(&mut self, reason: &dyn std::fmt::Display) {
        self.ended = true;
        self.flight.busy.take();
        self.flight.finish(balance::Outcome::Error);
        self.admitted.take();
        self.state.events.emit(
            event::Id::CallAborted,
            &[("target", &self.flight.target.id), ("reason", reason)],
        );
    }

    fn poll_deadline(&mut self, cx: &mut task::Context<'_>) -> task::Poll<()> {
        let clock = self.state.clock;
        let deadline = self.deadline;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(async move { clock.sleep_until(deadline).await }));
        timer.as_mut().poll(cx)
    }

    fn data(&mut self, frame: &Frame<Bytes>) -> Result<(), http::BodyError> {
        let Some(data) = frame.data_ref() else {
            return Ok(());
        };
        let received = match self.flight.busy.as_mut() {
            Some(busy) => busy.exchange_mut().data(data.len() as u64),
            None => Ok(()),
        };
        received.map_err(|fault| {
            self.fail(&fault);
            http::BodyError::Truncated
        })
    }
}

impl hyper::body::Body for AnswerBody {
    type Data = Bytes;
    type Error = http::BodyError;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, http::BodyError>>> {
        let this = self.get_mut();
        if this.ended {
            return task::Poll::Ready(None);
        }
        match pin::Pin::new(&mut this.incoming).poll_frame(cx) {
            task::Poll::Ready(Some(Ok(frame))) => {
                if let Err(err) = this.data(&frame) {
                    return task::Poll::Ready(Some(Err(err)));
                }
                if this.incoming.is_end_stream() && !this.complete() {
                    return task::Poll::Ready(Some(Err(http::BodyError::Truncated)));
                }
                task::Poll::Ready(Some(Ok(frame)))
            }
            task::Poll::Ready(Some(Err(err))) => {
                this.flight.broken();
                this.fail(&err);
                task::Poll::Ready(Some(Err(err.into())))
            }
            task::Poll::Ready(None) => match this.complete() {
                true => task::Poll::Ready(None),
                false => task::Poll::Ready(Some(Err(http::BodyError::Truncated))),
            },
            task::Poll::Pending => match this.poll_deadline(cx) {
                task::Poll::Ready(()) => {
                    this.fail(&"deadline passed");
                    task::Poll::Ready(Some(Err(http::BodyError::Deadline)))
                }
                task::Poll::Pending => task::Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
