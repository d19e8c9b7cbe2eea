//! Allowances of workspaces: asks the leader for tokens on behalf of calls, and answers other VMs while
//! this VM leads. `core::allowance` decides.

use std::{cell, collections, rc, time};

use futures_channel::oneshot;
use rand::Rng;
use wagtailshunt_core::{
    allowance::{self, Decision, Ticket, WorkspaceId},
    event, formation, routing, time as core_time, types,
};
use wagtailshunt_wire::{
    self as wire,
    generated::fleet::{self, fleet_message::Body as Fleet},
};

use crate::entry::{calls::Failure, settings, state};

/// Longest time that a call waits for a token (100 ms for the leader, the rest for a deputy), and the largest share of its remaining time, so that a
/// refused caller can still turn to another VM.
const MAX_WAIT: time::Duration = time::Duration::from_millis(150);
const WAIT_SHARE: f64 = 0.1;

/// `Retry-After` of calls whose allowance is not known: an election takes about this long.
const UNKNOWN_RETRY_AFTER: std::ops::Range<f64> = 0.4..0.8;

/// Least time over which the `Retry-After` of calls over the allowance is spread.
const MIN_SPREAD: time::Duration = time::Duration::from_millis(50);

/// Difference between two clocks above which the VM was suspended in between. Reading both takes
/// microseconds, or longer if the process is interrupted between the two; then tokens are given up
/// without need.
const MIN_SUSPENSION: time::Duration = time::Duration::from_millis(10);

/// The allowances of one process.
pub struct Allowances {
    holder: allowance::Holder,
    grantor: allowance::Grantor,
    deputy: allowance::Deputy,
    /// Processes that have requested loans, so that they use no reserve.
    requesters: collections::HashMap<types::VmId, types::Incarnation>,
    /// Calls that wait for a token.
    waiting: collections::HashMap<Ticket, oneshot::Sender<Decision>>,
    /// Time that the VM has been suspended since it was started, as last seen.
    suspended: time::Duration,
    /// When this process last found out that it had been suspended. What a quorum confirmed before
    /// is not valid any more.
    resumed: core_time::Instant,
}

impl Allowances {
    /// Creates the allowances of a process that starts.
    pub fn new(
        now: core_time::Instant,
        bound: settings::AllowanceBound,
        incarnation: types::Incarnation,
    ) -> Allowances {
        // A process asks fewer than 2^20 questions in a millisecond of its life.
        let first_question = incarnation.0 << 20;
        Allowances {
            holder: allowance::Holder::new(bound, first_question),
            grantor: allowance::Grantor::new(bound),
            deputy: allowance::Deputy::new(now, bound, first_question),
            requesters: collections::HashMap::new(),
            waiting: collections::HashMap::new(),
            suspended: time_suspended(),
            resumed: now,
        }
    }

    /// Returns what a call of the workspace with this name would find now.
    pub fn outlook(&self, now: core_time::Instant, name: &str) -> allowance::Outlook {
        self.holder.outlook(now, WorkspaceId::of(name))
    }

    /// Gives up what depends on a clock that stopped while the VM was suspended.
    fn check_suspension(&mut self, now: core_time::Instant) {
        let suspended = time_suspended();
        if suspended.abs_diff(self.suspended) > MIN_SUSPENSION {
            self.holder.give_up_tokens();
            self.deputy.give_up();
            self.resumed = now;
        }
        self.suspended = suspended;
    }
}

/// Returns how long the VM has been suspended since it was started.
fn time_suspended() -> time::Duration {
    let read = |id| {
        let now = rustix::time::clock_gettime(id);
        let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
        time::Duration::from_secs(seconds) + time::Duration::from_nanos(now.tv_nsec as u64)
    };
    let running = read(rustix::time::ClockId::Monotonic);
    read(rustix::time::ClockId::Boottime).saturating_sub(running)
}

/// Takes over the allowances of a new configuration.
pub fn configured(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    state.with(|inner| {
        let workspaces = &inner.machine.table.items().workspaces;
        let allowances = || {
            let all = workspaces.iter();
            all.filter_map(|(name, workspace)| Some((name.as_str(), workspace.allowance.as_ref()?)))
        };
        inner.allowances.holder.configure(allowances());
        inner.allowances.deputy.configure(allowances());
        inner.allowances.grantor.configure(now, allowances());
    });
    deliver(state);
}

