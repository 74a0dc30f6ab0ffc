//! Tests of [`crate::queue`].

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::catalogue::Class;
use crate::clock::Time;
use crate::collections::{HashMap, HashSet};
use crate::id::OrganisationId;
use crate::queue::{Discipline, Item, Queue, RefusalReason};

fn item(id: u64, organisation: &str, cost: f64) -> Item {
    Item {
        id,
        route: organisation.into(),
        organisation: organisation.into(),
        class: Class::Standard,
        cost,
        deadline: Time(u64::MAX),
        bound: 1_000_000,
    }
}

/// Cost served per organisation over `pops` services.
fn served(queue: &mut Queue, pops: usize) -> HashMap<OrganisationId, f64> {
    let mut sums = HashMap::default();
    for _ in 0..pops {
        let item = queue.pop(Time(0)).unwrap();
        *sums.entry(item.organisation).or_insert(0.0) += item.cost;
    }
    sums
}

/// Both organisations always have work, and requests of one cost ten times
/// those of the other. Only charging by cost serves both equally.
#[rstest]
#[case::cost(Discipline::Cost, 0.9..1.1)]
#[case::stride(Discipline::Stride, 9.0..11.0)]
#[case::fifo(Discipline::Fifo, 9.0..11.0)]
fn pop_long_against_short(#[case] discipline: Discipline, #[case] ratio: std::ops::Range<f64>) {
    let mut queue = Queue::new(discipline);
    for id in 0..2000 {
        let (name, cost) = [("short", 1.0), ("long", 10.0)][id as usize % 2];
        queue.push(Time(0), item(id, name, cost)).unwrap();
    }
    let sums = served(&mut queue, 900);
    let found = sums[&"long".into()] / sums[&"short".into()];
    assert!(ratio.contains(&found), "{found}");
}

#[rstest]
#[case::cost(Discipline::Cost)]
#[case::stride(Discipline::Stride)]
fn pop_by_weight(#[case] discipline: Discipline) {
    let mut queue = Queue::new(discipline);
    queue.set_weight(&"a".into(), 3.0);
    for id in 0..2000 {
        let name = ["a", "b"][id as usize % 2];
        queue.push(Time(0), item(id, name, 1.0)).unwrap();
    }
    let sums = served(&mut queue, 800);
    assert_eq!(sums[&"a".into()] / sums[&"b".into()], 3.0);
}

/// Estimates of one organisation are ten times too low. Without the correction
/// it would get ten times its share.
#[test]
fn settle_corrects_low_estimate() {
    let mut queue = Queue::new(Discipline::Cost);
    for id in 0..4000 {
        let name = ["honest", "low"][id as usize % 2];
        queue.push(Time(0), item(id, name, 1.0)).unwrap();
    }
    let mut actual: HashMap<OrganisationId, f64> = HashMap::default();
    for _ in 0..1100 {
        let item = queue.pop(Time(0)).unwrap();
        let cost = if *item.organisation.0 == *"low" {
            10.0
        } else {
            1.0
        };
        *actual.entry(item.organisation.clone()).or_default() += cost;
        queue.settle(&item.organisation, item.class, item.cost, cost);
    }
    let ratio = actual[&"low".into()] / actual[&"honest".into()];
    assert!((0.95..1.05).contains(&ratio), "{ratio}");
}

/// An organisation sends a burst after being idle. If idle time earned credit,
/// the others would wait for the whole burst.
#[test]
fn push_after_idle_earns_no_credit() {
    let mut queue = Queue::new(Discipline::Cost);
    queue.push(Time(0), item(0, "idle", 1.0)).unwrap();
    queue.pop(Time(0));
    for id in 1..1001 {
        queue.push(Time(0), item(id, "busy", 1.0)).unwrap();
    }
    served(&mut queue, 500);
    for id in 2000..2100 {
        queue.push(Time(0), item(id, "idle", 1.0)).unwrap();
    }
    let sums = served(&mut queue, 100);
    assert!(sums[&"busy".into()] >= 49.0, "{sums:?}");
}

/// A constant backlog of interactive work must leave lower classes their floor.
#[test]
fn pop_lower_class_keeps_floor() {
    let mut queue = Queue::new(Discipline::Cost);
    let classes = [Class::Interactive, Class::Standard, Class::Bulk];
    for id in 0..6000 {
        let class = classes[id as usize % 3];
        let item = Item {
            class,
            ..item(id, "a", 1.0)
        };
        queue.push(Time(0), item).unwrap();
    }
    let mut counts = [0; 3];
    for _ in 0..2000 {
        counts[queue.pop(Time(0)).unwrap().class as usize] += 1;
    }
    assert!((1600..1750).contains(&counts[0]), "{counts:?}");
    assert!(counts[1] >= 160 && counts[2] >= 80, "{counts:?}");
}

