//! Stand-ins for the platform, the operator, engines and clients, and the scenarios of the scripts
//! in `review/4` to `review/8`. It uses the standard library only.
//!
//! `rig SCENARIO RECORD` starts three controllers and two entries of the release build with the
//! commands of the deploy file, plays the scenario, writes what was seen to RECORD and ends all
//! processes. It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
//! With `TROUBLE=0` in its environment it leaves out the disruption.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[path = "scenarios.rs"]
mod scenarios;

pub(crate) type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

/// Number of controllers, and of entries.
const CONTROLLERS: u8 = 3;
const ENTRIES: u8 = 2;

/// Time between two heartbeats of an engine: `beatMs`.
const BEAT: Duration = Duration::from_millis(1_200);

/// Time for which a leaving engine serves on, and after which it starts again.
const DRAIN: Duration = Duration::from_millis(2_200);
const DOWNTIME: Duration = Duration::from_millis(500);

/// Port for metrics in the commands of the deploy file.
const METRICS_PORT: u16 = 7_355;

/// Memory that the platform gives a process, in MiB: `memoryMb`.
const CONTROLLER_MEMORY: u64 = 256;
const ENTRY_MEMORY: u64 = 260;

/// Time from the end of a process until the platform starts it again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// A process of the system.
struct Process {
    role: &'static str,
    number: u8,
    child: Child,
}

impl Process {
    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Memory in use that isn't backed by a file, in MiB.
    fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("RssAnon:"));
        let kilobytes = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) >> 10
    }
}

/// Processes that were started and haven't been ended.
static PROCESSES: Mutex<Vec<Process>> = Mutex::new(Vec::new());

/// Set once no process may be started any more.
static ENDING: AtomicBool = AtomicBool::new(false);

fn end_processes() {
    ENDING.store(true, Ordering::Relaxed);
    for mut process in PROCESSES.lock().unwrap().drain(..) {
        process.kill();
    }
}

/// Writes what was sent, answered and run, with the time since the start.
pub(crate) struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub(crate) fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} s  {}", text.as_ref());
    }
}

/// An HTTP message as it was read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Message {
    /// Request line or status line.
    pub(crate) first: String,
    /// Names in lower case.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub(crate) complete: bool,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub(crate) fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|w| w.parse().ok()).unwrap_or(0)
    }

    pub(crate) fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub(crate) fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if !line.ends_with(b"\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let text = String::from_utf8_lossy(&line);
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads the head of a message.
pub(crate) fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message {
        first: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads the body of a message. Without a length or chunks, that of a request is empty and that of
/// an answer ends with its connection.
pub(crate) fn read_body(reader: &mut impl BufRead, message: &mut Message, is_answer: bool) {
    let chunked = message.header("transfer-encoding") == Some("chunked");
    let length = message
        .header("content-length")
        .and_then(|l| l.parse().ok());
    let read = match (chunked, length) {
        (true, _) => read_chunks(reader, &mut message.body),
        (false, Some(length)) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)
        }
        (false, None) if is_answer => reader.read_to_end(&mut message.body).map(drop),
        (false, None) => Ok(()),
    };
    message.complete = read.is_ok();
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?;
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let from = body.len();
        body.resize(from + size, 0);
        reader.read_exact(&mut body[from..])?;
        read_line(reader)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Sends a request on a new connection and reads its answer.
pub(crate) fn call(to: SocketAddrV4, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to.into(), limit.min(Duration::from_secs(1)))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let mut answer = read_head(&mut reader)?;
    read_body(&mut reader, &mut answer, true);
    Ok(answer)
}

/// Sends a call to a controller, and follows two redirects.
fn control(to: SocketAddrV4, method: &str, path: &str, body: &str) -> io::Result<Message> {
    let mut to = to;
    for _ in 0..3 {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        let answer = call(to, request.as_bytes(), Duration::from_secs(1))?;
        let location = answer.header("location").filter(|_| answer.status() == 307);
        let next = location.and_then(|l| l.strip_prefix("http://")?.split('/').next());
        match next.and_then(|n| n.parse().ok()) {
            Some(next) => to = next,
            None => return Ok(answer),
        }
    }
    Err(io::ErrorKind::TimedOut.into())
}

/// What an engine does with a request whose head and body it has read.
pub(crate) type Answer =
    dyn Fn(&EngineSpec, &Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

#[derive(Clone, Debug)]
pub(crate) struct EngineSpec {
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) address: SocketAddrV4,
    /// Set to let the engine leave, and start again under its id.
    pub(crate) restart: Arc<AtomicBool>,
}

