//! A deployment for tests: controllers, entry instances and engines in two failure
//! domains; three controllers and two entry instances unless a test asks for more.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use tempfile::TempDir;
use ureq::typestate::WithBody;

use crate::common::caller::agent;
use crate::common::process::Process;
use crate::common::{port, wait_for};
use crate::cut::Cut;
use crate::engine::{self, EngineSpec, EngineState, HEARTBEAT_PERIOD, LAYERS, RunningEngines};

pub(crate) const HOST: &str = "desk.example";
pub(crate) const KEY: &str = "key-of-one";
/// Key of another organisation.
pub(crate) const OTHER_KEY: &str = "key-of-two";
pub(crate) const DOMAINS: [&str; 2] = ["north", "south"];
const CONTROLLERS: u8 = 3;

/// Default of `--direct-entries`.
const DIRECT_ENTRIES: usize = 300;

/// Line in the metrics of the leading controller.
const LEADS: &str = "controller_leads 1";

/// Memory of an instance, as on the smallest machines.
pub(crate) const MEMORY_MB: u64 = 112;

/// File descriptors of a process, as on the smallest machines.
pub(crate) const DESCRIPTORS: usize = 2_870;

const DEFAULT_RETRIES: &str = "retrySlack = 200";

/// Host number of the first entry instance in a deployment's address range.
const FIRST_ENTRY_HOST: u16 = 256;

/// Number of entry instances that are warmed up concurrently.
const WARM_UP_BATCH: usize = 30;

/// Third octet of the next deployment's loopback addresses, so that concurrent tests of
/// one process don't share addresses.
static NEXT_SUBNET: AtomicU8 = AtomicU8::new(1);

struct Ports {
    callers: u16,
    readiness: u16,
    control: u16,
    peers: u16,
    metrics: u16,
}

/// A running deployment.
pub(crate) struct Deployment {
    pub(crate) controllers: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) engines: Vec<EngineSpec>,
    /// Number of entry instances that the leader answers itself.
    direct: usize,
    /// Controllers in the settings of the processes that are started next. At the first start they
    /// found the replicated log.
    seeds: Vec<u8>,
    /// Number of controllers.
    voters: u8,
    /// Limits on retries, as in the settings of entry instances.
    retries: &'static str,
    /// File descriptors of each process, as in its settings.
    descriptors: usize,
    /// Dropped after the processes, whose logs would otherwise end with the loss of all engines.
    engine_state: RunningEngines,
    subnet: u8,
    ports: Ports,
    directory: TempDir,
    /// Dropped after the processes.
    _turn: Turn,
}

/// Number of instances from which a deployment runs alone.
const LARGE: usize = 100;

/// Held for writing by a deployment of hundreds of instances or one with a crowd of clients, and for
/// reading by others: beside a large one, the heartbeats of all engines come seconds late, since they
/// share the machine.
static TURNS: RwLock<()> = RwLock::new(());

/// Turn of a deployment on this machine.
enum Turn {
    Alone {
        _guard: RwLockWriteGuard<'static, ()>,
    },
    Shared {
        _guard: RwLockReadGuard<'static, ()>,
    },
}

impl Turn {
    /// Waits for the turn of a deployment with this number of entry instances.
    fn wait(entries: usize) -> Self {
        if entries >= LARGE {
            return Self::alone();
        }
        let _guard = TURNS.read().unwrap_or_else(PoisonError::into_inner);
        Self::Shared { _guard }
    }

    fn alone() -> Self {
        let _guard = TURNS.write().unwrap_or_else(PoisonError::into_inner);
        Self::Alone { _guard }
    }
}

impl Deployment {
    /// Starts all processes, sends the first configuration, and waits until every entry
    /// instance serves requests.
    pub(crate) fn start() -> Self {
        Self::with_size(DOMAINS.len(), &[3, 2])
    }

    /// Like [`Deployment::start`], with the given number of entry instances and of model engines
    /// per domain.
    pub(crate) fn with_size(entries: usize, engines: &[u8]) -> Self {
        Self::with_retries(entries, engines, DEFAULT_RETRIES)
    }

