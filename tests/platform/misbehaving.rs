//! Clients that don't keep to the protocol or that use far more than others: the process lives, stays
//! within the memory and descriptors of its machine, and answers an ordinary request.

use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use rstest::rstest;

use crate::common::process::Process;
use crate::common::wait_for;
use crate::deployment::{DESCRIPTORS, Deployment, HOST, KEY, MEMORY_MB};
use crate::engine::expected_stream;

/// Maximum size of a body that the operator allows, in bytes.
const MAX_BODY: usize = 4 << 20;

/// Size of a large chunk and of one write, in bytes.
const WRITE_BYTES: usize = 64 << 10;

/// Size of a piece of a body that is sent piece by piece, and the pause after it.
const PIECE_BYTES: usize = 16 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(4);

/// Number of clients that send large bodies.
const CLIENTS: usize = 48;

/// Number of clients that send bodies in chunks of one byte, and the size of their bodies.
const SMALL_CHUNK_CLIENTS: usize = 8;
const SMALL_CHUNK_BODY: usize = 1 << 20;

/// Number of connections of each client that holds many.
const CONNECTIONS: usize = 50;

/// Number of clients that together open more connections than few descriptors allow.
const FEW_CLIENTS: usize = 12;

/// Descriptors of the instance that gets them, of which 200 are for files.
const FEW_DESCRIPTORS: usize = 500;
const FILE_DESCRIPTORS: usize = 200;

/// Time that clients allow for an answer.
const DEADLINE: Duration = Duration::from_secs(20);

/// Number of times that a client connects again when its connection was closed.
const RECONNECTS: usize = 3;

/// Time without progress after which a client stops sending, and keeps its connection open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// State of a listener in the table of sockets, where its queue is a number of connections.
const LISTENING: &str = "0A";

const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// What the clients of a crowd send, each on a connection that it keeps open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Crowd {
    /// A body with a length, all but its last byte.
    Whole,
    /// The same in pieces.
    Pieces,
    /// Large chunks, all but the last one.
    LargeChunks,
    /// Chunks of one byte, all but the last one.
    SmallChunks,
    /// A body with a length that is far over the limit.
    Announced,
    /// Large chunks, far over the limit.
    Endless,
}

impl Crowd {
    fn clients(self) -> usize {
        match self {
            Self::SmallChunks => SMALL_CHUNK_CLIENTS,
            _ => CLIENTS,
        }
    }

    /// The header that frames the body.
    fn framing(self) -> String {
        match self {
            Self::Whole | Self::Pieces => format!("content-length: {MAX_BODY}"),
            Self::Announced => format!("content-length: {}", 64 * MAX_BODY),
            _ => "transfer-encoding: chunked".to_owned(),
        }
    }

    /// What is written again and again, and the number of times.
    fn writes(self) -> (Vec<u8>, usize) {
        match self {
            Self::Whole => (vec![b'x'; WRITE_BYTES], MAX_BODY / WRITE_BYTES - 1),
            Self::Pieces => (vec![b'x'; PIECE_BYTES], MAX_BODY / PIECE_BYTES - 1),
            Self::Announced => (vec![b'x'; WRITE_BYTES], 4 * MAX_BODY / WRITE_BYTES),
            Self::LargeChunks => (chunk(WRITE_BYTES), MAX_BODY / WRITE_BYTES),
            Self::Endless => (chunk(WRITE_BYTES), 4 * MAX_BODY / WRITE_BYTES),
            Self::SmallChunks => {
                let chunks = chunk(1).repeat(PIECE_BYTES);
                (chunks, SMALL_CHUNK_BODY / PIECE_BYTES)
            }
        }
    }

    /// Sends a request without its end. An error means that the connection was closed.
    fn send(self, stream: &mut TcpStream, id: usize) -> std::io::Result<()> {
        let attempt = format!("crowd-{id}");
        stream.write_all(head(&attempt, &self.framing()).as_bytes())?;
        let (bytes, count) = self.writes();
        for _ in 0..count {
            stream.write_all(&bytes)?;
            if self == Self::Pieces {
                thread::sleep(PIECE_PAUSE);
            }
        }
        match self {
            Self::Whole => stream.write_all(&vec![b'x'; WRITE_BYTES - 1]),
            Self::Pieces => stream.write_all(&vec![b'x'; PIECE_BYTES - 1]),
            _ => Ok(()),
        }
    }
}

