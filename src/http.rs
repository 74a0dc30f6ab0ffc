//! The HTTP server that callers, operators and upstreams meet.
//!
//! hyper serves all of them: astra strands connections and hands small pieces
//! on late, see docs/TRIALS.md.

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

/// Pause after a failed accept, such as for lack of file descriptors.
const PAUSE: Duration = Duration::from_millis(50);

/// ReceiveLimits on what a client may send.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceiveLimits {
    /// Longest head of a request, in bytes. A longer one is answered with 431.
    pub(crate) max_head: usize,
    /// Longest time to send a head, and again to send a body.
    pub(crate) receive_timeout: Duration,
}

/// Accepts connections until the runtime ends, and answers each request with
/// what `handler` gives.
pub(crate) async fn accept<H, F, B>(listener: StdListener, limits: ReceiveLimits, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (_open, closing) = watch::channel(false);
    accept_until(listener, limits, handler, closing).await;
}

/// As [`accept`], until `closing` tells to take no new connections and to close
/// each that is open after the answer that runs on it.
pub(crate) async fn accept_until<H, F, B>(
    listener: StdListener,
    limits: ReceiveLimits,
    handler: H,
    closing: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let listener = TcpListener::from_std(listener).expect("the listener doesn't block");
    let mut told = closing.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Dropping the listener refuses callers at once, and they go
            // elsewhere. Taken in, they would be cut off with the process.
            () = closed(&mut told) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, limits, handler.clone(), closing.clone()));
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
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
    // Without it each token waits for the delayed acknowledgement of the one
    // before.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.receive_timeout)
        .max_buf_size(limits.max_head)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = closed(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = served {
        tracing::debug!("a client's connection ended: {e}");
    }
}

/// Returns once connections are to be closed.
async fn closed(closing: &mut watch::Receiver<bool>) {
    let told = closing.wait_for(|closing| *closing).await.is_ok();
    if !told {
        // Nobody is left who could tell.
        std::future::pending::<()>().await;
    }
}

/// Why a body wasn't received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReceiveError {
    /// It is longer than the bound.
    TooLarge,
    /// The client closed in the middle of it.
    Incomplete,
    /// It wasn't sent in time.
    Timeout,
}

/// Reads a body whole, of at most `most` bytes within `time`.
pub(crate) async fn read_body<B>(
    body: B,
    most: usize,
    time: Duration,
) -> Result<Bytes, ReceiveError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match timeout(time, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(ReceiveError::TooLarge),
        Ok(Err(_)) => Err(ReceiveError::Incomplete),
        Err(_) => Err(ReceiveError::Timeout),
    }
}

/// A response body.
pub(crate) enum ResponseBody {
    /// All of it; `None` once it was handed on.
    Full(Option<Bytes>),
    /// Pieces as they come. The body ends when the sender is dropped; when the
    /// caller leaves, hyper drops the receiver and the sender sees it closed.
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
