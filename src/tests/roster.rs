//! Tests of [`crate::roster`], [`crate::register`] and the controller's board.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::at;
use crate::collections::HashMap;
use crate::controller::board::Board;
use crate::register::{self, Register};
use crate::roster::{Announcement, Heard, Range, Roster};
use crate::sync::{Load, Sync};
use crate::voter::Machine;

const BEAT: Duration = Duration::from_millis(1200);

fn news(id: &str, sequence: u64) -> Announcement {
    Announcement {
        id: id.into(),
        born: 0,
        sequence,
        service: "models".to_owned(),
        address: "10.1.64.9:8666".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 192,
        leaving: false,
        kind: Some("t4".to_owned()),
        layers: None,
    }
}

fn none() -> HashMap<SocketAddrV4, usize> {
    HashMap::default()
}

fn ids(roster: &Roster) -> Vec<&str> {
    roster.list().into_iter().map(|e| &*e.last.id).collect()
}

#[test]
fn hear_old_sequence() {
    let mut roster = Roster::new(BEAT);
    assert_eq!(roster.hear(at(0), news("i-1", 2)), Heard::New);
    assert_eq!(roster.hear(at(1), news("i-1", 1)), Heard::Stale);
    assert_eq!(roster.hear(at(2), news("i-1", 3)), Heard::Known);
}

#[test]
fn hear_born_again() {
    // An engine crashes and starts again under its id. It holds no layers any
    // more and counts from 1; a request sent by what it said before would be
    // refused by each engine of its path.
    let mut roster = Roster::new(BEAT);
    let mut old = news("i-1", 40);
    old.born = 1000;
    old.layers = Some(Range::new(0, 7));
    roster.hear(at(0), old.clone());
    let mut new = news("i-1", 1);
    new.born = 2000;
    assert_eq!(roster.hear(at(10), new), Heard::New);
    assert_eq!(roster.get("i-1").unwrap().last.layers, None);
    old.sequence = 41;
    assert_eq!(roster.hear(at(20), old), Heard::Stale);
}

#[test]
fn hear_delayed_predecessor() {
    // A partition delays an engine's heartbeat. The engine crashes, another
    // starts at its address and registers, then the old heartbeat arrives.
    // Believed, every request to the address would name the wrong engine.
    let mut roster = Roster::new(BEAT);
    roster.hear(at(0), news("i-old", 9));
    assert_eq!(roster.hear(at(1000), news("i-new", 1)), Heard::New);
    assert_eq!(roster.hear(at(1500), news("i-old", 10)), Heard::Stale);
    assert_eq!(ids(&roster), ["i-new"]);
}

#[test]
fn hear_delayed_unknown() {
    // The same, but a new leader has never heard of the old engine.
    let mut roster = Roster::new(BEAT);
    roster.hear(at(1000), news("i-new", 1));
    assert_eq!(roster.hear(at(1500), news("i-old", 10)), Heard::Stale);
    assert_eq!(ids(&roster), ["i-new"]);
}

#[test]
fn tick_silence() {
    let mut roster = Roster::new(BEAT);
    roster.hear(at(0), news("i-1", 1));
    assert!(roster.tick(at(2600), &none()).is_empty());
    assert!(!roster.get("i-1").unwrap().late);
    roster.tick(at(2700), &none());
    assert!(roster.get("i-1").unwrap().late);
    roster.hear(at(2800), news("i-1", 2));
    assert!(!roster.get("i-1").unwrap().late);
    assert_eq!(roster.tick(at(7700), &none()).len(), 1);
    assert!(ids(&roster).is_empty());
}

#[test]
fn apply_highest_version() {
    let (register, mut machine) = Register::new();
    machine.apply(1, &register::replace(4, Bytes::from_static(b"four")));
    machine.apply(2, &register::replace(3, Bytes::from_static(b"three")));
    assert_eq!(register.version(), 4);
    // Two operators send version 5 at once: the first that is committed stays.
    machine.apply(3, &register::replace(5, Bytes::from_static(b"five")));
    machine.apply(4, &register::replace(5, Bytes::from_static(b"other")));
    assert_eq!(&register.current().unwrap().body[..], b"five");
}

#[test]
fn restore_snapshot() {
    let (_, mut machine) = Register::new();
    machine.apply(1, &register::replace(4, Bytes::from_static(b"four")));
    machine.apply(2, &register::depart("i-1", 7));
    let (register, mut other) = Register::new();
    other.restore(&machine.snapshot());
    assert_eq!(register.version(), 4);
    assert_eq!(register.departed_after(0).0[0].id, "i-1");
}

