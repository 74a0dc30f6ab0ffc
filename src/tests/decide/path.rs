//! Tests of the choice of paths and of the limits on them.

use super::{at, model};
use crate::decide::link::LinkShare;
use crate::decide::load::{Loads, Speed};
use crate::decide::path::{self, Candidate, Hop, NoPath, Start, Work};
use crate::roster::LayerRange;
use crate::sync::Load;

const WORK: Work = Work {
    prompt: 800.0,
    answer: 170.0,
    token_mb: 0.007_375,
    crossing_ms: 0.0215,
    may_cross: true,
    caller_domain: 0,
    headroom: 0.0,
    obeys_quota: false,
};

fn candidate(first: u32, end: u32) -> Candidate {
    Candidate {
        range: LayerRange::new(first, end),
        domain: 0,
        step_ms: 0.1,
        read_ms: 0.001,
        memory_mb: 10_000.0,
        room_mb: 10_000.0,
        utilisation: 0.0,
        has_quota: true,
        may_enter: true,
        cost_factor: 1.0,
    }
}

fn choose(candidates: &[Candidate]) -> Result<Vec<(usize, u32, u32)>, NoPath> {
    let hops = path::choose(80, Start::Caller, candidates, &WORK, |_| 1.0)?;
    assert!(path::is_complete(0, 80, candidates, &hops));
    let parts = hops.iter().map(|h| (h.engine, h.range.first, h.range.end));
    Ok(parts.collect())
}

#[test]
fn choose_overlap() {
    let parts = choose(&[candidate(0, 50), candidate(30, 80)]).unwrap();
    assert_eq!((parts[0].0, parts[1].0), (0, 1));
    assert_eq!(parts[0].2, parts[1].1);
}

#[test]
fn choose_missing_layer() {
    let none = choose(&[candidate(0, 50), candidate(60, 80)]);
    assert_eq!(none, Err(NoPath::MissingLayer(50)));
}

#[test]
fn choose_full() {
    let mut full = candidate(40, 80);
    full.room_mb = 1.0;
    assert_eq!(choose(&[candidate(0, 40), full]), Err(NoPath::Full));
}

/// Guards against overfilling an engine in a burst while another one with the same layers has room;
/// the full engine would interrupt its newest request.
#[test]
fn choose_copy_with_room() {
    let mut full = candidate(40, 80);
    full.room_mb = 1.0;
    let parts = choose(&[candidate(0, 40), full, candidate(40, 80)]).unwrap();
    assert_eq!(parts, [(0, 0, 40), (2, 40, 80)]);
}

#[test]
fn choose_home_domain() {
    let mut far = candidate(0, 80);
    far.domain = 1;
    far.step_ms = 0.09;
    let parts = choose(&[far, candidate(0, 40), candidate(40, 80)]);
    // A whole path in another domain crosses no boundary between domains.
    assert_eq!(parts.unwrap(), [(0, 0, 80)]);
    let mut far = candidate(40, 80);
    far.domain = 1;
    far.step_ms = 0.05;
    let parts = choose(&[far, candidate(0, 40), candidate(40, 80)]);
    assert_eq!(parts.unwrap(), [(1, 0, 40), (2, 40, 80)]);
}

/// The only local engine with some layers dies. Until others have loaded them, requests use a copy
/// in another domain.
#[test]
fn choose_remote_copy() {
    let mut far = candidate(0, 80);
    far.domain = 1;
    far.step_ms = 5.0;
    let parts = choose(&[far, candidate(0, 30), candidate(50, 80)]).unwrap();
    assert_eq!(parts[1], (0, 30, 50));
}

/// The caller's domain has lost layers 50 to 60, and the other domain is loaded. Crossing there and
/// back would occupy the shared link; the whole path in the other domain doesn't use it.
#[test]
fn choose_other_domain_whole() {
    let mut far = candidate(0, 80);
    far.domain = 1;
    far.step_ms = 0.2;
    let parts = choose(&[far, candidate(0, 50), candidate(60, 80)]).unwrap();
    assert_eq!(parts, [(0, 0, 80)]);
}

