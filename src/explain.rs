//! Collects what all instances logged about a request into a timeline, and names the cause of
//! its end.

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

/// Time before and after the request from which lines about its upstreams are shown, in
/// milliseconds. Heartbeats are missed for about 5 s at most.
const CONTEXT_MS: i64 = 6_000;

/// Fields that are not shown with a line, since each line has them.
const COMMON_FIELDS: &[&str] = &["timestamp", "level", "message", "event", "attempt"];

/// A log line.
#[derive(Clone, Debug)]
struct Line {
    /// Milliseconds since 1970 by the clock of the instance that logged the line.
    at_ms: i64,
    /// The timestamp as logged; it orders lines within a millisecond.
    timestamp: String,
    event: u64,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line of JSON, which may follow a prefix: log collectors prepend a name.
    fn parse(text: &str) -> Option<Self> {
        let begin = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[begin..]).ok()?;
        let timestamp = fields.get("timestamp")?.as_str()?.to_owned();
        Some(Self {
            at_ms: millis(&timestamp)?,
            event: fields.get("event")?.as_u64()?,
            timestamp,
            fields,
        })
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// A number, or 0 if the line has none of this name.
    fn number(&self, name: &str) -> u64 {
        let value = self.fields.get(name);
        value.and_then(Value::as_u64).unwrap_or(0)
    }

    fn is_of_attempt(&self, attempt: &str) -> bool {
        self.text("attempt") == Some(attempt)
    }

    fn has_event(&self, event: event::Event) -> bool {
        self.event == u64::from(event.id)
    }

    /// Formats the fields that only lines of this event have.
    fn own_fields(&self) -> String {
        let own = self.fields.iter();
        let own = own.filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let shown = own.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        shown.collect::<Vec<_>>().join(" ")
    }
}

/// Milliseconds since 1970 of a timestamp such as `2026-04-09T12:28:17.025427Z`.
fn millis(timestamp: &str) -> Option<i64> {
    let time = OffsetDateTime::parse(timestamp, &Rfc3339).ok()?;
    i64::try_from(time.unix_timestamp_nanos() / 1_000_000).ok()
}

/// Runs the `explain` command.
pub(crate) fn run(matches: &ArgMatches, out: &mut dyn Write) -> Result<()> {
    let attempt = matches.get_one::<String>("id").expect("it is required");
    let files = matches.get_many::<PathBuf>("files").unwrap_or_default();
    let mut lines = Vec::new();
    for path in files {
        let file = File::open(path).context(ReadFileSnafu { path })?;
        read_lines(file, &mut lines).context(ReadFileSnafu { path })?;
    }
    if matches.get_many::<PathBuf>("files").is_none() {
        let path = "standard input";
        read_lines(stdin(), &mut lines).context(ReadFileSnafu { path })?;
    }
    write!(out, "{}", explain(attempt, &lines)).context(OutputSnafu)
}

fn read_lines(from: impl Read, lines: &mut Vec<String>) -> std::io::Result<()> {
    for text in BufReader::new(from).split(b'\n') {
        lines.push(String::from_utf8_lossy(&text?).into_owned());
    }
    Ok(())
}

/// Time left below which a caller is taken to have left because of its deadline, in
/// milliseconds: callers give up slightly early, so the disconnect arrives with some time
/// left.
const DEADLINE_MARGIN_MS: u64 = 100;

