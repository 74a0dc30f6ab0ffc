//! Tests of [`crate::engine`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket};

use crate::engine::{Connection, Cutoff, EngineError};
use crate::whole::Payload;
use crate::{Clock, Time};

struct FixedClock(Time);

impl Clock for FixedClock {
    fn now(&self) -> Time {
        self.0
    }
}

/// The process is suspended after connecting to a service and before sending the
/// first byte. After the cutoff, the claim's lease has expired, so nothing may be
/// sent.
#[rstest]
#[case::before(Time(9), false)]
#[case::after(Time(10), true)]
#[tokio::test]
async fn send_cutoff(#[case] now: Time, #[case] passed: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        stream.read(&mut [0; 64]).await.expect("bytes or the end")
    });
    let connection = Connection::open(addr).await.expect("a listener");
    let cutoff = Cutoff::new(Some(Time(10)), Arc::new(FixedClock(now)));
    let request = Request::post("/letters").body(Payload::from(Bytes::new()));
    let sent = connection.send(request.expect("valid"), &cutoff).await;
    let error = sent.err().expect("the server answers nothing");
    assert_eq!(matches!(error, EngineError::Connect), passed);
    assert_eq!(server.await.expect("no panic") == 0, passed);
}

/// Guards against taking a connection without a sign in time for one that was refused: only the
/// latter shows that nothing listens there.
#[tokio::test]
async fn open_refused_or_silent() {
    let limit = Duration::from_millis(100);
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let refused = Connection::open_within(address, limit).await;
    assert!(matches!(refused, Err(EngineError::Connect)));
    // The system drops the packets of connections that don't fit into the queue.
    let _listener = socket.listen(1).unwrap();
    let mut open = Vec::new();
    let silent = loop {
        match Connection::open_within(address, limit).await {
            Ok(connection) if open.len() < 20 => open.push(connection),
            ended => break ended,
        }
    };
    assert!(matches!(silent, Err(EngineError::ConnectTimeout)));
}
