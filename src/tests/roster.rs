//! Tests of [`crate::roster`], [`crate::register`] and the state of the leading controller.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::{DIRECT, announce, at, handle_sync};
use crate::clock::Time;
use crate::collections::HashMap;
use crate::controller::leader::LeaderState;
use crate::controller::reports::Reports;
use crate::entry::view::View;
use crate::register::{self, Register};
use crate::relay::HeartbeatDigest;
use crate::roster::{
    AnnounceOutcome, Announcement, LayerRange, RefreshOutcome, Roster, StaleReason,
};
use crate::sync::{Load, SyncRequest};
use crate::voter::StateMachine;

pub(super) const HEARTBEAT: Duration = Duration::from_millis(1200);

pub(super) fn announcement(id: &str, sequence: u64) -> Announcement {
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

fn no_suspects() -> HashMap<SocketAddrV4, usize> {
    HashMap::default()
}

fn ids(roster: &Roster) -> Vec<&str> {
    roster
        .list()
        .into_iter()
        .map(|e| &*e.announcement.id)
        .collect()
}

#[test]
fn announce_old_sequence() {
    let mut roster = Roster::new(HEARTBEAT);
    assert_eq!(
        announce(&mut roster, at(0), announcement("i-1", 2)),
        AnnounceOutcome::New
    );
    assert_eq!(
        announce(&mut roster, at(1), announcement("i-1", 1)),
        AnnounceOutcome::Stale(StaleReason::Older)
    );
    assert_eq!(
        announce(&mut roster, at(2), announcement("i-1", 3)),
        AnnounceOutcome::Known
    );
}

#[test]
fn announce_restarted() {
    // An engine crashes and restarts with the same id. It holds no layers, and its sequence
    // numbers start at 1. A request planned with its old layers would be refused.
    let mut roster = Roster::new(HEARTBEAT);
    let mut old = announcement("i-1", 40);
    old.born = 1000;
    old.layers = Some(LayerRange::new(0, 7));
    announce(&mut roster, at(0), old.clone());
    let mut new = announcement("i-1", 1);
    new.born = 2000;
    assert_eq!(announce(&mut roster, at(10), new), AnnounceOutcome::New);
    assert_eq!(roster.get("i-1").unwrap().announcement.layers, None);
    old.sequence = 41;
    assert_eq!(
        announce(&mut roster, at(20), old),
        AnnounceOutcome::Stale(StaleReason::Older)
    );
}

#[test]
fn announce_delayed_predecessor() {
    // A partition delays an engine's heartbeat until the engine has crashed and another one has
    // registered at its address. If it were applied, every request to the address would name the
    // wrong engine.
    let mut roster = Roster::new(HEARTBEAT);
    announce(&mut roster, at(0), announcement("i-old", 9));
    assert_eq!(
        announce(&mut roster, at(1000), announcement("i-new", 1)),
        AnnounceOutcome::New
    );
    assert_eq!(
        announce(&mut roster, at(1500), announcement("i-old", 10)),
        AnnounceOutcome::Stale(StaleReason::Retired)
    );
    assert_eq!(ids(&roster), ["i-new"]);
}

#[test]
fn announce_delayed_unknown() {
    // The same, with a new leader that does not know the old engine.
    let mut roster = Roster::new(HEARTBEAT);
    announce(&mut roster, at(1000), announcement("i-new", 1));
    assert_eq!(
        announce(&mut roster, at(1500), announcement("i-old", 10)),
        AnnounceOutcome::Stale(StaleReason::Superseded)
    );
    assert_eq!(ids(&roster), ["i-new"]);
}

#[test]
fn announce_delayed_lost() {
    // Guards against a heartbeat that an engine sent before others and before its crash, and that
    // arrives after its removal: it was offered for requests again and its layers weren't loaded
    // elsewhere.
    let mut roster = Roster::new(HEARTBEAT);
    announce(&mut roster, at(0), announcement("i-1", 9));
    assert_eq!(roster.tick(at(5_000), &HashMap::default()).len(), 1);
    let stale = AnnounceOutcome::Stale(StaleReason::Older);
    let late = announcement("i-1", 8);
    let digest = HeartbeatDigest::from(&late);
    for now in [5_100, 15_000] {
        roster.tick(at(now), &HashMap::default());
        let outcome = roster.refresh(at(now), &digest);
        assert_eq!(outcome, RefreshOutcome::Stale(StaleReason::Older));
        assert_eq!(announce(&mut roster, at(now), late.clone()), stale);
    }
    assert_eq!(ids(&roster), [""; 0]);
    // It was only cut off and returns.
    let next = announcement("i-1", 10);
    assert_eq!(
        announce(&mut roster, at(15_100), next),
        AnnounceOutcome::New
    );
    assert_eq!(ids(&roster), ["i-1"]);
}

#[rstest]
#[case::older(1)]
#[case::newest(3)]
fn announce_delayed_lost_other_holder(#[case] sequence: u64) {
    // Guards against a delayed heartbeat of a removed engine whose address another one has taken:
    // the live one was retired for the rest of the term.
    let mut roster = Roster::new(HEARTBEAT);
    announce(&mut roster, at(0), announcement("i-old", 2));
    roster.tick(at(5_000), &HashMap::default());
    announce(&mut roster, at(5_100), announcement("i-new", 1));
    announce(&mut roster, at(5_200), announcement("i-old", sequence));
    assert_eq!(ids(&roster), ["i-new"]);
}

#[rstest]
#[case::released(&[(0, 9), (0, 4)], (0, 9))]
#[case::added(&[(0, 4), (0, 9)], (0, 4))]
#[case::moved(&[(0, 4), (4, 9)], (0, 4))]
#[case::moving(&[(0, 6), (3, 9)], (3, 6))]
#[case::moved_twice(&[(0, 3), (3, 6), (6, 9)], (0, 3))]
fn set_layers_until_confirmed(
    #[case] held: &[(u32, u32)],
    #[case] late: (u32, u32),
    #[values(false, true)] by_digest: bool,
) {
    // Guards against a late heartbeat that takes back the layers that an engine reported, and
    // against a roster that distrusts heartbeats after one that confirmed them.
    let range = |(first, end)| LayerRange::new(first, end);
    let heartbeat = |sequence, layers| Announcement {
        layers: Some(range(layers)),
        ..announcement("i-1", sequence)
    };
    let mut roster = Roster::new(HEARTBEAT);
    announce(&mut roster, at(0), heartbeat(1, held[0]));
    for reported in &held[1..] {
        roster.set_layers(at(1_000), "i-1", 0, range(*reported));
    }
    let reported = *held.last().unwrap();
    let mut receive = |sequence, listed, in_full| {
        let (now, heartbeat) = (at(3_500 + sequence), heartbeat(sequence, listed));
        match in_full {
            true => _ = announce(&mut roster, now, heartbeat),
            false => _ = roster.refresh(now, &HeartbeatDigest::from(&heartbeat)),
        }
        roster.get("i-1").unwrap().announcement.layers
    };
    assert_eq!(receive(2, late, true), Some(range(reported)));
    assert_eq!(receive(3, reported, !by_digest), Some(range(reported)));
    assert_eq!(receive(4, late, true), Some(range(late)));
}

#[test]
fn tick_silent() {
    let mut roster = Roster::new(HEARTBEAT);
    announce(&mut roster, at(0), announcement("i-1", 1));
    assert!(roster.tick(at(2600), &no_suspects()).is_empty());
    assert!(!roster.get("i-1").unwrap().late);
    roster.tick(at(2700), &no_suspects());
    assert!(roster.get("i-1").unwrap().late);
    announce(&mut roster, at(2800), announcement("i-1", 2));
    assert!(!roster.get("i-1").unwrap().late);
    assert_eq!(roster.tick(at(7700), &no_suspects()).len(), 1);
    assert!(ids(&roster).is_empty());
}

#[test]
fn apply_highest_version() {
    let (register, mut machine) = Register::new();
    machine.apply(1, &register::replace(4, Bytes::from_static(b"four")));
    machine.apply(2, &register::replace(3, Bytes::from_static(b"three")));
    assert_eq!(register.version(), 4);
    // Two operators send version 5 concurrently: the first to be committed is kept.
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
fn enter_term_after_departure() {
    // An engine's departure is acknowledged, then the leader crashes. A delayed heartbeat of the
    // engine reaches the next leader, which must not offer the engine again.
    let (register, mut machine) = Register::new();
    machine.apply(1, &register::depart("i-1", 0));
    let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
    leader.enter_term(at(0), 2, &register);
    assert_eq!(
        leader.announce(at(10), announcement("i-1", 12)),
        AnnounceOutcome::Stale(StaleReason::Retired)
    );
}

pub(super) fn request(instance: u64, loads: Vec<Load>) -> SyncRequest {
    SyncRequest {
        instance,
        loads,
        ..SyncRequest::default()
    }
}

/// Records a request of which no newer one is known.
fn record(reports: &mut Reports, now: Time, request: SyncRequest) {
    let current = reports.check(request).expect("no newer request");
    reports.record(now, current);
}

#[test]
fn sync_sums_loads() {
    let (register, _) = Register::new();
    let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
    leader.enter_term(at(0), 1, &register);
    let load = |memory| Load {
        engine: 7,
        memory,
        requests: 1,
        first_hops: 0,
    };
    let mut sync = |now, request| handle_sync(&mut leader, at(now), request, &register).unwrap();
    sync(1, request(1, vec![load(10)]));
    sync(2, request(2, vec![load(20)]));
    let state = sync(3, request(3, vec![load(40)]));
    let loads = state.work.unwrap().loads;
    assert_eq!(loads.len(), 1);
    assert_eq!((loads[0].memory, loads[0].requests), (30, 2));
    assert_eq!(state.entries, 3);
}

#[test]
fn sync_roster_once() {
    let (register, _) = Register::new();
    let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
    leader.enter_term(at(0), 1, &register);
    leader.announce(at(1), announcement("i-1", 1));
    let mut ask = request(1, Vec::new());
    let first = handle_sync(&mut leader, at(2), ask.clone(), &register).unwrap();
    let roster = first.roster.unwrap();
    assert!(!roster.complete);
    (ask.source, ask.revision) = (roster.source, roster.revision);
    let again = handle_sync(&mut leader, at(3), ask.clone(), &register).unwrap();
    assert!(again.roster.is_none());
    // It is sent again once every upstream has had the time to send a heartbeat.
    let later = handle_sync(&mut leader, at(4000), ask, &register).unwrap();
    assert!(later.roster.unwrap().complete);
}

#[test]
fn retire_unknown() {
    let mut roster = Roster::new(HEARTBEAT);
    let id: Arc<str> = "i-1".into();
    roster.retire(&id, 5);
    let mut again = announcement("i-1", 1);
    again.born = 6;
    assert_eq!(announce(&mut roster, at(0), again), AnnounceOutcome::New);
}

#[test]
fn sync_hides_released_layers() {
    // An engine is ordered to hold other layers. It accepts no new requests for those that it
    // releases, so requests sent to them meanwhile would be refused.
    let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
    let (register, _) = Register::new();
    leader.enter_term(at(0), 1, &register);
    let decoded = crate::platform::configuration::decode(super::platform::CONFIGURATION.as_bytes());
    let configuration = decoded.unwrap();
    for i in 0..13 {
        let mut announcement = announcement(&format!("i-{i}"), 1);
        announcement.address.set_port(8000 + i);
        // All hold the same few layers, so some must load others.
        announcement.layers = Some(LayerRange::new(0, 7));
        leader.announce(at(1), announcement);
    }
    let orders = leader.orders(at(4000), &configuration);
    let moved = orders.iter().find(|o| o.range.first >= 7).unwrap();
    let ask = request(1, Vec::new());
    let state = handle_sync(&mut leader, at(4001), ask, &register).unwrap();
    let upstreams = state.roster.unwrap().upstreams;
    let shown = upstreams.iter().find(|u| *u.id == *moved.engine).unwrap();
    assert_eq!(shown.range(), None);
}

#[test]
fn tick_suspected() {
    // An engine becomes unreachable. Heartbeats may be late for four seconds without a failure,
    // but if two instances suspect the engine, waiting that long would stall all requests to it
    // and leave its layers missing.
    let mut roster = Roster::new(HEARTBEAT);
    announce(&mut roster, at(0), announcement("i-1", 1));
    let address = roster.get("i-1").unwrap().announcement.address;
    let one = HashMap::from_iter([(address, 1)]);
    let two = HashMap::from_iter([(address, 2)]);
    roster.tick(at(1400), &one);
    assert!(!roster.get("i-1").unwrap().late);
    // An upstream that sends heartbeats is never removed because instances suspect it.
    assert!(roster.tick(at(1200), &two).is_empty());
    assert!(!roster.get("i-1").unwrap().late);
    roster.tick(at(1400), &two);
    assert!(roster.get("i-1").unwrap().late);
    assert_eq!(roster.tick(at(2400), &two).len(), 1);
}

/// Syncs a view until the leader has no more changes. Returns the size of the largest reply.
fn sync_fully(leader: &mut LeaderState, now: Time, view: &mut View, register: &Register) -> usize {
    let mut most = 0;
    loop {
        let (source, revision) = view.roster();
        let ask = SyncRequest {
            instance: 1,
            source,
            revision,
            complete: view.is_complete(),
            ..SyncRequest::default()
        };
        let state = handle_sync(leader, now, ask, register).unwrap();
        most = most.max(state.encoded_len());
        let current = view.check(state).expect("a response that fits the view");
        view.apply(now, current, HEARTBEAT);
        if view.more_after().is_none() {
            return most;
        }
    }
}

fn known_ids(view: &View) -> Vec<&str> {
    let mut ids: Vec<_> = view.services.values().flatten().map(|u| &*u.id).collect();
    ids.sort_unstable();
    ids
}

fn member(i: u16, sequence: u64) -> Announcement {
    let mut announcement = announcement(&format!("i-{i:04}"), sequence);
    let [high, low] = i.to_be_bytes();
    announcement.address.set_ip([10, 2, high, low].into());
    announcement
}

#[test]
fn sync_large_fleet() {
    // Guards against replies that contain the whole roster. With 300 instances and 3,000 engines,
    // each change sent 230 KB to each instance: the leader's link was saturated for seconds,
    // queued replies took 257 MB, and the process was killed for its memory.
    let (register, _) = Register::new();
    let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
    leader.enter_term(at(0), 1, &register);
    for i in 0..3000 {
        leader.announce(at(1), member(i, 1));
    }
    let mut view = View::new(Duration::from_secs(10));
    let most = sync_fully(&mut leader, at(10), &mut view, &register);
    assert_eq!(known_ids(&view).len(), 3000);
    assert!(most < 16_000, "{most} bytes in one answer");
    leader.announce(at(20), member(3000, 1));
    let change = sync_fully(&mut leader, at(30), &mut view, &register);
    assert_eq!(known_ids(&view).len(), 3001);
    assert!(change < 2_000, "{change} bytes for one change");
}

#[test]
fn sync_random_changes() {
    // Upstreams join, leave and change while one instance syncs often, another rarely, and the
    // leader changes. Both must end up with the leader's roster.
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (register, _) = Register::new();
        let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
        let mut views = [
            View::new(Duration::from_secs(10)),
            View::new(Duration::from_secs(10)),
        ];
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
                    sync_fully(&mut leader, at(now), &mut views[0], &register);
                }
                8 => {
                    sync_fully(&mut leader, at(now), &mut views[1], &register);
                }
                _ => {
                    let mut announcement = member(rng.random_range(0..400), step);
                    announcement.slots = rng.random_range(1..3);
                    leader.announce(at(now), announcement);
                }
            }
            leader.tick(at(now));
        }
        now += 4000;
        leader.announce(at(now), member(500, 1));
        leader.tick(at(now));
        for view in &mut views {
            sync_fully(&mut leader, at(now), view, &register);
            assert!(view.is_complete(), "seed {seed}");
        }
        assert_eq!(known_ids(&views[0]), known_ids(&views[1]), "seed {seed}");
        let all = known_ids(&views[0]).into_iter();
        assert!(
            all.into_iter().all(|id| leader.upstream(id).is_some()),
            "seed {seed}"
        );
        assert_eq!(
            leader.counts().upstreams.values().sum::<u32>() as usize,
            known_ids(&views[0]).len()
        );
    }
}