#[test]
fn choose_no_crossing() {
    let mut far = candidate(40, 80);
    far.domain = 1;
    let candidates = [candidate(0, 40), far];
    let home = Work {
        may_cross: false,
        ..WORK
    };
    let none = path::choose(80, Start::Caller, &candidates, &home, |_| 1.0);
    assert_eq!(none, Err(NoPath::Full));
    let hops = path::choose(80, Start::Caller, &candidates, &WORK, |_| 1.0);
    assert_eq!(path::crossings(&candidates, &hops.unwrap()), 1);
}

/// An engine on the path of a running request dies. The first engine stays, since it has the
/// caller's connection; only the rest of the path is chosen again.
#[test]
fn choose_after_engine() {
    let candidates = [candidate(40, 80), candidate(20, 60)];
    let start = Start::After {
        layer: 30,
        domain: 0,
    };
    let hops = path::choose(80, start, &candidates, &WORK, |_| 1.0).unwrap();
    assert!(path::is_complete(30, 80, &candidates, &hops));
    assert_eq!(hops[0].engine, 1);
}

/// Guards against a full link when many requests cross at once: all instances together must leave
/// half of it free, or every token on it is delayed.
#[test]
fn try_acquire_link_bounded() {
    let mut used = 0.0;
    for _ in 0..9 {
        let mut share = LinkShare::new(at(0));
        for i in 0..1000 {
            if share.try_acquire(at(i * 10), 9, 20.8) {
                used += 20.8;
            }
        }
    }
    assert!(
        used > 4_000.0 && used <= 5_500.0,
        "{used} ms of 10,000 are used"
    );
}

#[test]
fn choose_may_enter() {
    let mut full = candidate(0, 40);
    full.may_enter = false;
    let other = candidate(0, 40);
    let parts = choose(&[full, other, candidate(40, 80)]).unwrap();
    assert_eq!(parts[0].0, 1);
}

/// Guards against naming an engine twice, which engines refuse. A slow engine holds all layers, a
/// fast one a part in the middle.
#[test]
fn choose_engine_once() {
    let mut slow = candidate(0, 80);
    slow.step_ms = 0.2;
    let mut fast = candidate(30, 50);
    fast.step_ms = 0.0001;
    let parts = choose(&[slow, fast]).unwrap();
    assert_eq!(parts, [(0, 0, 80)]);
}

#[test]
fn release_frees_all() {
    let mut loads = Loads::default();
    let hop = Hop {
        engine: 0,
        range: LayerRange::new(0, 7),
    };
    let booked = [(5, hop)];
    loads.book(&booked, &WORK);
    loads.book(&booked, &WORK);
    let reported = Load {
        engine: 5,
        memory: 10,
        requests: 3,
        first_hops: 1,
    };
    loads.update(&[reported], 0.0);
    assert!((loads.at(5).requests - 5.0).abs() < 1e-9);
    assert!((loads.at(5).first_hops - 3.0).abs() < 1e-9);
    loads.release(&booked, &WORK);
    loads.release(&booked, &WORK);
    assert!(loads.report().is_empty());
    assert!((loads.at(5).memory - 10.0).abs() < 1e-9);
}

#[test]
fn speed_of_full_engine() {
    let model = model();
    let t4 = model.accelerator("t4").unwrap();
    let loads = Loads::default();
    let seven = Speed::new(&model, t4, LayerRange::new(0, 7), loads.at(1));
    let eight = Speed::new(&model, t4, LayerRange::new(0, 8), loads.at(1));
    // The room is about 41,000 tokens with seven layers and 6,800 with eight.
    assert!(seven.room_mb > 4.0 * eight.room_mb);
    assert!(eight.room_mb > 0.0);
}
