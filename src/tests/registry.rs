//! Tests of [`crate::upstream::Registry`].

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

use crate::clock::Time;
use crate::upstream::{InstanceLiveness, Registry, RegistryEffect, UpstreamRecord};
use crate::{
    AnnounceError, AnnounceOutcome, Announcement, Engine, Incarnation, InstanceId, Load, Serves,
    UpstreamState,
};

const BOOT: Incarnation = Incarnation(1);

/// Live instances, all in incarnation 1.
struct Alive(&'static [u64]);

impl InstanceLiveness for Alive {
    fn is_alive(&self, id: InstanceId, boot: Incarnation) -> bool {
        boot == BOOT && self.0.contains(&id.0)
    }
}

fn registry(id: u64) -> Registry {
    Registry::new(InstanceId(id), BOOT)
}

fn seconds(count: u64) -> Time {
    Time(count * 1_000_000)
}

fn engine(incarnation: u64, sequence: u64, state: UpstreamState) -> Announcement {
    Announcement {
        id: "eng-1".into(),
        incarnation: Incarnation(incarnation),
        sequence,
        address: "127.0.0.1:9001".parse().unwrap(),
        domain: "peristeri".into(),
        pool: "attiki".into(),
        state,
        serves: Serves::Engine(Engine {
            model: "quote-7b".into(),
            version: "1".into(),
            first: 0,
            end: 16,
            total: 32,
            accelerator: "a".into(),
            rate: 400,
            slots: 32,
            link: 1_000,
        }),
        load: Load::default(),
    }
}

fn announce(registry: &mut Registry, now: Time, a: &Announcement) -> AnnounceOutcome {
    registry
        .announce(now, a, &Alive(&[1, 2, 3]), &mut Vec::new())
        .unwrap()
}

fn usable(registry: &mut Registry, now: Time) -> usize {
    registry.snapshot(now).upstreams.len()
}

/// Merges each record of `from` into `to`.
fn send_records(now: Time, from: &Registry, to: &mut Registry) {
    let keys: Vec<_> = from.hashes(now).map(|(key, _)| key).collect();
    for record in keys.iter().filter_map(|k| from.record(now, *k, true)) {
        to.receive(now, record, &mut Vec::new());
    }
}

#[rstest]
#[case::later((1, 6, UpstreamState::Up), AnnounceOutcome::Accepted)]
#[case::same((1, 5, UpstreamState::Up), AnnounceOutcome::Duplicate)]
#[case::earlier((1, 4, UpstreamState::Up), AnnounceOutcome::Duplicate)]
#[case::leaving((1, 6, UpstreamState::Leaving), AnnounceOutcome::Accepted)]
#[case::restarted((2, 0, UpstreamState::Up), AnnounceOutcome::Accepted)]
#[case::before((0, 9, UpstreamState::Gone), AnnounceOutcome::Superseded)]
fn announce_order(#[case] second: (u64, u64, UpstreamState), #[case] outcome: AnnounceOutcome) {
    let mut registry = registry(1);
    announce(&mut registry, seconds(1), &engine(1, 5, UpstreamState::Up));
    let second = engine(second.0, second.1, second.2);
    assert_eq!(announce(&mut registry, seconds(2), &second), outcome);
}

/// Guards against requests to an upstream that shuts down. It announced `leaving`
/// or `gone`, and a later announcement from another of its threads carried `up`.
#[rstest]
#[case(UpstreamState::Leaving)]
#[case(UpstreamState::Gone)]
fn announce_after_end(#[case] ended: UpstreamState) {
    let mut registry = registry(1);
    announce(&mut registry, seconds(1), &engine(1, 5, ended));
    let up = engine(1, 6, UpstreamState::Up);
    let outcome = announce(&mut registry, seconds(2), &up);
    assert_eq!(outcome, AnnounceOutcome::Superseded);
    assert_eq!(usable(&mut registry, seconds(2)), 0);
    announce(&mut registry, seconds(3), &engine(2, 0, UpstreamState::Up));
    assert_eq!(usable(&mut registry, seconds(3)), 1);
}

#[test]
fn announce_forwarded() {
    let (mut registrar, mut other) = (registry(1), registry(2));
    announce(&mut registrar, seconds(1), &engine(1, 1, UpstreamState::Up));
    send_records(seconds(1), &registrar, &mut other);
    let mut out = Vec::new();
    let next = engine(1, 2, UpstreamState::Up);
    let outcome = other.announce(seconds(9), &next, &Alive(&[1, 2]), &mut out);
    assert_eq!(outcome, Ok(AnnounceOutcome::Accepted));
    let [RegistryEffect::ForwardRenewal(InstanceId(1), renewal)] = &out[..] else {
        panic!("not forwarded: {out:?}");
    };
    registrar.renew(seconds(9), renewal, &mut Vec::new());
    registrar.tick(seconds(12), &Alive(&[1, 2]), &mut Vec::new());
    assert_eq!(usable(&mut registrar, seconds(12)), 1);
}

#[test]
fn tick_silent() {
    let mut registry = registry(1);
    announce(&mut registry, seconds(1), &engine(1, 1, UpstreamState::Up));
    registry.tick(seconds(10), &Alive(&[1]), &mut Vec::new());
    assert_eq!(usable(&mut registry, seconds(10)), 1);
    registry.tick(seconds(11), &Alive(&[1]), &mut Vec::new());
    assert_eq!(usable(&mut registry, seconds(11)), 0);
}

#[rstest]
#[case::alive(&[1], 1)]
#[case::dead(&[], 0)]
fn tick_registrar(#[case] alive: &'static [u64], #[case] count: usize) {
    let (mut registrar, mut other) = (registry(1), registry(2));
    announce(&mut registrar, seconds(1), &engine(1, 1, UpstreamState::Up));
    send_records(seconds(1), &registrar, &mut other);
    for second in 2..=12 {
        other.tick(seconds(second), &Alive(alive), &mut Vec::new());
    }
    assert_eq!(usable(&mut other, seconds(12)), count);
}

/// Guards against requests to an upstream that failed together with its registrar.
/// Two other instances relay its record to each other, each time as if it were
/// recent.
#[test]
fn receive_in_cycle() {
    let (mut registrar, mut a, mut b) = (registry(1), registry(2), registry(3));
    announce(&mut registrar, seconds(1), &engine(1, 1, UpstreamState::Up));
    send_records(seconds(1), &registrar, &mut a);
    for second in 2..40 {
        let now = seconds(second);
        a.tick(now, &Alive(&[2, 3]), &mut Vec::new());
        b.tick(now, &Alive(&[2, 3]), &mut Vec::new());
        send_records(now, &a, &mut b);
        send_records(now, &b, &mut a);
        let count = usable(&mut a, now) + usable(&mut b, now);
        assert!(second < 12 || count == 0, "usable after {second} s");
    }
}

/// An upstream failed, and its registrar only receives its record from others. They
/// consider it alive because the registrar is, which says nothing about the upstream.
#[test]
fn receive_own_record() {
    let (mut registrar, mut other) = (registry(1), registry(2));
    announce(&mut registrar, seconds(1), &engine(1, 1, UpstreamState::Up));
    for second in 2..=12 {
        let now = seconds(second);
        registrar.tick(now, &Alive(&[1, 2]), &mut Vec::new());
        send_records(now, &registrar, &mut other);
        other.tick(now, &Alive(&[1, 2]), &mut Vec::new());
        send_records(now, &other, &mut registrar);
    }
    assert_eq!(usable(&mut registrar, seconds(12)), 0);
}

/// An announcement was delayed in a connection for an hour. The upstream that sent
/// it has been gone for almost as long.
#[test]
fn announce_delayed() {
    let mut registry = registry(1);
    announce(
        &mut registry,
        seconds(1),
        &engine(1, 9, UpstreamState::Gone),
    );
    for second in 2..3_600 {
        registry.tick(seconds(second), &Alive(&[1]), &mut Vec::new());
    }
    let late = engine(1, 8, UpstreamState::Up);
    let outcome = announce(&mut registry, seconds(3_600), &late);
    assert_eq!(outcome, AnnounceOutcome::Superseded);
}

#[test]
fn tick_retention() {
    let mut registry = registry(1);
    announce(
        &mut registry,
        seconds(1),
        &engine(1, 9, UpstreamState::Gone),
    );
    registry.tick(seconds(7_300), &Alive(&[1]), &mut Vec::new());
    assert_eq!(registry.counts().retired, 0);
}

#[test]
fn announce_full() {
    let mut registry = registry(1);
    let mut named = |index: usize, state| {
        let mut a = engine(1, 1, state);
        a.id = format!("eng-{index}").as_str().into();
        registry.announce(seconds(1), &a, &Alive(&[1]), &mut Vec::new())
    };
    assert!(named(0, UpstreamState::Gone).is_ok());
    for index in 1..=crate::upstream::MAX_ENTRIES {
        assert_eq!(
            named(index, UpstreamState::Up),
            Ok(AnnounceOutcome::Accepted)
        );
    }
    let refused = named(9_999, UpstreamState::Up);
    assert!(matches!(refused, Err(AnnounceError::Full { .. })));
}

#[rstest]
#[case::backward(16, 16, 32)]
#[case::beyond(0, 33, 32)]
#[case::huge(0, 1, 100_000)]
fn validate_layers(#[case] first: u32, #[case] end: u32, #[case] total: u32) {
    let mut a = engine(1, 1, UpstreamState::Up);
    let Serves::Engine(engine) = &mut a.serves else {
        return;
    };
    (engine.first, engine.end, engine.total) = (first, end, total);
    assert!(matches!(a.validate(), Err(AnnounceError::Layers { .. })));
}

#[rstest]
#[case("")]
#[case("two words")]
#[case("0123456789012345678901234567890123456789012345678901234567890123456789")]
fn validate_name(#[case] id: &str) {
    let mut a = engine(1, 1, UpstreamState::Up);
    a.id = id.into();
    assert!(matches!(a.validate(), Err(AnnounceError::Name { .. })));
}

#[test]
fn announcement_json() {
    let json = r#"{"id": "eng-1", "incarnation": 3, "sequence": 12, "address": "127.0.0.1:9001",
        "domain": "peristeri", "pool": "attiki", "state": "up",
        "serves": {"service": {"name": "orders", "slots": 8}},
        "load": {"running": 3, "waiting": 0}}"#;
    let a: Announcement = serde_json::from_str(json).unwrap();
    assert_eq!(a.load.running, 3);
    assert_eq!(a.validate(), Ok(()));
}

