//! The record of a run: one line for what was sent, answered, run or ended, with the time since the
//! start of the run.

use std::{fs, io::Write, path, sync, time};

pub struct Record {
    started: time::Instant,
    file: sync::Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &path::Path) -> Record {
        Record {
            started: time::Instant::now(),
            file: sync::Mutex::new(fs::File::create(path).expect("a record file")),
        }
    }

    pub fn elapsed(&self) -> time::Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.elapsed().as_millis();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{ms:>7} ms  {}", text.as_ref());
    }
}