/// Formats the timeline of `attempt` and the cause of its end.
pub(crate) fn explain(attempt: &str, input: &[String]) -> String {
    let mut lines: Vec<Line> = input.iter().filter_map(|t| Line::parse(t)).collect();
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let own: Vec<&Line> = lines.iter().filter(|l| l.is_of_attempt(attempt)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return format!(
            "no line names {attempt}; give the logs of all entry instances, and look for \
             event {} (lines left out)\n",
            event::LINES_LEFT.id
        );
    };
    let (begin, end) = (first.at_ms, last.at_ms);
    let near = |l: &&Line| (begin - CONTEXT_MS..=end + CONTEXT_MS).contains(&l.at_ms);
    let shown = lines.iter().filter(near);
    let shown = shown.filter(|l| l.is_of_attempt(attempt) || is_related(l, &own));
    let mut text = String::new();
    for line in shown {
        let mark = if line.is_of_attempt(attempt) {
            ' '
        } else {
            '*'
        };
        let message = line.text("message").unwrap_or("");
        let (after, fields) = (line.at_ms - begin, line.own_fields());
        text += &format!("{mark} {after:>7} ms  {} {message}: {fields}\n", line.event);
    }
    text += &rank_line(&own);
    text + &format!("cause: {}\n", cause(&own, &lines, end))
}

/// Formats the rank of the request, and what it waited for room in its last attempt. Empty if no
/// line gives a rank.
fn rank_line(own: &[&Line]) -> String {
    let rank = |l: &&Line| l.fields.get("rank")?.as_u64();
    let Some(rank) = own.iter().rev().find_map(rank) else {
        return String::new();
    };
    let mut lines = own.iter().rev();
    let wait = lines.find(|l| l.has_event(event::REQUEST_WAITED));
    let found = |l: &Line| l.fields.get("found") == Some(&Value::Bool(true));
    let waited = match wait {
        None => "didn't wait for room".to_owned(),
        Some(line) if found(line) => format!("found room after {} ms", line.number("waited_ms")),
        Some(line) => format!("found no room in {} ms", line.number("waited_ms")),
    };
    let reserve = |l: &&Line| l.fields.get("reserve")?.as_f64();
    let reserve = wait.and_then(reserve);
    let reserve = reserve.map_or(String::new(), |r| format!(", with a reserve of {r:.2}"));
    format!("rank: {rank}, {waited}{reserve}\n")
}

