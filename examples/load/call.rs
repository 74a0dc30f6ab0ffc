//! Sends one call of a request, reads the answer and verifies it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

use crate::model;
use crate::options::{Options, Stage};
use crate::outcome::{Defect, Outcome, prompt, verify};

/// HTTP client with a connection pool.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client that never resends a request by itself.
pub(crate) fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(5)));
    let mut builder = Client::builder(TokioExecutor::new());
    builder.retry_canceled_requests(false);
    builder.build(connector)
}

/// Request of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) index: usize,
    pub(crate) non_idempotent: bool,
}

/// Destination of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Destination<'a> {
    Instance(SocketAddr),
    Direct(&'a [Stage]),
}

/// Outcome of a call and the arrival times of its tokens.
#[derive(Debug)]
pub(crate) struct CallResult {
    pub(crate) outcome: Outcome,
    /// Arrival of each token, measured from the start of the call.
    pub(crate) arrivals: Vec<Duration>,
    pub(crate) duration: Duration,
}

/// Calls a destination within the time limit of the options.
pub(crate) async fn send(
    http: &HttpClient,
    options: &Options,
    job: Job,
    destination: Destination<'_>,
) -> CallResult {
    let start = Instant::now();
    let mut answer = Answer::default();
    let exchange = exchange(http, options, job, destination, start, &mut answer);
    let failure = match tokio::time::timeout(options.timeout, exchange).await {
        Ok(Ok(())) => None,
        Ok(Err(outcome)) => Some(outcome),
        Err(_) => Some(Outcome::Timeout),
    };
    let outcome = failure.unwrap_or_else(|| {
        let text = prompt(options.seed, job.index);
        let expected = model::generate(&text, options.layers, options.tokens);
        verify(
            &answer.tokens,
            &expected,
            options.seed,
            job.index,
            options.layers,
        )
    });
    CallResult {
        outcome,
        arrivals: answer.arrivals,
        duration: start.elapsed(),
    }
}

#[derive(Default)]
struct Answer {
    tokens: Vec<String>,
    arrivals: Vec<Duration>,
    finished: bool,
    closed: bool,
}

/// Sends the call and reads a complete answer. Any other outcome is the error.
async fn exchange(
    http: &HttpClient,
    options: &Options,
    job: Job,
    destination: Destination<'_>,
    start: Instant,
    answer: &mut Answer,
) -> Result<(), Outcome> {
    let request = match destination {
        Destination::Instance(target) => instance_request(options, job, target),
        Destination::Direct(stages) => pipeline_request(options, job, stages),
    };
    let reply = http.request(request).await.map_err(|error| {
        if error.is_connect() {
            Outcome::Unreachable
        } else {
            Outcome::Cut
        }
    })?;
    if !reply.status().is_success() {
        return Err(read_refusal(reply).await);
    }
    match destination {
        Destination::Instance(_) if !options.stream => {
            read_complete(reply, options, start, answer).await
        }
        _ => read_stream(reply, start, answer).await,
    }
}

fn instance_request(options: &Options, job: Job, target: SocketAddr) -> Request<Full<Bytes>> {
    let text = prompt(options.seed, job.index);
    let (path, mut body) = if options.chat {
        let messages = json!([{"role": "user", "content": text}]);
        ("/v1/chat/completions", json!({"messages": messages}))
    } else {
        ("/v1/completions", json!({"prompt": text}))
    };
    body["model"] = json!(options.route);
    body["max_tokens"] = json!(options.tokens);
    body["stream"] = json!(options.stream);
    let key = &options.keys[job.index % options.keys.len()];
    let mut request = Request::post(format!("http://{target}{path}"))
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {key}"));
    if job.non_idempotent {
        request = request.header("x-non-idempotent", "true");
    }
    if job.non_idempotent || options.resends > 0 {
        let key = format!("load-{}-{}", options.seed, job.index);
        request = request.header("idempotency-key", key);
    }
    if let Some(deadline) = options.deadline {
        request = request.header("x-deadline-ms", deadline);
    }
    let body = Full::from(body.to_string());
    request
        .body(body)
        .expect("the parts of the request are valid")
}

