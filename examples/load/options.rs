//! Command line of the load tool.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command};

/// Stage of a direct call.
#[derive(Clone, Debug)]
pub(crate) struct Stage {
    pub(crate) upstream: String,
    pub(crate) address: SocketAddr,
    pub(crate) first: u32,
    pub(crate) end: u32,
}

/// Options of a run.
#[derive(Clone, Debug)]
pub(crate) struct Options {
    /// Addresses of instances, used in turn.
    pub(crate) targets: Vec<SocketAddr>,
    /// Stages to call directly. If targets are given, too, every second request goes to these.
    pub(crate) direct: Vec<Stage>,
    /// Keys of organisations, used in turn.
    pub(crate) keys: Vec<String>,
    pub(crate) route: String,
    /// Model behind the route, for direct calls.
    pub(crate) model: String,
    /// Number of layers of the whole model.
    pub(crate) layers: u32,
    pub(crate) requests: usize,
    /// Requests per second; 0 sends as fast as the concurrency allows.
    pub(crate) rate: f64,
    pub(crate) concurrency: usize,
    pub(crate) tokens: usize,
    pub(crate) stream: bool,
    pub(crate) chat: bool,
    /// Fraction of non-idempotent requests, 0 to 1.
    pub(crate) non_idempotent: f64,
    /// Maximum number of resends of a request without a definite answer.
    pub(crate) resends: usize,
    /// Whether refused requests that weren't run are resent, too.
    pub(crate) resend_refused: bool,
    /// Whether instances are killed during the run, so that interrupted answers and failed
    /// connections are no violations.
    pub(crate) kills: bool,
    pub(crate) seed: u64,
    /// Time limit of one call.
    pub(crate) timeout: Duration,
    /// Time after which no more requests are started.
    pub(crate) duration: Duration,
    /// Value of `X-Deadline-Ms`, if set.
    pub(crate) deadline: Option<u64>,
    /// Emulators whose execution counts are checked at the end.
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

/// Defines the command line.
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

/// Parses the command line. An error names the flag or the value.
pub(crate) fn parse_options(matches: &ArgMatches) -> Result<Options, String> {
    let text =
        |name: &str| -> String { matches.get_one::<String>(name).cloned().unwrap_or_default() };
    let millis = |name: &str| parse_number::<u64>(matches, name).map(Duration::from_millis);
    let resends = parse_number(matches, "resends")?;
    Ok(Options {
        targets: parse_list(&text("target"), parse_address)?,
        direct: parse_list(&text("direct"), parse_stage)?,
        keys: parse_list(&text("key"), |k| Ok(k.to_owned()))?,
        route: text("route"),
        model: text("model"),
        layers: parse_number(matches, "total")?,
        requests: parse_number(matches, "requests")?,
        rate: parse_number(matches, "rate")?,
        concurrency: parse_number(matches, "concurrency")?,
        tokens: parse_number(matches, "tokens")?,
        stream: matches.get_flag("stream"),
        chat: matches.get_flag("chat"),
        non_idempotent: parse_number(matches, "non-idempotent")?,
        resends: if matches.get_flag("resend") {
            resends
        } else {
            0
        },
        resend_refused: matches.get_flag("resend-refused"),
        kills: matches.get_flag("kills"),
        seed: parse_number(matches, "seed")?,
        timeout: millis("timeout-ms")?,
        duration: Duration::from_secs(parse_number(matches, "seconds")?),
        deadline: match text("deadline-ms") {
            empty if empty.is_empty() => None,
            _ => Some(parse_number(matches, "deadline-ms")?),
        },
        emulators: parse_list(&text("emulators"), parse_address)?,
        json: matches.get_flag("json"),
    })
}

fn parse_number<T: std::str::FromStr>(matches: &ArgMatches, name: &str) -> Result<T, String> {
    let text = matches.get_one::<String>(name).map_or("", String::as_str);
    text.parse()
        .map_err(|_| format!("--{name}: expected a number"))
}

fn parse_list<T>(text: &str, parse: impl Fn(&str) -> Result<T, String>) -> Result<Vec<T>, String> {
    let parts = text.split(',').filter(|part| !part.is_empty());
    parts.map(parse).collect()
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("{text:?}: expected IP:PORT"))
}

fn parse_stage(text: &str) -> Result<Stage, String> {
    let invalid = || format!("{text:?}: expected ID@ADDRESS@FIRST..END");
    let mut parts = text.split('@');
    let (Some(id), Some(at), Some(range)) = (parts.next(), parts.next(), parts.next()) else {
        return Err(invalid());
    };
    let (first, end) = range.split_once("..").ok_or_else(invalid)?;
    Ok(Stage {
        upstream: id.to_owned(),
        address: parse_address(at)?,
        first: first.parse().map_err(|_| invalid())?,
        end: end.parse().map_err(|_| invalid())?,
    })
}
