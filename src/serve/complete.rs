//! Completions: admission, claim, generation, and the answer's HTTP form.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

use super::Server;
use super::admit::Known;
use super::claims::{ClaimKey, request_digest};
use super::job::{Job, OUTPUT, Output, Work};
use super::listen::Received;
use super::respond::{self, EVENTS, JSON};
use crate::catalogue::{Route, Target};
use crate::http::ResponseBody;
use crate::id::OrganisationId;
use crate::openai::{Completion, Form, Writer};
use crate::request::{Answer, Claimed, Lifecycle, RefusalCode};

/// Bytes of a prompt that make one token, roughly.
const TOKEN_BYTES: usize = 4;

/// Bytes of a prompt that an engine's prefix cache is looked up by.
const PREFIX_BYTES: usize = 512;

impl Server {
    /// Answers `POST /v1/completions` and `/v1/chat/completions`.
    pub(crate) async fn complete(
        self: Arc<Self>,
        form: Form,
        received: Received,
    ) -> Response<ResponseBody> {
        let known = match self.identify(&received.head) {
            Ok(known) => known,
            Err(response) => return *response,
        };
        let id = known.id.to_string();
        match self.begin(form, &known, &received).await {
            Ok((completion, output)) => {
                let writer = Writer {
                    form,
                    id: id.clone(),
                    model: completion.route,
                    limit: completion.limit,
                };
                present(writer, completion.stream, output, known).await
            }
            Err((answer, form)) => {
                self.note(known.id, &answer);
                earlier(&answer, form, id)
            }
        }
    }

    /// Everything up to the start of the generation.
    async fn begin(
        self: &Arc<Self>,
        form: Form,
        known: &Known,
        received: &Received,
    ) -> Result<(Completion, mpsc::Receiver<Output>), (Answer, Option<(Completion, Form)>)> {
        let keyed = known.head.key.is_some();
        let unread = |code| (Answer::refused_early(code, keyed, None), None);
        let completion = Completion::parse(form, &received.body)
            .map_err(|_| unread(RefusalCode::InvalidRequest))?;
        let route = known.route(&completion.route);
        let route = route.ok_or_else(|| unread(RefusalCode::UnknownRoute))?;
        let Target::Model(model) = &route.target else {
            return Err(unread(RefusalCode::UnknownRoute));
        };
        // Whether the answer is streamed isn't part of it: a caller whose
        // stream was cut may ask for the kept answer whole.
        let digest = request_digest(&[
            route.name.as_bytes(),
            completion.prompt.as_bytes(),
            &completion.limit.to_be_bytes(),
        ]);
        let key = known.claim_key(digest);
        let used = Arc::new(AtomicU32::new(0));
        let life = self
            .enter(known, route, &completion, key.as_ref(), &used)
            .await
            .map_err(|answer| (answer, Some((completion.clone(), form))))?;
        let job = Job {
            id: known.id,
            organisation: known.organisation.clone(),
            route: route.name.as_str().into(),
            class: route.class,
            model: model.as_str().into(),
            pools: route.pools.clone().into(),
            prompt_tokens: prompt_tokens(&completion.prompt),
            prefix: prefix(&known.organisation, &completion.prompt),
            limit: completion.limit,
            idempotent: life.idempotent,
            deadline: known.deadline,
            key,
            used,
            work: Work::Engine(completion.prompt.clone()),
            running: self.deps.gate.hold(),
        };
        Ok((completion, self.start(job, life)))
    }

    async fn enter(
        self: &Arc<Self>,
        known: &Known,
        route: &Route,
        completion: &Completion,
        key: Option<&ClaimKey>,
        used: &Arc<AtomicU32>,
    ) -> Result<Lifecycle<Claimed<super::Held>>, Answer> {
        let tokens = prompt_tokens(&completion.prompt) + completion.limit;
        let life = known.life(route);
        let life = self
            .admit(life, route, tokens, known.deadline, used)
            .await?;
        self.claim(life, key, known.deadline).await
    }
}

/// Hash of the beginning of a prompt that is long enough to be worth a cache.
/// It covers the organisation: a cache shared with others would tell one, by
/// the time to the first token, what another one asks.
fn prefix(organisation: &OrganisationId, prompt: &str) -> Option<u64> {
    let start = prompt.as_bytes().get(..PREFIX_BYTES)?;
    let mut hasher = rustc_hash::FxHasher::default();
    (organisation, start).hash(&mut hasher);
    Some(hasher.finish())
}

fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX / 2)
}

/// An answer without a generation: a refusal, or what an earlier sending with
/// the same key got.
fn earlier(
    answer: &Answer,
    form: Option<(Completion, Form)>,
    id: String,
) -> Response<ResponseBody> {
    let (Answer::Stored(kept), Some((completion, form))) = (answer, form) else {
        return respond::refuse(answer, &id);
    };
    let text = String::from_utf8_lossy(&kept.body);
    let writer = Writer {
        form,
        id: id.clone(),
        model: completion.route,
        limit: completion.limit,
    };
    let count = kept.tokens().unwrap_or(completion.limit);
    if completion.stream {
        let events = writer.token(&text) + &writer.end(count);
        return respond::reply(StatusCode::OK, EVENTS, events, &id);
    }
    let body = writer.whole(&text, count);
    respond::reply(StatusCode::OK, JSON, body, &id)
}

/// Gives a generation's output the form that the caller asked for.
async fn present(
    writer: Writer,
    stream: bool,
    mut output: mpsc::Receiver<Output>,
    known: Known,
) -> Response<ResponseBody> {
    let id = writer.id.clone();
    if !stream {
        return whole(&writer, output).await;
    }
    // The status line waits for the first token, so that a request which
    // fails before it gets its own status.
    let first = match output.recv().await {
        None => return respond::lost(&id),
        Some(Output::Finish(answer)) if !matches!(answer, Answer::Complete { .. }) => {
            return respond::refuse(&answer, &id);
        }
        Some(first) => first,
    };
    let (pieces, body) = mpsc::channel(OUTPUT);
    tokio::spawn(async move {
        let _running = known.running;
        let mut next = Some(first);
        while let Some(piece) = next {
            let (text, last) = match piece {
                Output::Token(text) => (writer.token(&text), false),
                Output::Finish(Answer::Complete { count }) => (writer.end(count), true),
                Output::Finish(answer) => (respond::error_event(&answer), true),
            };
            if pieces.send(Bytes::from(text)).await.is_err() || last {
                return;
            }
            next = output.recv().await;
        }
    });
    respond::reply(StatusCode::OK, EVENTS, ResponseBody::Chunks(body), &id)
}

async fn whole(writer: &Writer, mut output: mpsc::Receiver<Output>) -> Response<ResponseBody> {
    let mut text = String::new();
    while let Some(piece) = output.recv().await {
        match piece {
            Output::Token(token) => text.push_str(&token),
            Output::Finish(Answer::Complete { count }) => {
                let body = writer.whole(&text, count);
                return respond::reply(StatusCode::OK, JSON, body, &writer.id);
            }
            Output::Finish(answer) => return respond::refuse(&answer, &writer.id),
        }
    }
    respond::lost(&writer.id)
}
