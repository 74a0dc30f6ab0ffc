//! Thread that owns a store and its replicas, and the handle to it.

use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender, TrySendError};
use serde::Serialize;
use snafu::ResultExt;
use tokio::sync::watch::{self as notice, Receiver as NoticeReceiver};

use self::core::{Config, Core, Input};
pub use self::error::{ChangeError, ProposeError, ReadError};
use self::responder::{Callback, Responder};
use crate::clock::{Clock, Time};
use crate::disk::{DataDir, Disk};
use crate::event;
use crate::id::InstanceId;
use crate::replica::{Change, Member, Message, Peer};
use crate::store::StoreError;

pub(crate) mod core;
mod error;
mod group;
mod inbound;
mod known_runs;
pub(crate) mod responder;
mod watch;

/// Maximum number of inputs that wait for the thread.
const QUEUE_CAPACITY: usize = 65_536;
/// Maximum number of inputs handled with one sync.
const MAX_BATCH: usize = 1024;
/// Time between two updates of the gauges.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// Ticks in one heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 4;

/// Replicated state of one group. Every store applies the same commands in the
/// same order, so each method must be deterministic.
pub trait StateMachine: Send {
    /// Applies the committed command at `index`. The result goes to the
    /// proposer.
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8>;
    /// Encodes the full state for [`StateMachine::restore`].
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by a snapshot.
    fn restore(&mut self, snapshot: &[u8]);
}

/// Settings of a voter.
#[derive(Clone, Debug)]
pub struct VoterSettings {
    /// This instance.
    pub instance: InstanceId,
    /// Data directory, used by this voter alone.
    pub data_dir: PathBuf,
    /// Instances that found the groups; the same list on every founder. All of them
    /// must be up once so that their stores are recorded. The list is recorded in an
    /// empty data directory and ignored afterwards, so a later list founds nothing.
    /// Empty if the groups may exist already: this instance then waits until it is
    /// added with [`Change::Add`].
    pub founders: Vec<InstanceId>,
    /// Instances that may know the leader.
    pub contacts: Vec<InstanceId>,
    /// Shortest election timeout. Must exceed a slow sync plus a round trip.
    pub election_timeout: Duration,
    /// Time between heartbeats, at most a third of `election_timeout`.
    pub heartbeat_interval: Duration,
    /// Minimum number of applied entries between two snapshots of a group.
    pub snapshot_interval: u64,
    /// Entries before a snapshot that are retained for slightly lagging followers.
    pub retained_entries: u64,
    /// Seed of the election timeouts.
    pub seed: u64,
}

/// Status of one group on this voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct GroupStatus {
    /// Number of the group.
    pub group: u32,
    /// This store.
    pub me: Peer,
    /// Number of starts of this store.
    pub boot: u64,
    /// Current term.
    pub term: u64,
    /// Leader of the term, if known.
    pub leader: Option<InstanceId>,
    /// Whether this store leads.
    pub leads: bool,
    /// Whether this store leads, or heard the leader within two heartbeats.
    pub leader_live: bool,
    /// Last index in the log.
    pub last: u64,
    /// Commit index.
    pub commit: u64,
    /// Last index applied.
    pub applied: u64,
    /// Index of the snapshot.
    pub snapshot: u64,
    /// Latest membership in the log.
    pub members: Vec<Member>,
    /// Stores that ask to become members, such as one whose directory was wiped.
    #[serde(rename = "strangers")]
    pub non_members: Vec<Peer>,
    /// Number of messages rejected because they came from a superseded run.
    pub refused: u64,
    /// Whether other voters confirmed this run of the store. None during the
    /// query after a restart, false if too few answered.
    pub confirmed: Option<bool>,
    /// Milliseconds since each other member last answered, on the leader.
    pub silences: Vec<(Peer, u64)>,
    /// Instances of the latest membership that this store knows, its own or one that it
    /// was told of.
    pub known_members: Vec<u64>,
    /// Whether all initial voters agreed to found the group, but too few of their stores
    /// were created for it. Never reset.
    pub founding_refused: bool,
}

/// Leader of a group as known to one voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeaderInfo {
    /// Current term, if this voter leads it.
    pub(crate) term: Option<u64>,
    /// The leader, if known.
    pub(crate) leader: Option<InstanceId>,
    /// See [`GroupStatus::leader_live`].
    pub(crate) live: bool,
}

enum Task {
    Input(Input),
    Stop,
}

