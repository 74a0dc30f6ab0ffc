//! Model engines, behind one narrow trait, and the HTTP client for them.
//!
//! docs/UPSTREAMS.md describes the protocol.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::http::request::Builder;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::clock::{Clock, Time};
use crate::id::UpstreamId;
use crate::platform::{engine as platform, headers};

/// Longest time to connect to an upstream.
const CONNECT: Duration = Duration::from_millis(750);

/// Longest event of a token stream, in bytes.
const MAX_EVENT: usize = 64 * 1024;

/// One stage of a pipeline: layers `first` (inclusive) to `end` (exclusive).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Stage {
    /// Who runs the stage.
    pub(crate) upstream: UpstreamId,
    /// Where.
    pub(crate) address: SocketAddr,
    /// First layer.
    pub(crate) first: u32,
    /// Layer behind the last.
    pub(crate) end: u32,
}

/// An order to generate, as the first stage gets it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Order {
    pub(crate) request: String,
    pub(crate) attempt: u32,
    pub(crate) organisation: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
    /// Tokens verified on earlier attempts; generation goes on behind them.
    pub(crate) tokens: Vec<String>,
    /// Tokens of the whole answer.
    pub(crate) limit: u32,
    /// Lower numbers go first.
    pub(crate) priority: u8,
    /// Milliseconds left to the deadline.
    pub(crate) remaining: u64,
    pub(crate) path: Vec<Stage>,
}

/// Layers that a token passed in one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct Passed {
    pub(crate) upstream: UpstreamId,
    pub(crate) first: u32,
    pub(crate) end: u32,
}

/// One event of a token stream.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(untagged)]
pub(crate) enum EngineEvent {
    /// A token.
    Token {
        request: String,
        attempt: u32,
        index: u32,
        text: String,
        passed: Vec<Passed>,
    },
    /// A stage failed; nothing follows.
    Failed {
        #[allow(dead_code, reason = "checked to be present")]
        request: String,
        #[allow(dead_code, reason = "checked to be present")]
        attempt: u32,
        #[serde(rename = "failed")]
        upstream: UpstreamId,
    },
    /// The end of a whole stream.
    Done {
        request: String,
        attempt: u32,
        done: bool,
        count: u32,
        reason: String,
    },
}

/// Why an engine gives no (further) events.
#[derive(Debug, Snafu)]
pub(crate) enum EngineError {
    /// No connection: not a byte of the order has left.
    #[snafu(display("can't connect to the engine; it may have ended"))]
    Connect,
    /// The engine says that it didn't run the order.
    #[snafu(display("the engine is busy"))]
    Busy,
    /// The engine refused in another way.
    #[snafu(display("the engine answered with status {status}"))]
    Status { status: u16 },
    /// The connection broke, or the stream ended without its closing event.
    #[snafu(display("the token stream was cut"))]
    Cut,
    /// An event can't be understood.
    #[snafu(display("the engine sent what isn't a token event"))]
    Garbage,
}

/// Events of one attempt. Dropping it cancels the attempt.
pub(crate) trait Events: Send {
    /// The next event; never called again after the last or an error.
    fn next(&mut self) -> impl Future<Output = Result<EngineEvent, EngineError>> + Send;
}

/// Runs orders on engines.
pub(crate) trait Engine: Send + Sync {
    /// Events that an order yields.
    type Events: Events;
    /// Sends the order to the first stage of its path, unless the cutoff has
    /// passed.
    fn start(
        &self,
        order: &Order,
        cutoff: &Cutoff,
    ) -> impl Future<Output = Result<Self::Events, EngineError>> + Send;
}

/// Time at which the first byte of a claimed request must have left.
///
/// Guards against an instance that freezes while it connects: by the time it
/// wakes, a later sending may have been told that the outcome is unknown. It
/// holds as it is asked between the connection and the first byte; only the
/// write itself lies behind it.
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

/// A connection of its own for one call to an upstream.
///
/// A pooled connection may have been closed by the upstream at the moment of
/// use; whether the call then ran can't be known, and a non-idempotent call
/// would end as unknown for no need. With a fresh connection a failure before
/// [`Connection::send`] proves that nothing has left.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
}

/// Ends the connection when dropped: the upstream sees that the caller left.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A response with the connection that it comes from.
pub(crate) struct UpstreamResponse {
    pub(crate) response: Response<Incoming>,
    _driver: Driver,
}

