//! Emulated engine: runs a pipeline as its first stage, or serves as a later stage.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use tokio::sync::mpsc::Sender;

use crate::fault::{Fault, Mode};
use crate::model::{self, Context};
use crate::protocol::{
    DoneEvent, Hop, LayerRange, PipelineRequest, StageCall, StageEnd, StageReply, TokenEvent,
};
use crate::spec::Kind;
use crate::upstream::{AttemptKey, Upstream};

/// Sender of a streamed body. An error closes the connection.
pub(crate) type BodySender = Sender<io::Result<Bytes>>;

/// The caller or a later stage is gone, or a fault closes the stream.
struct Aborted;

/// Response to a stage call.
pub(crate) enum StageOutcome {
    Reply(StageReply),
    Status(StatusCode),
    Garbage,
    Close,
}

/// Limit on waiting for a caller that reads nothing before its stream is closed.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);
const CRASH_EXIT_CODE: i32 = 101;

/// Whether the path starts at this engine with layers that it holds.
pub(crate) fn accepts(upstream: &Upstream, call: &PipelineRequest) -> bool {
    let Kind::Engine { model, .. } = &upstream.spec.kind else {
        return false;
    };
    let Some(hop) = call.path.first() else {
        return false;
    };
    call.model == *model
        && hop.upstream == upstream.spec.id
        && holds_layers(upstream, hop.first, hop.end)
}

fn holds_layers(upstream: &Upstream, from: u32, to: u32) -> bool {
    let Kind::Engine { first, end, .. } = upstream.spec.kind else {
        return false;
    };
    first <= from && from < to && to <= end
}

/// Runs an attempt until it ends, reaches its deadline or is cancelled.
pub(crate) async fn run_pipeline(
    upstream: Arc<Upstream>,
    call: PipelineRequest,
    fault: Option<Fault>,
    out: BodySender,
) {
    let key = (call.request.clone(), call.attempt);
    let run = PipelineRun {
        upstream: &upstream,
        call: &call,
        fault: fault.as_ref(),
        out: &out,
    };
    let deadline = Duration::from_millis(call.remaining);
    let whole = tokio::select! {
        result = run.generate() => result.is_ok(),
        () = out.closed() => false,
        () = tokio::time::sleep(deadline) => false,
    };
    upstream.release_slot(&key);
    upstream
        .counts
        .lock()
        .unwrap()
        .end_attempt(&call.request, whole);
    if whole {
        return;
    }
    let aborted = io::Error::new(io::ErrorKind::ConnectionAborted, "attempt aborted");
    let _ = out.send_timeout(Err(aborted), ABORT_TIMEOUT).await;
    end_stages(&upstream, &call).await;
}

async fn end_stages(upstream: &Upstream, call: &PipelineRequest) {
    let end = StageEnd {
        request: call.request.clone(),
        attempt: call.attempt,
    };
    for hop in &call.path[1..] {
        let sent = upstream.post::<serde_json::Value>(hop.address, "/v1/stage/end", &end);
        let _ = tokio::time::timeout(Duration::from_secs(2), sent).await;
    }
}

struct PipelineRun<'a> {
    upstream: &'a Upstream,
    call: &'a PipelineRequest,
    fault: Option<&'a Fault>,
    out: &'a BodySender,
}

