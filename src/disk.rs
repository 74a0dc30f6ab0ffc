//! Files of one data directory, behind a trait for fault injection in tests.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use rustix::fs::{FlockOperation, flock};

use crate::collections::HashMap;

/// Name of the file whose lock excludes a second process from the directory.
const LOCK: &str = "lock";

/// A flat directory of files. Content is durable after [`Disk::sync`] of the
/// file, and names after [`Disk::sync_names`].
pub(crate) trait Disk: Send {
    /// Returns the names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Reads a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file, or truncates an existing one.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends bytes to a file that this process created.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file's content durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing any file with the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes creations, renames and removals durable.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A directory in the host's file system.
#[derive(Debug)]
pub(crate) struct DataDir {
    path: PathBuf,
    /// Directory that contains `path`, until its entry for `path` is durable.
    unsynced_parent: Option<PathBuf>,
    /// Files open for writing.
    open: HashMap<String, File>,
    /// Lock file, locked while it is open.
    _lock: File,
}

impl DataDir {
    /// Opens and locks the directory, and creates it if it doesn't exist.
    ///
    /// Two processes on one directory would both vote as its store.
    pub(crate) fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
        Ok(Self {
            path: path.to_owned(),
            unsynced_parent: path.canonicalize()?.parent().map(Path::to_owned),
            open: HashMap::default(),
            _lock: lock,
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let missing = || io::Error::new(io::ErrorKind::NotFound, "file isn't open");
        self.open.get_mut(name).ok_or_else(missing)
    }
}

impl Disk for DataDir {
    fn list(&self) -> io::Result<Vec<String>> {
        let names: io::Result<Vec<String>> = fs::read_dir(&self.path)?
            .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()))
            .collect();
        Ok(names?.into_iter().filter(|n| n != LOCK).collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let file = File::create(self.path.join(name))?;
        self.open.insert(name.to_owned(), file);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))?;
        if let Some(file) = self.open.remove(from) {
            self.open.insert(to.to_owned(), file);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        if let Some(parent) = &self.unsynced_parent {
            File::open(parent)?.sync_all()?;
            self.unsynced_parent = None;
        }
        File::open(&self.path)?.sync_all()
    }
}
