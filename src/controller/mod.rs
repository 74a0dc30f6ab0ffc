//! The controller role: keeps the configuration on a replicated log, hears the
//! upstreams, tells the entry instances, and orders which layers engines hold.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use snafu::ResultExt;
use tokio::runtime::Handle;
use tokio::sync::{Notify, oneshot};
use tokio::time::sleep;

use self::leader::LeaderState;
use crate::auth::FleetKey;
use crate::clock::{Clock, SystemClock, Time};
use crate::configuration::RoutingTable;
use crate::decide::members::{self, Seen};
use crate::error::{ListenSnafu, Result};
use crate::event;
use crate::http::{self, Bounds};
use crate::id::InstanceId;
use crate::message::{Answer, Ask, Reply, Request};
use crate::peer::{self, Handler, Peers, ReplySink};
use crate::platform::boot::Boot;
use crate::register::{Register, Versioned};
use crate::relay::Relay;
use crate::replica::{Message, Role};
use crate::role::{self, RoleSettings, VoterExit};
use crate::roster::LayerRange;
use crate::startup;
use crate::store::StoreError;
use crate::sync::{self, SyncReply, SyncRequest};
use crate::voter::{GroupStatus, LeaderInfo, Voter, VoterSettings};

mod call;
mod heartbeat;
pub(crate) mod leader;
mod measure;
mod pace;
mod place;
mod quarantine;
pub(crate) mod reports;

/// The only group of the replicated log.
const GROUP: u32 = 0;

/// Heartbeats in one election timeout.
const HEARTBEATS: u32 = 4;

/// Applied commands between two snapshots. A configuration weighs tens of
/// kilobytes, and a voter has a disk of 128 MB.
const COMPACT: u64 = 24;

/// Entries kept behind a snapshot for voters that lag a little.
const KEEP: u64 = 8;

/// Period at which the leader confirms with a quorum that it still leads.
const CONFIRM: Duration = Duration::from_millis(200);

/// Age of a confirmation from which a leader no longer answers entry
/// instances: it may have been deposed, and they should ask another.
const STALE: Duration = Duration::from_millis(800);

/// Period of looking after members, upstreams and placement.
const TICK: Duration = Duration::from_millis(250);

/// Pause before a failed store is opened again.
const REOPEN: Duration = Duration::from_millis(500);

/// Time for which a process that ends still answers, so that its successor
/// leads before callers find it gone.
const LINGER: Duration = Duration::from_millis(400);

/// A confirmation by a quorum.
#[derive(Clone, Copy)]
struct Confirmed {
    /// When the confirmation began: all that was committed then is known.
    at: Time,
    term: u64,
}

/// One running controller.
pub(crate) struct Controller {
    boot: Boot,
    control: SocketAddrV4,
    clock: Arc<dyn Clock>,
    /// When its store was opened.
    started: Time,
    voter: Voter,
    peers: Peers,
    register: Register,
    leader_state: Mutex<LeaderState>,
    /// Heartbeats on their way to the leader.
    relay: Mutex<Relay<heartbeat::Waiter>>,
    /// Tells of heartbeats in `relay`.
    relayed: Notify,
    confirmed: Mutex<Option<Confirmed>>,
    /// The configuration in force, decoded.
    table: Mutex<Option<Arc<RoutingTable>>>,
    /// The configuration in force as entry instances get it.
    packed: Mutex<Option<Versioned>>,
    /// Layers that no engine of a domain holds, by model, as last logged.
    coverage: Mutex<Vec<BTreeMap<String, Vec<LayerRange>>>>,
    calls: place::Calls,
    ending: AtomicBool,
}

/// The controller that runs now; none while its store is opened again.
#[derive(Default)]
struct Slot(ArcSwapOption<Controller>);