impl PipelineRun<'_> {
    async fn generate(&self) -> Result<(), Aborted> {
        let call = self.call;
        let mut context = Context::new(&call.prompt);
        call.tokens.iter().for_each(|t| context.push(t));
        let mut sent = Vec::new();
        for index in call.tokens.len()..call.limit {
            let generated = sent.len();
            if self.triggers(Mode::EarlyDone, generated) {
                break;
            }
            self.apply_fault(generated).await?;
            let token = self.run_token(index, generated, context.state()).await?;
            context.push(&token.text);
            self.emit(generated, &token, &sent).await?;
            sent.push(token);
        }
        self.send_event(&DoneEvent {
            request: &call.request,
            attempt: call.attempt,
            done: true,
            count: call.limit,
            reason: "length",
        })
        .await
    }

    fn triggers(&self, mode: Mode, generated: usize) -> bool {
        self.fault
            .is_some_and(|f| f.mode == mode && f.after == generated)
    }

    async fn apply_fault(&self, generated: usize) -> Result<(), Aborted> {
        let Some(fault) = self.fault.filter(|f| f.after <= generated) else {
            return Ok(());
        };
        match fault.mode {
            Mode::Slow => tokio::time::sleep(Duration::from_millis(fault.ms)).await,
            Mode::Crash => std::process::exit(CRASH_EXIT_CODE),
            Mode::Stall => std::future::pending().await,
            Mode::Cut => return Err(Aborted),
            _ => {}
        }
        Ok(())
    }

    async fn run_token(
        &self,
        index: usize,
        generated: usize,
        state: u64,
    ) -> Result<TokenEvent, Aborted> {
        let call = self.call;
        let own = &call.path[0];
        let skip = self.triggers(Mode::SkipLayer, generated);
        let (mut state, passed) =
            run_own_range(self.upstream, &call.request, index, state, own, skip).await;
        let mut passed = vec![passed];
        if self.triggers(Mode::RepeatLayer, generated) {
            state = model::run_layers(state, own.end - 1, own.end);
            passed.push(sub_range(&passed[0], own.end - 1, own.end));
        }
        if self.triggers(Mode::Disorder, generated) {
            let middle = u32::midpoint(own.first, own.end);
            let halves = [(middle, own.end), (own.first, middle)];
            passed = halves
                .map(|(first, end)| sub_range(&passed[0], first, end))
                .into();
        }
        for hop in &call.path[1..] {
            let step = StageCall {
                request: call.request.clone(),
                attempt: call.attempt,
                index,
                state,
                first: hop.first,
                end: hop.end,
                last: index + 1 == call.limit,
            };
            let reply = self
                .upstream
                .post::<StageReply>(hop.address, "/v1/stage", &step);
            let (_, reply) = reply.await.map_err(|_| Aborted)?;
            let reply = reply.ok_or(Aborted)?;
            state = reply.state;
            passed.push(reply.passed);
        }
        Ok(TokenEvent {
            request: call.request.clone(),
            attempt: call.attempt,
            index,
            text: model::token_text(state),
            passed,
        })
    }

    async fn emit(
        &self,
        generated: usize,
        token: &TokenEvent,
        sent: &[TokenEvent],
    ) -> Result<(), Aborted> {
        if self.triggers(Mode::Garbage, generated) {
            return self
                .send_raw("data: {\"request\": no json\n\n".into())
                .await;
        }
        if self.triggers(Mode::Reorder, generated) {
            return Ok(());
        }
        if self.triggers(Mode::LateDuplicate, generated.wrapping_sub(2)) {
            self.send_event(&sent[generated - 2]).await?;
        }
        if self.triggers(Mode::RepeatToken, generated) {
            self.send_event(token).await?;
        }
        if self.triggers(Mode::StaleAttempt, generated) {
            let attempt = token.attempt.saturating_sub(1);
            let text = "0000 ".to_owned();
            let stale = token.clone();
            self.send_event(&TokenEvent {
                attempt,
                text,
                ..stale
            })
            .await?;
        }
        if self.triggers(Mode::Reorder, generated.wrapping_sub(1)) {
            self.send_event(token).await?;
            return self.send_event(&sent[generated - 1]).await;
        }
        let swaps = self
            .fault
            .is_some_and(|f| f.mode == Mode::SwapIds && f.after <= generated);
        if !swaps {
            return self.send_event(token).await;
        }
        let (request, attempt) = self.other_attempt();
        let token = token.clone();
        let swapped = TokenEvent {
            request,
            attempt,
            ..token
        };
        self.send_event(&swapped).await
    }

    /// Another attempt that is running on this engine, or a made-up one.
    fn other_attempt(&self) -> AttemptKey {
        let own = (self.call.request.clone(), self.call.attempt);
        let running = self.upstream.running.lock().unwrap();
        let other = running.keys().find(|key| **key != own).cloned();
        other.unwrap_or_else(|| ("0-0-0".to_owned(), 1))
    }

    async fn send_event(&self, event: &impl serde::Serialize) -> Result<(), Aborted> {
        let json = serde_json::to_string(event).map_err(|_| Aborted)?;
        self.send_raw(format!("data: {json}\n\n")).await
    }

    async fn send_raw(&self, text: String) -> Result<(), Aborted> {
        self.out.send(Ok(text.into())).await.map_err(|_| Aborted)
    }
}

