//! Tests of the heartbeats that a following controller passes on.

use std::time::Duration;

use super::{at, leader};
use crate::clock::Time;
use crate::collections::HashMap;
use crate::relay::{FullHeartbeat, HeartbeatDigest, Heartbeats, HeartbeatsReply, Relay, digest};
use crate::roster::{AnnounceOutcome, Announcement, LayerRange, Roster};

const BEAT: Duration = Duration::from_millis(1200);

fn news(host: u8, sequence: u64) -> Announcement {
    leader::announcement(host, sequence, Some((3, 9)))
}

/// As the leader takes a batch.
fn take(roster: &mut Roster, now: Time, batch: Heartbeats) -> HeartbeatsReply {
    let unknown = batch.digests.iter().filter(|p| !roster.refresh(now, p));
    let unknown = unknown.map(|p| p.id.clone()).collect();
    let news = batch
        .full
        .into_iter()
        .filter_map(FullHeartbeat::announcement);
    for news in news {
        roster.announce(now, news);
    }
    HeartbeatsReply { unknown }
}

/// Passes all on that waits; returns who was answered in each batch.
fn pass<W>(relay: &mut Relay<W>, roster: &mut Roster, now: Time) -> Vec<Vec<W>> {
    let mut batches = Vec::new();
    while !relay.is_empty() {
        let batch = relay.batch();
        let count = batch.digests.len() + batch.full.len();
        let taken = take(roster, now, batch);
        batches.push(relay.acknowledge(count, &taken));
    }
    batches
}

#[test]
fn news_whole() {
    let sent = news(1, 7);
    assert_eq!(FullHeartbeat::from(&sent).announcement(), Some(sent));
    assert_eq!(FullHeartbeat::default().announcement(), None);
}

#[test]
fn digest_tells_all_but_sequence() {
    assert_eq!(digest(&news(1, 7)), digest(&news(1, 8)));
    let changes: [fn(&mut Announcement); 6] = [
        |n| n.born += 1,
        |n| n.layers = None,
        |n| n.slots += 1,
        |n| n.kind = None,
        |n| n.domain.push('b'),
        |n| n.address.set_port(1),
    ];
    for change in changes {
        let mut other = news(1, 7);
        change(&mut other);
        assert_ne!(digest(&news(1, 7)), digest(&other));
    }
}

#[test]
fn pass_unknown_in_full() {
    // A follower passes heartbeats on to a leader that has just been elected and
    // knows nothing. It must know all before they are acknowledged, and be told of
    // those that it knows by a few bytes.
    let (mut relay, mut roster) = (Relay::default(), Roster::new(BEAT));
    (1..=3).for_each(|host| relay.push(news(host, 1), host));
    let none: Vec<u8> = Vec::new();
    assert_eq!(pass(&mut relay, &mut roster, at(0)), [none, vec![1, 2, 3]]);
    assert_eq!(roster.list().len(), 3);
    (1..=3).for_each(|host| relay.push(news(host, 2), host));
    assert_eq!(pass(&mut relay, &mut roster, at(1200)), [vec![1, 2, 3]]);
    assert!(roster.list().iter().all(|e| e.heard == at(1200)));
}

#[test]
fn pass_later_waits_for_next() {
    // A heartbeat comes while a batch is under way. The leader hasn't seen it, so
    // it mustn't be acknowledged with the batch.
    let mut relay = Relay::default();
    relay.push(news(1, 1), 1);
    let first = relay.batch();
    relay.push(news(2, 1), 2);
    assert_eq!(first.digests.len(), 1);
    assert_eq!(relay.acknowledge(1, &HeartbeatsReply::default()), [1]);
    assert_eq!(relay.batch().digests, [HeartbeatDigest::from(&news(2, 1))]);
    assert_eq!(relay.abandon(), [2]);
    assert!(relay.is_empty());
}

#[test]
fn pulse_of_change_not_taken() {
    // An engine gives up layers. Taken for the proof of life of what was known,
    // its heartbeat would leave requests going to layers that it refuses.
    let mut roster = Roster::new(BEAT);
    roster.announce(at(0), news(1, 1));
    let mut changed = news(1, 2);
    changed.layers = Some(LayerRange::new(3, 5));
    assert!(!roster.refresh(at(100), &HeartbeatDigest::from(&changed)));
    assert_eq!(roster.get("i-1").unwrap().heard, at(0));
    assert_eq!(roster.announce(at(100), changed), AnnounceOutcome::Known);
}

#[test]
fn pulse_old_or_ended() {
    let mut roster = Roster::new(BEAT);
    roster.announce(at(0), news(1, 4));
    // One that was late on its way proves nothing now.
    assert!(roster.refresh(at(900), &HeartbeatDigest::from(&news(1, 3))));
    assert_eq!(roster.get("i-1").unwrap().heard, at(0));
    // One that has left doesn't come back.
    roster.retire(&"i-1".into(), 0);
    assert!(roster.refresh(at(1000), &HeartbeatDigest::from(&news(1, 5))));
    assert!(roster.get("i-1").is_none());
}

#[test]
fn pulse_ends_lateness() {
    let mut roster = Roster::new(BEAT);
    roster.announce(at(0), news(1, 1));
    roster.tick(at(3_000), &HashMap::default());
    assert!(roster.get("i-1").unwrap().late);
    let before = roster.changes().revision();
    assert!(roster.refresh(at(3_100), &HeartbeatDigest::from(&news(1, 2))));
    assert!(!roster.get("i-1").unwrap().late);
    assert!(roster.changes().revision() > before);
}
