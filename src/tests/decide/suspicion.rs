//! Dead engines at hundreds of instances, from the first refusal until the leader
//! gives them up.

use std::time::Duration;

use super::super::{at, leader};
use crate::collections::HashMap;
use crate::decide::health::{Health, Standing, may_be_full};
use crate::decide::silence::{Patience, Step};
use crate::entry::view::Upstream;
use crate::roster::{Announcement, Roster};
use crate::sync::UpstreamRecord;

const BEAT: Duration = Duration::from_millis(1200);

#[test]
fn refused_with_room() {
    // An engine in the middle of many paths dies. The engine before it refuses in
    // its name at once, as one that is full does, so each instance left it out for
    // 0.2 s only, and asked again after 0.2, 0.6 and 1.4 s: 550 refusals by four
    // dead engines in 2 s, 350 callers without a retry left. It was half empty.
    assert!(!may_be_full(Some(0.5)));
    assert!(may_be_full(Some(0.9)));
    assert!(may_be_full(None));
    let mut health = Health::default();
    health.silent(at(0), 1);
    for now in (200..1500).step_by(100) {
        assert_eq!(health.standing(at(now), 1, false), Standing::Dead);
    }
}

fn announcement(sequence: u64) -> Announcement {
    leader::announcement(1, sequence, Some((0, 9)))
}

fn told(roster: &Roster) -> bool {
    let entry = roster.get("i-1").unwrap();
    Upstream::from(&UpstreamRecord::new(entry, None)).suspected
}

#[test]
fn suspected_told_at_once() {
    // Each of 295 instances had to find out by a request of its own that an engine
    // is dead, for the 2.4 s until its heartbeats were missed. What several of them
    // found is told to the others.
    let mut roster = Roster::new(BEAT);
    roster.announce(at(0), announcement(1));
    let witnesses = |count: usize| -> HashMap<_, _> {
        [(announcement(1).address, count)].into_iter().collect()
    };
    roster.tick(at(400), &witnesses(3));
    assert!(!told(&roster));
    let before = roster.changes().revision();
    roster.tick(at(500), &witnesses(4));
    assert!(told(&roster));
    assert!(roster.changes().revision() > before);
    // It lives: its next heartbeat speaks for it.
    roster.announce(at(1200), announcement(2));
    roster.tick(at(1250), &witnesses(4));
    assert!(!told(&roster));
    // What nobody suspects any more may be tried again.
    roster.tick(at(1800), &witnesses(4));
    assert!(told(&roster));
    roster.tick(at(2000), &witnesses(0));
    assert!(!told(&roster));
}

#[test]
fn standing_told() {
    // Where nothing else holds a layer, an engine that others suspect is used.
    assert_eq!(Standing::Sound.told(true), Standing::Failing);
    assert_eq!(Standing::Sound.told(false), Standing::Sound);
    assert_eq!(Standing::Dead.told(true), Standing::Dead);
}

/// Steps of an attempt that stays silent, with the milliseconds of each.
fn steps(mut patience: Patience, known_at: Option<u64>) -> Vec<(u64, Step)> {
    let mut waited = Duration::ZERO;
    let mut steps = Vec::new();
    while let Some(wait) = patience.wait(waited) {
        waited += wait;
        let now = waited.as_millis() as u64;
        let step = patience.step(waited);
        if step == Step::Avoid && known_at.is_some_and(|at| at <= now) {
            patience.avoided();
        }
        steps.push((now, step));
    }
    steps
}

#[test]
fn patience_known_dead() {
    // An engine dies under a stream. 120 ms later a new request is refused in its
    // name. The stream went on waiting until 260 ms, and its caller saw a pause of
    // over 300 where 200 are allowed.
    let patience = Patience::new(Duration::from_millis(1000), true);
    let led = steps(patience, Some(120));
    assert_eq!(led[..2], [(100, Step::Avoid), (140, Step::Avoid)]);
    assert_eq!(led[2], (260, Step::Ask));
    assert_eq!(led.last(), Some(&(1000, Step::Ask)));
}

#[test]
fn patience_nothing_known() {
    // Its first engine is asked as soon as its report can tell.
    let patience = Patience::new(Duration::from_millis(500), true);
    let asked: Vec<_> = steps(patience, None);
    let first = asked.iter().find(|s| s.1 == Step::Ask);
    assert_eq!(first, Some(&(260, Step::Ask)));
}

#[test]
fn patience_not_helped() {
    let patience = Patience::new(Duration::from_millis(240), false);
    assert_eq!(steps(patience, None), [(240, Step::Wait)]);
}

#[test]
fn patience_short() {
    // What is awaited for less than the first engine needs to tell is still asked.
    let patience = Patience::new(Duration::from_millis(150), true);
    let steps = steps(patience, None);
    assert_eq!(steps.last(), Some(&(150, Step::Ask)));
}
