//! Event log of one process.
//!
//! Each event gets a hybrid logical clock stamp, is written to the log, and is kept in memory for
//! `/v1/events`. The types of events are listed in the catalogue of the core.

use std::{cell, collections, fmt, rc};

use serde::Serialize;
use wagtailshunt_core::{event, types};

use crate::clock;

/// Maximum number of events kept in memory for `/v1/events`; older ones are only in the log.
const MAX_KEPT_EVENTS: usize = 4096;

/// One event, as written to `/v1/events`.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Hybrid logical clock stamp.
    pub stamp: event::Stamp,
    /// VM of the process.
    pub vm: types::VmId,
    /// Role of the process.
    pub role: types::Role,
    /// Number of the event within the process, counted from 1.
    pub sequence: u64,
    /// Number of the event type in the catalogue.
    pub number: u16,
    /// Description of the event type in the catalogue.
    pub text: &'static str,
    /// Values of the event by field name.
    pub fields: collections::BTreeMap<&'static str, String>,
}

struct Inner {
    clock: clock::Clock,
    hlc: event::Clock,
    vm: types::VmId,
    role: types::Role,
    sequence: u64,
    /// Maximum number of events in `kept`.
    limit: usize,
    kept: collections::VecDeque<Event>,
}

/// Event log of a process; clones share it.
#[derive(Clone)]
pub struct EventLog {
    inner: rc::Rc<cell::RefCell<Inner>>,
}

impl fmt::Debug for EventLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EventLog").finish_non_exhaustive()
    }
}

impl EventLog {
    /// Creates the event log of a process on `vm`.
    pub fn new(clock: clock::Clock, vm: types::VmId, role: types::Role) -> Self {
        let inner = Inner {
            clock,
            hlc: event::Clock::default(),
            vm,
            role,
            sequence: 0,
            limit: MAX_KEPT_EVENTS,
            kept: collections::VecDeque::new(),
        };
        EventLog {
            inner: rc::Rc::new(cell::RefCell::new(inner)),
        }
    }

    /// Keeps no events in memory from now on, for processes that don't serve them: 4096 events take
    /// several megabytes.
    pub fn keep_none(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.limit = 0;
        inner.kept = collections::VecDeque::new();
    }

    /// Stamps an event, writes it to the log and keeps it in memory.
    pub fn emit(&self, id: event::Id, fields: &[(&'static str, &dyn fmt::Display)]) {
        let mut inner = self.inner.borrow_mut();
        let entry = id.entry();
        let level = log_level(entry.level);
        let wall = inner.clock.wall();
        let stamp = inner.hlc.tick(wall);
        inner.sequence += 1;
        let fields: collections::BTreeMap<_, _> = fields
            .iter()
            .map(|(name, value)| (*name, value.to_string()))
            .collect();
        write_log(level, id, stamp, inner.vm, entry.text, &fields);
        if inner.limit == 0 {
            return;
        }
        let event = Event {
            stamp,
            vm: inner.vm,
            role: inner.role,
            sequence: inner.sequence,
            number: id.number(),
            text: entry.text,
            fields,
        };
        if inner.kept.len() >= inner.limit {
            inner.kept.pop_front();
        }
        inner.kept.push_back(event);
    }

    /// Returns the stamp for a frame that is about to be sent.
    pub fn stamp(&self) -> event::Stamp {
        let mut inner = self.inner.borrow_mut();
        let wall = inner.clock.wall();
        inner.hlc.tick(wall)
    }

    /// Advances the clock to at least the stamp of a received frame.
    pub fn observe(&self, received: event::Stamp) {
        let mut inner = self.inner.borrow_mut();
        let wall = inner.clock.wall();
        inner.hlc.observe(wall, received);
    }

    /// Returns the kept events as JSON lines, oldest first.
    pub fn json_lines(&self) -> String {
        let inner = self.inner.borrow();
        let mut out = String::new();
        for event in &inner.kept {
            if let Ok(line) = serde_json::to_string(event) {
                out.push_str(&line);
                out.push('\n');
            }
        }
        out
    }
}

fn log_level(level: event::Level) -> log::Level {
    match level {
        event::Level::Error => log::Level::Error,
        event::Level::Warn => log::Level::Warn,
        event::Level::Info => log::Level::Info,
        event::Level::Debug => log::Level::Debug,
    }
}

fn write_log(
    level: log::Level,
    id: event::Id,
    stamp: event::Stamp,
    vm: types::VmId,
    text: &str,
    fields: &collections::BTreeMap<&'static str, String>,
) {
    if !log::log_enabled!(level) {
        return;
    }
    let mut values = vec![
        ("event", log::kv::Value::from(id.number())),
        ("stamp", log::kv::Value::from(stamp.0)),
        ("vm", log::kv::Value::from(vm.0)),
    ];
    values.extend(
        fields
            .iter()
            .map(|(name, value)| (*name, log::kv::Value::from(value.as_str()))),
    );
    log::logger().log(
        &log::Record::builder()
            .level(level)
            .target("wagtailshunt")
            .args(format_args!("{text}"))
            .key_values(&values)
            .build(),
    );
}
