//! Forwards the response of a target to the caller. A response that ends early or passes the
//! deadline aborts the caller's connection, so a truncated body never looks complete.

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

/// Response body that is streamed from a target to the caller.
struct ResponseBody {
    state: rc::Rc<state::State>,
    incoming: Incoming,
    in_flight: attempt::InFlight,
    admission: Option<call::AdmissionGuard>,
    outcome: balance::Outcome,
    deadline: wagtailshunt_core::time::Instant,
    timer: Option<Timer>,
    ended: bool,
}

/// Builds the caller's response from the target's response.
pub fn forward_response(
    state: &rc::Rc<state::State>,
    call: &call::Call,
    response: attempt::TargetResponse,
    admission: Option<call::AdmissionGuard>,
    retried: bool,
) -> Response<http::Body> {
    let attempt::TargetResponse {
        mut head,
        body,
        in_flight,
        not_run,
        retried_below,
    } = response;
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
    let mut stream = ResponseBody {
        state: state.clone(),
        incoming: body,
        in_flight,
        admission,
        outcome,
        deadline: call.deadline.0,
        timer: None,
        ended: false,
    };
    // hyper does not poll the body of a response without one, so the attempt is completed here.
    if stream.incoming.is_end_stream() {
        stream.complete();
        return Response::from_parts(head, http::empty());
    }
    Response::from_parts(head, http::Body::Stream(Box::pin(stream)))
}

impl ResponseBody {
    /// Completes the attempt; returns whether the body had its declared length.
    fn complete(&mut self) -> bool {
        if self.ended {
            return true;
        }
        self.ended = true;
        let is_complete = match self.in_flight.busy.as_mut() {
            Some(busy) => busy.exchange_mut().end().is_ok(),
            None => false,
        };
        if !is_complete {
            self.fail(&"the answer is shorter than its stated length");
            return false;
        }
        self.in_flight.finish(self.outcome);
        if let Some(admission) = self.admission.as_mut() {
            admission.succeeded = self.outcome == balance::Outcome::Ok;
        }
        self.admission.take();
        true
    }

    /// Ends the body with an error; hyper then aborts the caller's connection.
    fn fail(&mut self, reason: &dyn std::fmt::Display) {
        self.ended = true;
        self.in_flight.busy.take();
        self.in_flight.finish(balance::Outcome::Error);
        self.admission.take();
        self.state.events.emit(
            event::Id::CallAborted,
            &[("target", &self.in_flight.target.id), ("reason", reason)],
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

    fn record_data(&mut self, frame: &Frame<Bytes>) -> Result<(), http::BodyError> {
        let Some(data) = frame.data_ref() else {
            return Ok(());
        };
        let recorded = match self.in_flight.busy.as_mut() {
            Some(busy) => busy.exchange_mut().data(data.len() as u64),
            None => Ok(()),
        };
        recorded.map_err(|err| {
            self.fail(&err);
            http::BodyError::Truncated
        })
    }
}

impl hyper::body::Body for ResponseBody {
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
                if let Err(err) = this.record_data(&frame) {
                    return task::Poll::Ready(Some(Err(err)));
                }
                if this.incoming.is_end_stream() && !this.complete() {
                    return task::Poll::Ready(Some(Err(http::BodyError::Truncated)));
                }
                task::Poll::Ready(Some(Ok(frame)))
            }
            task::Poll::Ready(Some(Err(err))) => {
                this.in_flight.record_broken_connection();
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
