//! Trials of HTTP libraries with streamed answers: when chunks arrive, whether a
//! server notices that its client disconnected, and how a client notices that an
//! upstream stopped sending. Prints one line per trial; docs/TRIALS.md records them.

use std::convert::Infallible;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Frame, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::sync::mpsc;

const CHUNKS: usize = 5;
const CHUNK: &[u8] = b"data: x\n\n";
const CHUNK_INTERVAL: Duration = Duration::from_millis(200);
const CONNECTIONS: usize = 1_600;
const CLIENT_THREADS: usize = 32;
/// Time after which a trial counts as not completed.
const LIMIT: Duration = Duration::from_secs(3);

/// Reader that yields `remaining` chunks of `size` bytes, one per [`CHUNK_INTERVAL`].
struct SlowReader {
    remaining: usize,
    size: usize,
    /// Number of chunks read so far.
    reads: Arc<AtomicUsize>,
}

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.remaining == 0 {
            return Ok(0);
        }
        thread::sleep(CHUNK_INTERVAL);
        self.remaining -= 1;
        self.reads.fetch_add(1, Ordering::SeqCst);
        let size = self.size.min(buffer.len());
        buffer[..size].fill(b'x');
        Ok(size)
    }
}

/// Response body that is fed through a channel.
struct ChannelBody(mpsc::Receiver<Bytes>);

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let chunk = self.0.poll_recv(context);
        chunk.map(|next| next.map(|bytes| Ok(Frame::data(bytes))))
    }
}

fn main() {
    let reads = Arc::new(AtomicUsize::new(0));
    let chunked = serve_astra(CHUNKS, CHUNK.len(), None, reads.clone());
    print_arrivals("astra, 5 pieces of 9 bytes", &arrivals(chunked));
    let large = serve_astra(CHUNKS, 16 * 1024, Some(8 * 1024), Arc::default());
    print_arrivals("astra, 5 reads of 16 KiB, buffer 8 KiB", &arrivals(large));
    astra_disconnect();
    astra_serve_return();
    let short = serve_astra_short();
    println!(
        "astra, {} connections: {} without an answer",
        CONNECTIONS,
        count_unanswered(short)
    );

    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("start the runtime");
    let _guard = runtime.enter();
    let sent = Arc::new(AtomicUsize::new(0));
    let disconnects = Arc::new(AtomicUsize::new(0));
    let server = serve_hyper(&runtime, sent, disconnects.clone(), CHUNKS);
    print_arrivals("hyper server, plain client", &arrivals(server));
    print_arrivals("hyper server, ureq client", &arrivals_ureq(server));
    print_arrivals(
        "hyper server, hyper client",
        &runtime.block_on(arrivals_hyper(server)),
    );
    let short = serve_hyper(&runtime, Arc::default(), disconnects.clone(), 0);
    println!(
        "hyper, {} connections: {} without an answer",
        CONNECTIONS,
        count_unanswered(short)
    );
    let endless = serve_hyper(&runtime, Arc::default(), disconnects.clone(), usize::MAX);
    hyper_disconnect(endless, &disconnects);
    let silent = serve_silent();
    ureq_silent(silent);
    ureq_shutdown(silent);
    runtime.block_on(hyper_silent(silent));
    runtime.shutdown_background();
}

fn print_arrivals(name: &str, arrivals: &[(Duration, usize)]) {
    let text: Vec<_> = arrivals
        .iter()
        .map(|(at, size)| format!("{size} B at {} ms", at.as_millis()))
        .collect();
    println!("{name}: {}", text.join(", "));
}

fn serve_astra(
    count: usize,
    size: usize,
    buffer: Option<usize>,
    reads: Arc<AtomicUsize>,
) -> SocketAddr {
    let server = astra::Server::bind("127.0.0.1:0");
    let server = match buffer {
        Some(bytes) => server.http1_max_buf_size(bytes),
        None => server,
    };
    let address = server.local_addr().expect("read the bound address");
    thread::spawn(move || {
        server.serve(move |_: astra::Request, _: astra::ConnectionInfo| {
            let reads = reads.clone();
            let reader = SlowReader {
                remaining: count,
                size,
                reads,
            };
            astra::Response::new(astra::Body::wrap_reader(reader))
        })
    });
    address
}

fn serve_astra_short() -> SocketAddr {
    let server = astra::Server::bind("127.0.0.1:0");
    let address = server.local_addr().expect("read the bound address");
    thread::spawn(move || {
        server.serve(|_: astra::Request, _: astra::ConnectionInfo| {
            astra::Response::new(astra::Body::new("ok"))
        })
    });
    address
}

