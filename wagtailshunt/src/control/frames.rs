//! Frames of other control VMs and of gateways.

use std::rc;

use wagtailshunt_core::{ledger, types};
use wagtailshunt_wire::{
    self as wire,
    generated::{envelope, envelope::envelope::Body, ledger as ledger_proto, replication as proto},
};

use crate::{
    control::{group, leader, state},
    transport,
};

/// Wraps a replication message into a frame body.
pub fn replication(msg: proto::ReplicationMessage) -> Body {
    Body::Replication(msg)
}

/// Handles a frame.
pub fn received(
    state: &rc::Rc<state::State>,
    peer: &transport::Peer,
    envelope: envelope::Envelope,
) {
    if state.stopped() {
        return;
    }
    let request = envelope.request;
    match envelope.body {
        Some(Body::Replication(msg)) => step(state, peer, msg),
        Some(Body::Membership(msg)) => {
            match wire::membership::Message::decode(msg, peer.vm, peer.incarnation) {
                Ok(message) => leader::membership(state, peer, request, message),
                Err(err) => log::warn!("membership message of VM {} rejected: {err}", peer.vm),
            }
        }
        Some(Body::Ledger(msg)) => match ledger_request(msg) {
            Ok(Some(message)) => ledger(state, peer, request, message),
            Ok(None) => {}
            Err(err) => log::warn!("ledger request of VM {} rejected: {err}", peer.vm),
        },
        Some(Body::Containment(msg)) => match wire::containment::Message::try_from(msg) {
            Ok(message) => leader::containment(state, peer, message),
            Err(err) => log::warn!("containment message of VM {} rejected: {err}", peer.vm),
        },
        _ => {}
    }
}

fn step(state: &rc::Rc<state::State>, peer: &transport::Peer, msg: proto::ReplicationMessage) {
    let (id, msg) = match wire::replication::decode(msg) {
        Ok(decoded) => decoded,
        Err(err) => {
            log::warn!("replication message of VM {} rejected: {err}", peer.vm);
            return;
        }
    };
    let now = state.clock.now();
    state.with(|inner| {
        if let Some(group) = inner.groups.get_mut(&id) {
            group.node.step(now, peer.vm, msg);
        }
    });
    group::pump(state, id);
}

/// Tells a gateway where the leader of a group is.
pub fn redirect(state: &state::State, to: types::VmId, request: u64, group: types::GroupId) {
    let leader = state
        .leader_of(group)
        .filter(|leader| *leader != state.cfg.vm);
    let redirect = envelope::Redirect {
        group: group.0,
        leader: leader.map_or(0, |leader| leader.0),
    };
    state.links.send(to, request, Body::Redirect(redirect));
}

fn ledger_request(
    msg: ledger_proto::LedgerMessage,
) -> Result<Option<ledger::Request>, wire::ledger::Error> {
    match msg.body {
        Some(ledger_proto::ledger_message::Body::Request(request)) => request.try_into().map(Some),
        _ => Ok(None),
    }
}

/// Passes a gateway's request to the shard of its key.
fn ledger(
    state: &rc::Rc<state::State>,
    peer: &transport::Peer,
    request: u64,
    message: ledger::Request,
) {
    let now = state.clock.now();
    let wall = state.clock.wall();
    let shard = message.key().shard(state.cfg.ledger_shards);
    let id = types::GroupId(1 + shard);
    state.metrics.ledger_requests.inc();
    // A leader that was replaced without knowing it must not answer from its old state.
    let holds_lease = state.with(|inner| {
        let until = inner
            .groups
            .get(&id)
            .and_then(|group| group.node.lease_valid_until(now));
        until.is_some_and(|until| now < until)
    });
    if !holds_lease {
        return redirect(state, peer.vm, request, id);
    }
    state.with(|inner| {
        let token = inner.token();
        let requester = state::Requester {
            vm: peer.vm,
            request,
            group: id,
            key: message.key(),
            holder: message.holder(),
        };
        inner.requests.insert(token, requester);
        let Some(shard) = inner.groups.get_mut(&id).and_then(group::Group::shard_mut) else {
            return;
        };
        shard
            .service
            .request(now, wall, token, message, &shard.ledger);
    });
    group::pump(state, id);
}

/// Answers a gateway's request to the ledger.
pub fn answer(state: &state::State, token: u64, reply: &ledger::ServiceReply) {
    let requester = state.with(|inner| inner.requests.remove(&token));
    let Some(state::Requester {
        vm,
        request,
        group,
        key,
        holder,
    }) = requester
    else {
        return;
    };
    if *reply == ledger::ServiceReply::NotLeader {
        return redirect(state, vm, request, group);
    }
    let answered = wire::ledger::AddressedReply {
        key,
        holder,
        reply: reply.clone(),
    };
    let body = ledger_proto::ledger_message::Body::Reply((&answered).into());
    let msg = ledger_proto::LedgerMessage {
        group: group.0,
        body: Some(body),
    };
    state.links.send(vm, request, Body::Ledger(msg));
}
