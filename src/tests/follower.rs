//! Tests of followers that answer entry instances.

use std::time::Duration;

use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::platform::CONFIGURATION;
use super::roster::{HEARTBEAT, announcement, request};
use super::{DIRECT, at, handle_sync};
use crate::clock::Time;
use crate::controller::follower::{Follower, Identity};
use crate::controller::leader::LeaderState;
use crate::entry::view::View;
use crate::id::InstanceId;
use crate::register::{self, Register, RegisterMachine, VersionedConfiguration};
use crate::roster::Announcement;
use crate::sync::{CutRecord, LimitRecord, Load, SyncReply, SyncRequest, pack};
use crate::voter::StateMachine;

mod loads;

const LEADER: InstanceId = InstanceId(90_000);

/// Age of a confirmation from which a follower answers nobody.
const MAX_AGE: Duration = Duration::from_millis(800);

const LEASE: Duration = Duration::from_millis(3500);

/// Number of entry instances from which the leader refers them to its followers.
const MANY: u64 = DIRECT as u64 + 1;

fn upstream(number: u32, sequence: u64) -> Announcement {
    let mut announcement = announcement(&format!("i-{number:04}"), sequence);
    let host = std::net::Ipv4Addr::from(0x0a01_4000 + number);
    announcement.address = std::net::SocketAddrV4::new(host, 8666);
    announcement
}

fn follower(instance: u64) -> Follower {
    restarted(instance, 1)
}

/// A follower whose process started at `born`.
fn restarted(instance: u64, born: u64) -> Follower {
    Follower::new(Identity {
        instance,
        domain: format!("d{}", instance % 5),
        born,
        source: instance << 32,
    })
}

fn configuration() -> VersionedConfiguration {
    VersionedConfiguration {
        version: 7,
        body: pack(CONFIGURATION.as_bytes()),
    }
}

/// A leader with followers; each message arrives at once.
struct Fleet {
    now: u64,
    term: u64,
    register: Register,
    machine: RegisterMachine,
    leader: LeaderState,
    followers: Vec<Follower>,
    /// Requests that the leader handled, and bytes of its replies.
    handled: u64,
    bytes: usize,
    /// Loads in requests of followers, and in the replies to them.
    loads_sent: usize,
}

impl Fleet {
    /// A fleet whose leader has heard of `upstreams` and of `entries` instances.
    fn new(followers: u64, upstreams: u32, entries: u64) -> Self {
        let (register, machine) = Register::new();
        let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
        leader.enter_term(at(0), 1, &register);
        for number in 0..upstreams {
            leader.announce(at(3_000), upstream(number, 1));
        }
        let mut fleet = Self {
            now: 3_000,
            term: 1,
            register,
            machine,
            leader,
            followers: (0..followers).map(|i| follower(90_001 + i)).collect(),
            handled: 0,
            bytes: 0,
            loads_sent: 0,
        };
        for instance in 1..=entries {
            fleet.ask_leader(request(instance, Vec::new()));
        }
        fleet.follow();
        fleet
    }

    fn ask_leader(&mut self, request: SyncRequest) -> Option<SyncReply> {
        let current = self.leader.check_sync(request)?;
        let configuration = Some(configuration());
        let now = at(self.now);
        let reply = self
            .leader
            .sync(now, current, Duration::ZERO, configuration, &self.register);
        self.handled += 1;
        self.bytes += reply.encoded_len();
        Some(reply)
    }

    /// Lets all followers poll the leader until they have all that it has to send.
    fn follow(&mut self) {
        let mut followers = std::mem::take(&mut self.followers);
        for _ in 0..2 {
            for follower in &mut followers {
                self.poll(follower);
            }
        }
        self.followers = followers;
    }

    fn poll(&mut self, follower: &mut Follower) {
        loop {
            let (request, report) = follower.request(at(self.now), LEADER);
            self.loads_sent += request.loads.len();
            let reply = self.ask_leader(request).unwrap();
            self.loads_sent += reply.work.as_ref().map_or(0, |w| w.loads.len());
            let current = follower.check(reply).unwrap();
            follower.apply(at(self.now), &report, current);
            if !follower.has_more() {
                return;
            }
        }
    }

