//! Comparison of the routing policies on the engine model.

use std::path::Path;
use std::sync::Mutex;

use laburnumquay::{FlowShares, GreedyCheapest, LeastInFlight, Policy, RoundRobin};

use crate::Failure;
use crate::fleet::{Fault, Fleet, Mix, Setup, Stats};
use crate::output::{Series, draw_plot, write_table};

/// Number of concurrent runs; low, to leave processors to other work on the machine.
const THREADS: usize = 4;

const POLICIES: [&str; 4] = [
    "flow shares",
    "round robin",
    "least in flight",
    "greedy cheapest",
];

fn policy(name: &str) -> Box<dyn Policy> {
    match name {
        "flow shares" => Box::new(FlowShares),
        "round robin" => Box::new(RoundRobin::default()),
        "least in flight" => Box::new(LeastInFlight),
        _ => Box::new(GreedyCheapest),
    }
}

type Job = (&'static str, Setup);

/// Runs all jobs. Returns the results in the order of the jobs.
fn run_all(jobs: &[Job]) -> Vec<Stats> {
    let next = Mutex::new(0);
    let results = Mutex::new(vec![Stats::default(); jobs.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let i = {
                        let mut next = next.lock().expect("unpoisoned");
                        *next += 1;
                        *next - 1
                    };
                    let Some(&(name, setup)) = jobs.get(i) else {
                        return;
                    };
                    let stats = Fleet::new(setup, || policy(name)).run();
                    results.lock().expect("unpoisoned")[i] = stats;
                }
            });
        }
    });
    results.into_inner().expect("unpoisoned")
}

fn base_setup(seed: u64) -> Setup {
    Setup {
        engines: 75,
        mix: Mix::Mixed,
        instances: 9,
        report_age: 0.5,
        load: 0.8,
        fault: Fault::None,
        seconds: 36.0,
        seed,
    }
}

fn jobs(setups: &[Setup]) -> Vec<Job> {
    let each = |&name| setups.iter().map(move |&s| (name, s));
    POLICIES.iter().flat_map(each).collect()
}

fn ms(seconds: f64) -> String {
    format!("{:.0}", seconds * 1000.0)
}

fn stats_row(name: &str, first: String, f: &Stats) -> Vec<String> {
    vec![
        name.to_owned(),
        first,
        format!("{:.3}", f.offered),
        format!("{:.3}", f.throughput),
        ms(f.first[0]),
        ms(f.first[1]),
        ms(f.first[2]),
        ms(f.between[0]),
        ms(f.between[1]),
        f.given_up.to_string(),
    ]
}

const STAT_COLUMNS: [&str; 8] = [
    "offered by bound",
    "work by bound",
    "first token p50 ms",
    "p95 ms",
    "p99 ms",
    "between tokens p50 ms",
    "p95 ms",
    "given up",
];

/// Runs all policies with each setup and writes a table of the results.
fn run_table(
    out: &Path,
    name: &str,
    axis: &str,
    setups: &[Setup],
    label: impl Fn(&Setup) -> String,
) -> Result<Vec<Stats>, Failure> {
    let jobs = jobs(setups);
    let results = run_all(&jobs);
    let rows = jobs.iter().zip(&results);
    let rows: Vec<_> = rows
        .map(|((policy, setup), f)| stats_row(policy, label(setup), f))
        .collect();
    let header: Vec<&str> = ["policy", axis].into_iter().chain(STAT_COLUMNS).collect();
    write_table(out, name, &header, &rows)?;
    Ok(results)
}

/// Does the same as [`run_table`] and plots the results over `x`.
fn run_sweep(
    out: &Path,
    name: &str,
    axis: &str,
    setups: &[Setup],
    x: impl Fn(&Setup) -> f64,
) -> Result<(), Failure> {
    let results = run_table(out, name, axis, setups, |s| x(s).to_string())?;
    let series_of = |pick: &dyn Fn(&Stats) -> f64| -> Vec<Series> {
        let parts = results.chunks(setups.len()).zip(POLICIES);
        let line = parts.map(|(part, name)| Series {
            name: name.to_owned(),
            points: setups
                .iter()
                .zip(part)
                .map(|(s, f)| (x(s), pick(f)))
                .collect(),
        });
        line.collect()
    };
    let log = axis != "load";
    draw_plot(
        out,
        &format!("{name}-work"),
        (axis, "work by bound"),
        log,
        &series_of(&|f| f.throughput),
    )?;
    draw_plot(
        out,
        &format!("{name}-between"),
        (axis, "between tokens p95 s"),
        log,
        &series_of(&|f| f.between[1]),
    )?;
    draw_plot(
        out,
        &format!("{name}-first"),
        (axis, "first token p95 s"),
        log,
        &series_of(&|f| f.first[1]),
    )
}

pub(crate) fn run(out: &Path, seed: u64) -> Result<(), Failure> {
    let base = base_setup(seed);
    let loads = [0.5, 0.8, 0.95, 1.2].map(|load| Setup { load, ..base });
    run_sweep(out, "load", "load", &loads, |s| s.load)?;
    let counts = [1, 9, 90, 360].map(|instances| Setup {
        instances,
        report_age: 1.0,
        load: 1.2,
        seconds: 120.0,
        ..base
    });
    run_sweep(out, "instances", "instances", &counts, |s| {
        s.instances as f64
    })?;
    let lags = [0.1, 0.5, 1.0, 2.0, 5.0].map(|report_age| Setup {
        report_age,
        instances: 90,
        load: 0.95,
        ..base
    });
    run_sweep(out, "lag", "report lag s", &lags, |s| s.report_age)?;
    let mixes = [Mix::Mixed, Mix::Equal, Mix::SlowLinks, Mix::SomeWhole];
    let mixes = mixes.map(|mix| Setup {
        mix,
        load: 1.2,
        instances: 90,
        ..base
    });
    run_table(out, "mixes", "mix", &mixes, |s| format!("{:?}", s.mix))?;
    let large = [0.8, 0.95, 1.2].map(|load| Setup {
        load,
        engines: 600,
        instances: 360,
        report_age: 1.0,
        ..base
    });
    run_table(out, "large", "load", &large, |s| s.load.to_string())?;
    run_faults(out, base)
}

fn run_faults(out: &Path, base: Setup) -> Result<(), Failure> {
    let kinds = [Fault::None, Fault::Engine, Fault::Link, Fault::Domain];
    let setups = kinds.map(|fault| Setup {
        fault,
        load: 0.6,
        ..base
    });
    let jobs = jobs(&setups);
    let results = run_all(&jobs);
    let rows = jobs.iter().zip(&results).map(|((policy, setup), f)| {
        vec![
            (*policy).to_owned(),
            format!("{:?}", setup.fault),
            format!("{:.3}", f.after),
            format!("{:.2}", f.recovery),
            ms(f.first[1]),
            ms(f.between[1]),
            f.failed.to_string(),
            format!("{:.4}", f.wasted),
            f.given_up.to_string(),
        ]
    });
    let header = [
        "policy",
        "lost",
        "work in 10 s after by offered",
        "0.9 of offered again after s",
        "first token p95 ms",
        "between tokens p95 ms",
        "failed attempts",
        "wasted work",
        "given up",
    ];
    write_table(out, "faults", &header, &rows.collect::<Vec<_>>())
}
