//! Noticing that a target was lost with a call, and telling the other VMs.

use std::rc;

use wagtailshunt_core::{containment, event, fleet as core_fleet, types};
use wagtailshunt_wire::{
    self as wire,
    generated::fleet::{self, fleet_message::Body as Fleet},
};

use crate::entry::{
    calls::attempt::{self, Destination, Parts},
    state,
};

/// Returns what a call is recognised by when it is sent again.
pub fn fingerprint(service: &types::ServiceName, parts: &Parts) -> containment::Fingerprint {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut body = wagtailshunt_core::ledger::DigestBuilder::default();
    body.part(&parts.body);
    let identity = containment::Identity::Body(body.finish());
    containment::Fingerprint::new(service.as_str(), parts.method.as_str(), path, identity)
}

/// Looks whether a target that broke off a call still runs; one that doesn't take connections was lost
/// with the call.
pub fn watch(state: &rc::Rc<state::State>, to: Destination, request: containment::Fingerprint) {
    let state = state.clone();
    compio::runtime::spawn(async move {
        if let Ok(client) = attempt::connect(&state, &to).await {
            let key = (to.target, to.born);
            state.pool.put(state.clock.now(), key, client, None);
            return;
        }
        let life = core_fleet::TargetIncarnation {
            target: to.target,
            born: to.born,
        };
        noted(&state, request, &life, None);
    })
    .detach();
}

/// Another VM lost a target with a call.
///
/// # Errors
///
/// When the message names no target.
pub fn reported(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    crash: fleet::Crash,
) -> Result<(), wire::fleet::Error> {
    let (request, life) = wire::fleet::decode_crash(crash)?;
    noted(state, request, &life, Some(from));
    Ok(())
}

/// Counts a crash and passes news on: VMs without a connection to each other hear of it by a third.
fn noted(
    state: &rc::Rc<state::State>,
    request: containment::Fingerprint,
    life: &core_fleet::TargetIncarnation,
    from: Option<types::VmId>,
) {
    let now = state.clock.now();
    let counted = state.with(|inner| inner.crashes.record_crash(now, request, life));
    if counted == containment::RecordResult::Duplicate {
        return;
    }
    let crash = wire::fleet::encode_crash(request, life);
    state.peers.tell_all(&Fleet::Crash(crash), from);
    let blocked = counted == containment::RecordResult::Blocked;
    state.events.emit(
        event::Id::TargetLostWithCall,
        &[
            ("fingerprint", &request),
            ("target", &life.target),
            ("blocked", &blocked),
        ],
    );
}
