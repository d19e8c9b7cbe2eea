//! Answers and ends of connections at a fake gateway.

use wagtailshunt_core::{connection, containment, ledger, outcome, types};

use super::{
    checker,
    gateway::{self, Claim},
    sim::Sim,
    target,
};

impl Sim {
    /// An answer arrives on a connection.
    pub(super) fn answer_arrived(&mut self, conn: u64, answer: &target::Answer) {
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
            self.drop_busy(gateway, call);
            return self.broken(gateway, call);
        }
        if answer.body.len() as u64 == answer.stated_length || !framing {
            let _ = exchange.end();
            self.complete(gateway, call, answer);
        }
    }

    /// The call was answered completely.
    fn complete(&mut self, gateway: usize, call: u64, answer: &target::Answer) {
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
        state.guard.call_finished(&ended, true);
        entry.permitted = false;
        let pool = state.pools.get_mut(&number);
        if let Some(connection::CheckIn::Destroyed(closed)) =
            pool.map(|pool| pool.check_in(now, conn))
        {
            self.conns.remove(&closed.conn);
            let end = containment::ConnectionEnd::ClosedLocally;
            state.guard.connection_ended(now, &target, opened, end);
        }
        self.drain_guard(gateway);
        self.judge(gateway, call, answer);
    }

    /// Passes an answer on, after its outcome is committed if the call is keyed.
    fn judge(&mut self, gateway: usize, call: u64, answer: &target::Answer) {
        let attempt = outcome::AttemptResult::Answered {
            not_run_marker: answer.marker,
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
        let told = checker::Told::Answer {
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
                    return self.ask_control(gateway, call);
                }
                self.tell(Some(gateway), call, told);
                self.end_claim(gateway, request);
            }
            _ => self.tell(Some(gateway), call, told),
        }
    }

    /// A connection was closed by its target.
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
            let guard = &mut self.gateways[gateway].guard;
            guard.connection_ended(now, &target, opened, end);
            return self.drain_guard(gateway);
        };
        let end = containment::ConnectionEnd::Unanswered {
            call,
            suspect: calls[&call].request.suspect(),
        };
        self.end_busy(gateway, call, end);
        self.broken(gateway, call);
    }
}
