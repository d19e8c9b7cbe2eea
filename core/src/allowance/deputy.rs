//! Tokens that the leader lends to a few VMs, the deputies, which grant them while the leader is silent.

use std::{collections, time};

use super::numbers::MAX_VALIDITY;
use super::{Answer, Ask, Bound, Numbers, WorkspaceId};
use crate::{routing, time as core_time};

/// Time for which a loan is valid, from the deputy's request. It covers the loss of a leader.
pub(super) const LOAN_TIME: time::Duration = time::Duration::from_secs(3);

/// Interval between the requests of a deputy, and of the other VMs, by which the leader learns that their
/// builds don't run calls on a part of a reserve.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(900);
const OTHER_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Request of a VM for loans.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoanRequest {
    /// Identifies the request; later ones have higher numbers.
    pub number: u64,
    /// Tokens that the VM has or granted recently, for all workspaces; empty unless it is a deputy.
    pub held: Vec<(WorkspaceId, u32)>,
}

#[derive(Clone, Debug)]
struct Loan {
    capacity: f64,
    tokens: u32,
    /// Tokens granted to VMs, and when they expire.
    granted: collections::VecDeque<(core_time::Instant, u32)>,
}

/// The loans of this VM.
#[derive(Clone, Debug)]
pub struct Deputy {
    bound: Bound,
    last_number: u64,
    /// Latest request without a reply, and when it was sent. Replies to earlier ones are discarded, so
    /// that the leader's record is never lower than what this VM has.
    sent: Option<(LoanRequest, core_time::Instant)>,
    /// When the next request is due. The first one waits until the tokens that the process before a
    /// restart granted have expired.
    next_request: core_time::Instant,
    /// Until when tokens are granted.
    end: core_time::Instant,
    loans: collections::HashMap<WorkspaceId, Loan>,
}

impl Deputy {
    /// Creates a deputy without loans. `first_number` must exceed the numbers of earlier processes.
    pub fn new(now: core_time::Instant, bound: Bound, first_number: u64) -> Deputy {
        Deputy {
            bound,
            last_number: first_number,
            sent: None,
            next_request: now + MAX_VALIDITY * 2,
            end: now,
            loans: collections::HashMap::new(),
        }
    }

    /// Takes over the workspaces of a configuration. If an allowance is lower, all loans end.
    pub fn configure<'a>(
        &mut self,
        allowances: impl Iterator<Item = (&'a str, &'a routing::Allowance)>,
    ) {
        let mut old = std::mem::take(&mut self.loans);
        let mut is_lowered = false;
        for (name, allowance) in allowances {
            let id = WorkspaceId::of(name);
            let capacity = Numbers::new(&self.bound, allowance).capacity;
            let mut loan = old.remove(&id).unwrap_or(Loan {
                capacity,
                tokens: 0,
                granted: collections::VecDeque::new(),
            });
            is_lowered |= capacity < loan.capacity;
            loan.capacity = capacity;
            self.loans.insert(id, loan);
        }
        if is_lowered {
            self.give_up();
        }
    }

    /// Gives up all loans, because the clock stopped or an allowance is lower.
    pub fn give_up(&mut self) {
        self.sent = None;
        self.end = core_time::Instant::default();
        self.loans.values_mut().for_each(|loan| loan.tokens = 0);
    }

    /// Returns the request to send to the leader, if one is due.
    pub fn poll_request(
        &mut self,
        now: core_time::Instant,
        is_deputy: bool,
    ) -> Option<LoanRequest> {
        if now < self.next_request {
            return None;
        }
        let interval = if is_deputy {
            REQUEST_INTERVAL
        } else {
            OTHER_INTERVAL
        };
        self.next_request = now + interval;
        self.last_number += 1;
        if now > self.end || !is_deputy {
            self.give_up();
        }
        let held = self.loans.iter_mut().map(|(workspace, loan)| {
            while loan.granted.front().is_some_and(|(end, _)| *end < now) {
                loan.granted.pop_front();
            }
            let granted: u32 = loan.granted.iter().map(|(_, count)| count).sum();
            (*workspace, loan.tokens + granted)
        });
        let held = held.filter(|(_, held)| is_deputy || *held > 0);
        let request = LoanRequest {
            number: self.last_number,
            held: held.collect(),
        };
        self.sent = Some((request.clone(), now));
        Some(request)
    }

    /// Handles the reply to a request, with the tokens for each of its workspaces.
    pub fn lent(&mut self, number: u64, tokens: &[u32]) {
        let is_current = |(sent, _): &mut (LoanRequest, _)| sent.number == number;
        let Some((request, sent)) = self.sent.take_if(is_current) else {
            return;
        };
        // Tokens granted until then expire before the loan does in the leader's records.
        self.end = sent + (LOAN_TIME - MAX_VALIDITY);
        for ((workspace, _), tokens) in request.held.iter().zip(tokens) {
            if let Some(loan) = self.loans.get_mut(workspace) {
                loan.tokens += tokens;
            }
        }
    }

    /// Answers the question of a VM; without content if this VM has no loan.
    pub fn answer(
        &mut self,
        now: core_time::Instant,
        asks: impl Iterator<Item = Ask>,
    ) -> Vec<Answer> {
        if now > self.end {
            return Vec::new();
        }
        asks.map(|ask| self.grant(now, &ask)).collect()
    }

    fn grant(&mut self, now: core_time::Instant, ask: &Ask) -> Answer {
        let Some(loan) = self.loans.get_mut(&ask.workspace) else {
            return Answer::default();
        };
        let granted = loan.tokens.min(ask.needed);
        loan.tokens -= granted;
        if granted > 0 {
            let end = now + MAX_VALIDITY + MAX_VALIDITY / 50;
            loan.granted.push_back((end, granted));
        }
        Answer {
            granted,
            ..Answer::default()
        }
    }
}