fn send_request(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.set_read_timeout(Some(LIMIT)).expect("set a timeout");
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .expect("send the request");
    stream
}

/// Reads an answer from a plain socket; the first arrival includes the response head.
fn arrivals(address: SocketAddr) -> Vec<(Duration, usize)> {
    let begin = Instant::now();
    let stream = send_request(address);
    read_arrivals(stream, begin)
}

fn read_arrivals(mut source: impl Read, begin: Instant) -> Vec<(Duration, usize)> {
    let mut buffer = vec![0; 64 * 1024];
    let mut arrivals = Vec::new();
    while let Ok(size) = source.read(&mut buffer) {
        if size == 0 {
            break;
        }
        arrivals.push((begin.elapsed(), size));
    }
    arrivals
}

fn arrivals_ureq(address: SocketAddr) -> Vec<(Duration, usize)> {
    let begin = Instant::now();
    let reply = ureq::get(format!("http://{address}/")).call();
    read_arrivals(reply.expect("call").into_body().into_reader(), begin)
}

async fn connect(address: SocketAddr) -> Response<Incoming> {
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connect");
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .expect("start HTTP");
    tokio::spawn(connection);
    let request = Request::get("/")
        .header("host", "x")
        .body(Empty::<Bytes>::new());
    sender
        .send_request(request.expect("build the request"))
        .await
        .expect("call")
}

async fn arrivals_hyper(address: SocketAddr) -> Vec<(Duration, usize)> {
    let begin = Instant::now();
    let mut body = connect(address).await.into_body();
    let mut arrivals = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        let size = frame.data_ref().map_or(0, Bytes::len);
        arrivals.push((begin.elapsed(), size));
    }
    arrivals
}

fn astra_disconnect() {
    let reads = Arc::new(AtomicUsize::new(0));
    let address = serve_astra(10, CHUNK.len(), None, reads.clone());
    let stream = send_request(address);
    thread::sleep(CHUNK_INTERVAL * 3 / 2);
    let before = reads.load(Ordering::SeqCst);
    drop(stream);
    thread::sleep(LIMIT);
    let count = reads.load(Ordering::SeqCst);
    println!("astra, caller leaves behind {before} of 10 pieces: {count} were made");
}

/// Opens connections with one request each and counts those without an answer within [`LIMIT`].
fn count_unanswered(address: SocketAddr) -> usize {
    let callers: Vec<_> = (0..CLIENT_THREADS)
        .map(|_| {
            thread::spawn(move || {
                let answered = || {
                    let mut stream = send_request(address);
                    matches!(stream.read(&mut [0; 1024]), Ok(size) if size > 0)
                };
                (0..CONNECTIONS / CLIENT_THREADS)
                    .filter(|_| !answered())
                    .count()
            })
        })
        .collect();
    callers
        .into_iter()
        .map(|c| c.join().expect("join a caller"))
        .sum()
}

fn astra_serve_return() {
    let server = astra::Server::bind("127.0.0.1:0");
    let address = server.local_addr().expect("read the bound address");
    let thread = thread::spawn(move || {
        server.serve(|_: astra::Request, _: astra::ConnectionInfo| {
            astra::Response::new(astra::Body::empty())
        })
    });
    arrivals(address);
    thread::sleep(LIMIT);
    println!("astra, serve returned: {}", thread.is_finished());
}

fn serve_hyper(
    runtime: &tokio::runtime::Runtime,
    sent: Arc<AtomicUsize>,
    disconnects: Arc<AtomicUsize>,
    count: usize,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.set_nonblocking(true).expect("set non-blocking");
    let address = listener.local_addr().expect("read the bound address");
    let listener = tokio::net::TcpListener::from_std(listener).expect("register the listener");
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (sent, disconnects) = (sent.clone(), disconnects.clone());
            let service = service_fn(move |_: Request<Incoming>| {
                let (out, chunks) = mpsc::channel(4);
                tokio::spawn(send_chunks(out, count, sent.clone(), disconnects.clone()));
                std::future::ready(Ok::<_, Infallible>(Response::new(ChannelBody(chunks))))
            });
            tokio::spawn(
                hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service),
            );
        }
    });
    address
}

