//! Tests of [`crate::roster`], [`crate::register`] and the controller's board.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::at;
use crate::clock::Time;
use crate::collections::HashMap;
use crate::controller::leader::LeaderState;
use crate::controller::reports::Reports;
use crate::entry::view::View;
use crate::register::{self, Register};
use crate::roster::{AnnounceOutcome, Announcement, LayerRange, Roster};
use crate::sync::{Load, SyncRequest};
use crate::voter::StateMachine;

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
    assert_eq!(roster.announce(at(0), news("i-1", 2)), AnnounceOutcome::New);
    assert_eq!(
        roster.announce(at(1), news("i-1", 1)),
        AnnounceOutcome::Stale
    );
    assert_eq!(
        roster.announce(at(2), news("i-1", 3)),
        AnnounceOutcome::Known
    );
}

#[test]
fn hear_born_again() {
    // An engine crashes and starts again under its id. It holds no layers any
    // more and counts from 1; a request sent by what it said before would be
    // refused by each engine of its path.
    let mut roster = Roster::new(BEAT);
    let mut old = news("i-1", 40);
    old.born = 1000;
    old.layers = Some(LayerRange::new(0, 7));
    roster.announce(at(0), old.clone());
    let mut new = news("i-1", 1);
    new.born = 2000;
    assert_eq!(roster.announce(at(10), new), AnnounceOutcome::New);
    assert_eq!(roster.get("i-1").unwrap().last.layers, None);
    old.sequence = 41;
    assert_eq!(roster.announce(at(20), old), AnnounceOutcome::Stale);
}

#[test]
fn hear_delayed_predecessor() {
    // A partition delays an engine's heartbeat. The engine crashes, another
    // starts at its address and registers, then the old heartbeat arrives.
    // Believed, every request to the address would name the wrong engine.
    let mut roster = Roster::new(BEAT);
    roster.announce(at(0), news("i-old", 9));
    assert_eq!(
        roster.announce(at(1000), news("i-new", 1)),
        AnnounceOutcome::New
    );
    assert_eq!(
        roster.announce(at(1500), news("i-old", 10)),
        AnnounceOutcome::Stale
    );
    assert_eq!(ids(&roster), ["i-new"]);
}

#[test]
fn hear_delayed_unknown() {
    // The same, but a new leader has never heard of the old engine.
    let mut roster = Roster::new(BEAT);
    roster.announce(at(1000), news("i-new", 1));
    assert_eq!(
        roster.announce(at(1500), news("i-old", 10)),
        AnnounceOutcome::Stale
    );
    assert_eq!(ids(&roster), ["i-new"]);
}

#[test]
fn tick_silence() {
    let mut roster = Roster::new(BEAT);
    roster.announce(at(0), news("i-1", 1));
    assert!(roster.tick(at(2600), &none()).is_empty());
    assert!(!roster.get("i-1").unwrap().late);
    roster.tick(at(2700), &none());
    assert!(roster.get("i-1").unwrap().late);
    roster.announce(at(2800), news("i-1", 2));
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
    let mut leader = LeaderState::new(BEAT);
    leader.enter_term(at(0), 2, &register);
    assert_eq!(
        leader.announce(at(10), news("i-1", 12)),
        AnnounceOutcome::Stale
    );
}

fn question(instance: u64, loads: Vec<Load>) -> SyncRequest {
    SyncRequest {
        instance,
        loads,
        ..SyncRequest::default()
    }
}

#[test]
fn sync_sums_others() {
    let (register, _) = Register::new();
    let mut leader = LeaderState::new(BEAT);
    leader.enter_term(at(0), 1, &register);
    let load = |memory| Load {
        engine: 7,
        memory,
        requests: 1,
        entered: 0,
    };
    let age = Duration::ZERO;
    leader.sync(at(1), question(1, vec![load(10)]), age, None, &register);
    leader.sync(at(2), question(2, vec![load(20)]), age, None, &register);
    let state = leader.sync(at(3), question(3, vec![load(40)]), age, None, &register);
    let loads = state.work.unwrap().loads;
    assert_eq!(loads.len(), 1);
    assert_eq!((loads[0].memory, loads[0].requests), (30, 2));
    assert_eq!(state.entries, 3);
}

