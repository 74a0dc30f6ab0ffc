//! Gathers what all instances logged of one request into a timeline, and names
//! its cause.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write, stdin};
use std::path::PathBuf;

use clap::ArgMatches;
use serde_json::{Map, Value};
use snafu::ResultExt;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::error::{OutputSnafu, ReadFileSnafu, Result};
use crate::event;

/// Time around the request in which lines about its upstreams are shown, in
/// milliseconds: heartbeats are missed for about five seconds at most.
const AROUND_MS: i64 = 6_000;

/// Fields that each line has anyway.
const COMMON: &[&str] = &["timestamp", "level", "message", "event", "attempt"];

/// A log line.
#[derive(Clone, Debug)]
struct Line {
    /// Milliseconds since 1970, by the clock of the instance that wrote it.
    at: i64,
    /// As the line has it; lines are ordered by it within a millisecond.
    stamp: String,
    kind: u64,
    fields: Map<String, Value>,
}

impl Line {
    /// A line of JSON, wherever it begins: collectors put a name before it.
    fn parse(text: &str) -> Option<Self> {
        let begin = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[begin..]).ok()?;
        let stamp = fields.get("timestamp")?.as_str()?.to_owned();
        Some(Self {
            at: millis(&stamp)?,
            kind: fields.get("event")?.as_u64()?,
            stamp,
            fields,
        })
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// A number, or 0 where the line has none of this name.
    fn number(&self, name: &str) -> u64 {
        let value = self.fields.get(name);
        value.and_then(Value::as_u64).unwrap_or(0)
    }

    fn is_of(&self, attempt: &str) -> bool {
        self.text("attempt") == Some(attempt)
    }

    fn is(&self, event: event::Event) -> bool {
        self.kind == u64::from(event.id)
    }

    /// The fields that only lines of its kind have.
    fn own_fields(&self) -> String {
        let own = self.fields.iter();
        let own = own.filter(|(name, _)| !COMMON.contains(&name.as_str()));
        let shown = own.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        shown.collect::<Vec<_>>().join(" ")
    }
}

/// Milliseconds since 1970 of a time stamp such as `2026-04-09T12:28:17.025427Z`.
fn millis(stamp: &str) -> Option<i64> {
    let time = OffsetDateTime::parse(stamp, &Rfc3339).ok()?;
    i64::try_from(time.unix_timestamp_nanos() / 1_000_000).ok()
}

/// The `explain` command.
pub(crate) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<()> {
    let attempt = matches.get_one::<String>("id").expect("it is required");
    let files = matches.get_many::<PathBuf>("files").unwrap_or_default();
    let mut texts = Vec::new();
    for path in files {
        let file = File::open(path).context(ReadFileSnafu { path })?;
        read(file, &mut texts).context(ReadFileSnafu { path })?;
    }
    if matches.get_many::<PathBuf>("files").is_none() {
        let path = "standard input";
        read(stdin(), &mut texts).context(ReadFileSnafu { path })?;
    }
    write!(out, "{}", explain(attempt, &texts)).context(OutputSnafu)
}

fn read(from: impl Read, texts: &mut Vec<String>) -> std::io::Result<()> {
    for text in BufReader::new(from).split(b'\n') {
        texts.push(String::from_utf8_lossy(&text?).into_owned());
    }
    Ok(())
}

/// Time left of a request below which its caller left for want of time, in
/// milliseconds: callers give up a little before their deadline, so that the
/// sign of it arrives with some left.
const LAST_MS: u64 = 100;

/// The timeline of `attempt` and its cause.
pub(crate) fn explain(attempt: &str, texts: &[String]) -> String {
    let mut lines: Vec<Line> = texts.iter().filter_map(|t| Line::parse(t)).collect();
    lines.sort_by(|a, b| a.stamp.cmp(&b.stamp));
    let own: Vec<&Line> = lines.iter().filter(|l| l.is_of(attempt)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return format!(
            "no line names {attempt}; give the logs of all entry instances, and look for \
             event {} (lines left out)\n",
            event::LINES_LEFT.id
        );
    };
    let (begin, end) = (first.at, last.at);
    let near = |l: &&Line| (begin - AROUND_MS..=end + AROUND_MS).contains(&l.at);
    let about = lines.iter().filter(near);
    let about = about.filter(|l| l.is_of(attempt) || concerns(l, &own));
    let mut text = String::new();
    for line in about {
        let mark = if line.is_of(attempt) { ' ' } else { '*' };
        let message = line.text("message").unwrap_or("");
        let (after, fields) = (line.at - begin, line.own_fields());
        text += &format!("{mark} {after:>7} ms  {} {message}: {fields}\n", line.kind);
    }
    text + &format!("cause: {}\n", cause(&own, &lines, end))
}

