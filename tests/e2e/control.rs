//! The control address: operators, upstreams, probes.

use std::thread;

use crate::common::caller::send_raw;
use crate::common::fleet::Fleet;

/// An operator's change hangs until the command gives up, now and then, on a
/// busy machine: the server took the connection and never read from it, because
/// the event that announced the bytes was lost. Most calls work, so only many
/// of them at a time show it.
#[test]
fn control_many_connections_all_answered() {
    let fleet = Fleet::single();
    let address = fleet.control_addr(0);
    let callers: Vec<_> = (0..16)
        .map(|_| {
            thread::spawn(move || {
                let request = b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
                (0..50)
                    .filter(|_| send_raw(address, request).starts_with("HTTP/1.1 200"))
                    .count()
            })
        })
        .collect();
    let answered: usize = callers
        .into_iter()
        .map(|c| c.join().expect("a caller"))
        .sum();
    assert_eq!(answered, 800);
}
