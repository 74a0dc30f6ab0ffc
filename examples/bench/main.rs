//! Simulates the routing, fairness and limit policies with small models and a fixed
//! seed, and writes tables (CSV) and plots (SVG).
//!
//! `cargo run --release --example bench -- --out DIR [--seed N]`

mod fairness;
mod fleet;
mod limits;
mod output;
mod routing;

use std::path::PathBuf;

use clap::{Arg, Command, value_parser};

type Failure = Box<dyn std::error::Error + Send + Sync>;

fn main() -> Result<(), Failure> {
    let matches = Command::new("bench")
        .about("Measures the routing, fairness and limit policies over small models")
        .arg(
            Arg::new("out")
                .long("out")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Folder for the tables and plots"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .get_matches();
    let out: &PathBuf = matches.get_one("out").ok_or("missing --out")?;
    let seed = *matches.get_one::<u64>("seed").ok_or("missing --seed")?;
    std::fs::create_dir_all(out)?;
    fairness::run(out, seed)?;
    limits::run(out, seed)?;
    routing::run(out, seed)?;
    Ok(())
}
