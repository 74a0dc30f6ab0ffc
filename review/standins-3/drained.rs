//! An entry is stopped in turn while clients upload slowly. It passes requests on that arrive whole in
//! the last seconds of its grace period, and then cuts them off.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::engine::{Engine, Runs, Trouble, send_event, sound};
use crate::fleet::{Fleet, HOST, KEY, Role, Sheet};
use crate::http::{Head, head_end};
use crate::record::Record;

/// Events of a stream and the pause between them: 3.4 s, as for the sheet's 86 events.
const EVENTS: u64 = 86;
const PAUSE: Duration = Duration::from_millis(40);

/// Time after SIGTERM until which a request's last byte may be sent for its cut to be excused.
const EXCUSED: Duration = Duration::from_secs(3);

/// Size of a body, and the pieces in which it is sent.
const BODY: usize = 400 << 10;
const PIECES: u32 = 40;

/// When clients connect, and how long their uploads take, in ms. The balancer sends to an entry
/// for two failed checks, 2 s.
const CLIENTS: [(u64, u64); 8] = [
    (200, 1_500),
    (500, 2_000),
    (1_000, 3_000),
    (1_000, 4_000),
    (1_500, 4_500),
    (1_500, 5_000),
    (1_900, 4_000),
    (1_900, 5_000),
];

struct Upload {
    id: String,
    /// Time from the stop to the last byte of the request.
    sent: Duration,
    ended: Duration,
    status: u16,
    whole: bool,
}

fn long_streams() -> Trouble {
    Arc::new(|run, stream| {
        if !run.attempt.starts_with("5e17") {
            return Ok(false);
        }
        run.engine.begin_stream(stream, run.attempt, "")?;
        let last = run.head.number("last-event-id").unwrap_or(0);
        for id in last + 1..=EVENTS {
            send_event(stream, id)?;
            thread::sleep(PAUSE);
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    })
}

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let Some(mut fleet) = Fleet::new(Sheet::small(3)) else {
        return Outcome::NotRun("no free addresses");
    };
    let runs = Arc::new(Mutex::new(Runs::default()));
    fleet.start();
    if fleet.replace(Duration::from_secs(10)).is_none() {
        return Outcome::NotRun("the first configuration wasn't acknowledged");
    }
    for i in 0..6 {
        let (service, trouble) = match i {
            0..4 => ("lbq-models", long_streams()),
            _ => ("orderdesk", sound()),
        };
        let (address, controls) = (fleet.engine_address(i), fleet.controls());
        if Engine::start(i, service, address, controls, Arc::clone(&runs), trouble).is_err() {
            return Outcome::NotRun("an engine couldn't listen");
        }
    }
    if !fleet.await_service(Duration::from_secs(30)) {
        return Outcome::NotRun("the entries didn't serve");
    }
    record.line("3 entries, 5 controllers, 4 model engines and 2 engines of orderdesk serve");
    thread::sleep(fleet.sheet.contact);
    if trouble {
        fleet.terminate(Role::Entry, 0);
        record.line("SIGTERM to one entry");
    }
    let (stopped, shared) = (Instant::now(), &fleet);
    let uploads: Vec<Upload> = thread::scope(|scope| {
        let start = |(n, client): (usize, &(u64, u64))| {
            let (at, takes) = *client;
            scope.spawn(move || upload(shared, n, stopped, at, takes))
        };
        let running: Vec<_> = CLIENTS.iter().enumerate().map(start).collect();
        let ended = running.into_iter().filter_map(|r| r.join().ok()?);
        ended.collect()
    });
    judge(record, &runs.lock().unwrap(), &uploads)
}

/// Sends a request whose body takes a while, and reads its answer.
fn upload(fleet: &Fleet, n: usize, stopped: Instant, at: u64, takes: u64) -> Option<Upload> {
    thread::sleep(Duration::from_millis(at));
    let id = format!("5e17ab{n:04x}");
    let mut stream = TcpStream::connect(fleet.front(0)).ok()?;
    let head = format!(
        "POST /quotes/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Credential: {KEY}\r\n\
         X-Deadline-Ms: 20000\r\nX-Model: daka510000\r\nX-Token-Usage: 772,174\r\n\
         Content-Length: {BODY}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let piece = vec![b'x'; BODY / PIECES as usize];
    for _ in 0..PIECES {
        thread::sleep(Duration::from_millis(takes) / PIECES);
        stream.write_all(&piece).ok()?;
    }
    let sent = stopped.elapsed();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .ok()?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 8 << 10];
    while !bytes.ends_with(b"\r\n0\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
        }
    }
    let head = head_end(&bytes).map(|at| Head::parse(&bytes[..at]));
    let status = head.map_or(0, |h| h.status());
    Some(Upload {
        id,
        sent,
        ended: stopped.elapsed(),
        status,
        whole: status != 200 || bytes.ends_with(b"\r\n0\r\n\r\n"),
    })
}

fn judge(record: &Record, runs: &Runs, uploads: &[Upload]) -> Outcome {
    let mut lost = 0;
    for upload in uploads {
        let ran = runs.by_attempt.get(&upload.id).map_or(0, Vec::len);
        let cut = upload.status == 0 || !upload.whole;
        let counts = cut && ran > 0 && upload.sent > EXCUSED;
        lost += u32::from(counts);
        record.line(&format!(
            "request {}: sent by {:.2} s, status {}, ended at {:.2} s, {}, runs {ran}{}",
            upload.id,
            upload.sent.as_secs_f64(),
            upload.status,
            upload.ended.as_secs_f64(),
            if cut { "cut off" } else { "whole" },
            if counts { " - LOST" } else { "" }
        ));
    }
    match lost {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