/// Runs a controller until a signal.
///
/// A store that fails, as on a full disk, is opened again in this process: all
/// that was in memory is dropped, as at a new start, and the other roles of the
/// machine and its addresses are left alone.
///
/// # Errors
///
/// When the settings don't fit, or the files of the log can't be used.
pub(crate) fn run(settings: &RoleSettings) -> Result<()> {
    let boot = settings.boot()?;
    let runtime = role::runtime()?;
    let stop = role::handle_signals(&runtime, settings)?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let key = FleetKey::new(role::FLEET_SECRET);
    let peers = Peers::on_port(key.clone(), runtime.handle().clone(), boot.ports.0);
    let slot = Arc::new(Slot::default());
    let measured = Arc::clone(&slot);
    role::serve_metrics(settings, boot.ip, &runtime, move || {
        if let Some(controller) = measured.0.load_full() {
            controller.measure();
        }
    })?;
    listen(&slot, &boot, key, runtime.handle())?;
    role::log_start("controller", &boot);
    let ended = runtime.block_on(async {
        tokio::select! {
            () = stop.wait() => Ok(()),
            failed = keep(settings, &boot, &clock, &peers, &slot) => failed,
        }
    });
    if let Some(controller) = slot.0.swap(None) {
        controller.ending.store(true, Ordering::Relaxed);
        controller.voter.stop();
        runtime.block_on(sleep(LINGER));
    }
    runtime.shutdown_background();
    tracing::info!(event = event::STOPPED.id, "stopped");
    ended
}

/// Keeps a controller running; returns only with an error that opening the
/// store again can't mend.
async fn keep(
    settings: &RoleSettings,
    boot: &Boot,
    clock: &Arc<dyn Clock>,
    peers: &Peers,
    slot: &Slot,
) -> Result<()> {
    loop {
        let failed = match start(settings, boot, clock, peers)? {
            Ok((controller, thread)) => {
                slot.0.store(Some(Arc::clone(&controller)));
                let ended = role::join_voter(thread).await;
                slot.0.store(None);
                controller.ending.store(true, Ordering::Relaxed);
                match ended? {
                    VoterExit::Stopped => return Ok(()),
                    VoterExit::Failed(error) => error,
                }
            }
            Err(error) => error,
        };
        if !matches!(failed, StoreError::Io { .. } | StoreError::Failed) {
            return Err(startup::start_error("voter", &failed));
        }
        tracing::warn!(event = event::STORE_REOPENED.id, "{failed}");
        sleep(REOPEN).await;
    }
}

type VoterThread = std::thread::JoinHandle<Result<(), StoreError>>;
type Started = std::result::Result<(Arc<Controller>, VoterThread), StoreError>;

fn start(
    settings: &RoleSettings,
    boot: &Boot,
    clock: &Arc<dyn Clock>,
    peers: &Peers,
) -> Result<Started> {
    let control = role::required(boot.control, "a control address")?;
    let (register, machine) = Register::new();
    let links = peers.clone();
    let spawned = Voter::spawn(
        voter_settings(settings, boot)?,
        vec![Box::new(machine)],
        Box::new(move |to, message| links.send(to, message)),
        Arc::clone(clock),
    );
    let (voter, thread) = match spawned {
        Ok(spawned) => spawned,
        Err(error) => return Ok(Err(error)),
    };
    let controller = Arc::new(Controller {
        control,
        clock: Arc::clone(clock),
        started: clock.now(),
        voter,
        peers: peers.clone(),
        register,
        leader_state: Mutex::new(LeaderState::new(boot.heartbeat)),
        relay: Mutex::default(),
        relayed: Notify::new(),
        confirmed: Mutex::default(),
        table: Mutex::default(),
        packed: Mutex::default(),
        coverage: Mutex::default(),
        calls: place::Calls::default(),
        ending: AtomicBool::new(false),
        boot: boot.clone(),
    });
    tokio::spawn(Arc::clone(&controller).confirm());
    tokio::spawn(Arc::clone(&controller).tend());
    tokio::spawn(Arc::clone(&controller).pass_on());
    Ok(Ok((controller, thread)))
}

/// Listens for other instances, operators and upstreams.
fn listen(slot: &Arc<Slot>, boot: &Boot, key: FleetKey, runtime: &Handle) -> Result<()> {
    let addr = SocketAddrV4::new(boot.ip, boot.ports.0).into();
    let role = "instances";
    let peers = startup::listen(addr, role)?;
    let _guard = runtime.enter();
    let peers = tokio::net::TcpListener::from_std(peers);
    let peers = peers.context(ListenSnafu { addr, role })?;
    runtime.spawn(peer::serve(peers, key, Arc::clone(slot) as _));
    let addr = role::required(boot.control, "a control address")?.into();
    let control = startup::listen(addr, "operators and upstreams")?;
    let slot = Arc::clone(slot);
    let bounds = Bounds {
        head: call::MAX_HEAD,
        receive: call::IDLE,
    };
    runtime.spawn(http::accept(control, bounds, move |request| {
        call::answer(slot.0.load_full(), request)
    }));
    Ok(())
}

