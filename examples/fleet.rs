//! Measures a simulated fleet: what an instance spends at rest, how soon a
//! dead instance is found out, how soon a leaving upstream is dropped, and how
//! right instances are about load.
//!
//! `cargo run --release --example fleet -- rest|detect|leave|load HOSTS UPSTREAMS [RESTLESS] [LOSS]`
//!
//! `RESTLESS` is the chance a second that an upstream's load changes, `LOSS`
//! the part of datagrams that is lost. Bytes include 28 of headers for each
//! datagram. One CSV line is printed.

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use std::time::Duration;

use laburnumquay::{MemberState, Time, UpstreamState};
use simulation::{Simulation, SimulationSettings};

const WARM_UP: Duration = Duration::from_secs(60);
const SPAN: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(20);
const LIMIT: Duration = Duration::from_secs(120);
const TRIALS: usize = 10;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let number = |i: usize, default: f64| -> f64 {
        args.get(i)
            .map_or(default, |a| a.parse().expect("a number"))
    };
    let settings = SimulationSettings {
        seed: 1,
        hosts: number(2, 9.0) as usize,
        domains: 7,
        upstreams: number(3, 40.0) as usize,
        loss: number(5, 0.0),
        duplicate: 0.0,
        late: 0.0,
        load_churn: number(4, 0.1),
    };
    let (hosts, upstreams, restless) = (settings.hosts, settings.upstreams, settings.load_churn);
    print!(
        "{},{hosts},{upstreams},{restless},{},",
        args[1], settings.loss
    );
    let before = resident();
    let mut sim = Simulation::new(settings);
    sim.run(WARM_UP, |_| ());
    match args[1].as_str() {
        "rest" => rest(&mut sim, before),
        "detect" => detect(&mut sim),
        "leave" => leave(&mut sim),
        "load" => load(&mut sim),
        other => panic!("{other}: use rest, detect, leave or load"),
    }
}

/// Prints bytes and datagrams sent, bytes received, each a second and
/// instance, the highest of one instance, microseconds of processor time a
/// second, and kilobytes of memory, each of an instance.
fn rest(sim: &mut Simulation, before: u64) {
    let start: Vec<_> = counts(sim);
    sim.run(SPAN, |_| ());
    let end = counts(sim);
    let seconds = SPAN.as_secs_f64();
    let rates = |f: &dyn Fn(&[u64; 4]) -> u64| -> Vec<f64> {
        let pairs = start.iter().zip(&end);
        pairs.map(|(a, b)| (f(b) - f(a)) as f64 / seconds).collect()
    };
    let sent = rates(&|c| c[0]);
    let received = rates(&|c| c[1]);
    let total = rates(&|c| c[0] + c[1]);
    let highest = total.iter().copied().fold(0.0, f64::max);
    println!(
        "{:.0},{:.0},{:.1},{highest:.0},{:.0},{:.0}",
        mean(&sent),
        mean(&received),
        mean(&rates(&|c| c[2])),
        mean(&rates(&|c| c[3])),
        (resident() - before) as f64 / sim.hosts.len() as f64,
    );
}

fn counts(sim: &Simulation) -> Vec<[u64; 4]> {
    let count = |h: &simulation::Host| {
        let micros = h.cpu_time.as_micros() as u64;
        [h.bytes_sent, h.bytes_received, h.datagrams_sent, micros]
    };
    sim.hosts.iter().map(count).collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Kilobytes of memory that this process has in use.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS"));
    let digits = line.and_then(|l| l.split_whitespace().nth(1));
    digits.and_then(|d| d.parse().ok()).unwrap_or(0)
}

/// Prints the first, median, 99th percentile and last time, in milliseconds,
/// at which another instance holds a crashed one for dead.
fn detect(sim: &mut Simulation) {
    let mut times = Vec::new();
    for trial in 0..TRIALS {
        let victim = (trial * 7 + 3) % sim.hosts.len();
        sim.crash(victim);
        let others: Vec<_> = (0..sim.hosts.len()).filter(|h| *h != victim).collect();
        let dead = |sim: &mut Simulation, h: usize| {
            sim.state(h, victim).is_some_and(|s| s >= MemberState::Dead)
        };
        times.extend(wait_for(sim, &others, dead));
        sim.start(victim);
        sim.run(WARM_UP, |_| ());
    }
    report(times);
}

/// The same for an upstream that announces that it leaves.
fn leave(sim: &mut Simulation) {
    let mut times = Vec::new();
    for trial in 0..TRIALS {
        sim.end_upstream(trial, UpstreamState::Leaving);
        let all: Vec<_> = (0..sim.hosts.len()).collect();
        times.extend(wait_for(sim, &all, |sim, h| !sim.uses(h, trial)));
        sim.run(10 * STEP, |_| ());
    }
    report(times);
}

/// Prints the mean difference of running sequences between what instances
/// hold and what is, and the part of instances and upstreams where one says
/// that work waits and the other doesn't.
fn load(sim: &mut Simulation) {
    let (mut pairs, mut difference, mut opposite) = (0.0, 0.0, 0.0);
    for _ in 0..TRIALS {
        sim.run(3 * WARM_UP / 60, |_| ());
        for host in 0..sim.hosts.len() {
            let now = sim.clock(host);
            let node = sim.hosts[host].node.as_mut().expect("no host crashes");
            let view = node.upstreams(now);
            for upstream in &sim.upstreams {
                let truth = upstream.announcement.load;
                let Some(held) = view.get(&upstream.announcement.id) else {
                    continue;
                };
                pairs += 1.0;
                difference += f64::from(held.load.running.abs_diff(truth.running));
                opposite += f64::from((held.load.waiting == 0) != (truth.waiting == 0));
            }
        }
    }
    println!("{pairs},{:.2},{:.3}", difference / pairs, opposite / pairs);
}

/// Times from now at which `met` first holds for each host, in milliseconds.
fn wait_for(
    sim: &mut Simulation,
    hosts: &[usize],
    met: impl Fn(&mut Simulation, usize) -> bool,
) -> Vec<u64> {
    let start: Time = sim.now;
    let mut waiting = hosts.to_vec();
    let mut times = Vec::new();
    while !waiting.is_empty() && sim.now.since(start) < LIMIT {
        let passed = sim.now.since(start).as_millis() as u64;
        waiting.retain(|h| {
            let done = met(sim, *h);
            times.extend(done.then_some(passed));
            !done
        });
        sim.run(STEP, |_| ());
    }
    assert!(waiting.is_empty(), "not met at {waiting:?}");
    times
}

fn report(mut times: Vec<u64>) {
    times.sort_unstable();
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
    println!("{},{},{},{}", at(0.0), at(0.5), at(0.99), at(1.0));
}