/// Whether a line is about an upstream of the request.
fn is_related(line: &Line, own: &[&Line]) -> bool {
    let upstream = [
        event::UPSTREAM_LOST,
        event::UPSTREAM_LEFT,
        event::LAYERS_ORDERED,
        event::ORDER_ENDED,
        event::LAYERS_MISSING,
        event::SERVICE_UNREACHABLE,
        event::SERVICE_REACHABLE,
        event::UPSTREAM_REMOTE,
        event::PAUSE_REQUESTED,
        event::UPSTREAM_LEAVING,
    ];
    let of_all = [
        event::LAYERS_MISSING,
        event::SERVICE_UNREACHABLE,
        event::SERVICE_REACHABLE,
    ];
    if !upstream.iter().any(|e| line.has_event(*e)) {
        return false;
    }
    if of_all.iter().any(|e| line.has_event(*e)) {
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

/// Explains in one sentence why the request ended as it did.
fn cause(own: &[&Line], lines: &[Line], end: i64) -> String {
    let find = |e: event::Event| own.iter().rev().find(|l| l.has_event(e));
    let failed = find(event::ATTEMPT_FAILED).and_then(|l| l.text("cause"));
    let location = find(event::UPSTREAM_SUSPECTED).and_then(|l| l.text("address"));
    let location = location.map_or(String::new(), |a| format!(" at {a}"));
    if let Some(line) = find(event::REQUEST_REFUSED) {
        return refusal_cause(line, lines, end);
    }
    if let Some(line) = find(event::REQUEST_ENDED) {
        let code = line.text("code").unwrap_or("unknown");
        return match (code, failed) {
            ("quarantined", _) => quarantine_cause(line, lines),
            ("paused", _) => {
                "all engines at which it could begin had asked for a pause; see event 420"
                    .to_owned()
            }
            ("limited", _) => {
                "all engines at which it could begin were at their rate limits; see event 413"
                    .to_owned()
            }
            ("unreachable", _) => {
                "its instance reached no upstream, and no other instance carried \
                                   it; see events 415 and 418"
                    .to_owned()
            }
            ("full", _) if find(event::RANK_DISPLACED).is_some() => {
                "a more urgent request took its place in the full queue for room; see event 422"
                    .to_owned()
            }
            ("full", _) => {
                "no engine had room; see the orders and missing layers around".to_owned()
            }
            ("no_upstream", _) => "no upstream that was up could serve it".to_owned(),
            ("not_run", Some(f)) => format!("every attempt was refused, the last by {f}{location}"),
            (_, Some(f)) => format!("it may have run and gave no answer: {f}{location}"),
            (code, None) => format!("it ended with {code}"),
        };
    }
    let Some(answered) = find(event::REQUEST_ANSWERED) else {
        return abandonment_cause(find(event::REQUEST_ABANDONED).copied(), failed, &location);
    };
    match (answered.text("how"), failed, answered.number("status")) {
        (Some("whole"), Some(f), _) => format!("answered whole after a failure: {f}{location}"),
        (Some("whole"), None, _) => "answered whole".to_owned(),
        (Some(how), _, _) => format!("its stream broke off: {how}{location}"),
        (None, _, status @ 500..) => {
            format!("an upstream ran it and answered with a failure of its own, {status}")
        }
        (None, _, _) => "answered".to_owned(),
    }
}

/// Explains a quarantine refusal, with the crashed engines that the logs show.
fn quarantine_cause(line: &Line, lines: &[Line]) -> String {
    let fingerprint = line.text("fingerprint").unwrap_or("unknown");
    let part = line.text("part");
    let concerns = |l: &&Line| match part {
        Some(part) => l
            .text("parts")
            .is_some_and(|p| p.split(',').any(|p| p == part)),
        None => l.text("fingerprint") == Some(fingerprint),
    };
    let cut = lines.iter().filter(|l| l.has_event(event::RUN_CUT_EARLY));
    let mut engines: Vec<&str> = cut
        .filter(concerns)
        .filter_map(|l| l.text("upstream"))
        .collect();
    engines.sort_unstable();
    engines.dedup();
    let seen = match engines.len() {
        0 => "see events 309 and 314 of the leading controller".to_owned(),
        count => format!("these logs show {count}: {}", engines.join(", ")),
    };
    match part {
        Some(part) => {
            format!("quarantined: engines ended under prompts with the same part, {part}; {seen}")
        }
        None => format!("quarantined: engines ended under the same request, {fingerprint}; {seen}"),
    }
}

/// Explains why a request has no logged end, or none but that its caller left.
fn abandonment_cause(line: Option<&Line>, failed: Option<&str>, location: &str) -> String {
    let Some(line) = line else {
        return "the instance ended before it was answered: it was killed, or lost power"
            .to_owned();
    };
    let (took, left) = (line.number("took_ms"), line.number("left_ms"));
    let before = failed.map_or(String::new(), |f| {
        format!(", after a failure: {f}{location}")
    });
    if left <= DEADLINE_MARGIN_MS {
        return format!("its time was over after {took} ms{before}");
    }
    if line.fields.get("draining") == Some(&Value::Bool(true)) {
        return format!("the instance ended before it was answered: it drained too long{before}");
    }
    format!("its caller left after {took} ms, {left} ms before its time was over{before}")
}

/// Explains why a request was refused before any attempt: the configuration that the instance
/// had, and when it was applied.
fn refusal_cause(line: &Line, lines: &[Line], end: i64) -> String {
    let code = line.text("code").unwrap_or("unknown");
    let version = line.number("version");
    let applied = |l: &&Line| {
        l.has_event(event::CONFIGURATION_APPLIED)
            && l.at_ms <= end
            && l.number("version") == version
    };
    let since = lines.iter().filter(applied).map(|l| end - l.at_ms).min();
    let since = since.map_or(String::new(), |ms| format!(", in force for {ms} ms"));
    match code {
        "unknown_key" | "unknown_route" => {
            format!("{code} by configuration {version}{since}; compare it with the one before")
        }
        _ => format!("{code}; the instance had configuration {version}{since}"),
    }
}
