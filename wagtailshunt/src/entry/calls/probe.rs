//! Asking targets for their load.
//!
//! The VMs of a failure domain divide its targets among themselves and share what they see, so that
//! the number of probes doesn't grow with the number of VMs.

use std::{rc, time};

use http_body_util::{BodyExt, Limited};
use hyper::{Request, header};
use wagtailshunt_core::{time as core_time, types};

use crate::{
    entry::{
        calls::attempt::{self, Destination},
        feed, state,
    },
    http,
};

/// A probe that takes longer tells nothing that is still true.
const PROBE_LIMIT: time::Duration = time::Duration::from_millis(150);

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
            feed::share_loads(&sharing);
        }
    })
    .detach();
    let Some(interval) = state.cfg.limits.probe_interval else {
        return;
    };
    while !state.stopped() {
        let due = own_part(&state);
        let pause = interval / u32::try_from(due.len()).unwrap_or(u32::MAX).max(1);
        for (to, path, host) in due {
            compio::runtime::spawn(probe(state.clone(), to, path, host)).detach();
            compio::time::sleep(pause).await;
        }
        if pause == interval {
            compio::time::sleep(interval).await;
        }
    }
}

/// Returns the targets that this VM probes.
fn own_part(state: &rc::Rc<state::State>) -> Vec<(Destination, String, String)> {
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
            .filter(|known| known.report.failure_domain == *domain);
        near.enumerate()
            .filter(|(i, _)| i % count == rank)
            .filter_map(|(_, known)| {
                let service = services.get(known.report.service.as_str())?;
                let to = Destination {
                    target: known.report.target.clone(),
                    born: known.report.born,
                    address: known.report.address,
                };
                Some((to, service.health_path.clone(), known.report.address.to_string()))
            })
            .collect()
    })
}

async fn probe(state: rc::Rc<state::State>, to: Destination, path: String, host: String) {
    if compio::time::timeout(PROBE_LIMIT, exchange(&state, &to, &path, &host))
        .await
        .is_err()
    {
        log::debug!("probe of {} timed out", to.target);
    }
}

async fn exchange(state: &rc::Rc<state::State>, to: &Destination, path: &str, host: &str) {
    let key = (to.target.clone(), to.born);
    let now: core_time::Instant = state.clock.now();
    // Only a connection at hand is used: a new one may take a slot of the target.
    let Some(mut client) = state.pool.take(now, &key, time::Duration::MAX) else {
        return;
    };
    let mut req = Request::new(http::empty());
    match path.parse() {
        Ok(uri) => *req.uri_mut() = uri,
        Err(err) => {
            log::warn!("health path {path} can't be used: {err}");
            return;
        }
    }
    if let Ok(host) = header::HeaderValue::from_str(host) {
        req.headers_mut().insert(header::HOST, host);
    }
    state.metrics.probes.inc();
    let Ok(answer) = client.send(req).await else {
        return;
    };
    let (head, body) = answer.into_parts();
    let own = http::text(&head.headers, &state.cfg.dialect.target);
    if own.is_none_or(|id| id == to.target.as_str()) {
        attempt::note_load(state, &to.target, &head.headers);
    }
    if Limited::new(body, BODY_LIMIT).collect().await.is_ok() && client.ready().await {
        state.pool.put(state.clock.now(), key, client, None);
    }
}
