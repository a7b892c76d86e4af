//! What was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub started: Instant,
}

impl Record {
    pub fn new() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(path).expect("a record");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Seconds from the start to a moment.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let mut file = self.file.lock().expect("no thread panics");
        let _ = writeln!(file, "{:9.3} s  {text}", self.seconds(at));
    }
}
