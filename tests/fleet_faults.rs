//! Single faults in a simulated fleet.

mod simulation;

use std::time::Duration;

use laburnumquay::{FleetKey, MemberState, Time, UpstreamState};
use proptest::prelude::*;
use simulation::{Simulation, SimulationSettings};

const SECOND: Duration = Duration::from_secs(1);

fn fleet(hosts: usize, upstreams: usize) -> Simulation {
    let mut sim = Simulation::new(SimulationSettings {
        seed: 11,
        hosts,
        domains: 3,
        upstreams,
        loss: 0.0,
        duplicate: 0.0,
        late: 0.0,
        load_churn: 0.2,
    });
    sim.run(30 * SECOND, |_| ());
    sim
}

fn uses_any(sim: &mut Simulation, host: usize) -> usize {
    let count = sim.upstreams.len();
    (0..count).filter(|u| sim.uses(host, *u)).count()
}

/// Asserts that no observer considers one of `live` dead.
fn assert_none_dead(sim: &Simulation, observers: &[usize], live: &[usize]) {
    for (o, s) in observers
        .iter()
        .flat_map(|o| live.iter().map(move |s| (*o, *s)))
    {
        let state = sim.state(o, s);
        assert_ne!(
            state,
            Some(MemberState::Dead),
            "{o} of {s} at {:?}",
            sim.now
        );
    }
}

/// A host is suspended for a minute, for example by a debugger or an overloaded
/// hypervisor. When it resumes, all its timers have expired at once. It must not
/// declare every other instance dead, or every route would change.
#[test]
fn fleet_frozen_minute() {
    let mut sim = fleet(9, 4);
    for host in 0..9 {
        sim.freeze(host);
        sim.run(60 * SECOND, |_| ());
        sim.thaw(host);
        let all: Vec<_> = (0..9).collect();
        let others: Vec<_> = (0..9).filter(|h| *h != host).collect();
        sim.run(20 * SECOND, |sim| assert_none_dead(sim, &all, &others));
        assert_none_dead(&sim, &all, &all);
    }
}

/// A host suspects some of four briefly suspended others, and is then suspended
/// itself. They refute meanwhile. When it resumes, their suspicion timeouts have
/// expired, although the refutations are queued in its socket.
#[test]
fn fleet_frozen_suspicious() {
    let mut sim = fleet(9, 4);
    (1..5).for_each(|h| sim.freeze(h));
    let suspects = |sim: &Simulation| {
        let suspect = |s: &usize| sim.state(0, *s) == Some(MemberState::Suspect);
        (1..5).filter(suspect).count()
    };
    while suspects(&sim) == 0 {
        sim.run(SECOND / 2, |_| ());
    }
    sim.freeze(0);
    (1..5).for_each(|h| sim.thaw(h));
    sim.run(60 * SECOND, |_| ());
    sim.thaw(0);
    let others: Vec<_> = (1..9).collect();
    assert_none_dead(&sim, &[0], &others);
    sim.run(20 * SECOND, |sim| assert_none_dead(sim, &[0], &others));
}

/// While a host is suspended, an upstream starts and ends, and the datagrams about
/// its start stay queued in the host's socket. When the host resumes, it must not
/// route requests to that upstream.
#[test]
fn fleet_frozen_datagrams() {
    let mut sim = fleet(9, 4);
    sim.silence_upstream(0);
    sim.run(20 * SECOND, |_| ());
    sim.freeze(5);
    sim.restart_upstream(0);
    sim.run(5 * SECOND, |_| ());
    sim.end_upstream(0, UpstreamState::Gone);
    sim.run(60 * SECOND, |_| ());
    sim.thaw(5);
    assert!(!sim.uses(5, 0));
    sim.run(20 * SECOND, |sim| assert!(!sim.uses(5, 0)));
}

/// While a host is suspended, announcements are buffered in its connections. When
/// it resumes and reads them, it must not take them for current: the upstreams were
/// gone a minute ago.
#[test]
fn fleet_frozen_announcements() {
    let mut sim = fleet(9, 40);
    sim.freeze(5);
    sim.run(10 * SECOND, |_| ());
    (0..40).for_each(|u| sim.end_upstream(u, UpstreamState::Gone));
    sim.run(60 * SECOND, |_| ());
    sim.thaw(5);
    assert_eq!(uses_any(&mut sim, 5), 0);
    sim.run(20 * SECOND, |sim| assert_eq!(uses_any(sim, 5), 0));
}

/// One host of thirty is silently partitioned. It detects one unreachable instance
/// per period, and could route requests to upstreams that have left for a minute
/// or more.
#[test]
fn fleet_cut_off() {
    let mut sim = fleet(30, 60);
    sim.partition(|i| usize::from(i == 7));
    sim.upstreams.iter_mut().for_each(|u| u.side = 0);
    (0..60).for_each(|u| sim.end_upstream(u, UpstreamState::Leaving));
    sim.run(30 * SECOND, |_| ());
    assert_eq!(uses_any(&mut sim, 7), 0);
    sim.run(30 * SECOND, |sim| assert_eq!(uses_any(sim, 7), 0));
}