fn records() -> impl Strategy<Value = Vec<UpstreamRecord>> {
    let state = prop_oneof![
        Just(UpstreamState::Up),
        Just(UpstreamState::Leaving),
        Just(UpstreamState::Gone),
    ];
    let record =
        (1..3_u64, 1..5_u64, state, 1..4_u64).prop_map(|(incarnation, sequence, state, id)| {
            let mut registrar = registry(id);
            announce(
                &mut registrar,
                seconds(1),
                &engine(incarnation, sequence, state),
            );
            let (key, _) = registrar.hashes(seconds(1)).next().unwrap();
            registrar.record(seconds(1), key, true).unwrap()
        });
    prop::collection::vec(record, 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// If the order of arrival mattered, instances that receive the same records
    /// would permanently route to different upstreams.
    #[test]
    fn receive_any_order(records in records(), other in any::<prop::sample::Index>()) {
        let mut rotated = records.clone();
        rotated.rotate_left(other.index(records.len()));
        rotated.reverse();
        let mut both = [registry(9), registry(9)];
        for (registry, records) in both.iter_mut().zip([records, rotated]) {
            for record in records {
                registry.receive(seconds(1), record, &mut Vec::new());
            }
        }
        let [a, b] = both.each_ref().map(|r| r.hashes(seconds(1)).collect::<Vec<_>>());
        prop_assert_eq!(a, b);
    }
}

#[test]
fn past_instant_age() {
    use crate::upstream::PastInstant;
    let since = PastInstant::aged(seconds(1), Duration::from_secs(5));
    assert_eq!(since.age(seconds(3)), Duration::from_secs(7));
}
