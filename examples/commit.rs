//! Measures the replicated log with real files and syncs: commit latency,
//! changes a second, time to a new leader, restart after 1,000 changes, cost
//! at rest.
//!
//! `cargo run --release --example commit -- FOLDER` with a folder on the disk
//! to measure. All voters run in this process and share that disk; messages
//! pass between threads.

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

/// Bytes of one change, about those of a catalogue entry.
const CHANGE_BYTES: usize = 500;
/// Time of each throughput measurement.
const SPAN: Duration = Duration::from_secs(5);
const ELECTION: Duration = Duration::from_millis(300);
const HEARTBEAT: Duration = Duration::from_millis(50);

/// Keeps the last change of each of 1,000 names.
#[derive(Default)]
struct Table(std::collections::BTreeMap<u64, Vec<u8>>);

impl StateMachine for Table {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        self.0.insert(index % 1000, command.to_vec());
        Vec::new()
    }

    fn snapshot(&self) -> Vec<u8> {
        let lines = self.0.iter();
        lines
            .flat_map(|(k, v)| k.to_le_bytes().into_iter().chain(v.iter().copied()))
            .collect()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        for line in snapshot.chunks(8 + CHANGE_BYTES) {
            let key = u64::from_le_bytes(line[..8].try_into().expect("eight bytes"));
            self.0.insert(key, line[8..].to_vec());
        }
    }
}

type Handle = JoinHandle<Result<(), StoreError>>;
type Routes = Arc<RwLock<Vec<Option<Voter>>>>;

struct Cluster {
    routes: Routes,
    handles: Vec<Option<Handle>>,
    /// Voters whose messages are dropped both ways.
    cut: Vec<Arc<AtomicBool>>,
    /// Messages sent and their encoded bytes.
    sent: Arc<(AtomicU64, AtomicU64)>,
}

impl Cluster {
    fn start(folder: &Path, size: usize) -> Self {
        let mut cluster = Self {
            routes: Arc::new(RwLock::new(vec![None; size])),
            handles: (0..size).map(|_| None).collect(),
            cut: (0..size).map(|_| Arc::default()).collect(),
            sent: Arc::default(),
        };
        for at in 0..size {
            cluster.boot(folder, at);
        }
        cluster.leader();
        cluster
    }

    fn boot(&mut self, folder: &Path, at: usize) {
        let settings = VoterSettings {
            instance: InstanceId(at as u64 + 1),
            data_dir: folder.join(at.to_string()),
            initial_voters: (1..=self.cut.len() as u64).map(InstanceId).collect(),
            election_timeout: ELECTION,
            heartbeat_interval: HEARTBEAT,
            contacts: Vec::new(),
            retained_entries: 256,
            snapshot_interval: 1000,
            seed: at as u64,
        };
        let (routes, cut, sent) = (self.routes.clone(), self.cut.clone(), self.sent.clone());
        let peers = Box::new(move |to: InstanceId, message: Message| {
            let to = usize::try_from(to.0 - 1).expect("few voters");
            sent.0.fetch_add(1, Ordering::Relaxed);
            sent.1
                .fetch_add(message.encoded_len() as u64, Ordering::Relaxed);
            if cut[at].load(Ordering::Relaxed) || cut[to].load(Ordering::Relaxed) {
                return;
            }
            if let Some(voter) = &routes.read().expect("no panic")[to] {
                voter.deliver(message);
            }
        });
        let machines: Vec<Box<dyn StateMachine>> = vec![Box::new(Table::default())];
        let spawned = Voter::spawn(settings, machines, peers, Arc::new(SystemClock));
        let (voter, handle) = spawned.expect("the folder is usable");
        self.routes.write().expect("no panic")[at] = Some(voter);
        self.handles[at] = Some(handle);
    }

    fn voter(&self, at: usize) -> Voter {
        let routes = self.routes.read().expect("no panic");
        routes[at].clone().expect("the voter runs")
    }