/// Two halves of a fleet are partitioned, and each declares the other dead. When
/// the partition heals, each half receives records that its own hosts are dead. No
/// host may accept that about a reachable one, or every upstream would be dropped
/// for a while.
#[test]
fn fleet_halves_meet() {
    let mut sim = fleet(30, 12);
    sim.partition(|i| i % 2);
    sim.run(120 * SECOND, |_| ());
    sim.partition(|_| 0);
    let halves = [0, 1].map(|half| (0..30).filter(|h| h % 2 == half).collect::<Vec<_>>());
    sim.run(60 * SECOND, |sim| {
        halves
            .iter()
            .for_each(|half| assert_none_dead(sim, half, half));
    });
    let all: Vec<_> = (0..30).collect();
    assert_none_dead(&sim, &all, &all);
    (0..30).for_each(|h| assert_eq!(uses_any(&mut sim, h), 12, "host {h}"));
}

/// Regions are partitioned for an hour, and all seeds have crashed for good. Only
/// the low-rate probes of dead instances can rejoin the regions.
#[test]
fn fleet_hour_apart() {
    let mut sim = fleet(9, 6);
    (0..3).for_each(|h| sim.crash(h));
    sim.partition(|i| usize::from(i >= 6));
    sim.run(3_600 * SECOND, |_| ());
    sim.partition(|_| 0);
    sim.run(60 * SECOND, |_| ());
    let survivors: Vec<_> = (3..9).collect();
    assert_none_dead(&sim, &survivors, &survivors);
    (3..9).for_each(|h| assert_eq!(uses_any(&mut sim, h), 6, "host {h}"));
}

/// All hosts of a failure domain crash at once. The others detect it soon, and
/// declare none of the remaining hosts dead although a third of all probes fail.
#[test]
fn fleet_domain_lost() {
    let mut sim = fleet(30, 12);
    let (lost, rest): (Vec<_>, Vec<_>) = (0..30).partition(|h| sim.hosts[*h].domain == 1);
    lost.iter().for_each(|h| sim.crash(*h));
    sim.run(40 * SECOND, |sim| assert_none_dead(sim, &rest, &rest));
    for (o, s) in rest.iter().flat_map(|o| lost.iter().map(move |s| (*o, *s))) {
        assert_eq!(sim.state(o, s), Some(MemberState::Dead));
    }
    rest.iter()
        .for_each(|h| assert_eq!(uses_any(&mut sim, *h), 12, "host {h}"));
}

/// A whole fleet starts at once, after a power cut. All instances join through the
/// same three seeds, which must limit the traffic of their replies; still, every
/// instance must soon know every other.
#[test]
fn fleet_cold_start() {
    let mut sim = Simulation::new(SimulationSettings {
        seed: 11,
        hosts: 60,
        domains: 3,
        upstreams: 100,
        loss: 0.0,
        duplicate: 0.0,
        late: 0.0,
        load_churn: 0.2,
    });
    let mut before = vec![0; 60];
    let mut burst = 0;
    sim.run(20 * SECOND, |sim| {
        for (host, before) in sim.hosts.iter().zip(&mut before) {
            burst = burst.max(host.datagrams_sent - *before);
            *before = host.datagrams_sent;
        }
    });
    assert!(burst <= 250, "{burst} datagrams in half a second");
    for (o, s) in (0..60).flat_map(|o| (0..60).map(move |s| (o, s))) {
        assert_eq!(sim.state(o, s), Some(MemberState::Alive));
    }
    (0..60).for_each(|h| assert_eq!(uses_any(&mut sim, h), 100, "host {h}"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Datagrams under another key, and malformed ones under the right key, are
    /// dropped, and none causes a panic.
    #[test]
    fn node_any_bytes(sealed: bool, mut bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut sim = small();
        if sealed {
            bytes.insert(0, 0xb1);
            bytes = FleetKey::new(b"secret").seal(&bytes);
        }
        sim.inject(0, &bytes);
        sim.run(SECOND / 2, |_| ());
        let counts = sim.hosts[0].node.as_ref().unwrap().dump(Time(0)).traffic;
        prop_assert!(sealed || counts.bad == 1);
    }

    /// A datagram with any single byte changed is dropped.
    #[test]
    fn node_changed_byte(place: prop::sample::Index, flip in 1..=255_u8) {
        let mut sim = small();
        let mut bytes = sim.last_datagram.clone();
        let place = place.index(bytes.len());
        bytes[place] ^= flip;
        sim.inject(0, &bytes);
        let counts = sim.hosts[0].node.as_ref().unwrap().dump(Time(0)).traffic;
        prop_assert_eq!(counts.bad, 1);
    }
}

fn small() -> Simulation {
    let mut sim = Simulation::new(SimulationSettings {
        seed: 3,
        hosts: 2,
        domains: 1,
        upstreams: 1,
        loss: 0.0,
        duplicate: 0.0,
        late: 0.0,
        load_churn: 0.0,
    });
    sim.run(2 * SECOND, |_| ());
    sim
}