/// The whole answer of a sound engine.
pub(crate) fn sound_answer(spec: &EngineSpec, request: &Message) -> String {
    let attempt = request.header("x-attempt-id").unwrap_or("-");
    let body = format!("done by {} for {attempt}\n", spec.id);
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: {}\r\n\
         Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
        spec.id,
        body.len()
    )
}

/// A running deployment on loopback addresses.
pub(crate) struct Deployment {
    pub(crate) record: Arc<Record>,
    subnet: (u8, u8),
    ports: [u16; 4],
    directory: PathBuf,
    ended: Arc<AtomicBool>,
    version: AtomicU64,
    attempts: AtomicU64,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        end_processes();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// A port that is free on loopback.
fn free_port() -> Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

impl Deployment {
    /// Starts controllers and entries.
    pub(crate) fn start(record: Arc<Record>) -> Result<Self> {
        let seed = std::process::id();
        let subnet = (64 + (seed % 64) as u8, (seed / 64 % 250) as u8);
        let deployment = Self {
            record,
            subnet,
            ports: [free_port()?, free_port()?, free_port()?, free_port()?],
            directory: std::env::temp_dir().join(format!("rig-{seed}")),
            ended: Arc::default(),
            version: AtomicU64::new(0),
            attempts: AtomicU64::new(0),
        };
        fs::create_dir_all(&deployment.directory)?;
        for i in 0..CONTROLLERS {
            deployment.start_process("controller", i, true)?;
        }
        for i in 0..ENTRIES {
            deployment.start_process("entry", i, true)?;
        }
        Ok(deployment)
    }

    fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet.0, self.subnet.1, host)
    }

    pub(crate) fn controller(&self, i: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(1 + i), self.ports[0])
    }

    pub(crate) fn entry_ip(&self, i: u8) -> Ipv4Addr {
        self.ip(32 + i)
    }

    /// Address of an entry for clients.
    pub(crate) fn front(&self, i: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.entry_ip(i), self.ports[1])
    }

    fn readiness(&self, i: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.entry_ip(i), self.ports[2])
    }

    fn controllers(&self) -> Vec<SocketAddrV4> {
        (0..CONTROLLERS).map(|i| self.controller(i)).collect()
    }

    /// Starts a process with the command of the deploy file and settings of a small deployment.
    /// `first` tells whether the whole system starts for the first time.
    fn start_process(&self, role: &'static str, i: u8, first: bool) -> Result<()> {
        let is_entry = role == "entry";
        let ip = if is_entry {
            self.entry_ip(i)
        } else {
            self.ip(1 + i)
        };
        let (class, serves) = if is_entry {
            ("edge", "edge")
        } else {
            ("core", "ctrl")
        };
        let seeds: Vec<String> = self
            .controllers()
            .iter()
            .map(|c| format!("\"{c}\""))
            .collect();
        let zone = ["peristeri", "marousi", "pireas"][usize::from(i) % 3];
        let data = self.directory.join(format!("{role}-{i}"));
        let (listen, disk) = if is_entry {
            let (front, readiness) = (self.front(i), self.readiness(i));
            (
                format!("front = \"{front}\"\nreadiness = \"{readiness}\""),
                String::new(),
            )
        } else {
            fs::create_dir_all(&data)?;
            let control = self.controller(i);
            (
                format!("control = \"{control}\""),
                format!("dataDir = {data:?}\n"),
            )
        };
        let text = format!(
            "node = \"{class}-{zone}-{i}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\n\
             serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"attiki\"\n\
             portRange = [{port},{port}]\nseeds = [{}]\nfirstStart = {first}\n\
             failureCounted = {}\n{disk}discovery = \"self_register\"\nentry = \"vip\"\n\
             beatMs = 1200\nconfigMode = \"highest\"\n[listen]\n{listen}\n[limits]\n\
             cpuQuota = 0.25\ncores = 1\nmemoryMb = {memory}\nmaxFds = 4100\ndiskMb = {disk_mb}\n\
             [faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n\
             seedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\n\
             drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n\
             rollbackSlackMs = 250\nskewMaxMs = 5000\nstrictRevoke = true\nrevokeMs = 5000\n\
             retryRatio = 0.2\nretryWindowS = 10\nretrySlack = 202\nrecoveryS = 12\n\
             eventLagMs = 120\nretryAfterS = 0\nstall_ms = 2500\nfencing = true\n",
            seeds.join(","),
            !is_entry,
            memory = if is_entry {
                ENTRY_MEMORY
            } else {
                CONTROLLER_MEMORY
            },
            disk_mb = if is_entry { 0 } else { 128 },
            port = self.ports[3],
        );
        let settings = self.directory.join(format!("{role}-{i}.toml"));
        fs::write(&settings, text)?;
        let log = self.directory.join(format!("{role}-{i}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new("target/release/laburnumquay");
        command.args([role, "--metrics-port", &METRICS_PORT.to_string()]);
        if !is_entry {
            command.args(["--direct-entries", "100"]);
        }
        command.env("LABURNUMQUAY_BOOT", &settings);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        let mut processes = PROCESSES.lock().unwrap();
        if ENDING.load(Ordering::Relaxed) {
            return Err("the case ends".into());
        }
        processes.push(Process {
            role,
            number: i,
            child: command.spawn()?,
        });
        Ok(())
    }

    /// Kills processes that use more memory than their machine has, and starts them again, as the
    /// platform does, until `ended`. Returns how often each controller was killed.
    pub(crate) fn bound_memory(&self, ended: &AtomicBool) -> Result<[usize; CONTROLLERS as usize]> {
        let mut kills = [0; CONTROLLERS as usize];
        let mut due: Vec<(Instant, &'static str, u8)> = Vec::new();
        while !ended.load(Ordering::Relaxed) {
            for process in PROCESSES.lock().unwrap().extract_if(.., |p| {
                let is_controller = p.role == "controller";
                let limit = [ENTRY_MEMORY, CONTROLLER_MEMORY][usize::from(is_controller)];
                let memory = p.memory();
                if memory > limit {
                    p.kill();
                    self.record.line(format!(
                        "platform: {} {} uses {memory} MiB and is killed",
                        p.role, p.number
                    ));
                }
                memory > limit
            }) {
                if process.role == "controller" {
                    kills[usize::from(process.number)] += 1;
                }
                due.push((Instant::now() + RESTART_DELAY, process.role, process.number));
            }
            let now = Instant::now();
            for (_, role, i) in due.extract_if(.., |(at, ..)| *at <= now) {
                self.start_process(role, i, false)?;
            }
            thread::sleep(Duration::from_millis(5));
        }
        Ok(kills)
    }

    /// Memory that the controllers use, in MiB, and the size of their data in MiB.
    pub(crate) fn controller_sizes(&self) -> String {
        let processes = PROCESSES.lock().unwrap();
        let controllers = processes.iter().filter(|p| p.role == "controller");
        let memory: Vec<_> = controllers.map(Process::memory).collect();
        let data = |i| fs::read_dir(self.directory.join(format!("controller-{i}")));
        let size = |i| {
            let files = data(i).into_iter().flatten().flatten();
            let sizes = files.filter_map(|f| Some(f.metadata().ok()?.len()));
            sizes.sum::<u64>() >> 20
        };
        let data: Vec<u64> = (0..CONTROLLERS).map(size).collect();
        format!("controllers use {memory:?} MiB and hold {data:?} MiB of data")
    }

    /// Reads the configuration at a controller. Returns the status and the version.
    pub(crate) fn read_back(&self, i: u8) -> (u16, Option<u64>) {
        let answer = control(self.controller(i), "GET", "/v1/Config.Fetch", "");
        let Ok(answer) = answer else {
            return (0, None);
        };
        let text = String::from_utf8_lossy(&answer.body);
        let version = text.split_once("\"version\":").and_then(|(_, rest)| {
            let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
            digits.parse().ok()
        });
        (answer.status(), version)
    }

    /// Version of the newest configuration that was sent.
    pub(crate) fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// Sends a configuration until it is acknowledged.
    pub(crate) fn configure(&self, routes: &str, services: &[&str], tenants: &str) -> Result<()> {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        let services: Vec<String> = services
            .iter()
            .map(|s| {
                format!(
                    "{{\"name\":\"{s}\",\"healthPath\":\"/healthz\",\"maxConns\":1078,\
                     \"protocol\":\"h1\",\"tls\":false}}"
                )
            })
            .collect();
        let body = format!(
            "{{\"version\":{},\"routes\":[{routes}],\"services\":[{}],\"limits\":{{\
             \"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
             \"idleTimeoutMs\":15000}},\"tenants\":[{tenants}]}}",
            version,
            services.join(",")
        );
        let limit = Instant::now() + Duration::from_secs(20);
        for i in (0..CONTROLLERS).cycle() {
            let answer = control(self.controller(i), "POST", "/v1/Config.Replace", &body);
            let status = answer.map_or(0, |a| a.status());
            if status == 200 {
                self.record
                    .line(format!("operator: version {version} acknowledged"));
                return Ok(());
            }
            if status == 400 || Instant::now() > limit {
                return Err(format!("the configuration got {status}").into());
            }
            thread::sleep(Duration::from_millis(100));
        }
        unreachable!("the list of controllers isn't empty")
    }

    /// Starts an engine that answers each request with `answer`, and announces it.
    pub(crate) fn start_engine(
        &self,
        host: u8,
        service: &str,
        answer: Arc<Answer>,
    ) -> Result<EngineSpec> {
        self.start_engine_behind(host, service, answer, Duration::ZERO)
    }

    /// Like [`Deployment::start_engine`], on a machine whose time of day is `behind` the others'.
    pub(crate) fn start_engine_behind(
        &self,
        host: u8,
        service: &str,
        answer: Arc<Answer>,
        behind: Duration,
    ) -> Result<EngineSpec> {
        let listener = TcpListener::bind((self.ip(host), 0))?;
        let address = SocketAddrV4::new(self.ip(host), listener.local_addr()?.port());
        let spec = EngineSpec {
            id: format!("i-{host:04x}"),
            service: service.to_owned(),
            address,
            restart: Arc::default(),
        };
        let (served, record) = (spec.clone(), Arc::clone(&self.record));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (spec, record) = (served.clone(), Arc::clone(&record));
                let answer = Arc::clone(&answer);
                thread::spawn(move || serve(&spec, stream, &record, &*answer));
            }
        });
        let beats = Beats {
            spec: spec.clone(),
            controllers: self.controllers(),
            record: Arc::clone(&self.record),
            behind: behind.as_millis(),
        };
        let ended = Arc::clone(&self.ended);
        thread::spawn(move || beats.run(&ended));
        Ok(spec)
    }

    /// Waits until all entries are ready, and a GET on each path succeeds at each entry.
    pub(crate) fn wait_until_serving(&self, host: &str, paths: &[&str], key: &str) -> Result<()> {
        let limit = Instant::now() + Duration::from_secs(30);
        for i in 0..ENTRIES {
            for path in paths {
                loop {
                    let ready = call(
                        self.readiness(i),
                        b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
                        Duration::from_secs(1),
                    );
                    let served = ready.is_ok_and(|a| a.status() == 200)
                        && self
                            .request(i, "GET", host, path, key, Duration::from_millis(2_500))
                            .is_ok_and(|a| a.1.status() == 200);
                    if served {
                        break;
                    }
                    if Instant::now() > limit {
                        return Err(format!("entry {i} doesn't serve {path}").into());
                    }
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
        self.record.line("all entries serve");
        Ok(())
    }

    /// Sends a request without a body to an entry. Returns its id and the answer.
    pub(crate) fn request(
        &self,
        entry: u8,
        method: &str,
        host: &str,
        path: &str,
        key: &str,
        deadline: Duration,
    ) -> io::Result<(String, Message)> {
        let attempt = self.next_attempt();
        let request = request_text(&attempt, method, host, path, key, deadline);
        let answer = call(self.front(entry), request.as_bytes(), deadline)?;
        Ok((attempt, answer))
    }

    pub(crate) fn next_attempt(&self) -> String {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        format!("{:08x}{number:08x}", std::process::id())
    }
}

/// The text of a client's request without a body.
pub(crate) fn request_text(
    attempt: &str,
    method: &str,
    host: &str,
    path: &str,
    key: &str,
    deadline: Duration,
) -> String {
    let length = if method == "POST" {
        "Content-Length: 0\r\n"
    } else {
        ""
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: {}\r\nX-Credential: {key}\r\nConnection: close\r\n{length}\r\n",
        deadline.as_millis()
    )
}

/// Serves a connection of an engine: one request at a time.
fn serve(spec: &EngineSpec, stream: TcpStream, record: &Record, answer: &Answer) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(mut request) = read_head(&mut reader) {
        read_body(&mut reader, &mut request, false);
        if !request.complete {
            return;
        }
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|id| id != spec.id) {
            let text = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if request.path() == "/healthz" || request.path().starts_with("/v1/") {
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Type: application/json\r\n\
                 Content-Length: 2\r\n\r\n{{}}",
                spec.id
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let attempt = request.header("x-attempt-id").unwrap_or("-");
        record.line(format!(
            "engine {} runs {attempt}: {}",
            spec.id, request.first
        ));
        if answer(spec, &request, &mut writer).is_err() {
            return;
        }
    }
}

fn unix_millis() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis())
}

