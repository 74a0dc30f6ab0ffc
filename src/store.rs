//! Durable log and snapshot files of a store.
//!
//! One file holds the log of all groups, so that a single sync serves them
//! all. Its first frame is the whole state at the time the file was made; a
//! start, and growth, write the next file and remove the one before. Each
//! group's snapshot is a file of its own.
//!
//! Damage to the very last frame looks like a torn write and is cut off. The
//! store has then forgotten what the frame held, and asks the other voters after
//! its start, see [`crate::replica`].

use std::collections::BTreeMap;
use std::io;
use std::time::Instant;

use prost::Message as _;
use snafu::{ResultExt, Snafu, ensure};

use self::record::{Batch, Content, Entries, Identity, Mark, Record, Sighting, State};
use crate::disk::Disk;
use crate::replica::{DurableState, Persist, Snapshot};

mod frame;
mod load;
mod record;

/// Prefix of log files; the number of their first frame follows.
const LOG: &str = "log-";
/// Prefix of snapshot files; group and index follow.
const SNAPSHOT: &str = "snapshot-";
/// Suffix of files that aren't complete.
const PART: &str = ".part";
/// Runs remembered. A store that starts more often without a word to one of
/// its peers must be replaced.
const RUNS: usize = 1000;
/// Frame numbers left to one log file, so that numbers never repeat.
const FRAMES_PER_FILE: u64 = 1 << 32;
/// Size below which a log file is never rewritten, in bytes.
const REWRITE_BYTES: usize = 4 * 1024 * 1024;
/// A log file is rewritten when it has grown by this factor.
const REWRITE_FACTOR: usize = 4;

/// Why a store can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// An operation of the file system failed.
    #[snafu(display(
        "can't {action} {name} in the data folder: {source}; \
         free space or replace the disk, then start the process again"
    ))]
    Io {
        /// What was tried.
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
    /// Files that must be there are missing.
    #[snafu(display(
        "{name} is missing from the data folder; move the folder away, start with an \
         empty one and add this instance's new store as a member"
    ))]
    Missing {
        /// File.
        name: String,
    },
    /// The folder holds a group that isn't run.
    #[snafu(display(
        "the data folder holds group {group}, which this release doesn't run; start \
         the release that wrote it, or give this instance an empty folder"
    ))]
    Unused {
        /// Number of the group.
        group: u32,
    },
    /// The folder is an old copy.
    #[snafu(display(
        "the data folder was put back from an old copy and has forgotten what it \
         promised since; move the folder away, start with an empty one and add this \
         instance's new store as a member"
    ))]
    Superseded,
    /// The leader has another entry than the one committed here.
    #[snafu(display(
        "entry {index} of group {group} is committed here, and the leader has another \
         one: a store was put back from an old copy while too few others answered, and \
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

/// What a store held when it was opened.
#[derive(Debug, Default)]
pub(crate) struct Contents {
    /// Random number of the folder.
    pub(crate) store: u64,
    /// Starts of the folder so far, this one included.
    pub(crate) boot: u64,
    /// Numbers of the latest runs, in order, this one last.
    pub(crate) runs: Vec<u64>,
    /// State by group.
    pub(crate) groups: BTreeMap<u32, DurableState>,
    /// Boot counter and run last seen, by store.
    pub(crate) sightings: BTreeMap<u64, (u64, u64)>,
}

/// The files of one data folder.
pub(crate) struct Store {
    disk: Box<dyn Disk>,
    identity: Identity,
    /// Name of the log file.
    name: String,
    /// Number of the next frame.
    number: u64,
    /// Bytes in the log file.
    size: usize,
    /// Bytes of its first frame.
    base: usize,
    /// Records that wait for [`Store::sync`].
    pending: Vec<Record>,
    /// Snapshot files to remove after the next sync.
    stale: Vec<String>,
    /// Snapshot file in force, by group.
    snapshots: BTreeMap<u32, String>,
    /// Set by the first failure and never cleared.
    ///
    /// After a failed sync the kernel may drop the written pages and report
    /// the next sync as good. Only a new start, which reads the files and
    /// writes them anew, can tell what is durable.
    failed: bool,
}

impl Store {
    /// Opens the folder and records the start. `fresh` is the id that an empty
    /// folder gets, `run` the random number of this start.
    pub(crate) fn open(
        disk: Box<dyn Disk>,
        fresh: u64,
        run: u64,
    ) -> Result<(Self, Contents), StoreError> {
        let names = disk.list().context(IoSnafu {
            action: "list",
            name: "files",
        })?;
        let mut content = load::load(&*disk, &names)?;
        if content.store == 0 {
            content.store = fresh;
        }
        content.boot += 1;
        content.runs.push(run);
        let excess = content.runs.len().saturating_sub(RUNS);
        content.runs.drain(..excess);
        let number = names.iter().filter_map(|n| log_number(n)).max();
        let identity = Identity {
            store: content.store,
            boot: content.boot,
            runs: content.runs.clone(),
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
            base: 0,
            pending: Vec::new(),
            stale: Vec::new(),
            snapshots,
            failed: false,
        };
        // What was read may never have been synced; the new file is.
        store.rewrite(&content.groups, &content.sightings)?;
        store.clean(&names)?;
        Ok((store, content))
    }

