//! Tests of [`crate::store`].

use bytes::Bytes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use super::simulation::disk::SimDisk;
use crate::replica::{Entry, HardState, Kind, KnownMembers, Persist, Snapshot};
use crate::store::{Contents, Creation, Store, StoreError};

/// Instances that found the groups.
const FOUNDERS: &[u64] = &[1, 2, 3];

fn open(disk: &SimDisk) -> Result<(Store, Contents), StoreError> {
    open_with(disk, FOUNDERS)
}

fn open_with(disk: &SimDisk, founders: &[u64]) -> Result<(Store, Contents), StoreError> {
    let creation = Creation { store: 7, founders };
    Store::open(Box::new(disk.clone()), creation, 1)
}

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: 1,
        kind: Kind::Command as i32,
        data: Bytes::from(vec![7; 40]),
    }
}

fn persist(entries: &[u64]) -> Persist {
    Persist {
        seq: 0,
        hard: HardState {
            term: 1,
            vote: None,
            commit: 0,
        },
        snapshot: None,
        entries: entries.iter().copied().map(entry).collect(),
        known_members: None,
    }
}

/// A disk with three synced batches of one entry each.
fn filled() -> (SimDisk, Store) {
    filled_by(FOUNDERS)
}

fn filled_by(founders: &[u64]) -> (SimDisk, Store) {
    let disk = SimDisk::default();
    let (mut store, _) = open_with(&disk, founders).unwrap();
    for index in 1..=3 {
        store.write(0, &persist(&[index])).unwrap();
        store.sync().unwrap();
    }
    (disk, store)
}

fn last(contents: &Contents) -> u64 {
    contents.groups[&0].entries.last().map_or(0, |e| e.index)
}

#[test]
fn open_counts_runs() {
    let disk = SimDisk::default();
    let first = open(&disk).unwrap().1;
    let second = open(&disk).unwrap().1;
    assert_eq!((first.store, first.boot), (7, 1));
    assert_eq!((second.store, second.boot), (7, 2));
}

#[test]
fn open_after_power_failure() {
    // The power fails with one batch written but not synced. Synced batches must
    // survive; the last one may, as a whole.
    for seed in 0..100 {
        let (disk, mut store) = filled();
        store.write(0, &persist(&[4])).unwrap();
        disk.fail_power_after(1);
        assert!(store.sync().is_err());
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (_, contents) = open(&disk.after_crash(&mut rng)).unwrap();
        assert!(last(&contents) >= 3, "synced entry lost, seed {seed}");
    }
}

#[test]
fn open_overwritten_entries() {
    let (disk, mut store) = filled();
    store.write(0, &persist(&[2])).unwrap();
    store.sync().unwrap();
    assert_eq!(last(&open(&disk).unwrap().1), 2);
}

#[rstest]
#[case::first_frame(30)]
#[case::second_frame(150)]
fn open_damaged_middle(#[case] at: usize) {
    // A bit flips in an acknowledged record. Starting without the record would
    // silently lose accepted changes.
    let (disk, _store) = filled();
    disk.flip_bit("log-", at);
    let error = open(&disk).err().unwrap();
    assert!(matches!(error, StoreError::Damaged { .. }), "{error}");
    assert!(error.to_string().contains("add this instance's new store"));
}

#[test]
fn open_damaged_end() {
    // A damaged last record looks like a torn write and is dropped.
    let (disk, _store) = filled();
    disk.flip_bit("log-", disk.size("log-") - 1);
    assert_eq!(last(&open(&disk).unwrap().1), 2);
}

#[rstest]
#[case::damaged(true)]
#[case::missing(false)]
fn open_without_snapshot(#[case] damaged: bool) {
    let (disk, mut store) = filled();
    let snapshot = Snapshot {
        index: 2,
        term: 1,
        data: Bytes::from_static(b"state"),
        ..Snapshot::default()
    };
    let persist = Persist {
        snapshot: Some(snapshot),
        ..persist(&[])
    };
    store.write(0, &persist).unwrap();
    store.sync().unwrap();
    let (_, contents) = open(&disk).unwrap();
    assert_eq!(contents.groups[&0].snapshot.data, &b"state"[..]);
    assert_eq!(contents.groups[&0].entries, [entry(3)]);
    match damaged {
        true => disk.flip_bit("snapshot-", 22),
        false => disk.remove_file("snapshot-"),
    }
    assert!(open(&disk).is_err());
}

