//! Tests of [`crate::entry::view`].

use std::time::Duration;

use rstest::rstest;

use super::platform::CONFIGURATION;
use super::{DIRECT, at, handle_sync};
use crate::clock::Time;
use crate::controller::leader::LeaderState;
use crate::entry::view::View;
use crate::register::{Departed, Register};
use crate::sync::{RosterDelta, SyncReply, SyncRequest, UpstreamRecord, pack, unpack};

/// Window of the limits.
const WINDOW: Duration = Duration::from_secs(10);

const LEASE: Duration = Duration::from_millis(3500);

fn state(version: u64) -> SyncReply {
    let text = CONFIGURATION.replace("\"version\":7", &format!("\"version\":{version}"));
    SyncReply {
        version,
        body: Some(pack(text.as_bytes())),
        entries: 3,
        ..SyncReply::default()
    }
}

fn roster(term: u64, revision: u64, complete: bool, ids: &[&str]) -> RosterDelta {
    let upstream = |(i, id): (usize, &&str)| UpstreamRecord {
        id: (*id).to_owned(),
        service: "models".to_owned(),
        address: i as u64 + 1 + 100 * u64::from(id.as_bytes()[0]),
        ..UpstreamRecord::default()
    };
    RosterDelta {
        source: term,
        revision,
        complete,
        upstreams: ids.iter().enumerate().map(upstream).collect(),
        ..RosterDelta::default()
    }
}

fn with(roster: RosterDelta) -> SyncReply {
    SyncReply {
        term: roster.source,
        roster: Some(roster),
        ..state(7)
    }
}

/// Applies a response sent at `sent` if the view finds it usable. Returns whether it did.
fn apply(view: &mut View, sent: Time, reply: SyncReply) -> bool {
    let current = view.check(reply);
    let usable = current.is_some();
    if let Some(current) = current {
        view.apply(sent, current, LEASE);
    }
    usable
}

fn ids(view: &View) -> Vec<&str> {
    let upstreams = view.services.get("models").map_or(&[][..], Vec::as_slice);
    let mut ids: Vec<_> = upstreams.iter().map(|u| &*u.id).collect();
    ids.sort_unstable();
    ids
}

#[test]
fn apply_lease_from_sending() {
    // The response comes late, and the leader's confirmation was already old. A key may be
    // revoked meanwhile, so the lease counts from the confirmation.
    let mut view = View::new(WINDOW);
    let state = SyncReply {
        age: 500_000,
        ..state(7)
    };
    assert!(apply(&mut view, at(1000), state));
    assert!(view.is_confirmed(at(3999)));
    assert!(!view.is_confirmed(at(4000)));
}

#[test]
fn apply_never_back() {
    let mut view = View::new(WINDOW);
    apply(&mut view, at(0), state(9));
    assert!(!apply(&mut view, at(100), state(8)));
    assert_eq!(view.version(), 9);
    assert!(
        !view.is_confirmed(at(3550)),
        "an old leader must not extend the lease"
    );
}

#[test]
fn apply_undecodable() {
    let mut view = View::new(WINDOW);
    apply(&mut view, at(0), state(7));
    let broken = SyncReply {
        body: Some("{".into()),
        ..state(8)
    };
    assert!(!apply(&mut view, at(1000), broken));
    assert_eq!(view.version(), 7);
}

#[rstest]
#[case::newer_body(9, 8)]
#[case::older_body(9, 3)]
fn apply_other_body(#[case] version: u64, #[case] body: u64) {
    // Guards against a rejected response whose configuration is in force: an older one would
    // restore revoked keys for the rest of the lease.
    let mut view = View::new(WINDOW);
    assert!(apply(&mut view, at(0), state(7)));
    let other = SyncReply {
        version,
        ..state(body)
    };
    assert!(!apply(&mut view, at(100), other));
    assert_eq!(view.version(), 7);
    assert!(view.is_confirmed(at(200)));
}

#[test]
fn apply_new_leader_keeps() {
    // A new leader knows only some engines when it is first polled. The others still serve: if
    // they were dropped, most requests would be refused for seconds.
    let mut view = View::new(WINDOW);
    apply(&mut view, at(0), with(roster(1, 5, true, &["a", "b", "c"])));
    let mut partial = roster(2, 2, false, &["a"]);
    partial.departed.push(Departed {
        id: "b".to_owned(),
        born: 0,
    });
    apply(&mut view, at(100), with(partial));
    assert_eq!(ids(&view), ["a", "c"]);
    let mut rest = roster(2, 3, true, &[]);
    rest.since = 2;
    apply(&mut view, at(3000), with(rest));
    assert_eq!(ids(&view), ["a"]);
}

