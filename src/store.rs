//! Durable log and snapshot files of a store.
//!
//! One file holds the log of all groups, so that a single sync serves them
//! all. Its first frame is the full state at the time the file was created. Each
//! start, and each rewrite after growth, writes a new file and removes the
//! previous one. Each group's snapshot is a file of its own.
//!
//! Damage to the last frame looks like a torn write, and the frame is dropped.
//! The store then lacks its content and queries the other voters after its start,
//! see [`crate::replica`].

use std::collections::BTreeMap;
use std::io;
use std::time::Instant;

use prost::Message as _;
use snafu::{ResultExt, Snafu, ensure};

use self::record::{Batch, Content, Entries, Identity, KnownRun, Record, SnapshotRef, State};
use crate::disk::Disk;
use crate::replica::{DurableState, Persist, Snapshot};

mod frame;
mod load;
mod record;

/// Prefix of log files, followed by the number of their first frame.
const LOG_PREFIX: &str = "log-";
/// Prefix of snapshot files, followed by group and index.
const SNAPSHOT_PREFIX: &str = "snapshot-";
/// Suffix of incomplete files.
const PART_SUFFIX: &str = ".part";
/// Runs recorded in a store. One that starts more often without contact to one
/// of its peers must be replaced.
const MAX_RUNS: usize = 1000;
/// Frame numbers reserved for one log file, so that numbers never repeat.
const FRAMES_PER_FILE: u64 = 1 << 32;
/// Size below which a log file is never rewritten, in bytes.
const REWRITE_BYTES: usize = 4 * 1024 * 1024;
/// Growth factor since the last rewrite at which a log file is rewritten.
const REWRITE_FACTOR: usize = 4;

/// Reason why a store can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// An operation of the file system failed.
    #[snafu(display(
        "can't {action} {name} in the data folder: {source}; \
         free space or replace the disk, then start the process again"
    ))]
    Io {
        /// Operation that failed.
        action: &'static str,
        /// File.
        name: String,
        /// Error of the file system.
        source: io::Error,
    },
    /// A file's content is damaged before its end.
    #[snafu(display(
        "{name} in the data folder is damaged at byte {offset}; don't repair it: \
         move the folder away, start with an empty one and add this instance's new \
         store as a member"
    ))]
    Damaged {
        /// File.
        name: String,
        /// Position of the first bad byte.
        offset: usize,
    },
    /// A required file is missing.
    #[snafu(display(
        "{name} is missing from the data folder; move the folder away, start with an \
         empty one and add this instance's new store as a member"
    ))]
    Missing {
        /// File.
        name: String,
    },
    /// The directory holds a group that this release doesn't run.
    #[snafu(display(
        "the data folder holds group {group}, which this release doesn't run; start \
         the release that wrote it, or give this instance an empty folder"
    ))]
    UnknownGroup {
        /// Number of the group.
        group: u32,
    },
    /// The directory is an old copy.
    #[snafu(display(
        "the data folder was restored from an old copy and lacks votes and \
         acknowledgements given since; move the folder away, start with an empty one \
         and add this instance's new store as a member"
    ))]
    Superseded,
    /// The leader's entry differs from the one committed here.
    #[snafu(display(
        "entry {index} of group {group} is committed here, and the leader has another \
         one: a store was restored from an old copy while too few others answered, and \
         accepted changes are lost. Keep this folder to compare the catalogues; start \
         with an empty one and add this instance's new store as a member"
    ))]
    Diverged {
        /// Number of the group.
        group: u32,
        /// Position of the entry.
        index: u64,
    },
    /// An earlier operation failed.
    #[snafu(display("the store failed earlier; start the process again"))]
    Failed,
}

/// Content of a store when it was opened.
#[derive(Debug, Default)]
pub(crate) struct Contents {
    /// Random id of the directory.
    pub(crate) store: u64,
    /// Number of starts so far, including this one.
    pub(crate) boot: u64,
    /// Random numbers of the latest runs in order, this one last.
    pub(crate) runs: Vec<u64>,
    /// Instances that found the groups, recorded when the directory was created. Empty in a
    /// directory that was created later, or by a release that didn't record them.
    pub(crate) founders: Vec<u64>,
    /// State by group.
    pub(crate) groups: BTreeMap<u32, DurableState>,
    /// Boot counter and run last seen, by store.
    pub(crate) known_runs: BTreeMap<u64, (u64, u64)>,
}

/// What is recorded in a directory when it is created, and never changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Creation<'a> {
    /// Random id of the directory.
    pub(crate) store: u64,
    /// Instances that found the groups; empty if the groups may exist already.
    pub(crate) founders: &'a [u64],
}

