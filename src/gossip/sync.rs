//! Anti-entropy sync of two tables in steps: a hash over all entries, hashes over
//! buckets, then the keys of a few differing buckets. Equal tables cost one short
//! datagram.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::collections::HashMap;
use crate::gossip::wire::{BucketHashes, BucketListing, RootHashes};
use crate::membership::Membership;
use crate::upstream::Registry;

/// Number of buckets per table.
const BUCKET_COUNT: usize = 64;

/// Maximum number of differing buckets listed per table in one sync. The rest is
/// left to the next, so that a new instance doesn't receive everything at once.
const MAX_LISTED_BUCKETS: usize = 8;

/// Maximum number of keys in the listing of a bucket; they fit in a datagram.
const MAX_LISTED_KEYS: usize = 80;

/// Hashes over all entries of each table.
pub(crate) fn root_hashes(now: Time, members: &Membership, registry: &Registry) -> RootHashes {
    let root = |hashes: &mut dyn Iterator<Item = (u64, u64)>| hashes.fold(0, |all, (_, h)| all ^ h);
    RootHashes {
        members: root(&mut members.hashes(now)),
        upstreams: root(&mut registry.hashes(now)),
    }
}

/// Bucket hashes of the tables whose root hash differs, or `None` if both are
/// equal.
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

/// Listings of some differing buckets, searched from bucket `offset` on.
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
    let member_buckets = different(&bucket_hashes(members.hashes(now)), &theirs.members);
    let upstream_buckets = different(&bucket_hashes(registry.hashes(now)), &theirs.upstreams);
    let member_listings = member_buckets
        .into_iter()
        .map(|i| listing(false, i, members.hashes(now)));
    let upstream_listings = upstream_buckets
        .into_iter()
        .map(|i| listing(true, i, registry.hashes(now)));
    member_listings.chain(upstream_listings).collect()
}

/// Difference between a received listing and the local table: keys to send with
/// full records, keys whose upstream records may omit the metadata, and keys to
/// request.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Difference {
    pub(crate) missing: Vec<u64>,
    pub(crate) changed: Vec<u64>,
    pub(crate) wanted: Vec<u64>,
}

/// Compares a received listing with the local entries.
pub(crate) fn difference(
    theirs: &BucketListing,
    own: impl Iterator<Item = (u64, u64)>,
) -> Difference {
    let bucket = theirs.bucket as usize;
    let own: BTreeMap<u64, u32> = own
        .filter(|(key, _)| bucket_of(*key) == bucket)
        .map(|(key, hash)| (key, short_hash(hash)))
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
        hashes: entries.iter().map(|(_, hash)| short_hash(*hash)).collect(),
    }
}

fn bucket_hashes(hashes: impl Iterator<Item = (u64, u64)>) -> Vec<u32> {
    let mut buckets = vec![0; BUCKET_COUNT];
    for (key, hash) in hashes {
        buckets[bucket_of(key)] ^= short_hash(hash);
    }
    buckets
}

/// Keys are digests or small integers; the multiplication distributes both evenly.
fn bucket_of(key: u64) -> usize {
    let spread = key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    usize::try_from(spread).unwrap_or(0) % BUCKET_COUNT
}

fn short_hash(hash: u64) -> u32 {
    (hash >> 32) as u32
}
