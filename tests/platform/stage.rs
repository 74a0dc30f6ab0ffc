//! A small deployment: three controllers, an entry instance in each of two
//! domains, and engines.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, MutexGuard};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use tempfile::TempDir;

use crate::common::caller::agent;
use crate::common::process::Process;
use crate::common::{port, wait_for};
use crate::engine::{self, BEAT, LAYERS, Shared, Spec, World};

pub(crate) const HOST: &str = "desk.example";
pub(crate) const KEY: &str = "key-of-one";
/// Key of another organisation.
pub(crate) const OTHER_KEY: &str = "key-of-two";
pub(crate) const DOMAINS: [&str; 2] = ["north", "south"];
const CONTROLLERS: u8 = 3;

/// Host number of the first entry instance in a deployment's address range.
const FIRST_ENTRY_HOST: u16 = 256;

/// Number of entry instances that are warmed up concurrently.
const WARM_UP_BATCH: usize = 30;

/// Tests of one process use loopback addresses of their own.
static NEXT: AtomicU8 = AtomicU8::new(1);

struct Ports {
    callers: u16,
    readiness: u16,
    control: u16,
    peers: u16,
    metrics: u16,
}

/// A running deployment.
pub(crate) struct Stage {
    pub(crate) controllers: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) engines: Vec<Spec>,
    /// Number of controllers.
    voters: u8,
    world: Shared,
    net: u8,
    ports: Ports,
    folder: TempDir,
}

impl Stage {
    /// Starts all, sends the first configuration, and waits until a request
    /// would be served.
    pub(crate) fn start() -> Self {
        Self::sized(DOMAINS.len(), &[3, 2])
    }

    /// Like [`Stage::start`], with the given number of entry instances and of model engines
    /// per domain.
    pub(crate) fn sized(entries: usize, engines: &[u8]) -> Self {
        let mut stage = Self::founded(CONTROLLERS);
        for i in 0..entries {
            let process = stage.entry(i);
            stage.entries.push(process);
        }
        wait_for("first configuration", || {
            stage.replace(1, &[KEY]).then_some(())
        });
        let models = DOMAINS.iter().zip(engines);
        let models = models.flat_map(|(domain, count)| (0..*count).map(|_| ("models", *domain)));
        let desks = DOMAINS.iter().map(|domain| ("desk", *domain));
        for (i, (service, domain)) in (1..).zip(models.chain(desks)) {
            stage.engine(i, service, domain);
        }
        wait_for("layers of both domains", || {
            let covered = |d: &&str| stage.world().covers(&stage.addresses(d));
            DOMAINS.iter().all(covered).then_some(())
        });
        for i in 0..entries {
            wait_for("ready entry", || stage.is_ready(i).then_some(()));
        }
        // All entries must know the last layers.
        for batch in (0..entries).collect::<Vec<_>>().chunks(WARM_UP_BATCH) {
            thread::scope(|scope| {
                for i in batch {
                    scope.spawn(|| stage.warm(*i));
                }
            });
        }
        stage
    }

    /// Starts controllers only.
    pub(crate) fn founded(voters: u8) -> Self {
        let port = || port::free().port();
        let mut stage = Self {
            controllers: Vec::new(),
            entries: Vec::new(),
            engines: Vec::new(),
            voters,
            world: Shared::default(),
            net: NEXT.fetch_add(1, Ordering::Relaxed),
            ports: Ports {
                callers: port(),
                readiness: port(),
                control: port(),
                peers: port(),
                metrics: port(),
            },
            folder: tempfile::tempdir().unwrap(),
        };
        for i in 0..voters {
            let process = stage.controller(i, true);
            stage.controllers.push(process);
        }
        stage
    }

    /// Waits until an entry instance serves a request.
    fn warm(&self, entry: usize) {
        wait_for("served request", || {
            let (status, _) = self.ask(entry, "/letters/x", &format!("warm-{entry}"), KEY);
            (status == 200).then_some(())
        });
    }

    pub(crate) fn world(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap()
    }

    fn ip(&self, host: u16) -> Ipv4Addr {
        let [high, low] = host.to_be_bytes();
        Ipv4Addr::new(127, high, self.net, low)
    }

    fn at(&self, host: u16, port: u16) -> SocketAddr {
        SocketAddrV4::new(self.ip(host), port).into()
    }

