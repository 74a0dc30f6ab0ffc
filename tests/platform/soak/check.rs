//! What callers and engines saw, held against the rules.

use std::time::{Duration, Instant};

use crate::engine::{EngineState, STREAM_EVENTS, expected_stream};
use crate::pause::EngineRun;
use crate::soak::caller::{Answer, Attempt, DEADLINE, Head, Kind};

/// Time before the deadline from which a request counts as having reached it.
const DEADLINE_SLACK: Duration = Duration::from_millis(300);
/// Time after SIGTERM from which an answer may be broken off: five sixths of `graceS`.
const GRACE: Duration = Duration::from_millis(6_600);
/// Time until a crash is seen everywhere.
const CRASH_TIME: Duration = Duration::from_secs(1);

/// Faults that excuse an answer that isn't whole; entries by index.
#[derive(Debug, Default)]
pub(crate) struct Disruptions {
    /// Freezes and cuts, with start and end.
    pub(crate) harmed: Vec<(usize, Instant, Instant)>,
    /// SIGTERM.
    pub(crate) drained: Vec<(usize, Instant)>,
    /// Engine IDs.
    pub(crate) crashed: Vec<(String, Instant)>,
}

#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Sound,
    /// Not whole, for a reason that the rules allow.
    Allowed(&'static str),
    /// Name of the rule, and what was seen.
    Broken(&'static str, String),
}

/// Judges an answer by the runs of its request at engines, which are all over.
pub(crate) fn judge(attempt: &Attempt, state: &EngineState, seen: &Disruptions) -> Verdict {
    let runs = state.runs_of(&attempt.id);
    let count = state.runs(&attempt.id);
    if attempt.kind == Kind::NonIdempotent && count > 1 {
        return Verdict::Broken("TWICE", format!("{count} runs"));
    }
    match &attempt.answer {
        Answer::Unreached => Verdict::Sound,
        // LOST: a request that crosses our close and isn't passed on doesn't count.
        Answer::Closed if count == 0 => Verdict::Allowed("not passed on"),
        Answer::Closed => excuse(attempt, &runs, seen, "no answer".to_owned()),
        Answer::Overdue => Verdict::Broken("LOST", "no end after the deadline".to_owned()),
        Answer::Head(head) => judge_head(head, attempt, &runs, count, seen),
    }
}

fn judge_head(
    head: &Head,
    attempt: &Attempt,
    runs: &[EngineRun],
    count: u32,
    seen: &Disruptions,
) -> Verdict {
    let mixed = |what: String| Verdict::Broken("MIXED", what);
    if !head.echo.is_empty() && head.echo != attempt.id {
        return mixed(format!("answer of {}", head.echo));
    }
    match head.status {
        200 => {}
        408 | 421 | 429 | 503 if count > 0 => {
            return Verdict::Broken("REFUSED", format!("{} after {count} runs", head.status));
        }
        // Engines fail without a signature here.
        _ if !head.signature.is_empty() => {
            return mixed(format!("{} with a signature", head.status));
        }
        408 | 421 | 429 => return Verdict::Sound,
        // No rule, but it is priced: a run was given up well before the deadline.
        500.. if runs.iter().any(|r| was_given_up(r, attempt.ended, seen)) => {
            return Verdict::Allowed("failed, run given up");
        }
        500.. => return Verdict::Sound,
        // Its route and key are in every version.
        other => return Verdict::Broken("DENIED", other.to_string()),
    }
    if head.echo.is_empty() || !runs.iter().any(|r| r.engine == head.signature) {
        return mixed(format!("signature {:?}, runs at {runs:?}", head.signature));
    }
    let expected = match attempt.kind {
        Kind::Stream => expected_stream(),
        _ => format!("done by {}", head.signature),
    };
    let (got, due) = (head.body.len(), expected.len());
    if !expected.starts_with(&head.body) {
        return Verdict::Broken("ORDER", format!("{:?}", head.body));
    }
    match (head.whole, got == due) {
        (true, true) => Verdict::Sound,
        (true, false) => Verdict::Broken("ORDER", format!("complete after {got} of {due} bytes")),
        (false, _) => excuse(attempt, runs, seen, format!("{got} of {due} bytes")),
    }
}

/// Judges an answer that isn't whole.
fn excuse(attempt: &Attempt, runs: &[EngineRun], seen: &Disruptions, what: String) -> Verdict {
    let (sent, ended) = (attempt.sent, attempt.ended);
    let is_harm = |(entry, from, until): &(usize, Instant, Instant)| {
        *entry == attempt.entry && *from < ended && sent < *until
    };
    let is_over = |(entry, at): &(usize, Instant)| *entry == attempt.entry && ended > *at + GRACE;
    // LOST: not counted once the deadline was reached.
    if ended - sent + DEADLINE_SLACK >= DEADLINE {
        return Verdict::Allowed("deadline");
    }
    // LOST: counted only without an unplanned disruption of the machine until the request's end.
    if seen.harmed.iter().any(is_harm) {
        return Verdict::Allowed("entry harmed");
    }
    // LOST: not counted if the engine was still at work in the last sixth of the grace.
    if seen.drained.iter().any(is_over) {
        return Verdict::Allowed("grace over");
    }
    // LOST: not counted if the engine broke off, and no other run was given up alive.
    let broke: Vec<_> = runs.iter().filter(|r| broke_off(r, ended, seen)).collect();
    let is_over = |run: &&EngineRun| broke_off(run, ended, seen) || was_overtaken(run, runs, ended);
    if !broke.is_empty() && runs.iter().all(|r| is_over(&r)) {
        return Verdict::Allowed("engine broke off");
    }
    let parts: Vec<_> = runs.iter().map(|r| describe(r, sent)).collect();
    let took = (ended - sent).as_millis();
    let runs = parts.join("; ");
    Verdict::Broken("LOST", format!("{what} after {took} ms; runs: {runs}"))
}

/// Whether an engine ended a run before its last event.
fn broke_off(run: &EngineRun, ended: Instant, seen: &Disruptions) -> bool {
    let crashed = |(engine, at): &(String, Instant)| {
        *engine == run.engine && run.began < *at + CRASH_TIME && *at < ended
    };
    let is_stream = !run.sent.is_empty() || run.last > 0;
    let events = run.last + run.sent.len() as u64;
    let reset = is_stream && run.cancelled.is_none() && events < STREAM_EVENTS;
    reset || seen.crashed.iter().any(crashed)
}

/// Whether a run ended although its engine was still at work.
fn was_given_up(run: &EngineRun, ended: Instant, seen: &Disruptions) -> bool {
    run.cancelled.is_some() && !broke_off(run, ended, seen)
}

/// Whether another run of the request gave an event after this one had begun.
fn was_overtaken(run: &EngineRun, runs: &[EngineRun], ended: Instant) -> bool {
    let others = runs.iter().filter(|o| o.began != run.began);
    let mut events = others.flat_map(|o| &o.sent);
    run.cancelled.is_some() && events.any(|at| run.began < *at && *at < ended)
}

fn describe(run: &EngineRun, sent: Instant) -> String {
    let since = |at: &Instant| at.saturating_duration_since(sent).as_millis();
    let last = run.sent.last().map(since);
    let events = run.sent.len();
    format!(
        "{} from {} ms on after event {}, {events} events until {last:?}, cancelled {:?}",
        run.engine,
        since(&run.began),
        run.last,
        run.cancelled.as_ref().map(since)
    )
}
