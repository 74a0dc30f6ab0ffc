//! Engines spoil a few of their streams: the answer has a `Content-Encoding`, which nobody asked for,
//! so it isn't the engine's body. The clients get it as a success.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::engine::{Engine, Runs, Trouble, sound};
use crate::fleet::{Fleet, Sheet};
use crate::record::Record;

/// Length of the disruption, and one in how many answers the engines spoil: 3 in 100 at most, as in
/// the list `troubles` of the site.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const ONE_IN: u64 = 34;

/// Streams a second, as on the sheet, and the time for which they are sent.
const RATE: f64 = 64.9;
const TRAFFIC: Duration = Duration::from_secs(10);

const DEADLINE_MS: u64 = 20_000;

fn spoil(on: &Arc<AtomicBool>) -> Trouble {
    let (on, count) = (Arc::clone(on), AtomicU64::new(0));
    Arc::new(move |run, stream| {
        if !on.load(Ordering::Relaxed) {
            return Ok(false);
        }
        let n = count.fetch_add(1, Ordering::Relaxed);
        if n % ONE_IN != 0 {
            return Ok(false);
        }
        run.engine
            .stream(stream, run, "Content-Encoding: gzip\r\n")?;
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
    for i in 0..7 {
        let service = if i < 5 { "lbq-models" } else { "orderdesk" };
        let trouble = if i < 3 { spoil(&on) } else { sound() };
        let (address, controls) = (fleet.engine_address(i), fleet.controls());
        if Engine::start(i, service, address, controls, Arc::clone(&runs), trouble).is_err() {
            return Outcome::NotRun("an engine couldn't listen");
        }
    }
    if !fleet.await_service(Duration::from_secs(30)) {
        return Outcome::NotRun("the entries didn't serve");
    }
    record.line("3 entries, 5 controllers, 5 model engines and 2 engines of orderdesk serve");
    let fleet = &fleet;
    let (answers, spoilt) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    let began = Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(Duration::from_secs(2));
            if trouble {
                on.store(true, Ordering::Relaxed);
                record.line("3 of 5 model engines spoil 1 in 34 of their answers");
            }
            thread::sleep(TROUBLE_TIME);
            on.store(false, Ordering::Relaxed);
            record.line("the engines are sound again");
        });
        for request in 0.. {
            let at = Duration::from_secs_f64(f64::from(request) / RATE);
            if at >= TRAFFIC {
                break;
            }
            thread::sleep(at.saturating_sub(began.elapsed()));
            let (answers, spoilt) = (&answers, &spoilt);
            scope.spawn(move || {
                let id = format!("7b20e1aa{request:08x}");
                let entry = (request % u32::from(fleet.sheet.entries)) as u8;
                let answer = fleet.request(entry, "/quotes/2f", &id, DEADLINE_MS);
                answers.fetch_add(
                    u64::from(answer.status == 200 && answer.whole),
                    Ordering::Relaxed,
                );
                let encoding = answer.head.get("content-encoding");
                if let Some(encoding) = encoding
                    && (200..300).contains(&answer.status)
                {
                    let signature = answer.head.get("x-server-signature").unwrap_or("none");
                    let line = format!(
                        "request {id}: status {}, signature {signature}, Content-Encoding \
                         {encoding}, whole {}",
                        answer.status, answer.whole
                    );
                    spoilt.lock().unwrap().push((answer.whole, line));
                }
            });
        }
    });
    let spoilt = spoilt.into_inner().unwrap();
    spoilt.iter().for_each(|(_, line)| record.line(line));
    let broken = spoilt.iter().filter(|(whole, _)| *whole).count();
    record.line(&format!(
        "{} whole successes, {broken} of them with an encoding that the engine's body doesn't have",
        answers.load(Ordering::Relaxed)
    ));
    match broken {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
