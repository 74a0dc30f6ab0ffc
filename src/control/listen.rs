//! The listener of the control address.
//!
//! `hyper` serves it, not `astra`: astra left about one connection in fifteen
//! unread until the caller gave up (docs/TRIALS.md), which showed as a change
//! or an announcement without an answer.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_blocking;
use tokio::time::timeout;

use super::{Control, MAX_ANNOUNCEMENT, MAX_BODY, Problem, Response, problem};

/// Threads for answers; operators and upstreams are few, their answers short.
const WORKERS: usize = 16;

/// Time for a caller to send a head, and again for the body.
const RECEIVE: Duration = Duration::from_secs(10);

/// Pause after a failed accept, such as for lack of file descriptors.
const PAUSE: Duration = Duration::from_millis(50);

/// Serves `addr` for as long as the process lives; returns only on failure.
pub(crate) fn serve(control: Arc<Control>, addr: SocketAddr) -> io::Result<()> {
    tokio::runtime::Builder::new_current_thread()
        .max_blocking_threads(WORKERS)
        .enable_all()
        .build()?
        .block_on(accept(control, addr))
}

async fn accept(control: Arc<Control>, addr: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(connection(Arc::clone(&control), stream))),
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

async fn connection(control: Arc<Control>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| respond(Arc::clone(&control), request));
    let served = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(RECEIVE)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(e) = served {
        tracing::debug!("a connection to the control address ended: {e}");
    }
}

async fn respond(
    control: Arc<Control>,
    request: Request<Incoming>,
) -> Result<Response, Infallible> {
    let request = match receive(&control, request).await {
        Ok(request) => request,
        Err(problem) => return Ok(problem.response()),
    };
    // An answer may wait for a commit, which must not hold up other callers.
    let answer = spawn_blocking(move || control.answer(&request)).await;
    let broken = |_| {
        let code = StatusCode::INTERNAL_SERVER_ERROR;
        problem(code, "internal", "the answer failed; see the log").response()
    };
    Ok(answer.unwrap_or_else(broken))
}

/// Reads the body; only an operator may send a long one.
async fn receive(control: &Control, request: Request<Incoming>) -> Result<Request<Bytes>, Problem> {
    let (head, body) = request.into_parts();
    let most = match control.authorise(&head.headers) {
        Ok(()) => MAX_BODY,
        Err(_) => MAX_ANNOUNCEMENT,
    };
    let slow = |_| {
        let message = "the body wasn't sent in time; send it faster";
        problem(StatusCode::REQUEST_TIMEOUT, "too_slow", message)
    };
    let body = timeout(RECEIVE, Limited::new(body, most).collect()).await;
    let body = body.map_err(slow)?.map_err(|e| {
        if e.is::<LengthLimitError>() {
            let message = format!("the body is longer than {most} bytes; split it");
            return problem(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message);
        }
        let message = "the body was cut; send it whole";
        problem(StatusCode::BAD_REQUEST, "cut", message)
    })?;
    Ok(Request::from_parts(head, body.to_bytes()))
}
