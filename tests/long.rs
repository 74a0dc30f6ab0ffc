//! A run under load, with processes killed, suspended and terminated. It takes too long for CI:
//! `cargo build --release --locked --examples && cargo test --release --locked --test long -- --ignored --nocapture`.
//! The environment variables LONG_REQUESTS, LONG_RATE and LONG_SEED change its defaults.

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

fn env_or<T: FromStr>(name: &str, default: T) -> T {
    let text = env::var(name).ok();
    text.and_then(|t| t.parse().ok()).unwrap_or(default)
}

/// An engine that restarts with the same address and journal.
struct EngineSlot {
    index: usize,
    address: SocketAddr,
    engine: Option<Emulator>,
}

impl EngineSlot {
    fn start(&mut self, fleet: &Fleet, directory: &Path) {
        let (id, layers) = ENGINES[self.index];
        let journal = directory.join(id);
        let (address, journal) = (self.address, journal.display().to_string());
        let configure = |b: EmulatorBuilder| {
            let b = b.flag("listen", address).flag("journal", journal.clone());
            b.flag("token-ms", 2).flag("slots", 64)
        };
        self.engine = Some(fleet.start_engine_with(id, layers, configure));
    }
}

fn start_load(fleet: &Fleet, slots: &[EngineSlot], seed: u64) -> Process {
    let join = |addresses: Vec<SocketAddr>| {
        let texts: Vec<_> = addresses.iter().map(SocketAddr::to_string).collect();
        texts.join(",")
    };
    let targets = join((0..INSTANCES).map(|i| fleet.caller_addr(i)).collect());
    let emulators = join(slots.iter().map(|s| s.address).collect());
    let mut command = Command::new(example_path("load"));
    command
        .args(["--target", &targets, "--emulators", &emulators])
        .args(["--key", KEY, "--route", "quotations", "--tokens", "8"])
        .args(["--requests", &env_or("LONG_REQUESTS", 100_000).to_string()])
        .args(["--rate", &env_or("LONG_RATE", 400.0).to_string()])
        .args(["--concurrency", "200", "--non-idempotent", "0.3"])
        .args(["--seed", &seed.to_string(), "--seconds", "1200"])
        .args(["--stream", "--resend", "--kills", "--json"]);
    Process::start("load", &mut command)
}

/// Injects one failure drawn from the seed, and ends it.
fn inject_failure(
    random: &mut ChaCha8Rng,
    fleet: &mut Fleet,
    slots: &mut [EngineSlot],
    directory: &Path,
) {
    let instance = random.random_range(0..INSTANCES);
    let slot = &mut slots[random.random_range(0..ENGINES.len())];
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
            if let Some(engine) = &mut slot.engine {
                engine.process.kill();
            }
            thread::sleep(pause);
            slot.start(fleet, directory);
        }
        3 => {
            if let Some(engine) = &slot.engine {
                engine.process.freeze();
                thread::sleep(pause);
                engine.process.thaw();
            }
        }
        _ => {
            if let Some(engine) = &mut slot.engine {
                engine.process.terminate();
                engine.process.wait_for_exit();
            }
            slot.start(fleet, directory);
        }
    }
}

/// Guards against wrong answers, non-idempotent requests that start twice, and requests that ran
/// although they were refused as not run. Instances are killed and suspended, engines killed,
/// suspended and terminated for minutes, while callers resend interrupted requests.
#[test]
#[ignore = "takes minutes; run it by hand"]
fn load_with_kills_violates_no_guarantee() {
    let seed = env_or("LONG_SEED", 1);
    println!("seed {seed}");
    let directory = tempfile::tempdir().expect("create a directory");
    let mut fleet = Fleet::with_instances(INSTANCES);
    let mut slots: Vec<_> = (0..ENGINES.len())
        .map(|index| EngineSlot {
            index,
            address: port::free(),
            engine: None,
        })
        .collect();
    for slot in &mut slots {
        slot.start(&fleet, directory.path());
    }
    fleet.wait_until_serving();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut load = start_load(&fleet, &slots, seed);
    let mut failures = 0;
    while load.is_running() {
        thread::sleep(Duration::from_millis(random.random_range(500..2_500)));
        inject_failure(&mut random, &mut fleet, &mut slots, directory.path());
        failures += 1;
    }
    let result: Value = serde_json::from_str(&load.read_lines(1).concat()).expect("a result");
    println!("{failures} failures injected\n{result:#}");
    assert_eq!(result["violations"], 0, "{}", load.log());
}
