//! One instance: builds its parts, runs them, drains and ends.

use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded, select, tick};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

use crate::auth::FleetKey;
use crate::catalogue::CatalogueMachine;
use crate::claim::{Bounds, Claims};
use crate::clock::{Clock, SystemClock, wall_millis};
use crate::confirm::ReadBatcher;
use crate::control::{self, Control};
use crate::dump::{CatalogueDump, Dump, RequestDump};
use crate::error::{FailedSnafu, Result};
use crate::event;
use crate::follow::CatalogueFollower;
use crate::gate::Gate;
use crate::gossip::{Fleet, FleetSettings};
use crate::id::Incarnation;
use crate::lease::LeasedCatalogue;
use crate::log;
use crate::node::{CATALOGUE_GROUP, CLAIM_GROUP, CLAIM_SHARDS, LocalVoter, Node, order_voters};
use crate::peer::{self, Peers};
use crate::periodic::{keep_claims, keep_shares, start_views};
use crate::poll::Poller;
use crate::propose::Proposer;
use crate::serve::{self, Server};
use crate::settings::Settings;
use crate::startup::{install_metrics, listen, start_error};
use crate::supervise::{Policy, Supervisor};
use crate::voter::{StateMachine, Voter, VoterSettings};

/// Period of looking whether the last request has ended while draining.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// Time for which a draining instance still answers new requests with a
/// refusal: the platform's balancer takes a probe or two to notice.
const LINGER: Duration = Duration::from_millis(500);

/// Heartbeats in one election timeout.
const HEARTBEATS: u32 = 4;

/// Applied commands between two snapshots of a group.
const COMPACT: u64 = 1000;

/// Entries kept behind a snapshot for voters that lag a little.
const KEEP: u64 = 256;

/// Time between two probes of the failure detector.
const GOSSIP: Duration = Duration::from_secs(1);

/// Runs one instance until a signal, and lets running answers end.
///
/// # Errors
///
/// When a part can't start, or one failed that the instance can't do without.
pub(crate) fn run(settings: Settings) -> Result<()> {
    log::start(settings.json);
    let parts = Parts::start(Arc::new(settings))?;
    let result = parts.wait();
    parts.stop();
    tracing::info!(event = event::STOPPED.id, "stopped");
    result
}

/// The running parts.
struct Parts {
    settings: Arc<Settings>,
    supervisor: Supervisor,
    signals: Receiver<()>,
    gate: Arc<Gate>,
    fleet: Fleet,
    node: Node,
    peer_runtime: Runtime,
    caller_runtime: Runtime,
    control_runtime: Runtime,
}

impl Parts {
    fn start(settings: Arc<Settings>) -> Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let incarnation = incarnation();
        let metrics = install_metrics()?;
        let supervisor = Supervisor::new();
        // Callers have a runtime of their own: however many there are, the
        // heartbeats and leases of the control path find a free thread.
        let peer_runtime = runtime("peers", 1)?;
        let caller_runtime = runtime("callers", settings.workers)?;
        let control_runtime = runtime("control", 1)?;
        let control_listener = listen(settings.control, "operators and upstreams")?;
        let peer_listener = listen(settings.peer, "instances")?;
        let caller_listener = listen(settings.caller, "callers")?;

        let peers = Peers::new(settings.key.clone(), peer_runtime.handle().clone());
        for (id, addr) in &settings.voters {
            peers.set_address(*id, *addr);
        }
        let local = start_voter(&settings, &clock, &peers, &supervisor)?;
        let mut voters: Vec<_> = settings.voters.keys().copied().collect();
        order_voters(&mut voters, settings.instance);
        let node = Node::new(settings.instance, peers.clone(), local, voters.clone());
        let fleet = start_fleet(&settings, &clock, incarnation, &supervisor)?;

        let force = Arc::new(LeasedCatalogue::new());
        let follower = CatalogueFollower::new(voters, settings.lease, Arc::clone(&force));
        let poller = Poller::new(
            follower,
            node.clone(),
            Arc::clone(&clock),
            settings.lease / 4,
        );
        let proposer = |group| Arc::new(Proposer::new(node.clone(), group));
        let catalogue = proposer(CATALOGUE_GROUP);
        let claims: Vec<_> = (CLAIM_GROUP..CLAIM_GROUP + CLAIM_SHARDS)
            .map(proposer)
            .collect();
        let gate = Arc::new(Gate::default());
        let server = Server::new(serve::Dependencies {
            settings: Arc::clone(&settings),
            clock: Arc::clone(&clock),
            incarnation,
            catalogue: Arc::clone(&force),
            gate: Arc::clone(&gate),
            fleet: fleet.clone(),
            claims: claims.clone(),
        });

