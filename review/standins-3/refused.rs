//! An engine runs a booking and then fails it with 503, without `X-Not-Executed`. The client gets the
//! 503, which promises that the booking hasn't run, and books again.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::engine::{Engine, Runs, Trouble, respond, sound};
use crate::fleet::{Fleet, Sheet};
use crate::record::Record;

/// Engines of orderdesk, of which one turns grey: 0.14 of them, as in the list `troubles` of the site.
const DESKS: u8 = 7;

/// Length of the disruption, and the share of its requests that the engine fails, as in that list.
const TROUBLE_TIME: Duration = Duration::from_millis(6_500);
const FAILED_PERCENT: u64 = 45;

/// Bookings a second, as on the sheet of a site with seven such engines, and the time for which they
/// are sent.
const RATE: f64 = 19.2;
const TRAFFIC: Duration = Duration::from_secs(14);

/// Statuses that promise that a request hasn't run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

const DEADLINE_MS: u64 = 2_500;

/// Fails a part of the engine's requests after they have run, while `on` holds.
fn grey(on: &Arc<AtomicBool>) -> Trouble {
    let (on, count) = (Arc::clone(on), AtomicU64::new(0));
    Arc::new(move |run, stream| {
        if !on.load(Ordering::Relaxed) {
            return Ok(false);
        }
        let n = count.fetch_add(1, Ordering::Relaxed);
        if n * FAILED_PERCENT % 100 >= FAILED_PERCENT {
            return Ok(false);
        }
        thread::sleep(Duration::from_millis(30));
        let head = run.engine.signed(run.attempt);
        respond(
            stream,
            "503 Service Unavailable",
            &head,
            b"the booking could not be confirmed",
        )?;
        Ok(true)
    })
}

pub fn play(record: &Record, trouble: bool) -> Outcome {
    let Some(mut fleet) = Fleet::new(Sheet::small(3)) else {
        return Outcome::NotRun("no free addresses");
    };
    let (runs, on) = (Arc::new(Mutex::new(Runs::default())), Arc::default());
    fleet.start();
    if fleet.replace(Duration::from_secs(10)).is_none() {
        return Outcome::NotRun("the first configuration wasn't acknowledged");
    }
    for i in 0..4 + DESKS {
        let service = if i < 4 { "lbq-models" } else { "orderdesk" };
        let trouble = if i == 4 { grey(&on) } else { sound() };
        let (address, controls) = (fleet.engine_address(i), fleet.controls());
        if Engine::start(i, service, address, controls, Arc::clone(&runs), trouble).is_err() {
            return Outcome::NotRun("an engine couldn't listen");
        }
    }
    if !fleet.await_service(Duration::from_secs(30)) {
        return Outcome::NotRun("the entries didn't serve");
    }
    record.line("3 entries, 5 controllers, 4 model engines and 7 engines of orderdesk serve");
    let fleet = &fleet;
    let answers = Mutex::new(Vec::new());
    let began = Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_secs(3));
            if trouble {
                on.store(true, Ordering::Relaxed);
                record
                    .line("one engine of orderdesk turns grey: it fails 45 in 100, after the run");
            }
            thread::sleep(TROUBLE_TIME);
            on.store(false, Ordering::Relaxed);
            record.line("the engine is sound again");
        });
        for booking in 0.. {
            let at = Duration::from_secs_f64(f64::from(booking) / RATE);
            if at >= TRAFFIC {
                break;
            }
            thread::sleep(at.saturating_sub(began.elapsed()));
            let answers = &answers;
            scope.spawn(move || book(fleet, booking, answers));
        }
    });
    judge(record, &runs.lock().unwrap(), &answers.lock().unwrap())
}

/// A client books, and tries once more at another entry if a status promises that nothing has run.
fn book(fleet: &Fleet, booking: u32, answers: &Mutex<Vec<(u32, String, u16)>>) {
    for attempt in 0..2_u32 {
        let id = format!("9c41d07b{booking:06x}{attempt:02x}");
        let entry = ((booking + attempt) % u32::from(fleet.sheet.entries)) as u8;
        let path = format!("/visits/{booking}");
        let answer = fleet.request(entry, &path, &id, DEADLINE_MS);
        let status = answer.status;
        answers.lock().unwrap().push((booking, id, status));
        if !PROMISES.contains(&status) {
            return;
        }
    }
}

fn judge(record: &Record, runs: &Runs, answers: &[(u32, String, u16)]) -> Outcome {
    let mut made: HashMap<u32, usize> = HashMap::new();
    let mut broken = 0;
    for (booking, id, status) in answers {
        let ran = runs.by_attempt.get(id).map_or(&[][..], Vec::as_slice);
        *made.entry(*booking).or_default() += ran.len();
        if PROMISES.contains(status) && !ran.is_empty() {
            broken += 1;
            record.line(&format!(
                "booking {booking}, attempt {id}: answered {status}, has run at {}",
                ran.join(", ")
            ));
        }
    }
    let mut twice: Vec<_> = made
        .iter()
        .filter(|(_, n)| **n > 1)
        .map(|(b, _)| *b)
        .collect();
    twice.sort_unstable();
    let ok = answers.iter().filter(|a| a.2 == 200).count();
    record.line(&format!(
        "{} bookings, {} attempts, {ok} answered 200; {broken} answered with a promise and run; \
         bookings made twice: {twice:?}",
        made.len(),
        answers.len()
    ));
    match broken {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
