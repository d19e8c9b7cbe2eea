//! Forwarding of calls by a simulated gateway: choice of target and connection, retries and timers.
//!
//! Containment restricts the targets; the connection logic of the core detects silent connections.

use std::time::Duration;

use wagtailshunt_core::{connection, containment, outcome, time, types};

use super::{
    gateway::{self, Claim},
    sim::{Event, Sim},
    target,
};

/// Time to open a connection.
const CONNECT_TIME: Duration = Duration::from_millis(1);

/// Pause after which a call without a free target or connection is dispatched again.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

impl Sim {
    /// Chooses a target and takes a connection from its pool, or opens one.
    pub(super) fn dispatch(&mut self, gateway: usize, call: u64) {
        let now = self.now;
        let proof_of_life = self.settings.proof_of_life;
        let Some(state) = self.gateways[gateway].calls.get(&call) else {
            return;
        };
        let idle = state.busy.is_none() && state.opening.is_none();
        if !idle || now >= state.deadline || state.dispatches >= gateway::MAX_DISPATCHES {
            return;
        }
        let (permitted, avoid) = (state.permitted, state.avoid.clone());
        let idempotent = state.request.idempotent && state.request.key.is_none();
        let Some(number) = self.choose_target(gateway, call, permitted, &avoid) else {
            if let Some(state) = self.gateways[gateway].calls.get_mut(&call) {
                state.avoid.clear();
            }
            return self.schedule(RETRY_PAUSE, Event::CallTimer { gateway, call });
        };
        let purpose = match (permitted, idempotent || !proof_of_life) {
            (true, _) => connection::Purpose::Isolated,
            (false, true) => connection::Purpose::Idempotent,
            (false, false) => connection::Purpose::NotIdempotent,
        };
        let cfg = connection::PoolConfig::default();
        let pools = &mut self.gateways[gateway].pools;
        let pool = pools
            .entry(number)
            .or_insert_with(|| connection::Pool::new(cfg));
        let conns = &self.conns;
        let usable = |conn: &mut u64| conns.get(conn).is_some_and(|link| !link.unusable);
        let taken = pool.check_out(now, purpose, call, usable);
        self.close_evicted(gateway, number);
        let identity = self.targets[number].identity();
        let Some(state) = self.gateways[gateway].calls.get_mut(&call) else {
            return;
        };
        state.target_number = number;
        match taken {
            connection::CheckOut::Full => {
                self.schedule(RETRY_PAUSE, Event::CallTimer { gateway, call });
            }
            connection::CheckOut::Busy(busy) => {
                let link = busy.exchange().call();
                debug_assert_eq!(link, call);
                state.busy = Some(busy);
                state.target = Some(identity);
                self.transmit(gateway, call);
            }
            connection::CheckOut::Open(connecting) => {
                state.opening = Some(connecting);
                self.next_conn += 1;
                let event = Event::ConnectionOpened {
                    gateway,
                    incarnation: self.gateways[gateway].incarnation,
                    call,
                    conn: self.next_conn,
                    target: number,
                };
                self.schedule(CONNECT_TIME, event);
            }
        }
    }

    fn choose_target(
        &mut self,
        gateway: usize,
        call: u64,
        permitted: bool,
        avoid: &[usize],
    ) -> Option<usize> {
        let numbers = self.candidates(avoid);
        let identity = |number: &usize| self.targets[*number].identity();
        let identities: Vec<containment::Target> = numbers.iter().map(identity).collect();
        let local_containment = &mut self.gateways[gateway].local_containment;
        let chosen = match permitted {
            true => local_containment.isolated_target(call, identities.iter()),
            false => identities
                .iter()
                .find(|target| !local_containment.is_reserved(target)),
        }?;
        let at = identities.iter().position(|target| target == chosen)?;
        numbers.get(at).copied()
    }

    /// Handles the end of a connection attempt, which fails if the target is down.
    pub(super) fn opened(&mut self, gateway: usize, call: u64, conn: u64, number: usize) {
        let now = self.now;
        let identity = self.targets[number].identity();
        let up = self.targets[number].up;
        let state = &mut self.gateways[gateway];
        let waiting = state.calls.get_mut(&call);
        let connecting = waiting.and_then(|call| call.opening.take());
        let Some(connecting) = connecting else {
            return;
        };
        if !up {
            connecting.failed();
            state.local_containment.connect_failed(now, &identity);
            if let Some(call) = state.calls.get_mut(&call) {
                call.avoid.push(number);
            }
            self.send_containment_messages(gateway);
            return self.retry(gateway, call);
        }
        let link = target::Conn {
            gateway,
            target: number,
            incarnation: self.targets[number].incarnation,
            opened: now,
            silent: false,
            unusable: false,
            previous: None,
        };
        self.conns.insert(conn, link);
        state.local_containment.connection_opened(&identity);
        if let Some(entry) = state.calls.get_mut(&call) {
            entry.busy = Some(connecting.opened(now, conn, call));
            entry.target = Some(identity);
        }
        self.transmit(gateway, call);
    }

