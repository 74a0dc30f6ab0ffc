//! Streams of events: handed on as they come, and resumed elsewhere within
//! the same answer where the route allows it.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Frame;
use rand::RngExt;

use super::attempt::{DEAD_PART, Opened, PATIENCE, Run};
use super::body::{self, Body, BrokenOff};
use super::crash::is_cut;
use super::head;
use super::reroute::Silence;
use crate::clock::{Time, millis};
use crate::configuration::RetryPolicy;
use crate::decide::migration::Migration;
use crate::decide::retry::{Failure, NextStep};
use crate::decide::run_history::HARMLESS_EVENTS;
use crate::decide::stall;
use crate::event;
use crate::gate::Running;

/// Allowed pauses after which a silent stream is taken up elsewhere. Clients
/// leave after eight of them; reading the prompt again takes one or two.
const STALLED: u32 = 4;

/// Least time after which a silent stream is taken up elsewhere, however short
/// a pause its route allows: the time after which its engine is asked.
const LEAST: Duration = stall::QUERY_AFTER;

/// Why a stream is led away from an engine that still serves it.
const GIVEN_UP: &str = "given_up";

/// Longest event that is held back until it is whole, in bytes.
const MAX_EVENT: usize = 256 << 10;

/// A stream on its way to a caller.
struct Streaming {
    run: Run,
    opened: Opened,
    /// Bytes of an event that isn't whole yet.
    buffer: BytesMut,
    total: u64,
    /// Time from the request's arrival to the first event.
    first: Option<Duration>,
    /// Longest pause between two events.
    pause: Duration,
    last_at: Time,
    leave: Migration,
    _running: Running,
}

/// Answers with the stream that `opened` begins.
pub(super) fn answer(run: Run, mut opened: Opened, running: Running) -> Response<Body> {
    let status = opened.answer.response.status();
    let headers = std::mem::take(opened.answer.response.headers_mut());
    let last_at = run.entry.now();
    let streaming = Streaming {
        run,
        opened,
        buffer: BytesMut::new(),
        total: 0,
        first: None,
        pause: Duration::ZERO,
        last_at,
        leave: Migration::default(),
        _running: running,
    };
    let pieces = stream::unfold(streaming, |mut s| async move {
        let piece = s.next().await?;
        Some((piece, s))
    });
    let mut response = Response::new(body::pieces(pieces));
    *response.status_mut() = status;
    *response.headers_mut() = head::to_caller(headers);
    response
}

/// What the upstream's side of a stream gave.
enum Input {
    Bytes(Bytes),
    End,
    Broken,
    Silent,
    /// It waits for this engine, and there is no way around.
    Lost(u64),
}

