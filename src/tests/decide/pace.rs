//! Engines that turn slow, from their reports to the choice of a path.

use super::super::pool::{self, WORK};
use super::super::{at, leader};
use super::model;
use crate::decide::load::Loads;
use crate::decide::pace::{Turns, news};
use crate::decide::path::{self, Start};
use crate::entry::pool::Pool;
use crate::entry::view::{Services, Upstream};
use crate::platform::engine::reported_pace;
use crate::roster::{Announcement, LayerRange, Roster};
use crate::sync::UpstreamRecord;

/// Layers that each engine holds, and that a request passes through.
const LAYERS: LayerRange = LayerRange { first: 0, end: 6 };

fn engine(host: u8, kind: &str, pace: f64) -> Upstream {
    Upstream {
        kind: Some(kind.to_owned()),
        pace,
        ..pool::engine(host, "north", LAYERS.first, LAYERS.end)
    }
}

/// The engine that a request is sent to.
fn chosen(engines: Vec<Upstream>) -> u64 {
    let mut services = Services::default();
    services.insert("letters".to_owned(), engines);
    let loads = Loads::default();
    let pool = Pool::new(&services, "letters", &model(), &loads, 1, |_| Some(1.0));
    let hops = path::choose(LAYERS.end, Start::Caller, &pool.candidates, &WORK, |_| 1.0);
    pool.engines[hops.unwrap()[0].engine].key
}

#[test]
fn path_around_slow() {
    // The engine of the fastest kind takes four times as long as usual for six
    // seconds, and its heartbeats go on. By its kind it stayed the best choice:
    // requests queued up there, and in windows of two seconds no caller of 300
    // got a first event in time, while others with the same layers were idle.
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
fn news_of_differences() {
    assert_eq!(news(1.0, 4.5), Some(4.5));
    assert_eq!(news(4.5, 4.7), None);
    assert_eq!(news(4.5, 1.0), Some(1.0));
    // An engine that works faster than its kind is as good as usual.
    assert_eq!(news(1.0, 0.3), None);
    assert_eq!(news(1.0, 1e9), Some(100.0));
    for bad in [0.0, -3.0, f64::NAN] {
        assert_eq!(news(1.0, bad), None);
    }
}

#[test]
fn turns_reach_all() {
    let engines: Vec<u32> = (0..99).collect();
    let mut turns = Turns::default();
    let mut asked: Vec<u32> = (0..4).flat_map(|_| turns.take(&engines)).collect();
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked, engines);
    assert!(turns.take::<u32>(&[]).is_empty());
    assert_eq!(turns.take(&[7]), [7]);
}

#[test]
fn turns_bounded() {
    // 3,000 engines at work: asked all in one round, they would take the leader's
    // processor away from heartbeats. Each still has its turn.
    let engines: Vec<u32> = (0..3000).collect();
    let mut turns = Turns::default();
    let mut asked = vec![0; 3000];
    for _ in 0..63 {
        let round = turns.take(&engines);
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

#[test]
fn paced_until_new_start() {
    // An engine stays slow over its heartbeats, and is told so; one that starts
    // again is as fast as its kind.
    let mut roster = Roster::new(std::time::Duration::from_millis(1200));
    roster.announce(at(0), announcement(1, 1));
    assert!(roster.set_pace("i-1", 1, 4.5));
    assert!(!roster.set_pace("i-1", 1, 4.6));
    roster.announce(at(1200), announcement(1, 2));
    let told = UpstreamRecord::new(roster.get("i-1").unwrap(), None);
    assert!((Upstream::from(&told).pace - 4.5).abs() < 1e-6);
    // A report that was on its way says nothing of the next start.
    roster.announce(at(2400), announcement(2, 1));
    assert!(!roster.set_pace("i-1", 1, 9.0));
    let told = UpstreamRecord::new(roster.get("i-1").unwrap(), None);
    assert!((Upstream::from(&told).pace - 1.0).abs() < 1e-6);
}