    /// Two entry instances, of which the first reaches engines through the second one only if
    /// `carried`.
    pub(crate) fn with_links(carried: bool) -> Self {
        let deployment = Self::with_size(2, &[3, 3]);
        if carried {
            deployment.carry_requests(0);
        }
        deployment
    }

    /// Like [`Deployment::with_size`], with limits on retries.
    pub(crate) fn with_retries(entries: usize, engines: &[u8], retries: &'static str) -> Self {
        Self::with_all(CONTROLLERS, entries, engines, retries)
    }

    /// Like [`Deployment::with_size`], with the given number of controllers.
    pub(crate) fn with_controllers(controllers: u8, entries: usize, engines: &[u8]) -> Self {
        Self::with_all(controllers, entries, engines, DEFAULT_RETRIES)
    }

    /// Like [`Deployment::start`], with two controllers that aren't members of the replicated log.
    pub(crate) fn with_non_members() -> Self {
        Self::of_controllers(CONTROLLERS + 2, CONTROLLERS, Turn::wait(DOMAINS.len()))
            .with_instances(DOMAINS.len(), &[3, 2])
    }

    /// Like [`Deployment::with_controllers`], but the leader refers all entry instances to its followers.
    pub(crate) fn with_followers(controllers: u8, entries: usize, engines: &[u8]) -> Self {
        let mut deployment = Self::new(controllers, controllers, Turn::wait(entries));
        deployment.direct = 0;
        deployment.start_controllers();
        deployment.with_instances(entries, engines)
    }

    /// A deployment with one entry instance that runs while no other one does, with the given number
    /// of file descriptors of each process.
    pub(crate) fn alone(descriptors: usize) -> Self {
        let mut deployment = Self::new(CONTROLLERS, CONTROLLERS, Turn::alone());
        deployment.descriptors = descriptors;
        deployment.start_controllers();
        deployment.with_instances(1, &[3, 3])
    }

    fn with_all(controllers: u8, entries: usize, engines: &[u8], retries: &'static str) -> Self {
        let mut deployment = Self::of_controllers(controllers, controllers, Turn::wait(entries));
        deployment.retries = retries;
        deployment.with_instances(entries, engines)
    }

    /// Starts entry instances and engines, and waits until all requests are served.
    fn with_instances(self, entries: usize, engines: &[u8]) -> Self {
        let mut deployment = self;
        for i in 0..entries {
            let process = deployment.start_entry(i);
            deployment.entries.push(process);
        }
        wait_for("first configuration", || {
            deployment.replace_configuration(1, &[KEY]).then_some(())
        });
        let models = DOMAINS.iter().zip(engines);
        let models = models.flat_map(|(domain, count)| (0..*count).map(|_| ("models", *domain)));
        let desks = DOMAINS.iter().map(|domain| ("desk", *domain));
        for (i, (service, domain)) in (1..).zip(models.chain(desks)) {
            deployment.start_engine(i, service, domain);
        }
        wait_for("layers of both domains", || {
            let covered = |d: &&str| deployment.engine_state().covers(&deployment.model_addrs(d));
            DOMAINS.iter().all(covered).then_some(())
        });
        for i in 0..entries {
            wait_for("ready entry", || deployment.is_ready(i).then_some(()));
        }
        // Every entry instance must know the layers that were placed last.
        for batch in (0..entries).collect::<Vec<_>>().chunks(WARM_UP_BATCH) {
            thread::scope(|scope| {
                for i in batch {
                    scope.spawn(|| deployment.wait_until_serving(*i));
                }
            });
        }
        deployment
    }

    pub(crate) fn controllers_only(voters: u8) -> Self {
        Self::of_controllers(voters, voters, Turn::wait(0))
    }

    fn of_controllers(voters: u8, seeds: u8, turn: Turn) -> Self {
        let mut deployment = Self::new(voters, seeds, turn);
        deployment.start_controllers();
        deployment
    }