    /// Sends the call on its connection. No other function sends bytes to a target.
    fn transmit(&mut self, gateway: usize, call: u64) {
        let now = self.now;
        let state = &mut self.gateways[gateway];
        let Some(entry) = state.calls.get_mut(&call) else {
            return;
        };
        entry.claim = match std::mem::take(&mut entry.claim) {
            Claim::Granted(claim) => match claim.dispatch(now) {
                Ok(claim) => Claim::Dispatched(claim),
                Err(claim) => {
                    entry.claim = Claim::Granted(claim);
                    self.close_connection(gateway, call);
                    return self.fail_not_sent(gateway, call, outcome::Reason::DeadlineUnreachable);
                }
            },
            other => other,
        };
        let Some(busy) = &mut entry.busy else {
            return;
        };
        busy.exchange_mut().request_started();
        busy.exchange_mut().request_complete();
        busy.record_progress(now);
        entry.dispatches += 1;
        let conn = *busy.conn_mut();
        if let Some(target) = &entry.target {
            state.local_containment.call_started(target);
        }
        let message_delay = self.message_delay();
        self.schedule(message_delay, Event::RequestArrived { conn, call });
        self.check_progress(gateway, call);
    }

    /// Checks whether the call's connection is silent, then waits, reconnects or ends the call.
    pub(super) fn check_progress(&mut self, gateway: usize, call: u64) {
        let now = self.now;
        let silence = self.settings.silence;
        let state = &mut self.gateways[gateway];
        let Some(entry) = state.calls.get(&call) else {
            return;
        };
        let Some(busy) = &entry.busy else {
            return;
        };
        let number = entry.target_number;
        let cfg = connection::LatencyConfig::default();
        let new = || connection::LatencyTracker::new(cfg);
        let health = state.health.entry(number).or_insert_with(new);
        let view = connection::CallProgress {
            idempotent: entry.request.idempotent && entry.request.key.is_none() && silence,
            last_progress: busy.last_progress(),
            deadline: entry.deadline,
            response_started: false,
            reconnects: entry.reconnects,
        };
        let started = busy.started();
        match connection::check_silence(now, &view, health) {
            connection::Decision::Wait(at) | connection::Decision::WaitForDeadline(at) => {
                let delay = at.since(now);
                self.schedule(delay, Event::CallTimer { gateway, call });
            }
            connection::Decision::Reconnect => {
                health.record_silence();
                if let Some(pool) = state.pools.get_mut(&number) {
                    pool.close_unconfirmed_since(started);
                }
                if let Some(entry) = state.calls.get_mut(&call) {
                    entry.reconnects += 1;
                    entry.may_have_run = true;
                }
                self.close_evicted(gateway, number);
                self.close_connection(gateway, call);
                self.retry(gateway, call);
            }
            connection::Decision::Unknown | connection::Decision::Abort => {
                self.close_connection(gateway, call);
                self.fail_unknown(gateway, call, outcome::Reason::TimedOut);
            }
        }
    }

    /// Closes the call's connection from the gateway's side.
    pub(super) fn close_connection(&mut self, gateway: usize, call: u64) {
        self.end_exchange(gateway, call, containment::ConnectionEnd::ClosedLocally);
    }

    pub(super) fn end_exchange(
        &mut self,
        gateway: usize,
        call: u64,
        end: containment::ConnectionEnd,
    ) {
        let now = self.now;
        let state = &mut self.gateways[gateway];
        let Some(entry) = state.calls.get_mut(&call) else {
            return;
        };
        let Some(busy) = entry.busy.take() else {
            return;
        };
        let dispatched = busy.exchange().is_dispatched();
        let started = busy.started();
        let conn = busy.close().conn;
        let opened = self.conns.remove(&conn).map_or(now, |link| link.opened);
        let Some(target) = entry.target.take() else {
            return;
        };
        let own = matches!(end, containment::ConnectionEnd::ClosedLocally);
        state
            .local_containment
            .connection_ended(now, &target, opened, end);
        if dispatched {
            let ended = containment::Call {
                id: call,
                fingerprint: entry.request.fingerprint(),
                target: &target,
                opened,
                started,
            };
            state.local_containment.call_finished(&ended, false);
        }
        if own && entry.permitted {
            state.local_containment.cancel(call);
        }
        entry.permitted = false;
        self.send_containment_messages(gateway);
    }

