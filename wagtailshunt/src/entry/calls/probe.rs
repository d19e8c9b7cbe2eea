//! Asking targets for their load.
//!
//! The VMs of a failure domain divide its targets among themselves and share what they see, so that
//! the number of probes doesn't grow with the number of VMs.

use std::{rc, time};

use futures_channel::oneshot;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, header};
use wagtailshunt_core::{fleet, types};

use crate::{
    entry::{
        calls::attempt::{self, Destination},
        state, targets,
    },
    http,
};

/// A probe that takes longer finds a target that doesn't answer; a slow one takes some tens of
/// milliseconds.
const PROBE_LIMIT: time::Duration = time::Duration::from_millis(400);

/// Interval at which loads are passed on; in the meantime several are gathered into one message.
const SHARE_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Largest body of a health answer that is read.
const BODY_LIMIT: usize = 4096;

/// Runs the probes and the sharing of loads until the process ends.
pub async fn run(state: rc::Rc<state::State>) {
    let sharing = state.clone();
    compio::runtime::spawn(async move {
        while !sharing.stopped() {
            compio::time::sleep(SHARE_INTERVAL).await;
            targets::share_loads(&sharing);
        }
    })
    .detach();
    let Some(interval) = state.cfg.limits.probe_interval() else {
        return;
    };
    while !state.stopped() {
        let due = own_part(&state);
        let pause = interval / u32::try_from(due.len()).unwrap_or(u32::MAX).max(1);
        for question in due {
            compio::runtime::spawn(probe(state.clone(), question)).detach();
            compio::time::sleep(pause).await;
        }
        if pause == interval {
            compio::time::sleep(interval).await;
        }
    }
}

/// A call that asks for a question waits for its answer at most this long: some ways between failure
/// domains and the time of a probe at a target.
const ASK_LIMIT: time::Duration = time::Duration::from_millis(20);

/// What a probe needs to know.
struct Question {
    to: Destination,
    path: String,
}

impl Question {
    fn new(known: &fleet::TargetEntry, health_path: &str) -> Question {
        Question {
            to: Destination {
                target: known.announcement.target.clone(),
                born: known.announcement.born,
                address: known.announcement.address,
            },
            path: health_path.to_owned(),
        }
    }
}

/// Returns the targets that this VM probes.
fn own_part(state: &rc::Rc<state::State>) -> Vec<Question> {
    state.with(|inner| {
        let domain = &state.cfg.failure_domain;
        let mut mates: Vec<types::VmId> = inner.mates(domain);
        mates.retain(|vm| *vm == state.vm || state.peers.is_connected(*vm));
        mates.sort_unstable();
        let rank = mates.iter().position(|vm| *vm == state.vm).unwrap_or(0);
        let count = mates.len().max(1);
        let services = &inner.machine.table.items().services;
        let near = inner
            .directory
            .targets()
            .filter(|known| known.announcement.failure_domain == *domain);
        near.enumerate()
            .filter(|(i, _)| i % count == rank)
            .filter_map(|(_, known)| {
                let service = services.get(known.announcement.service.as_str())?;
                Some(Question::new(known, &service.health_path))
            })
            .collect()
    })
}

/// Asks a target for its load; what it says is known when this returns.
pub async fn ask(state: &rc::Rc<state::State>, target: &types::TargetId) {
    let question = state.with(|inner| {
        let known = inner.directory.get(target)?;
        let services = &inner.machine.table.items().services;
        let service = services.get(known.announcement.service.as_str())?;
        Some(Question::new(known, &service.health_path))
    });
    let Some(question) = question else {
        return;
    };
    let (tx, rx) = oneshot::channel();
    let task_state = state.clone();
    // Goes on when the one who asks doesn't wait any more, so that the connection can be kept.
    compio::runtime::spawn(async move {
        probe(task_state, question).await;
        // The one who asked may have found another target.
        let _ = tx.send(());
    })
    .detach();
    if compio::time::timeout(ASK_LIMIT, rx).await.is_err() {
        let now = state.clock.now();
        state.with(|inner| inner.placement.probe_unanswered(now, target));
    }
}

async fn probe(state: rc::Rc<state::State>, question: Question) {
    let probe = exchange(&state, &question);
    if compio::time::timeout(PROBE_LIMIT, probe).await.is_err() {
        let target = &question.to.target;
        log::debug!("probe of {target} timed out");
        let now = state.clock.now();
        state.with(|inner| inner.placement.probe_unanswered(now, target));
    }
}

async fn exchange(state: &rc::Rc<state::State>, question: &Question) {
    let target = &question.to.target;
    if let Err(err) = answered(state, question).await {
        log::debug!("target {target} can't be asked: {err}");
        let now = state.clock.now();
        state.with(|inner| inner.placement.probe_unanswered(now, target));
    }
}

async fn answered(
    state: &rc::Rc<state::State>,
    question: &Question,
) -> Result<(), Box<dyn std::error::Error>> {
    let to = &question.to;
    let key = (to.target.clone(), to.born);
    let now = state.clock.now();
    let pooled = state.pool.take(now, &key, time::Duration::MAX);
    let mut client = match pooled {
        Some(client) => client,
        None => attempt::connect(state, to).await?,
    };
    let mut req = Request::new(http::empty());
    *req.uri_mut() = question.path.parse()?;
    let host = header::HeaderValue::from_str(&to.address.to_string())?;
    req.headers_mut().insert(header::HOST, host);
    state.metrics.probes.inc();
    let answer = client.send(req).await.map_err(|(err, _)| err)?;
    let (head, body) = answer.into_parts();
    let own = http::text(&head.headers, &state.cfg.dialect.target);
    if own.is_none_or(|id| id == to.target.as_str()) {
        match attempt::note_load(state, &to.target, &head.headers) {
            true => {}
            false => state.with(|inner| inner.placement.answered_without_load(&to.target)),
        }
    }
    if attempt::closes(&head.headers) {
        return Ok(());
    }
    Limited::new(body, BODY_LIMIT)
        .collect()
        .await
        .map_err(|err| err as Box<dyn std::error::Error>)?;
    let keep_alive = attempt::keep_alive(&head.headers);
    if client.ready().await {
        state.pool.put(state.clock.now(), key, client, keep_alive);
    }
    Ok(())
}
