//! Startup, operation and graceful shutdown of an instance.

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
use crate::periodic::{renew_limit_shares, run_claim_ticks, start_view_refresh};
use crate::poll::Poller;
use crate::propose::Proposer;
use crate::serve::{self, Server};
use crate::settings::Settings;
use crate::startup::{install_metrics, listen, start_error};
use crate::supervise::{RestartPolicy, Supervisor};
use crate::voter::{StateMachine, Voter, VoterSettings};

/// Maximum number of connections that other instances make to this one. Each has one, and a second
/// while it gives up a silent one.
const MAX_PEERS: usize = 1_024;

/// Interval at which a draining instance checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum time for which a draining instance still answers new requests with a refusal: the
/// platform's load balancer takes a probe or two to notice.
const LINGER: Duration = Duration::from_millis(500);

/// Heartbeats per election timeout.
const HEARTBEATS_PER_ELECTION: u32 = 4;

/// Applied commands between two snapshots of a group.
const SNAPSHOT_INTERVAL: u64 = 1000;

/// Entries kept before a snapshot for voters that lag a little.
const RETAINED_ENTRIES: u64 = 256;

/// Interval between two probes of the failure detector.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Runs an instance until it receives a signal, then drains it.
///
/// # Errors
///
/// If a component can't be started, or one that the instance requires has failed.
pub(crate) fn run(settings: Settings) -> Result<()> {
    log::init(settings.json_logs);
    let instance = Instance::start(Arc::new(settings))?;
    let result = instance.wait();
    instance.stop();
    tracing::info!(event = event::STOPPED.id, "stopped");
    result
}

/// Components of a running instance.
struct Instance {
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

impl Instance {
    fn start(settings: Arc<Settings>) -> Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let incarnation = incarnation();
        let metrics = install_metrics()?;
        let supervisor = Supervisor::new();
        // Callers have a runtime of their own, so that their number can't delay the heartbeats
        // and leases of the control path.
        let peer_runtime = build_runtime("peers", 1)?;
        let caller_runtime = build_runtime("callers", settings.workers)?;
        let control_runtime = build_runtime("control", 1)?;
        let control_listener = listen(settings.control_addr, "operators and upstreams")?;
        let peer_listener = listen(settings.peer_addr, "instances")?;
        let caller_listener = listen(settings.caller_addr, "callers")?;

        let peers = Peers::new(settings.fleet_key.clone(), peer_runtime.handle().clone());
        for (id, addr) in &settings.voters {
            peers.set_address(*id, *addr);
        }
        let local = start_voter(&settings, &clock, &peers, &supervisor)?;
        let mut voters: Vec<_> = settings.voters.keys().copied().collect();
        order_voters(&mut voters, settings.instance);
        let node = Node::new(settings.instance, peers.clone(), local, voters.clone());
        let fleet = start_fleet(&settings, &clock, incarnation, &supervisor)?;

        let catalogue = Arc::new(LeasedCatalogue::new());
        let follower = CatalogueFollower::new(voters, settings.lease, Arc::clone(&catalogue));
        let poller = Poller::new(
            follower,
            node.clone(),
            Arc::clone(&clock),
            settings.lease / 4,
        );
        let proposer = |group| Arc::new(Proposer::new(node.clone(), group));
        let catalogue_proposer = proposer(CATALOGUE_GROUP);
        let claim_proposers: Vec<_> = (CLAIM_GROUP..CLAIM_GROUP + CLAIM_SHARDS)
            .map(proposer)
            .collect();
        let gate = Arc::new(Gate::default());
        let server = Server::new(serve::Dependencies {
            settings: Arc::clone(&settings),
            clock: Arc::clone(&clock),
            incarnation,
            catalogue: Arc::clone(&catalogue),
            gate: Arc::clone(&gate),
            fleet: fleet.clone(),
            claims: claim_proposers.clone(),
        });

        peer_runtime.spawn(serve_peers(
            peer_listener,
            settings.fleet_key.clone(),
            Arc::new(node.clone()),
        ));
        peer_runtime.spawn(poller.clone().run(settings.poll_interval));
        peer_runtime.spawn(renew_limit_shares(
            node.clone(),
            Arc::clone(&catalogue_proposer),
            Arc::clone(&server),
        ));
        for (group, proposer) in (CLAIM_GROUP..).zip(claim_proposers.clone()) {
            let clock = Arc::clone(&clock);
            peer_runtime.spawn(run_claim_ticks(node.clone(), group, proposer, clock));
        }
        caller_runtime.spawn(Arc::clone(&server).accept(caller_listener));
        start_view_refresh(&supervisor, &server, &fleet, &peers);
        let control = Arc::new(Control {
            settings: Arc::clone(&settings),
            clock: Arc::clone(&clock),
            catalogue: Arc::clone(&catalogue),
            poller,
            proposer: catalogue_proposer,
            claim_proposers: claim_proposers.clone(),
            fleet: fleet.clone(),
            gate: Arc::clone(&gate),
            metrics,
            dump: dump_fn(
                &settings,
                &node,
                (&server, &catalogue, &gate, &fleet),
                &clock,
            ),
        });
        control_runtime.spawn(control::serve(control, control_listener));
        let signals = receive_signals(&peer_runtime)?;
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

    /// Waits for a signal and drains the instance, or returns the failure of a component.
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

