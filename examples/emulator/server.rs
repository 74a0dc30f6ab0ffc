//! HTTP server of one emulated upstream.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::engine::{self, StageOutcome};
use crate::fault::{Fault, Mode};
use crate::protocol::{PipelineRequest, StageCall, StageEnd};
use crate::spec::Kind;
use crate::upstream::Upstream;

type Reply = Response<BoxBody<Bytes, io::Error>>;

/// Maximum number of events buffered for a slow caller.
const EVENT_BUFFER: usize = 64;

/// Accepts connections until the process ends.
pub(crate) async fn serve(upstream: Arc<Upstream>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve_connection(upstream.clone(), stream))),
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn serve_connection(upstream: Arc<Upstream>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handle(upstream.clone(), request));
    // An error means that the caller closed the connection or that a fault was injected.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle(upstream: Arc<Upstream>, request: Request<Incoming>) -> io::Result<Reply> {
    let path = request.uri().path().to_owned();
    let service = matches!(upstream.spec.kind, Kind::Service { .. });
    match (request.method(), path.as_str()) {
        (&Method::GET, "/emulator/executions") => Ok(executions(&upstream, &request)),
        (&Method::POST, "/emulator/fault") => fault(&upstream, request).await,
        (&Method::DELETE, "/emulator/fault") => {
            upstream.faults.lock().unwrap().clear();
            Ok(json_reply(StatusCode::OK, &json!({})))
        }
        _ if service => service_call(&upstream, request).await,
        (&Method::POST, "/v1/pipeline") => pipeline(upstream, request).await,
        (&Method::POST, "/v1/stage") => stage(&upstream, request).await,
        (&Method::POST, "/v1/stage/end") => {
            let end: StageEnd = read_json(request).await?;
            upstream.release_slot(&(end.request, end.attempt));
            Ok(json_reply(StatusCode::OK, &json!({})))
        }
        _ => Ok(json_reply(StatusCode::NOT_FOUND, &json!({"error": "path"}))),
    }
}

fn executions(upstream: &Upstream, request: &Request<Incoming>) -> Reply {
    let load = upstream.load();
    let counts = upstream.counts.lock().unwrap();
    let mut value = if request.uri().query() == Some("summary") {
        json!({"totals": counts.totals})
    } else {
        json!(*counts)
    };
    value["upstream"] = json!(upstream.spec.id);
    value["running"] = json!(load);
    json_reply(StatusCode::OK, &value)
}

async fn fault(upstream: &Upstream, request: Request<Incoming>) -> io::Result<Reply> {
    let fault: Fault = read_json(request).await?;
    upstream.faults.lock().unwrap().add(fault);
    Ok(json_reply(StatusCode::OK, &json!({})))
}

async fn pipeline(upstream: Arc<Upstream>, request: Request<Incoming>) -> io::Result<Reply> {
    let call: PipelineRequest = read_json(request).await?;
    if !engine::accepts(&upstream, &call) {
        return Ok(json_reply(
            StatusCode::BAD_REQUEST,
            &json!({"error": "path"}),
        ));
    }
    let key = (call.request.clone(), call.attempt);
    let Some(fault) = upstream.acquire_slot(&key, true) else {
        return Ok(busy(&upstream));
    };
    let mode = fault.as_ref().map(|f| f.mode);
    if matches!(mode, Some(Mode::Busy | Mode::Refuse)) {
        upstream.release_slot(&key);
        return match mode {
            Some(Mode::Busy) => Ok(busy(&upstream)),
            _ => Err(connection_closed()),
        };
    }
    let late = upstream.past_grace();
    {
        let mut counts = upstream.counts.lock().unwrap();
        counts.totals.late += u64::from(late);
        let prompt = crate::model::Context::new(&call.prompt).state();
        counts.begin_attempt(&call.request, prompt);
    }
    let (out, queue) = mpsc::channel(EVENT_BUFFER);
    tokio::spawn(engine::run_pipeline(upstream, call, fault, out));
    let error = None;
    let body = ChannelBody { queue, error }.boxed();
    let reply = Response::builder().header("content-type", "text/event-stream");
    reply.body(body).map_err(io::Error::other)
}

