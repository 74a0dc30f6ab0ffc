//! Tests of slow engines, from their reports to the choice of a path.

use super::super::pool::{self, WORK};
use super::super::{announce, at, leader};
use super::model;
use crate::decide::load::Loads;
use crate::decide::pace::{Rotation, significant_change};
use crate::decide::path::{self, Start};
use crate::entry::pool::Pool;
use crate::entry::view::{Services, Upstream};
use crate::platform::engine::reported_pace;
use crate::roster::{Announcement, LayerRange, Roster};
use crate::sync::UpstreamRecord;

/// Layers of each engine and of the model.
const LAYERS: LayerRange = LayerRange { first: 0, end: 6 };

fn engine(host: u8, kind: &str, pace: f64) -> Upstream {
    Upstream {
        kind: Some(kind.to_owned()),
        pace,
        ..pool::engine(host, "north", LAYERS.first, LAYERS.end)
    }
}

/// Returns the engine that a request is sent to.
fn chosen(engines: Vec<Upstream>) -> u64 {
    let mut services = Services::default();
    services.insert("letters".to_owned(), engines);
    let loads = Loads::default();
    let pool = Pool::new(&services, "letters", &model(), &loads, 1, 1.0, |_| {
        Some(1.0)
    });
    let hops = path::choose(LAYERS.end, Start::Caller, &pool.candidates, &WORK, |_| 1.0);
    pool.engines[hops.unwrap()[0].engine].key
}

/// Guards against choosing a slow engine by the speed of its kind.
///
/// For six seconds, the engine of the fastest kind takes four times as long as usual while its
/// heartbeats continue. Requests queued up there while other engines with the same layers were
/// idle: within windows of two seconds, none of 300 callers got a first event in time.
#[test]
fn choose_around_slow() {
    let model = model();
    let mut kinds: Vec<_> = model.accelerators.iter().collect();
    kinds.sort_by(|a, b| a.step_factor.total_cmp(&b.step_factor));
    let (first, second) = (kinds[0], kinds[1]);
    let (fast, other) = (engine(1, &first.name, 1.0), engine(2, &second.name, 1.0));
    assert_eq!(chosen(vec![fast.clone(), other.clone()]), fast.key);
    let slower = 1.5 * second.step_factor / first.step_factor;
    let slow = engine(1, &first.name, slower.max(4.5));
    assert_eq!(chosen(vec![slow, other.clone()]), other.key);
}

#[test]
fn reported_pace_of_report() {
    let report = br#"{"phase":"mixed","busy":false,"seq":2,"pace":4.5,"stalled":[]}"#;
    assert_eq!(reported_pace(report), Some(4.5));
    assert_eq!(reported_pace(br#"{"seq":2}"#), None);
    assert_eq!(reported_pace(b"{"), None);
}

#[test]
fn significant_change_bounds() {
    assert_eq!(significant_change(1.0, 4.5), Some(4.5));
    assert_eq!(significant_change(4.5, 4.7), None);
    assert_eq!(significant_change(4.5, 1.0), Some(1.0));
    // Being faster than the kind is treated as the usual pace.
    assert_eq!(significant_change(1.0, 0.3), None);
    assert_eq!(significant_change(1.0, 1e9), Some(100.0));
    for bad in [0.0, -3.0, f64::NAN] {
        assert_eq!(significant_change(1.0, bad), None);
    }
}

#[test]
fn next_batch_reaches_all() {
    let engines: Vec<u32> = (0..99).collect();
    let mut rotation = Rotation::default();
    let mut asked: Vec<u32> = (0..4).flat_map(|_| rotation.next_batch(&engines)).collect();
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked, engines);
    assert!(rotation.next_batch::<u32>(&[]).is_empty());
    assert_eq!(rotation.next_batch(&[7]), [7]);
}

/// Guards against asking 3,000 engines in one round, which would delay the leader's heartbeats.
/// Each engine is still asked.
#[test]
fn next_batch_bounded() {
    let engines: Vec<u32> = (0..3000).collect();
    let mut rotation = Rotation::default();
    let mut asked = vec![0; 3000];
    for _ in 0..63 {
        let round = rotation.next_batch(&engines);
        assert!(round.len() <= 48);
        round.iter().for_each(|e| asked[*e as usize] += 1);
    }
    assert!(asked.iter().all(|&n| n > 0));
}

fn announcement(born: u64, sequence: u64) -> Announcement {
    Announcement {
        born,
        ..leader::announcement(1, sequence, Some((0, 9)))
    }
}

/// The reported pace outlasts heartbeats, but not a restart: a restarted engine is as fast as its
/// kind.
#[test]
fn paced_until_new_start() {
    let mut roster = Roster::new(std::time::Duration::from_millis(1200));
    announce(&mut roster, at(0), announcement(1, 1));
    assert!(roster.set_pace("i-1", 1, 4.5));
    assert!(!roster.set_pace("i-1", 1, 4.6));
    announce(&mut roster, at(1200), announcement(1, 2));
    let record = UpstreamRecord::new(roster.get("i-1").unwrap(), None);
    assert!((Upstream::from(&record).pace - 4.5).abs() < 1e-6);
    // A delayed report doesn't apply to the next start.
    announce(&mut roster, at(2400), announcement(2, 1));
    assert!(!roster.set_pace("i-1", 1, 9.0));
    let record = UpstreamRecord::new(roster.get("i-1").unwrap(), None);
    assert!((Upstream::from(&record).pace - 1.0).abs() < 1e-6);
}
