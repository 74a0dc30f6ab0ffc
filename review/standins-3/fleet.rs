//! The platform's part: starts the project's programs with the commands of the deploy file, watches
//! their memory, restarts them, and ends them by their ids. Also the operator.

use std::fs;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// First port of `portRange`, and the other ports, the same on all machines.
const PEERS: u16 = 7340;
const METRICS: u16 = 7355;
const FRONT: u16 = 8227;
const READINESS: u16 = 8220;
const CONTROL: u16 = 8229;

/// Model layers; each engine holds all of them.
pub const LAYERS: u32 = 8;

/// Number of the next request that waits for service.
static NEXT_WARM_UP: AtomicU32 = AtomicU32::new(0);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Controller,
    Entry,
}

/// Size of a deployment, and its bounds, as a sheet gives them.
#[derive(Clone, Copy, Debug)]
pub struct Sheet {
    pub controllers: u8,
    pub entries: u8,
    pub entry_memory: u64,
    pub entry_descriptors: u32,
    /// Ports by which entries reach other machines, if a proxy stands between.
    pub entry_peers: u16,
    pub contact: Duration,
    pub ack: Duration,
}

impl Sheet {
    /// `kouv-lbq` with fewer entries.
    pub fn small(entries: u8) -> Self {
        Self {
            controllers: 5,
            entries,
            entry_memory: 260,
            entry_descriptors: 4_100,
            entry_peers: PEERS,
            contact: Duration::from_secs(3),
            ack: Duration::from_secs(4),
        }
    }
}

pub struct Machine {
    pub role: Role,
    pub index: u8,
    pub child: Child,
}

/// Ends the processes if this one ends before it has done so itself.
struct Guard(Child);

impl Guard {
    fn start() -> std::io::Result<Self> {
        let script = "while read -r id; do all=\"$all $id\"; [ \"$id\" = end ] && exit; done
                      kill -9 $all";
        let mut command = Command::new("sh");
        command
            .args(["-c", script])
            .stdin(Stdio::piped())
            .stderr(Stdio::null())
            // A signal to the group of this process shall not end it.
            .process_group(0);
        command.spawn().map(Self)
    }

    fn tell(&mut self, line: &str) {
        if let Some(pipe) = &mut self.0.stdin {
            let _ = writeln!(pipe, "{line}");
        }
    }
}

pub struct Fleet {
    guard: Guard,
    pub sheet: Sheet,
    subnet: u8,
    pub folder: PathBuf,
    pub machines: Vec<Machine>,
    pub version: u64,
}

/// A part of the loopback range that nobody uses.
fn free_subnet() -> Option<u8> {
    let start = std::process::id() as u8;
    (0..200).find_map(|i| {
        let subnet = 20 + (start.wrapping_add(i) % 200);
        let free = |ip: [u8; 4], port| TcpListener::bind((Ipv4Addr::from(ip), port)).is_ok();
        let all = free([127, subnet, 1, 1], CONTROL) && free([127, subnet, 2, 1], FRONT);
        all.then_some(subnet)
    })
}

impl Fleet {
    pub fn new(sheet: Sheet) -> Option<Self> {
        let subnet = free_subnet()?;
        let name = format!("lq-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).ok()?;
        Some(Self {
            guard: Guard::start().ok()?,
            sheet,
            subnet,
            folder,
            machines: Vec::new(),
            version: 0,
        })
    }

    pub fn controller_ip(&self, i: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet, 1, 1 + i)
    }

