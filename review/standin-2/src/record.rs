//! The record of a run, with times in milliseconds since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, start: Instant::now() })
    }

    pub fn ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:10.1} {text}\n", self.ms());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}