#[test]
fn apply_part_by_part() {
    // A new leader reports a large fleet in several responses. Upstreams that it hasn't reported
    // yet still serve, and those of earlier parts stay when the last part doesn't name them.
    let mut view = View::new(WINDOW);
    apply(&mut view, at(0), with(roster(1, 9, true, &["a", "b", "c"])));
    let mut first = roster(2, 1, false, &["a"]);
    first.more = true;
    assert!(apply(&mut view, at(100), with(first)));
    assert!(view.more_after().is_some());
    assert_eq!(ids(&view), ["a", "b", "c"]);
    let mut last = roster(2, 2, true, &["b"]);
    last.since = 1;
    assert!(apply(&mut view, at(200), with(last)));
    assert_eq!(ids(&view), ["a", "b"]);
    assert!(view.is_complete() && view.more_after().is_none());
}

#[test]
fn apply_changes_only() {
    // One engine leaves and one joins: the response names only these two, and the others stay.
    let mut view = View::new(WINDOW);
    apply(&mut view, at(0), with(roster(1, 3, true, &["a", "b"])));
    let mut change = roster(1, 5, true, &["c"]);
    change.since = 3;
    change.removed.push("a".to_owned());
    apply(&mut view, at(100), with(change));
    assert_eq!(ids(&view), ["b", "c"]);
}

#[test]
fn apply_out_of_sequence() {
    // A part of the roster is lost in transit. Applying the next one would skip its changes.
    let mut view = View::new(WINDOW);
    apply(&mut view, at(0), with(roster(1, 3, true, &["a"])));
    let mut change = roster(1, 6, true, &["c"]);
    change.since = 5;
    assert!(!apply(&mut view, at(100), with(change)));
    assert_eq!((ids(&view), view.roster()), (vec!["a"], (1, 3)));
}

#[test]
fn apply_deposed_leader() {
    let mut view = View::new(WINDOW);
    apply(&mut view, at(0), with(roster(3, 2, true, &["a"])));
    assert!(!apply(
        &mut view,
        at(100),
        with(roster(2, 90, true, &["a", "b"]))
    ));
    let without_roster = SyncReply {
        term: 2,
        ..state(7)
    };
    assert!(!apply(&mut view, at(200), without_roster));
    assert_eq!(ids(&view), ["a"]);
}

#[test]
fn pack_many_routes() {
    // A configuration grows by a thousand routes on a fleet of 92 machines. Uncompressed, it
    // reached some instances after the time by which it must be in force, and they refused
    // requests to the new routes.
    let route =
        |i| format!("{{\"name\":\"r-{i}\",\"host\":\"a.example\",\"pathPrefix\":\"/p{i}/\"}}");
    let text: Vec<String> = (0..1280).map(route).collect();
    let text = text.join(",");
    let packed = pack(text.as_bytes());
    assert!(
        packed.len() * 4 < text.len(),
        "{} of {}",
        packed.len(),
        text.len()
    );
    assert_eq!(unpack(&packed).unwrap(), text.as_bytes());
    assert_eq!(unpack(b"damaged"), None);
}

#[test]
fn entries_counted_late() {
    // All processes are killed. The first instance that polled the new leader was told that it
    // was the only one and took all the room of the engines, and so did each of the next. Until
    // the leader has counted the instances, many are assumed.
    let (register, _machine) = Register::new();
    let mut leader = LeaderState::new(LEASE, DIRECT);
    leader.enter_term(at(0), 1, &register);
    let ask = |leader: &mut LeaderState, now, instance| {
        let ask = SyncRequest {
            instance,
            ..SyncRequest::default()
        };
        handle_sync(leader, at(now), ask, &register).unwrap()
    };
    let mut view = View::new(WINDOW);
    assert!(apply(&mut view, at(10), ask(&mut leader, 10, 1)));
    assert_eq!(view.counted_entries(), None);
    assert!(view.entry_count() > 50);
    ask(&mut leader, 60, 2);
    ask(&mut leader, 90, 3);
    assert!(apply(&mut view, at(400), ask(&mut leader, 400, 1)));
    assert_eq!((view.counted_entries(), view.entry_count()), (Some(3), 3));
    // The next leader doesn't know most of them yet.
    leader.enter_term(at(500), 2, &register);
    assert!(apply(&mut view, at(510), ask(&mut leader, 510, 1)));
    assert_eq!(view.entry_count(), 3);
}

/// Guards against dividing the retry limit by the count of a new leader that only a few instances
/// have polled: each of those would use the part of several.
#[test]
fn entry_count_new_leader() {
    let counted = |term, entries| SyncReply {
        entries_known: true,
        entries,
        ..with(roster(term, 1, true, &[]))
    };
    let mut view = View::new(WINDOW);
    assert!(apply(&mut view, at(0), counted(1, 73)));
    assert!(apply(&mut view, at(1_000), counted(2, 10)));
    assert_eq!(view.entry_count(), 73);
    assert!(apply(&mut view, at(10_900), counted(2, 10)));
    assert_eq!(view.entry_count(), 73);
    assert!(apply(&mut view, at(11_100), counted(2, 10)));
    assert_eq!(view.entry_count(), 10);
}
