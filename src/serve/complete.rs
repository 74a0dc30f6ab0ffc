//! Completions: admission, claim, generation and the HTTP response.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

use super::Server;
use super::admit::AuthenticatedRequest;
use super::claims::{ClaimKey, request_digest};
use super::job::{Job, OUTPUT_CAPACITY, Output, Work};
use super::listen::ReceivedRequest;
use super::respond::{self, EVENT_STREAM, JSON};
use crate::catalogue::{Route, Target};
use crate::http::ResponseBody;
use crate::id::OrganisationId;
use crate::openai::{CompletionRequest, Endpoint, ResponseWriter};
use crate::request::{Answer, Claimed, Lifecycle, RefusalCode};

/// Approximate number of prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// Length of the prompt prefix by which an engine's cache is looked up, in bytes.
const PREFIX_BYTES: usize = 512;

impl Server {
    /// Answers `POST /v1/completions` and `/v1/chat/completions`.
    pub(crate) async fn complete(
        self: Arc<Self>,
        endpoint: Endpoint,
        received: ReceivedRequest,
    ) -> Response<ResponseBody> {
        let request = match self.authenticate(&received.head) {
            Ok(request) => request,
            Err(response) => return *response,
        };
        let id = request.id.to_string();
        match self.begin_completion(endpoint, &request, &received).await {
            Ok((completion, output)) => {
                let writer = ResponseWriter {
                    endpoint,
                    id: id.clone(),
                    model: completion.route,
                    limit: completion.limit,
                };
                respond_with_output(writer, completion.stream, output, request).await
            }
            Err((answer, parsed)) => {
                self.record_answer(request.id, &answer);
                respond_without_run(&answer, parsed, id)
            }
        }
    }

    /// Parses, admits and claims the request and starts the generation.
    async fn begin_completion(
        self: &Arc<Self>,
        endpoint: Endpoint,
        request: &AuthenticatedRequest,
        received: &ReceivedRequest,
    ) -> Result<
        (CompletionRequest, mpsc::Receiver<Output>),
        (Answer, Option<(CompletionRequest, Endpoint)>),
    > {
        let keyed = request.headers.idempotency_key.is_some();
        let refuse = |code| (Answer::refused_early(code, keyed, None), None);
        let completion = CompletionRequest::parse(endpoint, &received.body)
            .map_err(|_| refuse(RefusalCode::InvalidRequest))?;
        let route = request.route(&completion.route);
        let route = route.ok_or_else(|| refuse(RefusalCode::UnknownRoute))?;
        let Target::Model(model) = &route.target else {
            return Err(refuse(RefusalCode::UnknownRoute));
        };
        // The digest excludes `stream`: a caller whose stream was cut may
        // request the stored answer in one piece.
        let digest = request_digest(&[
            route.name.as_bytes(),
            completion.prompt.as_bytes(),
            &completion.limit.to_be_bytes(),
        ]);
        let key = request.claim_key(digest);
        let used = Arc::new(AtomicU32::new(0));
        let lifecycle = self
            .admit_and_claim(request, route, &completion, key.as_ref(), &used)
            .await
            .map_err(|answer| (answer, Some((completion.clone(), endpoint))))?;
        let job = Job {
            id: request.id,
            organisation: request.organisation.clone(),
            route: route.name.as_str().into(),
            class: route.class,
            model: model.as_str().into(),
            pools: route.pools.clone().into(),
            prompt_tokens: prompt_tokens(&completion.prompt),
            prefix: prefix_hash(&request.organisation, &completion.prompt),
            limit: completion.limit,
            idempotent: lifecycle.idempotent,
            deadline: request.deadline,
            key,
            used,
            work: Work::Engine(completion.prompt.clone()),
            running: self.deps.gate.track(),
        };
        Ok((completion, self.start(job, lifecycle)))
    }

