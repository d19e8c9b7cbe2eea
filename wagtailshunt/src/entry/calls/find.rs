//! Carries out the search for a target: asks, waits, and gives the answers to the core.

use futures_util::{StreamExt, stream};
use wagtailshunt_core::{placement, types};

use crate::entry::calls::{answer::Reason, call::Call, probe};

/// Returns the target that a call goes to.
///
/// # Errors
///
/// Why the call can't be sent.
pub async fn target(
    call: &Call,
    search: &placement::Search,
) -> Result<placement::Choice, Reason> {
    let mut search = search.clone();
    loop {
        match call.step(&mut search) {
            placement::Step::Take(choice) => return Ok(choice),
            placement::Step::Overloaded => return Err(Reason::Overloaded),
            placement::Step::NoTarget => return Err(Reason::NoTarget),
            placement::Step::Wait(pause) => compio::time::sleep(pause).await,
            placement::Step::Ask(targets) => {
                if let Some(choice) = ask(call, &mut search, targets).await {
                    return Ok(choice);
                }
            }
        }
    }
}

/// Asks targets at the same time; returns the first that turns out to be good.
async fn ask(
    call: &Call,
    search: &mut placement::Search,
    targets: Vec<types::TargetId>,
) -> Option<placement::Choice> {
    let questions: stream::FuturesUnordered<_> = targets
        .iter()
        .map(|target| probe::ask(&call.state, target))
        .collect();
    futures_util::pin_mut!(questions);
    while questions.next().await.is_some() {
        if let Some(choice) = call.good(search) {
            return Some(choice);
        }
    }
    None
}
