//! Measures a simulated fleet: the cost of an idle instance, the time to detect a
//! crashed instance, the time until a leaving upstream is no longer used, and the
//! accuracy of the load that instances know.
//!
//! `cargo run --release --example fleet -- rest|detect|leave|load HOSTS UPSTREAMS [CHURN] [LOSS]`
//!
//! `CHURN` is the probability per second that the load of an upstream changes,
//! `LOSS` the fraction of datagrams that are lost. Byte counts include 28 bytes of
//! headers per datagram. The result is one CSV line.

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use std::time::Duration;

use laburnumquay::{MemberState, Time, UpstreamState};
use simulation::{Simulation, SimulationSettings};

const WARM_UP: Duration = Duration::from_secs(60);
const MEASUREMENT: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(20);
const WAIT_LIMIT: Duration = Duration::from_secs(120);
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
    let (hosts, upstreams, churn) = (settings.hosts, settings.upstreams, settings.load_churn);
    print!("{},{hosts},{upstreams},{churn},{},", args[1], settings.loss);
    let memory_before = resident_kb();
    let mut sim = Simulation::new(settings);
    sim.run(WARM_UP, |_| ());
    match args[1].as_str() {
        "rest" => measure_idle(&mut sim, memory_before),
        "detect" => measure_detection(&mut sim),
        "leave" => measure_leaving(&mut sim),
        "load" => measure_load_error(&mut sim),
        other => panic!("{other}: use rest, detect, leave or load"),
    }
}

/// Prints, per instance and second: bytes sent, bytes received, datagrams sent, the highest
/// traffic of an instance in bytes, and processor time in microseconds. The last column is
/// the memory per instance in kilobytes.
fn measure_idle(sim: &mut Simulation, memory_before: u64) {
    let start: Vec<_> = host_counters(sim);
    sim.run(MEASUREMENT, |_| ());
    let end = host_counters(sim);
    let seconds = MEASUREMENT.as_secs_f64();
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
        (resident_kb() - memory_before) as f64 / sim.hosts.len() as f64,
    );
}

fn host_counters(sim: &Simulation) -> Vec<[u64; 4]> {
    let count = |h: &simulation::Host| {
        let micros = h.cpu_time.as_micros() as u64;
        [h.bytes_sent, h.bytes_received, h.datagrams_sent, micros]
    };
    sim.hosts.iter().map(count).collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Resident memory of this process in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS"));
    let digits = line.and_then(|l| l.split_whitespace().nth(1));
    digits.and_then(|d| d.parse().ok()).unwrap_or(0)
}

/// Prints the minimum, median, 99th percentile and maximum time, in milliseconds, until
/// another instance considers a crashed one dead.
fn measure_detection(sim: &mut Simulation) {
    let mut times = Vec::new();
    for trial in 0..TRIALS {
        let victim = (trial * 7 + 3) % sim.hosts.len();
        sim.crash(victim);
        let others: Vec<_> = (0..sim.hosts.len()).filter(|h| *h != victim).collect();
        let dead = |sim: &mut Simulation, h: usize| {
            sim.state(h, victim).is_some_and(|s| s >= MemberState::Dead)
        };
        times.extend(time_until(sim, &others, dead));
        sim.start(victim);
        sim.run(WARM_UP, |_| ());
    }
    print_quantiles(times);
}

/// Prints the same quantiles of the time until an instance stops using a leaving upstream.
fn measure_leaving(sim: &mut Simulation) {
    let mut times = Vec::new();
    for trial in 0..TRIALS {
        sim.end_upstream(trial, UpstreamState::Leaving);
        let all: Vec<_> = (0..sim.hosts.len()).collect();
        times.extend(time_until(sim, &all, |sim, h| !sim.uses(h, trial)));
        sim.run(10 * STEP, |_| ());
    }
    print_quantiles(times);
}

/// Prints the number of samples (an instance and an upstream each), the mean absolute error
/// of the known number of running sequences, and the fraction of samples in which the known
/// and the actual load disagree on whether work is waiting.
fn measure_load_error(sim: &mut Simulation) {
    let (mut pairs, mut difference, mut mismatches) = (0.0, 0.0, 0.0);
    for _ in 0..TRIALS {
        sim.run(3 * WARM_UP / 60, |_| ());
        for host in 0..sim.hosts.len() {
            let now = sim.clock(host);
            let node = sim.hosts[host].node.as_mut().expect("no host crashes");
            let view = node.upstreams(now);
            for upstream in &sim.upstreams {
                let actual = upstream.announcement.load;
                let Some(known) = view.get(&upstream.announcement.id) else {
                    continue;
                };
                pairs += 1.0;
                difference += f64::from(known.load.running.abs_diff(actual.running));
                mismatches += f64::from((known.load.waiting == 0) != (actual.waiting == 0));
            }
        }
    }
    println!(
        "{pairs},{:.2},{:.3}",
        difference / pairs,
        mismatches / pairs
    );
}

/// Time until `condition` first holds on each host, in milliseconds.
fn time_until(
    sim: &mut Simulation,
    hosts: &[usize],
    condition: impl Fn(&mut Simulation, usize) -> bool,
) -> Vec<u64> {
    let start: Time = sim.now;
    let mut waiting = hosts.to_vec();
    let mut times = Vec::new();
    while !waiting.is_empty() && sim.now.since(start) < WAIT_LIMIT {
        let passed = sim.now.since(start).as_millis() as u64;
        waiting.retain(|h| {
            let done = condition(sim, *h);
            times.extend(done.then_some(passed));
            !done
        });
        sim.run(STEP, |_| ());
    }
    assert!(waiting.is_empty(), "condition not met on hosts {waiting:?}");
    times
}

fn print_quantiles(mut times: Vec<u64>) {
    times.sort_unstable();
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize];
    println!("{},{},{},{}", at(0.0), at(0.5), at(0.99), at(1.0));
}
