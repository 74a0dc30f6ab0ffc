//! A forwarding proxy in front of an address (TCP and UDP on one port) that can
//! go silent, as a partition does: nothing passes and nothing is closed.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::port;

const TICK: Duration = Duration::from_millis(20);

#[derive(Default)]
struct Switch {
    silent: AtomicBool,
    ended: AtomicBool,
}

impl Switch {
    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }

    fn is_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}

/// The proxy; its threads end with it.
pub(crate) struct Proxy {
    /// Where to send instead of the target.
    pub(crate) address: SocketAddr,
    switch: Arc<Switch>,
}

impl Proxy {
    /// Forwards to `target`, which need not listen yet.
    pub(crate) fn new(target: SocketAddr) -> Self {
        let address = port::free();
        let switch = Arc::new(Switch::default());
        let listener = TcpListener::bind(address).expect("bind the proxy");
        let socket = UdpSocket::bind(address).expect("bind the proxy");
        let (tcp, udp) = (switch.clone(), switch.clone());
        thread::spawn(move || accept(&listener, target, &tcp));
        thread::spawn(move || datagrams(socket, target, &udp));
        Self { address, switch }
    }

    /// Nothing passes any more; connections stay open.
    pub(crate) fn block(&self) {
        self.switch.silent.store(true, Ordering::SeqCst);
    }

    /// All passes again; what was sent by TCP meanwhile comes late.
    pub(crate) fn unblock(&self) {
        self.switch.silent.store(false, Ordering::SeqCst);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.switch.ended.store(true, Ordering::SeqCst);
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, switch: &Arc<Switch>) {
    listener.set_nonblocking(true).expect("set non-blocking");
    while !switch.is_ended() {
        if switch.is_silent() {
            thread::sleep(TICK);
            continue;
        }
        let Ok((near, _)) = listener.accept() else {
            thread::sleep(TICK);
            continue;
        };
        near.set_nonblocking(false).expect("set blocking");
        let Ok(far) = TcpStream::connect(target) else {
            continue;
        };
        for (from, to) in [(&near, &far), (&far, &near)] {
            let _ = from.set_nodelay(true);
            let from = from.try_clone().expect("share the socket");
            let to = to.try_clone().expect("share the socket");
            let switch = switch.clone();
            thread::spawn(move || pump(from, to, &switch));
        }
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, switch: &Switch) {
    let _ = from.set_read_timeout(Some(TICK));
    let mut buffer = [0; 16 * 1024];
    while !switch.is_ended() {
        if switch.is_silent() {
            thread::sleep(TICK);
            continue;
        }
        let size = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(size) => size,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) => break,
        };
        // What was read while the proxy went silent must not pass.
        while switch.is_silent() && !switch.is_ended() {
            thread::sleep(TICK);
        }
        if to.write_all(&buffer[..size]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

/// Forwards datagrams; each sender gets a socket of its own for the way back.
fn datagrams(socket: UdpSocket, target: SocketAddr, switch: &Arc<Switch>) {
    socket
        .set_read_timeout(Some(TICK))
        .expect("bound the reads");
    let mut senders: HashMap<SocketAddr, UdpSocket> = HashMap::new();
    let mut buffer = [0; 64 * 1024];
    while !switch.is_ended() {
        let Ok((size, sender)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if switch.is_silent() {
            continue;
        }
        let out = senders.entry(sender).or_insert_with(|| {
            let out = UdpSocket::bind("127.0.0.1:0").expect("bind a datagram socket");
            let back = out.try_clone().expect("share the socket");
            let near = socket.try_clone().expect("share the socket");
            let switch = switch.clone();
            thread::spawn(move || backwards(&back, &near, sender, &switch));
            out
        });
        let _ = out.send_to(&buffer[..size], target);
    }
}

fn backwards(from: &UdpSocket, to: &UdpSocket, sender: SocketAddr, switch: &Switch) {
    let _ = from.set_read_timeout(Some(TICK));
    let mut buffer = [0; 64 * 1024];
    while !switch.is_ended() {
        let Ok((size, _)) = from.recv_from(&mut buffer) else {
            continue;
        };
        if !switch.is_silent() {
            let _ = to.send_to(&buffer[..size], sender);
        }
    }
}
