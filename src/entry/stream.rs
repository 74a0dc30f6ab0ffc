//! Event streams. Events are forwarded as they arrive; where the route allows it, an
//! interrupted stream is resumed on another path within the same response.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use hyper::Response;
use hyper::body::Frame;
use rand::RngExt;
use tokio::time::timeout;

use super::attempt::{FIRST_BYTE_FACTOR, OpenResponse, Received, Run};
use super::body::{self, Body, Truncated};
use super::call::Context;
use super::cause::is_cut;
use super::head;
use super::reroute::Stall;
use crate::clock::{Time, millis};
use crate::configuration::RetryPolicy;
use crate::decide::migration::Migration;
use crate::decide::retry::{Failure, NextStep};
use crate::decide::run_history::HARMLESS_EVENTS;
use crate::decide::stall::{self, Silence};
use crate::event;
use crate::gate::RunningGuard;

mod hedge;

/// Multiple of the route's allowed pause after which a silent stream is hedged.
/// Clients disconnect after eight pauses; processing the prompt again takes one or two.
const STALL_FACTOR: u32 = 4;

/// Minimum silence after which a stream is hedged, even if its route allows only shorter pauses:
/// the time after which its first engine is asked.
const MIN_STALL: Duration = stall::QUERY_AFTER;

/// Time after the deadline for which bytes that are ready are passed on. Without a limit, an engine that
/// is faster than its caller would never be cut off.
const READY_TIME: Duration = Duration::from_millis(200);

/// Cause of rerouting a stream away from an engine that still serves it.
const WITHDRAWN: &str = "given_up";

/// State of a stream to a caller.
struct EventStream {
    run: Run,
    context: Context,
    /// The response that serves the caller. Its buffer holds what wasn't forwarded yet.
    opened: OpenResponse,
    /// Whether the body of `opened` has a length or chunks. One that has neither ends with its
    /// connection, also if its engine crashes.
    is_framed: bool,
    /// Silence since the last bytes; `None` if it wasn't observed yet.
    silence: Option<Silence>,
    event_count: u64,
    /// Time from the request's arrival to the first event.
    first: Option<Duration>,
    longest_pause: Duration,
    last_at: Time,
    migration: Migration,
    _running: RunningGuard,
}

/// Builds the streaming response that `opened` begins.
pub(super) fn answer(run: Run, mut opened: OpenResponse, running: RunningGuard) -> Response<Body> {
    let status = opened.answer.response.status();
    let headers = std::mem::take(opened.answer.response.headers_mut());
    let is_framed = head::is_framed(&headers);
    let last_at = run.entry.now();
    let state = EventStream {
        context: run.context(),
        run,
        opened,
        is_framed,
        silence: None,
        event_count: 0,
        first: None,
        longest_pause: Duration::ZERO,
        last_at,
        migration: Migration::default(),
        _running: running,
    };
    let pieces = stream::unfold(state, |mut s| async move {
        let piece = s.next().await?;
        Some((piece, s))
    });
    let mut response = Response::new(body::from_stream(pieces));
    *response.status_mut() = status;
    *response.headers_mut() = head::to_caller(headers);
    response
}

