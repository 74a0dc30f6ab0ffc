//! Command line of the emulator, which runs one upstream or several.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command};
use serde_json::{Value, json};

/// Properties of one emulated upstream.
#[derive(Clone, Debug)]
pub(crate) struct Spec {
    pub(crate) listen: SocketAddr,
    /// Address to announce instead of the one listened on.
    pub(crate) advertise: Option<SocketAddr>,
    pub(crate) id: String,
    pub(crate) pool: String,
    pub(crate) domain: String,
    pub(crate) kind: Kind,
    pub(crate) credential: String,
    /// Control addresses of the instances to announce to; may be empty.
    pub(crate) announce: Vec<SocketAddr>,
    /// Maximum number of concurrent sequences or calls.
    pub(crate) slots: usize,
    /// Latency of a token through the engine's range, or of a service call, in milliseconds.
    pub(crate) delay_ms: u64,
    /// Minimum time that a leaving upstream stays, in milliseconds.
    pub(crate) linger_ms: u64,
    /// File in which begun attempts survive a kill of the process.
    pub(crate) journal: Option<PathBuf>,
}

/// Kind of upstream.
#[derive(Clone, Debug)]
pub(crate) enum Kind {
    /// Model engine that holds the layers `first..end` of `total`.
    Engine {
        model: String,
        version: String,
        first: u32,
        end: u32,
        total: u32,
        accelerator: String,
        /// Rate limit in tokens a second; 0 means unlimited, announced as 1,000,000.
        rate: u64,
        /// Network bandwidth in Mbit/s; only announced, not emulated.
        link: u64,
    },
    Service {
        name: String,
    },
}

const UNLIMITED_RATE: u64 = 1_000_000;

impl Spec {
    /// Value of the `serves` field of an announcement.
    pub(crate) fn serves(&self) -> Value {
        match &self.kind {
            Kind::Service { name } => json!({"service": {"name": name, "slots": self.slots}}),
            Kind::Engine {
                model,
                version,
                first,
                end,
                total,
                accelerator,
                rate,
                link,
            } => {
                let rate = if *rate == 0 { UNLIMITED_RATE } else { *rate };
                json!({"engine": {
                    "model": model, "version": version,
                    "first": first, "end": end, "total": total,
                    "accelerator": accelerator, "rate": rate,
                    "slots": self.slots, "link": link,
                }})
            }
        }
    }
}

const FIELDS: [(&str, &str, &str); 18] = [
    ("listen", "127.0.0.1:0", "Address to listen on"),
    (
        "advertise",
        "",
        "Address to announce instead, of a proxy before it",
    ),
    ("id", "eng-1", "Identifier of the upstream"),
    ("pool", "attiki", "Pool of the catalogue"),
    ("domain", "peristeri", "Failure domain"),
    ("model", "quote-7b", "Model that the engine holds"),
    ("version", "1", "Version of the model"),
    ("layers", "0..32", "Layers that the engine holds"),
    ("total", "32", "Layers of the whole model"),
    ("accelerator", "a", "Kind of accelerator"),
    (
        "service",
        "",
        "Name of a plain service, instead of an engine",
    ),
    ("credential", "", "Credential of the pool"),
    ("announce", "", "Control addresses of instances, by comma"),
    ("token-ms", "5", "Latency of a token or service call"),
    ("slots", "32", "Concurrent sequences or calls"),
    ("rate", "400", "Tokens a second; 0 for no bound"),
    ("link", "1000", "Network link in Mbit/s"),
    (
        "journal",
        "",
        "File that keeps begun attempts through a kill",
    ),
];

/// Defines the command line.
pub(crate) fn command() -> Command {
    let base = Command::new("emulator")
        .about("Emulates model engines and plain services")
        .arg(
            Arg::new("also")
                .long("also")
                .action(ArgAction::Append)
                .help("A further upstream: NAME=VALUE;NAME=VALUE over the flags"),
        )
        .arg(
            Arg::new("linger-ms")
                .long("linger-ms")
                .default_value("1000")
                .help("How long a leaving upstream stays at least"),
        )
        .arg(
            Arg::new("threads")
                .long("threads")
                .default_value("2")
                .help("Worker threads"),
        );
    FIELDS.iter().fold(base, |command, (name, default, help)| {
        let arg = Arg::new(*name).long(*name).default_value(*default);
        command.arg(arg.help(*help).overrides_with(*name))
    })
}

/// Parses the upstreams given on the command line.
pub(crate) fn parse_specs(matches: &ArgMatches) -> Result<Vec<Spec>, String> {
    let also = matches.get_many::<String>("also").unwrap_or_default();
    let mut specs = vec![parse_spec(matches, &[])?];
    for text in also {
        let overrides: Vec<_> = text.split(';').filter_map(|p| p.split_once('=')).collect();
        if let Some((name, _)) = overrides
            .iter()
            .find(|(n, _)| FIELDS.iter().all(|f| f.0 != *n))
        {
            return Err(format!("--also: unknown field {name}"));
        }
        specs.push(parse_spec(matches, &overrides)?);
    }
    Ok(specs)
}

fn parse_spec(matches: &ArgMatches, overrides: &[(&str, &str)]) -> Result<Spec, String> {
    let text = |name: &str| -> String {
        overrides
            .iter()
            .find(|(n, _)| *n == name)
            .map(|(_, value)| (*value).to_owned())
            .or_else(|| matches.get_one::<String>(name).cloned())
            .unwrap_or_default()
    };
    let number = |name: &str| -> Result<u64, String> {
        text(name)
            .parse()
            .map_err(|_| format!("--{name}: expected a whole number"))
    };
    let address = |text: &str| -> Result<SocketAddr, String> {
        text.parse()
            .map_err(|_| format!("{text:?}: expected IP:PORT"))
    };
    let announce = text("announce")
        .split(',')
        .filter(|part| !part.is_empty())
        .map(address)
        .collect::<Result<_, _>>()?;
    let kind = match text("service") {
        name if !name.is_empty() => Kind::Service { name },
        _ => {
            let (first, end) = parse_range(&text("layers"))?;
            Kind::Engine {
                model: text("model"),
                version: text("version"),
                first,
                end,
                total: number("total")? as u32,
                accelerator: text("accelerator"),
                rate: number("rate")?,
                link: number("link")?,
            }
        }
    };
    Ok(Spec {
        listen: address(&text("listen"))?,
        advertise: match text("advertise") {
            empty if empty.is_empty() => None,
            given => Some(address(&given)?),
        },
        id: text("id"),
        pool: text("pool"),
        domain: text("domain"),
        kind,
        credential: text("credential"),
        announce,
        slots: number("slots")? as usize,
        delay_ms: number("token-ms")?,
        linger_ms: number("linger-ms")?,
        journal: Some(text("journal"))
            .filter(|path| !path.is_empty())
            .map(PathBuf::from),
    })
}

fn parse_range(text: &str) -> Result<(u32, u32), String> {
    text.split_once("..")
        .and_then(|(first, end)| Some((first.parse().ok()?, end.parse().ok()?)))
        .filter(|(first, end)| first < end)
        .ok_or_else(|| format!("--layers {text:?}: expected FIRST..END"))
}
