//! The record of a run: what was sent, answered and run, in the order of time.

use std::{
    fs,
    io::{self, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// Writes lines with the seconds since the start of the run.
pub struct Record {
    started: Instant,
    file: Mutex<io::BufWriter<fs::File>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = io::BufWriter::new(fs::File::create(path)?);
        Ok(Record {
            started: Instant::now(),
            file: Mutex::new(file),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no holder panics");
        // A record that cannot be written is noticed when it is read.
        let _ = writeln!(file, "{seconds:8.3} {text}");
        let _ = file.flush();
    }

    /// Writes a line that is also printed.
    pub fn result(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
