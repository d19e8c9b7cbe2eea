//! Logger that writes JSON lines to standard output without blocking the caller.
//!
//! A separate thread writes the lines from a bounded queue. Lines beyond the queue or the rate
//! limit are dropped and counted; the next admitted line is preceded by the count.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc,
    },
    thread, time,
};

use serde::ser::{SerializeMap, Serializer};

/// Maximum number of lines that wait for the writer; 600 KB at about 300 bytes per line.
const MAX_QUEUED_LINES: usize = 2048;

/// Average rate limit. A VM of a small site ends some tens of calls per second.
const LINES_PER_SECOND: u64 = 400;

/// Size of the token bucket: lines that are admitted at once after a time without lines.
const BURST_LINES: u64 = 1200;

/// Logger with the rate limit and the sending end of the queue.
struct Output {
    level: log::LevelFilter,
    tx: mpsc::SyncSender<String>,
    started: time::Instant,
    /// Tokens used or discarded since the start, one per line.
    used_lines: AtomicU64,
    /// Lines dropped since the count was last logged.
    dropped: AtomicU64,
}

/// Installs the logger to standard output. A second call has no effect.
pub fn init(level: log::LevelFilter) {
    let (tx, rx) = mpsc::sync_channel::<String>(MAX_QUEUED_LINES);
    let writer = move || {
        let mut out = io::stdout().lock();
        while let Ok(line) = rx.recv() {
            // There is no other place to report that standard output is closed.
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
    /// Takes a token for a line; returns false if there is none.
    ///
    /// Errors and warnings are always admitted.
    fn admit(&self, level: log::Level) -> bool {
        let earned_lines = self.started.elapsed().as_millis() as u64 * LINES_PER_SECOND / 1000;
        let used_lines = self.used_lines.load(Ordering::Relaxed);
        // Tokens beyond the size of the bucket are discarded.
        let used_lines = used_lines.max(earned_lines.saturating_sub(BURST_LINES));
        let admitted = used_lines < earned_lines + BURST_LINES || level <= log::Level::Warn;
        if admitted {
            self.used_lines.store(used_lines + 1, Ordering::Relaxed);
        }
        admitted
    }

    /// Queues a line; drops and counts it if the queue is full.
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
                "{{\"level\":\"error\",\"text\":\"log line dropped: cannot encode it: {err}\"}}\n"
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
    // The visitor keeps its error in `fields.error`.
    let _ = record.key_values().visit(&mut fields);
    if let Some(err) = fields.error {
        return Err(err);
    }
    fields.map.end()?;
    buf.push(b'\n');
    Ok(String::from_utf8_lossy(&buf).into_owned())
}

/// Writes the key-value pairs of a record into the JSON object; keeps the first error.
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