        peer_runtime.spawn(run_peers(
            peer_listener,
            settings.key.clone(),
            Arc::new(node.clone()),
        ));
        peer_runtime.spawn(poller.clone().run(settings.poll));
        peer_runtime.spawn(keep_shares(
            node.clone(),
            Arc::clone(&catalogue),
            Arc::clone(&server),
        ));
        for (group, register) in (CLAIM_GROUP..).zip(claims.clone()) {
            let clock = Arc::clone(&clock);
            peer_runtime.spawn(keep_claims(node.clone(), group, register, clock));
        }
        caller_runtime.spawn(Arc::clone(&server).accept(caller_listener));
        start_views(&supervisor, &server, &fleet, &peers);
        let control = Arc::new(Control {
            settings: Arc::clone(&settings),
            clock: Arc::clone(&clock),
            force: Arc::clone(&force),
            poller,
            proposer: catalogue,
            registers: claims.clone(),
            fleet: fleet.clone(),
            gate: Arc::clone(&gate),
            metrics,
            dump: dumper(&settings, &node, (&server, &force, &gate, &fleet), &clock),
        });
        control_runtime.spawn(control::serve(control, control_listener));
        let signals = signals(&peer_runtime)?;
        tracing::info!(
            event = event::STARTED.id,
            instance = settings.instance.0,
            domain = settings.domain,
            "started"
        );
        Ok(Self {
            settings,
            supervisor,
            signals,
            gate,
            fleet,
            node,
            peer_runtime,
            caller_runtime,
            control_runtime,
        })
    }

    /// Waits for a signal and drains, or for a failure.
    fn wait(&self) -> Result<()> {
        select! {
            recv(self.signals) -> _ => self.drain(),
            recv(self.supervisor.failures()) -> part => {
                let part = part.unwrap_or_default();
                return FailedSnafu { part }.fail();
            }
        }
        Ok(())
    }

    /// Takes no new work and waits until the last answer is whole, the drain
    /// limit has run out, or a second signal comes.
    fn drain(&self) {
        self.gate.close();
        self.fleet.drain();
        let running = self.gate.running();
        tracing::info!(event = event::DRAINING.id, running, "draining");
        let limit = crossbeam::channel::after(self.settings.drain);
        let look = tick(DRAIN_LOOK);
        let linger = crossbeam::channel::after(LINGER);
        let mut lingered = false;
        while !lingered || self.gate.running() > 0 {
            select! {
                recv(look) -> _ => {}
                recv(linger) -> _ => lingered = true,
                recv(self.signals) -> _ => break,
                recv(limit) -> _ => break,
            }
        }
        let running = self.gate.running();
        if running > 0 {
            tracing::warn!(event = event::DRAIN_LIMIT.id, running, "answers cut off");
        }
    }

    fn stop(self) {
        self.fleet.stop();
        if let Some(local) = self.node.local_voter() {
            local.voter.stop();
        }
        self.caller_runtime.shutdown_timeout(LINGER);
        self.control_runtime.shutdown_background();
        self.peer_runtime.shutdown_background();
    }
}

/// Start of this process on the wall clock, in milliseconds: it grows with
/// each start and needs no disk.
fn incarnation() -> Incarnation {
    Incarnation(wall_millis())
}

fn runtime(name: &'static str, workers: usize) -> Result<Runtime> {
    let built = Builder::new_multi_thread()
        .worker_threads(workers)
        .thread_name(name)
        .enable_all()
        .build();
    built.map_err(|e| start_error(name, &e))
}

