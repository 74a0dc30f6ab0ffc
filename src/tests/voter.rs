//! Tests of [`crate::voter`] with threads and real files.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel;

use crate::{
    InstanceId, Message, ProposeError, StateMachine, StoreError, SystemClock, Voter, VoterSettings,
};

/// Time limit of one operation.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Records commands in order, each once: on a busy host the leader may change, and
/// a command with an unknown outcome is proposed again.
#[derive(Clone, Default)]
struct RecordingMachine(Arc<Mutex<Vec<Vec<u8>>>>);

impl StateMachine for RecordingMachine {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        let mut lines = self.0.lock().unwrap();
        if !lines.iter().any(|l| l == command) {
            lines.push(command.to_vec());
        }
        lines.len().to_string().into_bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.lock().unwrap().join(&b'\n')
    }

    fn restore(&mut self, snapshot: &[u8]) {
        let lines = snapshot.split(|&b| b == b'\n').map(<[u8]>::to_vec);
        *self.0.lock().unwrap() = lines.collect();
    }
}

type Handle = JoinHandle<Result<(), StoreError>>;

/// Voters in one process that deliver messages through their handles.
struct Cluster {
    routes: Arc<Mutex<Vec<Option<Voter>>>>,
    machines: Vec<RecordingMachine>,
    handles: Vec<Option<Handle>>,
}

impl Cluster {
    fn start(dir: &Path, size: usize) -> Self {
        let mut cluster = Self {
            routes: Arc::new(Mutex::new(vec![None; size])),
            machines: vec![RecordingMachine::default(); size],
            handles: Vec::new(),
        };
        for at in 0..size {
            cluster.handles.push(None);
            cluster.start_voter(dir, at);
        }
        cluster
    }

    fn start_voter(&mut self, dir: &Path, at: usize) {
        let size = self.machines.len() as u64;
        let settings = VoterSettings {
            instance: InstanceId(at as u64 + 1),
            data_dir: dir.join(at.to_string()),
            founders: (1..=size).map(InstanceId).collect(),
            election_timeout: Duration::from_millis(400),
            heartbeat_interval: Duration::from_millis(50),
            contacts: (1..=size).map(InstanceId).collect(),
            snapshot_interval: 20,
            retained_entries: 256,
            seed: 7,
        };
        let routes = self.routes.clone();
        let peers = Box::new(move |to: InstanceId, message: Message| {
            let at = usize::try_from(to.0 - 1).unwrap();
            let voter = routes.lock().unwrap()[at].clone();
            if let Some(voter) = voter {
                voter.deliver(message);
            }
        });
        let machine = RecordingMachine::default();
        self.machines[at] = machine.clone();
        let clock = Arc::new(SystemClock);
        let spawned = Voter::spawn(settings, vec![Box::new(machine)], peers, clock);
        let (voter, handle) = spawned.unwrap();
        self.routes.lock().unwrap()[at] = Some(voter);
        self.handles[at] = Some(handle);
    }

    fn voter(&self, at: usize) -> Voter {
        self.routes.lock().unwrap()[at].clone().unwrap()
    }

    fn stop(&mut self, at: usize) {
        self.voter(at).stop();
        self.handles[at].take().unwrap().join().unwrap().unwrap();
        self.routes.lock().unwrap()[at] = None;
    }

    /// Proposes on whichever voter leads, until one accepts.
    fn propose(&self, command: &str) -> Vec<u8> {
        let start = std::time::Instant::now();
        while start.elapsed() < TIMEOUT {
            let voters: Vec<Voter> = self
                .routes
                .lock()
                .unwrap()
                .iter()
                .flatten()
                .cloned()
                .collect();
            for voter in voters {
                match propose(&voter, command) {
                    Ok(reply) => return reply,
                    Err(ProposeError::NotLeader { .. } | ProposeError::Unknown) => {}
                    Err(e) => panic!("{e}"),
                }
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("no leader accepted {command}");
    }

    /// Returns the commands of one voter after a linearizable read.
    fn read(&self, at: usize) -> Vec<Vec<u8>> {
        let start = std::time::Instant::now();
        while start.elapsed() < TIMEOUT {
            let (done, outcome) = channel::bounded(1);
            let reply = Box::new(move |r| done.send(r).unwrap());
            self.voter(at).read(0, reply);
            if outcome.recv_timeout(TIMEOUT).unwrap().is_ok() {
                return self.machines[at].0.lock().unwrap().clone();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("no read was confirmed");
    }
}

fn propose(voter: &Voter, command: &str) -> Result<Vec<u8>, ProposeError> {
    let (done, outcome) = channel::bounded(1);
    let reply = Box::new(move |r| done.send(r).unwrap());
    voter.propose(0, Bytes::copy_from_slice(command.as_bytes()), reply);
    outcome.recv_timeout(TIMEOUT).unwrap()
}

#[test]
fn propose_three_voters() {
    let dir = tempfile::tempdir().unwrap();
    let cluster = Cluster::start(dir.path(), 3);
    assert_eq!(cluster.propose("a"), b"1");
    assert_eq!(cluster.propose("b"), b"2");
    for at in 0..3 {
        assert_eq!(cluster.read(at), [b"a", b"b"]);
    }
}

#[test]
fn restart_all() {
    // After accepted changes, the processes restart one after the other, some
    // from a snapshot. Each change must still be applied exactly once.
    let dir = tempfile::tempdir().unwrap();
    let mut cluster = Cluster::start(dir.path(), 3);
    for n in 0..50 {
        cluster.propose(&n.to_string());
    }
    for at in 0..3 {
        cluster.stop(at);
        cluster.start_voter(dir.path(), at);
    }
    assert_eq!(cluster.propose("last"), b"51");
    for at in 0..3 {
        assert_eq!(cluster.read(at).len(), 51);
    }
}

#[test]
fn spawn_locked_dir() {
    let dir = tempfile::tempdir().unwrap();
    let mut cluster = Cluster::start(dir.path(), 1);
    let second = crate::disk::DataDir::open(&dir.path().join("0"));
    assert!(second.is_err());
    cluster.stop(0);
    assert!(crate::disk::DataDir::open(&dir.path().join("0")).is_ok());
}

#[test]
fn propose_after_stop() {
    // An instance shuts down while callers still send changes. Each caller must
    // receive an error that says that nothing was done.
    let dir = tempfile::tempdir().unwrap();
    let mut cluster = Cluster::start(dir.path(), 1);
    cluster.propose("a");
    let voter = cluster.voter(0);
    cluster.stop(0);
    assert_eq!(propose(&voter, "b"), Err(ProposeError::Stopped));
}