    fn ask(&mut self, follower: usize, request: SyncRequest) -> Option<SyncReply> {
        self.followers[follower].answer(at(self.now), request, MAX_AGE)
    }

    /// A follower becomes the leader of the next term.
    fn elect(&mut self, follower: usize) {
        self.term += 1;
        let now = at(self.now);
        self.leader = LeaderState::new(HEARTBEAT, DIRECT);
        self.leader.enter_term(now, self.term, &self.register);
        if let Some(inheritance) = self.followers[follower].hand_over(now) {
            self.leader.inherit(now, inheritance);
        }
    }
}

impl Fleet {
    /// Lets an instance poll a follower until that has no more for it.
    fn catch_up(&mut self, follower: usize, instance: u64, view: &mut View) {
        loop {
            let reply = self.ask(follower, next_request(instance, view)).unwrap();
            assert!(apply(view, at(self.now), reply));
            if view.more_after().is_none() {
                return;
            }
        }
    }
}

/// Returns an instance's request that continues its view.
fn next_request(instance: u64, view: &View) -> SyncRequest {
    let (source, revision) = view.roster();
    SyncRequest {
        instance,
        version: view.version(),
        source,
        revision,
        complete: view.is_complete(),
        ..SyncRequest::default()
    }
}

fn apply(view: &mut View, now: Time, reply: SyncReply) -> bool {
    let current = view.check(reply);
    current.is_some_and(|current| {
        view.apply(now, current, LEASE);
        true
    })
}

fn known_ids(view: &View) -> Vec<String> {
    let upstreams = view.services.values().flatten();
    let mut ids: Vec<String> = upstreams.map(|u| u.id.to_string()).collect();
    ids.sort_unstable();
    ids
}

/// Guards against a leader whose work grows with the number of instances: at 984 its processor was
/// used up, while its nine followers answered nobody.
#[rstest]
#[case::instances_300(300, 400)]
#[case::instances_1000(1_000, 1_500)]
#[case::instances_2000(2_000, 3_000)]
fn leader_load_constant(#[case] entries: u64, #[case] upstreams: u32) {
    let mut fleet = Fleet::new(9, upstreams, entries);
    // One instance of each follower is followed in full; the others ask for nothing new.
    let mut views: Vec<View> = Vec::new();
    views.resize_with(9, || View::new(Duration::from_secs(10)));
    for step in 0..20 {
        fleet.now += 100;
        fleet.leader.tick(at(fleet.now));
        if step == 10 {
            (fleet.handled, fleet.bytes) = (0, 0);
        }
        fleet.follow();
        for (which, view) in views.iter_mut().enumerate() {
            fleet.catch_up(which, 1 + which as u64, view);
            for other in (10 + which as u64..=entries).step_by(9) {
                let ask = next_request(other, view);
                assert!(fleet.ask(which, ask).unwrap().roster.is_none());
            }
        }
    }
    assert!(views.iter().all(View::is_complete));
    assert_eq!(known_ids(&views[0]).len(), upstreams as usize);
    // In the last second, two polls of nine followers each 100 ms.
    assert!(fleet.handled <= 180, "{} requests", fleet.handled);
    // Nothing changes but the time.
    assert!(fleet.bytes < 180 * 1_000, "{} bytes", fleet.bytes);
    assert_eq!(fleet.leader.counts().entries as u64, entries);
}

/// Guards against a follower that answers although it is cut off, paused, or knows only a part:
/// what it tells may be older than any bound.
#[test]
fn answer_only_confirmed() {
    let mut fleet = Fleet::new(1, 3, MANY);
    let ask = || request(1, Vec::new());
    assert!(fleet.ask(0, ask()).is_some());
    fleet.now += 799;
    let reply = fleet.ask(0, ask()).unwrap();
    assert_eq!(reply.age, 799_000);
    fleet.now += 1;
    assert_eq!(fleet.ask(0, ask()), None);
    fleet.followers.push(follower(90_009));
    assert_eq!(fleet.ask(1, ask()), None);
}

