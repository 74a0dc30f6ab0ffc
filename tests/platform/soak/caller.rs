//! Callers, which keep each connection open until the process at its other end closes it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, body::Incoming};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::deployment::{HOST, KEY};

/// Time that callers give a request, in `X-Deadline-Ms`.
pub(crate) const DEADLINE: Duration = Duration::from_secs(10);
/// Time after the deadline for which callers wait all the same.
const PATIENCE: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Stream,
    Idempotent,
    NonIdempotent,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Stream => "/letters/x",
            Self::Idempotent => "/lookups/x",
            Self::NonIdempotent => "/bookings/x",
        }
    }
}

/// A response as the caller got it.
#[derive(Debug, Default)]
pub(crate) struct Head {
    pub(crate) status: u16,
    /// `X-Attempt-Id`
    pub(crate) echo: String,
    /// `X-Server-Signature`
    pub(crate) signature: String,
    pub(crate) body: String,
    /// Whether the body ended as HTTP says, rather than with its connection.
    pub(crate) whole: bool,
}

#[derive(Debug)]
pub(crate) enum Answer {
    /// No connection was made.
    Unreached,
    /// The connection ended before a response.
    Closed,
    /// No end of the response until [`PATIENCE`] after the deadline.
    Overdue,
    Head(Head),
}

/// A request and what became of it.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) entry: usize,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) answer: Answer,
}

type Connection = SendRequest<Full<Bytes>>;

/// Sends requests one after another until `stop`.
pub(crate) async fn run(
    name: String,
    seed: u64,
    entries: Vec<SocketAddr>,
    stop: Arc<AtomicBool>,
    log: Sender<Attempt>,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut kept: Option<(usize, Connection)> = None;
    for number in 0.. {
        sleep(Duration::from_millis(random.random_range(20..320))).await;
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let next = random.random_range(0..entries.len());
        let kind = match random.random_range(0..10) {
            0..6 => Kind::Stream,
            6..8 => Kind::Idempotent,
            _ => Kind::NonIdempotent,
        };
        // Some callers open a connection for each request.
        let is_open = match &mut kept {
            Some((_, open)) => open.ready().await.is_ok(),
            None => false,
        };
        let (entry, connection) = match kept.take() {
            Some((entry, open)) if is_open => (entry, Some(open)),
            _ => (next, connect(entries[next]).await),
        };
        let (id, sent) = (format!("{name}-{number}"), Instant::now());
        let mut answer = Answer::Unreached;
        if let Some(mut open) = connection {
            let exchange = exchange(&mut open, kind, &id);
            answer = timeout(DEADLINE + PATIENCE, exchange)
                .await
                .unwrap_or(Answer::Overdue);
            let ended = !matches!(answer, Answer::Overdue | Answer::Closed);
            kept = (ended && random.random_range(0..10) > 0).then_some((entry, open));
        }
        let ended = Instant::now();
        let attempt = Attempt {
            id,
            kind,
            entry,
            sent,
            ended,
            answer,
        };
        log.send(attempt).expect("the run goes on");
    }
}

async fn connect(to: SocketAddr) -> Option<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
    let (sender, connection) = handshake(TokioIo::new(stream.ok()?.ok()?)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

async fn exchange(open: &mut Connection, kind: Kind, id: &str) -> Answer {
    let request = Request::post(kind.path())
        .header("host", HOST)
        .header("x-attempt-id", id)
        .header("x-credential", KEY)
        .header("x-token-usage", "20,30")
        .header("x-deadline-ms", DEADLINE.as_millis().to_string())
        .body(Full::from("text"))
        .expect("a request");
    match open.send_request(request).await {
        Ok(response) => Answer::Head(read(response).await),
        Err(_) => Answer::Closed,
    }
}

async fn read(response: Response<Incoming>) -> Head {
    let header = |name: &str| {
        let value = response.headers().get(name);
        let text = value.map(|v| v.to_str().expect("text"));
        text.unwrap_or_default().to_owned()
    };
    let mut head = Head {
        status: response.status().as_u16(),
        echo: header("x-attempt-id"),
        signature: header("x-server-signature"),
        ..Head::default()
    };
    let mut body = response.into_body();
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                head.body.push_str(&String::from_utf8_lossy(&data));
            }
            Some(Err(_)) => return head,
            None => break,
        }
    }
    head.whole = true;
    head
}
