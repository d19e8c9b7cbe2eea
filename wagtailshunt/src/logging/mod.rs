//! Structured log lines on standard output, bounded and never blocking.
//!
//! Lines are queued in memory and written by a thread of their own. Lines beyond the bounds are
//! counted and dropped; the count is logged as soon as there is admitted.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread, time,
};

use serde::ser::{SerializeMap, Serializer};

/// Lines that wait for the writer; at about 300 bytes a line this is 600 KB.
const MAX_QUEUED_LINES: usize = 2048;

/// Lines a second on average; a VM of a small site ends some tens of calls a second.
const LINES_PER_SECOND: u64 = 400;

/// Lines that may come at once, after a quiet time.
const BURST_LINES: u64 = 1200;

struct Output {
    level: log::LevelFilter,
    tx: mpsc::SyncSender<String>,
    started: time::Instant,
    /// Lines written so far, less what the rate has paid for; in thousandths of a line.
    used_lines: AtomicU64,
    dropped: AtomicU64,
}

/// Starts logging to standard output; a second call has no effect.
pub fn init(level: log::LevelFilter) {
    let (tx, rx) = mpsc::sync_channel::<String>(MAX_QUEUED_LINES);
    let writer = move || {
        let mut out = io::stdout().lock();
        while let Ok(line) = rx.recv() {
            // Nobody is left to tell when standard output is closed.
            if out.write_all(line.as_bytes()).is_err() {
                return;
            }
        }
    };
    if thread::Builder::new()
        .name("log".to_owned())
        .spawn(writer)
        .is_err()
    {
        return;
    }
    let output = Output {
        level,
        tx,
        started: time::Instant::now(),
        used_lines: AtomicU64::new(0),
        dropped: AtomicU64::new(0),
    };
    if log::set_boxed_logger(Box::new(output)).is_ok() {
        log::set_max_level(level);
    }
}

impl Output {
    /// Takes admitted for a line from the allowance; errors and warnings always have admitted.
    fn admit(&self, level: log::Level) -> bool {
        let earned_lines = self.started.elapsed().as_millis() as u64 * LINES_PER_SECOND / 1000;
        let used_lines = self.used_lines.load(Ordering::Relaxed);
        // Unused allowance beyond a burst is lost.
        let used_lines = used_lines.max(earned_lines.saturating_sub(BURST_LINES));
        let admitted = used_lines < earned_lines + BURST_LINES || level <= log::Level::Warn;
        if admitted {
            self.used_lines.store(used_lines + 1, Ordering::Relaxed);
        }
        admitted
    }

    fn send(&self, line: String) {
        if self.tx.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl log::Log for Output {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        if !self.admit(record.level()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.send(format!(
                "{{\"level\":\"warn\",\"event\":127,\"text\":\"log lines dropped\",\"dropped\":{dropped}}}\n"
            ));
        }
        match format_line(record) {
            Ok(line) => self.send(line),
            Err(err) => self.send(format!(
                "{{\"level\":\"error\",\"text\":\"line lost: {err}\"}}\n"
            )),
        }
    }

    fn flush(&self) {}
}

/// Formats a record as one line of JSON.
fn format_line(record: &log::Record<'_>) -> Result<String, serde_json::Error> {
    let wall = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let ms = wall.map_or(0, |wall| wall.as_millis() as u64);
    let mut buf = Vec::with_capacity(256);
    let mut json = serde_json::Serializer::new(&mut buf);
    let mut map = json.serialize_map(None)?;
    map.serialize_entry("ms_unix", &ms)?;
    map.serialize_entry("level", &record.level().as_str().to_ascii_lowercase())?;
    map.serialize_entry("text", &record.args().to_string())?;
    let mut fields = Fields { map, error: None };
    // The visitor keeps its own error.
    let _ = record.key_values().visit(&mut fields);
    if let Some(err) = fields.error {
        return Err(err);
    }
    fields.map.end()?;
    buf.push(b'\n');
    Ok(String::from_utf8_lossy(&buf).into_owned())
}

struct Fields<'a> {
    map: serde_json::ser::Compound<'a, &'a mut Vec<u8>, serde_json::ser::CompactFormatter>,
    error: Option<serde_json::Error>,
}

impl<'kvs> log::kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let result = match value.to_u64() {
            Some(number) => self.map.serialize_entry(key.as_str(), &number),
            None => self.map.serialize_entry(key.as_str(), &value.to_string()),
        };
        if let Err(err) = result {
            self.error.get_or_insert(err);
        }
        Ok(())
    }
}