/// Handles a change of this VM's role in the group.
pub fn role_changed(state: &state::State, is_leading: bool) {
    let now = state.clock.now();
    state.with(|inner| {
        let node = inner.replica.as_ref().map(|replica| &replica.node);
        let leaderless = node.and_then(|node| node.leaderless());
        match leaderless.filter(|_| is_leading) {
            Some(leaderless) => {
                inner.allowances.requesters.clear();
                inner.allowances.grantor.start(now, leaderless);
            }
            None => inner.allowances.grantor.stop(),
        }
    });
}

/// Returns the VM of each failure domain that grants tokens while the leader is silent, from the VMs in
/// contact: not the leader, and rather one without a disk, since VMs with disks are lost together.
fn deputies<'a>(
    state: &state::State,
    inner: &'a state::Inner,
) -> collections::BTreeMap<&'a types::FailureDomain, &'a formation::Vm> {
    let leader = inner.leader.map(|(_, leader)| leader);
    let mut deputies: collections::BTreeMap<_, &formation::Vm> = collections::BTreeMap::new();
    let rank = |vm: &formation::Vm| (vm.has_disk, vm.id);
    for vm in inner.roster.vms() {
        let in_contact = vm.id == state.vm || state.peers.is_connected(vm.id);
        if Some(vm.id) == leader || !in_contact {
            continue;
        }
        let deputy = deputies.entry(&vm.failure_domain).or_insert(vm);
        if rank(vm) < rank(deputy) {
            *deputy = vm;
        }
    }
    deputies
}

/// Requests loans from the leader, and finds the deputies.
fn update_deputies(state: &state::State, leader: Option<types::VmId>) {
    let now = state.clock.now();
    let own_domain = &state.cfg.failure_domain;
    let request = state.with(|inner| {
        let deputies = deputies(state, inner);
        let mut vms: Vec<_> = deputies.values().collect();
        vms.sort_by_key(|vm| vm.failure_domain != *own_domain);
        let vms: Vec<types::VmId> = vms.into_iter().map(|vm| vm.id).collect();
        let is_deputy = vms.contains(&state.vm);
        inner.allowances.holder.set_deputies(vms);
        let leader = leader.filter(|leader| *leader != state.vm)?;
        let request = inner.allowances.deputy.poll_request(now, is_deputy)?;
        Some((leader, request))
    });
    if let Some((leader, request)) = request {
        let message = wire::fleet::encode_loan_request(&request);
        let message = Fleet::AllowanceLoanRequest(message);
        state.peers.send_fleet(leader, message);
    }
}

/// Answers a request for loans, if this VM leads.
pub fn loan_request_received(
    state: &state::State,
    from: types::VmId,
    request: &allowance::LoanRequest,
) {
    let now = state.clock.now();
    let tokens = state.with(|inner| {
        inner.allowances.check_suspension(now);
        if let Some(vm) = inner.roster.get(from) {
            let requesters = &mut inner.allowances.requesters;
            requesters.insert(from, vm.incarnation);
        }
        if !may_grant(inner, now) {
            return Vec::new();
        }
        let requesters = &inner.allowances.requesters;
        let is_preceding = |vm: &&formation::Vm| {
            vm.id != state.vm && requesters.get(&vm.id) != Some(&vm.incarnation)
        };
        let deputies = deputies(state, inner);
        let is_deputy = deputies.values().any(|vm| vm.id == from);
        let lenders = allowance::Lenders {
            deputies: if is_deputy { deputies.len() } else { 0 },
            known: inner.roster.vms().count(),
            preceding: inner.roster.vms().filter(is_preceding).count(),
        };
        let grantor = &mut inner.allowances.grantor;
        grantor.lend(now, from, request, &lenders)
    });
    if !tokens.is_empty() {
        let number = request.number;
        let loan = fleet::AllowanceLoan { number, tokens };
        state.peers.send_fleet(from, Fleet::AllowanceLoan(loan));
    }
}

/// Handles the reply of the leader to a request for loans.
pub fn loan_received(state: &state::State, loan: &fleet::AllowanceLoan) {
    let now = state.clock.now();
    state.with(|inner| {
        inner.allowances.check_suspension(now);
        inner.allowances.deputy.lent(loan.number, &loan.tokens);
    });
}

