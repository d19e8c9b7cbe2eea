//! Checks whether this VM reaches any target: collects evidence from connections, and connects to a
//! sample of the targets when `core::reach` asks for it.

use std::{collections, rc, time};

use futures_util::{StreamExt, stream};
use rand::seq::SliceRandom;
use wagtailshunt_core::{event, fleet, reach, types};

use crate::entry::{calls, state};

/// Time after which a check goes on to further targets. A target accepts within a few round trips
/// between failure domains.
const FIRST_SAMPLE_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Records what a connection to a target has shown, and starts a check of the path if one is due.
pub fn record(state: &rc::Rc<state::State>, target: &types::TargetId, evidence: reach::Evidence) {
    state.with(|inner| inner.path.record(target, evidence));
    if matches!(
        evidence,
        reach::Evidence::NotConnected | reach::Evidence::NotAnswered
    ) {
        check(state);
    }
}

/// Starts a check of the path in the background if one is due.
pub fn check(state: &rc::Rc<state::State>) {
    let now = state.clock.now();
    if state.with(|inner| inner.path.start_check(now)) {
        compio::runtime::spawn(run_check(state.clone())).detach();
    }
}

async fn run_check(state: rc::Rc<state::State>) {
    let (reached, tried) = connect_to_sample(&state, None).await;
    let now = state.clock.now();
    let change = state.with(|inner| inner.path.finish_check(now, reached, tried));
    if let Some(change) = change {
        state
            .metrics
            .path_lost
            .set(i64::from(change == reach::PathChange::Lost));
        state.events.emit(
            event::Id::PathChanged,
            &[
                ("change", &format!("{change:?}")),
                ("reached", &reached),
                ("tried", &tried),
            ],
        );
    }
    state.notify_path_checked();
}

/// Returns whether this VM reaches any target but one; true if it knows no other.
pub async fn reaches_others(state: &rc::Rc<state::State>, except: &types::TargetId) -> bool {
    let (reached, tried) = connect_to_sample(state, Some(except)).await;
    reached > 0 || tried == 0
}

/// Connects to a sample of the targets, in two parts; returns how many were reached and tried.
async fn connect_to_sample(
    state: &rc::Rc<state::State>,
    except: Option<&types::TargetId>,
) -> (usize, usize) {
    let (first, more) = state.with(|inner| inner.path.sample_sizes());
    let sample = sample_targets(state, except, first + more);
    let (first_part, rest) = sample.split_at(first.min(sample.len()));
    let first_reached = count_reached(state, first_part);
    match compio::time::timeout(FIRST_SAMPLE_TIMEOUT, first_reached).await {
        Ok(reached) if reached > 0 => (reached, first_part.len()),
        _ => (count_reached(state, rest).await, sample.len()),
    }
}

/// Returns random targets, of all services in turn: a service with many targets may fail as a whole.
fn sample_targets(
    state: &state::State,
    except: Option<&types::TargetId>,
    count: usize,
) -> Vec<calls::Destination> {
    state.with(|inner| {
        let known = inner.directory.targets();
        let known = known.filter(|known| Some(&known.announcement.target) != except);
        // An evacuated failure domain may be switched off.
        let evacuated = &inner.machine.evacuated;
        let known = known.filter(|known| !evacuated.contains(&known.announcement.failure_domain));
        let mut known: Vec<&fleet::TargetEntry> = known.collect();
        known.shuffle(&mut *state.rng.borrow_mut());
        let mut taken: collections::BTreeMap<&types::ServiceName, usize> =
            collections::BTreeMap::new();
        let mut by_turn: Vec<(usize, &fleet::TargetEntry)> = Vec::with_capacity(known.len());
        for target in known {
            let turn = taken.entry(&target.announcement.service).or_default();
            by_turn.push((*turn, target));
            *turn += 1;
        }
        by_turn.sort_by_key(|(turn, _)| *turn);
        let sample = by_turn.into_iter().take(count);
        sample.map(|(_, target)| target.into()).collect()
    })
}

/// Connects to targets concurrently; returns how many accepted.
async fn count_reached(state: &rc::Rc<state::State>, targets: &[calls::Destination]) -> usize {
    let connects: stream::FuturesUnordered<_> = targets
        .iter()
        .map(|to| calls::accepts_connection(state, to))
        .collect();
    connects
        .filter(|reached| std::future::ready(*reached))
        .count()
        .await
}