/// What happened to a stream while its next event was awaited.
enum Step {
    /// There may be more to forward.
    Continue,
    /// It is complete.
    Whole,
    /// Its upstream broke it off.
    Cut(&'static str),
    /// It can't go on.
    Lost(&'static str),
    /// Its upstream is silent.
    Stalled(Stall),
}

impl EventStream {
    /// Returns the next complete events, the end, or an error if the stream was cut off.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, Truncated>> {
        if self.run.is_ended() {
            return None;
        }
        loop {
            if let Some(events) = self.take_events() {
                return Some(Ok(Frame::data(events)));
            }
            let mut step = self.read().await;
            if let Step::Stalled(stall) = step {
                step = self.hedge(stall).await;
            }
            match step {
                Step::Continue | Step::Stalled(_) => {}
                Step::Whole => {
                    if self.run.events > 0 {
                        self.run.record_harmless();
                    }
                    self.finish("whole");
                    return None;
                }
                Step::Cut(cause) if self.resume(cause).await => {}
                Step::Cut(cause) | Step::Lost(cause) => {
                    self.finish(cause);
                    return Some(Err(Truncated));
                }
            }
        }
    }

    /// Returns what follows from what was read.
    fn accept(&mut self, received: Received) -> Step {
        self.silence = None;
        match received {
            Received::Bytes => Step::Continue,
            Received::Cut => Step::Cut("cut_stream"),
            Received::Excess(excess) => Step::Cut(excess.cause()),
            Received::End if !self.opened.buffer.is_empty() => Step::Cut("cut_event"),
            Received::End if self.lacks_events() => Step::Cut("cut_stream"),
            Received::End => Step::Whole,
        }
    }

    /// Whether the current run ended without an event although it can't be complete. One that
    /// resumes may have had nothing left to send, but only a framed body proves that it ended.
    fn lacks_events(&self) -> bool {
        let resumes = self.run.last_event.is_some();
        self.run.events == 0 && !(resumes && self.is_framed)
    }

    /// Reroutes the stream away from engines that get no new work.
    async fn leave_withdrawn(&mut self) {
        let Self {
            context, opened, ..
        } = self;
        let (now, service) = (context.entry.now(), &context.call.service);
        let roster = context.entry.view().roster();
        let selection = &mut opened.selection;
        let must = || !selection.withdrawn(service).is_empty();
        if !self
            .migration
            .is_due(now, roster, must, rand::rng().random())
        {
            return;
        }
        let engines = selection.withdrawn(service);
        let done =
            engines.is_empty() || context.reroute_around(&engines, selection, WITHDRAWN).await;
        self.migration.record_attempt(now, done);
    }

    async fn read(&mut self) -> Step {
        if self.run.call.overdue(self.run.entry.now()) > READY_TIME {
            return Step::Lost("deadline");
        }
        if self.run.call.route.retry_policy != RetryPolicy::Never {
            self.leave_withdrawn().await;
        }
        let mut silence = self.silence.unwrap_or_else(|| self.start_silence());
        let received = self.opened.read(&self.context, &mut silence);
        match timeout(self.run.left(), received).await {
            Ok(Ok(received)) => self.accept(received),
            Ok(Err(stall)) => {
                self.silence = Some(silence);
                Step::Stalled(stall)
            }
            Err(_) => Step::Lost("deadline"),
        }
    }

    /// Starts to observe how long the stream is silent.
    fn start_silence(&self) -> Silence {
        let route = &self.run.call.route;
        let stall_timeout = match (route.retry_policy, self.run.events) {
            (RetryPolicy::Never, _) => self.run.left(),
            (_, 0) => route.objective * FIRST_BYTE_FACTOR,
            _ => route.pause * STALL_FACTOR,
        };
        let can_reroute = self.context.can_reroute(&self.opened.selection);
        Silence::new(stall_timeout.max(MIN_STALL), can_reroute)
    }

    /// Continues the stream with another response.
    fn adopt(&mut self, opened: Box<OpenResponse>) {
        self.run.events = 0;
        self.silence = None;
        self.is_framed = head::is_framed(opened.answer.response.headers());
        self.opened = *opened;
    }

    /// Takes the complete events out of the buffer.
    fn take_events(&mut self) -> Option<Bytes> {
        let events = self.opened.buffer.take_events()?;
        let now = self.run.entry.now();
        if self.run.events == 0 {
            self.opened.selection.record_success();
        }
        match self.first {
            Some(_) => self.longest_pause = self.longest_pause.max(now.since(self.last_at)),
            None => {
                self.first = Some(now.since(self.run.call.began));
                let took = now.since(self.opened.selection.selected_at);
                self.run
                    .entry
                    .shared()
                    .queue_timing
                    .record_first_event(took);
            }
        }
        self.last_at = now;
        let ids = events.split(|&b| b == b'\n').filter_map(event_id);
        for id in ids {
            self.run.last_event = Some(id);
            self.run.events += 1;
            self.event_count += 1;
            if self.run.events == HARMLESS_EVENTS {
                self.run.record_harmless();
            }
        }
        Some(events)
    }

    /// Resumes a stream that was cut off after its last event on another path, if allowed.
    async fn resume(&mut self, cause: &'static str) -> bool {
        let upstream = self.opened.selection.upstream.clone();
        if is_cut(cause) {
            self.run.record_cut(&upstream);
        }
        if self.run.call.route.retry_policy == RetryPolicy::Never || self.run.left().is_zero() {
            return false;
        }
        self.run.exclude_upstream(Some(upstream.key), cause);
        if self.run.record_failure(Failure::Unknown, cause, &upstream) != NextStep::Again {
            return false;
        }
        self.run.check_crash(cause, &upstream).await;
        match self.run.open().await {
            Ok(opened) => {
                self.adopt(opened);
                true
            }
            Err(_) => false,
        }
    }

    fn finish(&mut self, how: &'static str) {
        let run = &self.run;
        let now = run.entry.now();
        run.count(how);
        run.record_pauses(self.first, self.longest_pause);
        tracing::info!(
            event = event::REQUEST_ANSWERED.id,
            attempt = run.call.attempt,
            route = run.call.route.name,
            upstream = %self.opened.selection.upstream.id,
            how,
            events = self.event_count,
            first_ms = self.first.map(millis),
            pause_ms = millis(self.longest_pause),
            silent_ms = millis(now.since(self.last_at)),
            left_ms = millis(run.left()),
            took_ms = millis(now.since(run.call.began)),
            "stream ended"
        );
    }
}

/// Parses the id of an event from its line.
fn event_id(line: &[u8]) -> Option<u64> {
    let id = line.strip_prefix(b"id:")?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