/// Takes the token of a call of this workspace, after waiting for the leader if necessary.
///
/// # Errors
///
/// Why the call is refused, and the delay for `Retry-After`.
pub async fn take(
    state: &rc::Rc<state::State>,
    workspace: &routing::NamedWorkspace,
    time_left: time::Duration,
) -> Result<(), (Failure, time::Duration)> {
    if workspace.1.allowance.is_none() {
        return Ok(());
    }
    let now = state.clock.now();
    let id = WorkspaceId::of(&workspace.0);
    update_leader(state, now);
    let decision = state.with(|inner| inner.allowances.holder.take(now, id));
    let decision = match decision {
        Decision::Wait(ticket) => {
            let limit = MAX_WAIT.min(time_left.mul_f64(WAIT_SHARE));
            // Boxed, so that calls that don't wait need no memory for it.
            Box::pin(wait(state, id, ticket, limit)).await
        }
        decision => decision,
    };
    let metrics = &state.metrics.allowances;
    match decision {
        Decision::Granted => metrics.granted.inc(),
        Decision::GrantedByDeputy => metrics.deputy.inc(),
        Decision::Refused { next, spread } => {
            metrics.refused.inc();
            let share = state.rng.borrow_mut().random_range(0.0..1.0);
            let after = next + spread.max(MIN_SPREAD).mul_f64(share);
            return Err((Failure::OverAllowance, after));
        }
        Decision::Unknown | Decision::Wait(_) => {
            metrics.unknown.inc();
            let seconds = state.rng.borrow_mut().random_range(UNKNOWN_RETRY_AFTER);
            let after = time::Duration::from_secs_f64(seconds);
            return Err((Failure::AllowanceUnknown, after));
        }
    }
    Ok(())
}

/// Removes a call that no longer waits because its caller is gone.
struct WaitGuard<'a> {
    state: &'a state::State,
    workspace: WorkspaceId,
    ticket: Ticket,
    is_done: cell::Cell<bool>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        if self.is_done.get() {
            return;
        }
        self.state.with(|inner| {
            inner.allowances.waiting.remove(&self.ticket);
            inner.allowances.holder.cancel(self.workspace, self.ticket);
        });
    }
}

async fn wait(
    state: &rc::Rc<state::State>,
    workspace: WorkspaceId,
    ticket: Ticket,
    limit: time::Duration,
) -> Decision {
    let (tx, mut rx) = oneshot::channel();
    state.with(|inner| inner.allowances.waiting.insert(ticket, tx));
    let guard = WaitGuard {
        state,
        workspace,
        ticket,
        is_done: cell::Cell::new(false),
    };
    ask(state);
    let decision = match rx.try_recv() {
        // The leader has its own buckets and needs no timer.
        Ok(Some(decision)) => Some(decision),
        _ => match compio::time::timeout(limit, rx).await {
            Ok(Ok(decision)) => Some(decision),
            Ok(Err(_)) | Err(_) => None,
        },
    };
    guard.is_done.set(true);
    let now = state.clock.now();
    state.with(|inner| {
        let allowances = &mut inner.allowances;
        allowances.waiting.remove(&ticket);
        let given_up = || allowances.holder.give_up(now, workspace, ticket);
        decision.or_else(given_up).unwrap_or(Decision::Unknown)
    })
}

/// Returns whether this VM leads and may grant tokens: a quorum has confirmed it within the shortest
/// election timeout, and since the VM was last suspended.
fn may_grant(inner: &state::Inner, now: core_time::Instant) -> bool {
    let node = inner.replica.as_ref().map(|replica| &replica.node);
    let confirmed = node.and_then(|node| node.lease_begin(now));
    confirmed.is_some_and(|begin| begin >= inner.allowances.resumed)
}

/// Finds out which leader can be asked now.
fn update_leader(state: &state::State, now: core_time::Instant) {
    let leader = state.reachable_leader();
    state.with(|inner| {
        inner.allowances.check_suspension(now);
        let leader = leader.filter(|leader| *leader != state.vm || may_grant(inner, now));
        inner.allowances.holder.set_leader(leader);
    });
}

