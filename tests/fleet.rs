//! A fleet of instances over real sockets on the loopback interface.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use laburnumquay::{
    AnnounceOutcome, Announcement, Clock, Fleet, FleetKey, FleetSettings, Incarnation, InstanceId,
    Load, MemberState, Serves, Service, SystemClock, Time, UpstreamId, UpstreamState,
};

/// Maximum wait for a condition that normally takes a few probe periods. It only
/// ends a hanging test; no test checks a latency with it.
const TIMEOUT: Duration = Duration::from_secs(30);

fn spawn(id: u64, seeds: &[&Fleet], clock: Arc<dyn Clock>) -> (Fleet, JoinHandle<()>) {
    let any = "127.0.0.1:0".parse().unwrap();
    let settings = FleetSettings {
        id: InstanceId(id),
        incarnation: Incarnation(1),
        domain: "peristeri".into(),
        bind: any,
        gossip: any,
        peer: any,
        control: any,
        voter: false,
        seeds: seeds.iter().map(|f| f.address()).collect(),
        key: FleetKey::new(b"secret"),
        probe_period: Duration::from_millis(100),
        rng_seed: id,
    };
    Fleet::spawn(settings, clock).unwrap()
}

fn announcement(sequence: u64, state: UpstreamState) -> Announcement {
    Announcement {
        id: UpstreamId::from("orders-1"),
        incarnation: Incarnation(1),
        sequence,
        address: "127.0.0.1:9001".parse().unwrap(),
        domain: "peristeri".into(),
        pool: "attiki".into(),
        state,
        serves: Serves::Service(Service {
            name: "orders".into(),
            slots: 8,
        }),
        load: Load::default(),
    }
}

fn wait_until(mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "not met in {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn usable(fleet: &Fleet) -> usize {
    fleet.upstreams().upstreams.len()
}

#[test]
fn fleet_three_instances() {
    let (a, a_thread) = spawn(1, &[], Arc::new(SystemClock));
    let (b, b_thread) = spawn(2, &[&a], Arc::new(SystemClock));
    let (c, c_thread) = spawn(3, &[&a], Arc::new(SystemClock));
    let all = [&a, &b, &c];
    wait_until(|| all.iter().all(|f| f.members().present().count() == 3));

    let up = announcement(1, UpstreamState::Up);
    assert_eq!(a.announce(up.clone()), Ok(AnnounceOutcome::Accepted));
    assert_eq!(a.announce(up), Ok(AnnounceOutcome::Duplicate));
    wait_until(|| all.iter().all(|f| usable(f) == 1));

    let leaving = announcement(2, UpstreamState::Leaving);
    assert_eq!(b.announce(leaving), Ok(AnnounceOutcome::Accepted));
    wait_until(|| all.iter().all(|f| usable(f) == 0));

    let late = announcement(3, UpstreamState::Up);
    assert_eq!(c.announce(late), Ok(AnnounceOutcome::Superseded));

    c.drain();
    wait_until(|| a.members().get(InstanceId(3)).unwrap().draining);
    c.stop();
    c_thread.join().unwrap();
    let left = || a.members().get(InstanceId(3)).unwrap().state == MemberState::Left;
    wait_until(left);
    assert_eq!(a.dump().traffic.bad, 0);
    [a, b].iter().for_each(Fleet::stop);
    a_thread.join().unwrap();
    b_thread.join().unwrap();
}

/// A clock that is set manually. While `gate` is locked, the fleet's thread blocks
/// when it reads the time, as if it weren't scheduled.
#[derive(Default)]
struct ManualClock {
    micros: AtomicU64,
    gate: Mutex<()>,
}

impl Clock for ManualClock {
    fn now(&self) -> Time {
        if std::thread::current().name() == Some("gossip") {
            drop(self.gate.lock());
        }
        Time(self.micros.load(Ordering::Acquire))
    }
}

/// A request is routed to an upstream that left an hour ago: the process resumes
/// from a suspension, and the routing thread runs before the fleet's thread.
#[test]
fn upstreams_after_suspension() {
    let clock = Arc::new(ManualClock::default());
    let (fleet, thread) = spawn(1, &[], Arc::clone(&clock) as _);
    let outcome = fleet.announce(announcement(1, UpstreamState::Up));
    assert_eq!(outcome, Ok(AnnounceOutcome::Accepted));
    assert_eq!(usable(&fleet), 1);
    let gate = clock.gate.lock().unwrap();
    clock.micros.store(3_600_000_000, Ordering::Release);
    assert_eq!(usable(&fleet), 0);
    drop(gate);
    fleet.stop();
    thread.join().unwrap();
}
