//! Detects targets that crash while they run a call, and reports each crash to the other entry VMs.
//!
//! Input is an attempt whose connection broke, or a report of another VM. `containment::Tally`
//! counts the crashes by request and refuses a request that keeps crashing targets.

use std::{rc, time};

use wagtailshunt_core::{containment, event, fleet as core_fleet, types};
use wagtailshunt_wire::{
    self as wire,
    generated::fleet::{self, fleet_message::Body as Fleet},
};

use crate::entry::{
    calls::attempt::{self, CallRequest, Destination},
    path, state,
};

/// Interval at which a target is checked while this VM reaches no target.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Number of checks after which it stays open whether a target has crashed.
const MAX_CHECKS: usize = 30;

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
    for part in call_request.body.parts() {
        body.bytes(part);
    }
    body.end_part(call_request.body.len_bytes());
    let identity = containment::Identity::Body(body.finish());
    containment::Fingerprint::new(
        service.as_str(),
        call_request.method.as_str(),
        path,
        identity,
    )
}

/// Connects to a target whose response was lost. A target that does not accept the connection
/// counts as crashed by the call, provided that this VM reaches others: it may have lost its path.
/// Until it does, the target is checked again.
pub fn check_target(
    state: &rc::Rc<state::State>,
    to: Destination,
    fingerprint: containment::Fingerprint,
) {
    let state = state.clone();
    compio::runtime::spawn(async move {
        for _ in 0..MAX_CHECKS {
            match check_once(&state, &to).await {
                Some(true) => {
                    let lost = core_fleet::TargetIncarnation {
                        target: to.target,
                        born: to.born,
                    };
                    record_crash(&state, fingerprint, &lost, None);
                    return;
                }
                Some(false) => return,
                None => compio::time::sleep(CHECK_INTERVAL).await,
            }
        }
    })
    .detach();
}

/// Returns whether an incarnation of a target has crashed; `None` while this VM reaches no target.
async fn check_once(state: &rc::Rc<state::State>, to: &Destination) -> Option<bool> {
    let known = state.with(|inner| inner.directory.get(&to.target).map(Destination::from));
    let Some(known) = known else {
        // The target has left, or was removed since it no longer announces itself.
        return Some(false);
    };
    if known.born != to.born {
        return Some(known.born > to.born);
    }
    if let Ok(client) = attempt::connect(state, &known).await {
        let key = (known.target, known.born);
        attempt::pool_unless_left(state, key, client, None);
        return Some(false);
    }
    path::reaches_others(state, &to.target)
        .await
        .then_some(true)
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
    state.peers.broadcast(Fleet::Crash(crash), from);
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