async fn send_chunks(
    out: mpsc::Sender<Bytes>,
    count: usize,
    sent: Arc<AtomicUsize>,
    disconnects: Arc<AtomicUsize>,
) {
    for _ in 0..count {
        tokio::select! {
            () = tokio::time::sleep(CHUNK_INTERVAL) => {}
            () = out.closed() => {
                disconnects.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
        if out.send(Bytes::from_static(CHUNK)).await.is_err() {
            return;
        }
        sent.fetch_add(1, Ordering::SeqCst);
    }
}

/// Measures how soon the server notices a client that disconnects between two chunks.
fn hyper_disconnect(address: SocketAddr, disconnects: &AtomicUsize) {
    let before = disconnects.load(Ordering::SeqCst);
    let mut stream = send_request(address);
    let _ = stream.read(&mut [0; 1024]);
    thread::sleep(CHUNK_INTERVAL / 4);
    drop(stream);
    let begin = Instant::now();
    while disconnects.load(Ordering::SeqCst) == before && begin.elapsed() < LIMIT {
        thread::sleep(Duration::from_micros(100));
    }
    let noticed = disconnects.load(Ordering::SeqCst) > before;
    println!(
        "hyper server, caller leaves between pieces: noticed {noticed} after {:.1} ms",
        begin.elapsed().as_secs_f64() * 1e3
    );
}

/// Sends two chunks and then nothing, but keeps the connection open.
fn serve_silent() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("read the bound address");
    thread::spawn(move || {
        let mut open = Vec::new();
        for stream in listener.incoming() {
            let mut stream = stream.expect("accept");
            let _ = stream.read(&mut [0; 1024]);
            let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            let _ = stream.write_all(head);
            for _ in 0..2 {
                let _ = stream.write_all(b"9\r\ndata: x\n\n\r\n");
            }
            open.push(stream);
        }
    });
    address
}

fn ureq_silent(address: SocketAddr) {
    type Configure = fn(
        ureq::config::ConfigBuilder<ureq::typestate::AgentScope>,
    ) -> ureq::config::ConfigBuilder<ureq::typestate::AgentScope>;
    let cases: [(&str, Configure); 3] = [
        ("timeout_per_read 500 ms", |c| {
            c.timeout_per_read(Some(Duration::from_millis(500)))
        }),
        ("timeout_recv_body 1 s", |c| {
            c.timeout_recv_body(Some(Duration::from_secs(1)))
        }),
        ("timeout_global 1 s", |c| {
            c.timeout_global(Some(Duration::from_secs(1)))
        }),
    ];
    for (name, configure) in cases {
        let agent = ureq::Agent::new_with_config(configure(ureq::Agent::config_builder()).build());
        let begin = Instant::now();
        let reply = agent
            .get(format!("http://{address}/"))
            .call()
            .expect("call");
        let mut reader = reply.into_body().into_reader();
        let mut size = 0;
        let error = loop {
            match reader.read(&mut [0; 1024]) {
                Ok(0) => break "end".to_owned(),
                Ok(n) => size += n,
                Err(error) => break error.to_string(),
            }
        };
        let ms = begin.elapsed().as_millis();
        println!("ureq, silent upstream, {name}: {size} B, then \"{error}\" at {ms} ms");
    }
}

/// Shuts the agent down while another thread blocks in a read.
fn ureq_shutdown(address: SocketAddr) {
    let agent = ureq::Agent::new_with_defaults();
    let other = agent.clone();
    let reader = thread::spawn(move || {
        let reply = agent
            .get(format!("http://{address}/"))
            .call()
            .expect("call");
        let mut reader = reply.into_body().into_reader();
        let mut text = Vec::new();
        let outcome = reader.read_to_end(&mut text);
        (text.len(), outcome.map_err(|e| e.to_string()))
    });
    thread::sleep(CHUNK_INTERVAL);
    let begin = Instant::now();
    other.shutdown();
    let (size, outcome) = reader.join().expect("join the reader");
    println!(
        "ureq, Agent::shutdown during a blocked read: {size} B, then {outcome:?} after {:.1} ms",
        begin.elapsed().as_secs_f64() * 1e3
    );
}

async fn hyper_silent(address: SocketAddr) {
    let mut body = connect(address).await.into_body();
    let mut size = 0;
    let begin = Instant::now();
    let idle = Duration::from_millis(500);
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(idle, body.frame()).await {
        size += frame.data_ref().map_or(0, Bytes::len);
    }
    let ms = begin.elapsed().as_millis();
    println!("hyper client, silent upstream, idle timeout 500 ms: {size} B, given up at {ms} ms");
}
