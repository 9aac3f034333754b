//! What was sent, answered and run, with times.

use std::fmt::Display;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines of a case's record.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Seconds since the case began.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: impl Display) -> f64 {
        let now = self.now();
        let mut lines = self.lines.lock().expect("no panic while locked");
        lines.push((now, line.to_string()));
        now
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().expect("no panic while locked").clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{at:9.3} {line}\n"))
            .collect();
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("could not write {path}: {error}");
        }
    }
}
