//! VM side: tokens held, calls that wait for one, and questions to the leader.

use std::{collections, mem, time};

use super::account::Account;
use super::report::Period;
use super::reserve::Ranks;
use super::{Answer, Ask, Bound, Numbers, Report, UnansweredReport, WorkspaceId};
use crate::{placement::Position, routing, time as core_time, types};

/// Time after which a question without an answer is repeated, and calls use the reserve at once.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Time after an empty answer until the leader is asked again: a leader that has just been elected is
/// confirmed after a round trip.
const REPEAT_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Number of earlier questions whose answers are still accepted: as many as fit in the longest validity.
const MAX_LATE_QUESTIONS: usize = 4;

/// A call that waits for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Decision on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The call may run.
    Granted,
    /// The call may run on the reserve, since the leader doesn't answer.
    GrantedFromReserve,
    /// The workspace has used up its allowance.
    Refused {
        /// Time until the next token.
        next: time::Duration,
        /// Range by which callers spread their return after that.
        spread: time::Duration,
    },
    /// The leader doesn't answer and the reserve is used up.
    Unknown,
    /// The decision follows through [`Holder::poll_decision`].
    Wait(Ticket),
}

/// What a call of a workspace would find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlook {
    /// The workspace has no allowance.
    Unlimited,
    /// This VM holds this number of tokens.
    Held(u32),
    /// Calls are refused for this time, except for those that the reserve covers.
    Refused(time::Duration),
    /// The leader is asked for a token.
    Asked {
        /// Calls that wait already.
        waiting: usize,
    },
    /// No leader replies.
    Silent {
        /// Calls that wait already.
        waiting: usize,
    },
}

/// A question to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// Identifies the question; the answer contains it.
    pub number: u64,
    /// What the VM asks for.
    pub asks: Vec<Ask>,
}

#[derive(Clone, Debug)]
struct SentQuestion {
    question: Question,
    to: types::VmId,
    sent: core_time::Instant,
}

/// Decides which calls of this VM have a token.
#[derive(Clone, Debug)]
pub struct Holder {
    bound: Bound,
    accounts: collections::HashMap<WorkspaceId, Account>,
    /// Workspaces with calls that wait and for which no question was sent yet.
    unasked: Vec<WorkspaceId>,
    /// Until when no question is sent, because the last answer was empty.
    paused_until: core_time::Instant,
    last_question: u64,
    /// The latest question, if it has no answer yet.
    sent: Option<SentQuestion>,
    /// Earlier questions without an answer in time. Their answers still bring tokens if they come within
    /// the validity; without that, no call would run while a leader answers a little too late.
    late: collections::VecDeque<SentQuestion>,
    /// Whether the last question had no answer in time.
    is_silent: bool,
    leader: Option<types::VmId>,
    ranks: Ranks,
    last_ticket: u64,
    decisions: collections::VecDeque<(Ticket, Decision)>,
    reports: Vec<Report>,
    reserve_used: Period,
    unanswered: Period,
}

impl Holder {
    /// Creates a holder without tokens. `first_question` must exceed the numbers that earlier processes
    /// of this VM used, whose answers may still arrive.
    pub fn new(now: core_time::Instant, bound: Bound, first_question: u64) -> Holder {
        Holder {
            bound,
            accounts: collections::HashMap::new(),
            unasked: Vec::new(),
            paused_until: core_time::Instant::default(),
            last_question: first_question,
            sent: None,
            late: collections::VecDeque::new(),
            is_silent: false,
            leader: None,
            ranks: Ranks::new(now, bound.window),
            last_ticket: 0,
            decisions: collections::VecDeque::new(),
            reports: Vec::new(),
            reserve_used: Period::default(),
            unanswered: Period::default(),
        }
    }

