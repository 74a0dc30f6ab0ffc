//! Simulated disk that loses unsynced writes, tears writes and fails on demand.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::disk::Disk;

/// Content of one file.
#[derive(Clone, Default)]
struct Inode {
    data: Vec<u8>,
    /// Bytes known to be durable.
    synced: usize,
}

#[derive(Clone, Default)]
struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    durable: BTreeMap<String, usize>,
    /// Operations until the power fails.
    ops_until_failure: Option<u32>,
    /// Whether the next sync fails without a power failure.
    fail_sync: bool,
    /// Free space in bytes.
    space: Option<usize>,
    off: bool,
}

/// Handle to a simulated disk. Clones share the disk.
#[derive(Clone, Default)]
pub(in crate::tests) struct SimDisk(Arc<Mutex<State>>);

impl SimDisk {
    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.0.lock().unwrap())
    }

    /// Makes the power fail after some more operations.
    pub(in crate::tests) fn fail_power_after(&self, operations: u32) {
        self.with(|s| s.ops_until_failure = Some(operations));
    }

    pub(in crate::tests) fn break_sync(&self) {
        self.with(|s| s.fail_sync = true);
    }

    /// Cancels pending failures.
    pub(in crate::tests) fn clear_faults(&self) {
        self.with(|s| (s.ops_until_failure, s.fail_sync) = (None, false));
    }

    /// Ends a power failure. The disk is as the process left it, as after a kill.
    pub(in crate::tests) fn restore_power(&self) {
        self.with(|s| (s.ops_until_failure, s.off) = (None, false));
    }

    pub(in crate::tests) fn limit(&self, space: usize) {
        self.with(|s| s.space = Some(space));
    }

    /// The disk after a power failure now: unsynced bytes are lost or torn.
    pub(in crate::tests) fn after_crash(&self, rng: &mut ChaCha8Rng) -> Self {
        let mut state = self.with(|s| s.clone());
        let kept_names = rng.random_bool(0.5);
        state.names = match kept_names {
            true => state.names,
            false => state.durable.clone(),
        };
        state.durable = state.names.clone();
        for inode in &mut state.inodes {
            let torn = inode.data.len() - inode.synced;
            let kept = rng.random_range(0..=torn);
            inode.data.truncate(inode.synced + kept);
            if kept > 0 && rng.random_bool(0.5) {
                let at = rng.random_range(inode.synced..inode.data.len());
                inode.data[at] ^= 0x55;
            }
            inode.synced = inode.data.len();
        }
        (
            state.ops_until_failure,
            state.fail_sync,
            state.space,
            state.off,
        ) = (None, false, None, false);
        Self(Arc::new(Mutex::new(state)))
    }

    /// A copy of the disk as it is.
    pub(in crate::tests) fn copy(&self) -> Self {
        Self(Arc::new(Mutex::new(self.with(|s| s.clone()))))
    }

    /// Flips one bit of the file whose name starts with `prefix`.
    pub(in crate::tests) fn flip_bit(&self, prefix: &str, at: usize) {
        self.with(|s| {
            let (_, &inode) = s.names.iter().find(|(n, _)| n.starts_with(prefix)).unwrap();
            s.inodes[inode].data[at] ^= 1;
        });
    }

    /// Deletes the file whose name starts with `prefix`.
    pub(in crate::tests) fn remove_file(&self, prefix: &str) {
        self.with(|s| s.names.retain(|n, _| !n.starts_with(prefix)));
    }

    /// Size of the file whose name starts with `prefix`.
    pub(in crate::tests) fn size(&self, prefix: &str) -> usize {
        self.with(|s| {
            let (_, &inode) = s.names.iter().find(|(n, _)| n.starts_with(prefix)).unwrap();
            s.inodes[inode].data.len()
        })
    }

    /// Runs one operation unless the power has failed.
    fn run_operation<T>(&self, f: impl FnOnce(&mut State) -> io::Result<T>) -> io::Result<T> {
        self.with(|s| {
            s.off |= s.ops_until_failure == Some(0);
            if s.off {
                return Err(io::Error::other("power is off"));
            }
            s.ops_until_failure = s.ops_until_failure.map(|n| n - 1);
            f(s)
        })
    }
}

impl State {
    fn inode(&mut self, name: &str) -> io::Result<&mut Inode> {
        let at = self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(&mut self.inodes[*at])
    }
}

impl Disk for SimDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.with(|s| s.names.keys().cloned().collect()))
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.with(|s| s.inode(name).map(|i| i.data.clone()))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.run_operation(|s| {
            s.inodes.push(Inode::default());
            s.names.insert(name.to_owned(), s.inodes.len() - 1);
            Ok(())
        })
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.run_operation(|s| {
            let space = s.space.unwrap_or(bytes.len());
            let fits = bytes.len().min(space);
            s.space = s.space.map(|n| n - fits);
            s.inode(name)?.data.extend_from_slice(&bytes[..fits]);
            match fits == bytes.len() {
                true => Ok(()),
                false => Err(io::ErrorKind::StorageFull.into()),
            }
        })
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.run_operation(|s| {
            if std::mem::take(&mut s.fail_sync) {
                return Err(io::Error::other("sync failed"));
            }
            let inode = s.inode(name)?;
            inode.synced = inode.data.len();
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.run_operation(|s| {
            let inode = s.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
            s.names.insert(to.to_owned(), inode);
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.run_operation(|s| {
            s.names.remove(name);
            Ok(())
        })
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.run_operation(|s| {
            s.durable = s.names.clone();
            Ok(())
        })
    }
}
