//! Measures the replicated log with real files and syncs: commit latency, changes
//! per second, time to a new leader, restart after 1,000 changes and cost when idle.
//!
//! `cargo run --release --example commit -- FOLDER`, where `FOLDER` is on the disk
//! to measure. All voters run in this process and share that disk; they exchange
//! messages between threads.

use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bytes::Bytes;
use crossbeam::channel;
use hdrhistogram::Histogram;
use laburnumquay::{
    InstanceId, Message, StateMachine, StoreError, SystemClock, Voter, VoterSettings,
};
use prost::Message as _;
use rustix::time::{ClockId, clock_gettime};

/// Size of a change in bytes, similar to a catalogue entry.
const CHANGE_BYTES: usize = 500;
/// Duration of each throughput measurement.
const MEASUREMENT: Duration = Duration::from_secs(5);
const ELECTION: Duration = Duration::from_millis(300);
const HEARTBEAT: Duration = Duration::from_millis(50);

/// State machine that keeps the last change of each of 1,000 keys.
#[derive(Default)]
struct TableMachine(std::collections::BTreeMap<u64, Vec<u8>>);

impl StateMachine for TableMachine {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        self.0.insert(index % 1000, command.to_vec());
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        let entries = self.0.iter();
        entries
            .flat_map(|(k, v)| k.to_le_bytes().into_iter().chain(v.iter().copied()))
            .collect()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        for entry in snapshot.chunks(8 + CHANGE_BYTES) {
            let key = u64::from_le_bytes(entry[..8].try_into().expect("eight bytes"));
            self.0.insert(key, entry[8..].to_vec());
        }
    }
}

type Handle = JoinHandle<Result<(), StoreError>>;
type VoterTable = Arc<RwLock<Vec<Option<Voter>>>>;

struct Cluster {
    voters: VoterTable,
    handles: Vec<Option<Handle>>,
    /// For each voter, whether messages from and to it are dropped.
    isolated: Vec<Arc<AtomicBool>>,
    /// Number of messages sent and their encoded size in bytes.
    sent: Arc<(AtomicU64, AtomicU64)>,
}

impl Cluster {
    fn start(folder: &Path, size: usize) -> Self {
        let mut cluster = Self {
            voters: Arc::new(RwLock::new(vec![None; size])),
            handles: (0..size).map(|_| None).collect(),
            isolated: (0..size).map(|_| Arc::default()).collect(),
            sent: Arc::default(),
        };
        for index in 0..size {
            cluster.start_voter(folder, index);
        }
        cluster.wait_for_leader();
        cluster
    }

    fn start_voter(&mut self, folder: &Path, index: usize) {
        let all: Vec<_> = (1..=self.isolated.len() as u64).map(InstanceId).collect();
        let settings = VoterSettings {
            instance: InstanceId(index as u64 + 1),
            data_dir: folder.join(index.to_string()),
            founders: all.clone(),
            election_timeout: ELECTION,
            heartbeat_interval: HEARTBEAT,
            contacts: all,
            retained_entries: 256,
            snapshot_interval: 1000,
            seed: index as u64,
        };
        let (voters, isolated, sent) = (
            self.voters.clone(),
            self.isolated.clone(),
            self.sent.clone(),
        );
        let peers = Box::new(move |to: InstanceId, message: Message| {
            let to = usize::try_from(to.0 - 1).expect("few voters");
            sent.0.fetch_add(1, Ordering::Relaxed);
            sent.1
                .fetch_add(message.encoded_len() as u64, Ordering::Relaxed);
            if isolated[index].load(Ordering::Relaxed) || isolated[to].load(Ordering::Relaxed) {
                return;
            }
            if let Some(voter) = &voters.read().expect("no panic")[to] {
                voter.deliver(message);
            }
        });
        let machines: Vec<Box<dyn StateMachine>> = vec![Box::new(TableMachine::default())];
        let spawned = Voter::spawn(settings, machines, peers, Arc::new(SystemClock));
        let (voter, handle) = spawned.expect("the folder is usable");
        self.voters.write().expect("no panic")[index] = Some(voter);
        self.handles[index] = Some(handle);
    }