fn sub_range(whole: &LayerRange, first: u32, end: u32) -> LayerRange {
    let upstream = whole.upstream.clone();
    LayerRange {
        upstream,
        first,
        end,
    }
}

async fn run_own_range(
    upstream: &Upstream,
    request: &str,
    index: usize,
    state: u64,
    hop: &Hop,
    skip: bool,
) -> (u64, LayerRange) {
    upstream.compute().await;
    let end = if skip { hop.end - 1 } else { hop.end };
    let mut counts = upstream.counts.lock().unwrap();
    if skip {
        counts.record_partial(request, index, hop.first, end);
    } else {
        counts.record_token(request, index);
    }
    let passed = LayerRange {
        upstream: upstream.spec.id.clone(),
        first: hop.first,
        end,
    };
    (model::run_layers(state, hop.first, end), passed)
}

/// Runs one token as a later stage.
pub(crate) async fn run_stage(upstream: &Upstream, call: StageCall) -> StageOutcome {
    if !holds_layers(upstream, call.first, call.end) {
        return StageOutcome::Status(StatusCode::BAD_REQUEST);
    }
    let key = (call.request.clone(), call.attempt);
    let Some((fault, generated)) = next_step(upstream, &key) else {
        upstream.counts.lock().unwrap().totals.busy += 1;
        return StageOutcome::Status(StatusCode::SERVICE_UNAVAILABLE);
    };
    let mode = fault
        .as_ref()
        .filter(|f| f.after <= generated)
        .map(|f| f.mode);
    match mode {
        Some(Mode::Busy) => return StageOutcome::Status(StatusCode::SERVICE_UNAVAILABLE),
        Some(Mode::Garbage) => return StageOutcome::Garbage,
        Some(Mode::Cut | Mode::Refuse) => return StageOutcome::Close,
        Some(Mode::Stall) => std::future::pending().await,
        Some(Mode::Crash) => std::process::exit(CRASH_EXIT_CODE),
        Some(Mode::Slow) => {
            let ms = fault.as_ref().map_or(0, |f| f.ms);
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        _ => {}
    }
    let skip = mode == Some(Mode::SkipLayer) && fault.is_some_and(|f| f.after == generated);
    let hop = Hop {
        upstream: upstream.spec.id.clone(),
        address: upstream.address,
        first: call.first,
        end: call.end,
    };
    let (state, passed) =
        run_own_range(upstream, &call.request, call.index, call.state, &hop, skip).await;
    if call.last {
        upstream.release_slot(&key);
    }
    StageOutcome::Reply(StageReply { state, passed })
}

/// Counts a step of a sequence; its first step takes a slot.
fn next_step(upstream: &Upstream, key: &AttemptKey) -> Option<(Option<Fault>, usize)> {
    if !upstream.running.lock().unwrap().contains_key(key) {
        upstream.acquire_slot(key, false)?;
    }
    let mut running = upstream.running.lock().unwrap();
    let sequence = running.get_mut(key)?;
    let generated = sequence.steps;
    sequence.steps += 1;
    sequence.last_seen = std::time::Instant::now();
    Some((sequence.fault.clone(), generated))
}