    /// Takes over the workspaces with an allowance of a configuration. Calls of removed ones may run.
    pub fn configure<'a>(
        &mut self,
        allowances: impl Iterator<Item = (&'a str, &'a routing::Allowance)>,
    ) {
        let mut is_lowered = false;
        let mut old = mem::take(&mut self.accounts);
        for (name, allowance) in allowances {
            let id = WorkspaceId::of(name);
            let numbers = Numbers::new(&self.bound, allowance);
            let mut account = old.remove(&id).unwrap_or(Account::new(name, numbers));
            is_lowered |= numbers.capacity < account.numbers.capacity;
            if account.numbers != numbers {
                // A higher rate may allow a call earlier.
                account.refused_until = core_time::Instant::default();
                account.numbers = numbers;
            }
            self.accounts.insert(id, account);
        }
        if is_lowered {
            // Tokens of a higher allowance count in the windows of the lower one.
            self.give_up_tokens();
        }
        for mut removed in old.into_values() {
            if let Some((refused, lasted)) = removed.refusals.finish() {
                self.reports.push(Report::Ended {
                    workspace: mem::take(&mut removed.name),
                    refused,
                    lasted,
                });
            }
            let granted = removed.waiting.into_iter();
            self.decisions
                .extend(granted.map(|ticket| (ticket, Decision::Granted)));
        }
    }

    /// Returns whether there is any workspace with an allowance.
    pub fn is_active(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns what a call of a workspace would find now. Changes nothing.
    pub fn outlook(&self, now: core_time::Instant, workspace: WorkspaceId) -> Outlook {
        let Some(account) = self.accounts.get(&workspace) else {
            return Outlook::Unlimited;
        };
        let valid = account.held.iter().filter(|(end, _)| *end >= now);
        let held = valid.map(|(_, count)| count).sum();
        let is_asked = self.leader.is_some() && !self.is_silent;
        match account.waiting.len() {
            0 if held > 0 => Outlook::Held(held),
            _ if now < account.refused_until => Outlook::Refused(account.refused_until.since(now)),
            waiting if is_asked => Outlook::Asked { waiting },
            waiting => Outlook::Silent { waiting },
        }
    }

    /// Sets the leader that this VM can reach.
    pub fn set_leader(&mut self, now: core_time::Instant, leader: Option<types::VmId>) {
        if leader.is_some() {
            self.ranks.leader_known(now);
        }
        if leader != self.leader {
            self.leader = leader;
            self.is_silent = false;
            self.repeat_question();
        }
    }

    /// Sets the rank of this VM among all known VMs; called about once a second.
    pub fn set_position(&mut self, now: core_time::Instant, position: Position) {
        self.ranks.set(now, position);
    }

    /// Gives up the tokens held and expected, for instance because the clock did not count some of the
    /// time that has passed since they were granted.
    pub fn give_up_tokens(&mut self) {
        for account in self.accounts.values_mut() {
            account.held.clear();
        }
        self.repeat_question();
        self.late.clear();
    }

    /// Decides on a call that has arrived.
    pub fn take(&mut self, now: core_time::Instant, workspace: WorkspaceId) -> Decision {
        let Some(account) = self.accounts.get_mut(&workspace) else {
            return Decision::Granted;
        };
        account.rate.count(now);
        if account.waiting.is_empty() && account.take_held(now) {
            return Decision::Granted;
        }
        if now < account.refused_until {
            if account.may_use_reserve && self.take_reserve(now, workspace) {
                return Decision::GrantedFromReserve;
            }
            return self.refuse(now, workspace);
        }
        // The leader grants no more than its bucket holds, so that further calls would wait in vain.
        let is_excess = account.waiting.len() as f64 >= account.numbers.capacity;
        let is_silent = self.leader.is_none() || self.is_silent;
        if is_silent && self.take_reserve(now, workspace) {
            return Decision::GrantedFromReserve;
        }
        if self.leader.is_none() || (is_silent && is_excess) {
            self.unanswered.record(now);
            return Decision::Unknown;
        }
        if is_excess {
            return self.refuse(now, workspace);
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        if let Some(account) = self.accounts.get_mut(&workspace) {
            account.waiting.push_back(ticket);
            self.add_unasked(workspace);
        }
        Decision::Wait(ticket)
    }

    fn refuse(&mut self, now: core_time::Instant, workspace: WorkspaceId) -> Decision {
        match self.accounts.get_mut(&workspace) {
            Some(account) => account.refuse(now, &mut self.reports),
            None => Decision::Granted,
        }
    }

    fn add_unasked(&mut self, workspace: WorkspaceId) {
        if !self.unasked.contains(&workspace) {
            self.unasked.push(workspace);
        }
    }

    fn take_reserve(&mut self, now: core_time::Instant, workspace: WorkspaceId) -> bool {
        let Some(account) = self.accounts.get_mut(&workspace) else {
            return true;
        };
        let share = self.ranks.share(workspace, account.numbers.reserve);
        let taken = account.reserve.take(now, self.bound.window, share);
        if taken {
            self.reserve_used.record(now);
        }
        taken
    }

    /// Ends the wait of a call. Returns its decision, or `None` if there was one before.
    pub fn give_up(
        &mut self,
        now: core_time::Instant,
        workspace: WorkspaceId,
        ticket: Ticket,
    ) -> Option<Decision> {
        if !self.cancel(workspace, ticket) {
            return None;
        }
        let asked = self.sent.as_ref();
        if asked.is_some_and(|sent| now.since(sent.sent) >= ANSWER_TIMEOUT) {
            self.is_silent = true;
        }
        if self.take_reserve(now, workspace) {
            return Some(Decision::GrantedFromReserve);
        }
        self.unanswered.record(now);
        Some(Decision::Unknown)
    }

    /// Removes a call that no longer waits; returns whether it did.
    pub fn cancel(&mut self, workspace: WorkspaceId, ticket: Ticket) -> bool {
        let account = self.accounts.get_mut(&workspace);
        let Some(account) = account else {
            return false;
        };
        let before = account.waiting.len();
        account.waiting.retain(|waiting| *waiting != ticket);
        account.waiting.len() < before
    }

    /// Returns the question to send to the leader, if one is due. One question is on its way at a time;
    /// calls that arrive meanwhile go with the next.
    pub fn poll_question(&mut self, now: core_time::Instant) -> Option<(types::VmId, Question)> {
        let to = self.leader?;
        if let Some(sent) = &self.sent {
            if now.since(sent.sent) < ANSWER_TIMEOUT {
                return None;
            }
            self.is_silent = true;
            self.repeat_question();
        }
        if now < self.paused_until {
            return None;
        }
        let mut asks = Vec::with_capacity(self.unasked.len());
        for workspace in self.unasked.drain(..) {
            let account = self.accounts.get_mut(&workspace);
            if let Some(account) = account.filter(|account| !account.waiting.is_empty()) {
                asks.push(account.ask(now, workspace));
            }
        }
        if asks.is_empty() {
            return None;
        }
        self.last_question += 1;
        let question = Question {
            number: self.last_question,
            asks,
        };
        self.sent = Some(SentQuestion {
            question: question.clone(),
            to,
            sent: now,
        });
        Some((to, question))
    }

    /// Gives up waiting for the answer to the latest question; its workspaces are asked for again.
    fn repeat_question(&mut self) {
        if let Some(sent) = self.sent.take() {
            for ask in &sent.question.asks {
                self.add_unasked(ask.workspace);
            }
            if self.late.len() == MAX_LATE_QUESTIONS {
                self.late.pop_front();
            }
            self.late.push_back(sent);
        }
    }

    /// Handles the answers to a question, in its order; none if the leader can't grant anything now.
    pub fn answered(
        &mut self,
        now: core_time::Instant,
        from: types::VmId,
        number: u64,
        answers: &[Answer],
    ) {
        let is_of = |sent: &SentQuestion| sent.to == from && sent.question.number == number;
        let late = self.late.iter().position(is_of);
        let sent = match late {
            Some(late) => self.late.remove(late),
            None => self.sent.take_if(|sent| is_of(sent)),
        };
        let Some(sent) = sent else {
            return;
        };
        self.is_silent = answers.is_empty();
        if answers.is_empty() {
            self.paused_until = now + REPEAT_INTERVAL;
        }
        for (i, ask) in sent.question.asks.iter().enumerate() {
            match answers.get(i) {
                Some(answer) => self.handle_answer(now, &sent, ask, answer),
                None => {
                    self.use_reserve(now, ask.workspace, ask.needed);
                    self.add_unasked(ask.workspace);
                }
            }
        }
    }

    fn handle_answer(
        &mut self,
        now: core_time::Instant,
        sent: &SentQuestion,
        ask: &Ask,
        answer: &Answer,
    ) {
        let Some(account) = self.accounts.get_mut(&ask.workspace) else {
            return;
        };
        if answer.granted > 0 {
            let end = sent.sent + account.numbers.validity;
            account.held.push_back((end, answer.granted));
        }
        while !account.waiting.is_empty() && account.take_held(now) {
            let ticket = account.waiting.pop_front();
            self.decisions
                .extend(ticket.map(|ticket| (ticket, Decision::Granted)));
        }
        let Some(wait) = answer.wait else {
            if answer.granted < ask.needed {
                // The leader doesn't know the workspace yet.
                self.use_reserve(now, ask.workspace, ask.needed);
            }
            return;
        };
        account.refused_until = now + wait;
        account.may_use_reserve = answer.filling;
        if answer.filling {
            self.use_reserve(
                now,
                ask.workspace,
                ask.needed.saturating_sub(answer.granted),
            );
        }
        let Some(account) = self.accounts.get_mut(&ask.workspace) else {
            return;
        };
        while let Some(ticket) = account.waiting.pop_front() {
            let decision = account.refuse(now, &mut self.reports);
            self.decisions.push_back((ticket, decision));
        }
    }

    /// Lets up to `count` of the calls that wait run on the reserve.
    fn use_reserve(&mut self, now: core_time::Instant, workspace: WorkspaceId, count: u32) {
        for _ in 0..count {
            let waiting = self.accounts.get(&workspace);
            let ticket = waiting.and_then(|account| account.waiting.front().copied());
            let Some(ticket) = ticket else {
                return;
            };
            if !self.take_reserve(now, workspace) {
                return;
            }
            self.cancel(workspace, ticket);
            let decision = Decision::GrantedFromReserve;
            self.decisions.push_back((ticket, decision));
        }
    }

    /// Returns the next decision on a call that waits.
    pub fn poll_decision(&mut self) -> Option<(Ticket, Decision)> {
        self.decisions.pop_front()
    }

    /// Returns what is to be logged: the workspaces that began or ceased to be refused.
    pub fn poll_reports(&mut self, now: core_time::Instant) -> Vec<Report> {
        let mut reports = mem::take(&mut self.reports);
        for account in self.accounts.values_mut() {
            if let Some((refused, lasted)) = account.refusals.end(now) {
                account.refused_in_a_row = 0;
                let workspace = account.name.clone();
                reports.push(Report::Ended {
                    workspace,
                    refused,
                    lasted,
                });
            }
        }
        reports
    }

    /// Returns what this VM did without answers of the leader, after such a period has ended.
    pub fn poll_unanswered(&mut self, now: core_time::Instant) -> Option<UnansweredReport> {
        let reserve = self.reserve_used.end(now);
        let refused = self.unanswered.end(now);
        let (reserve, refused) = match (reserve, refused) {
            (None, None) => return None,
            (reserve, refused) => (reserve.unwrap_or_default(), refused.unwrap_or_default()),
        };
        Some(UnansweredReport {
            reserve: reserve.0,
            refused: refused.0,
            lasted: reserve.1.max(refused.1),
        })
    }
}
