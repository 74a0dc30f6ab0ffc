//! Tests of the heartbeats that a following controller forwards.

use std::time::Duration;

use super::{announce, at, leader};
use crate::clock::Time;
use crate::collections::HashMap;
use crate::relay::{FullHeartbeat, HeartbeatDigest, Heartbeats, HeartbeatsReply, Relay, digest};
use crate::roster::{
    AnnounceOutcome, Announcement, LayerRange, RefreshOutcome, Roster, StaleReason,
};

const HEARTBEAT: Duration = Duration::from_millis(1200);

fn announcement(host: u8, sequence: u64) -> Announcement {
    leader::announcement(host, sequence, Some((3, 9)))
}

/// Applies a batch as the leader does.
fn apply_batch(roster: &mut Roster, now: Time, batch: Heartbeats) -> HeartbeatsReply {
    let mut unknown = |p: &&HeartbeatDigest| roster.refresh(now, p) == RefreshOutcome::Unknown;
    let unknown = batch.digests.iter().filter(&mut unknown);
    let unknown = unknown.map(|p| p.id.clone()).collect();
    let announcements = batch
        .full
        .into_iter()
        .filter_map(FullHeartbeat::announcement);
    for announcement in announcements {
        announce(roster, now, announcement);
    }
    HeartbeatsReply { unknown }
}

/// Forwards all queued heartbeats. Returns the acknowledged senders of each batch.
fn forward<W>(relay: &mut Relay<W>, roster: &mut Roster, now: Time) -> Vec<Vec<W>> {
    let mut batches = Vec::new();
    while !relay.is_empty() {
        let batch = relay.batch();
        let count = batch.digests.len() + batch.full.len();
        let reply = apply_batch(roster, now, batch);
        batches.push(relay.acknowledge(count, &reply));
    }
    batches
}

#[test]
fn full_heartbeat_round_trip() {
    let sent = announcement(1, 7);
    assert_eq!(FullHeartbeat::from(&sent).announcement(), Some(sent));
    assert_eq!(FullHeartbeat::default().announcement(), None);
}

#[test]
fn digest_ignores_sequence_only() {
    assert_eq!(digest(&announcement(1, 7)), digest(&announcement(1, 8)));
    let changes: [fn(&mut Announcement); 6] = [
        |n| n.born += 1,
        |n| n.layers = None,
        |n| n.slots += 1,
        |n| n.kind = None,
        |n| n.domain.push('b'),
        |n| n.address.set_port(1),
    ];
    for change in changes {
        let mut other = announcement(1, 7);
        change(&mut other);
        assert_ne!(digest(&announcement(1, 7)), digest(&other));
    }
}

#[test]
fn forward_unknown_in_full() {
    // A new leader knows no upstreams: it must get their full announcements before the heartbeats
    // are acknowledged. Later, digests are enough.
    let (mut relay, mut roster) = (Relay::default(), Roster::new(HEARTBEAT));
    (1..=3).for_each(|host| relay.push(announcement(host, 1), host));
    let none: Vec<u8> = Vec::new();
    assert_eq!(
        forward(&mut relay, &mut roster, at(0)),
        [none, vec![1, 2, 3]]
    );
    assert_eq!(roster.list().len(), 3);
    (1..=3).for_each(|host| relay.push(announcement(host, 2), host));
    assert_eq!(forward(&mut relay, &mut roster, at(1200)), [vec![1, 2, 3]]);
    assert!(roster.list().iter().all(|e| e.last_heartbeat == at(1200)));
}

#[test]
fn forward_later_in_next_batch() {
    // A heartbeat that arrives while a batch is in flight must not be acknowledged with it, since
    // the leader has not received it.
    let mut relay = Relay::default();
    relay.push(announcement(1, 1), 1);
    let first = relay.batch();
    relay.push(announcement(2, 1), 2);
    assert_eq!(first.digests.len(), 1);
    assert_eq!(relay.acknowledge(1, &HeartbeatsReply::default()), [1]);
    assert_eq!(
        relay.batch().digests,
        [HeartbeatDigest::from(&announcement(2, 1))]
    );
    assert_eq!(relay.abandon(), [2]);
    assert!(relay.is_empty());
}

#[test]
fn refresh_changed() {
    // An engine releases layers. If the digest of its changed announcement matched the old one,
    // requests would still be sent to layers that it refuses.
    let mut roster = Roster::new(HEARTBEAT);
    announce(&mut roster, at(0), announcement(1, 1));
    let mut changed = announcement(1, 2);
    changed.layers = Some(LayerRange::new(3, 5));
    let outcome = roster.refresh(at(100), &HeartbeatDigest::from(&changed));
    assert_eq!(outcome, RefreshOutcome::Unknown);
    assert_eq!(roster.get("i-1").unwrap().last_heartbeat, at(0));
    assert_eq!(
        announce(&mut roster, at(100), changed),
        AnnounceOutcome::Known
    );
}

#[test]
fn refresh_old_or_retired() {
    let mut roster = Roster::new(HEARTBEAT);
    announce(&mut roster, at(0), announcement(1, 4));
    // A delayed heartbeat does not show that the upstream is live now.
    let outcome = roster.refresh(at(900), &HeartbeatDigest::from(&announcement(1, 3)));
    assert_eq!(outcome, RefreshOutcome::Stale(StaleReason::Older));
    assert_eq!(roster.get("i-1").unwrap().last_heartbeat, at(0));
    // An upstream that has left does not return.
    roster.retire(&"i-1".into(), 0);
    let outcome = roster.refresh(at(1000), &HeartbeatDigest::from(&announcement(1, 5)));
    assert_eq!(outcome, RefreshOutcome::Stale(StaleReason::Retired));
    assert!(roster.get("i-1").is_none());
}

#[test]
fn refresh_late() {
    let mut roster = Roster::new(HEARTBEAT);
    announce(&mut roster, at(0), announcement(1, 1));
    roster.tick(at(3_000), &HashMap::default());
    assert!(roster.get("i-1").unwrap().late);
    let before = roster.changes().revision();
    let outcome = roster.refresh(at(3_100), &HeartbeatDigest::from(&announcement(1, 2)));
    assert_eq!(outcome, RefreshOutcome::Applied);
    assert!(!roster.get("i-1").unwrap().late);
    assert!(roster.changes().revision() > before);
}
