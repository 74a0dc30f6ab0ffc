//! The engine: leads a pipeline as its first stage, serves as a later one.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use tokio::sync::mpsc::Sender;

use crate::fault::{Fault, Mode};
use crate::model::{self, Context};
use crate::protocol::{Done, Generate, Hop, Passed, StageCall, StageEnd, StageReply, Token};
use crate::spec::Kind;
use crate::upstream::{Key, Upstream};

/// Pieces of a streamed body; an error closes the connection.
pub(crate) type Pieces = Sender<io::Result<Bytes>>;

/// The other party went away, or the stream has to be cut.
struct Cut;

/// How a stage call is answered.
pub(crate) enum StageAnswer {
    Reply(StageReply),
    Status(StatusCode),
    Garbage,
    Close,
}

/// How long the cut of a stream waits for a caller that reads nothing.
const CUT_TIMEOUT: Duration = Duration::from_secs(2);
const CRASH_CODE: i32 = 101;

/// Whether a path begins here and its first range lies in what this engine holds.
pub(crate) fn fits(upstream: &Upstream, call: &Generate) -> bool {
    let Kind::Engine { model, .. } = &upstream.spec.kind else {
        return false;
    };
    let Some(hop) = call.path.first() else {
        return false;
    };
    call.model == *model && hop.upstream == upstream.spec.id && holds(upstream, hop.first, hop.end)
}

fn holds(upstream: &Upstream, from: u32, to: u32) -> bool {
    let Kind::Engine { first, end, .. } = upstream.spec.kind else {
        return false;
    };
    first <= from && from < to && to <= end
}

/// Runs one attempt to its end, its deadline or its cancellation.
pub(crate) async fn lead(
    upstream: Arc<Upstream>,
    call: Generate,
    fault: Option<Fault>,
    out: Pieces,
) {
    let key = (call.request.clone(), call.attempt);
    let run = Lead {
        upstream: &upstream,
        call: &call,
        fault: fault.as_ref(),
        out: &out,
    };
    let deadline = Duration::from_millis(call.remaining);
    let whole = tokio::select! {
        result = run.tokens() => result.is_ok(),
        () = out.closed() => false,
        () = tokio::time::sleep(deadline) => false,
    };
    upstream.stop(&key);
    upstream.counts.lock().unwrap().end(&call.request, whole);
    if whole {
        return;
    }
    let cut = io::Error::new(io::ErrorKind::ConnectionAborted, "cut");
    let _ = out.send_timeout(Err(cut), CUT_TIMEOUT).await;
    end_stages(&upstream, &call).await;
}

async fn end_stages(upstream: &Upstream, call: &Generate) {
    let end = StageEnd {
        request: call.request.clone(),
        attempt: call.attempt,
    };
    for hop in &call.path[1..] {
        let sent = upstream.post::<serde_json::Value>(hop.address, "/v1/stage/end", &end);
        let _ = tokio::time::timeout(Duration::from_secs(2), sent).await;
    }
}

struct Lead<'a> {
    upstream: &'a Upstream,
    call: &'a Generate,
    fault: Option<&'a Fault>,
    out: &'a Pieces,
}