    pub(crate) fn control(&self, i: u8) -> SocketAddr {
        self.at(1 + u16::from(i), self.ports.control)
    }

    pub(crate) fn callers(&self, entry: usize) -> SocketAddr {
        self.at(entry_host(entry), self.ports.callers)
    }

    fn addresses(&self, domain: &str) -> Vec<SocketAddr> {
        let engines = self.engines.iter();
        let models = engines.filter(|e| e.service == "models" && e.domain == domain);
        models.map(|e| e.address).collect()
    }

    /// Starts a controller, on the disk that it had if there is one.
    pub(crate) fn controller(&self, i: u8, founding: bool) -> Process {
        let data = self.data(i);
        fs::create_dir_all(&data).unwrap();
        let listen = format!("control = \"{}\"", self.control(i));
        let data = format!("dataDir = {data:?}");
        self.role(
            "controller",
            1 + u16::from(i),
            DOMAINS[usize::from(i) % 2],
            founding,
            &data,
            &listen,
        )
    }

    /// Folder of a controller's disk.
    pub(crate) fn data(&self, i: u8) -> PathBuf {
        self.folder.path().join(format!("data-{i}"))
    }

    pub(crate) fn entry(&self, i: usize) -> Process {
        let host = entry_host(i);
        let (callers, readiness) = (self.callers(i), self.at(host, self.ports.readiness));
        let listen = format!("front = \"{callers}\"\nreadiness = \"{readiness}\"");
        self.role("entry", host, DOMAINS[i % 2], true, "", &listen)
    }

    /// Starts an entry instance whose output nobody reads.
    pub(crate) fn unread_entry(&self, i: usize) -> Process {
        let file = self
            .folder
            .path()
            .join(format!("entry-{}.toml", entry_host(i)));
        let mut command = Command::new(env!("CARGO_BIN_EXE_laburnumquay"));
        command.arg("entry").arg("--boot-file").arg(file);
        Process::start("unread entry", &mut command)
    }

