//! Engines send bytes without end in the middle of their streams. An entry with many streams takes
//! more memory than its machine has, and is killed.

use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::engine::{Engine, Runs, Trouble, send_event, sound};
use crate::fleet::{Fleet, Role, Sheet, resident_mb};
use crate::record::Record;

/// Streams at each entry at the same time; it allows 537 connections.
const STREAMS: u32 = 400;

/// Engines of the model, and those of them that send bytes without end: six in ten at most, as for
/// `garble` in the list `troubles` of the site.
const MODELS: u8 = 5;
const SPOILT: u8 = 3;

const DEADLINE_MS: u64 = 20_000;

/// `atlas-kine-grown`, with two entries.
fn sheet() -> Sheet {
    Sheet {
        entry_memory: 112,
        entry_descriptors: 2_870,
        contact: Duration::from_secs(4),
        ack: Duration::from_secs(5),
        ..Sheet::small(2)
    }
}

/// Sends sound events until `on` holds, then bytes without end that are no event.
fn endless(on: &Arc<AtomicBool>) -> Trouble {
    let on = Arc::clone(on);
    let junk = [b"10000\r\n".as_slice(), &vec![b'x'; 0x10000], b"\r\n"].concat();
    Arc::new(move |run, stream| {
        if run
            .head
            .get("x-attempt-id")
            .is_none_or(|a| !a.starts_with("e0"))
        {
            return Ok(false);
        }
        run.engine.begin_stream(stream, run.attempt, "")?;
        let mut id = run.head.number("last-event-id").unwrap_or(0);
        let began = Instant::now();
        while !on.load(Ordering::Relaxed) {
            id += 1;
            send_event(stream, id)?;
            thread::sleep(Duration::from_millis(60));
            if began.elapsed() > Duration::from_secs(5) {
                stream.write_all(b"0\r\n\r\n")?;
                return Ok(true);
            }
        }
        loop {
            stream.write_all(&junk)?;
        }
    })
}

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let Some(mut fleet) = Fleet::new(sheet()) else {
        return Outcome::NotRun("no free addresses");
    };
    let (runs, on) = (Arc::new(Mutex::new(Runs::default())), Arc::default());
    fleet.start();
    if fleet.replace(Duration::from_secs(10)).is_none() {
        return Outcome::NotRun("the first configuration wasn't acknowledged");
    }
    for i in 0..MODELS + 2 {
        let service = if i < MODELS {
            "lbq-models"
        } else {
            "orderdesk"
        };
        let never = Arc::new(AtomicBool::new(false));
        let trouble = match service {
            "orderdesk" => sound(),
            _ if i < SPOILT => endless(&on),
            _ => endless(&never),
        };
        let (address, controls) = (fleet.engine_address(i), fleet.controls());
        if Engine::start(i, service, address, controls, Arc::clone(&runs), trouble).is_err() {
            return Outcome::NotRun("an engine couldn't listen");
        }
    }
    if !fleet.await_service(Duration::from_secs(30)) {
        return Outcome::NotRun("the entries didn't serve");
    }
    record.line("2 entries, 5 controllers, 5 model engines and 2 engines of orderdesk serve");
    let mut kills = [0; 2];
    for round in 0..3 {
        let killed = play_round(record, &mut fleet, &on, trouble, round);
        (0..2).for_each(|i| kills[i] += u32::from(killed[i]));
        for i in 0..2_u8 {
            if killed[usize::from(i)] {
                fleet.kill_and_restart(Role::Entry, i);
            }
        }
        if !fleet.await_service(Duration::from_secs(20)) {
            return Outcome::NotRun("the entries didn't serve again");
        }
    }
    record.line(&format!("killed for their memory: {kills:?} times"));
    match kills.iter().all(|k| *k >= 3) {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// Streams at both entries, of which engines spoil some. Returns which entries took more memory than
/// they may.
fn play_round(
    record: &Record,
    fleet: &mut Fleet,
    on: &AtomicBool,
    trouble: bool,
    round: u32,
) -> [bool; 2] {
    let ids = [fleet.id(Role::Entry, 0), fleet.id(Role::Entry, 1)];
    let limit = fleet.sheet.entry_memory as f64;
    let (done, whole) = (AtomicBool::new(false), AtomicU64::new(0));
    let peaks = Mutex::new([0.0_f64; 2]);
    let fleet = &*fleet;
    thread::scope(|scope| {
        scope.spawn(|| {
            while !done.load(Ordering::Relaxed) {
                for (i, id) in ids.iter().enumerate() {
                    let mut peaks = peaks.lock().unwrap();
                    peaks[i] = peaks[i].max(resident_mb(*id));
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        let running: Vec<_> = (0..2 * STREAMS)
            .map(|n| {
                let whole = &whole;
                thread::sleep(Duration::from_millis(3));
                let client = thread::Builder::new().stack_size(256 << 10);
                let run = move || {
                    let id = format!("e0{round:02x}{n:08x}");
                    let answer = fleet.request((n % 2) as u8, "/quotes/2f", &id, DEADLINE_MS);
                    whole.fetch_add(u64::from(answer.whole), Ordering::Relaxed);
                };
                client.spawn_scoped(scope, run).expect("a thread")
            })
            .collect();
        thread::sleep(Duration::from_millis(500));
        if trouble {
            on.store(true, Ordering::Relaxed);
            record.line("3 of 5 model engines send bytes without end");
        }
        thread::sleep(Duration::from_secs(4));
        on.store(false, Ordering::Relaxed);
        running.into_iter().for_each(|r| drop(r.join()));
        done.store(true, Ordering::Relaxed);
    });
    let peaks = peaks.into_inner().unwrap();
    record.line(&format!(
        "round {round}: {} streams at each entry, {} whole; most memory {:.0} and {:.0} MB of {limit}",
        STREAMS,
        whole.load(Ordering::Relaxed),
        peaks[0],
        peaks[1]
    ));
    peaks.map(|p| p > limit)
}
