//! Carries out the search for a target: asks, waits in line, and gives the answers to the core.

use futures_util::{StreamExt, stream};
use wagtailshunt_core::{placement, types};

use crate::entry::calls::{answer::Reason, call::Call, probe};

/// A place in the line of a service; dropping it leaves the line.
struct Waiting<'a> {
    call: &'a Call,
    ticket: placement::Ticket,
    late: bool,
}

impl<'a> Waiting<'a> {
    fn join(call: &'a Call, search: &placement::Search) -> Waiting<'a> {
        let now = call.state.clock.now();
        let slack = search.slack(now, call.work());
        let priority = call.route.priority;
        let ticket = call.line(|line| line.push(now, priority, slack));
        Waiting {
            call,
            ticket,
            late: false,
        }
    }

    fn set_late(&mut self, late: bool) {
        if late && !self.late {
            self.late = true;
            self.call.line(|line| line.set_late(self.ticket));
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.call.line(|line| line.remove(self.ticket));
    }
}

/// Returns the target that a call goes to.
///
/// # Errors
///
/// Why the call can't be sent.
pub async fn target(
    call: &Call,
    mut search: placement::Search,
) -> Result<placement::Choice, Reason> {
    call.refuse_hopeless()?;
    let mut waiting = Waiting::join(call, &search);
    let choice = loop {
        let now = call.state.clock.now();
        let turn = call.line(|line| line.is_next(now, waiting.ticket));
        match call.step(&mut search, turn) {
            placement::Step::Send(choice) => break choice,
            placement::Step::Overloaded => return Err(Reason::Overloaded),
            placement::Step::NoTarget => return Err(Reason::NoTarget),
            placement::Step::Wait { pause, late } => {
                waiting.set_late(late);
                compio::time::sleep(pause).await;
            }
            placement::Step::Probe(targets) => {
                if let Some(choice) = ask(call, &search, targets).await {
                    break choice;
                }
            }
        }
    };
    let now = call.state.clock.now();
    call.line(|line| line.dispatched(now, waiting.ticket));
    Ok(choice)
}

/// Asks targets at the same time; returns the first that turns out to be good.
async fn ask(
    call: &Call,
    search: &placement::Search,
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
