//! Comparison of two tables in steps: a hash over all, hashes over buckets,
//! then the keys of a few buckets that differ. Tables that are the same cost
//! one short datagram.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::collections::HashMap;
use crate::gossip::wire::{BucketHashes, BucketListing, RootHashes};
use crate::membership::Membership;
use crate::upstream::Registry;

/// Buckets of each table.
const BUCKET_COUNT: usize = 64;

/// Most buckets that one comparison goes into. The rest waits for the next,
/// so that a newcomer doesn't get all at once.
const MAX_LISTED_BUCKETS: usize = 8;

/// Most keys listed of one bucket; they fit in a datagram.
const MAX_LISTED_KEYS: usize = 80;

/// Hash over all entries.
pub(crate) fn root_hashes(now: Time, members: &Membership, registry: &Registry) -> RootHashes {
    let root = |hashes: &mut dyn Iterator<Item = (u64, u64)>| hashes.fold(0, |all, (_, h)| all ^ h);
    RootHashes {
        members: root(&mut members.hashes(now)),
        upstreams: root(&mut registry.hashes(now)),
    }
}

/// Hashes over the buckets of the tables whose root is another here, or
/// `None` when both are the same.
pub(crate) fn differing_buckets(
    now: Time,
    theirs: &RootHashes,
    members: &Membership,
    registry: &Registry,
) -> Option<BucketHashes> {
    let own = root_hashes(now, members, registry);
    let mut buckets = BucketHashes::default();
    if own.members != theirs.members {
        buckets.members = bucket_hashes(members.hashes(now));
    }
    if own.upstreams != theirs.upstreams {
        buckets.upstreams = bucket_hashes(registry.hashes(now));
    }
    (buckets != BucketHashes::default()).then_some(buckets)
}

/// Listings of some buckets that differ, from one at `offset` on.
pub(crate) fn listings(
    now: Time,
    theirs: &BucketHashes,
    offset: usize,
    members: &Membership,
    registry: &Registry,
) -> Vec<BucketListing> {
    let different = |own: &[u32], theirs: &[u32]| -> Vec<usize> {
        if theirs.len() != BUCKET_COUNT {
            return Vec::new();
        }
        let rotated = (0..BUCKET_COUNT).map(|i| (i + offset) % BUCKET_COUNT);
        let found = rotated.filter(|i| own[*i] != theirs[*i]);
        found.take(MAX_LISTED_BUCKETS).collect()
    };
    let in_members = different(&bucket_hashes(members.hashes(now)), &theirs.members);
    let in_upstreams = different(&bucket_hashes(registry.hashes(now)), &theirs.upstreams);
    let of_members = in_members
        .into_iter()
        .map(|i| listing(false, i, members.hashes(now)));
    let of_upstreams = in_upstreams
        .into_iter()
        .map(|i| listing(true, i, registry.hashes(now)));
    of_members.chain(of_upstreams).collect()
}

/// What differs from a listing: keys to send in full, keys to send without
/// what seldom changes, and keys to ask for.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Difference {
    pub(crate) missing: Vec<u64>,
    pub(crate) changed: Vec<u64>,
    pub(crate) wanted: Vec<u64>,
}

/// Compares a listing with the entries here.
pub(crate) fn difference(
    theirs: &BucketListing,
    own: impl Iterator<Item = (u64, u64)>,
) -> Difference {
    let bucket = theirs.bucket as usize;
    let own: BTreeMap<u64, u32> = own
        .filter(|(key, _)| bucket_of(*key) == bucket)
        .map(|(key, hash)| (key, truncate(hash)))
        .collect();
    let listed: HashMap<u64, u32> = theirs
        .keys
        .iter()
        .copied()
        .zip(theirs.hashes.iter().copied())
        .collect();
    let mut difference = Difference::default();
    for (key, hash) in &own {
        match listed.get(key) {
            None => difference.missing.push(*key),
            Some(theirs) if theirs != hash => difference.changed.push(*key),
            Some(_) => {}
        }
    }
    let differs = |key: &u64| own.get(key) != listed.get(key);
    difference.wanted = theirs.keys.iter().copied().filter(differs).collect();
    difference
}

fn listing(
    upstreams: bool,
    bucket: usize,
    hashes: impl Iterator<Item = (u64, u64)>,
) -> BucketListing {
    let mut entries: Vec<_> = hashes
        .filter(|(key, _)| bucket_of(*key) == bucket)
        .collect();
    entries.sort_unstable();
    entries.truncate(MAX_LISTED_KEYS);
    BucketListing {
        upstreams,
        bucket: u32::try_from(bucket).unwrap_or(0),
        keys: entries.iter().map(|(key, _)| *key).collect(),
        hashes: entries.iter().map(|(_, hash)| truncate(*hash)).collect(),
    }
}

fn bucket_hashes(hashes: impl Iterator<Item = (u64, u64)>) -> Vec<u32> {
    let mut buckets = vec![0; BUCKET_COUNT];
    for (key, hash) in hashes {
        buckets[bucket_of(key)] ^= truncate(hash);
    }
    buckets
}

/// Keys are digests or small numbers; the multiplication spreads both.
fn bucket_of(key: u64) -> usize {
    let spread = key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    usize::try_from(spread).unwrap_or(0) % BUCKET_COUNT
}

fn truncate(hash: u64) -> u32 {
    (hash >> 32) as u32
}
