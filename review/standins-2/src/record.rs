//! The record of a run: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A record file; each line begins with the seconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(file),
        })
    }

    /// Returns the seconds between the start of the run and a time.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let now = self.seconds(Instant::now());
        let mut file = self.file.lock().expect("no panic while locked");
        // A record that cannot be written does not change the verdict.
        let _ = writeln!(file, "{now:9.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
        let mut file = self.file.lock().expect("no panic while locked");
        let _ = file.flush();
    }
}
