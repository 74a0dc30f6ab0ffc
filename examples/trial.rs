//! Trials of the HTTP libraries on streamed answers: when do pieces arrive,
//! does a server notice that its caller left, how does a client notice that an
//! upstream went silent. Prints one line a trial; docs/TRIALS.md keeps them.

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

const PIECES: usize = 5;
const PIECE: &[u8] = b"data: x\n\n";
const PAUSE: Duration = Duration::from_millis(200);
const CONNECTIONS: usize = 1_600;
const CALLERS: usize = 32;
/// After so long a trial counts as not ended.
const LIMIT: Duration = Duration::from_secs(3);

/// Yields `count` pieces of `size` bytes, one each [`PAUSE`].
struct SlowReader {
    left: usize,
    size: usize,
    /// Pieces that were asked for.
    asked: Arc<AtomicUsize>,
}

impl Read for SlowReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.left == 0 {
            return Ok(0);
        }
        thread::sleep(PAUSE);
        self.left -= 1;
        self.asked.fetch_add(1, Ordering::SeqCst);
        let size = self.size.min(buffer.len());
        buffer[..size].fill(b'x');
        Ok(size)
    }
}

/// A body fed through a channel.
struct Pieces(mpsc::Receiver<Bytes>);

impl Body for Pieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.0.poll_recv(context);
        piece.map(|next| next.map(|bytes| Ok(Frame::data(bytes))))
    }
}

fn main() {
    let asked = Arc::new(AtomicUsize::new(0));
    let small = serve_astra(PIECES, PIECE.len(), None, asked.clone());
    show("astra, 5 pieces of 9 bytes", &arrivals(small));
    let large = serve_astra(PIECES, 16 * 1024, Some(8 * 1024), Arc::default());
    show("astra, 5 reads of 16 KiB, buffer 8 KiB", &arrivals(large));
    astra_leave();
    astra_return();
    let whole = serve_astra_whole();
    println!(
        "astra, {} connections: {} without an answer",
        CONNECTIONS,
        stranded(whole)
    );

    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("start the runtime");
    let _guard = runtime.enter();
    let sent = Arc::new(AtomicUsize::new(0));
    let left = Arc::new(AtomicUsize::new(0));
    let server = serve_hyper(&runtime, sent, left.clone(), PIECES);
    show("hyper server, plain client", &arrivals(server));
    show("hyper server, ureq client", &arrivals_ureq(server));
    show(
        "hyper server, hyper client",
        &runtime.block_on(arrivals_hyper(server)),
    );
    let whole = serve_hyper(&runtime, Arc::default(), left.clone(), 0);
    println!(
        "hyper, {} connections: {} without an answer",
        CONNECTIONS,
        stranded(whole)
    );
    let endless = serve_hyper(&runtime, Arc::default(), left.clone(), usize::MAX);
    hyper_leave(endless, &left);
    let silent = serve_silent();
    ureq_silent(silent);
    ureq_shutdown(silent);
    runtime.block_on(hyper_silent(silent));
    runtime.shutdown_background();
}

fn show(name: &str, arrivals: &[(Duration, usize)]) {
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
    asked: Arc<AtomicUsize>,
) -> SocketAddr {
    let server = astra::Server::bind("127.0.0.1:0");
    let server = match buffer {
        Some(bytes) => server.http1_max_buf_size(bytes),
        None => server,
    };
    let address = server.local_addr().expect("read the bound address");
    thread::spawn(move || {
        server.serve(move |_: astra::Request, _: astra::ConnectionInfo| {
            let asked = asked.clone();
            let reader = SlowReader {
                left: count,
                size,
                asked,
            };
            astra::Response::new(astra::Body::wrap_reader(reader))
        })
    });
    address
}

fn serve_astra_whole() -> SocketAddr {
    let server = astra::Server::bind("127.0.0.1:0");
    let address = server.local_addr().expect("read the bound address");
    thread::spawn(move || {
        server.serve(|_: astra::Request, _: astra::ConnectionInfo| {
            astra::Response::new(astra::Body::new("ok"))
        })
    });
    address
}

