//! Detects targets that crash while they run a call, and reports each crash to the other entry VMs.
//!
//! Input is an attempt whose connection broke, or a report of another VM. `containment::Tally`
//! counts the crashes by request and refuses a request that keeps crashing targets.

use std::rc;

use wagtailshunt_core::{containment, event, fleet as core_fleet, types};
use wagtailshunt_wire::{
    self as wire,
    generated::fleet::{self, fleet_message::Body as Fleet},
};

use crate::entry::{
    calls::attempt::{self, CallRequest, Destination},
    state,
};

/// Returns the fingerprint of a call: the same service, method, path and body give the same
/// fingerprint, so that the call is recognised when it is sent again under another id.
pub fn fingerprint(
    service: &types::ServiceName,
    call_request: &CallRequest,
) -> containment::Fingerprint {
    let path = call_request
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut body = wagtailshunt_core::ledger::DigestBuilder::default();
    body.part(&call_request.body);
    let identity = containment::Identity::Body(body.finish());
    containment::Fingerprint::new(
        service.as_str(),
        call_request.method.as_str(),
        path,
        identity,
    )
}

/// Connects to a target whose response was lost. A target that does not accept the connection
/// counts as crashed by the call.
pub fn check_target(
    state: &rc::Rc<state::State>,
    to: Destination,
    fingerprint: containment::Fingerprint,
) {
    let state = state.clone();
    compio::runtime::spawn(async move {
        if let Ok(client) = attempt::connect(&state, &to).await {
            let key = (to.target, to.born);
            state.pool.put(state.clock.now(), key, client, None);
            return;
        }
        let lost = core_fleet::TargetIncarnation {
            target: to.target,
            born: to.born,
        };
        record_crash(&state, fingerprint, &lost, None);
    })
    .detach();
}

/// Handles the report of a crash by another VM.
///
/// # Errors
///
/// Returns an error when the message names no target.
pub fn crash_received(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    crash: fleet::Crash,
) -> Result<(), wire::fleet::Error> {
    let (fingerprint, lost) = wire::fleet::decode_crash(crash)?;
    record_crash(state, fingerprint, &lost, Some(from));
    Ok(())
}

/// Counts a crash and forwards it when it is new, since not every pair of VMs is connected.
fn record_crash(
    state: &rc::Rc<state::State>,
    fingerprint: containment::Fingerprint,
    lost: &core_fleet::TargetIncarnation,
    from: Option<types::VmId>,
) {
    let now = state.clock.now();
    let counted = state.with(|inner| inner.crashes.record_crash(now, fingerprint, lost));
    if counted == containment::RecordResult::Duplicate {
        return;
    }
    let crash = wire::fleet::encode_crash(fingerprint, lost);
    state.peers.broadcast(&Fleet::Crash(crash), from);
    let blocked = counted == containment::RecordResult::Blocked;
    state.events.emit(
        event::Id::TargetLostWithCall,
        &[
            ("fingerprint", &fingerprint),
            ("target", &lost.target),
            ("blocked", &blocked),
        ],
    );
}
