//! Pool of idle connections, one list for each destination: an incarnation of a target, or a VM that
//! relays calls.

use std::{cell, collections, time};

use wagtailshunt_core::time as core_time;

use crate::http;

/// Share of a destination's idle timeout during which a connection is reused. A request that is sent
/// while the destination closes the connection would be lost.
const IDLE_TIMEOUT_SHARE: f64 = 0.5;

/// Idle timeout assumed for destinations that do not send one.
const DEFAULT_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Idle connections kept for each destination: a few times the slots of a target.
const MAX_IDLE: usize = 6;

struct IdleConnection {
    client: http::Client,
    idle_since: core_time::Instant,
    usable_until: core_time::Instant,
}

/// Idle connections by destination; the most recently used is last.
pub struct Pool<K> {
    idle: cell::RefCell<collections::BTreeMap<K, Vec<IdleConnection>>>,
}

impl<K> Default for Pool<K> {
    fn default() -> Self {
        Pool {
            idle: cell::RefCell::default(),
        }
    }
}

impl<K: Ord> Pool<K> {
    /// Takes the most recently used connection if it has been idle for at most `max_idle`.
    pub fn take(
        &self,
        now: core_time::Instant,
        key: &K,
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

    /// Adds an idle connection. `keep_alive` is the idle timeout that the destination sent.
    pub fn put(
        &self,
        now: core_time::Instant,
        key: K,
        client: http::Client,
        keep_alive: Option<time::Duration>,
    ) {
        let usable = keep_alive
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .mul_f64(IDLE_TIMEOUT_SHARE);
        let mut idle = self.idle.borrow_mut();
        let all = idle.entry(key).or_default();
        if all.len() == MAX_IDLE {
            all.remove(0);
        }
        all.push(IdleConnection {
            client,
            idle_since: now,
            usable_until: now + usable,
        });
    }

    /// Closes all connections to a destination.
    pub fn remove(&self, key: &K) {
        self.idle.borrow_mut().remove(key);
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
