//! What was sent, answered and run, with times.

use std::fs;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
    path: PathBuf,
}

impl Record {
    pub fn new(path: PathBuf) -> Record {
        Record { start: Instant::now(), lines: Mutex::default(), path }
    }
    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}", self.now(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }
    /// As `add`, and printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.add(text);
    }
    pub fn write(&self) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        fs::write(&self.path, text).expect("the record can be written");
    }
}
