//! The controller role: replicates the configuration, receives the heartbeats of upstreams,
//! answers the sync requests of entry instances, and orders which layers engines load.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use snafu::ResultExt;
use tokio::runtime::Handle;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use self::follower::{Follower, Identity};
use self::leader::LeaderState;
use crate::auth::FleetKey;
use crate::body_memory::BodyMemory;
use crate::client_limits::ClientLimits;
use crate::clock::{Clock, SystemClock, Time, millis, wall_millis};
use crate::configuration::RoutingTable;
use crate::decide::body_budget::Kind;
use crate::decide::members;
use crate::error::{ListenSnafu, Result};
use crate::event;
use crate::http::{self, ReceiveLimits};
use crate::id::InstanceId;
use crate::message::{Answer, Ask, Reply, Request};
use crate::peer::{self, Handler, Peers, ReplySink};
use crate::platform::boot::Boot;
use crate::register::{Register, VersionedConfiguration};
use crate::relay::Relay;
use crate::replica::Message;
use crate::role::{self, RoleSettings, VoterExit};
use crate::roster::LayerRange;
use crate::startup;
use crate::store::StoreError;
use crate::sync::{self, SyncReply, SyncRequest};
use crate::voter::{GroupStatus, LeaderInfo, Voter, VoterSettings};

mod call;
mod crash_evidence;
mod follow;
pub(crate) mod follower;
mod heartbeat;
pub(crate) mod leader;
mod limits;
mod measure;
pub(crate) mod order;
mod pace;
pub(crate) mod page;
mod place;
mod quarantine;
pub(crate) mod reports;

/// The only group of the replicated log.
const GROUP: u32 = 0;

/// Number of heartbeats per election timeout.
const HEARTBEATS_PER_ELECTION: u32 = 4;

/// Number of applied commands between two snapshots. A configuration takes tens of kilobytes,
/// and a voter has a disk of 128 MB.
const SNAPSHOT_INTERVAL: u64 = 24;

/// Number of log entries kept before a snapshot, for voters that lag slightly.
const RETAINED_ENTRIES: u64 = 8;

/// Interval at which the leader confirms with a quorum that it still leads.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// Age of the latest confirmation from which a leader no longer answers entry instances: it
/// may have been deposed, and they should ask another controller.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(800);

/// Interval at which voters, upstreams, placement and quarantine are maintained.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Lag of a tick from which this process counts as paused, with its host or alone. What was sent to
/// it meanwhile may be read after the tick only.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Delay before a failed store is reopened.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// Time for which a process that shuts down still answers, so that another controller leads
/// before its connections close.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(400);

/// A confirmation by a quorum.
#[derive(Clone, Copy)]
struct Confirmation {
    /// Time at which the confirmation began: everything committed before is applied here.
    at: Time,
    term: u64,
}

/// One running controller.
pub(crate) struct Controller {
    boot: Boot,
    control: SocketAddrV4,
    clock: Arc<dyn Clock>,
    /// Time at which the store was opened.
    started: Time,
    voter: Voter,
    peers: Peers,
    register: Register,
    leader_state: Mutex<LeaderState>,
    /// State while another controller leads. Locked after `leader_state` where both are.
    follower: Mutex<Follower>,
    /// Heartbeats to forward to the leader.
    relay: Mutex<Relay<heartbeat::AckSender>>,
    /// Notified when a heartbeat is added to `relay`.
    relay_notify: Notify,
    confirmation: Mutex<Option<Confirmation>>,
    /// The configuration in force, decoded and indexed.
    routing_table: Mutex<Option<Arc<RoutingTable>>>,
    /// The configuration in force, compressed for entry instances.
    compressed_configuration: Mutex<Option<VersionedConfiguration>>,
    /// Layers that no engine holds, by model and failure domain, as last logged.
    last_coverage: Mutex<Vec<BTreeMap<String, Vec<LayerRange>>>>,
    engine_calls: place::EngineCalls,
    /// Seeds in the settings as last read.
    seeds: ArcSwap<Vec<InstanceId>>,
    shutting_down: AtomicBool,
}