#[test]
fn open_without_log() {
    // The log file was deleted and a snapshot remains. A start with an empty log
    // would lose votes.
    let disk = SimDisk::default();
    let (mut store, _) = open(&disk).unwrap();
    let mut persist = persist(&[]);
    persist.snapshot = Some(Snapshot {
        index: 2,
        ..Snapshot::default()
    });
    store.write(0, &persist).unwrap();
    store.sync().unwrap();
    disk.remove_file("log-");
    let error = open(&disk).err().unwrap();
    assert!(matches!(error, StoreError::Missing { .. }), "{error}");
}

#[rstest]
#[case::full_disk(true)]
#[case::failed_sync(false)]
fn sync_fails_for_good(#[case] full: bool) {
    // The disk fills up, or a sync fails. The kernel may report the next sync as
    // successful though it dropped the pages, so the store must not trust it.
    let (disk, mut store) = filled();
    match full {
        true => disk.limit(10),
        false => disk.break_sync(),
    }
    store.write(0, &persist(&[4])).unwrap();
    let error = store.sync().unwrap_err();
    assert!(matches!(error, StoreError::Io { .. }), "{error}");
    disk.limit(usize::MAX);
    let again = store.sync().unwrap_err();
    assert!(matches!(again, StoreError::Failed), "{again}");
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let (_, contents) = open(&disk.after_crash(&mut rng)).unwrap();
    assert!(last(&contents) >= 3);
}

#[test]
fn rewrite_keeps_state() {
    let (disk, mut store) = filled();
    let (_, contents) = open(&disk.copy()).unwrap();
    store
        .rewrite(&contents.groups, &contents.known_runs)
        .unwrap();
    store.write(0, &persist(&[4])).unwrap();
    store.sync().unwrap();
    assert_eq!(last(&open(&disk).unwrap().1), 4);
}

/// Guards against a store that becomes a founder, or another group's, by the settings of a later
/// start, and against a founder that forgets that it is one.
#[rstest]
#[case::founder(FOUNDERS, &[])]
#[case::founder_of_others(FOUNDERS, &[4, 5, 6])]
#[case::added(&[], &[4, 5, 6])]
fn open_keeps_founders(#[case] first: &[u64], #[case] later: &[u64]) {
    let disk = SimDisk::default();
    open_with(&disk, first).unwrap();
    for _ in 0..2 {
        let (mut store, contents) = open_with(&disk, later).unwrap();
        assert_eq!(contents.founders, first);
        store
            .rewrite(&contents.groups, &contents.known_runs)
            .unwrap();
    }
}

/// Guards against a group that is never founded since its founders were killed, or lost power,
/// while their first start wrote the log file. `recorded` is the number of operations of the disk
/// after which a founder must know that it is one.
#[rstest]
#[case::killed(false, 2)]
#[case::power_lost(true, 5)]
fn open_founder_again(#[case] power_lost: bool, #[case] recorded: u32) {
    for (operations, seed) in (0..8).flat_map(|o| (0..8).map(move |s| (o, s))) {
        let disk = SimDisk::default();
        disk.fail_power_after(operations);
        let _ = open(&disk);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let disk = match power_lost {
            true => disk.after_crash(&mut rng),
            false => disk.copy(),
        };
        disk.restore_power();
        let (_, contents) = open_with(&disk, &[]).unwrap();
        let founders = contents.founders;
        assert!(founders == FOUNDERS || founders.is_empty() && operations < recorded);
    }
}

/// Guards against a directory of an earlier release, which recorded no founders, that can't be
/// opened, or that founds a group.
#[test]
fn open_without_founders() {
    let (disk, _) = filled_by(&[]);
    let (_, contents) = open(&disk).unwrap();
    assert_eq!(last(&contents), 3);
    assert!(contents.founders.is_empty());
}

/// Guards against a restarted store that forgets the members that it was told of, also after its
/// log file was rewritten.
#[test]
fn open_known_members() {
    let (disk, mut store) = filled();
    let mut told = persist(&[]);
    told.known_members = Some(KnownMembers {
        index: 7,
        instances: vec![4, 5],
    });
    store.write(0, &told).unwrap();
    store.write(0, &persist(&[4])).unwrap();
    store.sync().unwrap();
    for _ in 0..2 {
        let (_, contents) = open(&disk).unwrap();
        let known = Some(&contents.groups[&0].known_members);
        assert_eq!(known, told.known_members.as_ref());
    }
}
