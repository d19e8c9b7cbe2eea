//! Handling of responses and closed connections by a simulated gateway.
//!
//! Decides from the response whether a call is retried, committed to the ledger or answered, and
//! reports to containment how connections ended.

use wagtailshunt_core::{connection, containment, ledger, outcome, types};

use super::{
    checker,
    gateway::{self, Claim},
    sim::Sim,
    target,
};

impl Sim {
    /// Handles a response that arrives on a connection.
    pub(super) fn response_arrived(&mut self, conn: u64, answer: &target::Response) {
        let now = self.now;
        let framing = self.settings.framing;
        let Some(link) = self.conns.get_mut(&conn) else {
            return;
        };
        if link.silent {
            return;
        }
        let gateway = link.gateway;
        let calls = &mut self.gateways[gateway].calls;
        let on_conn = |call: &mut gateway::Call| match &mut call.busy {
            Some(busy) => *busy.conn_mut() == conn,
            None => false,
        };
        let found = calls
            .iter_mut()
            .find_map(|(id, c)| on_conn(c).then_some(*id));
        let Some(call) = found else {
            link.unusable |= framing;
            return;
        };
        let Some(busy) = calls.get_mut(&call).and_then(|call| call.busy.as_mut()) else {
            return;
        };
        busy.record_progress(now);
        let exchange = busy.exchange_mut();
        let head = connection::Head {
            echoed_call: framing.then_some(answer.echoed_call),
            length: connection::BodyLength::Known(match framing {
                true => answer.stated_length,
                false => answer.body.len() as u64,
            }),
            keep_alive: true,
        };
        let whole = exchange
            .head(&head)
            .and_then(|()| exchange.data(answer.body.len() as u64));
        if whole.is_err() {
            self.close_connection(gateway, call);
            return self.connection_broken(gateway, call);
        }
        if answer.body.len() as u64 == answer.stated_length || !framing {
            let _ = exchange.end();
            self.response_complete(gateway, call, answer);
        }
    }

    /// Returns the connection of a completely answered call to its pool and handles the response.
    fn response_complete(&mut self, gateway: usize, call: u64, answer: &target::Response) {
        let now = self.now;
        let state = &mut self.gateways[gateway];
        let Some(entry) = state.calls.get_mut(&call) else {
            return;
        };
        let (Some(busy), Some(target)) = (entry.busy.take(), entry.target.take()) else {
            return;
        };
        let started = busy.started();
        let number = entry.target_number;
        let mut conn = busy;
        let id = *conn.conn_mut();
        let link = self.conns.get_mut(&id);
        let opened = link.as_ref().map_or(now, |link| link.opened);
        if let Some(link) = link {
            link.previous = Some(call);
        }
        let latency = now.since(started);
        if let Some(health) = state.health.get_mut(&number) {
            health.record_latency(now, latency);
        }
        let ended = containment::Call {
            id: call,
            fingerprint: entry.request.fingerprint(),
            target: &target,
            opened,
            started,
        };
        state.local_containment.call_finished(&ended, true);
        entry.permitted = false;
        let pool = state.pools.get_mut(&number);
        if let Some(connection::CheckIn::Destroyed(closed)) =
            pool.map(|pool| pool.check_in(now, conn))
        {
            self.conns.remove(&closed.conn);
            let end = containment::ConnectionEnd::ClosedLocally;
            state
                .local_containment
                .connection_ended(now, &target, opened, end);
        }
        self.send_containment_messages(gateway);
        self.handle_response(gateway, call, answer);
    }

    /// Retries a call that is marked as not run; otherwise forwards the response, for a keyed call
    /// after its outcome is committed.
    fn handle_response(&mut self, gateway: usize, call: u64, answer: &target::Response) {
        let attempt = outcome::AttemptResult::Answered {
            not_run_marker: answer.not_run_marker,
        };
        let Some(entry) = self.gateways[gateway].calls.get_mut(&call) else {
            return;
        };
        if let Some(proof) = outcome::NotRunProof::of(attempt) {
            if let Claim::Dispatched(claim) = std::mem::take(&mut entry.claim) {
                entry.claim = Claim::Granted(claim.retry(proof));
            }
            entry.avoid.push(entry.target_number);
            return self.retry(gateway, call);
        }
        let stored = ledger::StoredResponse {
            status: answer.status,
            headers: Vec::new(),
            body: Some(answer.body.clone().into()),
        };
        let result = checker::CallerResult::Answer {
            status: answer.status,
            body: answer.body.clone(),
            replayed: false,
        };
        match std::mem::take(&mut entry.claim) {
            Claim::Dispatched(claim) => {
                let claim = claim.completed(stored);
                let request = claim.request();
                entry.claim = Claim::Completing(claim);
                if self.settings.commit_first {
                    return self.send_claim_request(gateway, call);
                }
                self.respond(Some(gateway), call, result);
                self.end_claim(gateway, request);
            }
            _ => self.respond(Some(gateway), call, result),
        }
    }

    /// Handles a connection that its target closed.
    pub(super) fn conn_closed(&mut self, conn: u64) {
        let now = self.now;
        let Some(link) = self.conns.get_mut(&conn) else {
            return;
        };
        if link.silent {
            return;
        }
        let (gateway, opened) = (link.gateway, link.opened);
        link.unusable = true;
        let target = containment::Target {
            incarnation: types::Incarnation(link.incarnation),
            ..self.targets[link.target].identity()
        };
        let calls = &mut self.gateways[gateway].calls;
        let on_conn = |call: &mut gateway::Call| match &mut call.busy {
            Some(busy) => *busy.conn_mut() == conn,
            None => false,
        };
        let found = calls
            .iter_mut()
            .find_map(|(id, c)| on_conn(c).then_some(*id));
        let Some(call) = found else {
            let end = containment::ConnectionEnd::Idle;
            let local_containment = &mut self.gateways[gateway].local_containment;
            local_containment.connection_ended(now, &target, opened, end);
            return self.send_containment_messages(gateway);
        };
        let end = containment::ConnectionEnd::Unanswered {
            call,
            suspect: calls[&call].request.suspect(),
        };
        self.end_exchange(gateway, call, end);
        self.connection_broken(gateway, call);
    }
}
