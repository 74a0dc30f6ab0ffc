//! A long run under load with kills, freezes and departures. Too long for CI:
//! `cargo build --release --locked --examples && cargo test --release --locked --test long -- --ignored --nocapture`,
//! with LONG_REQUESTS, LONG_RATE and LONG_SEED from the environment.

mod common;

use std::env;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::str::FromStr;
use std::thread;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use common::emulator::{Emulator, EmulatorBuilder, example_path};
use common::fleet::{Fleet, KEY};
use common::port;
use common::process::Process;

const INSTANCES: usize = 3;
const ENGINES: [(&str, &str); 8] = [
    ("a-1", "0..16"),
    ("a-2", "0..16"),
    ("a-3", "0..16"),
    ("a-4", "0..16"),
    ("b-1", "16..32"),
    ("b-2", "16..32"),
    ("b-3", "16..32"),
    ("b-4", "16..32"),
];

fn setting<T: FromStr>(name: &str, default: T) -> T {
    let text = env::var(name).ok();
    text.and_then(|t| t.parse().ok()).unwrap_or(default)
}

/// An engine that comes back on its address with its journal.
struct Place {
    at: usize,
    address: SocketAddr,
    engine: Option<Emulator>,
}

impl Place {
    fn start(&mut self, fleet: &Fleet, folder: &Path) {
        let (id, layers) = ENGINES[self.at];
        let journal = folder.join(id);
        let (address, journal) = (self.address, journal.display().to_string());
        let plan = |p: EmulatorBuilder| {
            let p = p.flag("listen", address).flag("journal", journal.clone());
            p.flag("token-ms", 2).flag("slots", 64)
        };
        self.engine = Some(fleet.start_engine_with(id, layers, plan));
    }
}

fn load(fleet: &Fleet, places: &[Place], seed: u64) -> Process {
    let list = |all: Vec<SocketAddr>| {
        let texts: Vec<_> = all.iter().map(SocketAddr::to_string).collect();
        texts.join(",")
    };
    let targets = list((0..INSTANCES).map(|i| fleet.caller_addr(i)).collect());
    let emulators = list(places.iter().map(|p| p.address).collect());
    let mut command = Command::new(example_path("load"));
    command
        .args(["--target", &targets, "--emulators", &emulators])
        .args(["--key", KEY, "--route", "quotations", "--tokens", "8"])
        .args(["--requests", &setting("LONG_REQUESTS", 100_000).to_string()])
        .args(["--rate", &setting("LONG_RATE", 400.0).to_string()])
        .args(["--concurrency", "200", "--non-idempotent", "0.3"])
        .args(["--seed", &seed.to_string(), "--seconds", "1200"])
        .args(["--stream", "--resend", "--kills", "--json"]);
    Process::start("load", &mut command)
}

/// One failure and its repair, drawn from the seed.
fn strike(random: &mut ChaCha8Rng, fleet: &mut Fleet, places: &mut [Place], folder: &Path) {
    let instance = random.random_range(0..INSTANCES);
    let place = &mut places[random.random_range(0..ENGINES.len())];
    let pause = Duration::from_millis(random.random_range(200..4_000));
    match random.random_range(0..5) {
        0 => {
            fleet.instance(instance).process.kill();
            thread::sleep(pause);
            fleet.restart(instance);
        }
        1 => {
            fleet.instance(instance).process.freeze();
            thread::sleep(pause);
            fleet.instance(instance).process.thaw();
        }
        2 => {
            if let Some(engine) = &mut place.engine {
                engine.process.kill();
            }
            thread::sleep(pause);
            place.start(fleet, folder);
        }
        3 => {
            if let Some(engine) = &place.engine {
                engine.process.freeze();
                thread::sleep(pause);
                engine.process.thaw();
            }
        }
        _ => {
            if let Some(engine) = &mut place.engine {
                engine.process.terminate();
                engine.process.wait_for_exit();
            }
            place.start(fleet, folder);
        }
    }
}

/// Instances and engines die, freeze and leave for minutes on end while callers
/// resend what was cut. Every answer that comes is exact, no non-idempotent
/// request begins twice, and nothing refused as not run has run.
#[test]
#[ignore = "takes minutes; run by command"]
fn load_with_kills_keeps_every_promise() {
    let seed = setting("LONG_SEED", 1);
    println!("seed {seed}");
    let folder = tempfile::tempdir().expect("make a folder");
    let mut fleet = Fleet::with_instances(INSTANCES);
    let mut places: Vec<_> = (0..ENGINES.len())
        .map(|at| Place {
            at,
            address: port::free(),
            engine: None,
        })
        .collect();
    for place in &mut places {
        place.start(&fleet, folder.path());
    }
    fleet.wait_until_serving();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut load = load(&fleet, &places, seed);
    let mut strikes = 0;
    while load.is_running() {
        thread::sleep(Duration::from_millis(random.random_range(500..2_500)));
        strike(&mut random, &mut fleet, &mut places, folder.path());
        strikes += 1;
    }
    let result: Value = serde_json::from_str(&load.read_lines(1).concat()).expect("a result");
    println!("{strikes} strikes\n{result:#}");
    assert_eq!(result["violations"], 0, "{}", load.log());
}
