//! The scenarios.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{Answer, Deployment, Result, Verdict, request_text, sound_answer};

pub(crate) type Scenario = fn(&Deployment, bool) -> Result<Verdict>;

pub(crate) const ALL: [(&str, Scenario); 4] = [
    ("growth", growth),
    ("restart", engines_restart),
    ("garbage", garbage),
    ("events", endless_events),
];

/// Maximum rate at which engines send bytes without end: 800 Mbit/s. The sheet gives the machines of
/// entries links of 1,000 Mbit/s.
const MAX_BYTES_PER_S: f64 = 100e6;

const HOST: &str = "desk.example";
const KEY: &str = "k1";

/// A route to one service.
fn route(name: &str, kind: &str, timeout_ms: u32, service: &str, extra: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"type\":\"{kind}\",\
         \"timeoutMs\":{timeout_ms},\"sloMs\":500,\"priority\":1,\"service\":\"{service}\",\
         \"attempts\":2,\"public\":false,\"sticky\":false{extra}}}"
    )
}

fn tenant(name: &str, key: &str) -> String {
    format!("{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":1}}")
}

fn sound() -> Arc<Answer> {
    Arc::new(|spec, request, stream| stream.write_all(sound_answer(spec, request).as_bytes()))
}

/// Sends the same bytes again and again, until the caller closes the connection.
fn send_without_end(stream: &mut TcpStream, bytes: &[u8], bytes_per_s: f64) -> io::Result<()> {
    let (began, mut sent) = (Instant::now(), 0.0);
    loop {
        stream.write_all(bytes)?;
        sent += bytes.len() as f64;
        let due = Duration::from_secs_f64(sent / bytes_per_s);
        thread::sleep(due.saturating_sub(began.elapsed()));
    }
}

/// One engine of another service answers one request with bytes without end.
fn garbage(deployment: &Deployment, trouble: bool) -> Result<Verdict> {
    let routes = [
        route("notes", "streaming", 20_000, "notes", ",\"gapSloMs\":200"),
        route("orders", "idempotent", 1_200, "orders", ""),
    ];
    deployment.configure(&routes.join(","), &["notes", "orders"], &tenant("t1", KEY))?;
    for host in 100..103 {
        deployment.start_engine(host, "orders", sound())?;
    }
    let armed = Arc::new(AtomicBool::new(false));
    let is_armed = Arc::clone(&armed);
    let bad: Arc<Answer> = Arc::new(move |spec, request, stream| {
        if !is_armed.swap(false, Ordering::Relaxed) {
            return stream.write_all(sound_answer(spec, request).as_bytes());
        }
        let attempt = request.header("x-attempt-id").unwrap_or("-");
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: {}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            spec.id
        );
        stream.write_all(head.as_bytes())?;
        send_without_end(stream, &[b'0'; 64 << 10], MAX_BYTES_PER_S)
    });
    deployment.start_engine(110, "notes", bad)?;
    deployment.wait_until_serving(HOST, &["/orders/1", "/notes/1"], KEY)?;
    thread::sleep(Duration::from_secs(3));

    armed.store(trouble, Ordering::Relaxed);
    measure_beside(deployment, || {
        let deadline = Duration::from_secs(20);
        deployment.record.line("client: POST /notes/1");
        let answer = deployment.request(0, "POST", HOST, "/notes/1", KEY, deadline);
        let text = answer.map_or_else(|e| e.to_string(), |a| a.1.first);
        deployment
            .record
            .line(format!("client: /notes/1 ended: {text}"));
    })
}