fn chunk(size: usize) -> Vec<u8> {
    let data = "x".repeat(size);
    format!("{size:x}\r\n{data}\r\n").into_bytes()
}

fn head(attempt: &str, framing: &str) -> String {
    format!(
        "POST /lookups/x HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {attempt}\r\n\
         x-credential: {KEY}\r\nx-deadline-ms: {}\r\n{framing}\r\n\r\n",
        DEADLINE.as_millis()
    )
}

/// Connects, lets `send` write, and keeps the connections open until `done`. Connects again a few
/// times when one was closed.
fn misbehave(
    address: SocketAddr,
    connections: usize,
    done: &AtomicBool,
    settled: &AtomicUsize,
    send: impl Fn(&mut TcpStream) -> std::io::Result<()>,
) {
    let connect = || {
        let mut stream = TcpStream::connect_timeout(&address, WRITE_TIMEOUT).ok()?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
        let _ = send(&mut stream);
        stream.set_nonblocking(true).unwrap();
        Some(stream)
    };
    let mut streams: Vec<_> = (0..connections).map(|_| connect()).collect();
    settled.fetch_add(1, Ordering::Relaxed);
    let mut reconnects = RECONNECTS * connections;
    while !done.load(Ordering::Relaxed) {
        for stream in &mut streams {
            let is_open = stream.as_mut().is_some_and(is_open);
            if !is_open && reconnects > 0 && !done.load(Ordering::Relaxed) {
                reconnects -= 1;
                *stream = connect();
            }
        }
        thread::sleep(SAMPLE_INTERVAL);
    }
}

/// Reads what has arrived. Returns whether the connection is still open.
fn is_open(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0; 4096]) {
        Ok(length) => length > 0,
        Err(e) => e.kind() == std::io::ErrorKind::WouldBlock,
    }
}

/// Most that a process used while it was watched.
#[derive(Default)]
struct Peaks {
    /// Resident memory, with the bytes that its sockets have received and it hasn't read.
    memory: AtomicU64,
    descriptors: AtomicUsize,
    sockets: AtomicUsize,
}

impl Peaks {
    fn watch(&self, process: &Process, ip: Ipv4Addr, done: &AtomicBool) {
        while !done.load(Ordering::Relaxed) {
            let memory = process.memory() + unread_bytes(ip);
            self.memory.fetch_max(memory, Ordering::Relaxed);
            let (descriptors, sockets) = process.descriptors();
            self.descriptors.fetch_max(descriptors, Ordering::Relaxed);
            self.sockets.fetch_max(sockets, Ordering::Relaxed);
            thread::sleep(SAMPLE_INTERVAL);
        }
    }

    fn check(&self, process: &Process, descriptors: usize) {
        let watched = self.memory.load(Ordering::Relaxed);
        let memory = watched.max(process.peak_memory());
        let open = self.descriptors.load(Ordering::Relaxed);
        let sockets = self.sockets.load(Ordering::Relaxed);
        println!(
            "peak {} MB, {open} descriptors, {sockets} sockets",
            memory >> 20
        );
        assert!(memory < MEMORY_MB << 20, "{} MB", memory >> 20);
        assert!(open <= descriptors, "{open} descriptors");
        assert!(
            sockets <= descriptors - FILE_DESCRIPTORS,
            "{sockets} sockets"
        );
    }
}

/// Bytes that the sockets at an address have received and that weren't read.
fn unread_bytes(ip: Ipv4Addr) -> u64 {
    let local = format!("{:08X}:", u32::from_be_bytes(ip.octets()).swap_bytes());
    let table = fs::read_to_string("/proc/net/tcp").expect("a table of sockets");
    let queue = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let is_ours = fields.next()?.starts_with(&local);
        let is_listener = fields.nth(1)? == LISTENING;
        let (_, unread) = fields.next()?.split_once(':')?;
        let unread = u64::from_str_radix(unread, 16).ok()?;
        (is_ours && !is_listener).then_some(unread)
    };
    table.lines().filter_map(queue).sum()
}