fn input(frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Input {
    match frame {
        Some(Ok(frame)) => {
            let data = frame.into_data();
            Input::Bytes(data.unwrap_or_default())
        }
        Some(Err(_)) => Input::Broken,
        None => Input::End,
    }
}

impl Streaming {
    /// The next whole events, the end, or the breaking off.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BrokenOff>> {
        if self.run.is_ended() {
            return None;
        }
        loop {
            let cause = match self.read().await {
                Input::Bytes(bytes) => {
                    self.buffer.extend_from_slice(&bytes);
                    match self.take() {
                        Some(events) => return Some(Ok(Frame::data(events))),
                        None if self.buffer.len() <= MAX_EVENT => continue,
                        None => "long_event",
                    }
                }
                Input::End if self.buffer.is_empty() => {
                    self.run.record_harmless();
                    self.finish("whole");
                    return None;
                }
                Input::End => "cut_event",
                Input::Broken => "cut_stream",
                Input::Silent => "stalled",
                Input::Lost(culprit) => {
                    self.run.blame(Some(culprit), DEAD_PART);
                    DEAD_PART
                }
            };
            if !self.resume(cause).await {
                self.finish(cause);
                return Some(Err(BrokenOff));
            }
        }
    }

    /// Leads the stream away from an engine that gets nothing new.
    async fn make_way(&mut self) {
        let Self { run, opened, .. } = self;
        let (now, service) = (run.entry.now(), &run.call.service);
        let roster = run.entry.view().roster();
        let chosen = &mut opened.chosen;
        let must = || !chosen.withdrawn(service).is_empty();
        if !self.leave.is_due(now, roster, must, rand::rng().random()) {
            return;
        }
        let engines = chosen.withdrawn(service);
        let done = engines.is_empty() || run.lead_around(&engines, chosen, GIVEN_UP).await;
        self.leave.record_attempt(now, done);
    }

    async fn read(&mut self) -> Input {
        if self.run.call.route.retry_policy != RetryPolicy::Never {
            self.make_way().await;
        }
        let left = self.run.left();
        if left.is_zero() {
            return Input::Broken;
        }
        let route = &self.run.call.route;
        let patience = match (route.retry_policy, self.run.events) {
            (RetryPolicy::Never, _) => left,
            (_, 0) => route.objective * PATIENCE,
            _ => route.pause * STALLED,
        };
        let Opened { answer, chosen } = &mut self.opened;
        let frame = answer.response.body_mut().frame();
        let patience = patience.max(LEAST).min(left);
        match self.run.watch(frame, patience, chosen).await {
            Ok(frame) => input(frame),
            Err(Silence::Unexplained) => Input::Silent,
            Err(Silence::Lost(culprit)) => Input::Lost(culprit),
        }
    }

    /// Takes the whole events out of the buffer. An engine may stop in the
    /// middle of one; half an event followed by another run's would reach the
    /// caller as one.
    fn take(&mut self) -> Option<Bytes> {
        let end = self.buffer.windows(2).rposition(|w| w == b"\n\n")? + 2;
        let events = self.buffer.split_to(end).freeze();
        let now = self.run.entry.now();
        if self.run.events == 0 {
            self.opened.chosen.succeeded();
        }
        match self.first {
            Some(_) => self.pause = self.pause.max(now.since(self.last_at)),
            None => {
                self.first = Some(now.since(self.run.call.began));
                let took = now.since(self.opened.chosen.since);
                self.run.entry.shared().pace.record_first_event(took);
            }
        }
        self.last_at = now;
        let ids = events.split(|&b| b == b'\n').filter_map(event_id);
        for id in ids {
            self.run.last = Some(id);
            self.run.events += 1;
            self.total += 1;
            if self.run.events == HARMLESS_EVENTS {
                self.run.record_harmless();
            }
        }
        Some(events)
    }

    /// Goes on behind the last event on another path, if that is allowed.
    async fn resume(&mut self, cause: &'static str) -> bool {
        if is_cut(cause) {
            self.run.record_cut(&self.opened.chosen.upstream);
        }
        if self.run.left().is_zero() {
            return false;
        }
        self.buffer.clear();
        if self.run.call.route.retry_policy == RetryPolicy::Never {
            return false;
        }
        let first = self.opened.chosen.upstream.key;
        let first_failed = !matches!(cause, "stalled" | DEAD_PART);
        self.run.blame(first_failed.then_some(first), cause);
        if self.run.fail(Failure::Unknown, cause) != NextStep::Again {
            return false;
        }
        match self.run.open().await {
            Ok(opened) => {
                self.opened = opened;
                true
            }
            Err(_) => false,
        }
    }

    fn finish(&mut self, how: &'static str) {
        let run = &self.run;
        run.count(how);
        run.count_events(self.first, self.pause);
        tracing::info!(
            event = event::REQUEST_ANSWERED.id,
            attempt = run.call.attempt,
            route = run.call.route.name,
            upstream = %self.opened.chosen.upstream.id,
            how,
            events = self.total,
            first_ms = self.first.map(millis),
            pause_ms = millis(self.pause),
            took_ms = millis(run.entry.now().since(run.call.began)),
            "stream ended"
        );
    }
}

/// The id of an event, from its line.
fn event_id(line: &[u8]) -> Option<u64> {
    let id = line.strip_prefix(b"id:")?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