#[test]
fn apply_departure_once() {
    let (register, mut machine) = Register::new();
    machine.apply(1, &register::depart("i-1", 7));
    machine.apply(2, &register::depart("i-1", 7));
    assert_eq!(register.departed_after(0).1, 1);
}

#[test]
fn lead_after_departure() {
    // An engine says that it leaves, the leader acknowledges and dies. A
    // heartbeat that was under way reaches the next leader, which must not
    // hand the engine out again.
    let (register, mut machine) = Register::new();
    machine.apply(1, &register::depart("i-1", 0));
    let mut board = Board::new(BEAT);
    board.lead(at(0), 2, &register);
    assert_eq!(board.hear(at(10), news("i-1", 12)), Heard::Stale);
}

fn question(instance: u64, loads: Vec<Load>) -> Sync {
    Sync {
        instance,
        loads,
        ..Sync::default()
    }
}

#[test]
fn sync_sums_others() {
    let (register, _) = Register::new();
    let mut board = Board::new(BEAT);
    board.lead(at(0), 1, &register);
    let load = |memory| Load {
        engine: 7,
        memory,
        requests: 1,
        entered: 0,
    };
    let age = Duration::ZERO;
    board.sync(at(1), question(1, vec![load(10)]), age, None, &register);
    board.sync(at(2), question(2, vec![load(20)]), age, None, &register);
    let state = board.sync(at(3), question(3, vec![load(40)]), age, None, &register);
    assert_eq!(state.loads.len(), 1);
    assert_eq!((state.loads[0].memory, state.loads[0].requests), (30, 2));
    assert_eq!(state.entries, 3);
}

#[test]
fn sync_roster_once() {
    let (register, _) = Register::new();
    let mut board = Board::new(BEAT);
    board.lead(at(0), 1, &register);
    board.hear(at(1), news("i-1", 1));
    let mut ask = question(1, Vec::new());
    let first = board.sync(at(2), ask.clone(), Duration::ZERO, None, &register);
    let roster = first.roster.unwrap();
    assert!(!roster.complete);
    (ask.term, ask.revision) = (roster.term, roster.revision);
    let again = board.sync(at(3), ask.clone(), Duration::ZERO, None, &register);
    assert!(again.roster.is_none());
    // It is told again once every upstream has had time to call.
    let later = board.sync(at(4000), ask, Duration::ZERO, None, &register);
    assert!(later.roster.unwrap().complete);
}

#[test]
fn end_unknown_start() {
    let mut roster = Roster::new(BEAT);
    let id: Arc<str> = "i-1".into();
    roster.end(&id, 5);
    let mut again = news("i-1", 1);
    again.born = 6;
    assert_eq!(roster.hear(at(0), again), Heard::New);
}

#[test]
fn sync_hides_given_up() {
    // An engine is ordered to hold other layers. It takes nothing new for
    // those that it gives up; requests sent there meanwhile would be refused.
    let mut board = Board::new(BEAT);
    let (register, _) = Register::new();
    board.lead(at(0), 1, &register);
    let decoded = crate::platform::configuration::decode(super::platform::CONFIGURATION.as_bytes());
    let configuration = decoded.unwrap();
    for i in 0..13 {
        let mut news = news(&format!("i-{i}"), 1);
        news.address.set_port(8000 + i);
        // All hold the same few layers, so some must take others.
        news.layers = Some(Range::new(0, 7));
        board.hear(at(1), news);
    }
    let orders = board.orders(at(4000), &configuration);
    let moved = orders.iter().find(|o| o.range.first >= 7).unwrap();
    let state = board.sync(
        at(4001),
        question(1, Vec::new()),
        Duration::ZERO,
        None,
        &register,
    );
    let upstreams = state.roster.unwrap().upstreams;
    let shown = upstreams.iter().find(|u| *u.id == *moved.engine).unwrap();
    assert_eq!(shown.range(), None);
}

#[test]
fn tick_witnesses() {
    // An engine goes dark. Its heartbeats may be late for good reasons for
    // four seconds, but two instances have found it dead: every request that
    // is sent there meanwhile stalls, and its layers are missing.
    let mut roster = Roster::new(BEAT);
    roster.hear(at(0), news("i-1", 1));
    let address = roster.get("i-1").unwrap().last.address;
    let one = HashMap::from_iter([(address, 1)]);
    let two = HashMap::from_iter([(address, 2)]);
    roster.tick(at(1400), &one);
    assert!(!roster.get("i-1").unwrap().late);
    // An upstream that calls is never dropped on the word of others.
    assert!(roster.tick(at(1200), &two).is_empty());
    assert!(!roster.get("i-1").unwrap().late);
    roster.tick(at(1400), &two);
    assert!(roster.get("i-1").unwrap().late);
    assert_eq!(roster.tick(at(2400), &two).len(), 1);
}