fn start_voter(
    settings: &Settings,
    clock: &Arc<dyn Clock>,
    peers: &Peers,
    supervisor: &Supervisor,
) -> Result<Option<LocalVoter>> {
    let Some(data) = settings.data.clone() else {
        return Ok(None);
    };
    let (machine, catalogue) = CatalogueMachine::new();
    let voter_settings = VoterSettings {
        instance: settings.instance,
        data_dir: data,
        initial_voters: settings.voters.keys().copied().collect(),
        election_timeout: settings.election,
        heartbeat_interval: settings.election / HEARTBEATS,
        contacts: Vec::new(),
        snapshot_interval: COMPACT,
        retained_entries: KEEP,
        seed: rand::random(),
    };
    let links = peers.clone();
    let mut machines: Vec<Box<dyn StateMachine>> = vec![Box::new(machine)];
    machines.extend(
        (0..CLAIM_SHARDS)
            .map(|_| -> Box<dyn StateMachine> { Box::new(Claims::new(Bounds::default())) }),
    );
    let spawned = Voter::spawn(
        voter_settings,
        machines,
        Box::new(move |to, message| links.send(to, message)),
        Arc::clone(clock),
    );
    let (voter, thread) = spawned.map_err(|e| start_error("voter", &e))?;
    watch(supervisor, "voter", thread, |ended| {
        if let Err(e) = ended {
            panic!("the voter's store failed: {e}");
        }
    });
    Ok(Some(LocalVoter {
        read_batcher: ReadBatcher::start(voter.clone(), CATALOGUE_GROUP, peers.runtime()),
        voter,
        catalogue,
        shares: Arc::default(),
        clock: Arc::clone(clock),
    }))
}

fn start_fleet(
    settings: &Settings,
    clock: &Arc<dyn Clock>,
    incarnation: Incarnation,
    supervisor: &Supervisor,
) -> Result<Fleet> {
    let seeds = settings.voters.values().copied();
    let fleet_settings = FleetSettings {
        id: settings.instance,
        incarnation,
        domain: settings.domain.clone(),
        bind: settings.peer,
        gossip: settings.advertised,
        peer: settings.advertised,
        control: settings.control,
        voter: settings.data.is_some(),
        probe_period: GOSSIP,
        seeds: seeds.filter(|s| *s != settings.advertised).collect(),
        key: settings.key.clone(),
        rng_seed: rand::random(),
    };
    let (fleet, thread) =
        Fleet::spawn(fleet_settings, Arc::clone(clock)).map_err(|e| start_error("fleet", &e))?;
    watch(supervisor, "fleet", thread, drop);
    Ok(fleet)
}

/// Hears of the panic of a thread that runs its own loop.
fn watch<T: Send + 'static>(
    supervisor: &Supervisor,
    name: &'static str,
    thread: thread::JoinHandle<T>,
    check: fn(T),
) {
    let mut thread = Some(thread);
    supervisor.start(name, Policy::Escalate, move || {
        match thread.take().map(thread::JoinHandle::join) {
            Some(Ok(ended)) => check(ended),
            Some(Err(panic)) => std::panic::resume_unwind(panic),
            None => {}
        }
    });
}

async fn run_peers(listener: StdListener, key: FleetKey, node: Arc<Node>) {
    let listener = TcpListener::from_std(listener).expect("the listener doesn't block");
    peer::serve(listener, key, node).await;
}

/// Makes the state dump on request.
fn dumper(
    settings: &Arc<Settings>,
    node: &Node,
    parts: (&Arc<Server>, &Arc<LeasedCatalogue>, &Arc<Gate>, &Fleet),
    clock: &Arc<dyn Clock>,
) -> Arc<dyn Fn() -> Dump + Send + Sync> {
    let settings = Arc::clone(settings);
    let node = node.clone();
    let (server, force, gate, fleet) = parts;
    let (server, force) = (Arc::clone(server), Arc::clone(force));
    let (gate, fleet) = (Arc::clone(gate), fleet.clone());
    let clock = Arc::clone(clock);
    Arc::new(move || {
        let catalogue = force.latest();
        Dump {
            instance: settings.instance.0,
            domain: settings.domain.clone(),
            release: env!("CARGO_PKG_VERSION"),
            catalogue: CatalogueDump {
                revision: catalogue.revision,
                entries: catalogue.records.len(),
                lease_left: force.remaining(clock.now()).as_millis(),
            },
            requests: RequestDump {
                running: gate.running(),
                queued: server.queued(),
                draining: gate.closed(),
            },
            groups: node
                .local_voter()
                .map(|v| v.voter.status())
                .unwrap_or_default(),
            fleet: fleet.dump(),
            bounds: server.throughput_bounds().into_iter().collect(),
        }
    })
}

fn signals(runtime: &Runtime) -> Result<Receiver<()>> {
    let (sender, receiver) = bounded(2);
    let _guard = runtime.enter();
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let stream = signal(kind).map_err(|e| start_error("signal handler", &e))?;
        runtime.spawn(forward(stream, sender.clone()));
    }
    Ok(receiver)
}

async fn forward(mut stream: tokio::signal::unix::Signal, sender: Sender<()>) {
    while stream.recv().await.is_some() {
        let _ = sender.try_send(());
    }
}