    /// A deployment of which nothing is started.
    fn new(voters: u8, seeds: u8, turn: Turn) -> Self {
        let port = || port::free().port();
        Self {
            controllers: Vec::new(),
            entries: Vec::new(),
            engines: Vec::new(),
            voters,
            seeds: (0..seeds).collect(),
            direct: DIRECT_ENTRIES,
            retries: DEFAULT_RETRIES,
            descriptors: DESCRIPTORS,
            engine_state: RunningEngines::default(),
            subnet: NEXT_SUBNET.fetch_add(1, Ordering::Relaxed),
            ports: Ports {
                callers: port(),
                readiness: port(),
                control: port(),
                peers: port(),
                metrics: port(),
            },
            directory: tempfile::tempdir().unwrap(),
            _turn: turn,
        }
    }

    fn start_controllers(&mut self) {
        for i in 0..self.voters {
            let process = self.start_controller(i, true);
            self.controllers.push(process);
        }
    }

    /// Waits until an entry instance serves a request.
    fn wait_until_serving(&self, entry: usize) {
        wait_for("served request", || {
            let (status, _) = self.request(entry, "/letters/x", &format!("warm-{entry}"), KEY);
            (status == 200).then_some(())
        });
    }

    /// Cuts an entry instance off from all engines, and waits until another one carries its requests.
    pub(crate) fn carry_requests(&self, entry: usize) {
        let source = [self.entry_ip(entry)];
        self.engine_state().links.cut(Cut::RefuseNew, &source);
        wait_for("a carried request", || {
            let (status, _) = self.request(entry, "/lookups/x", "warm-up", KEY);
            (status == 200).then_some(())
        });
    }

