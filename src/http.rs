//! HTTP server for callers, operators and upstreams.
//!
//! It is based on hyper. astra, the alternative, left connections stuck and delayed
//! small chunks; see docs/TRIALS.md.

use std::convert::Infallible;
use std::net::TcpListener as StdListener;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits on the requests of a client.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceiveLimits {
    /// Maximum size of a request head, in bytes. A larger one is answered with 431.
    pub(crate) max_head: usize,
    /// Timeout for receiving the head, and again for the body.
    pub(crate) receive_timeout: Duration,
}

/// Accepts connections until the runtime stops, and answers each request with
/// `handler`.
pub(crate) async fn accept<H, F, B>(listener: StdListener, limits: ReceiveLimits, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (_open, closing) = watch::channel(false);
    accept_until(listener, limits, || true, handler, closing).await;
}

/// Same as [`accept`], until `closing` becomes true. The listener is then closed,
/// and each open connection after its current response. Each new connection that `admit` refuses
/// is reset unread.
pub(crate) async fn accept_until<H, F, B>(
    listener: StdListener,
    limits: ReceiveLimits,
    admit: impl Fn() -> bool,
    handler: H,
    closing: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let listener = TcpListener::from_std(listener).expect("the listener doesn't block");
    let mut shutdown = closing.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Dropping the listener refuses new connections, so that callers try
            // another instance. Accepted ones would be cut off when the process
            // exits.
            () = wait_closing(&mut shutdown) => return,
        };
        match accepted {
            Ok((stream, _)) if !admit() => {
                // A closed connection could still accept the request's bytes, so that its caller
                // would wait for an answer.
                let _ = stream.set_zero_linger();
            }
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, limits, handler.clone(), closing.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve<H, F, B>(
    stream: TcpStream,
    limits: ReceiveLimits,
    handler: H,
    mut closing: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // With Nagle's algorithm, each token waits for the delayed ACK of the one
    // before.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.receive_timeout)
        .max_buf_size(limits.max_head)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = wait_closing(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = served {
        tracing::debug!("client connection failed: {e}");
    }
}

/// Waits until `closing` becomes true.
async fn wait_closing(closing: &mut watch::Receiver<bool>) {
    let signalled = closing.wait_for(|closing| *closing).await.is_ok();
    if !signalled {
        // The sender is gone: the signal can't come any more.
        std::future::pending::<()>().await;
    }
}

/// Why a request body was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceiveError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The connection was closed before the end of the body.
    Incomplete,
    /// The body was not received in time.
    Timeout,
}

/// Reads a complete body of at most `max_bytes` within `time_limit`.
pub(crate) async fn read_body<B>(
    body: B,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<Bytes, ReceiveError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match timeout(time_limit, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(ReceiveError::TooLarge),
        Ok(Err(_)) => Err(ReceiveError::Incomplete),
        Err(_) => Err(ReceiveError::Timeout),
    }
}

/// A response body.
pub(crate) enum ResponseBody {
    /// The complete body; `None` once it was sent.
    Full(Option<Bytes>),
    /// Chunks from a channel. The body ends when the sender is dropped. If the
    /// client disconnects, hyper drops the receiver, which closes the channel.
    Chunks(mpsc::Receiver<Bytes>),
}

impl From<String> for ResponseBody {
    fn from(text: String) -> Self {
        Self::Full(Some(text.into()))
    }
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self::Full(Some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Chunks(chunks) => chunks.poll_recv(cx).map(|p| p.map(|b| Ok(Frame::data(b)))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }
}
