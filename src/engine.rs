//! Interface to model engines, and the HTTP client for upstreams.
//!
//! docs/UPSTREAMS.md describes the protocol.

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::client::conn::http1::{Builder as ClientBuilder, SendRequest};
use hyper::http::request::Builder;
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use self::read_limit::ReadLimit;
pub(crate) use self::read_limit::UpstreamBody;
use crate::clock::{Clock, Time};
use crate::id::UpstreamId;
use crate::platform::{engine as platform, headers};
use crate::turn::TurnStream;
use crate::whole::Payload;

mod read_limit;

/// Timeout for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(750);

/// Maximum size of a read from an upstream, and of a response head, in bytes. Each connection may hold
/// as much.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// Maximum size of an event of a token stream, in bytes.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// One stage of a pipeline: layers `first` (inclusive) to `end` (exclusive).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Stage {
    /// Upstream that runs the stage.
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    pub(crate) first: u32,
    pub(crate) end: u32,
}

/// A generation request to the first stage of a pipeline.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct PipelineRequest {
    pub(crate) request: String,
    pub(crate) attempt: u32,
    pub(crate) organisation: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
    /// Tokens verified in earlier attempts. The engine continues after them.
    pub(crate) tokens: Vec<String>,
    /// Maximum number of tokens of the answer, including `tokens`.
    pub(crate) limit: u32,
    /// Priority; lower values are served first.
    pub(crate) priority: u8,
    /// Time until the deadline, in milliseconds.
    pub(crate) remaining: u64,
    pub(crate) path: Vec<Stage>,
}

/// Layer range that a token has passed in one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct PassedStage {
    pub(crate) upstream: UpstreamId,
    pub(crate) first: u32,
    pub(crate) end: u32,
}

/// An event of a token stream.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(untagged)]
pub(crate) enum EngineEvent {
    Token {
        request: String,
        attempt: u32,
        index: u32,
        text: String,
        passed: Vec<PassedStage>,
    },
    /// A stage failed; no event follows.
    Failed {
        #[allow(dead_code, reason = "checked to be present")]
        request: String,
        #[allow(dead_code, reason = "checked to be present")]
        attempt: u32,
        #[serde(rename = "failed")]
        upstream: UpstreamId,
    },
    /// End of a complete stream.
    Done {
        request: String,
        attempt: u32,
        done: bool,
        count: u32,
        reason: String,
    },
}

/// Why an engine sends no (further) events.
#[derive(Debug, Snafu)]
pub(crate) enum EngineError {
    /// No connection: no byte of the request was sent.
    #[snafu(display("can't connect to the engine; it may have stopped"))]
    Connect,
    /// No sign of a connection in time: no byte of the request was sent.
    #[snafu(display(
        "no connection to the engine in time; it, its machine or the link may be down"
    ))]
    ConnectTimeout,
    /// The engine reports that it didn't run the request.
    #[snafu(display("the engine is busy"))]
    Busy,
    /// The engine answered with another error status.
    #[snafu(display("the engine answered with status {status}"))]
    Status { status: u16 },
    /// The engine sent more than any response head has, and no complete one.
    #[snafu(display("the engine sent a response head without end"))]
    LongHead,
    /// The engine sent a status that ends no response (RFC 9110, section 15).
    #[snafu(display("the engine sent status {status}, which ends no response"))]
    NotFinal { status: u16 },
    /// The connection was lost, or the stream ended without its final event.
    #[snafu(display("the token stream was interrupted"))]
    ConnectionLost,
    /// An event is invalid or too long.
    #[snafu(display("the engine sent an invalid token event"))]
    InvalidEvent,
}

/// Event stream of one attempt. Dropping it cancels the attempt.
pub(crate) trait EventStream: Send {
    /// Returns the next event. Must not be called after the last event or an error.
    fn next(&mut self) -> impl Future<Output = Result<EngineEvent, EngineError>> + Send;
}

/// Starts requests on engines.
pub(crate) trait Engine: Send + Sync {
    /// Event stream of a request.
    type Events: EventStream;
    /// Sends the request to the first stage of its path, unless the cutoff has
    /// passed.
    fn start(
        &self,
        request: &PipelineRequest,
        cutoff: &Cutoff,
    ) -> impl Future<Output = Result<Self::Events, EngineError>> + Send;
}

