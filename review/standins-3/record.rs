//! What a case writes down.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(folder.join("record.txt"))?),
            began: Instant::now(),
        })
    }

    /// Adds a line, with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:7.3} s  {text}\n");
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