/// Sends requests to the service "orders" for 15 s, beside `disruption`, and counts those without an
/// answer at their route's timeout and half a second later.
fn measure_beside(deployment: &Deployment, disruption: impl FnOnce() + Send) -> Result<Verdict> {
    const TIMEOUT: Duration = Duration::from_millis(1_200);
    let seen: Mutex<Vec<Duration>> = Mutex::default();
    let began = Instant::now();
    thread::scope(|scope| {
        scope.spawn(disruption);
        thread::sleep(Duration::from_millis(200));
        while began.elapsed() < Duration::from_secs(15) {
            scope.spawn(|| {
                let attempt = deployment.next_attempt();
                let deadline = Duration::from_millis(2_500);
                let text = request_text(&attempt, "GET", HOST, "/orders/1", KEY, deadline);
                let sent = Instant::now();
                let answer = crate::call(deployment.front(0), text.as_bytes(), deadline);
                let took = sent.elapsed();
                let text = answer.map_or_else(|e| e.to_string(), |a| a.first);
                deployment.record.line(format!(
                    "client: {attempt} GET /orders/1: {text} after {} ms",
                    took.as_millis()
                ));
                seen.lock().unwrap().push(took);
            });
            thread::sleep(Duration::from_millis(100));
        }
    });
    let seen = seen.into_inner()?;
    let later_than = |limit: Duration| seen.iter().filter(|took| **took > limit).count();
    let unanswered = later_than(TIMEOUT);
    let held = later_than(TIMEOUT + Duration::from_millis(500));
    deployment.record.line(format!(
        "{} requests on /orders/, {unanswered} unanswered at {} ms, {held} half a second later",
        seen.len(),
        TIMEOUT.as_millis()
    ));
    Ok(match held >= 8 && 2 * held > unanswered {
        true => Verdict::Broken(format!("CONFIG: {held} of {unanswered} without an answer")),
        false => Verdict::Held,
    })
}

/// An engine sends events without end in answer to streams.
fn endless_events(deployment: &Deployment, trouble: bool) -> Result<Verdict> {
    const REQUESTS: usize = 10;
    const TIMEOUT: Duration = Duration::from_secs(5);
    const SLACK: Duration = Duration::from_millis(500);
    /// Rate at which a client reads: its link has 8 Mbit/s.
    const READ_BYTES_PER_S: f64 = 1e6;
    /// Time for which a client goes on reading.
    const PATIENCE: Duration = Duration::from_secs(15);
    let extra = ",\"gapSloMs\":200,\"resumable\":true";
    let routes = route("notes", "streaming", 5_000, "notes", extra);
    deployment.configure(&routes, &["notes"], &tenant("t1", KEY))?;
    // Time for which engines were let send events, by answer.
    let sent: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let (ended, record) = (Arc::clone(&sent), Arc::clone(&deployment.record));
    let endless: Arc<Answer> = Arc::new(move |spec, request, stream| {
        let attempt = request.header("x-attempt-id").unwrap_or("-");
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: {}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            spec.id
        );
        stream.write_all(head.as_bytes())?;
        if !trouble || request.method() == "GET" {
            return stream.write_all(b"f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
        }
        let events = "data: x\n\n".repeat(1_000);
        let chunk = format!("{:x}\r\n{events}\r\n", events.len());
        let began = Instant::now();
        let closed = send_without_end(stream, chunk.as_bytes(), MAX_BYTES_PER_S / REQUESTS as f64);
        let took = began.elapsed();
        record.line(format!(
            "engine {}: the connection of {attempt} was closed after {} ms",
            spec.id,
            took.as_millis()
        ));
        ended.lock().unwrap().push(took);
        closed
    });
    for host in 100..102 {
        deployment.start_engine(host, "notes", Arc::clone(&endless))?;
    }
    deployment.wait_until_serving(HOST, &["/notes/1"], KEY)?;

    let held = Mutex::new(0);
    thread::scope(|scope| {
        for i in 0..REQUESTS {
            let held = &held;
            scope.spawn(move || {
                let attempt = deployment.next_attempt();
                let deadline = TIMEOUT;
                let text = request_text(&attempt, "POST", HOST, "/notes/1", KEY, deadline);
                let entry = (i % 2) as u8;
                let front = deployment.front(entry);
                let read = read_for(front, text.as_bytes(), PATIENCE, READ_BYTES_PER_S);
                let (took, bytes, ended) = match read {
                    Ok(read) => read,
                    Err(e) => {
                        deployment.record.line(format!("client: {attempt}: {e}"));
                        return;
                    }
                };
                let end = if ended { "ended" } else { "was still sent" };
                deployment.record.line(format!(
                    "client: {attempt} POST /notes/1: the answer {end} after {} ms and {bytes} bytes",
                    took.as_millis()
                ));
                *held.lock().unwrap() += usize::from(took > TIMEOUT + SLACK);
            });
        }
    });
    // The last clients have just left.
    thread::sleep(Duration::from_secs(2));
    let held = held.into_inner()?;
    let sent = sent.lock().unwrap();
    let read = sent.iter().filter(|t| **t > TIMEOUT + SLACK).count();
    Ok(match held.min(read) >= 8 {
        true => Verdict::Broken(format!(
            "CONFIG: half a second after the route's timeoutMs, {held} of {REQUESTS} clients had no \
             end of the answer, and {read} engines were still read"
        )),
        false => Verdict::Held,
    })
}