    async fn admit_and_claim(
        self: &Arc<Self>,
        request: &AuthenticatedRequest,
        route: &Route,
        completion: &CompletionRequest,
        key: Option<&ClaimKey>,
        used: &Arc<AtomicU32>,
    ) -> Result<Lifecycle<Claimed<super::PermitGuard>>, Answer> {
        let tokens = prompt_tokens(&completion.prompt) + completion.limit;
        let lifecycle = request.lifecycle(route);
        let lifecycle = self
            .admit(lifecycle, route, tokens, request.deadline, used)
            .await?;
        self.claim(lifecycle, key, request.deadline).await
    }
}

/// Hash of the prompt's prefix, if the prompt is long enough for the cache to
/// matter. The hash covers the organisation: with a shared cache, the time to the
/// first token would reveal the prompts of other organisations.
fn prefix_hash(organisation: &OrganisationId, prompt: &str) -> Option<u64> {
    let prefix = prompt.as_bytes().get(..PREFIX_BYTES)?;
    let mut hasher = rustc_hash::FxHasher::default();
    (organisation, prefix).hash(&mut hasher);
    Some(hasher.finish())
}

fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX / 2)
}

/// Response to a request that didn't run: a refusal, or the stored answer to an
/// earlier request with the same key.
fn respond_without_run(
    answer: &Answer,
    parsed: Option<(CompletionRequest, Endpoint)>,
    id: String,
) -> Response<ResponseBody> {
    let (Answer::Stored(stored), Some((completion, endpoint))) = (answer, parsed) else {
        return respond::error(answer, &id);
    };
    let text = String::from_utf8_lossy(&stored.body);
    let writer = ResponseWriter {
        endpoint,
        id: id.clone(),
        model: completion.route,
        limit: completion.limit,
    };
    let count = stored.tokens().unwrap_or(completion.limit);
    if completion.stream {
        let events = writer.token(&text) + &writer.end(count);
        return respond::response(StatusCode::OK, EVENT_STREAM, events, &id);
    }
    let body = writer.complete(&text, count);
    respond::response(StatusCode::OK, JSON, body, &id)
}

/// Response with the output of a generation, streamed or in one piece as the
/// caller requested.
async fn respond_with_output(
    writer: ResponseWriter,
    stream: bool,
    mut output: mpsc::Receiver<Output>,
    request: AuthenticatedRequest,
) -> Response<ResponseBody> {
    let id = writer.id.clone();
    if !stream {
        return respond_complete(&writer, output).await;
    }
    // The status line is sent with the first token, so that a request that
    // fails earlier gets an error status.
    let first = match output.recv().await {
        None => return respond::missing_answer(&id),
        Some(Output::Finish(answer)) if !matches!(answer, Answer::Complete { .. }) => {
            return respond::error(&answer, &id);
        }
        Some(first) => first,
    };
    let (sender, body) = mpsc::channel(OUTPUT_CAPACITY);
    tokio::spawn(async move {
        let _running = request.running;
        let mut next = Some(first);
        while let Some(piece) = next {
            let (text, last) = match piece {
                Output::Token(text) => (writer.token(&text), false),
                Output::Finish(Answer::Complete { count }) => (writer.end(count), true),
                Output::Finish(answer) => (respond::error_event(&answer), true),
            };
            if sender.send(Bytes::from(text)).await.is_err() || last {
                return;
            }
            next = output.recv().await;
        }
    });
    respond::response(
        StatusCode::OK,
        EVENT_STREAM,
        ResponseBody::Chunks(body),
        &id,
    )
}

/// Response in one piece, after the generation has ended.
async fn respond_complete(
    writer: &ResponseWriter,
    mut output: mpsc::Receiver<Output>,
) -> Response<ResponseBody> {
    let mut text = String::new();
    while let Some(piece) = output.recv().await {
        match piece {
            Output::Token(token) => text.push_str(&token),
            Output::Finish(Answer::Complete { count }) => {
                let body = writer.complete(&text, count);
                return respond::response(StatusCode::OK, JSON, body, &writer.id);
            }
            Output::Finish(answer) => return respond::error(&answer, &writer.id),
        }
    }
    respond::missing_answer(&writer.id)
}
