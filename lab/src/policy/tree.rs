//! Attempts in a tree of calls, where each layer may retry.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::time;
use wagtailshunt_core::deadline::Deadline;
use wagtailshunt_core::retry::{Attempt, AttemptNumber, Budget, Config, Decision, Failure, decide};
use wagtailshunt_core::time::Instant;

/// Attempts of one root call after which it is abandoned; without any rule they grow without use.
const MAX_ATTEMPTS: u64 = 1_000_000;

/// A chain of calls, each layer calling the next.
#[derive(Clone, Copy, Debug)]
pub struct Tree {
    /// Layers.
    pub depth: usize,
    /// Share of attempts that fail at each layer for its own reasons, in thousandths.
    pub failure_permille: u32,
    /// Root calls.
    pub calls: u32,
    /// Settings of each layer's retries.
    pub retry: Config,
    /// Whether each layer's budget is enforced.
    pub budgeted: bool,
}

/// What a tree of calls cost.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct TreeResult {
    /// Attempts of all layers for each root call.
    pub attempts_per_call: f64,
    /// Attempts at the lowest layer for each root call.
    pub lowest_per_call: f64,
    /// Root calls that succeeded, in percent.
    pub success_pct: f64,
}

struct Run {
    tree: Tree,
    rng: SmallRng,
    budgets: Vec<Budget>,
    attempts: Vec<u64>,
    call_attempts: u64,
}

#[derive(Clone, Copy)]
struct Answer {
    ok: bool,
    retried: bool,
}

/// Runs root calls one after the other and counts attempts.
pub fn call_tree(tree: &Tree, seed: u64) -> TreeResult {
    let mut run = Run {
        tree: *tree,
        rng: SmallRng::seed_from_u64(seed),
        budgets: vec![Budget::new(tree.retry); tree.depth],
        attempts: vec![0; tree.depth],
        call_attempts: 0,
    };
    let mut succeeded = 0u32;
    for _ in 0..tree.calls {
        run.call_attempts = 0;
        succeeded += u32::from(run.call(0, AttemptNumber::FIRST).ok);
    }
    let calls = f64::from(tree.calls);
    TreeResult {
        attempts_per_call: run.attempts.iter().sum::<u64>() as f64 / calls,
        lowest_per_call: run.attempts[tree.depth - 1] as f64 / calls,
        success_pct: f64::from(succeeded) / calls * 100.0,
    }
}

impl Run {
    /// A layer handles a call: attempts and, where the rule allows, a retry.
    fn call(&mut self, layer: usize, caller_attempt: AttemptNumber) -> Answer {
        if self.tree.budgeted {
            self.budgets[layer].count_call();
        }
        let mut attempts_made = 0;
        let mut retried = false;
        loop {
            attempts_made += 1;
            let number = if attempts_made > 1 {
                caller_attempt.next()
            } else {
                caller_attempt
            };
            let answer = self.attempt(layer, number);
            retried |= answer.retried;
            if answer.ok {
                return Answer { ok: true, retried };
            }
            if !self.tree.budgeted {
                // An endless budget: filled before each decision.
                (0..1_000).for_each(|_| self.budgets[layer].count_call());
            }
            let attempt = Attempt {
                caller_attempt,
                attempts_made,
                idempotent: true,
                deadline: Deadline(Instant(u64::MAX)),
                expected: time::Duration::ZERO,
            };
            let failure = Failure {
                not_run: true,
                retried_below: answer.retried,
            };
            let budget = &mut self.budgets[layer];
            if decide(Instant(0), &attempt, &failure, budget) != Decision::Retry {
                return Answer { ok: false, retried };
            }
            retried = true;
        }
    }

    fn attempt(&mut self, layer: usize, number: AttemptNumber) -> Answer {
        self.attempts[layer] += 1;
        self.call_attempts += 1;
        if self.call_attempts > MAX_ATTEMPTS {
            return Answer {
                ok: false,
                retried: true,
            };
        }
        let below = match layer + 1 < self.tree.depth {
            true => self.call(layer + 1, number),
            false => Answer {
                ok: true,
                retried: false,
            },
        };
        // A layer does its own work after its call: that fails, too.
        let fails = self.rng.random_ratio(self.tree.failure_permille, 1_000);
        Answer {
            ok: below.ok && !fails,
            ..below
        }
    }
}