/// What runs against a process: clients with a number of connections each.
#[derive(Clone, Copy)]
struct Size {
    clients: usize,
    connections: usize,
    /// File descriptors of the process.
    descriptors: usize,
}

/// Runs a crowd against a process until `beside` has returned.
fn run_crowd(
    process: &Process,
    address: SocketAddr,
    size: Size,
    send: impl Fn(&mut TcpStream, usize) -> std::io::Result<()> + Copy + Send + Sync,
    beside: impl FnOnce(),
) -> Peaks {
    let (done, settled, peaks) = (
        AtomicBool::new(false),
        AtomicUsize::new(0),
        Peaks::default(),
    );
    let IpAddr::V4(ip) = address.ip() else {
        panic!("an IPv4 address");
    };
    thread::scope(|scope| {
        scope.spawn(|| peaks.watch(process, ip, &done));
        for id in 0..size.clients {
            let (done, settled) = (&done, &settled);
            let send = move |stream: &mut TcpStream| send(stream, id);
            scope.spawn(move || misbehave(address, size.connections, done, settled, send));
        }
        // Ends the crowd also if an assertion fails.
        let _end = EndOnDrop(&done);
        wait_for("settled crowd", || {
            (settled.load(Ordering::Relaxed) == size.clients).then_some(())
        });
        beside();
    });
    peaks
}

struct EndOnDrop<'a>(&'a AtomicBool);

impl Drop for EndOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Runs a crowd against an entry instance. Checks that ordinary requests are answered while the
/// crowd is there and after it has left, and what the instance used.
fn check_crowd(
    deployment: &mut Deployment,
    size: Size,
    send: impl Fn(&mut TcpStream, usize) -> std::io::Result<()> + Copy + Send + Sync,
) {
    let address = deployment.caller_addr(0);
    let peaks = run_crowd(&deployment.entries[0], address, size, send, || {
        serve_ordinary(deployment, "beside");
    });
    serve_ordinary(deployment, "after");
    assert!(deployment.entries[0].is_running());
    peaks.check(&deployment.entries[0], size.descriptors);
    // No engine has seen a request of the crowd, as none was complete.
    for id in 0..size.clients {
        let runs = deployment.engine_state().runs(&format!("crowd-{id}"));
        assert_eq!(runs, 0, "crowd-{id}");
    }
}

/// Waits until an instance answers a short call and a stream.
fn serve_ordinary(deployment: &Deployment, when: &str) {
    wait_for("answered call", || {
        let answer = deployment.request(0, "/lookups/x", &format!("call-{when}"), KEY);
        (answer.0 == 200).then_some(())
    });
    wait_for("answered stream", || {
        let answer = deployment.request(0, "/letters/x", &format!("stream-{when}"), KEY);
        (answer == (200, expected_stream())).then_some(())
    });
}

/// Guards against an instance that is killed for its memory, since many clients send bodies of legal
/// size, or far larger ones, and don't end them.
#[rstest]
fn crowd_of_bodies_bounded(
    #[values(
        Crowd::Whole,
        Crowd::Pieces,
        Crowd::LargeChunks,
        Crowd::SmallChunks,
        Crowd::Announced,
        Crowd::Endless
    )]
    crowd: Crowd,
) {
    let mut deployment = Deployment::alone(DESCRIPTORS);
    let size = Size {
        clients: crowd.clients(),
        connections: 1,
        descriptors: DESCRIPTORS,
    };
    check_crowd(&mut deployment, size, |stream, id| crowd.send(stream, id));
}

/// Guards against an instance that is killed for its memory, since many clients hold connections
/// with the start of a head.
#[rstest]
fn crowd_of_heads_bounded(#[values(60 << 10, 30 << 10, 22 << 10)] head: usize) {
    let mut deployment = Deployment::alone(DESCRIPTORS);
    let size = Size {
        clients: CLIENTS,
        connections: CONNECTIONS,
        descriptors: DESCRIPTORS,
    };
    let start = format!(
        "POST /lookups/x HTTP/1.1\r\nhost: {HOST}\r\nx-note: {}",
        "x".repeat(head)
    );
    check_crowd(&mut deployment, size, |stream, _| {
        stream.write_all(start.as_bytes())
    });
}