/// Guards against a detour over followers in a small fleet, where the leader has room for all.
#[test]
fn answer_only_delegated() {
    let mut fleet = Fleet::new(2, 3, MANY - 1);
    assert_eq!(fleet.ask(0, request(1, Vec::new())), None);
    let reply = fleet.ask_leader(request(1, Vec::new())).unwrap();
    assert_eq!(reply.controllers, []);
}

/// Guards against a deposed leader whose late reply sets a follower back.
#[test]
fn check_deposed_leader() {
    let mut fleet = Fleet::new(1, 3, MANY);
    let (ask, _) = fleet.followers[0].request(at(fleet.now), LEADER);
    let old = fleet.ask_leader(ask).unwrap();
    fleet.elect(0);
    fleet.follow();
    assert!(fleet.followers[0].check(old).is_none());
}

/// Guards against loads that are lost or counted twice on the way over two controllers.
#[test]
fn loads_of_others() {
    let mut fleet = Fleet::new(2, 3, MANY);
    let load = |engine, requests| Load {
        engine,
        memory: 10 * requests,
        requests,
        first_hops: 0,
    };
    let reported = [
        (0, 1, vec![load(7, 1), load(8, 2)]),
        (0, 2, vec![load(7, 4)]),
        (1, 3, vec![load(7, 16), load(9, 32)]),
    ];
    for _ in 0..2 {
        for (follower, instance, loads) in reported.clone() {
            fleet.ask(follower, request(instance, loads)).unwrap();
        }
        fleet.now += 300;
        fleet.follow();
    }
    let told = |fleet: &mut Fleet, (follower, instance, loads): (usize, u64, Vec<Load>)| {
        let reply = fleet.ask(follower, request(instance, loads)).unwrap();
        let mut loads = reply.work.unwrap().loads;
        loads.sort_unstable_by_key(|l| l.engine);
        let loads = loads.iter().map(|l| (l.engine, l.requests, l.memory));
        loads.collect::<Vec<_>>()
    };
    let [first, second, third] = reported;
    assert_eq!(told(&mut fleet, first), [(7, 20, 200), (9, 32, 320)]);
    let others = [(7, 17, 170), (8, 2, 20), (9, 32, 320)];
    assert_eq!(told(&mut fleet, second), others);
    assert_eq!(told(&mut fleet, third), [(7, 5, 50), (8, 2, 20)]);
}

/// Guards against loads that are held back on the way to another follower: 0.3 s more, and requests
/// crowd engines that seem free.
#[test]
fn loads_told_at_each_poll() {
    let mut fleet = Fleet::new(2, 3, MANY);
    for requests in 1..=20 {
        fleet.now += 50;
        let load = Load {
            engine: 7,
            memory: requests,
            requests,
            first_hops: requests,
        };
        fleet.ask(0, request(1, vec![load])).unwrap();
        fleet.follow();
        let told = fleet.ask(1, request(2, Vec::new())).unwrap();
        assert_eq!(told.work.unwrap().loads, [load]);
    }
}

/// Guards against a reply of the leader that is late, and replaces the newer limit that an instance
/// reported to its follower meanwhile.
#[test]
fn late_reply_keeps_newer_limit() {
    let mut fleet = Fleet::new(1, 3, MANY);
    let limited = |limit, age| SyncRequest {
        limits: vec![LimitRecord {
            address: 7,
            id: "i-1".to_owned(),
            born: 1,
            limit: Some(limit),
            age,
        }],
        ..request(1, Vec::new())
    };
    fleet.ask_leader(limited(2.0, 0)).unwrap();
    let (ask, report) = fleet.followers[0].request(at(fleet.now), LEADER);
    let late = fleet.ask_leader(ask).unwrap();
    fleet.now += 300;
    let known = |fleet: &mut Fleet, request| {
        let reply = fleet.ask(0, request).unwrap();
        reply.limits.iter().map(|l| l.limit).collect::<Vec<_>>()
    };
    assert_eq!(known(&mut fleet, limited(40.0, 100_000)), [Some(40.0)]);
    fleet.now += 100;
    let current = fleet.followers[0].check(late).unwrap();
    fleet.followers[0].apply(at(fleet.now), &report, current);
    let ask = request(2, Vec::new());
    assert_eq!(known(&mut fleet, ask), [Some(40.0)]);
}

