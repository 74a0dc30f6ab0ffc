//! Room on the engines replayed before hundreds of instances.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::overload::{ENGINE, LAYERS, USUAL, USUAL_TOKENS, candidate, few, work};
use crate::decide::load::{Loads, begun_takes_turns};
use crate::decide::path::{Hop, Start, Work, choose};
use crate::roster::LayerRange;

const INSTANCES: u32 = 295;

const HOP: Hop = Hop {
    engine: 0,
    range: LayerRange {
        first: 0,
        end: LAYERS,
    },
};

/// A usual request.
fn usual() -> Work {
    Work {
        turns: true,
        ..work(USUAL_TOKENS)
    }
}

/// Of the requests that ask at each instance between two reports, those that find
/// its turn at an engine with `room` for so many.
fn round(asking: &[u32], room: f64, rng: &mut ChaCha8Rng) -> Vec<u32> {
    let all: u32 = asking.iter().sum();
    let place = |own: &u32| {
        let mut placed = 0;
        let mut loads = Loads::default();
        loads.demand.learn(None, 0);
        (0..*own).for_each(|_| loads.demand.ask());
        loads.learn(&[], rng.random());
        loads.demand.learn(Some(all), 0);
        assert_eq!(loads.demand.own(), *own);
        for _ in 0..*own {
            let left = room * USUAL - loads.at(ENGINE).memory;
            if loads.may_add(ENGINE, left, USUAL, few(INSTANCES)) {
                loads.enter(&[(ENGINE, HOP)], &usual());
                placed += 1;
            }
        }
        placed
    };
    asking.iter().map(place).collect()
}

#[test]
fn sharers_quiet_fleet() {
    // 350 requests a second come to 295 instances, and a report each quarter of a
    // second: nine in ten instances hold one request or none between two reports.
    // An engine with room for seventy was divided into 295 parts, so two in three
    // requests found no turn, waited for 0.47 s and were late or refused while
    // the room stayed free.
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (mut asked, mut placed) = (0, 0);
    for _ in 0..40 {
        let draw = |rng: &mut ChaCha8Rng| u32::from(rng.random::<f64>() < 0.3);
        let asking: Vec<u32> = (0..INSTANCES).map(|_| draw(&mut rng)).collect();
        let found: u32 = round(&asking, 70.0, &mut rng).iter().sum();
        asked += asking.iter().sum::<u32>();
        placed += found;
        // Beside what others place meanwhile the engine must not be overrun.
        assert!(found <= 105, "{found} to room for 70");
    }
    assert!(placed * 100 > asked * 95, "{placed} of {asked}");
}

#[test]
fn sharers_shift() {
    // All callers of one of five domains move to another: 59 instances hold two
    // thirds of a request between two reports where they held a third, and as many
    // hold none. By equal parts the first would lack turns that the others don't
    // need. Waiting for the next report, 250 ms, leaves a request on time; for the
    // one after, it is late: one in a hundred may be.
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let (mut asked, mut late) = (0, 0);
    let mut waiting = vec![0; INSTANCES as usize];
    for _ in 0..40 {
        let mut fresh = vec![0; INSTANCES as usize];
        for (i, own) in fresh.iter_mut().enumerate().skip(59) {
            let tries = if i < 118 { 2 } else { 1 };
            *own = (0..tries)
                .map(|_| u32::from(rng.random::<f64>() < 0.3))
                .sum();
        }
        let asking: Vec<u32> = fresh.iter().zip(&waiting).map(|(f, w)| f + w).collect();
        let placed = round(&asking, 70.0, &mut rng);
        for i in 0..INSTANCES as usize {
            asked += fresh[i];
            late += waiting[i].saturating_sub(placed[i]);
            waiting[i] = fresh[i].min(asking[i] - placed[i]);
        }
    }
    assert!(late * 100 < asked, "{late} of {asked}");
}

#[test]
fn sharers_burst() {
    // Three requests wait at each instance for an engine with room for forty.
    // However many ask, no more instances than there are share the room.
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let asking = [3; INSTANCES as usize];
    for _ in 0..40 {
        let mut open = 0;
        for _ in 0..INSTANCES {
            let mut loads = Loads::default();
            loads.learn(&[], rng.random());
            loads.demand.learn(Some(asking.iter().sum()), 3);
            open += u32::from(loads.may_add(ENGINE, 40.0 * USUAL, USUAL, few(INSTANCES)));
        }
        assert!((30..=95).contains(&open), "{open} of {INSTANCES}");
    }
}

#[test]
fn sharers_unknown() {
    // A new leader hasn't heard how many requests ask: each may be one of many.
    let mut loads = Loads::default();
    loads.learn(&[], 0.5);
    assert!(!loads.may_add(ENGINE, 40.0 * USUAL, USUAL, few(INSTANCES)));
}

#[test]
fn learn_waiting_ask_again() {
    let mut loads = Loads::default();
    loads.demand.learn(Some(9), 0);
    loads.demand.ask();
    loads.demand.learn(Some(9), 2);
    assert_eq!(loads.demand.own(), 1);
    loads.demand.ask();
    loads.demand.learn(Some(9), 0);
    assert_eq!(loads.demand.own(), 3);
}

/// Whether an instance finds room for a stream that goes on, after it waited.
fn goes_on(loads: &mut Loads, instances: u32, room: f64, waited: f64) -> bool {
    let work = Work {
        turns: begun_takes_turns(false, waited),
        ..usual()
    };
    let room_mb = room * USUAL - loads.at(ENGINE).memory;
    let open = loads.may_add(ENGINE, room_mb, USUAL, few(instances));
    let candidate = candidate(room * USUAL, room_mb, open);
    let found = choose(LAYERS, Start::Caller, &[candidate], &work, |_| 1.0).is_ok();
    if found {
        loads.enter(&[(ENGINE, HOP)], &work);
    }
    found
}

#[test]
fn begun_herd_takes_turns() {
    // All processes are killed. Four streams at each of 87 instances were cut off
    // and come back in the same tenth of a second, as soon as one pipeline is known
    // again. A stream that had begun didn't wait for its instance's turn: all were
    // sent there, the engines refused 347 of 529, and for half of these callers
    // that was the last try.
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut sent = 0;
    for _ in 0..87 {
        let mut loads = Loads::default();
        loads.learn(&[], rng.random());
        let found = (0..4).filter(|_| goes_on(&mut loads, 87, 100.0, 0.0));
        sent += found.count();
    }
    assert!((80..=180).contains(&sent), "{sent} to room for 100");
}

#[test]
fn begun_goes_first_in_the_end() {
    // Its caller has a part of the answer: while others wait it isn't given up.
    let mut loads = Loads::default();
    assert!(!goes_on(&mut loads, 295, 100.0, 0.0));
    assert!(goes_on(&mut loads, 295, 100.0, 0.9));
    // But while all come back at once, each such exemption is one of hundreds.
    assert!(begun_takes_turns(true, 0.9));
}
