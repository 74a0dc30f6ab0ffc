//! Plays a case of the review against the project's own programs: `rig CASE FOLDER`. Exits with 1 if
//! the rule was broken, 0 if it held, 2 if the case couldn't run. With `TROUBLE=0` in the
//! environment, the case does the same without its disruption.

use std::path::Path;
use std::process::ExitCode;

mod drained;
mod encoded;
mod engine;
mod fleet;
mod http;
mod memory;
mod record;
mod refused;
mod silent;

use record::Record;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    NotRun(&'static str),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let Ok(record) = Record::create(Path::new(folder)) else {
        return ExitCode::from(2);
    };
    record.line(&format!("case {case}, TROUBLE={}", u8::from(trouble)));
    let outcome = match case.as_str() {
        "refused" => refused::play(&record, trouble),
        "silent" => silent::play(&record, trouble),
        "encoded" => encoded::play(&record, trouble),
        "drained" => drained::play(&record, trouble),
        "memory" => memory::play(&record, trouble),
        _ => Outcome::NotRun("there is no such case"),
    };
    match outcome {
        Outcome::Held => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Broken => {
            record.line("the rule was BROKEN");
            ExitCode::from(1)
        }
        Outcome::NotRun(reason) => {
            record.line(&format!("the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}
