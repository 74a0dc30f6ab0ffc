//! Child processes that end with the test.

use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;

use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

use super::wait_for;

/// A running child; killed when dropped, its log shown when the test failed.
pub(crate) struct Process {
    name: String,
    child: Child,
    log: PathBuf,
    _folder: TempDir,
}

/// Lines of the log that a failed test shows.
const SHOWN: usize = 40;

impl Process {
    /// Starts a program with its standard error in a log file.
    pub(crate) fn start(name: &str, command: &mut Command) -> Self {
        Self::start_with(name, command, |_| Stdio::piped())
    }

    /// Starts a program with all that it writes in a log file.
    pub(crate) fn start_logged(name: &str, command: &mut Command) -> Self {
        Self::start_with(name, command, |log| {
            log.try_clone().expect("share the log").into()
        })
    }

    fn start_with(name: &str, command: &mut Command, output: fn(&File) -> Stdio) -> Self {
        let folder = tempfile::tempdir().expect("make a folder for the log");
        let log = folder.path().join("log");
        let file = File::create(&log).expect("make the log");
        let child = command
            .stdin(Stdio::null())
            .stdout(output(&file))
            .stderr(file)
            .spawn()
            .unwrap_or_else(|e| panic!("start {name}: {e}"));
        Self {
            name: name.to_owned(),
            child,
            log,
            _folder: folder,
        }
    }

    /// The first `count` lines of standard output; the rest is read and dropped.
    pub(crate) fn read_lines(&mut self, count: usize) -> Vec<String> {
        let output = self.child.stdout.take().expect("output is read once");
        let mut lines = BufReader::new(output).lines();
        let first = lines.by_ref().take(count).map_while(Result::ok).collect();
        thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        first
    }

    /// Reads and drops standard output, so that the child never blocks on it.
    pub(crate) fn discard_output(&mut self) {
        self.read_lines(0);
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap_or_else(|e| panic!("signal {}: {e}", self.name));
    }

    /// Ends the process without warning, as a power cut would.
    pub(crate) fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().expect("reap the child");
    }

    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    pub(crate) fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    pub(crate) fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the end of the process.
    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        let what = format!("end of {}", self.name);
        wait_for(&what, || self.child.try_wait().expect("look at the child"))
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("look at the child").is_none()
    }

    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if thread::panicking() {
            let log = self.log();
            let lines: Vec<_> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(SHOWN)..];
            eprintln!("--- log of {}\n{}", self.name, tail.join("\n"));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
