//! Configuration changes and reads requested by operators. Both are decided by the leader of the
//! replicated group; other VMs redirect to it.

use std::{net, pin, rc, time};

use bytes::Bytes;
use futures_util::FutureExt;
use hyper::body::Incoming;
use wagtailshunt_core::{event, routing, state_machine};

use crate::{
    entry::{replica, state},
    http,
};

/// Time for the body of a request. A configuration of 8 MiB takes half of it on the slowest link
/// (2.3 Mbit/s).
const BODY_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Longest time that a request waits for memory for its body, as for a call; calls in progress end
/// within it.
const MAX_MEMORY_WAIT: time::Duration = time::Duration::from_secs(2);

/// Bodies up to this size are read even when the budget is exhausted: without its announcements, a
/// target would be removed and calls take longer to end. Announcements have some hundred bytes; on
/// the largest VM, all connections together hold 5 MiB of them.
const ANNOUNCEMENT_BYTES: u64 = 4 * 1024;

/// Outcome of a configuration change or read.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome<T> {
    /// The leader decided the request.
    Decided(T),
    /// The leader at this operator address must handle the request.
    Redirect(net::SocketAddr),
    /// The request has no result, for this reason; a change may still be applied later.
    Undecided(&'static str),
}

/// The applied configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedConfiguration {
    /// Version of the configuration; 0 when there is none yet.
    pub version: routing::Version,
    /// Routes, services and limits.
    pub items: routing::ConfigItems,
}

/// Reads the body of a request of an operator or a target within the memory budget. The result keeps
/// its reservation until it is dropped.
///
/// # Errors
///
/// Returns why the body was not read. The request has not been handled then.
pub async fn read_body(
    state: &state::State,
    body: Incoming,
    limit: u64,
) -> Result<Bytes, http::ReadError> {
    let reader = http::BlockReader::new(&state.memory, limit, MAX_MEMORY_WAIT);
    let mut reader = reader.always_read(ANNOUNCEMENT_BYTES);
    let mut read = pin::pin!(async {
        reader.read_request(http::Body::Incoming(body)).await?;
        reader.finish_contiguous().await
    });
    // Most requests are complete already, and need no timer.
    if let Some(result) = read.as_mut().now_or_never() {
        return result;
    }
    let result = compio::time::timeout(BODY_TIMEOUT, read).await;
    result.unwrap_or(Err(http::ReadError::TimedOut))
}

/// Returns a redirect to the leader, or why there is none.
pub(super) fn redirect<T>(state: &state::State) -> Outcome<T> {
    let Some(leader) = state.reachable_leader() else {
        return Outcome::Undecided("no leader is known");
    };
    if leader == state.vm {
        return Outcome::Undecided("leadership is being taken up or given up");
    }
    let vm = state.with(|inner| inner.roster.get(leader).cloned());
    match vm {
        Some(vm) => Outcome::Redirect(vm.operator_address),
        None => Outcome::Undecided("the leader's address is not known"),
    }
}

/// Proposes a configuration change to the replicated log and waits for the decision.
pub async fn submit(
    state: &rc::Rc<state::State>,
    change: routing::Change,
) -> Outcome<routing::ChangeResult> {
    if !state.is_leading() {
        return redirect(state);
    }
    let (base, version) = (change.base, change.version);
    let command = state_machine::Command::Change(Box::new(change));
    let outcome = match replica::propose(state, &command).await {
        Ok(state_machine::Reply::Change(result)) => Outcome::Decided(result),
        Ok(_) => Outcome::Undecided("unexpected result"),
        Err(replica::CommandError::Encode) => {
            Outcome::Decided(routing::ChangeResult::Invalid(Vec::new()))
        }
        Err(replica::CommandError::Refused(_)) => redirect(state),
        Err(replica::CommandError::Unknown) => Outcome::Undecided("not committed in time"),
    };
    state.events.emit(
        event::Id::OrderDecided,
        &[
            ("base", &base),
            ("version", &version),
            ("outcome", &format!("{outcome:?}")),
        ],
    );
    outcome
}

/// Returns the configuration, including every acknowledged change.
pub async fn read(state: &rc::Rc<state::State>) -> Outcome<AppliedConfiguration> {
    if !state.is_leading() {
        return redirect(state);
    }
    match replica::read(state).await {
        Ok(()) => Outcome::Decided(state.with(|inner| AppliedConfiguration {
            version: inner.machine.table.version(),
            items: inner.machine.table.items().clone(),
        })),
        Err(replica::CommandError::Refused(_)) => redirect(state),
        Err(_) => Outcome::Undecided("leadership not confirmed in time"),
    }
}