/// Guards against an organisation that goes before others because it was known first: of equal ones,
/// the item that came first is served first.
#[test]
fn pop_equal_by_arrival() {
    let mut queue = Queue::new(Discipline::Cost);
    queue.push(Time(0), item(1, "known", 1.0)).unwrap();
    queue.remove(1).unwrap();
    queue.push(Time(0), item(2, "new", 1.0)).unwrap();
    queue.push(Time(0), item(3, "known", 1.0)).unwrap();
    let ids = [2, 3].map(|_| queue.pop(Time(0)).unwrap().id);
    assert_eq!(ids, [2, 3]);
}

#[test]
fn push_route_full() {
    let mut queue = Queue::new(Discipline::Cost);
    let bound = |id| Item {
        bound: 1,
        ..item(id, "a", 1.0)
    };
    queue.push(Time(0), bound(1)).unwrap();
    let refusal = queue.push(Time(0), bound(2)).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Full);
    queue.remove(1).unwrap();
    queue.push(Time(0), bound(2)).unwrap();
}

/// A queue that serves one item per second holds ten. A request with a deadline
/// in five seconds must be refused at once, with a time after which to retry.
#[test]
fn push_unreachable_deadline() {
    let mut queue = Queue::new(Discipline::Cost);
    for id in 0..20 {
        queue.push(Time(0), item(id, "a", 1.0)).unwrap();
    }
    let now = (1..=10).fold(Time(0), |now, _| {
        let now = now + Duration::from_secs(1);
        queue.pop(now).unwrap();
        now
    });
    let due = |id, secs| Item {
        deadline: now + Duration::from_secs(secs),
        ..item(id, "a", 1.0)
    };
    let refusal = queue.push(now, due(100, 5)).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Deadline);
    let secs = refusal.retry_after.as_secs_f64();
    assert!((3.0..7.0).contains(&secs), "{secs}");
    queue.push(now, due(101, 60)).unwrap();
    let other = Item {
        organisation: "b".into(),
        ..due(102, 5)
    };
    queue.push(now, other).unwrap();
}

/// An id is removed and pushed again with a later deadline. The old deadline
/// and position must not apply to the new item.
#[test]
fn expire_id_pushed_again() {
    let mut queue = Queue::new(Discipline::Cost);
    let at = |secs| Time(0) + Duration::from_secs(secs);
    queue.push(at(0), item(7, "a", 1.0)).unwrap();
    let early = Item {
        deadline: at(1),
        ..item(1, "a", 1.0)
    };
    queue.push(at(0), early).unwrap();
    queue.remove(1).unwrap();
    let late = Item {
        deadline: at(9),
        ..item(1, "b", 1.0)
    };
    queue.push(at(0), late).unwrap();
    assert_eq!(queue.expire(at(2)), []);
    assert_eq!(queue.pop(at(2)).unwrap().id, 7);
    assert_eq!(queue.pop(at(2)).unwrap().organisation, "b".into());
    assert_eq!(queue.pop(at(2)), None);
}

/// Random pushes, services, removals and expiries: every accepted item comes
/// out once, and the queue serves an item whenever one waits.
#[rstest]
fn push_random_runs(
    #[values(Discipline::Cost, Discipline::Stride, Discipline::Fifo)] discipline: Discipline,
) {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut queue = Queue::new(discipline);
        let mut waiting: HashSet<u64> = HashSet::default();
        let mut now = Time(0);
        for _ in 0..1500 {
            now = now + Duration::from_millis(rng.random_range(0..20));
            let id = rng.random_range(0..200);
            let out: Vec<Item> = match rng.random_range(0..10) {
                0..=4 => {
                    let organisation = format!("o{}", rng.random_range(0..12));
                    let mut item = item(id, &organisation, rng.random_range(0.1..20.0));
                    item.class =
                        [Class::Interactive, Class::Standard, Class::Bulk][id as usize % 3];
                    item.deadline = now + Duration::from_millis(rng.random_range(1..3000));
                    item.bound = 15;
                    if queue.push(now, item).is_ok() {
                        assert!(waiting.insert(id), "accepted twice, seed {seed}");
                    }
                    Vec::new()
                }
                5..=7 => {
                    let out = queue.pop(now);
                    assert_eq!(out.is_some(), !waiting.is_empty(), "idle, seed {seed}");
                    out.into_iter().collect()
                }
                8 => queue.remove(id).into_iter().collect(),
                _ => queue.expire(now),
            };
            for item in out {
                assert!(waiting.remove(&item.id), "came out twice, seed {seed}");
                let actual = rng.random_range(0.1..40.0);
                queue.settle(&item.organisation, item.class, item.cost, actual);
            }
            assert_eq!(queue.len(), waiting.len(), "seed {seed}");
        }
    }
}
