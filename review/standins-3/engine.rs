//! Engines: they announce themselves, take orders, report, and answer requests; soundly, unless the
//! trouble of a case says otherwise.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::fleet::call;
use crate::http::{Head, head_end};

/// Interval of heartbeats.
const BEAT: Duration = Duration::from_millis(1_200);

/// Events of a sound stream, and the pause between two of them.
const EVENTS: u64 = 10;
const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// Work of a plain request.
const WORK: Duration = Duration::from_millis(30);

/// What engines have run: the engines' ids, by attempt and by what the body says.
#[derive(Default)]
pub struct Runs {
    pub by_attempt: HashMap<String, Vec<String>>,
    pub by_body: HashMap<String, Vec<String>>,
}

/// A request that an engine runs.
pub struct Run<'a> {
    pub engine: &'a Engine,
    pub attempt: &'a str,
    pub head: &'a Head,
}

/// Answers a request in place of the sound answer, if it returns true.
pub type Trouble = Arc<dyn Fn(&Run<'_>, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

pub struct Engine {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    born: u128,
    layers: Mutex<Option<(u32, u32)>>,
    pub runs: Arc<Mutex<Runs>>,
    trouble: Trouble,
    stop: AtomicBool,
}

pub fn sound() -> Trouble {
    Arc::new(|_, _| Ok(false))
}

impl Engine {
    /// Starts an engine that announces itself to the controllers.
    pub fn start(
        i: u8,
        service: &'static str,
        address: SocketAddr,
        controls: Vec<SocketAddr>,
        runs: Arc<Mutex<Runs>>,
        trouble: Trouble,
    ) -> io::Result<Arc<Self>> {
        let zones = ["peristeri", "marousi", "pireas"];
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Arc::new(Self {
            id: format!("i-{:08x}", 0x7f3a_9100_u32 + u32::from(i)),
            service,
            zone: zones[usize::from(i) % zones.len()],
            address,
            born: now.unwrap_or_default().as_millis(),
            layers: Mutex::default(),
            runs,
            trouble,
            stop: AtomicBool::new(false),
        });
        let listener = TcpListener::bind(address)?;
        let accepting = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&accepting);
                let serve = thread::Builder::new().stack_size(256 << 10);
                let _ = serve.spawn(move || engine.serve(stream));
            }
        });
        let beating = Arc::clone(&engine);
        thread::spawn(move || beating.announce(&controls));
        Ok(engine)
    }

    fn announce(&self, controls: &[SocketAddr]) {
        let mut at = usize::from(self.address.port()) % controls.len();
        let mut preferred = None;
        for sequence in 1.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let body = self.heartbeat(sequence);
            let path = format!("/v1/Instances.Heartbeat/{}", self.id);
            for _ in 0..controls.len() {
                let to = preferred.unwrap_or(controls[at]);
                let answer = call(to, "POST", &path, body.as_bytes());
                if (200..300).contains(&answer.status) {
                    let text = answer.text();
                    let named = text.split('"').nth(3).and_then(|a| a.parse().ok());
                    preferred = named;
                    break;
                }
                preferred = None;
                at = (at + 1) % controls.len();
            }
            thread::sleep(BEAT);
        }
    }

    fn heartbeat(&self, sequence: u64) -> String {
        let (id, zone, address) = (self.service, self.zone, self.address);
        let mut text = format!(
            "{{\"service\":\"{id}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"coldLeftMs\":0,\"born\":{},\"seq\":{sequence}",
            if self.has_model() { 192 } else { 6 },
            self.born
        );
        if self.has_model() {
            text += ",\"phase\":\"mixed\",\"type\":\"h100\",\"models\":[{\"name\":\"daka510000\",\
                     \"version\":1,\"adapters\":[]}]";
            text += &self.layers_field();
        }
        text + "}"
    }

    fn layers_field(&self) -> String {
        match *self.layers.lock().unwrap() {
            Some((from, to)) => {
                format!(",\"layers\":{{\"from\":{from},\"to\":{to},\"version\":1}}")
            }
            None => String::new(),
        }
    }

    fn has_model(&self) -> bool {
        self.service == "lbq-models"
    }

    /// Answers the requests of one connection, one at a time.
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut bytes = Vec::new();
        while let Ok(Some((head, body))) = read_request(&mut stream, &mut bytes) {
            if self.answer(&mut stream, &head, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, head: &Head, body: &[u8]) -> io::Result<()> {
        let mut words = head.line.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        match (method, path) {
            ("GET", "/healthz") => {
                let head = format!("X-Instance-Id: {}\r\n", self.id);
                return respond(stream, "200 OK", &head, b"");
            }
            ("GET", "/v1/report") => {
                let text = format!(
                    "{{\"phase\":\"mixed\",\"models\":[],\"busy\":false,\"seq\":1,\"queued\":0,\
                     \"active\":0,\"kvUsed\":0,\"kvTotal\":90000,\"conns\":0,\"pace\":1.0,\
                     \"stalled\":[]{}}}",
                    self.layers_field()
                );
                return respond(stream, "200 OK", "", text.as_bytes());
            }
            ("POST", "/v1/order") => {
                let text = String::from_utf8_lossy(body);
                let number = |name: &str| -> Option<u32> {
                    let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
                    rest.split([',', '}']).next()?.trim().parse().ok()
                };
                if let (Some(from), Some(to)) = (number("from"), number("to")) {
                    *self.layers.lock().unwrap() = Some((from, to));
                }
                return respond(stream, "202 Accepted", "", b"{}");
            }
            _ => {}
        }
        if head
            .get("x-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return respond(
                stream,
                "421 Misdirected Request",
                "X-Not-Executed: 1\r\n",
                b"",
            );
        }
        let attempt = head.get("x-attempt-id").unwrap_or("-").to_owned();
        self.record_run(&attempt, body);
        let run = Run {
            engine: self,
            attempt: &attempt,
            head,
        };
        if (self.trouble)(&run, stream)? {
            return Ok(());
        }
        match self.has_model() {
            true => self.stream(stream, &run, ""),
            false => {
                thread::sleep(WORK);
                let text = format!("done by {}", self.id);
                respond(stream, "200 OK", &self.signed(&attempt), text.as_bytes())
            }
        }
    }

    fn record_run(&self, attempt: &str, body: &[u8]) {
        let mut runs = self.runs.lock().unwrap();
        let id = self.id.clone();
        runs.by_attempt
            .entry(attempt.to_owned())
            .or_default()
            .push(id.clone());
        let body = String::from_utf8_lossy(body).into_owned();
        runs.by_body.entry(body).or_default().push(id);
    }

    /// Headers of an answer to a request.
    pub fn signed(&self, attempt: &str) -> String {
        let signature = &self.id;
        format!("X-Attempt-Id: {attempt}\r\nX-Server-Signature: {signature}\r\n")
    }

    /// Sends a sound stream, from behind the last event that the caller has. `more` is added to its
    /// head.
    pub fn stream(&self, stream: &mut TcpStream, run: &Run<'_>, more: &str) -> io::Result<()> {
        self.begin_stream(stream, run.attempt, more)?;
        let last = run.head.number("last-event-id").unwrap_or(0);
        for id in last + 1..=EVENTS {
            send_event(stream, id)?;
            thread::sleep(EVENT_PAUSE);
        }
        stream.write_all(b"0\r\n\r\n")
    }

    pub fn begin_stream(
        &self,
        stream: &mut TcpStream,
        attempt: &str,
        more: &str,
    ) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             {}{more}\r\n",
            self.signed(attempt)
        );
        stream.write_all(head.as_bytes())
    }
}

/// Sends one event as a chunk.
pub fn send_event(stream: &mut TcpStream, id: u64) -> io::Result<()> {
    let event = format!("id: {id}\ndata: tok\n\n");
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
}

/// Sends an answer with a length.
pub fn respond(stream: &mut TcpStream, status: &str, head: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{head}Content-Length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Reads a request with a length; `None` at the end of the connection.
fn read_request(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> io::Result<Option<(Head, Vec<u8>)>> {
    let mut buffer = [0; 8 << 10];
    loop {
        if let Some(at) = head_end(bytes) {
            let head = Head::parse(&bytes[..at - 4]);
            let length = head.number("content-length").unwrap_or(0) as usize;
            if bytes.len() >= at + length {
                let body = bytes[at..at + length].to_vec();
                bytes.drain(..at + length);
                return Ok(Some((head, body)));
            }
        }
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&buffer[..read]);
    }
}
