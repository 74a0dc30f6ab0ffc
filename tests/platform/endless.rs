//! Upstreams that send bytes without end.

use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use socket2::{Domain, Socket, Type};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::common::process::Process;
use crate::deployment::{Deployment, HOST, KEY, MEMORY_MB};
use crate::engine::{EngineSpec, SharedState, expected_stream};
use crate::unframed;

/// What an engine sends without end in answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endless {
    /// A body that would end with its connection.
    Body,
    /// The body of a failure.
    ErrorBody,
    /// A body of large chunks.
    Chunks,
    /// A body of chunks of one byte.
    SmallChunks,
    /// A body with a length that no instance can hold.
    Length,
    /// The value of a header.
    Header,
    /// Heads of interim responses.
    InterimHeads,
    /// Digits where the length of the first chunk is due.
    ChunkLength,
    /// The extension of the first chunk.
    ChunkExtension,
    /// Trailers after the last chunk.
    Trailers,
    /// Some events, and then bytes that end none.
    Event,
    /// Complete events.
    Events,
}

/// Time within which a request must be answered, far below its deadline of 20 s.
const ANSWER_TIME: Duration = Duration::from_secs(8);

/// Time within which a request beside an endless answer must be answered: the objective and the
/// slack of the users' rule on timeouts.
const BESIDE_TIME: Duration = Duration::from_millis(1_000);

/// Number of streams that run at the same time, fewer than a machine of the smallest memory allows
/// connections.
const STREAMS: usize = 400;

/// Time between the first event of a stream and the bytes without end, so that all streams of a test
/// have begun.
const EVENT_DELAY: Duration = Duration::from_secs(3);

/// Time that a caller allows for a stream without end, and the time after it within which the stream
/// must have ended: that of the users' rule on timeouts.
const SHORT_DEADLINE: Duration = Duration::from_secs(2);
const END_TIME: Duration = Duration::from_millis(500);

/// Pause of a slow caller after each read.
const READ_PAUSE: Duration = Duration::from_millis(60);

/// Size of one write, in bytes.
const WRITE_BYTES: usize = 64 << 10;

/// Answers the request on a new connection until the instance closes it.
pub(crate) async fn answer(
    mut stream: TcpStream,
    spec: EngineSpec,
    state: SharedState,
    kind: Endless,
) -> std::io::Result<()> {
    let head = unframed::read_head(&mut stream).await?;
    let attempt = unframed::header(&head, "x-attempt-id").expect("an id");
    state.lock().unwrap().record_run(&attempt);
    let status = match kind {
        Endless::ErrorBody => "500 Internal Server Error",
        _ => "200 OK",
    };
    let head = format!(
        "HTTP/1.1 {status}\r\nx-attempt-id: {attempt}\r\nx-server-signature: {}\r\n",
        spec.id
    );
    let (start, repeated) = match kind {
        Endless::Body | Endless::ErrorBody => (head + "\r\n", "x".repeat(WRITE_BYTES)),
        Endless::Chunks => (
            head + "transfer-encoding: chunked\r\n\r\n",
            chunk(&"x".repeat(WRITE_BYTES)),
        ),
        Endless::SmallChunks => (
            head + "transfer-encoding: chunked\r\n\r\n",
            "1\r\nx\r\n".repeat(WRITE_BYTES / 6),
        ),
        Endless::Length => (
            format!("{head}content-length: {}\r\n\r\n", 1_u64 << 40),
            "x".repeat(WRITE_BYTES),
        ),
        Endless::Header => (head + "x-note: ", "x".repeat(WRITE_BYTES)),
        Endless::InterimHeads => {
            let interim = "HTTP/1.1 100 Continue\r\n\r\n";
            (String::new(), interim.repeat(WRITE_BYTES / interim.len()))
        }
        Endless::Events => (
            head + "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            chunk(&"id: 1\ndata: token 1\n\n".repeat(WRITE_BYTES / 22)),
        ),
        Endless::Event => (
            head + "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            chunk(&"x".repeat(WRITE_BYTES)),
        ),
        Endless::ChunkLength => (
            head + "transfer-encoding: chunked\r\n\r\n",
            "0".repeat(WRITE_BYTES),
        ),
        Endless::ChunkExtension => (
            head + "transfer-encoding: chunked\r\n\r\n1;",
            "x".repeat(WRITE_BYTES),
        ),
        Endless::Trailers => (
            head + "transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
            "x-note: y\r\n".repeat(WRITE_BYTES / 11),
        ),
    };
    stream.write_all(start.as_bytes()).await?;
    if kind == Endless::Event {
        stream
            .write_all(chunk("id: 1\ndata: token 1\n\n").as_bytes())
            .await?;
        tokio::time::sleep(EVENT_DELAY).await;
    }
    loop {
        stream.write_all(repeated.as_bytes()).await?;
    }
}