    fn voter(&self, index: usize) -> Voter {
        let voters = self.voters.read().expect("no panic");
        voters[index].clone().expect("the voter runs")
    }

    fn stop_voter(&mut self, index: usize) {
        self.voter(index).stop();
        let handle = self.handles[index].take().expect("the voter runs");
        handle.join().expect("no panic").expect("the store works");
        self.voters.write().expect("no panic")[index] = None;
    }

    /// Waits until a voter accepts a change and returns its index.
    fn wait_for_leader(&self) -> usize {
        loop {
            for index in 0..self.handles.len() {
                let available =
                    self.handles[index].is_some() && !self.isolated[index].load(Ordering::Relaxed);
                if available && commit(&self.voter(index)) {
                    return index;
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for index in 0..self.handles.len() {
            if self.handles[index].is_some() {
                self.stop_voter(index);
            }
        }
    }
}

/// Commits one change. Returns whether that succeeded, which only the leader can do.
fn commit(voter: &Voter) -> bool {
    let (done, outcome) = channel::bounded(1);
    let change = Bytes::from(vec![7; CHANGE_BYTES]);
    voter.propose(
        0,
        change,
        Box::new(move |r| done.send(r.is_ok()).unwrap_or(())),
    );
    outcome.recv().unwrap_or(false)
}

fn read(voter: &Voter) -> bool {
    let (done, outcome) = channel::bounded(1);
    voter.read(0, Box::new(move |r| done.send(r.is_ok()).unwrap_or(())));
    outcome.recv().unwrap_or(false)
}

/// Creates a histogram of durations in microseconds, up to a minute.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds")
}

/// Prints latency and rate of `operation` with `clients` that each run one at a time.
fn measure_load(name: &str, clients: usize, operation: impl Fn() -> bool + Sync) {
    let failed = AtomicU64::new(0);
    let begin = Instant::now();
    let mut total = histogram();
    thread::scope(|scope| {
        let client = || {
            let mut local = histogram();
            while begin.elapsed() < MEASUREMENT {
                let start = Instant::now();
                if !operation() {
                    failed.fetch_add(1, Ordering::Relaxed);
                }
                local.saturating_record(start.elapsed().as_micros() as u64);
            }
            local
        };
        let threads: Vec<_> = (0..clients).map(|_| scope.spawn(client)).collect();
        for thread in threads {
            total += thread.join().expect("no panic");
        }
    });
    let rate = total.len() as f64 / begin.elapsed().as_secs_f64();
    let ms = |q| total.value_at_quantile(q) as f64 / 1000.0;
    println!(
        "  {name}, {clients} at a time: p50 {:.2} ms, p99 {:.2} ms, worst {:.0} ms, {rate:.0} a second, {} failed",
        ms(0.5),
        ms(0.99),
        ms(1.0),
        failed.load(Ordering::Relaxed)
    );
}

/// Prints the median and maximum of durations in milliseconds.
fn print_times(name: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let ms = |d: Duration| d.as_secs_f64() * 1000.0;
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    println!(
        "  {name}: median {:.0} ms, worst {:.0} ms of {}",
        ms(median),
        ms(worst),
        times.len()
    );
}

/// Prints the latency of a plain write and sync, the lower bound of a commit.
fn measure_sync(folder: &Path) {
    std::fs::create_dir_all(folder).expect("the folder is usable");
    let mut file = std::fs::File::create(folder.join("sync")).expect("the folder is usable");
    let mut times = histogram();
    for _ in 0..2000 {
        let start = Instant::now();
        file.write_all(&[7; CHANGE_BYTES])
            .expect("space on the disk");
        file.sync_data().expect("the disk works");
        times.saturating_record(start.elapsed().as_micros() as u64);
    }
    let ms = |q| times.value_at_quantile(q) as f64 / 1000.0;
    println!(
        "bare write and sync: p50 {:.2} ms, p99 {:.2} ms",
        ms(0.5),
        ms(0.99)
    );
}

/// Prints the cost of idle voters.
fn measure_rest(folder: &Path, size: usize) {
    let cluster = Cluster::start(folder, size);
    thread::sleep(ELECTION);
    let sent = || {
        (
            cluster.sent.0.load(Ordering::Relaxed),
            cluster.sent.1.load(Ordering::Relaxed),
        )
    };
    let cpu_time = || {
        let time = clock_gettime(ClockId::ProcessCPUTime);
        time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
    };
    let (before, cpu) = (sent(), cpu_time());
    thread::sleep(MEASUREMENT);
    let (after, cpu) = (sent(), cpu_time() - cpu);
    let each = 1.0 / MEASUREMENT.as_secs_f64() / size as f64;
    println!(
        "{size} voters at rest, one group, a voter and second: {:.0} messages, {:.0} bytes, {:.2} ms of processor",
        (after.0 - before.0) as f64 * each,
        (after.1 - before.1) as f64 * each,
        cpu * each * 1000.0
    );
}

fn measure(folder: &Path, size: usize) {
    println!("{size} voters");
    let mut cluster = Cluster::start(folder, size);
    let leader = cluster.voter(cluster.wait_for_leader());
    for clients in [1, 16, 128] {
        measure_load("commit", clients, || commit(&leader));
    }
    measure_load("read on the leader", 16, || read(&leader));
    let follower = cluster.voter((cluster.wait_for_leader() + 1) % size);
    measure_load("read on a follower", 16, || read(&follower));
    let failover = (0..10).map(|_| {
        let old = cluster.wait_for_leader();
        cluster.isolated[old].store(true, Ordering::Relaxed);
        let begin = Instant::now();
        cluster.wait_for_leader();
        let time = begin.elapsed();
        cluster.isolated[old].store(false, Ordering::Relaxed);
        thread::sleep(3 * ELECTION);
        time
    });
    print_times(
        "change accepted again after the leader was cut off",
        failover.collect(),
    );
    let handover = (0..10).map(|_| {
        let old = cluster.wait_for_leader();
        let begin = Instant::now();
        cluster.stop_voter(old);
        cluster.wait_for_leader();
        let time = begin.elapsed();
        cluster.start_voter(folder, old);
        thread::sleep(3 * ELECTION);
        time
    });
    print_times(
        "change accepted again after the leader was stopped",
        handover.collect(),
    );
}

fn measure_restart(folder: &Path) {
    let mut cluster = Cluster::start(folder, 3);
    let leader = cluster.voter(cluster.wait_for_leader());
    let committed = (0..1000).filter(|_| commit(&leader)).count();
    let (mut started, mut readable) = (Vec::new(), Vec::new());
    for _ in 0..10 {
        let index = (cluster.wait_for_leader() + 1) % 3;
        cluster.stop_voter(index);
        let begin = Instant::now();
        cluster.start_voter(folder, index);
        started.push(begin.elapsed());
        while !read(&cluster.voter(index)) {
            thread::sleep(Duration::from_millis(1));
        }
        readable.push(begin.elapsed());
    }
    println!("one of 3 voters restarts after {committed} changes");
    print_times("files read and written anew", started);
    print_times("first read confirmed", readable);
}

fn main() {
    let folder = std::env::args().nth(1).expect("usage: commit FOLDER");
    let folder = Path::new(&folder);
    println!("election timeout {ELECTION:?} to twice that, heartbeat {HEARTBEAT:?}");
    measure_sync(folder);
    measure_rest(&folder.join("rest-three"), 3);
    measure_rest(&folder.join("rest-five"), 5);
    measure(&folder.join("three"), 3);
    measure(&folder.join("five"), 5);
    measure_restart(&folder.join("restart"));
}