    pub fn entry_ip(&self, i: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet, 2, 1 + i)
    }

    pub fn engine_address(&self, i: u8) -> SocketAddr {
        SocketAddrV4::new(Ipv4Addr::new(127, self.subnet, 3, 1 + i), 8080).into()
    }

    pub fn front(&self, i: u8) -> SocketAddr {
        SocketAddrV4::new(self.entry_ip(i), FRONT).into()
    }

    fn readiness(&self, i: u8) -> SocketAddr {
        SocketAddrV4::new(self.entry_ip(i), READINESS).into()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        let control = |i| SocketAddrV4::new(self.controller_ip(i), CONTROL).into();
        (0..self.sheet.controllers).map(control).collect()
    }

    /// Address at which controllers listen for other machines.
    pub fn peer_address(&self, i: u8) -> SocketAddr {
        SocketAddrV4::new(self.controller_ip(i), PEERS).into()
    }

    /// Starts all machines at once.
    pub fn start(&mut self) {
        for i in 0..self.sheet.controllers {
            self.start_machine(Role::Controller, i, true);
        }
        for i in 0..self.sheet.entries {
            self.start_machine(Role::Entry, i, true);
        }
    }

    pub fn start_machine(&mut self, role: Role, index: u8, first: bool) {
        let child = self.spawn(role, index, first);
        self.guard.tell(&child.id().to_string());
        self.machines.push(Machine { role, index, child });
    }

    /// Starts a process with the command of the deploy file. Its descriptors are limited as its
    /// settings say.
    fn spawn(&self, role: Role, i: u8, first: bool) -> Child {
        let (name, arguments, descriptors): (_, &[&str], _) = match role {
            Role::Controller => (
                "controller",
                &["--metrics-port", "7355", "--direct-entries", "100"],
                4_096,
            ),
            Role::Entry => (
                "entry",
                &["--metrics-port", "7355"],
                self.sheet.entry_descriptors,
            ),
        };
        let file = self.folder.join(format!("{name}-{i}.toml"));
        fs::write(&file, self.settings(role, i, first, descriptors)).expect("settings");
        let log = self.folder.join(format!("{name}-{i}.log"));
        let log = fs::OpenOptions::new().create(true).append(true).open(log);
        let log = log.expect("a log");
        let mut command = Command::new("sh");
        command
            .arg("-c")
            .arg(format!("ulimit -n {descriptors}; exec \"$@\""))
            .args(["sh", "target/release/laburnumquay", name])
            .args(arguments)
            .env("LABURNUMQUAY_BOOT", &file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log"))
            .stdout(log);
        command.spawn().expect("a process")
    }

    fn settings(&self, role: Role, i: u8, first: bool, descriptors: u32) -> String {
        let zones = ["peristeri", "marousi", "pireas"];
        let zone = zones[usize::from(i) % zones.len()];
        let seeds: Vec<String> = self.controls()[..3]
            .iter()
            .map(|s| format!("\"{s}\""))
            .collect();
        let (contact, ack) = (self.sheet.contact.as_millis(), self.sheet.ack.as_millis());
        let (ip, class, serves, peers, memory) = match role {
            Role::Controller => (self.controller_ip(i), "core", "ctrl", PEERS, 256),
            Role::Entry => (
                self.entry_ip(i),
                "edge",
                "edge",
                self.sheet.entry_peers,
                self.sheet.entry_memory,
            ),
        };
        let listen = match role {
            Role::Controller => format!("control = \"{ip}:{CONTROL}\""),
            Role::Entry => format!("front = \"{ip}:{FRONT}\"\nreadiness = \"{ip}:{READINESS}\""),
        };
        let disk = match role {
            Role::Controller => {
                let data = self.folder.join(format!("data-{i}"));
                fs::create_dir_all(&data).expect("a data folder");
                format!("dataDir = {data:?}\n")
            }
            Role::Entry => String::new(),
        };
        format!(
            "node = \"{class}-{zone}-{i}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\n\
             serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"attiki\"\n\
             portRange = [{peers},{METRICS}]\nseeds = [{}]\nfirstStart = {first}\n\
             failureCounted = {}\ndiscovery = \"self_register\"\nentry = \"vip\"\nbeatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
             \"stream\",\"tenants\",\"layers\"]\nconfigMode = \"highest\"\n{disk}[listen]\n{listen}\n\
             [limits]\ncpuQuota = 0.25\ncores = 1\nmemoryMb = {memory}\nmaxFds = {descriptors}\n\
             [faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n[bounds]\nseedLagS = 3\n\
             reuseAfterS = 2\ncontactMs = {contact}\nackMs = {ack}\ncatchUpS = 4\ndrainMs = 2000\n\
             graceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n\
             skewMaxMs = 5000\nstrictRevoke = true\nrevokeMs = 5000\nretryRatio = 0.2\n\
             retryWindowS = 10\nretrySlack = 202\nrecoveryS = 12\neventLagMs = 120\nretryAfterS = 0\n\
             stall_ms = 2500\nfencing = true\n",
            seeds.join(","),
            role == Role::Controller,
        )
    }

    /// The configuration of a version. Versions differ in the time limit of a route that gets no
    /// requests.
    pub fn configuration(&self, version: u64) -> String {
        let route = |name: &str, kind: &str, service: &str, more: &str| {
            format!(
                "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\
                 \"type\":\"{kind}\",\"priority\":1,\"service\":\"{service}\",\"attempts\":2,\
                 \"public\":false,{more}}}"
            )
        };
        let stream = "\"timeoutMs\":20000,\"sloMs\":500,\"sticky\":true,\"resumable\":true,\
                      \"gapSloMs\":200";
        let plain = "\"timeoutMs\":2500,\"sloMs\":150";
        let idle = format!("\"timeoutMs\":{},\"sloMs\":150", 1_000 + version);
        let routes = [
            route("quotes", "streaming", "lbq-models", stream),
            route("visits", "non_idempotent", "orderdesk", plain),
            route("orders", "idempotent", "orderdesk", plain),
            route("idle", "idempotent", "orderdesk", &idle),
        ];
        format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"lbq-models\",\
             \"healthPath\":\"/healthz\",\"maxConns\":1078,\"protocol\":\"h1\",\"tls\":false,\
             \"backend\":{{\"slots\":192,\"kvCapacity\":100000,\"kvTokenBytes\":800,\
             \"linkMbps\":480000.0,\"stride\":2,\"models\":[{{\"name\":\"daka510000\",\"pace\":1.0,\
             \"loadS\":1.0,\"warmupS\":0.1}}],\"step_ms\":0.85,\"per_seq_ms\":0.004,\
             \"context_per_k\":0.005,\"read_per_s\":196000.0,\"pairs_per_m\":0.166,\"chunk\":512,\
             \"report_lag_ms\":200.0,\"loadsPerS\":0.0,\"loads_at_once\":6,\
             \"usual\":{{\"prompt\":772,\"answer\":174}},\"layers\":{LAYERS},\"layerMb\":100.0,\
             \"activationBytes\":29500,\"pipeMbps\":11000.0,\"types\":[{{\"name\":\"h100\",\
             \"sizeMb\":72000.0,\"pace\":1.4,\"readFactor\":1.0}}]}}}},{{\"name\":\"orderdesk\",\
             \"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
             \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\
             \"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
            routes.join(",")
        )
    }

    /// Sends the next configuration until it is acknowledged, as the pages tell the operator to do.
    /// Returns the time to the acknowledgement; `None` if there was none within `limit`.
    pub fn replace(&mut self, limit: Duration) -> Option<Duration> {
        self.version += 1;
        let body = self.configuration(self.version);
        let began = Instant::now();
        let mut pause = Duration::from_millis(50);
        for at in (0..usize::from(self.sheet.controllers)).cycle() {
            if began.elapsed() >= limit {
                return None;
            }
            let to = self.controls()[at];
            let answer = call(to, "POST", "/v1/Config.Replace", body.as_bytes());
            if answer.status == 200 && began.elapsed() < limit {
                return Some(began.elapsed());
            }
            thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_millis(400));
        }
        None
    }

    /// Whether an entry says that it is ready.
    pub fn is_ready(&self, i: u8) -> bool {
        let request = http::request("GET", "/v1/readyz", &[("Host", HOST)], b"");
        let answer = http::exchange(self.readiness(i), &request, Duration::from_secs(1));
        answer.status == 200
    }

    /// A request of a client to an entry.
    pub fn request(&self, entry: u8, path: &str, attempt: &str, deadline: u64) -> Answer {
        let deadline_text = deadline.to_string();
        let headers = [
            ("Host", HOST),
            ("X-Attempt-Id", attempt),
            ("X-Credential", KEY),
            ("X-Deadline-Ms", deadline_text.as_str()),
            ("X-Model", "daka510000"),
            ("X-Token-Usage", "772,174"),
        ];
        let request = http::request("POST", path, &headers, attempt.as_bytes());
        let limit = Duration::from_millis(deadline);
        http::exchange(self.front(entry), &request, limit)
    }

    /// Waits until every entry serves both services.
    pub fn await_service(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        thread::scope(|scope| {
            let entries = 0..self.sheet.entries;
            let waits = entries.map(|entry| scope.spawn(move || self.await_entry(entry, end)));
            let waits: Vec<_> = waits.collect();
            waits.into_iter().all(|w| w.join().unwrap_or(false))
        })
    }

    fn await_entry(&self, entry: u8, end: Instant) -> bool {
        let served = |path: &str| {
            let n = NEXT_WARM_UP.fetch_add(1, Ordering::Relaxed);
            let attempt = format!("warm-{entry}-{n}");
            self.request(entry, path, &attempt, 2_500).status == 200
        };
        loop {
            if served("/quotes/warm") && served("/orders/warm") {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn machine(&mut self, role: Role, index: u8) -> &mut Machine {
        let mut all = self.machines.iter_mut();
        let found = all.find(|m| m.role == role && m.index == index);
        found.expect("a machine")
    }

    pub fn id(&mut self, role: Role, index: u8) -> u32 {
        self.machine(role, index).child.id()
    }

    /// Kills a process, as the platform does with one that uses more memory than it may, and starts
    /// it again after a short delay.
    pub fn kill_and_restart(&mut self, role: Role, index: u8) {
        let machine = self.machine(role, index);
        let _ = machine.child.kill();
        let _ = machine.child.wait();
        thread::sleep(Duration::from_millis(300));
        let child = self.spawn(role, index, false);
        self.guard.tell(&child.id().to_string());
        self.machine(role, index).child = child;
    }

    /// Sends SIGTERM to a process.
    pub fn terminate(&mut self, role: Role, index: u8) {
        let id = self.id(role, index).to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
    }

    /// Whether all processes run.
    pub fn all_run(&mut self) -> bool {
        let mut all = self.machines.iter_mut();
        all.all(|m| matches!(m.child.try_wait(), Ok(None)))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            let _ = machine.child.kill();
        }
        for machine in &mut self.machines {
            let _ = machine.child.wait();
        }
        self.guard.tell("end");
        let _ = self.guard.0.wait();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Calls a controller, and follows two redirects.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &[u8]) -> Answer {
    let headers = [("Host", "control"), ("Content-Type", "application/json")];
    let request = http::request(method, path, &headers, body);
    let mut to = to;
    for _ in 0..2 {
        let answer = http::exchange(to, &request, Duration::from_secs(1));
        if answer.status != 307 {
            return answer;
        }
        let next = answer.head.get("location").and_then(|l| {
            let rest = l.strip_prefix("http://")?;
            rest.split('/').next()?.parse().ok()
        });
        let Some(next) = next else { return answer };
        to = next;
    }
    http::exchange(to, &request, Duration::from_secs(1))
}

/// Resident memory of a process, in MB.
pub fn resident_mb(id: u32) -> f64 {
    field_kb(id, "VmRSS:") / 1024.0
}

fn field_kb(id: u32, name: &str) -> f64 {
    let path = Path::new("/proc").join(id.to_string()).join("status");
    let text = fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with(name));
    let value = line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok());
    value.unwrap_or(0.0)
}

/// Number of descriptors that a process has open.
pub fn descriptors(id: u32) -> usize {
    let path = Path::new("/proc").join(id.to_string()).join("fd");
    fs::read_dir(path).map_or(0, Iterator::count)
}
