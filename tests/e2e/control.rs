//! Tests of the control address.

use std::thread;

use crate::common::caller::send_raw;
use crate::common::fleet::Fleet;

/// On a busy machine, an operator's change sometimes hung until the command timed out: the
/// server had accepted the connection but never read from it, because the readiness event for
/// the bytes was lost. Most calls worked, so it takes many concurrent ones to show the fault.
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