    /// Handles a dispatch that ended without a complete response.
    pub(super) fn connection_broken(&mut self, gateway: usize, call: u64) {
        let proofs = self.settings.proofs;
        let Some(entry) = self.gateways[gateway].calls.get_mut(&call) else {
            return;
        };
        let keyed = entry.request.key.is_some();
        let repeatable = entry.request.idempotent && !keyed;
        if !proofs {
            let proof = outcome::NotRunProof::of(outcome::AttemptResult::NotSent);
            if let (Claim::Dispatched(claim), Some(proof)) =
                (std::mem::take(&mut entry.claim), proof)
            {
                entry.claim = Claim::Granted(claim.retry(proof));
            }
            return self.retry(gateway, call);
        }
        entry.may_have_run = true;
        match repeatable {
            true => self.retry(gateway, call),
            false => self.fail_unknown(gateway, call, outcome::Reason::ConnectionBroken),
        }
    }

    /// Sends the call to another target if a dispatch and a target are left; ends it otherwise.
    pub(super) fn retry(&mut self, gateway: usize, call: u64) {
        let Some(entry) = self.gateways[gateway].calls.get_mut(&call) else {
            return;
        };
        let left = self.targets.len() > entry.avoid.len();
        if entry.dispatches < gateway::MAX_DISPATCHES && left {
            entry.permitted = false;
            return self.check_containment(gateway, call);
        }
        match entry.may_have_run {
            true => self.fail_unknown(gateway, call, outcome::Reason::ConnectionBroken),
            false => self.fail_not_sent(gateway, call, outcome::Reason::TargetRefused),
        }
    }

    /// Ends a call with an unknown outcome.
    fn fail_unknown(&mut self, gateway: usize, call: u64, reason: outcome::Reason) {
        let Some(entry) = self.gateways[gateway].calls.get_mut(&call) else {
            return;
        };
        if let Claim::Dispatched(claim) = std::mem::take(&mut entry.claim) {
            let fail = claim.fail();
            self.end_claim(gateway, fail);
        }
        self.respond_problem(gateway, call, reason, outcome::Outcome::Unknown);
    }

    /// Handles a timer of a call.
    pub(super) fn call_timer(&mut self, gateway: usize, call: u64) {
        let now = self.now;
        let Some(entry) = self.gateways[gateway].calls.get_mut(&call) else {
            return;
        };
        let nearly = now + gateway::CLAIM_ABANDON_MARGIN >= entry.deadline;
        let resend_due = now >= entry.requested_at + Duration::from_millis(20);
        match &entry.claim {
            Claim::Requested(_) if nearly => {
                self.fail_not_sent(gateway, call, outcome::Reason::LedgerUnavailable);
            }
            Claim::Completing(claim) if nearly => {
                let request = claim.request();
                self.end_claim(gateway, request);
                let reason = outcome::Reason::LedgerUnavailable;
                self.respond_problem(gateway, call, reason, outcome::Outcome::Unknown);
            }
            Claim::Requested(_) | Claim::Completing(_) if resend_due => {
                self.resend_claim_request(gateway, call, now);
            }
            Claim::Requested(_) | Claim::Completing(_) => {}
            _ if entry.busy.is_some() => self.check_progress(gateway, call),
            _ if nearly => self.fail_not_sent(gateway, call, outcome::Reason::DeadlineUnreachable),
            _ if entry.waits_for_permit || entry.opening.is_some() => {}
            _ => self.dispatch(gateway, call),
        }
    }

    fn resend_claim_request(&mut self, gateway: usize, call: u64, now: time::Instant) {
        let state = &mut self.gateways[gateway];
        if let Some(entry) = state.calls.get(&call)
            && now >= entry.requested_at + gateway::CONTROL_TIMEOUT
            && !entry.runs_elsewhere
        {
            state.node = (state.node + 1) % 3;
        }
        self.send_claim_request(gateway, call);
    }

    /// Closes the connections that a pool has evicted.
    pub(super) fn close_evicted(&mut self, gateway: usize, number: usize) {
        let now = self.now;
        let state = &mut self.gateways[gateway];
        let Some(pool) = state.pools.get_mut(&number) else {
            return;
        };
        while let Some(closed) = pool.poll_closed() {
            let Some(link) = self.conns.remove(&closed.conn) else {
                continue;
            };
            let target = containment::Target {
                incarnation: types::Incarnation(link.incarnation),
                ..self.targets[link.target].identity()
            };
            // An unusable connection was counted when its target closed it.
            if !link.unusable {
                let end = containment::ConnectionEnd::ClosedLocally;
                state
                    .local_containment
                    .connection_ended(now, &target, link.opened, end);
            }
        }
    }
}