    /// Stops taking new work and waits until all answers are complete, the drain timeout expires
    /// or a second signal arrives.
    fn drain(&self) {
        self.gate.close();
        self.fleet.drain();
        let running = self.gate.running();
        tracing::info!(event = event::DRAINING.id, running, "draining");
        let timeout = crossbeam::channel::after(self.settings.drain_timeout);
        let poll = tick(DRAIN_POLL_INTERVAL);
        let linger = crossbeam::channel::after(LINGER);
        let mut lingered = false;
        while !lingered || self.gate.running() > 0 {
            select! {
                recv(poll) -> _ => {}
                recv(linger) -> _ => lingered = true,
                recv(self.signals) -> _ => break,
                recv(timeout) -> _ => break,
            }
        }
        let running = self.gate.running();
        if running > 0 {
            tracing::warn!(
                event = event::DRAIN_LIMIT.id,
                running,
                "drain timeout expired; cutting off running answers"
            );
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

/// Wall-clock time of this start in milliseconds. Increases with each start, and needs no disk.
fn incarnation() -> Incarnation {
    Incarnation(wall_millis())
}

fn build_runtime(name: &'static str, workers: usize) -> Result<Runtime> {
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
    let Some(dir) = settings.data_dir.clone() else {
        return Ok(None);
    };
    let (machine, catalogue) = CatalogueMachine::new();
    let voters: Vec<_> = settings.voters.keys().copied().collect();
    let voter_settings = VoterSettings {
        instance: settings.instance,
        data_dir: dir,
        founders: voters.clone(),
        contacts: voters,
        election_timeout: settings.election_timeout,
        heartbeat_interval: settings.election_timeout / HEARTBEATS_PER_ELECTION,
        snapshot_interval: SNAPSHOT_INTERVAL,
        retained_entries: RETAINED_ENTRIES,
        seed: rand::random(),
    };
    let sender = peers.clone();
    let mut machines: Vec<Box<dyn StateMachine>> = vec![Box::new(machine)];
    machines.extend(
        (0..CLAIM_SHARDS)
            .map(|_| -> Box<dyn StateMachine> { Box::new(Claims::new(Bounds::default())) }),
    );
    let spawned = Voter::spawn(
        voter_settings,
        machines,
        Box::new(move |to, message| sender.send(to, message)),
        Arc::clone(clock),
    );
    let (voter, thread) = spawned.map_err(|e| start_error("voter", &e))?;
    supervise_thread(supervisor, "voter", thread, |result| {
        if let Err(e) = result {
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
        bind: settings.peer_addr,
        gossip: settings.advertised_addr,
        peer: settings.advertised_addr,
        control: settings.control_addr,
        voter: settings.data_dir.is_some(),
        probe_period: PROBE_PERIOD,
        seeds: seeds.filter(|s| *s != settings.advertised_addr).collect(),
        key: settings.fleet_key.clone(),
        rng_seed: rand::random(),
    };
    let (fleet, thread) =
        Fleet::spawn(fleet_settings, Arc::clone(clock)).map_err(|e| start_error("fleet", &e))?;
    supervise_thread(supervisor, "fleet", thread, drop);
    Ok(fleet)
}

/// Reports the panic of a running thread to the supervisor, and passes its result to `check`.
fn supervise_thread<T: Send + 'static>(
    supervisor: &Supervisor,
    name: &'static str,
    thread: thread::JoinHandle<T>,
    check: fn(T),
) {
    let mut thread = Some(thread);
    supervisor.start(name, RestartPolicy::Escalate, move || {
        match thread.take().map(thread::JoinHandle::join) {
            Some(Ok(result)) => check(result),
            Some(Err(panic)) => std::panic::resume_unwind(panic),
            None => {}
        }
    });
}

async fn serve_peers(listener: StdListener, key: FleetKey, node: Arc<Node>) {
    let listener = TcpListener::from_std(listener).expect("the listener is non-blocking");
    peer::serve(listener, key, node, MAX_PEERS).await;
}

/// Returns a function that dumps the state of the instance.
fn dump_fn(
    settings: &Arc<Settings>,
    node: &Node,
    parts: (&Arc<Server>, &Arc<LeasedCatalogue>, &Arc<Gate>, &Fleet),
    clock: &Arc<dyn Clock>,
) -> Arc<dyn Fn() -> Dump + Send + Sync> {
    let settings = Arc::clone(settings);
    let node = node.clone();
    let (server, leased, gate, fleet) = parts;
    let (server, leased) = (Arc::clone(server), Arc::clone(leased));
    let (gate, fleet) = (Arc::clone(gate), fleet.clone());
    let clock = Arc::clone(clock);
    Arc::new(move || {
        let catalogue = leased.latest();
        Dump {
            instance: settings.instance.0,
            domain: settings.domain.clone(),
            release: env!("CARGO_PKG_VERSION"),
            catalogue: CatalogueDump {
                revision: catalogue.revision,
                entries: catalogue.records.len(),
                lease_left: leased.remaining(clock.now()).as_millis(),
            },
            requests: RequestDump {
                running: gate.running(),
                queued: server.queued(),
                draining: gate.is_closed(),
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

/// Returns a channel that receives a message for each SIGTERM or SIGINT.
fn receive_signals(runtime: &Runtime) -> Result<Receiver<()>> {
    let (sender, receiver) = bounded(2);
    let _guard = runtime.enter();
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let stream = signal(kind).map_err(|e| start_error("signal handler", &e))?;
        runtime.spawn(forward_signals(stream, sender.clone()));
    }
    Ok(receiver)
}

async fn forward_signals(mut stream: tokio::signal::unix::Signal, sender: Sender<()>) {
    while stream.recv().await.is_some() {
        let _ = sender.try_send(());
    }
}