    pub(crate) fn engine_state(&self) -> MutexGuard<'_, EngineState> {
        self.engine_state.state()
    }

    fn ip(&self, host: u16) -> Ipv4Addr {
        let [high, low] = host.to_be_bytes();
        Ipv4Addr::new(127, high, self.subnet, low)
    }

    fn addr(&self, host: u16, port: u16) -> SocketAddr {
        SocketAddrV4::new(self.ip(host), port).into()
    }

    pub(crate) fn control_addr(&self, i: u8) -> SocketAddr {
        self.addr(1 + u16::from(i), self.ports.control)
    }

    pub(crate) fn caller_addr(&self, entry: usize) -> SocketAddr {
        self.addr(entry_host(entry), self.ports.callers)
    }

    /// Address from which an entry instance connects to engines.
    pub(crate) fn entry_ip(&self, entry: usize) -> Ipv4Addr {
        self.ip(entry_host(entry))
    }

    fn model_addrs(&self, domain: &str) -> Vec<SocketAddr> {
        let engines = self.engines.iter();
        let models = engines.filter(|e| e.service == "models" && e.domain == domain);
        models.map(|e| e.address).collect()
    }

    /// Starts a controller, with its earlier data directory if there is one.
    pub(crate) fn start_controller(&self, i: u8, first_start: bool) -> Process {
        let data = self.data_dir(i);
        fs::create_dir_all(&data).unwrap();
        let listen = format!("control = \"{}\"", self.control_addr(i));
        let data = format!("dataDir = {data:?}");
        self.start_role(
            "controller",
            1 + u16::from(i),
            DOMAINS[usize::from(i) % 2],
            first_start,
            &data,
            &listen,
        )
    }

    /// Starts further controllers with empty disks, after the first start of the deployment.
    pub(crate) fn add_controllers(&mut self, count: u8) {
        for i in self.voters..self.voters + count {
            let process = self.start_controller(i, false);
            self.controllers.push(process);
        }
        self.voters += count;
    }

    /// Names other seeds in the settings of all processes that are started from now on.
    pub(crate) fn set_seeds(&mut self, seeds: &[u8]) {
        self.seeds = seeds.to_vec();
    }

    /// Starts a controller again that has ended, with what is left of its data directory.
    pub(crate) fn return_controller(&mut self, i: u8) {
        self.controllers[usize::from(i)] = self.start_controller(i, false);
    }

    /// Kills a controller, and starts it again with its data directory.
    pub(crate) fn restart_controller(&mut self, i: u8) {
        self.controllers[usize::from(i)].kill();
        self.return_controller(i);
    }

    /// Data directory of a controller.
    pub(crate) fn data_dir(&self, i: u8) -> PathBuf {
        self.directory.path().join(format!("data-{i}"))
    }

    pub(crate) fn start_entry(&self, i: usize) -> Process {
        let host = entry_host(i);
        let (callers, readiness) = (self.caller_addr(i), self.addr(host, self.ports.readiness));
        let listen = format!("front = \"{callers}\"\nreadiness = \"{readiness}\"");
        self.start_role("entry", host, DOMAINS[i % 2], true, "", &listen)
    }

    /// Starts an entry instance whose output is never read.
    pub(crate) fn start_unread_entry(&self, i: usize) -> Process {
        let file = self
            .directory
            .path()
            .join(format!("entry-{}.toml", entry_host(i)));
        let mut command = Command::new(env!("CARGO_BIN_EXE_laburnumquay"));
        command.arg("entry").arg("--boot-file").arg(file);
        Process::start("unread entry", &mut command)
    }

    fn start_role(
        &self,
        role: &str,
        host: u16,
        domain: &str,
        first_start: bool,
        settings: &str,
        listen: &str,
    ) -> Process {
        let seeds = self.seeds.iter().map(|i| self.control_addr(*i).to_string());
        let seeds: Vec<_> = seeds.collect();
        let (ip, peers, retries) = (self.ip(host), self.ports.peers, self.retries);
        let descriptors = self.descriptors;
        let text = format!(
            "node = \"{role}-{host}\"\nip = \"{ip}\"\nzone = \"{domain}\"\n\
             portRange = [{peers},{peers}]\nseeds = {seeds:?}\nfirstStart = {first_start}\n\
             beatMs = {}\n{settings}\n[faultTolerance]\nmachines = 1\n\
             [limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {descriptors}\n[listen]\n{listen}\n\
             [bounds]\ngraceS = 8\nrevokeMs = 5000\n{retries}\nstall_ms = 2500\n",
            HEARTBEAT_PERIOD.as_millis()
        );
        let file = self.directory.path().join(format!("{role}-{host}.toml"));
        fs::write(&file, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_laburnumquay"));
        command.arg(role).arg("--boot-file").arg(&file);
        let port = self.ports.metrics.to_string();
        command.args(["--metrics-port", &port]);
        command.args(["--direct-entries", &self.direct.to_string()]);
        Process::start_logged(&format!("{role} {host}"), &mut command)
    }

    pub(crate) fn start_engine(&mut self, host: u8, service: &'static str, domain: &'static str) {
        let address = self.addr(100 + u16::from(host), port::free().port());
        let spec = EngineSpec {
            id: format!("i-{host}"),
            address,
            domain,
            service,
        };
        let controllers = (0..self.voters).map(|i| self.control_addr(i)).collect();
        self.engine_state.start(spec.clone(), controllers);
        self.engines.push(spec);
    }

    /// Replaces the configuration by one with these priorities, and waits until it is in force
    /// everywhere.
    pub(crate) fn set_priorities(&self, version: u64, priorities: &Priorities) {
        let body = prioritise(configuration(version, &[KEY]), priorities);
        wait_for("configuration with priorities", || {
            self.send_configuration(&body).then_some(())
        });
        thread::sleep(APPLY_TIME);
    }

    /// Sends a configuration to one controller; returns whether it was acknowledged.
    pub(crate) fn replace_configuration_at(&self, i: u8, version: u64) -> bool {
        let body = configuration(version, &[KEY]);
        engine::post(self.control_addr(i), "/v1/Config.Replace", &body)
    }

    /// Sends a configuration to the controllers in turn until one acknowledges it;
    /// returns whether one did.
    pub(crate) fn replace_configuration(&self, version: u64, keys: &[&str]) -> bool {
        self.send_configuration(&configuration(version, keys))
    }

    pub(crate) fn send_configuration(&self, body: &Value) -> bool {
        (0..self.voters).any(|i| engine::post(self.control_addr(i), "/v1/Config.Replace", body))
    }

    /// Version of the configuration that a controller returns, if it can confirm one.
    pub(crate) fn fetch_version(&self, i: u8) -> Option<u64> {
        let uri = format!("http://{}/v1/Config.Fetch", self.control_addr(i));
        let mut reply = agent().get(&uri).call().ok()?;
        let is_ok = reply.status() == 200;
        let body = reply.body_mut().read_to_string().ok().filter(|_| is_ok)?;
        serde_json::from_str::<Value>(&body).ok()?["version"].as_u64()
    }

    /// Runs `laburnumquay quarantine` with the first controller; returns its standard output.
    pub(crate) fn run_quarantine(&self, verb: &str, arguments: &[&str]) -> String {
        self.run_quarantine_at(0, verb, arguments)
    }

    /// Like [`Deployment::run_quarantine`], with a given controller.
    pub(crate) fn run_quarantine_at(&self, i: u8, verb: &str, arguments: &[&str]) -> String {
        let target = self.control_addr(i).to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_laburnumquay"));
        command.args(["quarantine", verb, "--controller", &target]);
        let output = command.args(arguments).output().expect("run the command");
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{errors}");
        String::from_utf8(output.stdout).expect("text")
    }

    /// Metrics of all controllers and entry instances, in this order.
    pub(crate) fn metrics(&self) -> Vec<String> {
        let entries = (0..self.entries.len()).map(entry_host);
        let hosts = (1..=u16::from(self.voters)).chain(entries);
        hosts
            .map(|h| self.read_metrics(h).expect("metrics"))
            .collect()
    }

    fn read_metrics(&self, host: u16) -> Option<String> {
        let uri = format!("http://{}/metrics", self.addr(host, self.ports.metrics));
        let mut reply = agent().get(&uri).call().ok()?;
        reply.body_mut().read_to_string().ok()
    }

    /// Number of running controllers that lead a replicated log.
    pub(crate) fn count_leaders(&self) -> usize {
        let metrics = (1..=u16::from(self.voters)).filter_map(|h| self.read_metrics(h));
        metrics.filter(|m| has_line(m, LEADS)).count()
    }

    /// Index of the leading controller.
    pub(crate) fn leader(&self) -> Option<usize> {
        let metrics = self.metrics();
        metrics.iter().position(|m| has_line(m, LEADS))
    }

    /// Whether the leader knows no store that doesn't vote, and as many voters as there are
    /// controllers.
    pub(crate) fn all_vote(&self) -> bool {
        let all = format!("controller_voters {}", self.voters);
        let metrics = self.metrics();
        let leader = metrics.iter().find(|m| has_line(m, LEADS));
        leader.is_some_and(|m| has_line(m, &all) && has_line(m, "controller_nonvoters 0"))
    }

    /// Metrics of all controllers that tell who leads and who votes, for messages.
    pub(crate) fn describe_voters(&self) -> String {
        let metrics = self.metrics();
        let told = |l: &&str| {
            let names = [
                "controller_leads ",
                "controller_voters ",
                "controller_nonvoters ",
            ];
            names.iter().any(|n| l.starts_with(n))
        };
        let lines = metrics.iter().map(|m| m.lines().filter(told).collect());
        lines.map(|l: Vec<&str>| l.join(", ") + "\n").collect()
    }

    pub(crate) fn is_ready(&self, entry: usize) -> bool {
        let address = self.addr(entry_host(entry), self.ports.readiness);
        let reply = agent().get(format!("http://{address}/v1/readyz")).call();
        reply.is_ok_and(|r| r.status() == 200)
    }

    /// Sends a request to an entry instance; returns status and body. The status is 0 if
    /// sending or reading the body fails.
    pub(crate) fn request(
        &self,
        entry: usize,
        path: &str,
        attempt: &str,
        key: &str,
    ) -> (u16, String) {
        self.request_with_body(entry, path, attempt, key, "text")
    }

    /// Like [`Deployment::request`], with a body.
    pub(crate) fn request_with_body(
        &self,
        entry: usize,
        path: &str,
        attempt: &str,
        key: &str,
        body: &str,
    ) -> (u16, String) {
        send(self.post(entry, path, attempt, key), body)
    }

    /// Like [`Deployment::request`], with a body and the parts of the prompt.
    pub(crate) fn request_with_prompt(
        &self,
        entry: usize,
        path: &str,
        attempt: &str,
        body: &str,
        prompt: &str,
    ) -> (u16, String) {
        let request = self.post(entry, path, attempt, KEY);
        send(request.header("x-prefix-hash", prompt), body)
    }

    /// Like [`Deployment::request`], with `X-Priority-Class` if there is a class.
    pub(crate) fn request_with_class(
        &self,
        entry: usize,
        path: &str,
        attempt: &str,
        key: &str,
        class: Option<&str>,
    ) -> (u16, String) {
        let request = self.post(entry, path, attempt, key);
        match class {
            Some(class) => send(request.header("x-priority-class", class), "text"),
            None => send(request, "text"),
        }
    }

    pub(crate) fn post(
        &self,
        entry: usize,
        path: &str,
        attempt: &str,
        key: &str,
    ) -> ureq::RequestBuilder<WithBody> {
        agent()
            .post(format!("http://{}{path}", self.caller_addr(entry)))
            .header("host", HOST)
            .header("x-attempt-id", attempt)
            .header("x-credential", key)
            .header("x-tenant", "forged")
            .header("x-token-usage", "20,30")
            .header("x-deadline-ms", "20000")
    }
}