/// Handle to a voter's thread.
#[derive(Clone)]
pub struct Voter {
    tasks: Sender<Task>,
    status: Arc<Mutex<Vec<GroupStatus>>>,
    /// Notified after each change of a leader, and when it falls silent or is heard again.
    leader_changes: Arc<notice::Sender<()>>,
}

/// Sends a message to an instance. Must not block, and may drop the message.
pub type MessageSender = Box<dyn Fn(InstanceId, Message) + Send>;

impl Voter {
    /// Opens the data directory and starts the thread, with one group for each
    /// state machine.
    ///
    /// The thread ends after [`Voter::stop`], when all handles are dropped, or
    /// when the store fails. In the last case it returns the error. The store
    /// must then be opened anew, in a new process or in this one, since only
    /// data that is read back from the files is known to be durable.
    ///
    /// # Errors
    ///
    /// Fails if the directory can't be opened or holds damaged files.
    pub fn spawn(
        settings: VoterSettings,
        machines: Vec<Box<dyn StateMachine>>,
        peers: MessageSender,
        clock: Arc<dyn Clock>,
    ) -> Result<(Self, JoinHandle<Result<(), StoreError>>), StoreError> {
        let disk = DataDir::open(&settings.data_dir).context(crate::store::IoSnafu {
            action: "open",
            name: settings.data_dir.display().to_string(),
        })?;
        Self::spawn_on(settings, Box::new(disk), machines, peers, clock)
    }

    /// Like [`Voter::spawn`], on any disk.
    pub(crate) fn spawn_on(
        settings: VoterSettings,
        disk: Box<dyn Disk>,
        machines: Vec<Box<dyn StateMachine>>,
        peers: MessageSender,
        clock: Arc<dyn Clock>,
    ) -> Result<(Self, JoinHandle<Result<(), StoreError>>), StoreError> {
        let core = Core::open(config(&settings), disk, machines, clock.now())?;
        watch::report_opened(&core.status(), core.founders());
        let (tasks, inbox) = channel::bounded(QUEUE_CAPACITY);
        let status = Arc::new(Mutex::new(core.status()));
        let leader_changes = Arc::new(notice::Sender::new(()));
        let worker = Worker {
            core,
            inbox,
            peers,
            clock,
            status: status.clone(),
            leader_changes: leader_changes.clone(),
            tick: settings.heartbeat_interval / TICKS_PER_HEARTBEAT,
            stop_timeout: 2 * settings.election_timeout,
            stop_deadline: None,
        };
        let thread = thread::Builder::new().name("voter".to_owned());
        let handle = thread
            .spawn(move || worker.run())
            .context(crate::store::IoSnafu {
                action: "start a thread for",
                name: "the log",
            })?;
        let voter = Self {
            tasks,
            status,
            leader_changes,
        };
        Ok((voter, handle))
    }

    /// Passes on a message from the network. Drops it when the queue is full.
    pub fn deliver(&self, message: Message) {
        let task = Task::Input(Input::Message(message));
        // A dropped message is resent, and blocking the network thread would stall
        // other traffic.
        let _ = self.tasks.try_send(task);
    }

    /// Proposes a command to a group. `done` runs exactly once, on the voter's
    /// thread, and must not block.
    pub fn propose(&self, group: u32, command: Bytes, done: Callback<Vec<u8>, ProposeError>) {
        let input = Input::Propose {
            group,
            command,
            responder: Responder::new(done, ProposeError::Stopped),
        };
        self.request(input);
    }

    /// Confirms a linearizable read: at `done`, the state machine of this voter has
    /// applied everything that was committed when the call began.
    pub fn read(&self, group: u32, done: Callback<u64, ReadError>) {
        let responder = Responder::new(done, ReadError::Stopped);
        self.request(Input::Read { group, responder });
    }

    /// Changes the members of a group, on its leader. `done` reports the commit of
    /// the first step; an added store votes once it has caught up.
    pub fn change_member(&self, group: u32, change: Change, done: Callback<(), ChangeError>) {
        let input = Input::Change {
            group,
            change,
            responder: Responder::new(done, ChangeError::Stopped),
        };
        self.request(input);
    }

    /// Names other instances that may know the leader, in place of
    /// [`VoterSettings::contacts`].
    pub(crate) fn set_contacts(&self, contacts: &[InstanceId]) {
        let contacts = contacts.iter().map(|i| i.0).collect();
        self.request(Input::Contacts(contacts));
    }

