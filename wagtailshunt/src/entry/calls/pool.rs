//! Idle connections to targets.

use std::{cell, collections, time};

use wagtailshunt_core::{time as core_time, types};

use crate::http;

/// Share of a target's idle timeout for which a connection is used again; a request that crosses the
/// target's close is lost.
const IDLE_SHARE: f64 = 0.5;

/// Idle timeout of targets that don't tell theirs.
const DEFAULT_IDLE: time::Duration = time::Duration::from_secs(5);

/// Idle connections kept for each target: a few times its slots.
const KEPT: usize = 6;

struct Idle {
    client: http::Client,
    since: core_time::Instant,
    usable_until: core_time::Instant,
}

/// Idle connections by target and start of its life.
#[derive(Default)]
pub struct Pool {
    idle: cell::RefCell<collections::BTreeMap<(types::TargetId, core_time::UnixMillis), Vec<Idle>>>,
}

impl Pool {
    /// Takes the connection that was used last, if it was idle for at most `max_idle`.
    pub fn take(
        &self,
        now: core_time::Instant,
        key: &(types::TargetId, core_time::UnixMillis),
        max_idle: time::Duration,
    ) -> Option<http::Client> {
        let mut idle = self.idle.borrow_mut();
        let all = idle.get_mut(key)?;
        all.retain(|conn| conn.usable_until > now && conn.client.is_usable());
        if now.since(all.last()?.since) > max_idle {
            return None;
        }
        all.pop().map(|conn| conn.client)
    }

    /// Keeps a connection. `keep_alive` is what the target said of its idle timeout.
    pub fn put(
        &self,
        now: core_time::Instant,
        key: (types::TargetId, core_time::UnixMillis),
        client: http::Client,
        keep_alive: Option<time::Duration>,
    ) {
        let usable = keep_alive.unwrap_or(DEFAULT_IDLE).mul_f64(IDLE_SHARE);
        let mut idle = self.idle.borrow_mut();
        let all = idle.entry(key).or_default();
        if all.len() == KEPT {
            all.remove(0);
        }
        all.push(Idle {
            client,
            since: now,
            usable_until: now + usable,
        });
    }

    /// Closes connections that are not to be used again.
    pub fn sweep(&self, now: core_time::Instant) {
        let mut idle = self.idle.borrow_mut();
        for all in idle.values_mut() {
            all.retain(|conn| conn.usable_until > now && conn.client.is_usable());
        }
        idle.retain(|_, all| !all.is_empty());
    }
}