impl Connection {
    /// Connects; an error proves that nothing has left.
    pub(crate) async fn open(addr: SocketAddr) -> Result<Self, EngineError> {
        Self::open_within(addr, CONNECT).await
    }

    /// As [`Connection::open`], within `limit`.
    pub(crate) async fn open_within(
        addr: SocketAddr,
        limit: Duration,
    ) -> Result<Self, EngineError> {
        let connected = timeout(limit, TcpStream::connect(addr)).await;
        let Ok(Ok(stream)) = connected else {
            return ConnectSnafu.fail();
        };
        // Without it each small request waits for the delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let Ok((sender, connection)) = handshake(TokioIo::new(stream)).await else {
            return ConnectSnafu.fail();
        };
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver: Driver(task),
        })
    }

    /// Sends the request, unless the cutoff has passed. From here on it may
    /// have run.
    pub(crate) async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        cutoff: &Cutoff,
    ) -> Result<UpstreamResponse, EngineError> {
        if cutoff.passed() {
            return ConnectSnafu.fail();
        }
        let sent = self.sender.send_request(request).await;
        let response = sent.map_err(|_| EngineError::Cut)?;
        Ok(UpstreamResponse {
            response,
            _driver: self.driver,
        })
    }
}

/// Longest answer to a call that is read, in bytes.
const MAX_ANSWER: usize = 64 << 10;

/// Asks an engine for its report; nothing when none came in time.
pub(crate) async fn fetch_report(address: SocketAddr, id: &str, limit: Duration) -> Option<Bytes> {
    let request = Request::get(platform::REPORT);
    let answer = call(address, id, request, Bytes::new(), limit).await;
    answer.filter(|a| a.0 == StatusCode::OK).map(|a| a.1)
}

/// Makes one short call to an upstream that expects to be `id`. Nothing when it
/// is unknown what became of the call.
pub(crate) async fn call(
    address: SocketAddr,
    id: &str,
    request: Builder,
    body: Bytes,
    limit: Duration,
) -> Option<(StatusCode, Bytes)> {
    let request = request
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(headers::EXPECTED, id)
        .body(Full::from(body))
        .expect("the parts of the head are valid");
    let exchange = async {
        let mut connection = Connection::open(address).await.ok()?;
        let response = connection.sender.send_request(request).await.ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER);
        Some((status, body.collect().await.ok()?.to_bytes()))
    };
    timeout(limit, exchange).await.ok().flatten()
}

/// Engines over HTTP.
pub(crate) struct HttpEngine;

impl Engine for HttpEngine {
    type Events = HttpEvents;

    async fn start(&self, order: &Order, cutoff: &Cutoff) -> Result<HttpEvents, EngineError> {
        let head = order.path.first().ok_or(EngineError::Connect)?;
        let connection = Connection::open(head.address).await?;
        let body = serde_json::to_vec(order).expect("an order always serialises");
        let request = Request::post("/v1/pipeline")
            .header(header::HOST, head.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .expect("the parts of the head are valid");
        let answer = connection.send(request, cutoff).await?;
        match answer.response.status() {
            StatusCode::OK => Ok(HttpEvents {
                answer,
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

/// Events read from a `text/event-stream` body.
pub(crate) struct HttpEvents {
    answer: UpstreamResponse,
    buffer: BytesMut,
}

impl HttpEvents {
    /// Takes the next whole event out of the buffer.
    fn take(&mut self) -> Option<Result<EngineEvent, EngineError>> {
        let end = self.buffer.windows(2).position(|w| w == b"\n\n")?;
        let event = self.buffer.split_to(end);
        self.buffer.advance(2);
        let parsed = event
            .strip_prefix(b"data: ")
            .and_then(|data| serde_json::from_slice(data).ok());
        Some(parsed.ok_or(EngineError::Garbage))
    }
}

impl Events for HttpEvents {
    async fn next(&mut self) -> Result<EngineEvent, EngineError> {
        loop {
            if let Some(event) = self.take() {
                return event;
            }
            if self.buffer.len() > MAX_EVENT {
                return GarbageSnafu.fail();
            }
            let frame = self.answer.response.body_mut().frame().await;
            let Some(Ok(frame)) = frame else {
                return CutSnafu.fail();
            };
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}
