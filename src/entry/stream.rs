//! Event streams. Events are forwarded as they arrive; where the route allows it, an
//! interrupted stream is resumed on another path within the same response.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Frame;
use rand::RngExt;

use super::attempt::{BLOCKED, FIRST_BYTE_FACTOR, OpenResponse, Run};
use super::body::{self, Body, Truncated};
use super::crash::is_cut;
use super::head;
use super::reroute::Stall;
use crate::clock::{Time, millis};
use crate::configuration::RetryPolicy;
use crate::decide::migration::Migration;
use crate::decide::retry::{Failure, NextStep};
use crate::decide::run_history::HARMLESS_EVENTS;
use crate::decide::stall;
use crate::event;
use crate::gate::RunningGuard;

/// Multiple of the route's allowed pause after which a silent stream is resumed elsewhere.
/// Clients disconnect after eight pauses; processing the prompt again takes one or two.
const STALL_FACTOR: u32 = 4;

/// Minimum silence after which a stream is resumed elsewhere, even if its route allows only
/// shorter pauses: the time after which its first engine is asked.
const MIN_STALL: Duration = stall::QUERY_AFTER;

/// Cause of rerouting a stream away from an engine that still serves it.
const WITHDRAWN: &str = "given_up";

/// Maximum size of an incomplete event in the buffer, in bytes.
const MAX_EVENT: usize = 256 << 10;

/// State of a stream to a caller.
struct EventStream {
    run: Run,
    opened: OpenResponse,
    /// Whether the body of `opened` has a length or chunks. One that has neither ends with its
    /// connection, also if its engine crashes.
    is_framed: bool,
    /// Bytes of an incomplete event.
    buffer: BytesMut,
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
        run,
        opened,
        is_framed,
        buffer: BytesMut::new(),
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

/// What was read from the upstream.
enum Received {
    Bytes(Bytes),
    End,
    Broken,
    Silent,
    /// The stream waits for this engine, and no path leads around it.
    DeadEngine(u64),
}

fn received(frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Received {
    match frame {
        Some(Ok(frame)) => {
            let data = frame.into_data();
            Received::Bytes(data.unwrap_or_default())
        }
        Some(Err(_)) => Received::Broken,
        None => Received::End,
    }
}

impl EventStream {
    /// Returns the next complete events, the end, or an error if the stream was cut off.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, Truncated>> {
        if self.run.is_ended() {
            return None;
        }
        loop {
            let cause = match self.read().await {
                Received::Bytes(bytes) => {
                    self.buffer.extend_from_slice(&bytes);
                    match self.take_events() {
                        Some(events) => return Some(Ok(Frame::data(events))),
                        None if self.buffer.len() <= MAX_EVENT => continue,
                        None => "long_event",
                    }
                }
                Received::End if !self.buffer.is_empty() => "cut_event",
                Received::End if self.lacks_events() => "cut_stream",
                Received::End => {
                    if self.run.events > 0 {
                        self.run.record_harmless();
                    }
                    self.finish("whole");
                    return None;
                }
                Received::Broken => "cut_stream",
                Received::Silent => "stalled",
                Received::DeadEngine(culprit) => {
                    self.run.exclude_upstream(Some(culprit), BLOCKED);
                    BLOCKED
                }
            };
            if !self.resume(cause).await {
                self.finish(cause);
                return Some(Err(Truncated));
            }
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
        let Self { run, opened, .. } = self;
        let (now, service) = (run.entry.now(), &run.call.service);
        let roster = run.entry.view().roster();
        let selection = &mut opened.selection;
        let must = || !selection.withdrawn(service).is_empty();
        if !self
            .migration
            .is_due(now, roster, must, rand::rng().random())
        {
            return;
        }
        let engines = selection.withdrawn(service);
        let done = engines.is_empty() || run.reroute_around(&engines, selection, WITHDRAWN).await;
        self.migration.record_attempt(now, done);
    }

    async fn read(&mut self) -> Received {
        if self.run.call.route.retry_policy != RetryPolicy::Never {
            self.leave_withdrawn().await;
        }
        let left = self.run.left();
        if left.is_zero() {
            return Received::Broken;
        }
        let route = &self.run.call.route;
        let stall_timeout = match (route.retry_policy, self.run.events) {
            (RetryPolicy::Never, _) => left,
            (_, 0) => route.objective * FIRST_BYTE_FACTOR,
            _ => route.pause * STALL_FACTOR,
        };
        let OpenResponse { answer, selection } = &mut self.opened;
        let frame = answer.response.body_mut().frame();
        let stall_timeout = stall_timeout.max(MIN_STALL).min(left);
        match self
            .run
            .await_progress(frame, stall_timeout, selection)
            .await
        {
            Ok(frame) => received(frame),
            Err(Stall::Unknown) => Received::Silent,
            Err(Stall::DeadEngine(culprit)) => Received::DeadEngine(culprit),
        }
    }

    /// Takes the complete events out of the buffer. An engine may stop in the middle of an
    /// event; a fragment followed by an event of the next run would reach the caller as one
    /// event.
    fn take_events(&mut self) -> Option<Bytes> {
        let end = self.buffer.windows(2).rposition(|w| w == b"\n\n")? + 2;
        let events = self.buffer.split_to(end).freeze();
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

    /// Resumes the stream after the last event on another path, if allowed.
    async fn resume(&mut self, cause: &'static str) -> bool {
        if is_cut(cause) {
            self.run.record_cut(&self.opened.selection.upstream);
        }
        if self.run.left().is_zero() {
            return false;
        }
        self.buffer.clear();
        if self.run.call.route.retry_policy == RetryPolicy::Never {
            return false;
        }
        let first = self.opened.selection.upstream.key;
        let first_failed = !matches!(cause, "stalled" | BLOCKED);
        self.run
            .exclude_upstream(first_failed.then_some(first), cause);
        if self.run.record_failure(Failure::Unknown, cause) != NextStep::Again {
            return false;
        }
        let upstream = self.opened.selection.upstream.clone();
        self.run.check_crash(cause, &upstream).await;
        match self.run.open().await {
            Ok(opened) => {
                self.is_framed = head::is_framed(opened.answer.response.headers());
                self.opened = opened;
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