impl Lead<'_> {
    async fn tokens(&self) -> Result<(), Cut> {
        let call = self.call;
        let mut context = Context::new(&call.prompt);
        call.tokens.iter().for_each(|t| context.push(t));
        let mut sent = Vec::new();
        for index in call.tokens.len()..call.limit {
            let made = sent.len();
            if self.strikes(Mode::EarlyDone, made) {
                break;
            }
            self.before(made).await?;
            let token = self.token(index, made, context.state()).await?;
            context.push(&token.text);
            self.emit(made, &token, &sent).await?;
            sent.push(token);
        }
        self.event(&Done {
            request: &call.request,
            attempt: call.attempt,
            done: true,
            count: call.limit,
            reason: "length",
        })
        .await
    }

    fn strikes(&self, mode: Mode, made: usize) -> bool {
        self.fault
            .is_some_and(|f| f.mode == mode && f.after == made)
    }

    async fn before(&self, made: usize) -> Result<(), Cut> {
        let Some(fault) = self.fault.filter(|f| f.after <= made) else {
            return Ok(());
        };
        match fault.mode {
            Mode::Slow => tokio::time::sleep(Duration::from_millis(fault.ms)).await,
            Mode::Crash => std::process::exit(CRASH_CODE),
            Mode::Stall => std::future::pending().await,
            Mode::Cut => return Err(Cut),
            _ => {}
        }
        Ok(())
    }

    async fn token(&self, index: usize, made: usize, state: u64) -> Result<Token, Cut> {
        let call = self.call;
        let own = &call.path[0];
        let skip = self.strikes(Mode::SkipLayer, made);
        let (mut state, passed) =
            run_range(self.upstream, &call.request, index, state, own, skip).await;
        let mut passed = vec![passed];
        if self.strikes(Mode::RepeatLayer, made) {
            state = model::run_layers(state, own.end - 1, own.end);
            passed.push(part(&passed[0], own.end - 1, own.end));
        }
        if self.strikes(Mode::Disorder, made) {
            let middle = u32::midpoint(own.first, own.end);
            let halves = [(middle, own.end), (own.first, middle)];
            passed = halves
                .map(|(first, end)| part(&passed[0], first, end))
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
            let (_, reply) = reply.await.map_err(|_| Cut)?;
            let reply = reply.ok_or(Cut)?;
            state = reply.state;
            passed.push(reply.passed);
        }
        Ok(Token {
            request: call.request.clone(),
            attempt: call.attempt,
            index,
            text: model::token_text(state),
            passed,
        })
    }

    async fn emit(&self, made: usize, token: &Token, sent: &[Token]) -> Result<(), Cut> {
        if self.strikes(Mode::Garbage, made) {
            return self.piece("data: {\"request\": no json\n\n".into()).await;
        }
        if self.strikes(Mode::Reorder, made) {
            return Ok(());
        }
        if self.strikes(Mode::LateDuplicate, made.wrapping_sub(2)) {
            self.event(&sent[made - 2]).await?;
        }
        if self.strikes(Mode::RepeatToken, made) {
            self.event(token).await?;
        }
        if self.strikes(Mode::StaleAttempt, made) {
            let attempt = token.attempt.saturating_sub(1);
            let text = "0000 ".to_owned();
            let stale = token.clone();
            self.event(&Token {
                attempt,
                text,
                ..stale
            })
            .await?;
        }
        if self.strikes(Mode::Reorder, made.wrapping_sub(1)) {
            self.event(token).await?;
            return self.event(&sent[made - 1]).await;
        }
        let swaps = self
            .fault
            .is_some_and(|f| f.mode == Mode::SwapIds && f.after <= made);
        if !swaps {
            return self.event(token).await;
        }
        let (request, attempt) = self.other();
        let token = token.clone();
        let swapped = Token {
            request,
            attempt,
            ..token
        };
        self.event(&swapped).await
    }

    /// Another request that runs here, or an invented one.
    fn other(&self) -> Key {
        let own = (self.call.request.clone(), self.call.attempt);
        let running = self.upstream.running.lock().unwrap();
        let other = running.keys().find(|key| **key != own).cloned();
        other.unwrap_or_else(|| ("0-0-0".to_owned(), 1))
    }

    async fn event(&self, event: &impl serde::Serialize) -> Result<(), Cut> {
        let json = serde_json::to_string(event).map_err(|_| Cut)?;
        self.piece(format!("data: {json}\n\n")).await
    }

    async fn piece(&self, text: String) -> Result<(), Cut> {
        self.out.send(Ok(text.into())).await.map_err(|_| Cut)
    }
}

fn part(whole: &Passed, first: u32, end: u32) -> Passed {
    let upstream = whole.upstream.clone();
    Passed {
        upstream,
        first,
        end,
    }
}

async fn run_range(
    upstream: &Upstream,
    request: &str,
    index: usize,
    state: u64,
    hop: &Hop,
    skip: bool,
) -> (u64, Passed) {
    upstream.compute().await;
    let end = if skip { hop.end - 1 } else { hop.end };
    let mut counts = upstream.counts.lock().unwrap();
    if skip {
        counts.part(request, index, hop.first, end);
    } else {
        counts.token(request, index);
    }
    let passed = Passed {
        upstream: upstream.spec.id.clone(),
        first: hop.first,
        end,
    };
    (model::run_layers(state, hop.first, end), passed)
}

/// Answers one call as a later stage.
pub(crate) async fn stage(upstream: &Upstream, call: StageCall) -> StageAnswer {
    if !holds(upstream, call.first, call.end) {
        return StageAnswer::Status(StatusCode::BAD_REQUEST);
    }
    let key = (call.request.clone(), call.attempt);
    let Some((fault, made)) = step(upstream, &key) else {
        upstream.counts.lock().unwrap().totals.busy += 1;
        return StageAnswer::Status(StatusCode::SERVICE_UNAVAILABLE);
    };
    let mode = fault.as_ref().filter(|f| f.after <= made).map(|f| f.mode);
    match mode {
        Some(Mode::Busy) => return StageAnswer::Status(StatusCode::SERVICE_UNAVAILABLE),
        Some(Mode::Garbage) => return StageAnswer::Garbage,
        Some(Mode::Cut | Mode::Refuse) => return StageAnswer::Close,
        Some(Mode::Stall) => std::future::pending().await,
        Some(Mode::Crash) => std::process::exit(CRASH_CODE),
        Some(Mode::Slow) => {
            let ms = fault.as_ref().map_or(0, |f| f.ms);
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        _ => {}
    }
    let skip = mode == Some(Mode::SkipLayer) && fault.is_some_and(|f| f.after == made);
    let hop = Hop {
        upstream: upstream.spec.id.clone(),
        address: upstream.address,
        first: call.first,
        end: call.end,
    };
    let (state, passed) =
        run_range(upstream, &call.request, call.index, call.state, &hop, skip).await;
    if call.last {
        upstream.stop(&key);
    }
    StageAnswer::Reply(StageReply { state, passed })
}

/// Counts a step of a sequence, which takes a slot with its first one.
fn step(upstream: &Upstream, key: &Key) -> Option<(Option<Fault>, usize)> {
    if !upstream.running.lock().unwrap().contains_key(key) {
        upstream.start(key, false)?;
    }
    let mut running = upstream.running.lock().unwrap();
    let sequence = running.get_mut(key)?;
    let made = sequence.steps;
    sequence.steps += 1;
    sequence.seen = std::time::Instant::now();
    Some((sequence.fault.clone(), made))
}
