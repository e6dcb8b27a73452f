//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record of a case: lines with the time since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file that the variable `RECORD` names.
    pub fn create() -> Result<Self, String> {
        let path = std::env::var("RECORD").map_err(|_| "RECORD isn't set".to_owned())?;
        let file = File::create(&path).map_err(|e| format!("{path}: {e}"))?;
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        drop(writeln!(file, "{at:8.3} s  {text}"));
    }

    /// Writes a line, and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