/// The files of one data directory.
pub(crate) struct Store {
    disk: Box<dyn Disk>,
    identity: Identity,
    /// Name of the log file.
    name: String,
    /// Number of the next frame.
    number: u64,
    /// Bytes in the log file.
    size: usize,
    /// Bytes in its first frame.
    base_size: usize,
    /// Records that wait for [`Store::sync`].
    pending: Vec<Record>,
    /// Snapshot files to remove after the next sync.
    obsolete_snapshots: Vec<String>,
    /// Current snapshot file, by group.
    snapshots: BTreeMap<u32, String>,
    /// Set by the first failure and never cleared.
    ///
    /// After a failed sync the kernel may drop the written pages and report the
    /// next sync as successful. Only a new start, which reads and rewrites the
    /// files, can tell what is durable.
    failed: bool,
}

impl Store {
    /// Opens the directory and records the start. `creation` is recorded in an empty
    /// directory, `run` is the random number of this start.
    ///
    /// A directory that was created before keeps what was recorded then. Otherwise a
    /// restart with other settings could turn a store that waits to be added into a
    /// founder, and it would found a second log.
    pub(crate) fn open(
        disk: Box<dyn Disk>,
        creation: Creation<'_>,
        run: u64,
    ) -> Result<(Self, Contents), StoreError> {
        let names = disk.list().context(IoSnafu {
            action: "list",
            name: "files",
        })?;
        let mut content = load::load(&*disk, &names)?;
        if content.store == 0 {
            content.store = creation.store;
            content.founders = creation.founders.to_vec();
        }
        content.boot += 1;
        content.runs.push(run);
        let excess = content.runs.len().saturating_sub(MAX_RUNS);
        content.runs.drain(..excess);
        let number = names.iter().filter_map(|n| part_number(n)).max();
        let identity = Identity {
            store: content.store,
            boot: content.boot,
            runs: content.runs.clone(),
            founders: content.founders.clone(),
        };
        let snapshots = content
            .groups
            .iter()
            .filter(|(_, start)| start.snapshot.index > 0)
            .map(|(&group, start)| (group, snapshot_name(group, start.snapshot.index)))
            .collect();
        let mut store = Self {
            disk,
            identity,
            name: String::new(),
            number: number.map_or(1, |n| n + FRAMES_PER_FILE),
            size: 0,
            base_size: 0,
            pending: Vec::new(),
            obsolete_snapshots: Vec::new(),
            snapshots,
            failed: false,
        };
        // The content just read may never have been synced; the new file is.
        store.rewrite(&content.groups, &content.known_runs)?;
        store.remove_leftovers(&names)?;
        Ok((store, content))
    }

    /// Adds a group's write to the next sync.
    pub(crate) fn write(&mut self, group: u32, persist: &Persist) -> Result<(), StoreError> {
        if let Some(snapshot) = &persist.snapshot {
            self.write_snapshot(group, snapshot)?;
        }
        self.pending.push(record(Content::State(State {
            group,
            hard: persist.hard,
            known_members: persist.known_members.clone(),
        })));
        if !persist.entries.is_empty() {
            let entries = persist.entries.clone();
            let entries = Entries { group, entries };
            self.pending.push(record(Content::Entries(entries)));
        }
        Ok(())
    }

    /// Adds a run of another store to the next sync.
    pub(crate) fn write_known_run(&mut self, store: u64, boot: u64, run: u64) {
        let known_run = KnownRun { store, boot, run };
        self.pending.push(record(Content::KnownRun(known_run)));
    }

    /// Makes everything written so far durable, as one frame.
    pub(crate) fn sync(&mut self) -> Result<(), StoreError> {
        ensure!(!self.failed, FailedSnafu);
        if self.pending.is_empty() {
            return Ok(());
        }
        let batch = Batch {
            full: false,
            records: std::mem::take(&mut self.pending),
        };
        let bytes = frame::encode(self.number, &batch.encode_to_vec());
        let name = self.name.clone();
        let begin = Instant::now();
        self.run_operation("write to", &name, |disk| disk.append(&name, &bytes))?;
        self.run_operation("sync", &name, |disk| disk.sync(&name))?;
        metrics::histogram!("log_sync_seconds").record(begin.elapsed().as_secs_f64());
        self.number += 1;
        self.size += bytes.len();
        for old in std::mem::take(&mut self.obsolete_snapshots) {
            self.run_operation("remove", &old, |disk| disk.remove(&old))?;
        }
        Ok(())
    }

    /// Whether the log file has grown enough for a rewrite.
    pub(crate) fn needs_rewrite(&self) -> bool {
        self.size > REWRITE_BYTES.max(REWRITE_FACTOR * self.base_size)
    }

