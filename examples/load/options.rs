//! Command line of the load tool.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command};

/// One stage of a direct call.
#[derive(Clone, Debug)]
pub(crate) struct Stage {
    pub(crate) upstream: String,
    pub(crate) address: SocketAddr,
    pub(crate) first: u32,
    pub(crate) end: u32,
}

/// What a run does.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Instances, taken in turn.
    pub(crate) targets: Vec<SocketAddr>,
    /// Stages to call without an instance; half of the requests go there.
    pub(crate) direct: Vec<Stage>,
    /// Keys of organisations, taken in turn.
    pub(crate) keys: Vec<String>,
    pub(crate) route: String,
    /// The model that the route stands for, for direct calls.
    pub(crate) model: String,
    /// Layers of the whole model.
    pub(crate) total: u32,
    pub(crate) requests: usize,
    /// Requests a second; 0 sends as fast as the concurrency allows.
    pub(crate) rate: f64,
    pub(crate) concurrency: usize,
    pub(crate) tokens: usize,
    pub(crate) stream: bool,
    pub(crate) chat: bool,
    /// Share of non-idempotent requests, 0 to 1.
    pub(crate) marked: f64,
    /// How often a request without a definite answer is sent again.
    pub(crate) resends: usize,
    /// Whether refusals that weren't run are sent again, too.
    pub(crate) refused: bool,
    /// Whether cuts and lost connections violate no promise (instances are killed).
    pub(crate) kills: bool,
    pub(crate) seed: u64,
    /// Bound on one try.
    pub(crate) timeout: Duration,
    /// No request begins after so long.
    pub(crate) duration: Duration,
    /// `X-Deadline-Ms`, when given.
    pub(crate) deadline: Option<u64>,
    /// Emulators whose executions are checked at the end.
    pub(crate) emulators: Vec<SocketAddr>,
    pub(crate) json: bool,
}

const FIELDS: [(&str, &str, &str); 17] = [
    ("target", "", "Addresses of instances, by comma"),
    (
        "direct",
        "",
        "Stages ID@ADDRESS@FIRST..END, by comma: compare with direct calls",
    ),
    ("key", "key", "Keys of organisations, by comma"),
    ("route", "quotations", "Name of the route"),
    ("model", "quote-7b", "Model, for direct calls"),
    ("total", "32", "Layers of the model"),
    ("requests", "1000", "Number of requests"),
    ("rate", "0", "Requests a second; 0 for no pause"),
    ("concurrency", "100", "Requests at a time"),
    ("tokens", "16", "Tokens of an answer"),
    ("non-idempotent", "0", "Share of non-idempotent requests"),
    ("resends", "5", "Resends of a request, with --resend"),
    ("seed", "1", "Seed of the prompts and choices"),
    ("timeout-ms", "60000", "Bound on one try"),
    ("seconds", "300", "No request begins after so long"),
    ("deadline-ms", "", "Deadline sent with each request"),
    (
        "emulators",
        "",
        "Emulators whose executions are checked, by comma",
    ),
];

const SWITCHES: [(&str, &str); 6] = [
    ("stream", "Ask for streamed answers"),
    ("chat", "Use the chat interface"),
    (
        "resend",
        "Resend with the same key after an unknown outcome, through another target",
    ),
    (
        "resend-refused",
        "Resend refused requests that were not run, too",
    ),
    ("kills", "Instances are killed meanwhile: cuts are expected"),
    ("json", "Print the result as JSON"),
];

/// The command line.
pub(crate) fn command() -> Command {
    let base = Command::new("load").about("Loads instances and verifies every answer exactly");
    let base = FIELDS.iter().fold(base, |command, (name, default, help)| {
        let arg = Arg::new(*name).long(*name).default_value(*default);
        command.arg(arg.help(*help))
    });
    SWITCHES.iter().fold(base, |command, (name, help)| {
        let arg = Arg::new(*name).long(*name).action(ArgAction::SetTrue);
        command.arg(arg.help(*help))
    })
}

/// Reads the command line; the error names the flag.
pub(crate) fn options(matches: &ArgMatches) -> Result<Options, String> {
    let text =
        |name: &str| -> String { matches.get_one::<String>(name).cloned().unwrap_or_default() };
    let millis = |name: &str| number::<u64>(matches, name).map(Duration::from_millis);
    let resends = number(matches, "resends")?;
    Ok(Options {
        targets: list(&text("target"), address)?,
        direct: list(&text("direct"), stage)?,
        keys: list(&text("key"), |k| Ok(k.to_owned()))?,
        route: text("route"),
        model: text("model"),
        total: number(matches, "total")?,
        requests: number(matches, "requests")?,
        rate: number(matches, "rate")?,
        concurrency: number(matches, "concurrency")?,
        tokens: number(matches, "tokens")?,
        stream: matches.get_flag("stream"),
        chat: matches.get_flag("chat"),
        marked: number(matches, "non-idempotent")?,
        resends: if matches.get_flag("resend") {
            resends
        } else {
            0
        },
        refused: matches.get_flag("resend-refused"),
        kills: matches.get_flag("kills"),
        seed: number(matches, "seed")?,
        timeout: millis("timeout-ms")?,
        duration: Duration::from_secs(number(matches, "seconds")?),
        deadline: match text("deadline-ms") {
            empty if empty.is_empty() => None,
            _ => Some(number(matches, "deadline-ms")?),
        },
        emulators: list(&text("emulators"), address)?,
        json: matches.get_flag("json"),
    })
}

fn number<T: std::str::FromStr>(matches: &ArgMatches, name: &str) -> Result<T, String> {
    let text = matches.get_one::<String>(name).map_or("", String::as_str);
    text.parse().map_err(|_| format!("--{name}: give a number"))
}

fn list<T>(text: &str, parse: impl Fn(&str) -> Result<T, String>) -> Result<Vec<T>, String> {
    let parts = text.split(',').filter(|part| !part.is_empty());
    parts.map(parse).collect()
}

fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{text:?}: give IP:PORT"))
}

fn stage(text: &str) -> Result<Stage, String> {
    let fault = || format!("{text:?}: give ID@ADDRESS@FIRST..END");
    let mut parts = text.split('@');
    let (Some(id), Some(at), Some(range)) = (parts.next(), parts.next(), parts.next()) else {
        return Err(fault());
    };
    let (first, end) = range.split_once("..").ok_or_else(fault)?;
    Ok(Stage {
        upstream: id.to_owned(),
        address: address(at)?,
        first: first.parse().map_err(|_| fault())?,
        end: end.parse().map_err(|_| fault())?,
    })
}
