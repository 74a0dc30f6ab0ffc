//! HTTP server for callers, operators and upstreams.
//!
//! It is based on hyper. astra, the alternative, left connections stuck and delayed
//! small chunks; see docs/TRIALS.md.

use std::convert::Infallible;
use std::future::poll_fn;
use std::net::TcpListener as StdListener;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use rustix::net::sockopt::{set_socket_recv_buffer_size, set_socket_send_buffer_size};
use tokio::io::{AsyncWriteExt, Interest, Ready, copy, sink};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::connection::{AnswerBody, Place, Places};
use crate::metric;
use crate::turn::TurnStream;

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum time for which a connection is kept after its last answer because of unread bytes.
const LINGER: Duration = Duration::from_secs(2);

/// Interval of checks whether a client has closed a connection with unread bytes.
const LINGER_POLL: Duration = Duration::from_millis(20);

/// Size of a connection's buffer for bytes that have arrived and weren't read. Linux reserves twice
/// as much.
pub(crate) const RECEIVE_BUFFER: usize = 16 << 10;

/// Size of a connection's buffer for bytes that its client hasn't acknowledged, of which Linux reserves
/// twice as much. The system's own size grows to megabytes, which a slow client would go on reading
/// for seconds after its deadline.
const SEND_BUFFER: usize = 64 << 10;

/// Limits on the requests of a client.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceiveLimits {
    /// Maximum size of a request head, in bytes. A larger one is answered with 431.
    pub(crate) max_head: usize,
    /// Timeout for receiving the head, and again for the body.
    pub(crate) receive_timeout: Duration,
    /// Maximum number of connections. A further one takes the place of one that waits for its
    /// client, or is reset unread.
    pub(crate) connections: usize,
}

/// Accepts connections until the runtime stops, and answers each request with
/// `handler`.
pub(crate) async fn accept<H, F, B>(listener: StdListener, limits: ReceiveLimits, handler: H)
where
    H: Fn(Request<RequestBody>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
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
    H: Fn(Request<RequestBody>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // Accepted connections inherit the sizes.
    let set = set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER)
        .and_then(|()| set_socket_send_buffer_size(&listener, SEND_BUFFER));
    if let Err(e) = set {
        tracing::debug!("the sizes of buffers aren't set: {e}");
    }
    let listener = TcpListener::from_std(listener).expect("the listener doesn't block");
    let places = Places::new(limits.connections);
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
            Ok((stream, _)) => match places.take().await {
                Some(place) => {
                    let handler = handler.clone();
                    tokio::spawn(serve_placed(
                        stream,
                        place,
                        limits,
                        handler,
                        closing.clone(),
                    ));
                }
                None => {
                    metrics::counter!(metric::CONNECTIONS_REFUSED.name).increment(1);
                    let _ = stream.set_zero_linger();
                }
            },
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves a connection until it is closed, or must give its place to another one.
async fn serve_placed<H, F, B>(
    stream: TcpStream,
    place: Place,
    limits: ReceiveLimits,
    handler: H,
    closing: watch::Receiver<bool>,
) where
    H: Fn(Request<RequestBody>) -> F + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let place = Arc::new(place);
    // The order ensures that no request is read once the place is given away.
    tokio::select! {
        biased;
        () = place.wait_displaced() => {}
        () = serve(stream, &place, limits, handler, closing) => {}
    }
}

async fn serve<H, F, B>(
    stream: TcpStream,
    place: &Arc<Place>,
    limits: ReceiveLimits,
    handler: H,
    mut closing: watch::Receiver<bool>,
) where
    H: Fn(Request<RequestBody>) -> F + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    // With Nagle's algorithm, each token waits for the delayed ACK of the one
    // before.
    let _ = stream.set_nodelay(true);
    // `poll_without_shutdown` needs a service that can be moved.
    let handler = Box::new(handler);
    let unread = Arc::new(AtomicBool::new(false));
    let body_unread = Arc::clone(&unread);
    let place = Arc::clone(place);
    let service = service_fn(move |request: Request<Incoming>| {
        let response = handler(request.map(|body| RequestBody::new(body, &unread, &place)));
        let place = Arc::clone(&place);
        Box::pin(async move {
            let answer = |body| AnswerBody::new(body, place);
            Ok::<_, Infallible>(response.await.map(answer))
        })
    });
    // A client that shuts down its writing side looks like one that has left, until a byte is
    // sent to it. So its request is cancelled, which hyper does without `half_close`.
    let mut connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.receive_timeout)
        .max_buf_size(limits.max_head)
        .serve_connection(TokioIo::new(TurnStream::new(stream, ())), service);
    let served = tokio::select! {
        served = poll_fn(|cx| connection.poll_without_shutdown(cx)) => Some(served),
        () = wait_closing(&mut closing) => None,
    };
    let served = match served {
        Some(served) => served,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|cx| connection.poll_without_shutdown(cx)).await
        }
    };
    if let Err(e) = served {
        tracing::debug!("client connection failed: {e}");
    }
    let stream = connection.into_parts().io.into_inner().into_inner();
    close(stream, body_unread.load(Ordering::Relaxed)).await;
}

/// Closes a connection after its last answer. `body_unread` tells whether a part of the body of its
/// last request is unread.
///
/// The kernel resets a connection that is closed with unread bytes, and what its client hasn't
/// received yet is lost. So the rest of a body is read, for clients that send it before they read
/// the answer. Further requests stay unread, since a client may repeat only those, and the
/// connection is kept until the client has closed its side.
async fn close(mut stream: TcpStream, body_unread: bool) {
    // An error means that the client has reset the connection.
    if stream.shutdown().await.is_err() {
        return;
    }
    if body_unread {
        let _ = timeout(LINGER, copy(&mut stream, &mut sink())).await;
    } else if let Some(Ok(1)) = stream.peek(&mut [0]).now_or_never() {
        let _ = timeout(LINGER, closed_by_client(&stream)).await;
    }
}

async fn closed_by_client(stream: &TcpStream) {
    let is_open = |ready: std::io::Result<Ready>| ready.is_ok_and(|r| !r.is_read_closed());
    // Unread bytes keep the connection readable, so that waiting for that returns at once.
    while is_open(stream.ready(Interest::READABLE).await) {
        sleep(LINGER_POLL).await;
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

/// Body of a request. Tells its connection when its end was read.
pub(crate) struct RequestBody {
    body: Incoming,
    unread: Arc<AtomicBool>,
    place: Arc<Place>,
}

impl RequestBody {
    fn new(body: Incoming, unread: &Arc<AtomicBool>, place: &Arc<Place>) -> Self {
        let received = Self {
            body,
            unread: Arc::clone(unread),
            place: Arc::clone(place),
        };
        unread.store(true, Ordering::Relaxed);
        if received.body.is_end_stream() {
            received.finish();
        }
        received
    }

    /// Records that the request is complete.
    fn finish(&self) {
        self.unread.store(false, Ordering::Relaxed);
        self.place.begin();
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) || self.body.is_end_stream() {
            self.finish();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
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