/// The running controller; empty while its store is reopened.
#[derive(Default)]
struct ControllerSlot(ArcSwapOption<Controller>);

/// Runs a controller until the process is asked to stop.
///
/// If the store fails, for example on a full disk, it is reopened in this process, and the
/// controller's state in memory is discarded as after a restart. The machine's other roles and
/// addresses are not affected.
///
/// # Errors
///
/// If the settings are invalid, or the files of the log cannot be used.
pub(crate) fn run(settings: &RoleSettings) -> Result<()> {
    let boot = settings.boot()?;
    let limits = ClientLimits::of_role(&boot, settings)?;
    let runtime = role::runtime()?;
    let stop = role::handle_signals(&runtime, settings)?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let key = FleetKey::new(role::FLEET_SECRET);
    let peers = Peers::on_port(key.clone(), runtime.handle().clone(), boot.ports.0);
    let slot = Arc::new(ControllerSlot::default());
    let observed = Arc::clone(&slot);
    role::serve_metrics(settings, boot.ip, &runtime, move || {
        if let Some(controller) = observed.0.load_full() {
            controller.measure();
        }
    })?;
    listen(&slot, &boot, &limits, key, runtime.handle())?;
    role::log_start("controller", &boot);
    let ended = runtime.block_on(async {
        tokio::select! {
            () = stop.wait() => Ok(()),
            failed = supervise(settings, &boot, &clock, &peers, &slot) => failed,
        }
    });
    if let Some(controller) = slot.0.swap(None) {
        controller.shutting_down.store(true, Ordering::Relaxed);
        controller.voter.stop();
        runtime.block_on(sleep(SHUTDOWN_DELAY));
    }
    runtime.shutdown_background();
    tracing::info!(event = event::STOPPED.id, "stopped");
    ended
}

