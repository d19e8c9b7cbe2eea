//! Pool of idle connections to targets, one list for each incarnation of a target.

use std::{cell, collections, time};

use wagtailshunt_core::{time as core_time, types};

use crate::http;

/// Share of a target's idle timeout during which a connection is reused. A request that is sent
/// while the target closes the connection would be lost.
const IDLE_TIMEOUT_SHARE: f64 = 0.5;

/// Idle timeout assumed for targets that do not send one.
const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Idle connections kept for each target: a few times its number of slots.
const MAX_IDLE_PER_TARGET: usize = 6;

struct IdleConnection {
    client: http::Client,
    idle_since: core_time::Instant,
    usable_until: core_time::Instant,
}

/// Idle connections by target id and start of its incarnation; the most recently used is last.
#[derive(Default)]
pub struct Pool {
    idle: cell::RefCell<
        collections::BTreeMap<(types::TargetId, core_time::UnixMillis), Vec<IdleConnection>>,
    >,
}

impl Pool {
    /// Takes the most recently used connection if it has been idle for at most `max_idle`.
    pub fn take(
        &self,
        now: core_time::Instant,
        key: &(types::TargetId, core_time::UnixMillis),
        max_idle: time::Duration,
    ) -> Option<http::Client> {
        let mut idle = self.idle.borrow_mut();
        let all = idle.get_mut(key)?;
        all.retain(|conn| conn.usable_until > now && conn.client.is_usable());
        if now.since(all.last()?.idle_since) > max_idle {
            return None;
        }
        all.pop().map(|conn| conn.client)
    }

    /// Adds an idle connection. `keep_alive` is the idle timeout that the target sent.
    pub fn put(
        &self,
        now: core_time::Instant,
        key: (types::TargetId, core_time::UnixMillis),
        client: http::Client,
        keep_alive: Option<time::Duration>,
    ) {
        let usable = keep_alive
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .mul_f64(IDLE_TIMEOUT_SHARE);
        let mut idle = self.idle.borrow_mut();
        let all = idle.entry(key).or_default();
        if all.len() == MAX_IDLE_PER_TARGET {
            all.remove(0);
        }
        all.push(IdleConnection {
            client,
            idle_since: now,
            usable_until: now + usable,
        });
    }

    /// Closes connections that have expired or broken.
    pub fn remove_expired(&self, now: core_time::Instant) {
        let mut idle = self.idle.borrow_mut();
        for all in idle.values_mut() {
            all.retain(|conn| conn.usable_until > now && conn.client.is_usable());
        }
        idle.retain(|_, all| !all.is_empty());
    }
}
