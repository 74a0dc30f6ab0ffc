//! Tests of [`crate::http`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::http::{ReceiveLimits, RequestBody, ResponseBody, accept_until};

const LIMITS: ReceiveLimits = ReceiveLimits {
    max_head: 16 << 10,
    receive_timeout: Duration::from_secs(5),
    connections: 64,
};

/// Duration of the handler.
const HANDLER_TIME: Duration = Duration::from_millis(400);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

#[tokio::test]
async fn accept_until_closing() {
    // An instance is shut down while most of its failure domain restarts, so that
    // the load balancer still sends callers to it. Accepted connections would be cut
    // off when the process exits, so new ones must be refused. The running request
    // must still be answered completely.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    let (close, closing) = watch::channel(false);
    tokio::spawn(accept_until(
        listener,
        LIMITS,
        || true,
        |_| async {
            sleep(HANDLER_TIME).await;
            let body: Full<Bytes> = Full::from(Bytes::from_static(b"whole"));
            Response::new(body)
        },
        closing,
    ));
    let mut running = TcpStream::connect(addr).await.unwrap();
    let mut idle = TcpStream::connect(addr).await.unwrap();
    running.write_all(REQUEST).await.unwrap();
    sleep(HANDLER_TIME / 4).await;
    close.send_replace(true);
    sleep(HANDLER_TIME / 4).await;
    assert!(
        TcpStream::connect(addr).await.is_err(),
        "the listener still accepts connections"
    );
    let mut answer = String::new();
    let read = running.read_to_string(&mut answer);
    timeout(4 * HANDLER_TIME, read)
        .await
        .expect("it closes")
        .unwrap();
    assert!(answer.ends_with("whole"), "{answer}");
    let mut rest = Vec::new();
    let read = idle.read_to_end(&mut rest);
    let _: Result<usize, std::io::Error> = timeout(HANDLER_TIME, read).await.expect("it closes");
    assert!(rest.is_empty());
}

/// Guards against a connection that is refused after its request was read: its caller couldn't tell
/// whether the request has run.
#[tokio::test]
async fn accept_until_resets_unadmitted() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let handled = Arc::new(AtomicUsize::new(0));
    let (admitted, counted) = (AtomicUsize::new(0), Arc::clone(&handled));
    let (_open, closing) = watch::channel(false);
    tokio::spawn(accept_until(
        listener,
        LIMITS,
        move || admitted.fetch_add(1, Ordering::Relaxed) % 2 == 1,
        move |_| {
            counted.fetch_add(1, Ordering::Relaxed);
            async { Response::new(ResponseBody::from("ok".to_owned())) }
        },
        closing,
    ));
    for number in 0..4 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let sent = stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        let _ = sent.await;
        let mut reply = String::new();
        let read = stream.read_to_string(&mut reply).await;
        if number % 2 == 0 {
            assert!(read.is_err() && reply.is_empty(), "{read:?} {reply}");
        } else {
            assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
        }
    }
    assert_eq!(handled.load(Ordering::Relaxed), 2);
}

/// Serves each request with `handler` until the sender is dropped.
fn serve<H, F>(handler: H) -> (SocketAddr, watch::Sender<bool>)
where
    H: Fn(Request<RequestBody>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let (close, closing) = watch::channel(false);
    tokio::spawn(accept_until(listener, LIMITS, || true, handler, closing));
    (address, close)
}

/// Reads until the server closes the connection.
async fn read_all(mut stream: TcpStream) -> std::io::Result<Vec<u8>> {
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    timeout(Duration::from_secs(5), read)
        .await
        .expect("it closes")?;
    Ok(answer)
}

/// Guards against losing an answer that comes before the end of the caller's body: closing with
/// unread bytes resets the connection, and the caller fails to send the rest before it reads.
#[tokio::test]
async fn early_answer_read() {
    let (address, _close) = serve(|_| async { Response::new(Full::from("whole")) });
    let mut stream = TcpStream::connect(address).await.unwrap();
    let body = vec![b'x'; 4 << 20];
    let head = format!(
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    for part in body.chunks(64 << 10) {
        stream
            .write_all(part)
            .await
            .expect("the connection is open");
        sleep(Duration::from_millis(1)).await;
    }
    let answer = read_all(stream).await.expect("no reset");
    assert!(answer.ends_with(b"whole"), "{answer:?}");
}

/// Guards against losing the end of an answer that the caller hasn't read yet, since it has sent
/// further requests that won't be read.
#[tokio::test]
async fn last_answer_before_unread_requests() {
    const LENGTH: usize = 60_000;
    let (address, _close) = serve(|_| async {
        sleep(HANDLER_TIME).await;
        let mut response = Response::new(Full::from(vec![b'x'; LENGTH]));
        let close = hyper::header::HeaderValue::from_static("close");
        let headers = response.headers_mut();
        headers.insert(hyper::header::CONNECTION, close);
        response
    });
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    for _ in 0..3 {
        stream.write_all(REQUEST).await.unwrap();
        sleep(HANDLER_TIME / 8).await;
    }
    sleep(2 * HANDLER_TIME).await;
    let answer = read_all(stream).await.expect("no reset");
    let body = answer.iter().rev().take_while(|b| **b == b'x').count();
    assert_eq!(body, LENGTH);
}

/// Sets a flag when it is dropped.
struct Dropped(Arc<AtomicUsize>);

impl Drop for Dropped {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Guards against work for a caller who has left: one that closes its connection and one that shuts
/// down its writing side look the same until the next byte is sent.
#[tokio::test]
async fn half_closed_caller_cancelled() {
    let cancelled = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&cancelled);
    let (address, _close) = serve(move |_| {
        let running = Dropped(Arc::clone(&counted));
        async move {
            sleep(20 * HANDLER_TIME).await;
            drop(running);
            Response::new(Full::from("late"))
        }
    });
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(REQUEST).await.unwrap();
    sleep(HANDLER_TIME / 4).await;
    assert_eq!(cancelled.load(Ordering::Relaxed), 0);
    stream.shutdown().await.unwrap();
    sleep(HANDLER_TIME / 4).await;
    assert_eq!(cancelled.load(Ordering::Relaxed), 1);
    assert_eq!(read_all(stream).await.unwrap(), b"");
}