/// Asks the leader for what calls wait for, unless a question is on its way.
pub fn ask(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    update_leader(state, now);
    while let Some((to, question)) = state.with(|inner| inner.allowances.holder.poll_question(now))
    {
        if to == state.vm {
            answer_own(state, now, &question);
            continue;
        }
        let message = wire::fleet::encode_allowance_question(&question);
        state
            .peers
            .send_fleet(to, Fleet::AllowanceQuestion(message));
    }
    deliver(state);
}

/// Answers a question of this VM, which leads or is a deputy.
fn answer_own(state: &state::State, now: core_time::Instant, question: &allowance::Question) {
    state.with(|inner| {
        let may_grant = may_grant(inner, now);
        let allowances = &mut inner.allowances;
        // The leader needs no tokens ahead.
        let asks = question.asks.iter();
        let asks = asks.map(|ask| allowance::Ask { ahead: 0, ..*ask });
        let answers = if may_grant {
            let grantor = &mut allowances.grantor;
            asks.map(|ask| grantor.grant(now, &ask)).collect()
        } else {
            allowances.deputy.answer(now, asks)
        };
        let holder = &mut allowances.holder;
        holder.answered(now, state.vm, question.number, &answers);
    });
}

/// Answers the question of another VM.
pub fn question_received(
    state: &state::State,
    from: types::VmId,
    question: &fleet::AllowanceQuestion,
) {
    let now = state.clock.now();
    let answer = state.with(|inner| {
        inner.allowances.check_suspension(now);
        let asks = wire::fleet::decode_asks(question);
        if !may_grant(inner, now) {
            let answers = inner.allowances.deputy.answer(now, asks);
            return wire::fleet::encode_allowance_answers(question.number, answers.into_iter());
        }
        let grantor = &mut inner.allowances.grantor;
        let answers = asks.map(|ask| grantor.grant(now, &ask));
        wire::fleet::encode_allowance_answers(question.number, answers)
    });
    state.peers.send_fleet(from, Fleet::AllowanceAnswer(answer));
}

/// Handles the answer of the leader, and asks for the calls that have arrived since the question.
pub fn answer_received(
    state: &rc::Rc<state::State>,
    from: types::VmId,
    answer: &fleet::AllowanceAnswer,
) {
    let now = state.clock.now();
    let answers = wire::fleet::decode_allowance_answers(answer);
    state.with(|inner| {
        let allowances = &mut inner.allowances;
        allowances.check_suspension(now);
        let holder = &mut allowances.holder;
        holder.answered(now, from, answer.number, &answers);
    });
    ask(state);
}

/// Notifies the calls whose wait has ended.
fn deliver(state: &state::State) {
    state.with(|inner| {
        let allowances = &mut inner.allowances;
        while let Some((ticket, decision)) = allowances.holder.poll_decision() {
            if let Some(tx) = allowances.waiting.remove(&ticket) {
                // The call may have ended in the meantime; its token is lost.
                let _ = tx.send(decision);
            }
        }
    });
}

/// Runs the regular tasks; `slow` adds those that run once a second.
pub fn tick(state: &rc::Rc<state::State>, slow: bool) {
    if !state.with(|inner| inner.allowances.holder.is_active()) {
        return;
    }
    // A leader that was not confirmed when calls arrived may be now.
    ask(state);
    if slow {
        update_deputies(state, state.reachable_leader());
        report(state);
    }
}

/// Logs which workspaces began or ceased to be refused.
fn report(state: &state::State) {
    let now = state.clock.now();
    let (reports, unanswered) = state.with(|inner| {
        let holder = &mut inner.allowances.holder;
        (holder.poll_reports(now), holder.poll_unanswered(now))
    });
    for report in reports {
        match report {
            allowance::Report::Began { workspace } => {
                let id = event::Id::AllowanceExceeded;
                state.events.emit(id, &[("workspace", &workspace)]);
            }
            allowance::Report::Ended {
                workspace,
                refused,
                lasted,
            } => state.events.emit(
                event::Id::AllowanceKept,
                &[
                    ("workspace", &workspace),
                    ("refused", &refused),
                    ("lasted_ms", &lasted.as_millis()),
                ],
            ),
        }
    }
    if let Some(unanswered) = unanswered {
        state.events.emit(
            event::Id::AllowanceUnanswered,
            &[
                ("by_deputy", &unanswered.by_deputy),
                ("refused", &unanswered.refused),
                ("lasted_ms", &unanswered.lasted.as_millis()),
            ],
        );
    }
}