fn chunk(content: &str) -> String {
    format!("{:x}\r\n{content}\r\n", content.len())
}

fn desks(deployment: &Deployment) -> Vec<EngineSpec> {
    let engines = deployment.engines.iter();
    engines.filter(|e| e.service == "desk").cloned().collect()
}

/// Lets all engines of a service send bytes without end.
fn make_endless(deployment: &Deployment, service: &str, kind: Endless) {
    for engine in deployment.engines.iter().filter(|e| e.service == service) {
        let id = engine.id.clone();
        deployment.engine_state().endless.insert(id, kind);
    }
}

/// Sends requests to endless engines at the same time, and streams beside them.
fn send_many(deployment: &Deployment) {
    thread::scope(|scope| {
        for i in 0..6 {
            for path in ["/lookups/x", "/bookings/x"] {
                scope.spawn(move || {
                    let began = Instant::now();
                    let attempt = format!("{path}-{i}");
                    let (status, _) = deployment.request(0, path, &attempt, KEY);
                    let took = began.elapsed();
                    assert!(took < ANSWER_TIME, "{attempt} took {took:?}");
                    // 503 promises that the request hasn't run.
                    let runs = deployment.engine_state().runs(&attempt);
                    let expected = if runs > 0 { 502 } else { 503 };
                    assert_eq!(status, expected, "{attempt}");
                });
            }
        }
        for i in 0..3 {
            let attempt = format!("stream-{i}");
            let answer = deployment.request(0, "/letters/x", &attempt, KEY);
            assert_eq!(answer, (200, expected_stream()), "{attempt}");
        }
    });
}

/// Asserts that an instance has stayed below the memory of the smallest machines.
fn check_memory(entry: &Process) {
    let peak = entry.peak_memory();
    println!("peak memory {} MB", peak >> 20);
    assert!(peak < MEMORY_MB << 20, "{} MB", peak >> 20);
}

/// Guards against an instance that is killed for its memory, or that answers nobody any more, since
/// upstreams send bytes without end: it cuts them off at once, and its memory stays below the limit
/// of the smallest machines.
#[rstest]
fn endless_answer_cut_off(
    #[values(
        Endless::Body,
        Endless::ErrorBody,
        Endless::Chunks,
        Endless::SmallChunks,
        Endless::Length,
        Endless::Header,
        Endless::InterimHeads,
        Endless::ChunkLength,
        Endless::ChunkExtension,
        Endless::Trailers
    )]
    kind: Endless,
) {
    let deployment = Deployment::with_links(false);
    make_endless(&deployment, "desk", kind);
    send_many(&deployment);
    check_memory(&deployment.entries[0]);
}

/// Guards against the same in an instance that carries requests of another one, and in that one.
#[rstest]
fn endless_answer_carried(
    #[values(
        Endless::Body,
        Endless::SmallChunks,
        Endless::InterimHeads,
        Endless::ChunkLength
    )]
    kind: Endless,
) {
    let deployment = Deployment::with_links(true);
    make_endless(&deployment, "desk", kind);
    send_many(&deployment);
    deployment.entries.iter().for_each(check_memory);
}

/// Guards against an upstream that goes on getting requests although its answers have no end, and
/// against a failure where another one can answer.
#[rstest]
fn endless_answer_elsewhere(
    #[values(Endless::Body, Endless::Chunks, Endless::InterimHeads)] kind: Endless,
) {
    const REQUESTS: u32 = 12;
    let deployment = Deployment::with_size(1, &[3, 3]);
    let [endless, _] = &desks(&deployment)[..] else {
        panic!("two desks");
    };
    let id = endless.id.clone();
    deployment.engine_state().endless.insert(id, kind);
    let attempts = (0..REQUESTS).map(|i| format!("elsewhere-{i}"));
    let attempts: Vec<_> = attempts.collect();
    for attempt in &attempts {
        let (status, body) = deployment.request(0, "/lookups/x", attempt, KEY);
        assert!(
            status == 200 && body.starts_with("done by "),
            "{status} {body}"
        );
    }
    let runs = attempts.iter().map(|a| deployment.engine_state().runs(a));
    let repeated = runs.sum::<u32>() - REQUESTS;
    assert!(
        repeated <= REQUESTS / 3,
        "{repeated} requests at the endless upstream"
    );
}