/// Guards against an election after which each instance fetches the whole roster again: 984 of them
/// fetched 221 MB from one process.
#[rstest]
#[case::upstreams_400(400)]
#[case::upstreams_3000(3_000)]
fn election_sends_differences(#[case] upstreams: u32) {
    let mut fleet = Fleet::new(3, upstreams, MANY);
    let mut view = View::new(Duration::from_secs(10));
    fleet.catch_up(0, 1, &mut view);
    assert!(view.is_complete());
    // One upstream leaves and another joins while the leader changes.
    fleet.now += 500;
    fleet.machine.apply(1, &register::depart("i-0001", 0));
    fleet.elect(2);
    fleet.leader.announce(at(fleet.now), upstream(9_000, 1));
    fleet.followers.pop();
    fleet.follow();
    let reply = fleet.ask(0, next_request(1, &view)).unwrap();
    let roster = reply.roster.clone().unwrap();
    assert_eq!((roster.upstreams.len(), roster.removed.len()), (1, 1));
    assert!(apply(&mut view, at(fleet.now), reply));
    assert!(view.is_complete());
    let ids = known_ids(&view);
    assert_eq!(ids.len(), upstreams as usize);
    assert!(ids.contains(&"i-9000".to_owned()) && !ids.contains(&"i-0001".to_owned()));
}

/// Guards against a new leader that knows nothing for two and a half heartbeat periods, and against
/// one that begins with an outdated roster.
#[rstest]
#[case::followed_closely(1_500, true)]
#[case::outdated(5_000, false)]
fn inherit_complete(#[case] silence: u64, #[case] complete: bool) {
    let mut fleet = Fleet::new(2, 50, MANY);
    fleet.now += silence;
    fleet.elect(1);
    let reply = fleet.ask_leader(request(1, Vec::new())).unwrap();
    let roster = reply.roster.unwrap();
    assert_eq!(roster.complete, complete);
    assert_eq!(roster.upstreams.len(), if complete { 50 } else { 0 });
}

/// Guards against an upstream that stays in an inherited roster though it has ended.
#[test]
fn inherit_then_silent() {
    let mut fleet = Fleet::new(2, 2, MANY);
    fleet.elect(1);
    let start = fleet.now;
    fleet.leader.announce(at(start + 4_000), upstream(0, 2));
    assert_eq!(fleet.leader.tick(at(start + 4_799)).len(), 0);
    assert_eq!(fleet.leader.tick(at(start + 4_800)), ["i-0001".into()]);
}

/// Guards against a cut run that is lost with the follower that took it: the leader would not learn
/// what crashed the engine.
#[test]
fn cut_run_until_received() {
    let mut fleet = Fleet::new(2, 3, MANY);
    let cut = CutRecord {
        engine: "i-0001".to_owned(),
        fingerprint: vec![1; 16],
        silent: true,
        ..CutRecord::default()
    };
    let ask = SyncRequest {
        cut: vec![cut],
        last_cut: 4,
        ..request(1, Vec::new())
    };
    assert_eq!(fleet.ask(0, ask.clone()).unwrap().cut_received, Some(0));
    // That follower ends, and the instance polls another one.
    assert_eq!(fleet.ask(1, ask.clone()).unwrap().cut_received, Some(0));
    fleet.follow();
    assert_eq!(fleet.leader.counts().suspects, 1);
    assert_eq!(fleet.ask(1, ask).unwrap().cut_received, None);
}

