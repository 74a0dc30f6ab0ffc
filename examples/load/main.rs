//! Load generator: sends requests to instances in turn and verifies every answer
//! exactly against the emulated model. With `--emulators` it also verifies what
//! the emulators executed. Exits with 1 if there are violations.
//!
//! With `--direct`, every second request goes directly to the stages, to measure
//! the overhead of an instance under the same conditions.

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

use audit::Guarantee;
use call::{CallResult, Destination, HttpClient, Job};
use options::Options;
use outcome::Outcome;
use tally::Tally;

/// Minimum delay before a resend, used if the answer suggests none.
const RESEND_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay before a resend, whatever the answer suggests.
const RESEND_DELAY_MAX: Duration = Duration::from_secs(2);

struct Run {
    options: Options,
    http: HttpClient,
    routed: Mutex<Tally>,
    direct: Mutex<Tally>,
    guarantees: Mutex<Vec<Guarantee>>,
}

fn main() -> ExitCode {
    let matches = options::command().get_matches();
    let outcome = options::parse_options(&matches).and_then(|options| {
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

/// Sends all requests. Returns the number of violations.
async fn run(options: Options) -> u64 {
    let run = Arc::new(Run {
        http: call::client(),
        routed: Mutex::new(Tally::new()),
        direct: Mutex::new(Tally::new()),
        guarantees: Mutex::default(),
        options,
    });
    let options = &run.options;
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let permits = Arc::new(Semaphore::new(options.concurrency));
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    for index in 0..options.requests {
        let non_idempotent = rng.random_bool(options.non_idempotent);
        let due = start + start_offset(options.rate, index);
        tokio::time::sleep_until(due.into()).await;
        let permit = permits.clone().acquire_owned().await;
        if start.elapsed() > options.duration {
            break;
        }
        let job = Job {
            index,
            non_idempotent,
        };
        let run = run.clone();
        let delay = if options.rate > 0.0 {
            due.elapsed()
        } else {
            Duration::ZERO
        };
        tasks.spawn(async move {
            run_request(&run, job, delay).await;
            drop(permit);
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let elapsed = start.elapsed();
    let guarantees = run.guarantees.lock().unwrap().clone();
    let audit = audit::check(&run.http, &options.emulators, options.seed, &guarantees).await;
    report(&run, &audit, elapsed)
}

fn start_offset(rate: f64, index: usize) -> Duration {
    if rate > 0.0 {
        Duration::from_secs_f64(index as f64 / rate)
    } else {
        Duration::ZERO
    }
}

/// Sends one request, with its resends.
async fn run_request(run: &Run, job: Job, delay: Duration) {
    let options = &run.options;
    let direct = !options.direct.is_empty() && (job.index % 2 == 1 || options.targets.is_empty());
    if direct {
        let destination = Destination::Direct(&options.direct);
        let last = call::send(&run.http, options, job, destination).await;
        run.direct.lock().unwrap().record(&last, 1, delay);
        return;
    }
    let start = Instant::now();
    let mut calls = 1;
    // The request didn't run only if every call was refused as not run.
    let mut not_run = true;
    let mut waited = Duration::ZERO;
    let last = loop {
        // With direct calls in between, only even indices go to instances.
        let turn = if options.direct.is_empty() {
            job.index
        } else {
            job.index / 2
        };
        let target = options.targets[(turn + calls - 1) % options.targets.len()];
        let last = call::send(&run.http, options, job, Destination::Instance(target)).await;
        not_run &= matches!(&last.outcome, Outcome::Refused { ran, .. } if ran == "no");
        let Some(pause) = resend_delay(options, &last, calls) else {
            break last;
        };
        tokio::time::sleep(pause).await;
        calls += 1;
        waited = start.elapsed();
    };
    let guarantee = Guarantee {
        index: job.index,
        non_idempotent: job.non_idempotent,
        not_run,
    };
    run.guarantees.lock().unwrap().push(guarantee);
    run.routed
        .lock()
        .unwrap()
        .record(&last, calls, delay + waited);
}

/// Delay before a resend, or `None` if the request isn't resent.
fn resend_delay(options: &Options, last: &CallResult, calls: usize) -> Option<Duration> {
    if calls > options.resends {
        return None;
    }
    match &last.outcome {
        Outcome::Cut | Outcome::Unreachable | Outcome::Timeout => Some(RESEND_DELAY),
        Outcome::Refused { ran, retry_ms, .. } if ran == "unknown" || options.resend_refused => {
            let delay = Duration::from_millis(*retry_ms);
            Some(delay.clamp(RESEND_DELAY, RESEND_DELAY_MAX))
        }
        _ => None,
    }
}

fn report(run: &Run, audit: &audit::Audit, elapsed: Duration) -> u64 {
    let routed = run.routed.lock().unwrap();
    let direct = run.direct.lock().unwrap();
    let kills = run.options.kills;
    let violations = routed.violations(kills) + direct.violations(kills) + audit.violations();
    let mut value = json!({
        "requests": run.options.requests,
        "seed": run.options.seed,
        "through": routed.json(elapsed),
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
        print_result("", &value);
    }
    violations
}

fn print_result(prefix: &str, value: &Value) {
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
        print_result(&name, value);
    }
}