/// Guards against an instance that answers nobody while an engine sends the framing of a stream
/// without end: requests to sound upstreams are answered beside it, and its own request ends.
#[rstest]
fn endless_framing_delays_nobody(
    #[values(Endless::ChunkLength, Endless::ChunkExtension, Endless::Trailers)] kind: Endless,
    #[values(false, true)] carried: bool,
) {
    let deployment = Deployment::with_links(carried);
    make_endless(&deployment, "models", kind);
    thread::scope(|scope| {
        for i in 0..4 {
            let (deployment, attempt) = (&deployment, format!("endless-{i}"));
            scope.spawn(move || {
                let began = Instant::now();
                let (status, _) = deployment.request(0, "/letters/x", &attempt, KEY);
                assert_eq!(status, 502, "{attempt}");
                assert!(began.elapsed() < ANSWER_TIME, "{attempt}");
            });
        }
        for i in 0..20 {
            let began = Instant::now();
            let (status, _) = deployment.request(0, "/lookups/x", &format!("beside-{i}"), KEY);
            assert_eq!(status, 200, "request {i}");
            let took = began.elapsed();
            assert!(took < BESIDE_TIME, "request {i} took {took:?}");
        }
    });
    deployment.entries.iter().for_each(check_memory);
}

/// Guards against an instance that counts as lost, and carries nothing more, since the engine of a
/// request that it carried broke off its answer.
#[rstest]
fn carrier_not_blamed_for_engine(
    #[values(Endless::ChunkLength, Endless::ChunkExtension, Endless::Trailers)] kind: Endless,
) {
    let deployment = Deployment::with_links(true);
    make_endless(&deployment, "models", kind);
    for i in 0..8 {
        let (status, _) = deployment.request(0, "/letters/x", &format!("broken-{i}"), KEY);
        assert_eq!(status, 502);
    }
    let entry = &deployment.metrics()[deployment.controllers.len()];
    let lost = "entry_requests_via_total{outcome=\"lost\"}";
    let lost = entry.lines().find(|l| l.starts_with(lost));
    assert_eq!(lost, None);
}

/// Guards against an instance that is killed for its memory, since engines send bytes that end no
/// event in many streams at once.
#[test]
fn endless_events_bounded() {
    let deployment = Deployment::with_size(1, &[3, 3]);
    // Plain services stream as well, and no instance limits its requests to them.
    make_endless(&deployment, "desk", Endless::Event);
    thread::scope(|scope| {
        for i in 0..STREAMS {
            let deployment = &deployment;
            scope.spawn(move || {
                let attempt = format!("stream-{i}");
                let (status, _) = deployment.request(0, "/lookups/x", &attempt, KEY);
                assert_eq!(status, 0, "{attempt} isn't cut off");
            });
        }
    });
    let runs = (0..STREAMS).map(|i| deployment.engine_state().runs(&format!("stream-{i}")));
    let ran = runs.filter(|r| *r > 0).count();
    assert!(ran >= STREAMS / 2, "{ran} streams ran");
    check_memory(&deployment.entries[0]);
}

/// Guards against a stream that goes on past its deadline, since its engine sends events faster than
/// they are passed on, or since its caller reads more slowly than they are.
#[rstest]
fn endless_events_end_at_deadline(
    #[values(false, true)] carried: bool,
    #[values(Duration::ZERO, READ_PAUSE)] pause: Duration,
) {
    let deployment = Deployment::with_links(carried);
    make_endless(&deployment, "desk", Endless::Events);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(WRITE_BYTES).unwrap();
    socket.connect(&deployment.caller_addr(0).into()).unwrap();
    let mut caller = std::net::TcpStream::from(socket);
    let head = format!(
        "POST /lookups/x HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: events\r\n\
         x-credential: {KEY}\r\nx-deadline-ms: {}\r\ncontent-length: 0\r\n\r\n",
        SHORT_DEADLINE.as_millis()
    );
    caller.write_all(head.as_bytes()).unwrap();
    let began = Instant::now();
    let mut piece = vec![0; WRITE_BYTES];
    while caller.read(&mut piece).is_ok_and(|read| read > 0) {
        let took = began.elapsed();
        assert!(took < SHORT_DEADLINE + END_TIME, "events after {took:?}");
        thread::sleep(pause);
    }
    assert!(began.elapsed() >= SHORT_DEADLINE);
}
