//! Tests of the placement orders of the leading controller.

use std::time::Duration;

use super::platform::CONFIGURATION;
use super::{DIRECT, at, handle_sync};
use crate::configuration::Configuration;
use crate::controller::leader::{LeaderState, PlacementOrder};
use crate::platform::configuration::decode;
use crate::register::{self, Register};
use crate::roster::{Announcement, LayerRange};
use crate::sync::SyncRequest;
use crate::voter::StateMachine;

pub(super) const HEARTBEAT: Duration = Duration::from_millis(1200);

pub(super) fn configuration() -> Configuration {
    decode(CONFIGURATION.as_bytes()).unwrap()
}

pub(super) fn announcement(host: u8, sequence: u64, layers: Option<(u32, u32)>) -> Announcement {
    Announcement {
        id: format!("i-{host}").into(),
        born: 0,
        sequence,
        service: "models".to_owned(),
        address: format!("10.1.64.{host}:8666").parse().unwrap(),
        domain: "a".to_owned(),
        slots: 192,
        leaving: false,
        kind: Some("h100".to_owned()),
        layers: layers.map(|(first, end)| LayerRange::new(first, end)),
    }
}

/// Engines, by host, and their layers: all layers are held, the first two ranges twice.
pub(super) const ENGINES: [(u8, (u32, u32)); 5] = [
    (1, (0, 27)),
    (2, (27, 54)),
    (3, (54, 80)),
    (4, (0, 27)),
    (5, (27, 54)),
];

/// Returns the state of a leader whose term began at 0, and which received a heartbeat of all
/// `hosts` in each period until `end`.
fn leader_state(register: &Register, hosts: &[u8], end: u64) -> LeaderState {
    let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
    leader.enter_term(at(0), 1, register);
    for (sequence, now) in (1..).zip((0..=end).step_by(1200)) {
        leader.enter_term(at(now), 1, register);
        let senders = ENGINES.iter().filter(|(host, _)| hosts.contains(host));
        for (host, layers) in senders {
            leader.announce(at(now), announcement(*host, sequence, Some(*layers)));
        }
        leader.tick(at(now));
    }
    leader
}

#[test]
fn orders_while_others_join() {
    // Guards against orders that wait until no engine has joined lately. While the operator
    // replaced one engine per second, a layer was missing in each failure domain for five
    // seconds, and all requests were refused.
    let (register, mut machine) = Register::new();
    let mut leader = leader_state(&register, &[1, 2, 3, 4, 5], 12_000);
    assert_eq!(leader.orders(at(12_000), &configuration()), []);
    leader.announce(at(12_900), announcement(9, 1, None));
    machine.apply(1, &register::depart("i-3", 0));
    leader.enter_term(at(13_000), 1, &register);
    let orders = leader.orders(at(13_000), &configuration());
    assert!(orders.iter().any(|o| o.range.first == 54), "{orders:?}");
}

#[test]
fn orders_after_first_burst() {
    // All engines start at once and announce themselves within a heartbeat period. The fastest
    // get their layers first, so all must be known before.
    let (register, _machine) = Register::new();
    let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
    leader.enter_term(at(0), 1, &register);
    for host in 1..=9 {
        let now = 5_000 + 150 * u64::from(host);
        leader.announce(at(now), announcement(host, 1, None));
        assert_eq!(leader.orders(at(now), &configuration()), []);
    }
    assert!(!leader.orders(at(8_000), &configuration()).is_empty());
}

#[test]
fn orders_not_before_all_heard() {
    // A new leader receives the heartbeat of one engine late. Its layers are not missing.
    let (register, _machine) = Register::new();
    let mut leader = leader_state(&register, &[1, 2, 4, 5], 2_400);
    assert_eq!(leader.orders(at(2_900), &configuration()), []);
    leader.announce(at(2_950), announcement(3, 1, Some((54, 80))));
    assert_eq!(leader.orders(at(3_100), &configuration()), []);
}

#[test]
fn orders_after_no_answer() {
    // Guards against a gap that stays open while an engine does not answer its order. Layers are
    // lost, and it is unknown whether the engine carries the order out. The leader waited six
    // seconds for it, while another engine was free.
    let (register, mut machine) = Register::new();
    let mut leader = leader_state(&register, &[1, 2, 3, 4, 5], 12_000);
    machine.apply(1, &register::depart("i-3", 0));
    leader.enter_term(at(12_100), 1, &register);
    let orders = leader.orders(at(12_100), &configuration());
    assert!(!orders.is_empty());
    assert_eq!(leader.orders(at(12_300), &configuration()), []);
    for order in &orders {
        leader.record_unanswered(at(12_700), order);
    }
    let next = leader.orders(at(12_800), &configuration());
    let again = |o: &&PlacementOrder| orders.iter().any(|before| before.engine == o.engine);
    assert_eq!(next.iter().find(again), None);
    assert!(next.iter().any(|o| o.range.contains(54)), "{next:?}");
    // It may carry the order out late. The layers that it would release must stay on another.
    let held = |l: u32| {
        ENGINES.iter().any(|(host, (first, end))| {
            let moved = orders.iter().chain(&next);
            let mut moved = moved.filter(|o| *o.engine == *format!("i-{host}"));
            let kept = moved.all(|o| o.range.contains(l));
            kept && *first <= l && l < *end
        })
    };
    assert!((0..54).all(held), "{orders:?}, then {next:?}");
}

/// Guards against removing all upstreams, and forgetting all instances, at the first tick after the
/// leader itself was paused: what they sent meanwhile is read only after it.
#[test]
fn tick_after_own_pause() {
    let (register, _) = Register::new();
    let mut leader = leader_state(&register, &[1, 2, 3, 4, 5], 6_000);
    let request = SyncRequest {
        instance: 7,
        ..SyncRequest::default()
    };
    handle_sync(&mut leader, at(6_000), request, &register).unwrap();
    leader.excuse_silence(at(12_250), Duration::from_secs(6));
    assert!(leader.tick(at(12_250)).is_empty());
    assert_eq!(leader.counts().entries, 1);
    // The time before the pause and after it counts.
    assert!(leader.tick(at(16_799)).is_empty());
    assert_eq!(leader.counts().entries, 0);
    assert_eq!(leader.tick(at(16_800)).len(), 5);
}