/// Guards against instances that end up with another roster than the leader: polls are lost,
/// doubled and answered late, instances change their follower in the middle of a page, followers
/// fall behind, and leaders follow one another.
#[test]
fn follow_random_failures() {
    for seed in 0..30 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::new(3, 300, MANY);
        let mut views: Vec<View> = Vec::new();
        views.resize_with(4, || View::new(Duration::from_secs(10)));
        let mut late: Vec<(usize, SyncReply)> = Vec::new();
        for step in 0..400 {
            fleet.now += 20;
            match rng.random_range(0..40) {
                0 => {
                    let successor = rng.random_range(0..3);
                    fleet.elect(successor);
                    // Instances return to the new leader, which counts them.
                    for instance in 1_000..1_000 + MANY {
                        fleet.ask_leader(request(instance, Vec::new()));
                    }
                }
                1..12 => {
                    let which = rng.random_range(0..3);
                    let mut polling = std::mem::replace(&mut fleet.followers[which], follower(1));
                    let (ask, report) = polling.request(at(fleet.now), LEADER);
                    let reply = fleet.ask_leader(ask).unwrap();
                    // A reply may be lost.
                    if rng.random_bool(0.8)
                        && let Some(current) = polling.check(reply)
                    {
                        polling.apply(at(fleet.now), &report, current);
                    }
                    fleet.followers[which] = polling;
                }
                12..26 => {
                    let (view, which) = (rng.random_range(0..4), rng.random_range(0..3));
                    let ask = next_request(1 + view as u64, &views[view]);
                    if let Some(reply) = fleet.ask(which, ask) {
                        match rng.random_range(0..10) {
                            0 => {}
                            1 => late.push((view, reply)),
                            2 => {
                                apply(&mut views[view], at(fleet.now), reply.clone());
                                apply(&mut views[view], at(fleet.now), reply);
                            }
                            _ => {
                                apply(&mut views[view], at(fleet.now), reply);
                            }
                        }
                    }
                }
                26 if !late.is_empty() => {
                    let (view, reply) = late.swap_remove(rng.random_range(0..late.len()));
                    apply(&mut views[view], at(fleet.now), reply);
                }
                27 => {
                    let id = format!("i-{:04}", rng.random_range(0..300));
                    fleet.machine.apply(step, &register::depart(&id, 0));
                    let (now, term) = (at(fleet.now), fleet.term);
                    fleet.leader.enter_term(now, term, &fleet.register);
                }
                _ => {
                    let mut changed = upstream(rng.random_range(0..400), step + 2);
                    changed.slots = rng.random_range(1..4);
                    fleet.leader.announce(at(fleet.now), changed);
                }
            }
        }
        fleet.now += 3_000;
        for number in 0..400 {
            fleet
                .leader
                .announce(at(fleet.now), upstream(number, 10_000));
        }
        for instance in 1_000..1_000 + MANY {
            fleet.ask_leader(request(instance, Vec::new()));
        }
        fleet.leader.tick(at(fleet.now));
        fleet.follow();
        let mut direct = View::new(Duration::from_secs(10));
        while !direct.is_complete() {
            let reply = fleet.ask_leader(next_request(99, &direct)).unwrap();
            assert!(apply(&mut direct, at(fleet.now), reply), "seed {seed}");
        }
        for (i, view) in views.iter_mut().enumerate() {
            fleet.catch_up(i % 3, 1 + i as u64, view);
            assert!(view.is_complete(), "seed {seed}");
            assert_eq!(known_ids(view), known_ids(&direct), "seed {seed}");
        }
    }
}

/// Guards against a request of one instance that its follower handles after a newer one.
#[test]
fn answer_outdated_request() {
    let mut fleet = Fleet::new(1, 3, MANY);
    let numbered = |sequence| SyncRequest {
        sequence,
        ..request(1, Vec::new())
    };
    assert!(fleet.ask(0, numbered(2)).is_some());
    assert_eq!(fleet.ask(0, numbered(1)), None);
    let (register, _) = Register::new();
    assert!(handle_sync(&mut fleet.leader, at(3_100), numbered(1), &register).is_some());
}

/// Guards against a controller that sends operators and upstreams away, or to a leader that has
/// ended, since it isn't a member of the replicated log and is told of no leader.
#[test]
fn live_leader_heard() {
    let mut fleet = Fleet::new(1, 3, MANY);
    let leader = |fleet: &Fleet| fleet.followers[0].live_leader(at(fleet.now));
    assert_eq!(leader(&fleet), Some(LEADER));
    fleet.now += 299;
    assert_eq!(leader(&fleet), Some(LEADER));
    fleet.now += 1;
    assert_eq!(leader(&fleet), None);
}