#[test]
fn sync_forgotten_removals() {
    // An instance is cut off while more upstreams are removed than the change log keeps. If it
    // were sent only the logged removals, it would still use the other upstreams.
    let (register, _) = Register::new();
    let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
    leader.enter_term(at(0), 1, &register);
    leader.announce(at(1), member(0, 1));
    let mut view = View::new(Duration::from_secs(10));
    sync_fully(&mut leader, at(4000), &mut view, &register);
    assert_eq!(known_ids(&view), ["i-0000"]);
    leader.tick(at(5000));
    for i in 1..=5000 {
        leader.announce(at(5000), member(i, 1));
    }
    leader.tick(at(11_000));
    leader.announce(at(11_000), member(6000, 1));
    sync_fully(&mut leader, at(11_000), &mut view, &register);
    assert_eq!(known_ids(&view), ["i-6000"]);
}

#[test]
fn reports_sent_rarely() {
    // With 300 instances and 3,000 busy engines, sending all loads in each reply would take 72 MB
    // a second, over three times the capacity of the leader's link.
    let mut reports = Reports::default();
    let loads = |i: u64| (0..10).map(move |k| (i * 10 + k) % 3000);
    let load = |engine| Load {
        engine,
        memory: 5,
        requests: 1,
        first_hops: 1,
    };
    let mut bytes = 0;
    for now in (0..20_000).step_by(250) {
        for i in 0..300 {
            let own = loads(i).map(load).collect();
            record(&mut reports, at(now), request(i, own));
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
fn reports_sum_room_requests() {
    // Free memory is shared among the requests that ask for it at all instances.
    let mut reports = Reports::default();
    for (instance, room_requests) in [(1, 4), (2, 3), (1, 2)] {
        let ask = SyncRequest {
            room_requests,
            ..request(instance, Vec::new())
        };
        record(&mut reports, at(0), ask);
    }
    assert_eq!(reports.others_load(at(1), 1).unwrap().room_requests, 5);
    record(&mut reports, at(2_500), request(3, Vec::new()));
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
        first_hops: 0,
    };
    record(&mut reports, at(0), request(1, vec![load(10, 1)]));
    record(&mut reports, at(0), request(2, vec![load(20, 2)]));
    record(&mut reports, at(1), request(1, vec![load(30, 3)]));
    assert_eq!(
        (reports.load_of(7).memory, reports.load_of(7).requests),
        (50, 5)
    );
    record(&mut reports, at(2), request(1, Vec::new()));
    assert_eq!(
        (reports.load_of(7).memory, reports.load_of(7).requests),
        (20, 2)
    );
    record(&mut reports, at(2), request(2, vec![load(5, 0)]));
    assert_eq!(
        (reports.load_of(7).memory, reports.load_of(7).requests),
        (0, 0)
    );
}