fn pipeline_request(options: &Options, job: Job, stages: &[Stage]) -> Request<Full<Bytes>> {
    let hop = |s: &Stage| json!({"upstream": s.upstream, "address": s.address, "first": s.first, "end": s.end});
    let path: Vec<_> = stages.iter().map(hop).collect();
    let body = json!({
        "request": format!("load-{}-{}", options.seed, job.index), "attempt": 1,
        "organisation": "load", "model": options.model,
        "prompt": prompt(options.seed, job.index), "tokens": [],
        "limit": options.tokens, "priority": 0,
        "remaining": options.timeout.as_millis() as u64, "path": path,
    });
    let address = stages[0].address;
    Request::post(format!("http://{address}/v1/pipeline"))
        .header("content-type", "application/json")
        .body(Full::from(body.to_string()))
        .expect("the parts of the request are valid")
}

async fn read_refusal(reply: Response<Incoming>) -> Outcome {
    let status = reply.status();
    let Ok(body) = reply.into_body().collect().await else {
        return Outcome::Cut;
    };
    let value = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
    if value["error"] == "busy" {
        return Outcome::Refused {
            code: "busy".to_owned(),
            ran: "no".to_owned(),
            retry_ms: 0,
        };
    }
    parse_error(&value["error"]).unwrap_or_else(|| Outcome::Refused {
        code: format!("untyped {status}"),
        ran: "unknown".to_owned(),
        retry_ms: 0,
    })
}

fn parse_error(error: &Value) -> Option<Outcome> {
    Some(Outcome::Refused {
        code: error["code"].as_str()?.to_owned(),
        ran: error["ran"].as_str()?.to_owned(),
        retry_ms: error["retry"].as_u64().unwrap_or(0),
    })
}

async fn read_complete(
    reply: Response<Incoming>,
    options: &Options,
    start: Instant,
    answer: &mut Answer,
) -> Result<(), Outcome> {
    let body = reply.into_body().collect().await;
    let bytes = body.map_err(|_| Outcome::Cut)?.to_bytes();
    let malformed = Outcome::Invalid(Defect::Wrong);
    let value: Value = serde_json::from_slice(&bytes).map_err(|_| malformed.clone())?;
    let choice = &value["choices"][0];
    let text = if options.chat {
        &choice["message"]["content"]
    } else {
        &choice["text"]
    };
    let text = text.as_str().ok_or(malformed)?;
    answer.tokens = text.split_inclusive(' ').map(str::to_owned).collect();
    answer.arrivals.push(start.elapsed());
    Ok(())
}

async fn read_stream(
    reply: Response<Incoming>,
    start: Instant,
    answer: &mut Answer,
) -> Result<(), Outcome> {
    let mut body = reply.into_body();
    let mut buffer = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Outcome::Cut)?;
        buffer.extend_from_slice(frame.data_ref().map_or(&[][..], |b| &b[..]));
        while let Some(at) = buffer.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = buffer.drain(..at + 2).collect();
            process_event(&event, start, answer)?;
        }
    }
    if answer.closed {
        Ok(())
    } else {
        Err(Outcome::Cut)
    }
}

/// Processes one event of the stream of an instance or an engine.
fn process_event(event: &[u8], start: Instant, answer: &mut Answer) -> Result<(), Outcome> {
    let malformed = || Outcome::Invalid(Defect::Wrong);
    let text = std::str::from_utf8(event).map_err(|_| malformed())?;
    let Some(data) = text.trim().strip_prefix("data:") else {
        return if text.starts_with(':') {
            Ok(())
        } else {
            Err(malformed())
        };
    };
    if answer.closed {
        return Err(malformed());
    }
    if data.trim() == "[DONE]" {
        answer.closed = true;
        return if answer.finished {
            Ok(())
        } else {
            Err(malformed())
        };
    }
    let value: Value = serde_json::from_str(data).map_err(|_| malformed())?;
    if value.get("error").is_some() {
        return Err(parse_error(&value["error"]).unwrap_or_else(malformed));
    }
    if value["done"] == true {
        answer.closed = true;
        return Ok(());
    }
    let choice = &value["choices"][0];
    answer.finished |= choice["finish_reason"] == "length";
    let candidates = [&value["text"], &choice["text"], &choice["delta"]["content"]];
    let token = candidates.iter().find_map(|v| v.as_str()).unwrap_or("");
    if !token.is_empty() {
        answer.tokens.push(token.to_owned());
        answer.arrivals.push(start.elapsed());
    }
    Ok(())
}
