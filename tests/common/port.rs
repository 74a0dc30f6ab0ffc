//! Free ports on loopback.

use std::collections::HashSet;
use std::fs;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process;
use std::sync::Mutex;

const LOWEST: u16 = 10_000;
/// Distance between the first ports that processes with consecutive IDs try.
const STRIDE: u32 = 131;

static RESERVED: Mutex<Option<HashSet<u16>>> = Mutex::new(None);

/// Returns an address whose port is unused for TCP and UDP.
///
/// The port lies below the kernel's ephemeral range. An outgoing connection can take a
/// port of that range between this check and the bind, which then fails now and then with
/// "address in use".
pub(crate) fn free() -> SocketAddr {
    let highest = ephemeral_start();
    let span = u32::from(highest - LOWEST);
    let mut reserved = RESERVED.lock().unwrap();
    let reserved = reserved.get_or_insert_default();
    let first = process::id().wrapping_mul(STRIDE) % span;
    (0..span)
        .map(|step| LOWEST + ((first + step) % span) as u16)
        .find(|port| !reserved.contains(port) && is_free(*port) && reserved.insert(*port))
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