/// Guards against an instance that runs out of descriptors, since many clients hold connections
/// without sending a request.
#[test]
fn crowd_of_connections_bounded() {
    let mut deployment = Deployment::alone(FEW_DESCRIPTORS);
    let size = Size {
        clients: FEW_CLIENTS,
        connections: CONNECTIONS,
        descriptors: FEW_DESCRIPTORS,
    };
    check_crowd(&mut deployment, size, |stream, _| {
        stream.write_all(b"POST /lookups/x HTTP/1.1\r\nhost: ")
    });
}

/// Guards against a leading controller that is killed for its memory, or that answers no operator any
/// more, since many clients send it large bodies and don't end them.
#[test]
fn crowd_at_controller_bounded() {
    let mut deployment = Deployment::alone(DESCRIPTORS);
    let leader = wait_for("leader", || deployment.leader());
    let member = u8::try_from(leader).expect("few controllers");
    let address = deployment.control_addr(member);
    let head = format!(
        "POST /v1/Config.Replace HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        2 * MAX_BODY
    );
    let send = |stream: &mut TcpStream| {
        stream.write_all(head.as_bytes())?;
        for _ in 1..2 * MAX_BODY / WRITE_BYTES {
            stream.write_all(&[b'x'; WRITE_BYTES])?;
        }
        stream.write_all(&[b'x'; WRITE_BYTES - 1])
    };
    let size = Size {
        clients: CLIENTS,
        connections: 1,
        descriptors: DESCRIPTORS,
    };
    let peaks = run_crowd(
        &deployment.controllers[leader],
        address,
        size,
        |stream, _| send(stream),
        || {
            wait_for("acknowledged change", || {
                deployment.replace_configuration_at(member, 2).then_some(())
            });
            assert_eq!(deployment.leader(), Some(leader));
        },
    );
    assert!(deployment.controllers[leader].is_running());
    peaks.check(&deployment.controllers[leader], size.descriptors);
}

/// Guards against an engine that is handed the time that the body of its request took to arrive.
#[test]
fn body_time_counts() {
    const PAUSE: Duration = Duration::from_secs(2);
    const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
    let deployment = Deployment::with_size(1, &[3, 3]);
    let mut stream = TcpStream::connect(deployment.caller_addr(0)).unwrap();
    let head = head(
        "slow-body",
        "content-length: 4\r\nexpect: 100-continue\r\nconnection: close",
    );
    stream.write_all(head.as_bytes()).unwrap();
    // A busy instance may read the head later than it was sent, but asks for the body only then.
    let mut interim = [0; INTERIM.len()];
    stream.read_exact(&mut interim).unwrap();
    assert_eq!(&interim, INTERIM);
    thread::sleep(PAUSE);
    stream.write_all(b"text").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    let left = deployment.engine_state().deadline("slow-body");
    let left = Duration::from_millis(left.expect("a request"));
    assert!(left <= DEADLINE - PAUSE, "{left:?}");
}

/// Guards against memory that grows with the number of chunks: a body within the limits is served
/// in the smallest chunks, too.
#[test]
fn body_of_small_chunks_served() {
    let deployment = Deployment::alone(DESCRIPTORS);
    let mut stream = TcpStream::connect(deployment.caller_addr(0)).unwrap();
    let head = head(
        "small-chunks",
        "transfer-encoding: chunked\r\nconnection: close",
    );
    stream.write_all(head.as_bytes()).unwrap();
    let chunks = chunk(1).repeat(PIECE_BYTES);
    for _ in 0..MAX_BODY / PIECE_BYTES {
        stream.write_all(&chunks).unwrap();
    }
    stream.write_all(b"0\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    let peak = deployment.entries[0].peak_memory();
    println!("peak {} MB", peak >> 20);
    assert!(peak < MEMORY_MB << 20, "{} MB", peak >> 20);
}
