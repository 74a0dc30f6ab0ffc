//! Answers with neither a length nor chunks, which end with their connections.

use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::cut;
use crate::deployment::{Deployment, KEY};
use crate::engine::{EVENT_INTERVAL, EngineSpec, STREAM_EVENTS, SharedState, expected_stream};

/// How such an answer ends at the first run of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The connection is closed after the last byte.
    Whole,
    /// The connection is reset midway.
    Reset,
    /// The connection is closed within an event.
    InEvent,
    /// The connection is closed before the first event.
    BeforeFirst,
}

/// Number of events before a stream ends midway.
const EVENTS_BEFORE: u64 = 5;

/// Maximum size of a request's head, in bytes.
const MAX_HEAD: usize = 16 << 10;

/// Whether the request on a new connection is a call to the engine itself.
pub(crate) async fn is_call(stream: &TcpStream) -> bool {
    let mut start = [0; 8];
    while stream
        .peek(&mut start)
        .await
        .is_ok_and(|n| (1..8).contains(&n))
    {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let start = String::from_utf8_lossy(&start);
    start.starts_with("GET /v1") || start.starts_with("POST /v1")
}

/// Reads the head of a request, in lower case.
pub(crate) async fn read_head(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut received = vec![0; MAX_HEAD];
    let mut length = 0;
    loop {
        length += stream.read(&mut received[length..]).await?;
        let text = String::from_utf8_lossy(&received[..length]).to_ascii_lowercase();
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            return Ok(head.to_owned());
        }
    }
}

/// Value of a header in such a head.
pub(crate) fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|l| l.split_once(": "));
    lines.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
}

/// Answers the request on a new connection.
pub(crate) async fn answer(
    mut stream: TcpStream,
    spec: EngineSpec,
    state: SharedState,
    ending: Ending,
) -> std::io::Result<()> {
    let head = read_head(&mut stream).await?;
    let header = |name: &str| header(&head, name);
    let attempt = header("x-attempt-id").expect("an id");
    let repeated = state.lock().unwrap().record_run(&attempt) > 1;
    let ending = if repeated { Ending::Whole } else { ending };
    let kind = if spec.service == "models" {
        "text/event-stream"
    } else {
        "text/plain"
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\nx-server-signature: {}\r\n\
         content-type: {kind}\r\n\r\n",
        spec.id
    );
    stream.write_all(head.as_bytes()).await?;
    let last = header("last-event-id").map_or(0, |l| l.parse().unwrap());
    if spec.service == "models" {
        send_events(&mut stream, last, ending).await?;
    } else {
        stream.write_all(b"done by ").await?;
        tokio::time::sleep(EVENT_INTERVAL).await;
        if ending == Ending::Whole {
            stream.write_all(spec.id.as_bytes()).await?;
        }
    }
    if ending == Ending::Reset {
        cut::reset(&stream);
    }
    Ok(())
}

async fn send_events(stream: &mut TcpStream, last: u64, ending: Ending) -> std::io::Result<()> {
    for id in last + 1..=STREAM_EVENTS {
        tokio::time::sleep(EVENT_INTERVAL).await;
        let event = format!("id: {id}\ndata: token {id}\n\n");
        match ending {
            Ending::BeforeFirst => return Ok(()),
            Ending::InEvent if id > EVENTS_BEFORE => {
                return stream.write_all(&event.as_bytes()[..7]).await;
            }
            Ending::Reset if id > EVENTS_BEFORE => return Ok(()),
            _ => stream.write_all(event.as_bytes()).await?,
        }
    }
    Ok(())
}

/// Starts a deployment whose engines answer without a length; the first instance reaches them
/// through the second one only if `carried`.
fn deployment(ending: Ending, carried: bool) -> Deployment {
    let deployment = Deployment::with_links(carried);
    deployment.engine_state().unframed = Some(ending);
    deployment
}

/// Guards against showing a stream that was broken off as whole: one that ends within an event or
/// before the first one is resumed, and each event reaches the caller once.
#[rstest]
fn unframed_stream_whole(
    #[values(Ending::Whole, Ending::Reset, Ending::InEvent, Ending::BeforeFirst)] ending: Ending,
    #[values(false, true)] carried: bool,
) {
    let deployment = deployment(ending, carried);
    let (status, body) = deployment.request(0, "/letters/x", "unframed", KEY);
    assert_eq!((status, body), (200, expected_stream()));
    let runs = deployment.engine_state().runs("unframed");
    assert_eq!(runs, if ending == Ending::Whole { 1 } else { 2 });
}

/// Guards against showing a plain answer whose connection was reset as whole: it is repeated where
/// that is safe, and a failure otherwise.
#[rstest]
fn unframed_answer_reset(#[values(false, true)] carried: bool) {
    let deployment = deployment(Ending::Reset, carried);
    let (status, body) = deployment.request(0, "/lookups/x", "lookup", KEY);
    assert!(
        status == 200 && body.starts_with("done by i-"),
        "{status} {body}"
    );
    let (status, _) = deployment.request(0, "/bookings/x", "booking", KEY);
    assert_eq!(status, 502);
    assert_eq!(deployment.engine_state().runs("booking"), 1);
}

#[rstest]
fn unframed_answer_whole(#[values(false, true)] carried: bool) {
    let deployment = deployment(Ending::Whole, carried);
    for path in ["/lookups/x", "/bookings/x"] {
        let (status, body) = deployment.request(0, path, path, KEY);
        assert!(
            status == 200 && body.starts_with("done by i-"),
            "{status} {body}"
        );
        assert_eq!(deployment.engine_state().runs(path), 1);
    }
}
