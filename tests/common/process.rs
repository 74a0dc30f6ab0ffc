//! Child processes that end with the test.

use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;

use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

use super::wait_for;

/// A child process that is killed when dropped; if the test failed, the end of its log
/// is printed.
pub(crate) struct Process {
    name: String,
    child: Child,
    log: PathBuf,
    _log_dir: TempDir,
}

/// Number of log lines that are printed when a test failed.
const TAIL_LINES: usize = 40;

impl Process {
    /// Starts a program with its standard error written to a log file.
    pub(crate) fn start(name: &str, command: &mut Command) -> Self {
        Self::start_with(name, command, |_| Stdio::piped())
    }

    /// Starts a program with its standard output and standard error written to a log file.
    pub(crate) fn start_logged(name: &str, command: &mut Command) -> Self {
        Self::start_with(name, command, |log| {
            log.try_clone()
                .expect("duplicate the log file's descriptor")
                .into()
        })
    }

    fn start_with(name: &str, command: &mut Command, output: fn(&File) -> Stdio) -> Self {
        let log_dir = tempfile::tempdir().expect("create the log directory");
        let log = log_dir.path().join("log");
        let file = File::create(&log).expect("create the log file");
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
            _log_dir: log_dir,
        }
    }

    /// Returns the first `count` lines of standard output; the rest is read and discarded.
    pub(crate) fn read_lines(&mut self, count: usize) -> Vec<String> {
        let output = self
            .child
            .stdout
            .take()
            .expect("standard output is read only once");
        let mut lines = BufReader::new(output).lines();
        let first = lines.by_ref().take(count).map_while(Result::ok).collect();
        thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        first
    }

    /// Reads and discards standard output, so that the child never blocks on a full pipe.
    pub(crate) fn discard_output(&mut self) {
        self.read_lines(0);
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap_or_else(|e| panic!("signal {}: {e}", self.name));
    }

    /// Kills the process with `SIGKILL` and waits for its end.
    pub(crate) fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().expect("wait for the child");
    }

    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process with `SIGSTOP`.
    pub(crate) fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    pub(crate) fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        let what = format!("exit of {}", self.name);
        wait_for(&what, || self.child.try_wait().expect("poll the child"))
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("poll the child").is_none()
    }

    /// Memory that the process has resident now, in bytes.
    pub(crate) fn memory(&self) -> u64 {
        self.read_status("VmRSS:")
    }

    /// Number of open file descriptors, and of sockets among them.
    pub(crate) fn descriptors(&self) -> (usize, usize) {
        let path = format!("/proc/{}/fd", self.child.id());
        let entries = fs::read_dir(path).expect("the process runs").flatten();
        let links: Vec<_> = entries
            .filter_map(|e| fs::read_link(e.path()).ok())
            .collect();
        let is_socket = |l: &&PathBuf| l.to_string_lossy().starts_with("socket:");
        (links.len(), links.iter().filter(is_socket).count())
    }

    /// Most memory that the process has had resident so far, in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        self.read_status("VmHWM:")
    }

    /// A size in the status of the process, in bytes.
    fn read_status(&self, name: &str) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).expect("the process runs");
        let line = status.lines().find_map(|l| l.strip_prefix(name));
        let size = line.and_then(|l| l.trim().strip_suffix(" kB"));
        1024 * size.expect("a size").parse::<u64>().expect("a number")
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
            let tail = &lines[lines.len().saturating_sub(TAIL_LINES)..];
            eprintln!("--- log of {}\n{}", self.name, tail.join("\n"));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
