//! VM side: tokens held, calls that wait for one, and questions to the leader.

use std::{collections, mem, time};

use super::account::Account;
use super::report::Period;
use super::{Answer, Ask, Bound, Numbers, Report, UnansweredReport, WorkspaceId};
use crate::{routing, time as core_time, types};

/// Time after which a question without an answer is repeated, to another VM if there is one.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Time for which a leader that didn't answer is not asked; until then, questions go to deputies.
const SILENT_TIME: time::Duration = time::Duration::from_millis(500);

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
    /// The call may run on a token of a deputy, since the leader doesn't answer.
    GrantedByDeputy,
    /// The workspace has used up its allowance.
    Refused {
        /// Time until the next token.
        next: time::Duration,
        /// Range by which callers spread their return after that.
        spread: time::Duration,
    },
    /// Neither the leader nor a deputy has granted a token in time.
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
    last_question: u64,
    /// The latest question, if it has no answer yet.
    sent: Option<SentQuestion>,
    /// Earlier questions without an answer in time. Their answers still bring tokens if they come within
    /// the validity; without that, no call would run while a leader answers a little too late.
    late: collections::VecDeque<SentQuestion>,
    leader: Option<types::VmId>,
    /// Until when the leader isn't asked.
    silent_until: core_time::Instant,
    /// Deputies in the order in which this VM asks them, how many did not answer, and until when these
    /// are left out.
    deputies: Vec<types::VmId>,
    tried: usize,
    deputies_again: core_time::Instant,
    last_ticket: u64,
    decisions: collections::VecDeque<(Ticket, Decision)>,
    reports: Vec<Report>,
    by_deputy: Period,
    unanswered: Period,
}

impl Holder {
    /// Creates a holder without tokens. `first_question` must exceed the numbers that earlier processes
    /// of this VM used, whose answers may still arrive.
    pub fn new(bound: Bound, first_question: u64) -> Holder {
        Holder {
            bound,
            accounts: collections::HashMap::new(),
            unasked: Vec::new(),
            last_question: first_question,
            sent: None,
            late: collections::VecDeque::new(),
            leader: None,
            silent_until: core_time::Instant::default(),
            deputies: Vec::new(),
            tried: 0,
            deputies_again: core_time::Instant::default(),
            last_ticket: 0,
            decisions: collections::VecDeque::new(),
            reports: Vec::new(),
            by_deputy: Period::default(),
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
        let is_asked = self.leader.is_some() && now >= self.silent_until;
        match account.waiting.len() {
            0 if held > 0 => Outlook::Held(held),
            _ if now < account.refused_until => Outlook::Refused(account.refused_until.since(now)),
            waiting if is_asked => Outlook::Asked { waiting },
            waiting => Outlook::Silent { waiting },
        }
    }

    /// Sets the leader that this VM can reach.
    pub fn set_leader(&mut self, leader: Option<types::VmId>) {
        if leader != self.leader {
            self.leader = leader;
            self.silent_until = core_time::Instant::default();
            self.tried = 0;
            self.repeat_question();
        }
    }

    /// Sets the deputies that this VM can reach, in the order in which it asks them.
    pub fn set_deputies(&mut self, deputies: Vec<types::VmId>) {
        self.deputies = deputies;
    }

    /// Returns the VM that is asked now.
    fn target(&mut self, now: core_time::Instant) -> Option<types::VmId> {
        if now >= self.deputies_again {
            self.tried = 0;
        }
        let leader = self.leader.filter(|_| now >= self.silent_until);
        leader.or_else(|| self.deputies.get(self.tried).copied())
    }

    /// Records that a VM didn't answer, or had no tokens to grant.
    fn failed(&mut self, now: core_time::Instant, vm: types::VmId, pause: time::Duration) {
        if Some(vm) == self.leader {
            self.silent_until = now + pause;
        } else {
            self.tried += 1;
            self.deputies_again = now + SILENT_TIME;
        }
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
            return account.refuse(now, &mut self.reports);
        }
        // The leader grants no more than its bucket holds, so that further calls would wait in vain.
        let is_excess = account.waiting.len() as f64 >= account.numbers.capacity;
        let target = self.target(now);
        let is_retried = self.leader.is_some() && self.silent_until <= now + ANSWER_TIMEOUT;
        if (target.is_none() && !is_retried) || (is_excess && target != self.leader) {
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
        if let Some(sent) = &self.sent {
            if now.since(sent.sent) < ANSWER_TIMEOUT {
                return None;
            }
            let to = sent.to;
            self.failed(now, to, SILENT_TIME);
            self.repeat_question();
        }
        let to = self.target(now)?;
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
        let is_leader = Some(from) == self.leader;
        if answers.is_empty() {
            self.failed(now, from, REPEAT_INTERVAL);
        } else if is_leader {
            self.silent_until = now;
        }
        for (i, ask) in sent.question.asks.iter().enumerate() {
            match answers.get(i) {
                Some(answer) => self.handle_answer(now, &sent, ask, answer, is_leader),
                None => self.add_unasked(ask.workspace),
            }
        }
    }

    fn handle_answer(
        &mut self,
        now: core_time::Instant,
        sent: &SentQuestion,
        ask: &Ask,
        answer: &Answer,
        is_leader: bool,
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
            let decision = if is_leader {
                Decision::Granted
            } else {
                self.by_deputy.record(now);
                Decision::GrantedByDeputy
            };
            self.decisions
                .extend(ticket.map(|ticket| (ticket, decision)));
        }
        let Some(wait) = answer.wait else {
            // The deputy has no more, or the leader doesn't know the workspace yet.
            for _ in 0..ask.needed.saturating_sub(answer.granted) {
                if let Some(ticket) = account.waiting.pop_front() {
                    self.unanswered.record(now);
                    self.decisions.push_back((ticket, Decision::Unknown));
                }
            }
            return;
        };
        account.refused_until = now + wait;
        while let Some(ticket) = account.waiting.pop_front() {
            let decision = account.refuse(now, &mut self.reports);
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
        let by_deputy = self.by_deputy.end(now);
        let refused = self.unanswered.end(now);
        if by_deputy.is_none() && refused.is_none() {
            return None;
        }
        let (by_deputy, refused) = (by_deputy.unwrap_or_default(), refused.unwrap_or_default());
        Some(UnansweredReport {
            by_deputy: by_deputy.0,
            refused: refused.0,
            lasted: by_deputy.1.max(refused.1),
        })
    }
}