    fn stop(&mut self, at: usize) {
        self.voter(at).stop();
        let handle = self.handles[at].take().expect("the voter runs");
        handle.join().expect("no panic").expect("the store works");
        self.routes.write().expect("no panic")[at] = None;
    }

    /// The voter that accepts a change, waiting for one.
    fn leader(&self) -> usize {
        loop {
            for at in 0..self.handles.len() {
                let up = self.handles[at].is_some() && !self.cut[at].load(Ordering::Relaxed);
                if up && commit(&self.voter(at)) {
                    return at;
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for at in 0..self.handles.len() {
            if self.handles[at].is_some() {
                self.stop(at);
            }
        }
    }
}

/// Commits one change. Returns whether the voter led.
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

/// Durations in microseconds, up to a minute.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds")
}

/// Latency and rate of `operation` with some clients that wait for each one.
fn load(name: &str, clients: usize, operation: impl Fn() -> bool + Sync) {
    let failed = AtomicU64::new(0);
    let begin = Instant::now();
    let mut total = histogram();
    thread::scope(|scope| {
        let client = || {
            let mut own = histogram();
            while begin.elapsed() < SPAN {
                let start = Instant::now();
                if !operation() {
                    failed.fetch_add(1, Ordering::Relaxed);
                }
                own.saturating_record(start.elapsed().as_micros() as u64);
            }
            own
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

/// Median and maximum of some durations in milliseconds.
fn report(name: &str, mut times: Vec<Duration>) {
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

/// Time of one bare write and sync, the floor of a commit.
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

/// Cost of voters that do nothing.
fn measure_rest(folder: &Path, size: usize) {
    let cluster = Cluster::start(folder, size);
    thread::sleep(ELECTION);
    let sent = || {
        (
            cluster.sent.0.load(Ordering::Relaxed),
            cluster.sent.1.load(Ordering::Relaxed),
        )
    };
    let used = || {
        let time = clock_gettime(ClockId::ProcessCPUTime);
        time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
    };
    let (before, cpu) = (sent(), used());
    thread::sleep(SPAN);
    let (after, cpu) = (sent(), used() - cpu);
    let each = 1.0 / SPAN.as_secs_f64() / size as f64;
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
    let leader = cluster.voter(cluster.leader());
    for clients in [1, 16, 128] {
        load("commit", clients, || commit(&leader));
    }
    load("read on the leader", 16, || read(&leader));
    let follower = cluster.voter((cluster.leader() + 1) % size);
    load("read on a follower", 16, || read(&follower));
    let lost = (0..10).map(|_| {
        let old = cluster.leader();
        cluster.cut[old].store(true, Ordering::Relaxed);
        let begin = Instant::now();
        cluster.leader();
        let time = begin.elapsed();
        cluster.cut[old].store(false, Ordering::Relaxed);
        thread::sleep(3 * ELECTION);
        time
    });
    report(
        "change accepted again after the leader was cut off",
        lost.collect(),
    );
    let handed = (0..10).map(|_| {
        let old = cluster.leader();
        let begin = Instant::now();
        cluster.stop(old);
        cluster.leader();
        let time = begin.elapsed();
        cluster.boot(folder, old);
        thread::sleep(3 * ELECTION);
        time
    });
    report(
        "change accepted again after the leader was stopped",
        handed.collect(),
    );
}

fn measure_restart(folder: &Path) {
    let mut cluster = Cluster::start(folder, 3);
    let leader = cluster.voter(cluster.leader());
    let committed = (0..1000).filter(|_| commit(&leader)).count();
    let (mut opened, mut ready) = (Vec::new(), Vec::new());
    for _ in 0..10 {
        let at = (cluster.leader() + 1) % 3;
        cluster.stop(at);
        let begin = Instant::now();
        cluster.boot(folder, at);
        opened.push(begin.elapsed());
        while !read(&cluster.voter(at)) {
            thread::sleep(Duration::from_millis(1));
        }
        ready.push(begin.elapsed());
    }
    println!("one of 3 voters restarts after {committed} changes");
    report("files read and written anew", opened);
    report("first read confirmed", ready);
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