    fn role(
        &self,
        role: &str,
        host: u16,
        domain: &str,
        founding: bool,
        more: &str,
        listen: &str,
    ) -> Process {
        let seeds: Vec<_> = (0..self.voters)
            .map(|i| self.control(i).to_string())
            .collect();
        let (ip, peers) = (self.ip(host), self.ports.peers);
        let text = format!(
            "node = \"{role}-{host}\"\nip = \"{ip}\"\nzone = \"{domain}\"\n\
             portRange = [{peers},{peers}]\nseeds = {seeds:?}\nfirstStart = {founding}\n\
             beatMs = {}\n{more}\n[faultTolerance]\nmachines = 1\n[listen]\n{listen}\n\
             [bounds]\ngraceS = 8\nrevokeMs = 5000\nretrySlack = 200\nstall_ms = 2500\n",
            BEAT.as_millis()
        );
        let file = self.folder.path().join(format!("{role}-{host}.toml"));
        fs::write(&file, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_laburnumquay"));
        command.arg(role).arg("--boot-file").arg(&file);
        let port = self.ports.metrics.to_string();
        command.args(["--metrics-port", &port]);
        Process::start_logged(&format!("{role} {host}"), &mut command)
    }

    /// Starts an engine.
    pub(crate) fn engine(&mut self, host: u8, service: &'static str, domain: &'static str) {
        let address = self.at(100 + u16::from(host), port::free().port());
        let spec = Spec {
            id: format!("i-{host}"),
            address,
            domain,
            service,
        };
        let controllers = (0..self.voters).map(|i| self.control(i)).collect();
        engine::run(spec.clone(), Arc::clone(&self.world), controllers);
        self.engines.push(spec);
    }

    /// Sends a configuration to one controller; says whether it was acknowledged.
    pub(crate) fn replace_at(&self, i: u8, version: u64) -> bool {
        let body = configuration(version, &[KEY]);
        engine::post(self.control(i), "/v1/Config.Replace", &body)
    }

    /// Sends a configuration to the controllers in turn; says whether one
    /// acknowledged it.
    pub(crate) fn replace(&self, version: u64, keys: &[&str]) -> bool {
        let body = configuration(version, keys);
        (0..self.voters).any(|i| engine::post(self.control(i), "/v1/Config.Replace", &body))
    }

    /// Version that a controller reads back, if it is sure.
    pub(crate) fn fetch(&self, i: u8) -> Option<u64> {
        let uri = format!("http://{}/v1/Config.Fetch", self.control(i));
        let mut reply = agent().get(&uri).call().ok()?;
        let read = reply.status() == 200;
        let body = reply.body_mut().read_to_string().ok().filter(|_| read)?;
        serde_json::from_str::<Value>(&body).ok()?["version"].as_u64()
    }

    /// Runs `laburnumquay quarantine`; returns its standard output.
    pub(crate) fn quarantine_command(&self, verb: &str, arguments: &[&str]) -> String {
        let target = self.control(0).to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_laburnumquay"));
        command.args(["quarantine", verb, "--controller", &target]);
        let output = command.args(arguments).output().expect("run the command");
        let shown = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{shown}");
        String::from_utf8(output.stdout).expect("text")
    }

    /// Metrics of all controllers and entry instances, in this order.
    pub(crate) fn metrics(&self) -> Vec<String> {
        let entries = (0..self.entries.len()).map(entry_host);
        let hosts = (1..=u16::from(self.voters)).chain(entries);
        let read = |host| {
            let uri = format!("http://{}/metrics", self.at(host, self.ports.metrics));
            let mut reply = agent().get(&uri).call().expect("metrics");
            reply.body_mut().read_to_string().expect("text")
        };
        hosts.map(read).collect()
    }

    /// Index of the leading controller.
    pub(crate) fn leader(&self) -> Option<usize> {
        let metrics = self.metrics();
        let leads = |m: &String| m.lines().any(|l| l == "controller_leads 1");
        metrics.iter().position(leads)
    }

    pub(crate) fn is_ready(&self, entry: usize) -> bool {
        let address = self.at(entry_host(entry), self.ports.readiness);
        let reply = agent().get(format!("http://{address}/v1/readyz")).call();
        reply.is_ok_and(|r| r.status() == 200)
    }

    /// Status and body of a request; an error while reading the body counts
    /// as status 0.
    pub(crate) fn ask(&self, entry: usize, path: &str, attempt: &str, key: &str) -> (u16, String) {
        self.ask_with(entry, path, attempt, key, "text")
    }

    /// Like [`Stage::ask`], with a body.
    pub(crate) fn ask_with(
        &self,
        entry: usize,
        path: &str,
        attempt: &str,
        key: &str,
        body: &str,
    ) -> (u16, String) {
        let request = agent()
            .post(format!("http://{}{path}", self.callers(entry)))
            .header("host", HOST)
            .header("x-attempt-id", attempt)
            .header("x-credential", key)
            .header("x-tenant", "forged")
            .header("x-token-usage", "20,30")
            .header("x-deadline-ms", "20000");
        let Ok(mut reply) = request.send(body) else {
            return (0, String::new());
        };
        let status = reply.status().as_u16();
        match reply.body_mut().read_to_string() {
            Ok(body) => (status, body),
            Err(_) => (0, String::new()),
        }
    }
}

fn entry_host(entry: usize) -> u16 {
    FIRST_ENTRY_HOST + u16::try_from(entry).expect("few instances")
}

fn configuration(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": HOST, "pathPrefix": prefix, "type": kind, "service": service,
            "timeoutMs": 20000, "sloMs": 500, "attempts": 2, "public": false,
            "resumable": kind == "streaming", "gapSloMs": 200,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("letters", "/letters/", "streaming", "models"),
            route("lookups", "/lookups/", "idempotent", "desk"),
            route("bookings", "/bookings/", "non_idempotent", "desk"),
        ],
        "services": [
            {"name": "models", "backend": {
                "layers": LAYERS, "layerMb": 100.0, "kvTokenBytes": 800, "step_ms": 1.0,
                "per_seq_ms": 0.01, "context_per_k": 0.01, "read_per_s": 100_000.0,
                "usual": {"prompt": 20, "answer": 10},
                "types": [{"name": "small", "sizeMb": 500.0, "pace": 1.0, "readFactor": 1.0}],
            }},
            {"name": "desk"},
        ],
        "tenants": [
            {"name": "one", "apiKeys": keys},
            {"name": "two", "apiKeys": [OTHER_KEY]},
        ],
    })
}

/// Longest time for a change to be in force everywhere.
pub(crate) const APPLY: Duration = Duration::from_secs(2);
