//! A load tool: sends requests to instances in turn, verifies every answer
//! exactly against the emulated model and, when told where the emulators are,
//! what was really executed. Exits with 1 when a promise was violated.
//!
//! With `--direct` every second request goes straight to the stages, so that
//! the overhead of an instance is measured side by side.

mod audit;
mod call;
#[path = "../emulator/model.rs"]
mod model;
mod options;
mod outcome;
mod tally;

use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use audit::Promise;
use call::{Http, Job, Try, Way};
use options::Options;
use outcome::Outcome;
use tally::Tally;

/// Pause before a resend that names none, and bound on one that does.
const RESEND_PAUSE: Duration = Duration::from_millis(100);
const RESEND_PAUSE_MAX: Duration = Duration::from_secs(2);

struct Run {
    options: Options,
    http: Http,
    through: Mutex<Tally>,
    direct: Mutex<Tally>,
    promises: Mutex<Vec<Promise>>,
}

fn main() -> ExitCode {
    let matches = options::command().get_matches();
    let outcome = options::options(&matches).and_then(|options| {
        if options.targets.is_empty() && options.direct.is_empty() {
            return Err("give --target or --direct".to_owned());
        }
        tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()
            .map(|runtime| runtime.block_on(run(options)))
            .map_err(|error| error.to_string())
    });
    match outcome {
        Ok(0) => ExitCode::SUCCESS,
        Ok(count) => {
            eprintln!("load: {count} violations");
            ExitCode::FAILURE
        }
        Err(text) => {
            eprintln!("load: {text}");
            ExitCode::from(2)
        }
    }
}

/// Sends all requests; answers the number of violations.
async fn run(options: Options) -> u64 {
    let run = Arc::new(Run {
        http: call::client(),
        through: Mutex::new(Tally::new()),
        direct: Mutex::new(Tally::new()),
        promises: Mutex::default(),
        options,
    });
    let options = &run.options;
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let permits = Arc::new(Semaphore::new(options.concurrency));
    let mut tasks = JoinSet::new();
    let begin = Instant::now();
    for index in 0..options.requests {
        let marked = random.random_bool(options.marked);
        let due = begin + spacing(options.rate, index);
        tokio::time::sleep_until(due.into()).await;
        let permit = permits.clone().acquire_owned().await;
        if begin.elapsed() > options.duration {
            break;
        }
        let job = Job { index, marked };
        let run = run.clone();
        let late = if options.rate > 0.0 {
            due.elapsed()
        } else {
            Duration::ZERO
        };
        tasks.spawn(async move {
            one(&run, job, late).await;
            drop(permit);
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let elapsed = begin.elapsed();
    let promises = run.promises.lock().unwrap().clone();
    let audit = audit::check(&run.http, &options.emulators, options.seed, &promises).await;
    report(&run, &audit, elapsed)
}

fn spacing(rate: f64, index: usize) -> Duration {
    if rate > 0.0 {
        Duration::from_secs_f64(index as f64 / rate)
    } else {
        Duration::ZERO
    }
}

/// One request with its resends.
async fn one(run: &Run, job: Job, late: Duration) {
    let options = &run.options;
    let direct = !options.direct.is_empty() && (job.index % 2 == 1 || options.targets.is_empty());
    if direct {
        let way = Way::Direct(&options.direct);
        let last = call::send(&run.http, options, job, way).await;
        run.direct.lock().unwrap().add(&last, 1, late);
        return;
    }
    let begin = Instant::now();
    let mut tries = 1;
    // Only when every try was refused as not run does the promise hold.
    let mut refused = true;
    let mut waited = Duration::ZERO;
    let last = loop {
        // With direct calls between them, the indices of the others are even.
        let turn = if options.direct.is_empty() {
            job.index
        } else {
            job.index / 2
        };
        let target = options.targets[(turn + tries - 1) % options.targets.len()];
        let last = call::send(&run.http, options, job, Way::Instance(target)).await;
        refused &= matches!(&last.outcome, Outcome::Refused { ran, .. } if ran == "no");
        let Some(pause) = again(options, &last, tries) else {
            break last;
        };
        tokio::time::sleep(pause).await;
        tries += 1;
        waited = begin.elapsed();
    };
    let promise = Promise {
        index: job.index,
        marked: job.marked,
        refused,
    };
    run.promises.lock().unwrap().push(promise);
    run.through.lock().unwrap().add(&last, tries, late + waited);
}

/// The pause before another try, if there is to be one.
fn again(options: &Options, last: &Try, tries: usize) -> Option<Duration> {
    if tries > options.resends {
        return None;
    }
    match &last.outcome {
        Outcome::Cut | Outcome::Unreachable | Outcome::Timeout => Some(RESEND_PAUSE),
        Outcome::Refused { ran, pause, .. } if ran == "unknown" || options.refused => {
            let pause = Duration::from_millis(*pause);
            Some(pause.clamp(RESEND_PAUSE, RESEND_PAUSE_MAX))
        }
        _ => None,
    }
}

fn report(run: &Run, audit: &audit::Audit, elapsed: Duration) -> u64 {
    let through = run.through.lock().unwrap();
    let direct = run.direct.lock().unwrap();
    let kills = run.options.kills;
    let violations = through.violations(kills) + direct.violations(kills) + audit.violations();
    let mut value = json!({
        "requests": run.options.requests,
        "seed": run.options.seed,
        "through": through.json(elapsed),
        "violations": violations,
    });
    if direct.sent > 0 {
        value["direct"] = direct.json(elapsed);
    }
    if !run.options.emulators.is_empty() {
        value["audit"] = audit.json();
    }
    if run.options.json {
        println!("{value}");
    } else {
        show("", &value);
    }
    violations
}

fn show(prefix: &str, value: &Value) {
    let Some(map) = value.as_object() else {
        println!("{prefix}: {value}");
        return;
    };
    let flat = map.values().all(|v| !v.is_object());
    if flat && !prefix.is_empty() {
        let parts: Vec<_> = map.iter().map(|(k, v)| format!("{k} {v}")).collect();
        println!("{prefix}: {}", parts.join(", "));
        return;
    }
    for (name, value) in map {
        let name = if prefix.is_empty() {
            name.clone()
        } else {
            format!("{prefix}.{name}")
        };
        show(&name, value);
    }
}