fn busy(upstream: &Upstream) -> Reply {
    upstream.counts.lock().unwrap().totals.busy += 1;
    json_reply(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "busy"}))
}

async fn stage(upstream: &Upstream, request: Request<Incoming>) -> io::Result<Reply> {
    let call: StageCall = read_json(request).await?;
    match engine::run_stage(upstream, call).await {
        StageOutcome::Reply(reply) => Ok(json_reply(StatusCode::OK, &json!(reply))),
        StageOutcome::Status(status) => Ok(json_reply(status, &json!({"error": "busy"}))),
        StageOutcome::Garbage => Ok(full_reply(StatusCode::OK, "no json".into())),
        StageOutcome::Close => Err(connection_closed()),
    }
}

/// Echoes a call to a plain service.
async fn service_call(upstream: &Upstream, request: Request<Incoming>) -> io::Result<Reply> {
    let key = ("call".to_owned(), rand::random());
    let Some(fault) = upstream.acquire_slot(&key, true) else {
        return Ok(busy(upstream));
    };
    let reply = echo(upstream, request, fault.as_ref()).await;
    upstream.release_slot(&key);
    reply
}

async fn echo(
    upstream: &Upstream,
    request: Request<Incoming>,
    fault: Option<&Fault>,
) -> io::Result<Reply> {
    let mode = fault.map(|f| f.mode);
    match mode {
        Some(Mode::Busy) => return Ok(busy(upstream)),
        Some(Mode::Refuse) => return Err(connection_closed()),
        _ => {}
    }
    let header = |name: &str| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let (id, key) = (header("x-request-id"), header("idempotency-key"));
    let method = request.method().to_string();
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    let late = upstream.past_grace();
    let count = {
        let mut counts = upstream.counts.lock().unwrap();
        counts.totals.late += u64::from(late);
        counts.record_call(id.as_deref(), key.as_deref())
    };
    upstream.compute().await;
    match mode {
        Some(Mode::Cut) => return Err(connection_closed()),
        Some(Mode::Stall) => std::future::pending().await,
        Some(Mode::Crash) => std::process::exit(101),
        Some(Mode::Garbage) => return Ok(full_reply(StatusCode::OK, "no json".into())),
        Some(Mode::Slow) => {
            let ms = fault.map_or(0, |f| f.ms);
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        _ => {}
    }
    upstream.counts.lock().unwrap().totals.finished += 1;
    let value = json!({
        "method": method,
        "path": path,
        "body": String::from_utf8_lossy(&body),
        "request": id,
        "count": count,
    });
    Ok(json_reply(StatusCode::OK, &value))
}

/// Parses the body as JSON; an invalid body closes the connection.
async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> io::Result<T> {
    let body = request.into_body().collect().await;
    let bytes = body.map_err(io::Error::other)?.to_bytes();
    serde_json::from_slice(&bytes).map_err(io::Error::other)
}

fn json_reply(status: StatusCode, value: &Value) -> Reply {
    full_reply(status, value.to_string().into())
}

fn full_reply(status: StatusCode, bytes: Bytes) -> Reply {
    let body = Full::new(bytes).map_err(|never: Infallible| match never {});
    let mut reply = Response::new(body.boxed());
    *reply.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert("content-type", json);
    reply
}

fn connection_closed() -> io::Error {
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "connection closed by an injected fault",
    )
}

/// Response body that is fed through a channel.
///
/// It returns `Pending` once before an error, so that the server flushes the frames before it
/// and the connection closes after exactly the requested number of tokens.
struct ChannelBody {
    queue: mpsc::Receiver<io::Result<Bytes>>,
    error: Option<io::Error>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match self.queue.poll_recv(context) {
            Poll::Ready(Some(Err(error))) => {
                self.error = Some(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            frame => frame.map(|next| next.map(|result| result.map(Frame::data))),
        }
    }
}
