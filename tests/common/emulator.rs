//! Emulated upstreams that run as separate processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

use serde_json::Value;

use super::caller::agent;
use super::process::Process;
use super::wait_for;

/// Command-line arguments of an emulator that isn't started yet.
pub(crate) struct EmulatorBuilder {
    id: String,
    args: Vec<String>,
}

/// A running emulator.
pub(crate) struct Emulator {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) process: Process,
}

impl EmulatorBuilder {
    /// An engine that holds `layers` of the emulated model, such as "0..16".
    pub(crate) fn engine(id: &str, layers: &str) -> Self {
        Self::new(id).flag("layers", layers).flag("rate", "0")
    }

    /// A plain service.
    pub(crate) fn service(id: &str, name: &str) -> Self {
        Self::new(id).flag("service", name)
    }

    fn new(id: &str) -> Self {
        let builder = Self {
            id: id.to_owned(),
            args: Vec::new(),
        };
        builder.flag("id", id).flag("listen", "127.0.0.1:0")
    }

    /// Sets a flag of the emulator.
    pub(crate) fn flag(mut self, name: &str, value: impl ToString) -> Self {
        self.args.push(format!("--{name}={}", value.to_string()));
        self
    }

    /// Sets the control addresses that the emulator announces itself to.
    pub(crate) fn announce(self, addresses: &[SocketAddr]) -> Self {
        let list: Vec<_> = addresses.iter().map(SocketAddr::to_string).collect();
        self.flag("announce", list.join(","))
    }

    /// Starts the emulator and waits until it listens.
    pub(crate) fn start(self) -> Emulator {
        let mut process = Process::start(
            &self.id,
            Command::new(example_path("emulator")).args(&self.args),
        );
        let line = process.read_lines(1).pop().unwrap_or_default();
        let address = line.strip_prefix("ready ").and_then(|a| a.parse().ok());
        Emulator {
            id: self.id,
            address: address.unwrap_or_else(|| panic!("the emulator printed {line:?}")),
            process,
        }
    }
}

/// Returns the path of a cargo example. Cargo puts examples beside the binary, and builds them
/// before the tests unless a single test target is selected.
pub(crate) fn example_path(name: &str) -> PathBuf {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_laburnumquay"));
    let directory = binary.parent().expect("the binary's path has a parent");
    directory.join("examples").join(name)
}

impl Emulator {
    /// Requests a fault; `examples/emulator/fault.rs` describes its fields.
    pub(crate) fn inject_fault(&self, fault: &Value) {
        let uri = format!("http://{}/emulator/fault", self.address);
        let reply = agent().post(uri).send(fault.to_string());
        assert_eq!(reply.expect("request a fault").status(), 200);
    }

    /// Cancels the faults that haven't occurred yet.
    pub(crate) fn clear_faults(&self) {
        let uri = format!("http://{}/emulator/fault", self.address);
        let reply = agent().delete(uri).call();
        assert_eq!(reply.expect("clear the faults").status(), 200);
    }

    /// Totals that the emulator logs when it exits.
    pub(crate) fn final_totals(&self) -> Value {
        let log = self.process.log();
        let line = log.lines().find_map(|l| l.strip_prefix("gone "));
        serde_json::from_str(line.expect("a log line with the totals")).expect("totals are JSON")
    }

    /// Requests that were executed so far, and their totals.
    pub(crate) fn executions(&self) -> Value {
        let uri = format!("http://{}/emulator/executions", self.address);
        let mut reply = agent().get(uri).call().expect("request the executions");
        let text = reply
            .body_mut()
            .with_config()
            .limit(u64::MAX)
            .read_to_string();
        serde_json::from_str(&text.expect("read the executions")).expect("executions are JSON")
    }

    pub(crate) fn total(&self, name: &str) -> u64 {
        self.executions()["totals"][name]
            .as_u64()
            .unwrap_or_else(|| panic!("no total {name}"))
    }

    /// Waits until a total has reached at least a value.
    pub(crate) fn wait_for_total(&self, name: &str, value: u64) {
        let what = format!("{name} = {value} at {}", self.id);
        wait_for(&what, || (self.total(name) >= value).then_some(()));
    }

    /// Number of attempts that started with this prompt.
    pub(crate) fn attempts(&self, prompt: &str) -> u64 {
        let hash = format!("{:016x}", super::model::Context::new(prompt).state());
        let executions = self.executions();
        let requests = executions["requests"]
            .as_object()
            .expect("a map of requests");
        requests
            .values()
            .filter(|r| r["prompt"] == hash)
            .filter_map(|r| r["attempts"].as_u64())
            .sum()
    }
}
