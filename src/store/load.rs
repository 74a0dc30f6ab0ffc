//! Reads a data directory.

use std::io;

use bytes::Bytes;
use prost::Message as _;
use snafu::{OptionExt, ResultExt, ensure};

use super::record::{Batch, Content, Entries, Record, SnapshotRef};
use super::{
    Contents, DamagedSnafu, IoSnafu, MissingSnafu, PART_SUFFIX, SNAPSHOT_PREFIX, StoreError, frame,
    log_number, part_number, snapshot_name,
};
use crate::disk::Disk;
use crate::replica::{DurableState, Snapshot};

/// Reads the newest log file and the snapshots it names.
pub(super) fn load(disk: &dyn Disk, names: &[String]) -> Result<Contents, StoreError> {
    let Some(name) = names.iter().filter(|n| log_number(n).is_some()).max() else {
        let snapshot = |n: &&String| n.starts_with(SNAPSHOT_PREFIX) && !n.ends_with(PART_SUFFIX);
        let orphan = names.iter().find(snapshot);
        ensure!(
            orphan.is_none(),
            MissingSnafu {
                name: "the log file"
            }
        );
        return load_first_part(disk, names);
    };
    let file = read(disk, name)?;
    let mut content = replay_log(name, log_number(name).unwrap_or(0), &file)?;
    for (&group, start) in &mut content.groups {
        load_snapshot(disk, group, &mut start.snapshot)?;
    }
    Ok(content)
}

/// Reads the first log file of a directory whose creation ended before the file was renamed.
///
/// Without it, a founder that is killed during its first start would forget that it is one, and the
/// group might never be founded. Other files are ignored: an incomplete one, since its store has
/// sent nothing, and one with a group's state, since its log file was removed by hand.
fn load_first_part(disk: &dyn Disk, names: &[String]) -> Result<Contents, StoreError> {
    let mut parts: Vec<_> = names
        .iter()
        .filter_map(|n| Some((part_number(n)?, n)))
        .collect();
    parts.sort_unstable();
    for (number, name) in parts {
        let content = replay_log(name, number, &read(disk, name)?);
        if let Some(content) = content.ok().filter(|c| c.groups.is_empty()) {
            return Ok(content);
        }
    }
    Ok(Contents::default())
}

fn read(disk: &dyn Disk, name: &str) -> Result<Vec<u8>, StoreError> {
    disk.read(name).context(IoSnafu {
        action: "read",
        name,
    })
}

/// Reads all frames of a log file, the first of which has `number`.
fn replay_log(name: &str, mut number: u64, file: &[u8]) -> Result<Contents, StoreError> {
    let mut content = Contents::default();
    let mut at = 0;
    while at < file.len() {
        let damaged = || DamagedSnafu { name, offset: at };
        let frame = frame::decode(file, at).filter(|f| f.number == number);
        let Some(frame) = frame else {
            // Each frame is synced before the next one is written. So a later
            // valid frame proves that this one was durable and acknowledged; only
            // the last one may be a torn write.
            ensure!(at > 0 && !frame::any_frame_after(file, at), damaged());
            break;
        };
        let batch = Batch::decode(frame.payload).ok();
        let batch = batch.filter(|b| b.full == (at == 0));
        let batch = batch.with_context(damaged)?;
        for record in batch.records {
            replay(&mut content, record).with_context(damaged)?;
        }
        at = frame.end;
        number += 1;
    }
    ensure!(
        at > 0,
        DamagedSnafu {
            name,
            offset: 0usize
        }
    );
    Ok(content)
}

/// Applies one record. Returns `None` if it doesn't fit the records before it.
fn replay(content: &mut Contents, record: Record) -> Option<()> {
    match record.content? {
        Content::Identity(identity) => {
            content.store = identity.store;
            content.boot = identity.boot;
            content.runs = identity.runs;
            content.founders = identity.founders;
        }
        Content::KnownRun(s) => {
            content.known_runs.insert(s.store, (s.boot, s.run));
        }
        Content::State(state) => {
            let start = content.groups.entry(state.group).or_default();
            start.hard = state.hard;
            if let Some(known) = state.known_members {
                start.known_members = known;
            }
        }
        Content::SnapshotRef(snapshot_ref) => replay_snapshot(
            content.groups.entry(snapshot_ref.group).or_default(),
            snapshot_ref,
        ),
        Content::Entries(entries) => {
            let start = content.groups.entry(entries.group).or_default();
            return replay_entries(start, entries);
        }
    }
    Some(())
}

fn replay_snapshot(start: &mut DurableState, snapshot_ref: SnapshotRef) {
    let held = start.entries.iter().find(|e| e.index == snapshot_ref.index);
    let agrees = held.is_some_and(|e| e.term == snapshot_ref.term);
    start
        .entries
        .retain(|e| agrees && e.index > snapshot_ref.index);
    start.snapshot = Snapshot {
        index: snapshot_ref.index,
        term: snapshot_ref.term,
        members: snapshot_ref.members,
        data: Bytes::new(),
    };
}

fn replay_entries(start: &mut DurableState, entries: Entries) -> Option<()> {
    let Some(first) = entries.entries.first().map(|e| e.index) else {
        return Some(());
    };
    start.entries.retain(|e| e.index < first);
    let last = start
        .entries
        .last()
        .map_or(start.snapshot.index, |e| e.index);
    start.entries.extend(entries.entries);
    (first == last + 1).then_some(())
}

fn load_snapshot(disk: &dyn Disk, group: u32, snapshot: &mut Snapshot) -> Result<(), StoreError> {
    if snapshot.index == 0 {
        return Ok(());
    }
    let name = snapshot_name(group, snapshot.index);
    let file = match disk.read(&name) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return MissingSnafu { name }.fail(),
        other => other.context(IoSnafu {
            action: "read",
            name: &name,
        })?,
    };
    let frame = frame::decode(&file, 0);
    let frame = frame.filter(|f| f.number == snapshot.index && f.end == file.len());
    let frame = frame.context(DamagedSnafu {
        name,
        offset: 0usize,
    })?;
    snapshot.data = Bytes::copy_from_slice(frame.payload);
    Ok(())
}
