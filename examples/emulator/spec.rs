//! Command line of the emulator: one upstream, and further ones beside it.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command};
use serde_json::{Value, json};

/// What one emulated upstream is and announces.
#[derive(Clone, Debug)]
pub(crate) struct Spec {
    pub(crate) listen: SocketAddr,
    /// Announced in place of the own address.
    pub(crate) advertise: Option<SocketAddr>,
    pub(crate) id: String,
    pub(crate) pool: String,
    pub(crate) domain: String,
    pub(crate) kind: Kind,
    pub(crate) credential: String,
    /// Control addresses of instances; may be empty.
    pub(crate) announce: Vec<SocketAddr>,
    /// Concurrent sequences or calls.
    pub(crate) slots: usize,
    /// Latency of a token through the own range, or of a service call, in milliseconds.
    pub(crate) delay: u64,
    /// How long a leaving upstream stays at least, in milliseconds.
    pub(crate) linger: u64,
    /// File that keeps begun attempts through a kill.
    pub(crate) journal: Option<PathBuf>,
}

/// An engine or a plain service.
#[derive(Clone, Debug)]
pub(crate) enum Kind {
    /// Holds layers `first` to `end` of `total`.
    Engine {
        model: String,
        version: String,
        first: u32,
        end: u32,
        total: u32,
        accelerator: String,
        /// Tokens a second through the range, kept to; 0 announces 1,000,000 and isn't kept to.
        rate: u64,
        /// Network link in Mbit/s, announced only.
        link: u64,
    },
    Service {
        name: String,
    },
}

const UNLIMITED_RATE: u64 = 1_000_000;

impl Spec {
    /// The `serves` field of an announcement.
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

/// The command line.
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

/// All upstreams that the command line asks for.
pub(crate) fn specs(matches: &ArgMatches) -> Result<Vec<Spec>, String> {
    let also = matches.get_many::<String>("also").unwrap_or_default();
    let mut specs = vec![spec(matches, &[])?];
    for text in also {
        let over: Vec<_> = text.split(';').filter_map(|p| p.split_once('=')).collect();
        if let Some((name, _)) = over.iter().find(|(n, _)| FIELDS.iter().all(|f| f.0 != *n)) {
            return Err(format!("--also: no field {name}"));
        }
        specs.push(spec(matches, &over)?);
    }
    Ok(specs)
}

fn spec(matches: &ArgMatches, over: &[(&str, &str)]) -> Result<Spec, String> {
    let text = |name: &str| -> String {
        over.iter()
            .find(|(n, _)| *n == name)
            .map(|(_, value)| (*value).to_owned())
            .or_else(|| matches.get_one::<String>(name).cloned())
            .unwrap_or_default()
    };
    let number = |name: &str| -> Result<u64, String> {
        text(name)
            .parse()
            .map_err(|_| format!("--{name}: give a whole number"))
    };
    let address = |text: &str| -> Result<SocketAddr, String> {
        text.parse().map_err(|_| format!("{text:?}: give IP:PORT"))
    };
    let announce = text("announce")
        .split(',')
        .filter(|part| !part.is_empty())
        .map(address)
        .collect::<Result<_, _>>()?;
    let kind = match text("service") {
        name if !name.is_empty() => Kind::Service { name },
        _ => {
            let (first, end) = range(&text("layers"))?;
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
        delay: number("token-ms")?,
        linger: number("linger-ms")?,
        journal: Some(text("journal"))
            .filter(|path| !path.is_empty())
            .map(PathBuf::from),
    })
}

fn range(text: &str) -> Result<(u32, u32), String> {
    text.split_once("..")
        .and_then(|(first, end)| Some((first.parse().ok()?, end.parse().ok()?)))
        .filter(|(first, end)| first < end)
        .ok_or_else(|| format!("--layers {text:?}: give FIRST..END"))
}