    /// Replaces the log file by one that holds only the given state. No write may
    /// be pending.
    pub(crate) fn rewrite(
        &mut self,
        groups: &BTreeMap<u32, DurableState>,
        known_runs: &BTreeMap<u64, (u64, u64)>,
    ) -> Result<(), StoreError> {
        assert!(self.pending.is_empty(), "rewrite between write and sync");
        let batch = Batch {
            full: true,
            records: records(&self.identity, groups, known_runs),
        };
        let number = self.number;
        let bytes = frame::encode(number, &batch.encode_to_vec());
        let name = log_name(number);
        self.write_atomically(&name, &bytes)?;
        let old = std::mem::replace(&mut self.name, name);
        if !old.is_empty() {
            self.run_operation("remove", &old, |disk| disk.remove(&old))?;
        }
        self.number = number + 1;
        self.size = bytes.len();
        self.base_size = bytes.len();
        Ok(())
    }

    fn write_snapshot(&mut self, group: u32, snapshot: &Snapshot) -> Result<(), StoreError> {
        let name = snapshot_name(group, snapshot.index);
        let bytes = frame::encode(snapshot.index, &snapshot.data);
        self.write_atomically(&name, &bytes)?;
        let old = self.snapshots.insert(group, name.clone());
        self.obsolete_snapshots
            .extend(old.filter(|old| *old != name));
        self.pending
            .push(record(Content::SnapshotRef(snapshot_ref(group, snapshot))));
        Ok(())
    }

    /// Writes a file atomically: after a crash it is complete or doesn't exist.
    fn write_atomically(&mut self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let part = format!("{name}{PART_SUFFIX}");
        self.run_operation("create", &part, |disk| disk.create(&part))?;
        self.run_operation("write to", &part, |disk| disk.append(&part, bytes))?;
        self.run_operation("sync", &part, |disk| disk.sync(&part))?;
        self.run_operation("rename", &part, |disk| disk.rename(&part, name))?;
        self.run_operation("sync", "names", |disk| disk.sync_names())
    }

    /// Removes files left behind by an earlier run.
    fn remove_leftovers(&mut self, names: &[String]) -> Result<(), StoreError> {
        let used: Vec<String> = self.snapshots.values().cloned().collect();
        for name in names {
            let owned = log_number(name).is_some()
                || name.starts_with(SNAPSHOT_PREFIX)
                || name.ends_with(PART_SUFFIX);
            if owned && *name != self.name && !used.contains(name) {
                self.run_operation("remove", name, |disk| disk.remove(name))?;
            }
        }
        Ok(())
    }

    fn run_operation(
        &mut self,
        action: &'static str,
        name: &str,
        operation: impl FnOnce(&mut dyn Disk) -> io::Result<()>,
    ) -> Result<(), StoreError> {
        ensure!(!self.failed, FailedSnafu);
        let outcome = operation(&mut *self.disk);
        self.failed = outcome.is_err();
        outcome.context(IoSnafu { action, name })
    }
}

fn log_name(number: u64) -> String {
    format!("{LOG_PREFIX}{number:020}")
}

fn log_number(name: &str) -> Option<u64> {
    name.strip_prefix(LOG_PREFIX)?.parse().ok()
}

/// Number of a log file, complete or not.
fn part_number(name: &str) -> Option<u64> {
    log_number(name.strip_suffix(PART_SUFFIX).unwrap_or(name))
}

fn snapshot_name(group: u32, index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{group}-{index}")
}

fn record(content: Content) -> Record {
    Record {
        content: Some(content),
    }
}

fn snapshot_ref(group: u32, snapshot: &Snapshot) -> SnapshotRef {
    SnapshotRef {
        group,
        index: snapshot.index,
        term: snapshot.term,
        members: snapshot.members.clone(),
    }
}

/// Records of a full state.
fn records(
    identity: &Identity,
    groups: &BTreeMap<u32, DurableState>,
    known_runs: &BTreeMap<u64, (u64, u64)>,
) -> Vec<Record> {
    let mut records = vec![record(Content::Identity(identity.clone()))];
    for (&store, &(boot, run)) in known_runs {
        records.push(record(Content::KnownRun(KnownRun { store, boot, run })));
    }
    for (&group, start) in groups {
        if start.snapshot.index > 0 {
            records.push(record(Content::SnapshotRef(snapshot_ref(
                group,
                &start.snapshot,
            ))));
        }
        records.push(record(Content::State(State {
            group,
            hard: start.hard,
            known_members: Some(start.known_members.clone()),
        })));
        let entries = start.entries.clone();
        records.push(record(Content::Entries(Entries { group, entries })));
    }
    records
}
