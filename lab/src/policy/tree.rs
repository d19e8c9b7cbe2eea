//! Counts the attempts in a chain of calls in which each layer may retry.
//!
//! It runs the retry rules of `wagtailshunt-core` with failures drawn from a seed, and shows by how
//! much retries multiply over the layers.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::time;
use wagtailshunt_core::deadline::Deadline;
use wagtailshunt_core::retry::{Attempt, AttemptNumber, Budget, Config, Decision, Failure, decide};
use wagtailshunt_core::time::Instant;

/// Number of attempts after which a root call is abandoned. Without retry limits the attempts
/// grow exponentially with the depth.
const MAX_ATTEMPTS: u64 = 1_000_000;

/// Settings of a chain of calls, in which each layer calls the next.
#[derive(Clone, Copy, Debug)]
pub struct Tree {
    /// Number of layers.
    pub depth: usize,
    /// Share in thousandths of the attempts at each layer that fail in the layer itself.
    pub failure_permille: u32,
    /// Number of root calls.
    pub calls: u32,
    /// Retry settings of each layer.
    pub retry: Config,
    /// Whether the retry budget of each layer is enforced.
    pub budget_enforced: bool,
}

/// Attempts and success rate of a chain of calls.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct TreeResult {
    /// Attempts at all layers per root call.
    pub attempts_per_call: f64,
    /// Attempts at the lowest layer per root call.
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
struct LayerResult {
    ok: bool,
    retried: bool,
}

/// Runs the root calls one after the other and counts the attempts.
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
    /// Handles a call at a layer: one attempt, and retries where the rules allow them.
    fn call(&mut self, layer: usize, caller_attempt: AttemptNumber) -> LayerResult {
        if self.tree.budget_enforced {
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
                return LayerResult { ok: true, retried };
            }
            if !self.tree.budget_enforced {
                // The budget is refilled before each decision, so that it never runs out.
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
                return LayerResult { ok: false, retried };
            }
            retried = true;
        }
    }

    fn attempt(&mut self, layer: usize, number: AttemptNumber) -> LayerResult {
        self.attempts[layer] += 1;
        self.call_attempts += 1;
        if self.call_attempts > MAX_ATTEMPTS {
            return LayerResult {
                ok: false,
                retried: true,
            };
        }
        let below = match layer + 1 < self.tree.depth {
            true => self.call(layer + 1, number),
            false => LayerResult {
                ok: true,
                retried: false,
            },
        };
        // The own work of the layer follows its call to the next layer and may fail as well.
        let fails = self.rng.random_ratio(self.tree.failure_permille, 1_000);
        LayerResult {
            ok: below.ok && !fails,
            ..below
        }
    }
}