#[test]
fn sync_roster_once() {
    let (register, _) = Register::new();
    let mut leader = LeaderState::new(BEAT);
    leader.enter_term(at(0), 1, &register);
    leader.announce(at(1), news("i-1", 1));
    let mut ask = question(1, Vec::new());
    let first = leader.sync(at(2), ask.clone(), Duration::ZERO, None, &register);
    let roster = first.roster.unwrap();
    assert!(!roster.complete);
    (ask.term, ask.revision) = (roster.term, roster.revision);
    let again = leader.sync(at(3), ask.clone(), Duration::ZERO, None, &register);
    assert!(again.roster.is_none());
    // It is told again once every upstream has had time to call.
    let later = leader.sync(at(4000), ask, Duration::ZERO, None, &register);
    assert!(later.roster.unwrap().complete);
}

#[test]
fn end_unknown_start() {
    let mut roster = Roster::new(BEAT);
    let id: Arc<str> = "i-1".into();
    roster.retire(&id, 5);
    let mut again = news("i-1", 1);
    again.born = 6;
    assert_eq!(roster.announce(at(0), again), AnnounceOutcome::New);
}

#[test]
fn sync_hides_given_up() {
    // An engine is ordered to hold other layers. It takes nothing new for
    // those that it gives up; requests sent there meanwhile would be refused.
    let mut leader = LeaderState::new(BEAT);
    let (register, _) = Register::new();
    leader.enter_term(at(0), 1, &register);
    let decoded = crate::platform::configuration::decode(super::platform::CONFIGURATION.as_bytes());
    let configuration = decoded.unwrap();
    for i in 0..13 {
        let mut news = news(&format!("i-{i}"), 1);
        news.address.set_port(8000 + i);
        // All hold the same few layers, so some must take others.
        news.layers = Some(LayerRange::new(0, 7));
        leader.announce(at(1), news);
    }
    let orders = leader.orders(at(4000), &configuration);
    let moved = orders.iter().find(|o| o.range.first >= 7).unwrap();
    let state = leader.sync(
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
    roster.announce(at(0), news("i-1", 1));
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

/// What instances know who ask a board until it has nothing more to tell.
fn follow(leader: &mut LeaderState, now: Time, view: &mut View, register: &Register) -> usize {
    let mut most = 0;
    loop {
        let (term, revision) = view.roster();
        let ask = SyncRequest {
            instance: 1,
            term,
            revision,
            complete: view.is_complete(),
            ..SyncRequest::default()
        };
        let state = leader.sync(now, ask, Duration::ZERO, None, register);
        most = most.max(state.encoded_len());
        assert!(view.apply(now, state, BEAT));
        if !view.has_more() {
            return most;
        }
    }
}

fn known(view: &View) -> Vec<&str> {
    let mut ids: Vec<_> = view.services.values().flatten().map(|u| &*u.id).collect();
    ids.sort_unstable();
    ids
}

fn member(i: u16, sequence: u64) -> Announcement {
    let mut news = news(&format!("i-{i:04}"), sequence);
    let [high, low] = i.to_be_bytes();
    news.address.set_ip([10, 2, high, low].into());
    news
}

#[test]
fn sync_large_fleet() {
    // 300 instances before 3,000 engines: the leader answered each change with
    // the whole roster, 230 KB to each instance. Its link was full for seconds,
    // what waited for it took 257 MB, and the process was ended for memory.
    let (register, _) = Register::new();
    let mut leader = LeaderState::new(BEAT);
    leader.enter_term(at(0), 1, &register);
    for i in 0..3000 {
        leader.announce(at(1), member(i, 1));
    }
    let mut view = View::new();
    let most = follow(&mut leader, at(10), &mut view, &register);
    assert_eq!(known(&view).len(), 3000);
    assert!(most < 16_000, "{most} bytes in one answer");
    leader.announce(at(20), member(3000, 1));
    let change = follow(&mut leader, at(30), &mut view, &register);
    assert_eq!(known(&view).len(), 3001);
    assert!(change < 2_000, "{change} bytes for one change");
}

#[test]
fn sync_random_changes() {
    // Upstreams come, go and change while one instance asks now and then, one
    // falls behind, and the leader changes: both end up with the roster.
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (register, _) = Register::new();
        let mut leader = LeaderState::new(BEAT);
        let mut views = [View::new(), View::new()];
        let (mut term, mut now) = (1, 0);
        leader.enter_term(at(now), term, &register);
        for step in 1..600 {
            now += 20;
            match rng.random_range(0..60) {
                0 => {
                    term += 1;
                    leader.enter_term(at(now), term, &register);
                }
                1..8 => {
                    follow(&mut leader, at(now), &mut views[0], &register);
                }
                8 => {
                    follow(&mut leader, at(now), &mut views[1], &register);
                }
                _ => {
                    let mut news = member(rng.random_range(0..400), step);
                    news.slots = rng.random_range(1..3);
                    leader.announce(at(now), news);
                }
            }
            leader.tick(at(now));
        }
        now += 4000;
        leader.announce(at(now), member(500, 1));
        leader.tick(at(now));
        for view in &mut views {
            follow(&mut leader, at(now), view, &register);
            assert!(view.is_complete(), "seed {seed}");
        }
        assert_eq!(known(&views[0]), known(&views[1]), "seed {seed}");
        let all = known(&views[0]).into_iter();
        assert!(
            all.into_iter().all(|id| leader.upstream(id).is_some()),
            "seed {seed}"
        );
        assert_eq!(
            leader.counts().upstreams.values().sum::<u32>() as usize,
            known(&views[0]).len()
        );
    }
}

#[test]
fn sync_forgotten_departures() {
    // An instance is cut off while more upstreams leave than are remembered.
    // Told only what is remembered, it would go on sending to the others.
    let (register, _) = Register::new();
    let mut leader = LeaderState::new(BEAT);
    leader.enter_term(at(0), 1, &register);
    leader.announce(at(1), member(0, 1));
    let mut view = View::new();
    follow(&mut leader, at(4000), &mut view, &register);
    assert_eq!(known(&view), ["i-0000"]);
    leader.tick(at(5000));
    for i in 1..=5000 {
        leader.announce(at(5000), member(i, 1));
    }
    leader.tick(at(11_000));
    leader.announce(at(11_000), member(6000, 1));
    follow(&mut leader, at(11_000), &mut view, &register);
    assert_eq!(known(&view), ["i-6000"]);
}

#[test]
fn reports_tell_seldom() {
    // 300 instances before 3,000 busy engines: told of all work in each answer,
    // they would be sent 72 MB a second, over three times the leader's link.
    let mut reports = Reports::default();
    let loads = |i: u64| (0..10).map(move |k| (i * 10 + k) % 3000);
    let load = |engine| Load {
        engine,
        memory: 5,
        requests: 1,
        entered: 1,
    };
    let mut bytes = 0;
    for now in (0..20_000).step_by(250) {
        for i in 0..300 {
            let own = loads(i).map(load).collect();
            reports.record(at(now), question(i, own));
            let told = reports.others_load(at(now), i);
            bytes += told.map_or(0, |w| w.encoded_len());
        }
    }
    assert!(bytes / 20 < 6_000_000, "{} bytes a second", bytes / 20);
    assert!(bytes / 20 > 500_000, "{} bytes a second", bytes / 20);
    reports.tick(at(22_000));
    assert_eq!((reports.len(), reports.load_of(7).requests), (0, 0));
}

#[test]
fn reports_sum_asking() {
    // The room is divided among the requests that ask for it at all instances.
    let mut reports = Reports::default();
    for (instance, room_requests) in [(1, 4), (2, 3), (1, 2)] {
        let ask = SyncRequest {
            room_requests,
            ..question(instance, Vec::new())
        };
        reports.record(at(0), ask);
    }
    assert_eq!(reports.others_load(at(1), 1).unwrap().room_requests, 5);
    reports.record(at(2_500), question(3, Vec::new()));
    reports.tick(at(2_600));
    assert_eq!(reports.others_load(at(2_600), 3).unwrap().room_requests, 0);
}

#[test]
fn reports_sum_replaced() {
    let mut reports = Reports::default();
    let load = |memory, requests| Load {
        engine: 7,
        memory,
        requests,
        entered: 0,
    };
    reports.record(at(0), question(1, vec![load(10, 1)]));
    reports.record(at(0), question(2, vec![load(20, 2)]));
    reports.record(at(1), question(1, vec![load(30, 3)]));
    assert_eq!(
        (reports.load_of(7).memory, reports.load_of(7).requests),
        (50, 5)
    );
    reports.record(at(2), question(1, Vec::new()));
    assert_eq!(
        (reports.load_of(7).memory, reports.load_of(7).requests),
        (20, 2)
    );
    reports.record(at(2), question(2, vec![load(5, 0)]));
    assert_eq!(
        (reports.load_of(7).memory, reports.load_of(7).requests),
        (0, 0)
    );
}