/// The seeds bootstrap the group only at the first start of the fleet. A store
/// that later comes back empty must not bootstrap again: it has lost its votes
/// and acknowledgements.
fn voter_settings(settings: &RoleSettings, boot: &Boot) -> Result<VoterSettings> {
    let data_dir = role::required(boot.data.clone(), "a data folder")?;
    let used = std::fs::read_dir(&data_dir).is_ok_and(|mut names| names.next().is_some());
    let seeds = role::seeds(boot);
    let initial_voters = if boot.founding || used {
        seeds.clone()
    } else {
        Vec::new()
    };
    Ok(VoterSettings {
        instance: role::instance_id(boot.ip),
        data_dir,
        initial_voters,
        contacts: seeds,
        election_timeout: settings.election,
        heartbeat_interval: settings.election / HEARTBEATS,
        snapshot_interval: COMPACT,
        retained_entries: KEEP,
        seed: rand::random(),
    })
}

impl Controller {
    fn now(&self) -> Time {
        self.clock.now()
    }

    fn lead(&self) -> LeaderInfo {
        self.voter.leader_info(GROUP)
    }

    /// What the voter tells of the replicated log.
    fn status(&self) -> Option<GroupStatus> {
        let mut groups = self.voter.status().into_iter();
        groups.find(|s| s.group == GROUP)
    }

    fn id(&self) -> InstanceId {
        role::instance_id(self.boot.ip)
    }

