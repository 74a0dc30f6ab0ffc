//! Tests of [`crate::http`].

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::http::{ReceiveLimits, accept_until};

const BOUNDS: ReceiveLimits = ReceiveLimits {
    max_head: 16 << 10,
    receive_timeout: Duration::from_secs(5),
};

/// How long the handler takes.
const WORK: Duration = Duration::from_millis(400);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

#[tokio::test]
async fn accept_until_closing() {
    // An instance is told to end while most of its domain restarts. The
    // balancer goes on sending callers there; what they are promised would be
    // cut off with the process. What runs must end whole all the same.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    let (close, closing) = watch::channel(false);
    tokio::spawn(accept_until(
        listener,
        BOUNDS,
        |_| async {
            sleep(WORK).await;
            let body: Full<Bytes> = Full::from(Bytes::from_static(b"whole"));
            Response::new(body)
        },
        closing,
    ));
    let mut running = TcpStream::connect(addr).await.unwrap();
    let mut idle = TcpStream::connect(addr).await.unwrap();
    running.write_all(REQUEST).await.unwrap();
    sleep(WORK / 4).await;
    close.send_replace(true);
    sleep(WORK / 4).await;
    assert!(
        TcpStream::connect(addr).await.is_err(),
        "a late caller is taken in"
    );
    let mut answer = String::new();
    let read = running.read_to_string(&mut answer);
    timeout(4 * WORK, read).await.expect("it closes").unwrap();
    assert!(answer.ends_with("whole"), "{answer}");
    let mut rest = Vec::new();
    let read = idle.read_to_end(&mut rest);
    let _: Result<usize, std::io::Error> = timeout(WORK, read).await.expect("it closes");
    assert!(rest.is_empty());
}