    /// Notifies of each change of a leader, and when it falls silent or is heard again.
    pub(crate) fn leader_changes(&self) -> NoticeReceiver<()> {
        self.leader_changes.subscribe()
    }

    /// Leader of a group after the last batch.
    pub(crate) fn leader_info(&self, group: u32) -> LeaderInfo {
        let status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        let status = status.iter().find(|s| s.group == group);
        status.map_or(LeaderInfo::default(), |s| LeaderInfo {
            term: s.leads.then_some(s.term),
            leader: s.leader,
            live: s.leader_live,
        })
    }

    /// Status of each group after the last batch.
    #[must_use]
    pub fn status(&self) -> Vec<GroupStatus> {
        let status = self.status.lock();
        status.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Transfers leadership, then ends the thread.
    pub fn stop(&self) {
        // Fails only if the thread has ended already.
        let _ = self.tasks.send(Task::Stop);
    }

    fn request(&self, input: Input) {
        if let Err(TrySendError::Full(Task::Input(input))) = self.tasks.try_send(Task::Input(input))
        {
            input.fail_busy();
        }
    }
}

fn config(settings: &VoterSettings) -> Config {
    Config {
        instance: settings.instance.0,
        founders: settings.founders.iter().map(|i| i.0).collect(),
        contacts: settings.contacts.iter().map(|i| i.0).collect(),
        election_timeout: settings.election_timeout,
        heartbeat_interval: settings.heartbeat_interval,
        snapshot_interval: settings.snapshot_interval,
        retained_entries: settings.retained_entries,
        seed: settings.seed,
        run: rand::random(),
        // Zero stands for an unknown store.
        new_store: rand::random::<u64>().max(1),
    }
}

/// State of the voter's thread.
struct Worker {
    core: Core,
    inbox: Receiver<Task>,
    peers: MessageSender,
    clock: Arc<dyn Clock>,
    status: Arc<Mutex<Vec<GroupStatus>>>,
    leader_changes: Arc<notice::Sender<()>>,
    tick: Duration,
    /// Longest wait for a leadership transfer at shutdown.
    stop_timeout: Duration,
    /// When the thread ends even if it still leads.
    stop_deadline: Option<Time>,
}

impl Worker {
    fn run(mut self) -> Result<(), StoreError> {
        let outcome = self.serve();
        if let Err(error) = &outcome {
            tracing::error!(
                event = event::STORE_FAILED.id,
                %error,
                "store failed; stopping the voter"
            );
        }
        outcome
    }

    fn serve(&mut self) -> Result<(), StoreError> {
        let mut publish = self.clock.now();
        while let Some(inputs) = self.receive() {
            let now = self.clock.now();
            let peers = &self.peers;
            let mut send = |message: Message| peers(InstanceId(message.to), message);
            self.core.run(now, inputs, &mut send)?;
            let status = self.core.status();
            if now >= publish {
                watch::publish(&status);
                publish = now + METRICS_INTERVAL;
            }
            let mut shared = self.status.lock().unwrap_or_else(PoisonError::into_inner);
            watch::report(&shared, &status);
            let same = |(a, b): (&GroupStatus, &GroupStatus)| {
                let leader = |s: &GroupStatus| (s.term, s.leader, s.leads, s.leader_live);
                leader(a) == leader(b)
            };
            let changed = !shared.iter().zip(&status).all(same);
            *shared = status;
            drop(shared);
            if changed {
                self.leader_changes.send_replace(());
            }
        }
        Ok(())
    }

    /// Waits for inputs or the next tick. `None` ends the thread.
    fn receive(&mut self) -> Option<Vec<Input>> {
        let now = self.clock.now();
        if let Some(end) = self.stop_deadline
            && (now >= end || !self.core.leads())
        {
            return None;
        }
        let mut inputs = Vec::new();
        match self.inbox.recv_timeout(self.tick) {
            Ok(task) => self.handle(task, now, &mut inputs),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return None,
        }
        while inputs.len() < MAX_BATCH
            && let Ok(task) = self.inbox.try_recv()
        {
            self.handle(task, now, &mut inputs);
        }
        Some(inputs)
    }

    fn handle(&mut self, task: Task, now: Time, inputs: &mut Vec<Input>) {
        match task {
            Task::Input(input) => inputs.push(input),
            Task::Stop => {
                self.stop_deadline = Some(now + self.stop_timeout);
                inputs.push(Input::Transfer);
            }
        }
    }
}
