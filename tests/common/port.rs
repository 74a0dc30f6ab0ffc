//! Free ports on loopback.

use std::collections::HashSet;
use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process;
use std::sync::Mutex;

const LOWEST: u16 = 10_000;
/// Distance between the first ports of processes with neighbouring ids.
const STRIDE: u32 = 131;

static GIVEN: Mutex<Option<HashSet<u16>>> = Mutex::new(None);

/// An address that nobody listens on by TCP or UDP.
///
/// It lies below the range from which the kernel takes ports for outgoing
/// connections: a port from inside that range may be taken by any connection
/// between this look and the bind, which shows as a rare "address in use".
pub(crate) fn free() -> SocketAddr {
    let highest = ephemeral_start();
    let span = u32::from(highest - LOWEST);
    let mut given = GIVEN.lock().unwrap();
    let given = given.get_or_insert_default();
    let begin = process::id().wrapping_mul(STRIDE) % span;
    (0..span)
        .map(|step| LOWEST + ((begin + step) % span) as u16)
        .find(|port| !given.contains(port) && is_free(*port) && given.insert(*port))
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .expect("a free port")
}

fn ephemeral_start() -> u16 {
    let text = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let first = text
        .ok()
        .and_then(|t| t.split_whitespace().next()?.parse().ok());
    first.filter(|p| *p > LOWEST).unwrap_or(32_768)
}

fn is_free(port: u16) -> bool {
    TcpListener::bind(("127.0.0.1", port)).is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok()
}
