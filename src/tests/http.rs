//! Tests of [`crate::http`].

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::http::{ReceiveLimits, ResponseBody, accept_until};

const LIMITS: ReceiveLimits = ReceiveLimits {
    max_head: 16 << 10,
    receive_timeout: Duration::from_secs(5),
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
