//! Dispatches frames from other control VMs and gateways, and sends ledger replies and redirects.

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
pub fn replication_body(msg: proto::ReplicationMessage) -> Body {
    Body::Replication(msg)
}

/// Dispatches a received frame by its kind; messages that cannot be decoded are logged and dropped.
pub fn handle_frame(
    state: &rc::Rc<state::State>,
    peer: &transport::Peer,
    envelope: envelope::Envelope,
) {
    if state.stopped() {
        return;
    }
    let request = envelope.request;
    match envelope.body {
        Some(Body::Replication(msg)) => handle_replication(state, peer, msg),
        Some(Body::Membership(msg)) => {
            match wire::membership::Message::decode(msg, peer.vm, peer.incarnation) {
                Ok(message) => leader::handle_membership(state, peer, request, message),
                Err(err) => log::warn!(
                    "dropped malformed membership message from VM {}: {err}",
                    peer.vm
                ),
            }
        }
        Some(Body::Ledger(msg)) => match decode_ledger_request(msg) {
            Ok(Some(message)) => handle_ledger_request(state, peer, request, message),
            Ok(None) => {}
            Err(err) => log::warn!(
                "dropped malformed ledger request from VM {}: {err}",
                peer.vm
            ),
        },
        Some(Body::Containment(msg)) => match wire::containment::Message::try_from(msg) {
            Ok(message) => leader::handle_containment(state, peer, message),
            Err(err) => log::warn!(
                "dropped malformed containment message from VM {}: {err}",
                peer.vm
            ),
        },
        _ => {}
    }
}

fn handle_replication(
    state: &rc::Rc<state::State>,
    peer: &transport::Peer,
    msg: proto::ReplicationMessage,
) {
    let (id, msg) = match wire::replication::decode(msg) {
        Ok(decoded) => decoded,
        Err(err) => {
            log::warn!(
                "dropped malformed replication message from VM {}: {err}",
                peer.vm
            );
            return;
        }
    };
    let now = state.clock.now();
    state.with(|inner| {
        if let Some(group) = inner.groups.get_mut(&id) {
            group.node.step(now, peer.vm, msg);
        }
    });
    group::process_outputs(state, id);
}

/// Sends a gateway the id of a group's leader; 0 if this VM knows no other VM as leader.
pub fn send_redirect(state: &state::State, to: types::VmId, request: u64, group: types::GroupId) {
    let leader = state
        .leader_of(group)
        .filter(|leader| *leader != state.cfg.vm);
    let redirect = envelope::Redirect {
        group: group.0,
        leader: leader.map_or(0, |leader| leader.0),
    };
    state.links.send(to, request, Body::Redirect(redirect));
}

fn decode_ledger_request(
    msg: ledger_proto::LedgerMessage,
) -> Result<Option<ledger::Request>, wire::ledger::Error> {
    match msg.body {
        Some(ledger_proto::ledger_message::Body::Request(request)) => request.try_into().map(Some),
        _ => Ok(None),
    }
}

/// Passes a gateway's request to the ledger shard of its key, or redirects the gateway.
fn handle_ledger_request(
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
    // A leader that has been replaced without noticing it must not reply from its stale state.
    let holds_lease = state.with(|inner| {
        let until = inner
            .groups
            .get(&id)
            .and_then(|group| group.node.lease_valid_until(now));
        until.is_some_and(|until| now < until)
    });
    if !holds_lease {
        return send_redirect(state, peer.vm, request, id);
    }
    state.with(|inner| {
        let token = inner.new_token();
        let requester = state::Requester {
            vm: peer.vm,
            request,
            group: id,
            key: message.key(),
            holder: message.holder(),
        };
        inner.ledger_requests.insert(token, requester);
        let Some(shard) = inner.groups.get_mut(&id).and_then(group::Group::shard_mut) else {
            return;
        };
        shard
            .service
            .request(now, wall, token, message, &shard.ledger);
    });
    group::process_outputs(state, id);
}

/// Sends the reply to a ledger request to the gateway that made it.
pub fn send_ledger_reply(state: &state::State, token: u64, reply: &ledger::ServiceReply) {
    let requester = state.with(|inner| inner.ledger_requests.remove(&token));
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
        return send_redirect(state, vm, request, group);
    }
    let reply_message = wire::ledger::AddressedReply {
        key,
        holder,
        reply: reply.clone(),
    };
    let body = ledger_proto::ledger_message::Body::Reply((&reply_message).into());
    let msg = ledger_proto::LedgerMessage {
        group: group.0,
        body: Some(body),
    };
    state.links.send(vm, request, Body::Ledger(msg));
}
