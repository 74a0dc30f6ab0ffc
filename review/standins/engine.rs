//! Stand-in for an engine of a plain service, as our pages describe one: it sends heartbeats to the
//! control addresses, answers requests over HTTP/1.1, and writes one line for each request that it
//! runs. It uses the standard library alone.
//!
//! Arguments, as NAME=VALUE: `listen`, `id`, `service`, `zone`, `controls` (separated by commas),
//! `log` (file), `work_ms` (duration of a run), `lost` (file: while it exists, its one line is
//! the address from which nothing reaches the engine, which closes connections from there unread), `stream`
//! (how streams under `/stream/` end: `whole`, or `crash`: it crashes within the sixth event of a new stream,
//! and before the first event of a resumed one).
//!
//! A stream has twelve events, 40 ms apart, and neither a length nor chunks: it ends with its connection.

use std::collections::HashMap;
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Number of events of a stream.
const EVENTS: u32 = 12;

const BEAT: Duration = Duration::from_millis(1200);

struct Engine {
    listen: String,
    id: String,
    service: String,
    zone: String,
    controls: Vec<String>,
    log: String,
    work: Duration,
    lost: String,
    stream: String,
    born: u128,
}

fn millis() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis())
}

impl Engine {
    fn record(&self, line: &str) {
        let file = OpenOptions::new().create(true).append(true).open(&self.log);
        if let Ok(mut file) = file {
            let _ = file.write_all(format!("{} {} {line}\n", millis(), self.id).as_bytes());
        }
    }

    /// Sends a call, and follows a redirect twice. Returns the status and the body.
    fn call(&self, address: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let mut address = address.to_owned();
        for _ in 0..3 {
            let (status, head, text) = post(&address, path, body)?;
            if status != 307 {
                return Some((status, text));
            }
            let location = head.get("location")?.strip_prefix("http://")?.to_owned();
            address = location.split('/').next()?.to_owned();
        }
        None
    }

    fn beat(&self) {
        let path = format!("/v1/Instances.Heartbeat/{}", self.id);
        let mut at = 0;
        let mut own: Option<String> = None;
        for seq in 1.. {
            let began = Instant::now();
            let body = format!(
                "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":{}}}",
                self.service, self.listen, self.zone, self.born
            );
            for _ in 0..=self.controls.len() {
                let target = own.clone();
                let target = target.unwrap_or_else(|| self.controls[at % self.controls.len()].clone());
                match self.call(&target, &path, &body) {
                    Some((status, text)) if (200..300).contains(&status) => {
                        let named = text.split("\"beatAddr\":\"").nth(1);
                        own = named.and_then(|t| t.split('"').next()).map(str::to_owned);
                        break;
                    }
                    _ => {
                        own = None;
                        at += 1;
                    }
                }
            }
            thread::sleep(BEAT.saturating_sub(began.elapsed()));
        }
    }

    /// Sends a stream after its event `last`, up to its end or a crash.
    fn send_events(
        &self,
        stream: &mut TcpStream,
        attempt: &str,
        signature: &str,
        last: u32,
    ) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n{signature}\
             Content-Type: text/event-stream\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for id in last + 1..=EVENTS {
            thread::sleep(Duration::from_millis(40));
            let event = format!("id: {id}\ndata: token {id}\n\n");
            let crashes = self.stream == "crash";
            if crashes && last > 0 {
                self.record(&format!("crashes attempt={attempt} before the first event"));
                std::process::abort();
            }
            if crashes && id == 6 {
                stream.write_all(&event.as_bytes()[..7])?;
                thread::sleep(Duration::from_millis(40));
                self.record(&format!("crashes attempt={attempt} within event {id}"));
                std::process::abort();
            }
            stream.write_all(event.as_bytes())?;
            self.record(&format!("sends attempt={attempt} event={id}"));
        }
        self.record(&format!("ends attempt={attempt}, whole"));
        Ok(())
    }

    fn serve(&self, mut stream: TcpStream) {
        let source = stream.peer_addr().map(|a| a.ip().to_string());
        let lost = std::fs::read_to_string(&self.lost).unwrap_or_default();
        if source.is_ok_and(|s| s == lost.trim()) {
            return;
        }
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some((line, head, _body)) = read_message(&mut reader) {
            let attempt = head.get("x-attempt-id").cloned().unwrap_or_default();
            let expected = head.get("x-expect-instance");
            let answer = |status: &str, extra: &str, body: &str| {
                format!(
                    "HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
                    body.len()
                )
            };
            if expected.is_some_and(|e| *e != self.id) {
                let text = answer("421 Misdirected Request", "X-Not-Executed: 1\r\n", "");
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let tenant = head.get("x-tenant").map_or("(none)", String::as_str);
            self.record(&format!("runs attempt={attempt} tenant={tenant} request={line}"));
            thread::sleep(self.work);
            let signature = format!("X-Server-Signature: {}.{attempt}\r\n", self.id);
            if line.contains(" /stream/") {
                let last = head.get("last-event-id").and_then(|l| l.parse().ok());
                let _ = self.send_events(&mut stream, &attempt, &signature, last.unwrap_or(0));
                return;
            }
            let body = format!("{{\"engine\":\"{}\",\"attempt\":\"{attempt}\"}}", self.id);
            if stream.write_all(answer("200 OK", &signature, &body).as_bytes()).is_err() {
                return;
            }
            self.record(&format!("answers attempt={attempt}"));
        }
    }
}

type Head = HashMap<String, String>;

/// Reads a request or a response: its first line, its head with names in lower case, its body.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, Head, Vec<u8>)> {
    let mut first = Vec::new();
    reader.read_until(b'\n', &mut first).ok().filter(|n| *n > 0)?;
    let mut head = Head::new();
    loop {
        let mut line = Vec::new();
        reader.read_until(b'\n', &mut line).ok().filter(|n| *n > 0)?;
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        head.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|t| t.contains("chunked")) {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = head.get("content-length") {
        body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
    }
    let first = String::from_utf8_lossy(&first).trim_end().to_owned();
    Some((first, head, body))
}

fn post(address: &str, path: &str, body: &str) -> Option<(u16, Head, String)> {
    let address: SocketAddr = address.parse().ok()?;
    let second = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&address, second).ok()?;
    stream.set_read_timeout(Some(second)).ok()?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let (line, head, body) = read_message(&mut BufReader::new(stream))?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    Some((status, head, String::from_utf8_lossy(&body).into_owned()))
}

fn main() {
    let arguments: HashMap<String, String> = std::env::args()
        .skip(1)
        .filter_map(|a| a.split_once('=').map(|(n, v)| (n.to_owned(), v.to_owned())))
        .collect();
    let get = |name: &str| arguments.get(name).cloned().unwrap_or_default();
    let engine = Arc::new(Engine {
        listen: get("listen"),
        id: get("id"),
        service: get("service"),
        zone: get("zone"),
        controls: get("controls").split(',').map(str::to_owned).collect(),
        log: get("log"),
        work: Duration::from_millis(get("work_ms").parse().unwrap_or(30)),
        lost: get("lost"),
        stream: get("stream"),
        born: millis(),
    });
    let listener = TcpListener::bind(&engine.listen).expect("listen");
    let beating = Arc::clone(&engine);
    thread::spawn(move || beating.beat());
    for stream in listener.incoming().flatten() {
        let engine = Arc::clone(&engine);
        thread::spawn(move || engine.serve(stream));
    }
}
