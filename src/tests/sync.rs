//! Tests of sync requests that the leading controller handles after their successors.

use rstest::rstest;

use super::roster::{HEARTBEAT, announcement, request};
use super::{DIRECT, at, handle_sync};
use crate::controller::leader::LeaderState;
use crate::controller::reports::Reports;
use crate::fingerprint::Fingerprint;
use crate::register::Register;
use crate::roster::LayerRange;
use crate::sync::{
    CutRecord, HarmlessRecord, LimitRecord, Load, SyncReply, SyncRequest, address_key,
};

/// Handles two requests of one instance in the reverse order of their sending, and a request of
/// instance 2 afterwards. Returns the leader and the reply to instance 2.
fn sync_reversed(older: SyncRequest, newer: SyncRequest) -> (LeaderState, SyncReply) {
    let (older, newer) = (numbered(1, older), numbered(2, newer));
    let (register, _) = Register::new();
    let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
    leader.enter_term(at(0), 1, &register);
    let mut held = announcement("i-1", 1);
    held.layers = Some(LayerRange::new(0, 7));
    leader.announce(at(4_000), held);
    let mut sync = |now, request| handle_sync(&mut leader, at(now), request, &register);
    sync(4_990, request(2, Vec::new()));
    // The older one was sent at 4,400 and given up at 4,900.
    sync(5_000, newer);
    assert_eq!(sync(5_001, older), None);
    let reply = sync(5_100, request(2, Vec::new())).unwrap();
    (leader, reply)
}

/// Returns a request with this sequence number.
fn numbered(sequence: u64, request: SyncRequest) -> SyncRequest {
    SyncRequest {
        sequence,
        ..request
    }
}

fn key() -> u64 {
    address_key(announcement("i-1", 1).address)
}

#[test]
fn sync_given_up_load() {
    // Guards against the load in a request that its sender has given up: it replaced the present
    // load, so the others avoided a free engine.
    let load = Load {
        engine: key(),
        memory: 900,
        requests: 40,
        first_hops: 40,
    };
    let older = SyncRequest {
        room_requests: 60,
        ..request(1, vec![load])
    };
    let (mut leader, reply) = sync_reversed(older, request(1, Vec::new()));
    let work = reply.work.unwrap();
    let queried = leader.next_pace_queries();
    assert_eq!(
        (work.loads, work.room_requests, queried),
        (vec![], 0, vec![])
    );
}

#[test]
fn sync_given_up_suspects() {
    // Guards against suspects in a request that its sender has given up: a live engine was
    // avoided, or removed after two missed heartbeats.
    let older = SyncRequest {
        suspects: vec![key()],
        ..request(1, Vec::new())
    };
    let (mut leader, _) = sync_reversed(older.clone(), request(1, Vec::new()));
    let (register, _) = Register::new();
    let other = SyncRequest {
        instance: 3,
        ..older
    };
    handle_sync(&mut leader, at(5_200), other, &register);
    leader.tick(at(5_400));
    assert!(!leader.upstream("i-1").unwrap().late);
}

#[test]
fn sync_given_up_limit() {
    // Guards against a rate limit in a request that its sender has given up: the request's age
    // isn't counted, so the limit replaced its own successor at all instances.
    let limit = |limit, age| LimitRecord {
        address: key(),
        id: "i-1".to_owned(),
        born: 0,
        limit,
        age,
    };
    // Limited at 4,350, 50 ms before the older request was sent; raised at 4,700.
    let older = SyncRequest {
        limits: vec![limit(Some(2.0), 50_000)],
        ..request(1, Vec::new())
    };
    let newer = SyncRequest {
        limits: vec![limit(Some(40.0), 300_000)],
        ..request(1, Vec::new())
    };
    let (_, reply) = sync_reversed(older, newer);
    let limits: Vec<_> = reply.limits.iter().map(|l| (l.limit, l.age)).collect();
    assert_eq!(limits, [(Some(40.0), 400_000)]);
}

#[test]
fn sync_given_up_cut() {
    // Guards against cut runs in a request that its sender has given up: a request was suspect
    // again after its quarantine was lifted.
    let fingerprint = Fingerprint::of(None, "a.example", "/l/", []);
    let cut = CutRecord {
        engine: "i-7".to_owned(),
        fingerprint: fingerprint.bytes(),
        organisation: "one".to_owned(),
        silent: true,
        ..CutRecord::default()
    };
    let older = SyncRequest {
        cut: vec![cut],
        ..request(1, Vec::new())
    };
    let (register, _) = Register::new();
    let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
    leader.enter_term(at(0), 1, &register);
    let mut sync = |now, request| handle_sync(&mut leader, at(now), request, &register);
    sync(5_000, numbered(1, older.clone()));
    sync(5_050, numbered(2, request(1, Vec::new())));
    leader.forget_crashes(&fingerprint);
    leader.crash_causes(at(5_100), &register);
    assert_eq!(leader.counts().suspects, 0);
    let again = numbered(1, older);
    handle_sync(&mut leader, at(5_200), again, &register);
    leader.crash_causes(at(5_300), &register);
    assert_eq!(leader.counts().suspects, 0);
}

