//! The record of what was sent, answered and run, with times since its start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be created");
        Self { started: Instant::now(), file: Mutex::new(BufWriter::new(file)) }
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: std::fmt::Arguments<'_>) {
        let now = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{now:>6} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: std::fmt::Arguments<'_>) {
        println!("{text}");
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