/// Sends a request and reads until the connection ends, or for `patience`. Returns the time, the
/// number of bytes, and whether the connection has ended.
fn read_for(
    to: SocketAddrV4,
    request: &[u8],
    patience: Duration,
    bytes_per_s: f64,
) -> io::Result<(Duration, u64, bool)> {
    let began = Instant::now();
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(Duration::from_millis(200)))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let (mut buffer, mut bytes) = (vec![0; 64 << 10], 0);
    while began.elapsed() < patience {
        match reader.read(&mut buffer) {
            Ok(0) => return Ok((began.elapsed(), bytes, true)),
            Ok(read) => {
                bytes += read as u64;
                let due = Duration::from_secs_f64(bytes as f64 / bytes_per_s);
                thread::sleep(due.saturating_sub(began.elapsed()));
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return Ok((began.elapsed(), bytes, true)),
        }
    }
    Ok((began.elapsed(), bytes, false))
}

/// The engines of a service leave and start again in turn, each under its id. The time of day of
/// their machines is behind that of the others.
fn engines_restart(deployment: &Deployment, trouble: bool) -> Result<Verdict> {
    let behind = Duration::from_secs(if trouble { 2 } else { 0 });
    let first = route("orders", "idempotent", 1_200, "orders", "");
    let later = route("lookups", "idempotent", 1_200, "lookups", "");
    let services = ["orders", "lookups"];
    deployment.configure(&first, &services, &tenant("t1", KEY))?;
    for host in 100..103 {
        deployment.start_engine(host, "orders", sound())?;
    }
    let mut lookups = Vec::new();
    for host in 110..113 {
        lookups.push(deployment.start_engine_behind(host, "lookups", sound(), behind)?);
    }
    deployment.wait_until_serving(HOST, &["/orders/1"], KEY)?;
    deployment.configure(&[first, later].join(","), &services, &tenant("t1", KEY))?;
    deployment.wait_until_serving(HOST, &["/lookups/1"], KEY)?;
    thread::sleep(Duration::from_secs(4));
    for engine in &lookups {
        deployment
            .record
            .line(format!("operator: restarts engine {}", engine.id));
        engine.restart.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_secs(5));
    }
    // Five heartbeat periods of the engines, and more than contactMs.
    thread::sleep(Duration::from_secs(6));
    compare_routes(deployment)
}

/// Compares how many requests are served on the first route and on the one that was added later.
fn compare_routes(deployment: &Deployment) -> Result<Verdict> {
    const REQUESTS: usize = 40;
    let mut served = [0; 2];
    for i in 0..REQUESTS {
        for (path, served) in ["/orders/1", "/lookups/1"].iter().zip(&mut served) {
            let deadline = Duration::from_millis(2_500);
            let (attempt, answer) =
                deployment.request((i % 2) as u8, "GET", HOST, path, KEY, deadline)?;
            let first = &answer.first;
            deployment
                .record
                .line(format!("client: {attempt} GET {path}: {first}"));
            *served += usize::from(answer.status() == 200);
        }
    }
    let [on_first, on_later] = served;
    Ok(match 4 * on_later < on_first {
        true => Verdict::Broken(format!(
            "CONFIG: {on_first} of {REQUESTS} requests on the first route were served, and \
             {on_later} of {REQUESTS} on the one that was added later"
        )),
        false => Verdict::Held,
    })
}