#[test]
fn sync_given_up_harmless() {
    // Guards against a harmless run in a request that is handled late: it seemed to have ended
    // after the crash that followed it, which then wasn't attributed to the request.
    let fingerprint = Fingerprint::of(None, "a.example", "/l/", []);
    // It ran without harm at 4,350 and was cut off at 4,600.
    let older = SyncRequest {
        harmless: vec![HarmlessRecord {
            fingerprint: fingerprint.bytes(),
            age: 50_000,
        }],
        ..request(1, Vec::new())
    };
    let cut = CutRecord {
        engine: "i-7".to_owned(),
        fingerprint: fingerprint.bytes(),
        organisation: "one".to_owned(),
        silent: true,
        age: 400_000,
        ..CutRecord::default()
    };
    let newer = SyncRequest {
        cut: vec![cut],
        ..request(1, Vec::new())
    };
    let (mut leader, _) = sync_reversed(older, newer);
    let (register, _) = Register::new();
    leader.crash_causes(at(5_200), &register);
    assert_eq!(leader.counts().suspects, 1);
}

#[rstest]
#[case::next(1, 3, true)]
#[case::repeated_sequence(1, 2, true)]
#[case::restarted(2, 1, true)]
#[case::older(1, 1, false)]
#[case::former_process(0, 9, false)]
fn sync_records_current(#[case] born: u64, #[case] sequence: u64, #[case] recorded: bool) {
    // Guards against an instance whose reports are ignored after it restarted.
    let (register, _) = Register::new();
    let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
    leader.enter_term(at(0), 1, &register);
    let report = |born, sequence, room_requests| SyncRequest {
        born,
        sequence,
        room_requests,
        ..request(1, Vec::new())
    };
    let mut sync = |now, request| handle_sync(&mut leader, at(now), request, &register);
    sync(10, report(1, 2, 5));
    assert_eq!(sync(20, report(born, sequence, 7)).is_some(), recorded);
    let work = sync(30, request(2, Vec::new())).unwrap().work.unwrap();
    assert_eq!(work.room_requests, if recorded { 7 } else { 5 });
}

#[test]
fn sync_accepts_after_silence() {
    // Guards against an instance whose clock was set back before its restart, and whose reports
    // are ignored for good.
    let (register, _) = Register::new();
    let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
    leader.enter_term(at(0), 1, &register);
    let report = |born| SyncRequest {
        born,
        room_requests: born as u32,
        ..request(1, Vec::new())
    };
    assert!(handle_sync(&mut leader, at(0), report(9), &register).is_some());
    // It is refused rather than answered: it would take what it reported as received.
    assert_eq!(
        handle_sync(&mut leader, at(250), report(4), &register),
        None
    );
    leader.tick(at(2_250));
    assert!(handle_sync(&mut leader, at(2_260), report(4), &register).is_some());
    let ask = request(2, Vec::new());
    let reply = handle_sync(&mut leader, at(2_270), ask, &register).unwrap();
    assert_eq!(reply.work.unwrap().room_requests, 4);
}

/// Guards against naming an instance that lost its own links, or the asking one, to carry
/// requests, and against naming the same few to all.
#[test]
fn sync_names_proxies() {
    let (register, _) = Register::new();
    let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
    let sync = |leader: &mut LeaderState, instance, carries| {
        let request = SyncRequest {
            instance,
            carries,
            ..request(1, Vec::new())
        };
        let reply = handle_sync(leader, at(5_000), request, &register);
        reply.unwrap().proxies
    };
    for instance in 1..=300 {
        sync(&mut leader, instance, instance > 250);
    }
    let mut named = crate::HashSet::default();
    for instance in 1..=250 {
        let proxies = sync(&mut leader, instance, false);
        assert_eq!(proxies.len(), 8);
        assert!(proxies.iter().all(|p| *p > 250));
        named.extend(proxies);
    }
    assert_eq!(named.len(), 50);
    assert!(!sync(&mut leader, 260, true).contains(&260));
}

/// Guards against naming nobody when all instances lost the links to one service only: they still
/// carry requests to the others.
#[test]
fn sync_names_proxies_none_whole() {
    let (register, _) = Register::new();
    let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
    for (instance, named) in [(1, vec![]), (2, vec![1]), (1, vec![2])] {
        let request = SyncRequest {
            instance,
            ..request(1, Vec::new())
        };
        let reply = handle_sync(&mut leader, at(5_000), request, &register);
        assert_eq!(reply.unwrap().proxies, named);
    }
}

/// Guards against visiting all instances for each reply: 984 instances that poll four times a
/// second took 3.9 million visits a second.
#[rstest]
#[case::instances_100(100)]
#[case::instances_1000(1_000)]
#[case::instances_2000(2_000)]
fn proxies_visits(#[case] instances: u64) {
    let mut reports = Reports::default();
    for instance in 1..=instances {
        let request = SyncRequest {
            instance,
            // One in ten has lost its links.
            carries: instance % 10 != 0,
            ..request(1, Vec::new())
        };
        let current = reports.check(request).unwrap();
        reports.record(at(5_000), current);
    }
    for instance in 1..=instances {
        assert_eq!(reports.proxies(instance).len(), 8);
    }
    let (_, read) = reports.records_read()[0];
    assert!(read <= 9 * instances, "{read}");
}