/// Runs a controller and restarts it when its store fails.
///
/// # Errors
///
/// If the failure cannot be fixed by reopening the store.
async fn supervise(
    settings: &RoleSettings,
    boot: &Boot,
    clock: &Arc<dyn Clock>,
    peers: &Peers,
    slot: &ControllerSlot,
) -> Result<()> {
    loop {
        let failed = match start(settings, boot, clock, peers)? {
            Ok((controller, thread)) => {
                slot.0.store(Some(Arc::clone(&controller)));
                let ended = role::join_voter(thread).await;
                slot.0.store(None);
                controller.shutting_down.store(true, Ordering::Relaxed);
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
        sleep(REOPEN_DELAY).await;
    }
}

type VoterThread = std::thread::JoinHandle<Result<(), StoreError>>;
type StartResult = std::result::Result<(Arc<Controller>, VoterThread), StoreError>;

fn start(
    settings: &RoleSettings,
    boot: &Boot,
    clock: &Arc<dyn Clock>,
    peers: &Peers,
) -> Result<StartResult> {
    let control = role::required(boot.control, "a control address")?;
    let (register, machine) = Register::new();
    let outgoing = peers.clone();
    let spawned = Voter::spawn(
        voter_settings(settings, boot)?,
        vec![Box::new(machine)],
        Box::new(move |to, message| outgoing.send(to, message)),
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
        leader_state: Mutex::new(LeaderState::new(boot.heartbeat, settings.direct)),
        follower: Mutex::new(Follower::new(Identity {
            instance: role::instance_id(boot.ip).0,
            domain: boot.domain.clone(),
            born: wall_millis(),
            source: rand::random(),
        })),
        relay: Mutex::default(),
        relay_notify: Notify::new(),
        confirmation: Mutex::default(),
        routing_table: Mutex::default(),
        compressed_configuration: Mutex::default(),
        last_coverage: Mutex::default(),
        engine_calls: place::EngineCalls::default(),
        seeds: ArcSwap::from_pointee(role::seeds(boot)),
        shutting_down: AtomicBool::new(false),
        boot: boot.clone(),
    });
    tokio::spawn(Arc::clone(&controller).confirm());
    tokio::spawn(Arc::clone(&controller).maintain());
    tokio::spawn(Arc::clone(&controller).forward_heartbeats());
    tokio::spawn(Arc::clone(&controller).follow_leader());
    tokio::spawn(Arc::clone(&controller).follow_seeds(settings.clone()));
    Ok(Ok((controller, thread)))
}

/// Listens for connections of other instances, operators and upstreams.
fn listen(
    slot: &Arc<ControllerSlot>,
    boot: &Boot,
    limits: &ClientLimits,
    key: FleetKey,
    runtime: &Handle,
) -> Result<()> {
    let addr = SocketAddrV4::new(boot.ip, boot.ports.0).into();
    let role = "instances";
    let peers = startup::listen(addr, role)?;
    let _guard = runtime.enter();
    let peers = tokio::net::TcpListener::from_std(peers);
    let peers = peers.context(ListenSnafu { addr, role })?;
    runtime.spawn(peer::serve(peers, key, Arc::clone(slot) as _, limits.peers));
    let addr = role::required(boot.control, "a control address")?.into();
    let control = startup::listen(addr, "operators and upstreams")?;
    let slot = Arc::clone(slot);
    let bounds = ReceiveLimits {
        max_head: call::MAX_HEAD_BYTES,
        receive_timeout: call::IDLE_TIMEOUT,
        connections: limits.connections,
    };
    let bodies = BodyMemory::new(limits.bodies);
    runtime.spawn(http::accept(control, bounds, move |request| {
        call::answer(slot.0.load_full(), request, bodies.share(Kind::Request))
    }));
    Ok(())
}

/// The seeds found the group only at the first start of the fleet. Whether a store takes part in
/// that is recorded when its data directory is created: seeds that are named later, or a directory
/// that comes back empty, found nothing.
fn voter_settings(settings: &RoleSettings, boot: &Boot) -> Result<VoterSettings> {
    let seeds = role::seeds(boot);
    Ok(VoterSettings {
        instance: role::instance_id(boot.ip),
        data_dir: role::required(boot.data_dir.clone(), "a data folder")?,
        founders: if boot.first_start {
            seeds.clone()
        } else {
            Vec::new()
        },
        contacts: seeds,
        election_timeout: settings.election,
        heartbeat_interval: settings.election / HEARTBEATS_PER_ELECTION,
        snapshot_interval: SNAPSHOT_INTERVAL,
        retained_entries: RETAINED_ENTRIES,
        seed: rand::random(),
    })
}

impl Controller {
    fn now(&self) -> Time {
        self.clock.now()
    }

    fn leader_info(&self) -> LeaderInfo {
        self.voter.leader_info(GROUP)
    }

    /// Returns the leader: as the replicated log names it to its members, otherwise the one that
    /// this controller follows.
    fn known_leader(&self) -> Option<InstanceId> {
        let known = self.leader_info().leader;
        known.or_else(|| self.follower().live_leader(self.now()))
    }

    /// Returns the voter's status of the replicated log.
    fn status(&self) -> Option<GroupStatus> {
        let mut groups = self.voter.status().into_iter();
        groups.find(|s| s.group == GROUP)
    }

    fn id(&self) -> InstanceId {
        role::instance_id(self.boot.ip)
    }

    fn relay(&self) -> MutexGuard<'_, Relay<heartbeat::AckSender>> {
        self.relay.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn leader_state(&self) -> MutexGuard<'_, LeaderState> {
        self.leader_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn follower(&self) -> MutexGuard<'_, Follower> {
        self.follower.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state of the current term, if this controller leads.
    fn state_if_leading(&self) -> Option<MutexGuard<'_, LeaderState>> {
        let term = self.leader_info().term?;
        let mut state = self.leader_state();
        let now = self.now();
        if state.enter_term(now, term, &self.register)
            && let Some(inheritance) = self.follower().hand_over(now)
        {
            state.inherit(now, inheritance);
        }
        place::report_ended(&mut state);
        Some(state)
    }

    /// Confirms that all committed entries are applied here, periodically and after each change
    /// of the leader: until then, a new leader answers no entry instance.
    async fn confirm(self: Arc<Self>) {
        let mut changes = self.voter.leader_changes();
        while !self.shutting_down.load(Ordering::Relaxed) {
            let at = self.now();
            let before = self.leader_info().term;
            if let Some(term) = before
                && self.confirm_read().await
                && self.leader_info().term == before
            {
                let confirmation = Some(Confirmation { at, term });
                *self
                    .confirmation
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner) = confirmation;
            }
            let _ = timeout(CONFIRM_INTERVAL, changes.changed()).await;
        }
    }

    /// Whether a quorum confirmed that all entries committed before the call are applied here.
    async fn confirm_read(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        let done = move |read: std::result::Result<u64, _>| {
            let _ = reply.send(read.is_ok());
        };
        self.voter.read(GROUP, Box::new(done));
        answer.await.unwrap_or(false)
    }

    /// Returns the age of the latest confirmation in this term, unless it is too old.
    fn confirmation_age(&self) -> Option<Duration> {
        let term = self.leader_info().term?;
        let confirmation = self
            .confirmation
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let confirmation = confirmation.filter(|c| c.term == term)?;
        let age = self.now().since(confirmation.at);
        (age < MAX_CONFIRMATION_AGE).then_some(age)
    }

    /// Maintains voters, upstreams, placement and quarantine while leading.
    async fn maintain(self: Arc<Self>) {
        while !self.shutting_down.load(Ordering::Relaxed) {
            let began = self.now();
            sleep(TICK_INTERVAL).await;
            if self.leader_info().term.is_none() {
                continue;
            }
            let now = self.now();
            let paused = now.since(began).saturating_sub(TICK_INTERVAL);
            // The silence of voters is measured elsewhere, so their answers are awaited first.
            match paused >= MIN_PAUSE {
                true => self.excuse_silence(now, paused),
                false => self.maintain_voters(),
            }
            self.maintain_upstreams();
            self.maintain_quarantine();
        }
    }

    /// Doesn't count a pause of this process as silence of upstreams and instances.
    fn excuse_silence(&self, now: Time, paused: Duration) {
        let Some(mut state) = self.state_if_leading() else {
            return;
        };
        state.excuse_silence(now, paused);
        drop(state);
        tracing::warn!(
            event = event::LEADER_PAUSED.id,
            paused_ms = millis(paused),
            "the leader was paused"
        );
    }

    fn maintain_voters(&self) {
        let Some(status) = self.status() else {
            return;
        };
        let wanted = members::required_voters(self.boot.fault_tolerance);
        let members = members::statuses(&status);
        if let Some(change) = members::next_change(&members, &status.non_members, wanted) {
            let done = move |outcome: std::result::Result<(), _>| match outcome {
                Ok(()) => tracing::info!(event = event::VOTER_CHANGED.id, ?change, "voter changed"),
                Err(e) => tracing::debug!(?change, "voter not changed: {e}"),
            };
            self.voter.change_member(GROUP, change, Box::new(done));
        }
    }

    fn maintain_upstreams(self: &Arc<Self>) {
        let Some(mut state) = self.state_if_leading() else {
            return;
        };
        let now = self.now();
        for id in state.tick(now) {
            tracing::warn!(event = event::UPSTREAM_LOST.id, upstream = %id, "no heartbeats");
        }
        place::report_ended(&mut state);
        let Some(table) = self.routing_table() else {
            return;
        };
        // Without a recent confirmation, another controller may lead, and this term may be an
        // outdated fence for orders.
        if self.confirmation_age().is_none() {
            return;
        }
        self.report_coverage(&state, &table);
        let orders = state.orders(now, &table.configuration);
        let queries = state.next_pace_queries();
        drop(state);
        for query in queries {
            tokio::spawn(Arc::clone(self).query_pace(query));
        }
        for order in orders {
            tokio::spawn(Arc::clone(self).execute_order(order));
        }
    }

    /// Logs the layers that no engine holds, by failure domain, if they changed.
    fn report_coverage(&self, state: &LeaderState, table: &RoutingTable) {
        let models = table.configuration.models();
        let coverage: Vec<_> = models.map(|(s, m)| state.missing_layers(s, m)).collect();
        let mut last = self
            .last_coverage
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if *last != coverage {
            tracing::info!(
                event = event::LAYERS_MISSING.id,
                ?coverage,
                "layers missing"
            );
            *last = coverage;
        }
    }

    /// Returns the configuration in force, decoded and indexed.
    fn routing_table(&self) -> Option<Arc<RoutingTable>> {
        let mut table = self
            .routing_table
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let version = table.as_ref().map_or(0, |t| t.configuration.version);
        if self.register.version() != version {
            let VersionedConfiguration { body, .. } = self.register.current()?;
            // Only configurations that were decoded and checked are proposed.
            let decoded = crate::platform::configuration::decode(&body);
            *table = decoded.ok().map(RoutingTable::new);
        }
        table.clone()
    }

    /// Returns the configuration in force, compressed once for all instances.
    fn compressed_configuration(&self) -> Option<VersionedConfiguration> {
        let current = self.register.current()?;
        let mut compressed = self
            .compressed_configuration
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if compressed
            .as_ref()
            .is_none_or(|p| p.version != current.version)
        {
            *compressed = Some(VersionedConfiguration {
                version: current.version,
                body: sync::pack(&current.body),
            });
        }
        compressed.clone()
    }

    /// Answers a sync request, or returns the leader.
    fn sync(&self, request: SyncRequest) -> Answer {
        let (Some(age), Some(mut state)) = (self.confirmation_age(), self.state_if_leading())
        else {
            return self.sync_as_follower(request);
        };
        let current = self.compressed_configuration();
        let known_quarantine = request.quarantine_checksum;
        let (instance, born, sequence) = (request.instance, request.born, request.sequence);
        let Some(request) = state.check_sync(request) else {
            tracing::info!(
                event = event::SYNC_OUTDATED.id,
                instance,
                born,
                sequence,
                "sync request refused"
            );
            return Answer::Unavailable(true);
        };
        let reply = state.sync(self.now(), request, age, current, &self.register);
        drop(state);
        let members = self.status().into_iter().flat_map(|s| s.members);
        Answer::Sync(Box::new(SyncReply {
            voters: members.map(|m| m.id).collect(),
            quarantine: self.quarantine(known_quarantine),
            ..reply
        }))
    }

    /// Answers a sync request of an entry instance if this controller follows the leader closely,
    /// or returns the leader.
    fn sync_as_follower(&self, request: SyncRequest) -> Answer {
        let leads = self.leader_info().term.is_some();
        if !leads && request.follower.is_none() {
            let now = self.now();
            let reply = self.follower().answer(now, request, MAX_CONFIRMATION_AGE);
            if let Some(reply) = reply {
                return Answer::Sync(Box::new(reply));
            }
        }
        Answer::NotLeader(self.known_leader().map_or(0, |l| l.0))
    }
}

impl Handler for ControllerSlot {
    fn deliver(&self, message: Message) {
        if let Some(controller) = self.0.load_full() {
            controller.voter.deliver(message);
        }
    }

    fn request(&self, request: Request, reply: ReplySink) {
        let answer = match (request.ask, self.0.load_full()) {
            (Some(Ask::Sync(request)), Some(controller)) => controller.sync(*request),
            (Some(Ask::Heartbeats(batch)), Some(controller)) => {
                controller.receive_heartbeats(batch)
            }
            _ => Answer::Unavailable(true),
        };
        reply.send(Reply {
            answer: Some(answer),
        });
    }
}

/// Returns the control address of an instance.
pub(crate) fn control_address(leader: InstanceId, port: u16) -> Option<SocketAddrV4> {
    let ip = u32::try_from(leader.0).ok()?;
    Some(SocketAddrV4::new(ip.into(), port))
}