    /// Adds a group's write to the next sync.
    pub(crate) fn write(&mut self, group: u32, persist: &Persist) -> Result<(), StoreError> {
        if let Some(snapshot) = &persist.snapshot {
            self.write_snapshot(group, snapshot)?;
        }
        let hard = persist.hard;
        self.pending
            .push(record(Content::State(State { group, hard })));
        if !persist.entries.is_empty() {
            let entries = persist.entries.clone();
            let entries = Entries { group, entries };
            self.pending.push(record(Content::Entries(entries)));
        }
        Ok(())
    }

    /// Adds the run of another store to the next sync.
    pub(crate) fn write_sighting(&mut self, store: u64, boot: u64, run: u64) {
        let sighting = Sighting { store, boot, run };
        self.pending.push(record(Content::Sighting(sighting)));
    }

    /// Makes everything written so far durable, as one frame.
    pub(crate) fn sync(&mut self) -> Result<(), StoreError> {
        ensure!(!self.failed, FailedSnafu);
        if self.pending.is_empty() {
            return Ok(());
        }
        let batch = Batch {
            whole: false,
            records: std::mem::take(&mut self.pending),
        };
        let bytes = frame::encode(self.number, &batch.encode_to_vec());
        let name = self.name.clone();
        let begin = Instant::now();
        self.run("write to", &name, |disk| disk.append(&name, &bytes))?;
        self.run("sync", &name, |disk| disk.sync(&name))?;
        metrics::histogram!("log_sync_seconds").record(begin.elapsed().as_secs_f64());
        self.number += 1;
        self.size += bytes.len();
        for old in std::mem::take(&mut self.stale) {
            self.run("remove", &old, |disk| disk.remove(&old))?;
        }
        Ok(())
    }

    /// Whether the log file has grown so much that a rewrite pays.
    pub(crate) fn wants_rewrite(&self) -> bool {
        self.size > REWRITE_BYTES.max(REWRITE_FACTOR * self.base)
    }

    /// Replaces the log file by one that holds just the state given. Nothing
    /// may wait for a sync.
    pub(crate) fn rewrite(
        &mut self,
        groups: &BTreeMap<u32, DurableState>,
        sightings: &BTreeMap<u64, (u64, u64)>,
    ) -> Result<(), StoreError> {
        assert!(self.pending.is_empty(), "rewrite between write and sync");
        let batch = Batch {
            whole: true,
            records: records(&self.identity, groups, sightings),
        };
        let number = self.number;
        let bytes = frame::encode(number, &batch.encode_to_vec());
        let name = log_name(number);
        self.replace(&name, &bytes)?;
        let old = std::mem::replace(&mut self.name, name);
        if !old.is_empty() {
            self.run("remove", &old, |disk| disk.remove(&old))?;
        }
        self.number = number + 1;
        self.size = bytes.len();
        self.base = bytes.len();
        Ok(())
    }

    fn write_snapshot(&mut self, group: u32, snapshot: &Snapshot) -> Result<(), StoreError> {
        let name = snapshot_name(group, snapshot.index);
        let bytes = frame::encode(snapshot.index, &snapshot.data);
        self.replace(&name, &bytes)?;
        let old = self.snapshots.insert(group, name.clone());
        self.stale.extend(old.filter(|old| *old != name));
        self.pending
            .push(record(Content::Mark(mark(group, snapshot))));
        Ok(())
    }

    /// Writes a whole file so that a crash leaves it complete or not at all.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let part = format!("{name}{PART}");
        self.run("create", &part, |disk| disk.create(&part))?;
        self.run("write to", &part, |disk| disk.append(&part, bytes))?;
        self.run("sync", &part, |disk| disk.sync(&part))?;
        self.run("rename", &part, |disk| disk.rename(&part, name))?;
        self.run("sync", "names", |disk| disk.sync_names())
    }

    /// Removes files that an earlier run left behind.
    fn clean(&mut self, names: &[String]) -> Result<(), StoreError> {
        let used: Vec<String> = self.snapshots.values().cloned().collect();
        for name in names {
            let ours =
                log_number(name).is_some() || name.starts_with(SNAPSHOT) || name.ends_with(PART);
            if ours && *name != self.name && !used.contains(name) {
                self.run("remove", name, |disk| disk.remove(name))?;
            }
        }
        Ok(())
    }

    fn run(
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
    format!("{LOG}{number:020}")
}

fn log_number(name: &str) -> Option<u64> {
    name.strip_prefix(LOG)?.parse().ok()
}

fn snapshot_name(group: u32, index: u64) -> String {
    format!("{SNAPSHOT}{group}-{index}")
}

fn record(content: Content) -> Record {
    Record {
        content: Some(content),
    }
}

fn mark(group: u32, snapshot: &Snapshot) -> Mark {
    Mark {
        group,
        index: snapshot.index,
        term: snapshot.term,
        members: snapshot.members.clone(),
    }
}

/// Records of a whole state.
fn records(
    identity: &Identity,
    groups: &BTreeMap<u32, DurableState>,
    sightings: &BTreeMap<u64, (u64, u64)>,
) -> Vec<Record> {
    let mut records = vec![record(Content::Identity(identity.clone()))];
    for (&store, &(boot, run)) in sightings {
        records.push(record(Content::Sighting(Sighting { store, boot, run })));
    }
    for (&group, start) in groups {
        if start.snapshot.index > 0 {
            records.push(record(Content::Mark(mark(group, &start.snapshot))));
        }
        let hard = start.hard;
        records.push(record(Content::State(State { group, hard })));
        let entries = start.entries.clone();
        records.push(record(Content::Entries(Entries { group, entries })));
    }
    records
}