fn beat_body(service: &str, address: SocketAddrV4, sequence: u64, born: u128) -> String {
    format!(
        "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"peristeri\",\
         \"version\":\"v1\",\"slots\":192,\"state\":\"ready\",\"coldLeftMs\":0,\
         \"seq\":{sequence},\"born\":{born}}}"
    )
}

/// Announces an engine.
struct Beats {
    spec: EngineSpec,
    controllers: Vec<SocketAddrV4>,
    record: Arc<Record>,
    /// By how much the time of day of its machine is behind that of the others, in ms.
    behind: u128,
}

impl Beats {
    fn run(&self, ended: &AtomicBool) {
        let (mut sequence, mut born) = (0, unix_millis() - self.behind);
        while !ended.load(Ordering::Relaxed) {
            sequence += 1;
            self.send_beat("ready", sequence, born);
            let until = Instant::now() + BEAT;
            while Instant::now() < until && !self.spec.restart.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
            }
            if self.spec.restart.swap(false, Ordering::Relaxed) {
                self.send_beat("draining", sequence + 1, born);
                thread::sleep(DRAIN);
                self.send("/v1/Instances.Deregister", "");
                thread::sleep(DOWNTIME);
                (sequence, born) = (0, unix_millis() - self.behind);
                let id = &self.spec.id;
                self.record.line(format!(
                    "engine {id} starts again under its id, born {born}"
                ));
            }
        }
    }

    fn send_beat(&self, state: &str, sequence: u64, born: u128) {
        let EngineSpec {
            service, address, ..
        } = &self.spec;
        let body = beat_body(service, *address, sequence, born).replace("ready", state);
        self.send("/v1/Instances.Heartbeat", &body);
    }

    /// Sends a call to the controllers in turn until one acknowledges it.
    fn send(&self, path: &str, body: &str) {
        let path = format!("{path}/{}", self.spec.id);
        for controller in self.controllers.iter().cycle().take(20) {
            let answer = control(*controller, "POST", &path, body);
            if answer.is_ok_and(|a| a.status() == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

/// Result of a scenario.
pub(crate) enum Verdict {
    Held,
    Broken(String),
}

fn play(scenario: &str, record: &Arc<Record>, trouble: bool) -> Result<Verdict> {
    let deployment = Deployment::start(Arc::clone(record))?;
    let known: HashMap<&str, scenarios::Scenario> = scenarios::ALL.into_iter().collect();
    let scenario = known.get(scenario).ok_or("no such scenario")?;
    scenario(&deployment, trouble)
}

/// Time after which a case is given up, so that it ends within 120 seconds.
const LIMIT: Duration = Duration::from_secs(100);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, record] = &arguments[..] else {
        eprintln!("usage: rig SCENARIO RECORD");
        std::process::exit(2);
    };
    let file = match File::create(record) {
        Ok(file) => Mutex::new(file),
        Err(e) => {
            eprintln!("{record}: {e}");
            std::process::exit(2);
        }
    };
    let record = Arc::new(Record {
        file,
        began: Instant::now(),
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    record.line(format!("scenario {scenario}, disruption: {trouble}"));
    let (sender, verdict) = mpsc::channel();
    let (played, noted) = (scenario.clone(), Arc::clone(&record));
    let player = thread::spawn(move || {
        let _ = sender.send(play(&played, &noted, trouble));
    });
    let verdict = verdict.recv_timeout(LIMIT);
    let verdict = verdict.unwrap_or_else(|_| Err("it took too long".into()));
    end_processes();
    drop(player);
    let code = match verdict {
        Ok(Verdict::Held) => {
            record.line("the rule held");
            0
        }
        Ok(Verdict::Broken(what)) => {
            record.line(format!("the rule was broken: {what}"));
            1
        }
        Err(e) => {
            record.line(format!("the case couldn't run: {e}"));
            2
        }
    };
    std::process::exit(code);
}