/// Sends a request; returns status and body. The status is 0 if sending or reading the body fails.
fn send(request: ureq::RequestBuilder<WithBody>, body: &str) -> (u16, String) {
    let Ok(mut reply) = request.send(body) else {
        return (0, String::new());
    };
    let status = reply.status().as_u16();
    match reply.body_mut().read_to_string() {
        Ok(body) => (status, body),
        Err(_) => (0, String::new()),
    }
}

/// Whether metrics have this line.
fn has_line(metrics: &str, line: &str) -> bool {
    metrics.lines().any(|l| l == line)
}

fn entry_host(entry: usize) -> u16 {
    FIRST_ENTRY_HOST + u16::try_from(entry).expect("few instances")
}

/// Priorities in a configuration.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Priorities {
    /// Of the route with the prefix `/letters/`, to model engines.
    pub(crate) letters: Option<u8>,
    /// Of a further route, with the prefix `/urgent/`, to the same engines.
    pub(crate) urgent: Option<u8>,
    /// Of the organisation with [`KEY`].
    pub(crate) one: Option<u8>,
    /// Of the organisation with [`OTHER_KEY`].
    pub(crate) two: Option<u8>,
}

/// Adds the route with the prefix `/urgent/` to a configuration, and states priorities.
fn prioritise(mut configuration: Value, priorities: &Priorities) -> Value {
    let mut urgent = configuration["routes"][0].clone();
    urgent["name"] = "urgent".into();
    urgent["pathPrefix"] = "/urgent/".into();
    let routes = configuration["routes"].as_array_mut().expect("routes");
    routes.push(urgent);
    let last = routes.len() - 1;
    routes[0]["priority"] = priorities.letters.into();
    routes[last]["priority"] = priorities.urgent.into();
    configuration["tenants"][0]["priority"] = priorities.one.into();
    configuration["tenants"][1]["priority"] = priorities.two.into();
    configuration
}

pub(crate) fn configuration(version: u64, keys: &[&str]) -> Value {
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

/// Maximum time until a change of the configuration is in force everywhere.
pub(crate) const APPLY_TIME: Duration = Duration::from_secs(2);