    fn relay(&self) -> MutexGuard<'_, Relay<heartbeat::Waiter>> {
        self.relay.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn leader_state(&self) -> MutexGuard<'_, LeaderState> {
        self.leader_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The board of the current term, if this controller leads.
    fn leading(&self) -> Option<MutexGuard<'_, LeaderState>> {
        let term = self.lead().term?;
        let mut state = self.leader_state();
        state.enter_term(self.now(), term, &self.register);
        Some(state)
    }

    /// Confirms over and over that all that is committed is known here.
    async fn confirm(self: Arc<Self>) {
        while !self.ending.load(Ordering::Relaxed) {
            let at = self.now();
            let before = self.lead().term;
            if let Some(term) = before
                && self.read().await
                && self.lead().term == before
            {
                let confirmed = Some(Confirmed { at, term });
                *self
                    .confirmed
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner) = confirmed;
            }
            sleep(CONFIRM).await;
        }
    }

    /// Whether a quorum confirmed that all committed before is applied here.
    async fn read(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        let done = move |read: std::result::Result<u64, _>| {
            let _ = reply.send(read.is_ok());
        };
        self.voter.read(GROUP, Box::new(done));
        answer.await.unwrap_or(false)
    }

    /// Age of the latest confirmation of this term.
    fn age(&self) -> Option<Duration> {
        let term = self.lead().term?;
        let confirmed = self
            .confirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let confirmed = confirmed.filter(|c| c.term == term)?;
        let age = self.now().since(confirmed.at);
        (age < STALE).then_some(age)
    }

    /// Looks after members, upstreams and placement while leading.
    async fn tend(self: Arc<Self>) {
        while !self.ending.load(Ordering::Relaxed) {
            sleep(TICK).await;
            if self.lead().term.is_none() {
                continue;
            }
            self.tend_members();
            self.tend_upstreams();
            self.tend_quarantine();
        }
    }

    fn tend_members(&self) {
        let Some(status) = self.status() else {
            return;
        };
        let silence = |peer| status.silences.iter().find(|(p, _)| *p == peer);
        let voting = status.members.iter().filter(|m| m.role() == Role::Voter);
        let voters: Vec<Seen> = voting
            .map(|m| Seen {
                peer: m.peer(),
                silent: silence(m.peer()).map_or(Duration::ZERO, |s| Duration::from_millis(s.1)),
            })
            .collect();
        let wanted = members::wanted(self.boot.tolerated);
        if let Some(change) = members::next(&voters, &status.strangers, wanted) {
            let done = move |outcome: std::result::Result<(), _>| match outcome {
                Ok(()) => tracing::info!(event = event::VOTER_CHANGED.id, ?change, "voter changed"),
                Err(e) => tracing::debug!(?change, "voter not changed: {e}"),
            };
            self.voter.change_member(GROUP, change, Box::new(done));
        }
    }

    fn tend_upstreams(self: &Arc<Self>) {
        let Some(mut state) = self.leading() else {
            return;
        };
        let now = self.now();
        for id in state.tick(now) {
            tracing::warn!(event = event::UPSTREAM_LOST.id, upstream = %id, "no heartbeats");
        }
        let Some(table) = self.table() else { return };
        // A leader that isn't sure to lead gives no orders: its fence is old.
        if self.age().is_none() {
            return;
        }
        self.report_coverage(&state, &table);
        let orders = state.orders(now, &table.configuration);
        let asked = state.next_pace_queries();
        drop(state);
        for asked in asked {
            tokio::spawn(Arc::clone(self).ask_pace(asked));
        }
        for order in orders {
            tokio::spawn(Arc::clone(self).place(order));
        }
    }

    /// Logs which layers no engine of a domain holds, when that changes.
    fn report_coverage(&self, state: &LeaderState, table: &RoutingTable) {
        let models = table.configuration.models();
        let coverage: Vec<_> = models.map(|(s, m)| state.missing_layers(s, m)).collect();
        let mut last = self.coverage.lock().unwrap_or_else(PoisonError::into_inner);
        if *last != coverage {
            tracing::info!(
                event = event::LAYERS_MISSING.id,
                ?coverage,
                "layers missing"
            );
            *last = coverage;
        }
    }

    /// The configuration in force, decoded.
    fn table(&self) -> Option<Arc<RoutingTable>> {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let version = table.as_ref().map_or(0, |t| t.configuration.version);
        if self.register.version() != version {
            let Versioned { body, .. } = self.register.current()?;
            // Only what was decoded and checked is ever proposed.
            let decoded = crate::platform::configuration::decode(&body);
            *table = decoded.ok().map(RoutingTable::new);
        }
        table.clone()
    }

    /// The configuration in force, packed once for all instances.
    fn packed(&self) -> Option<Versioned> {
        let current = self.register.current()?;
        let mut packed = self.packed.lock().unwrap_or_else(PoisonError::into_inner);
        if packed.as_ref().is_none_or(|p| p.version != current.version) {
            *packed = Some(Versioned {
                version: current.version,
                body: sync::pack(&current.body),
            });
        }
        packed.clone()
    }

    /// Answers an entry instance, or names the leader.
    fn sync(&self, ask: SyncRequest) -> Answer {
        let (Some(age), Some(mut state)) = (self.age(), self.leading()) else {
            return Answer::NotLeader(self.lead().leader.map_or(0, |l| l.0));
        };
        let current = self.packed();
        let known_quarantine = ask.quarantine_checksum;
        let reply = state.sync(self.now(), ask, age, current, &self.register);
        drop(state);
        let members = self.status().into_iter().flat_map(|s| s.members);
        Answer::Sync(Box::new(SyncReply {
            voters: members.map(|m| m.id).collect(),
            quarantine: self.quarantine(known_quarantine),
            ..reply
        }))
    }
}

impl Handler for Slot {
    fn deliver(&self, message: Message) {
        if let Some(controller) = self.0.load_full() {
            controller.voter.deliver(message);
        }
    }

    fn request(&self, request: Request, reply: ReplySink) {
        let answer = match (request.ask, self.0.load_full()) {
            (Some(Ask::Sync(ask)), Some(controller)) => controller.sync(ask),
            (Some(Ask::Heartbeats(batch)), Some(controller)) => controller.take_heartbeats(batch),
            _ => Answer::Unavailable(true),
        };
        reply.send(Reply {
            answer: Some(answer),
        });
    }
}

/// Number of the instance behind a control address.
pub(crate) fn control_of(leader: InstanceId, port: u16) -> Option<SocketAddrV4> {
    let ip = u32::try_from(leader.0).ok()?;
    Some(SocketAddrV4::new(ip.into(), port))
}