/// Time by which the first byte of a claimed request must have been sent.
///
/// If the process is suspended while it connects, a repeated request may have
/// been told that the outcome is unknown before the process resumes.
#[derive(Clone)]
pub(crate) struct Cutoff {
    until: Option<Time>,
    clock: Arc<dyn Clock>,
}

impl Cutoff {
    pub(crate) fn new(until: Option<Time>, clock: Arc<dyn Clock>) -> Self {
        Self { until, clock }
    }

    fn passed(&self) -> bool {
        self.until.is_some_and(|until| self.clock.now() >= until)
    }
}

/// A new connection for a single call to an upstream.
///
/// With a new connection, a failure before [`Connection::send`] proves that
/// nothing was sent. A pooled one may be closed by the upstream at the moment of
/// its use. Whether the call ran is then unknown, and a non-idempotent call would
/// needlessly end with an unknown outcome.
pub(crate) struct Connection {
    sender: SendRequest<Payload>,
    driver: Driver,
    read_limit: Arc<ReadLimit>,
}

/// Task that drives a connection. Dropping it closes the connection, which
/// cancels the call at the upstream.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A response and its connection, which must stay open until the body is read.
pub(crate) struct UpstreamResponse {
    pub(crate) response: Response<UpstreamBody>,
    _driver: Driver,
}

impl Connection {
    /// Connects to an upstream. An error proves that nothing was sent.
    pub(crate) async fn open(addr: SocketAddr) -> Result<Self, EngineError> {
        Self::open_within(addr, CONNECT_TIMEOUT).await
    }

    /// Same as [`Connection::open`], with a timeout of `limit`.
    pub(crate) async fn open_within(
        addr: SocketAddr,
        limit: Duration,
    ) -> Result<Self, EngineError> {
        Self::over(timeout(limit, TcpStream::connect(addr)).await).await
    }

    /// Same as [`Connection::open_within`], from the address `source` of this machine. An upstream
    /// then sees the same address for all connections of an instance.
    pub(crate) async fn open_from(
        source: Ipv4Addr,
        addr: SocketAddrV4,
        limit: Duration,
    ) -> Result<Self, EngineError> {
        let connect = async {
            let socket = TcpSocket::new_v4()?;
            socket.bind(SocketAddrV4::new(source, 0).into())?;
            socket.connect(addr.into()).await
        };
        Self::over(timeout(limit, connect).await).await
    }

    async fn over(
        connected: Result<std::io::Result<TcpStream>, Elapsed>,
    ) -> Result<Self, EngineError> {
        let connected = connected.map_err(|_| EngineError::ConnectTimeout)?;
        let stream = connected.map_err(|_| EngineError::Connect)?;
        // With Nagle's algorithm, small writes wait for delayed ACKs.
        let _ = stream.set_nodelay(true);
        let read_limit = Arc::new(ReadLimit::default());
        let stream = TurnStream::new(stream, Arc::clone(&read_limit));
        let mut builder = ClientBuilder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let Ok((sender, connection)) = builder.handshake(TokioIo::new(stream)).await else {
            return ConnectSnafu.fail();
        };
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver: Driver(task),
            read_limit,
        })
    }

    /// Whether the upstream leaves the connection open for `time`.
    pub(crate) async fn stays_open(mut self, time: Duration) -> bool {
        timeout(time, &mut self.driver.0).await.is_err()
    }

    /// Sends the request, unless the cutoff has passed. Once it is sent, it may
    /// run even if an error is returned.
    pub(crate) async fn send(
        mut self,
        request: Request<Payload>,
        cutoff: &Cutoff,
    ) -> Result<UpstreamResponse, EngineError> {
        // Checked between connecting and the first byte, so that only the write
        // itself comes after it.
        if cutoff.passed() {
            return ConnectSnafu.fail();
        }
        let response = self.request(request).await?;
        Ok(UpstreamResponse {
            response,
            _driver: self.driver,
        })
    }

    /// Sends a request; returns the response once its head is complete.
    async fn request(
        &mut self,
        request: Request<Payload>,
    ) -> Result<Response<UpstreamBody>, EngineError> {
        let sent = self.sender.send_request(request).await;
        match sent {
            Ok(response) if !FINAL_STATUSES.contains(&response.status().as_u16()) => {
                let status = response.status().as_u16();
                NotFinalSnafu { status }.fail()
            }
            Ok(response) => {
                self.read_limit.record_taken();
                let limit = Arc::clone(&self.read_limit);
                Ok(response.map(|body| UpstreamBody::new(body, limit)))
            }
            Err(_) if self.read_limit.is_exceeded() => LongHeadSnafu.fail(),
            Err(_) => ConnectionLostSnafu.fail(),
        }
    }
}

