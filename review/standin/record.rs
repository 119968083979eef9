//! The record of a case: one line for each event, with the time since the start.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// `Record` collects lines; clones share them.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started_at: Instant::now(), lines: Arc::default() }
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl Into<String>) {
        self.line_at(self.now_ms(), text);
    }

    pub fn line_at(&self, at_ms: u64, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at_ms, text.into()));
    }

    /// Writes all lines in the order of their times.
    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at_ms, _)| *at_ms);
        let lines = lines
            .iter()
            .map(|(at_ms, text)| format!("{:>7}.{:03} s  {text}\n", at_ms / 1_000, at_ms % 1_000));
        std::fs::write(path, lines.collect::<String>())
    }
}
