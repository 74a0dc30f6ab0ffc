//! A proxy in front of an address, for TCP and UDP on one port, that can simulate a
//! network partition: it forwards nothing and closes no connection.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::port;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Default)]
struct ProxyState {
    blocked: AtomicBool,
    stopped: AtomicBool,
}

impl ProxyState {
    fn is_blocked(&self) -> bool {
        self.blocked.load(Ordering::SeqCst)
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }
}

/// A running proxy; dropping it stops its threads.
pub(crate) struct Proxy {
    /// Address to connect to in place of the target's.
    pub(crate) address: SocketAddr,
    state: Arc<ProxyState>,
}

impl Proxy {
    /// Forwards to `target`, which need not listen yet.
    pub(crate) fn new(target: SocketAddr) -> Self {
        let address = port::free();
        let state = Arc::new(ProxyState::default());
        let listener = TcpListener::bind(address).expect("bind the proxy");
        let socket = UdpSocket::bind(address).expect("bind the proxy");
        let (tcp, udp) = (state.clone(), state.clone());
        thread::spawn(move || accept_connections(&listener, target, &tcp));
        thread::spawn(move || forward_datagrams(socket, target, &udp));
        Self { address, state }
    }

    /// Stops forwarding; connections stay open.
    pub(crate) fn block(&self) {
        self.state.blocked.store(true, Ordering::SeqCst);
    }

    /// Forwards again; what was sent by TCP meanwhile is delivered late.
    pub(crate) fn unblock(&self) {
        self.state.blocked.store(false, Ordering::SeqCst);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
    }
}

fn accept_connections(listener: &TcpListener, target: SocketAddr, state: &Arc<ProxyState>) {
    listener.set_nonblocking(true).expect("set non-blocking");
    while !state.is_stopped() {
        if state.is_blocked() {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let Ok((client, _)) = listener.accept() else {
            thread::sleep(POLL_INTERVAL);
            continue;
        };
        client.set_nonblocking(false).expect("set blocking");
        let Ok(server) = TcpStream::connect(target) else {
            continue;
        };
        for (from, to) in [(&client, &server), (&server, &client)] {
            let _ = from.set_nodelay(true);
            let from = from.try_clone().expect("duplicate the socket");
            let to = to.try_clone().expect("duplicate the socket");
            let state = state.clone();
            thread::spawn(move || forward_stream(from, to, &state));
        }
    }
}

fn forward_stream(mut from: TcpStream, mut to: TcpStream, state: &ProxyState) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut buffer = [0; 16 * 1024];
    while !state.is_stopped() {
        if state.is_blocked() {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let size = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(size) => size,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => break,
        };
        // Data that was read just before the proxy was blocked must not pass.
        while state.is_blocked() && !state.is_stopped() {
            thread::sleep(POLL_INTERVAL);
        }
        if to.write_all(&buffer[..size]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

/// Forwards datagrams, through one socket per sender so that answers can be returned to it.
fn forward_datagrams(socket: UdpSocket, target: SocketAddr, state: &Arc<ProxyState>) {
    socket
        .set_read_timeout(Some(POLL_INTERVAL))
        .expect("set the read timeout");
    let mut senders: HashMap<SocketAddr, UdpSocket> = HashMap::new();
    let mut buffer = [0; 64 * 1024];
    while !state.is_stopped() {
        let Ok((size, sender)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if state.is_blocked() {
            continue;
        }
        let out = senders.entry(sender).or_insert_with(|| {
            let out = UdpSocket::bind("127.0.0.1:0").expect("bind a datagram socket");
            let back = out.try_clone().expect("duplicate the socket");
            let client = socket.try_clone().expect("duplicate the socket");
            let state = state.clone();
            thread::spawn(move || return_datagrams(&back, &client, sender, &state));
            out
        });
        let _ = out.send_to(&buffer[..size], target);
    }
}

fn return_datagrams(from: &UdpSocket, to: &UdpSocket, sender: SocketAddr, state: &ProxyState) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut buffer = [0; 64 * 1024];
    while !state.is_stopped() {
        let Ok((size, _)) = from.recv_from(&mut buffer) else {
            continue;
        };
        if !state.is_blocked() {
            let _ = to.send_to(&buffer[..size], sender);
        }
    }
}