/// Statuses of responses that end an exchange.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Maximum body size of a response to [`call`], in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Fetches an engine's report. Returns `None` if none is received in time.
pub(crate) async fn fetch_report(address: SocketAddr, id: &str, limit: Duration) -> Option<Bytes> {
    let request = Request::get(platform::REPORT);
    let answer = call(address, id, request, Bytes::new(), limit).await;
    answer.filter(|a| a.0 == StatusCode::OK).map(|a| a.1)
}

/// Makes a short call to an upstream, which checks that it is `id`. Returns
/// `None` if the outcome of the call is unknown.
pub(crate) async fn call(
    address: SocketAddr,
    id: &str,
    request: Builder,
    body: Bytes,
    limit: Duration,
) -> Option<(StatusCode, Bytes)> {
    let request = call_request(address, id, request, body);
    let answer = async {
        let connection = Connection::open(address).await.ok()?;
        exchange(connection, request).await
    };
    let (head, body) = timeout(limit, answer).await.ok().flatten()?;
    Some((head.status, body))
}

/// Builds the request of a short call to an upstream, which checks that it is `id`.
pub(crate) fn call_request(
    address: SocketAddr,
    id: &str,
    request: Builder,
    body: Bytes,
) -> Request<Payload> {
    request
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(headers::EXPECTED_UPSTREAM, id)
        .body(Payload::from(body))
        .expect("the request head is valid")
}

/// Sends a request on a connection and reads the whole response.
pub(crate) async fn exchange(
    mut connection: Connection,
    request: Request<Payload>,
) -> Option<(Parts, Bytes)> {
    let response = connection.request(request).await.ok()?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES);
    Some((head, body.collect().await.ok()?.to_bytes()))
}

/// Engines reached over HTTP.
pub(crate) struct HttpEngine;

impl Engine for HttpEngine {
    type Events = HttpEventStream;

    async fn start(
        &self,
        request: &PipelineRequest,
        cutoff: &Cutoff,
    ) -> Result<HttpEventStream, EngineError> {
        let first = request.path.first().ok_or(EngineError::Connect)?;
        let connection = Connection::open(first.address).await?;
        let body = serde_json::to_vec(request).expect("a pipeline request always serialises");
        let request = Request::post("/v1/pipeline")
            .header(header::HOST, first.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Payload::from(Bytes::from(body)))
            .expect("the request head is valid");
        let response = connection.send(request, cutoff).await?;
        match response.response.status() {
            StatusCode::OK => Ok(HttpEventStream {
                response,
                buffer: BytesMut::new(),
            }),
            StatusCode::SERVICE_UNAVAILABLE => BusySnafu.fail(),
            status => StatusSnafu {
                status: status.as_u16(),
            }
            .fail(),
        }
    }
}

/// Event stream in a `text/event-stream` body.
pub(crate) struct HttpEventStream {
    response: UpstreamResponse,
    buffer: BytesMut,
}

impl HttpEventStream {
    /// Removes the next complete event from the buffer.
    fn take_event(&mut self) -> Option<Result<EngineEvent, EngineError>> {
        let end = self.buffer.windows(2).position(|w| w == b"\n\n")?;
        let event = self.buffer.split_to(end);
        self.buffer.advance(2);
        let parsed = event
            .strip_prefix(b"data: ")
            .and_then(|data| serde_json::from_slice(data).ok());
        Some(parsed.ok_or(EngineError::InvalidEvent))
    }
}

impl EventStream for HttpEventStream {
    async fn next(&mut self) -> Result<EngineEvent, EngineError> {
        loop {
            if let Some(event) = self.take_event() {
                return event;
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return InvalidEventSnafu.fail();
            }
            let frame = self.response.response.body_mut().frame().await;
            let Some(Ok(frame)) = frame else {
                return ConnectionLostSnafu.fail();
            };
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}