fn ask(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.set_read_timeout(Some(LIMIT)).expect("set a timeout");
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .expect("send the request");
    stream
}

/// Reads an answer with a plain socket: head included in the first arrival.
fn arrivals(address: SocketAddr) -> Vec<(Duration, usize)> {
    let begin = Instant::now();
    let stream = ask(address);
    collect(stream, begin)
}

fn collect(mut source: impl Read, begin: Instant) -> Vec<(Duration, usize)> {
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
    collect(reply.expect("call").into_body().into_reader(), begin)
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

fn astra_leave() {
    let asked = Arc::new(AtomicUsize::new(0));
    let address = serve_astra(10, PIECE.len(), None, asked.clone());
    let stream = ask(address);
    thread::sleep(PAUSE * 3 / 2);
    let before = asked.load(Ordering::SeqCst);
    drop(stream);
    thread::sleep(LIMIT);
    let count = asked.load(Ordering::SeqCst);
    println!("astra, caller leaves behind {before} of 10 pieces: {count} were made");
}

/// Connections with one request each; counts those that get no answer in time.
fn stranded(address: SocketAddr) -> usize {
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            thread::spawn(move || {
                let answered = || {
                    let mut stream = ask(address);
                    matches!(stream.read(&mut [0; 1024]), Ok(size) if size > 0)
                };
                (0..CONNECTIONS / CALLERS).filter(|_| !answered()).count()
            })
        })
        .collect();
    callers
        .into_iter()
        .map(|c| c.join().expect("join a caller"))
        .sum()
}

fn astra_return() {
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
    left: Arc<AtomicUsize>,
    count: usize,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.set_nonblocking(true).expect("set non-blocking");
    let address = listener.local_addr().expect("read the bound address");
    let listener = tokio::net::TcpListener::from_std(listener).expect("register the listener");
    runtime.spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (sent, left) = (sent.clone(), left.clone());
            let service = service_fn(move |_: Request<Incoming>| {
                let (out, pieces) = mpsc::channel(4);
                tokio::spawn(feed(out, count, sent.clone(), left.clone()));
                std::future::ready(Ok::<_, Infallible>(Response::new(Pieces(pieces))))
            });
            tokio::spawn(
                hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service),
            );
        }
    });
    address
}

async fn feed(
    out: mpsc::Sender<Bytes>,
    count: usize,
    sent: Arc<AtomicUsize>,
    left: Arc<AtomicUsize>,
) {
    for _ in 0..count {
        tokio::select! {
            () = tokio::time::sleep(PAUSE) => {}
            () = out.closed() => {
                left.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
        if out.send(Bytes::from_static(PIECE)).await.is_err() {
            return;
        }
        sent.fetch_add(1, Ordering::SeqCst);
    }
}

/// The caller leaves between two pieces; how long until the server knows?
fn hyper_leave(address: SocketAddr, left: &AtomicUsize) {
    let before = left.load(Ordering::SeqCst);
    let mut stream = ask(address);
    let _ = stream.read(&mut [0; 1024]);
    thread::sleep(PAUSE / 4);
    drop(stream);
    let begin = Instant::now();
    while left.load(Ordering::SeqCst) == before && begin.elapsed() < LIMIT {
        thread::sleep(Duration::from_micros(100));
    }
    let noticed = left.load(Ordering::SeqCst) > before;
    println!(
        "hyper server, caller leaves between pieces: noticed {noticed} after {:.1} ms",
        begin.elapsed().as_secs_f64() * 1e3
    );
}

/// Sends two pieces and then nothing, with the connection open.
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
    type Set = fn(
        ureq::config::ConfigBuilder<ureq::typestate::AgentScope>,
    ) -> ureq::config::ConfigBuilder<ureq::typestate::AgentScope>;
    let cases: [(&str, Set); 3] = [
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
    for (name, set) in cases {
        let agent = ureq::Agent::new_with_config(set(ureq::Agent::config_builder()).build());
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

/// A read that blocks in one thread is given up from another.
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
    thread::sleep(PAUSE);
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
