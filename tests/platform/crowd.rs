//! Crowds: the platform hands most new connections to one instance.

use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

use rstest::rstest;

use crate::deployment::{Deployment, KEY};
use crate::engine::expected_stream;

/// Time after the crowd began from which requests must be served as before.
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Time for which requests are counted, before the crowd and within it.
const MEASURE_TIME: Duration = Duration::from_secs(5);

const CALLERS: usize = 48;

/// Of this many connections, one goes to another instance than the crowded one.
const OTHERS: usize = 10;

/// Phases of a run, of which two are counted.
const BEFORE: u8 = 1;
const CROWDED: u8 = 3;

/// First attempts that an instance has read, and those of them that it served.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    read: usize,
    served: usize,
}

impl Tally {
    fn add(self, other: Self) -> Self {
        Self {
            read: self.read + other.read,
            served: self.served + other.served,
        }
    }
}

/// Sends requests on new connections until `done`; while `phase` says so, most of them to the first
/// instance. Returns the tallies before the crowd and within it.
fn send(deployment: &Deployment, caller: usize, phase: &AtomicU8, done: &AtomicBool) -> [Tally; 2] {
    let mut tallies = [Tally::default(); 2];
    for number in 0.. {
        if done.load(Ordering::Relaxed) {
            break;
        }
        let now = phase.load(Ordering::Relaxed);
        let spread = (caller * 31 + number) % deployment.entries.len();
        let crowds = now > BEFORE && !(caller + number).is_multiple_of(OTHERS);
        let entry = if crowds { 0 } else { spread };
        let path = ["/letters/x", "/lookups/x"][usize::from(number.is_multiple_of(5))];
        let attempt = format!("crowd-{caller}-{number}");
        let (status, body) = deployment.request(entry, path, &attempt, KEY);
        let whole = path != "/letters/x" || body == expected_stream();
        if status != 0 && !(status == 200 && whole) {
            eprintln!("{attempt} in phase {now} not served: {status} {body}");
        }
        let tally = match now {
            BEFORE => &mut tallies[0],
            CROWDED => &mut tallies[1],
            _ => continue,
        };
        // A connection that is refused or closed unread isn't counted: its caller tries elsewhere.
        tally.read += usize::from(status != 0);
        tally.served += usize::from(status == 200 && whole);
    }
    tallies
}

/// Guards against an instance that takes in a crowd of new connections and refuses it by its own
/// part of the room, while the engines have room.
#[rstest]
#[case::of_nine(9)]
#[case::of_hundreds(300)]
fn crowd_at_one_instance_served(#[case] entries: usize) {
    let deployment = Deployment::with_size(entries, &[6, 6]);
    let (phase, done) = (AtomicU8::new(0), AtomicBool::new(false));
    let [before, crowded] = thread::scope(|scope| {
        let (deployment, phase, done) = (&deployment, &phase, &done);
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| scope.spawn(move || send(deployment, caller, phase, done)))
            .collect();
        for wait in [CONTACT_TIME, MEASURE_TIME, CONTACT_TIME, MEASURE_TIME] {
            thread::sleep(wait);
            phase.fetch_add(1, Ordering::Relaxed);
        }
        done.store(true, Ordering::Relaxed);
        let tallies = callers.into_iter().map(|c| c.join().unwrap());
        let zero = [Tally::default(); 2];
        tallies.fold(zero, |[a, b], [c, d]| [a.add(c), b.add(d)])
    });
    assert!(
        before.read >= 100 && crowded.read >= 100,
        "{before:?}, {crowded:?}"
    );
    let share = |t: Tally| t.served as f64 / t.read as f64;
    assert!(
        share(crowded) >= 0.75 * share(before),
        "before {before:?}, crowded {crowded:?}"
    );
    assert!(
        crowded.served * 2 >= before.served,
        "before {before:?}, crowded {crowded:?}"
    );
    eprintln!("before {before:?}, crowded {crowded:?}");
}