/// The configuration grows by many routes, step by step, and changes some more times. Without trouble it
/// changes as often and doesn't grow.
fn growth(deployment: &Deployment, trouble: bool) -> Result<Verdict> {
    /// Changes that each add [`ADDED`] routes, and further changes.
    const GROWING: usize = 60;
    const FURTHER: usize = 30;
    const ADDED: usize = 420;
    /// Time between the starts of two changes.
    const GAP: Duration = Duration::from_millis(330);
    /// Time after which no further change begins, so that a slow machine plays the case as well.
    const CHANGING: Duration = Duration::from_secs(55);
    /// Time for which the processes are watched after the last change.
    const WATCHED: Duration = Duration::from_secs(12);
    /// Number of own ends from which a process counts.
    const ENDS: usize = 3;
    let tenants = tenant("t1", KEY);
    let first = route("orders", "idempotent", 1_200, "orders", "");
    deployment.configure(&first, &["orders"], &tenants)?;
    for host in 100..103 {
        deployment.start_engine(host, "orders", sound())?;
    }
    deployment.wait_until_serving(HOST, &["/orders/1"], KEY)?;
    let ended = AtomicBool::new(false);
    let change_all = || -> Result<()> {
        let first_change = Instant::now();
        for change in 1..=GROWING + FURTHER {
            if first_change.elapsed() > CHANGING {
                break;
            }
            let began = Instant::now();
            let extra = ",\"gapSloMs\":200,\"resumable\":true";
            let steps = if trouble { change.min(GROWING) } else { 0 };
            let added = (0..ADDED * steps).map(|i| {
                // Other time-outs than in the version before.
                let timeout_ms = 20_000 + ((change + i) % 1_000) as u32;
                route(
                    &format!("r{i:05}"),
                    "streaming",
                    timeout_ms,
                    "orders",
                    extra,
                )
            });
            let routes: Vec<String> = [first.clone()].into_iter().chain(added).collect();
            let routes = routes.join(",");
            deployment.configure(&routes, &["orders"], &tenants)?;
            let sizes = deployment.controller_sizes();
            deployment
                .record
                .line(format!("{} bytes of routes; {sizes}", routes.len()));
            thread::sleep(GAP.saturating_sub(began.elapsed()));
        }
        Ok(())
    };
    let (changed, kills) = thread::scope(|scope| {
        let platform = scope.spawn(|| deployment.bound_memory(&ended));
        let changed = change_all();
        thread::sleep(WATCHED);
        record_service(deployment);
        ended.store(true, Ordering::Relaxed);
        (changed, platform.join())
    });
    let kills = kills.map_err(|_| "the platform's thread panicked")??;
    deployment.record.line(format!(
        "platform: the controllers were killed {kills:?} times for their memory"
    ));
    let often = kills.iter().filter(|k| **k >= ENDS).count();
    if 2 * often >= kills.len() {
        return Ok(Verdict::Broken(format!(
            "Fault: {often} of {} controllers ended by themselves {ENDS} times or more, with no \
             disruption there: {kills:?}",
            kills.len()
        )));
    }
    // An acknowledgement that didn't come is no part of the rule.
    changed.map(|()| Verdict::Held)
}

/// Writes into the record which requests are served, and which configuration is read back.
fn record_service(deployment: &Deployment) {
    for i in 0..10 {
        let deadline = Duration::from_millis(2_500);
        let answer = deployment.request(i % 2, "GET", HOST, "/orders/1", KEY, deadline);
        let text = match answer {
            Ok((attempt, answer)) => format!("{attempt} GET /orders/1: {}", answer.first),
            Err(e) => format!("GET /orders/1: {e}"),
        };
        deployment.record.line(format!("client: {text}"));
    }
    for i in 0..3 {
        let (status, version) = deployment.read_back(i);
        deployment.record.line(format!(
            "operator: reads back at controller {i}: status {status}, version {version:?}; the \
             newest is {}",
            deployment.version()
        ));
    }
}