/// Whether a line about an upstream concerns one that the request met.
fn concerns(line: &Line, own: &[&Line]) -> bool {
    let upstream = [
        event::UPSTREAM_LOST,
        event::UPSTREAM_LEFT,
        event::LAYERS_ORDERED,
        event::LAYERS_MISSING,
    ];
    if !upstream.iter().any(|e| line.is(*e)) {
        return false;
    }
    if line.is(event::LAYERS_MISSING) {
        return true;
    }
    let named = |l: &&&Line| {
        let path = l.text("path").unwrap_or("");
        let address = line.text("address");
        let upstream = line.text("upstream");
        address.is_some_and(|a| path.contains(a)) || l.text("upstream") == upstream
    };
    own.iter().any(|l| named(&l))
}

/// One sentence on why the request ended as it did.
fn cause(own: &[&Line], lines: &[Line], end: i64) -> String {
    let find = |e: event::Event| own.iter().rev().find(|l| l.is(e));
    let failed = find(event::ATTEMPT_FAILED).and_then(|l| l.text("cause"));
    let blamed = find(event::UPSTREAM_SUSPECTED).and_then(|l| l.text("address"));
    let blamed = blamed.map_or(String::new(), |a| format!(" at {a}"));
    if let Some(line) = find(event::REQUEST_REFUSED) {
        return refused(line, lines, end);
    }
    if let Some(line) = find(event::REQUEST_ENDED) {
        let code = line.text("code").unwrap_or("unknown");
        return match (code, failed) {
            ("quarantined", _) => quarantined(line, lines),
            ("limited", _) => {
                "all engines at which it could begin were at their rate limits; see event 413"
                    .to_owned()
            }
            ("full", _) => {
                "no engine had room; see the orders and missing layers around".to_owned()
            }
            ("no_upstream", _) => "no upstream that was up could serve it".to_owned(),
            ("not_run", Some(f)) => format!("every attempt was refused, the last by {f}{blamed}"),
            (_, Some(f)) => format!("it may have run and gave no answer: {f}{blamed}"),
            (code, None) => format!("it ended with {code}"),
        };
    }
    let Some(answered) = find(event::REQUEST_ANSWERED) else {
        return abandoned(find(event::REQUEST_ABANDONED).copied(), failed, &blamed);
    };
    match (answered.text("how"), failed, answered.number("status")) {
        (Some("whole"), Some(f), _) => format!("answered whole after a failure: {f}{blamed}"),
        (Some("whole"), None, _) => "answered whole".to_owned(),
        (Some(how), _, _) => format!("its stream broke off: {how}{blamed}"),
        (None, _, status @ 500..) => {
            format!("an upstream ran it and answered with a failure of its own, {status}")
        }
        (None, _, _) => "answered".to_owned(),
    }
}

/// Explains a quarantine refusal, with the crashed engines that the logs show.
fn quarantined(line: &Line, lines: &[Line]) -> String {
    let fingerprint = line.text("fingerprint").unwrap_or("unknown");
    let same = |l: &&Line| l.text("fingerprint") == Some(fingerprint);
    let cut = lines.iter().filter(|l| l.is(event::RUN_CUT_EARLY));
    let mut engines: Vec<&str> = cut
        .filter(same)
        .filter_map(|l| l.text("upstream"))
        .collect();
    engines.sort_unstable();
    engines.dedup();
    let seen = match engines.len() {
        0 => "see event 309 of the leading controller".to_owned(),
        count => format!("these logs show {count}: {}", engines.join(", ")),
    };
    format!("quarantined: engines ended under the same request, {fingerprint}; {seen}")
}

/// Why a request has no end but that its caller left, or none at all.
fn abandoned(line: Option<&Line>, failed: Option<&str>, blamed: &str) -> String {
    let Some(line) = line else {
        return "the instance ended before it was answered: it was killed, or lost power"
            .to_owned();
    };
    let (took, left) = (line.number("took_ms"), line.number("left_ms"));
    let before = failed.map_or(String::new(), |f| format!(", after a failure: {f}{blamed}"));
    if left <= LAST_MS {
        return format!("its time was over after {took} ms{before}");
    }
    if line.fields.get("draining") == Some(&Value::Bool(true)) {
        return format!("the instance ended before it was answered: it drained too long{before}");
    }
    format!("its caller left after {took} ms, {left} ms before its time was over{before}")
}

/// Why a request was refused before any attempt: what the instance knew, and
/// the last change of it.
fn refused(line: &Line, lines: &[Line], end: i64) -> String {
    let code = line.text("code").unwrap_or("unknown");
    let version = line.number("version");
    let applied = |l: &&Line| {
        l.is(event::CONFIGURATION_APPLIED) && l.at <= end && l.number("version") == version
    };
    let since = lines.iter().filter(applied).map(|l| end - l.at).min();
    let since = since.map_or(String::new(), |ms| format!(", in force for {ms} ms"));
    match code {
        "unknown_key" | "unknown_route" => {
            format!("{code} by configuration {version}{since}; compare it with the one before")
        }
        _ => format!("{code}; the instance had configuration {version}{since}"),
    }
}
