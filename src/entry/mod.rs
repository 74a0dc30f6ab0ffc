//! The entry role: accepts requests from callers and forwards them to upstreams.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

use self::proxy::Capacity;
use self::view::{CurrentReply, View};
use self::waiters::Waiters;
use crate::auth::FleetKey;
use crate::body_memory::BodyMemory;
use crate::client_limits::{ClientLimits, MAX_HEAD};
use crate::clock::{Clock, SystemClock, Time, wall_millis};
use crate::collections::HashSet;
use crate::decide::admission::Admission;
use crate::decide::backoff::Backoffs;
use crate::decide::drain::Drain;
use crate::decide::health::Health;
use crate::decide::link::LinkShare;
use crate::decide::load::{Loads, unit_hash};
use crate::decide::proxies::Proxies;
use crate::decide::rate::RateLimiter;
use crate::decide::reachability::Reachability;
use crate::decide::refusal::RefusalRates;
use crate::decide::retry_budget::{RetryBudget, RetryLimit};
use crate::decide::run_history::RunHistory;
use crate::decide::shedding::Shedding;
use crate::decide::view_wait;
use crate::decide::waiting::QueueTiming;
use crate::error::Result;
use crate::event;
use crate::gate::Gate;
use crate::http::{self, ReceiveLimits};
use crate::id::InstanceId;
use crate::peer::Peers;
use crate::platform::boot::Boot;
use crate::role::{self, RoleSettings};
use crate::startup;

mod attempt;
mod body;
mod call;
mod cause;
mod crash;
pub(crate) mod event_buffer;
mod exchange;
mod follow;
mod head;
mod hedge;
mod limit;
mod listen;
mod measure;
mod notice;
mod plain;
pub(crate) mod pool;
pub(crate) mod proxy;
mod rank;
mod reach;
mod reroute;
mod respond;
mod retry;
mod select;
mod send;
mod series;
mod shed;
mod stream;
mod suspicion;
pub(crate) mod targets;
pub(crate) mod view;
mod wait;
pub(crate) mod waiters;

/// Maximum number of connections of the load balancer, which checks readiness.
const MAX_PROBES: usize = 16;

/// Connections of other instances beyond those of carried requests, for checks.
const CHECK_CONNECTIONS: usize = 16;

/// Time after which an idle connection is closed. Callers reuse one for up to four fifths of
/// the 15 s that the operator's limits allow.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval of checks for the end of the last response while draining.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Mutable state that requests share.
struct Shared {
    loads: Loads,
    admission: Admission,
    health: Health,
    retry_budget: RetryBudget,
    shedding: Shedding,
    link: LinkShare,
    queue_timing: QueueTiming,
    refusals: RefusalRates,
    run_history: RunHistory,
    rate_limiter: RateLimiter,
    backoffs: Backoffs,
    reachability: Reachability,
    /// Services of which unreached upstreams are checked.
    watched: HashSet<String>,
    proxies: Proxies,
}

/// A running entry instance.
pub(crate) struct Entry {
    id: InstanceId,
    boot: Boot,
    settings: RoleSettings,
    /// Interval of polling the leading controller.
    poll_interval: Duration,
    /// Time for which keys may be used after a confirmation. Shorter than the time within
    /// which a revoked key must be refused everywhere.
    lease: Duration,
    clock: Arc<dyn Clock>,
    /// Authenticates messages between instances.
    key: FleetKey,
    limits: ClientLimits,
    /// Bounds on what this instance carries for others.
    capacity: Capacity,
    /// Memory for the bodies of requests and of responses that are read whole.
    body_memory: BodyMemory,
    peers: Peers,
    view: ArcSwap<View>,
    shared: Mutex<Shared>,
    gate: Arc<Gate>,
    /// Set once the process was asked to stop.
    drain: OnceLock<Drain>,
    /// Start time of this process.
    started: Time,
    /// Start of this process, in milliseconds since 1970.
    born: u64,
    /// Notifies waiting requests of each new view.
    view_changed: Notify,
    /// Requests in the queue for room.
    waiters: Waiters,
    /// Held by the suspect request that runs.
    suspect_turn: Arc<tokio::sync::Mutex<()>>,
    /// Notified when the leader should learn something before the next poll is due.
    report_due: Notify,
    /// Lock of the begun response that looks for another path.
    resume_lock: tokio::sync::Mutex<()>,
}

/// Runs an entry instance until a signal, then lets running responses end.
///
/// # Errors
///
/// If the settings are invalid, or listening on an address fails.
pub(crate) fn run(settings: &RoleSettings) -> Result<()> {
    let boot = settings.boot()?;
    let runtime = role::runtime()?;
    let stop = role::handle_signals(&runtime, settings)?;
    let ip = boot.ip;
    let (close, closing) = watch::channel(false);
    let limits = ClientLimits::of_role(&boot, settings)?;
    let entry = Arc::new(Entry::new(settings, boot, limits, runtime.handle().clone()));
    let measured = Arc::clone(&entry);
    role::serve_metrics(settings, ip, &runtime, move || measured.measure())?;
    let _guard = runtime.enter();
    entry.listen(closing)?;
    runtime.spawn(Arc::clone(&entry).follow());
    runtime.spawn(Arc::clone(&entry).measure_lag());
    role::log_start("entry", &entry.boot);
    runtime.block_on(async {
        stop.wait().await;
        entry.drain(&close).await;
    });
    runtime.shutdown_background();
    tracing::info!(event = event::STOPPED.id, "stopped");
    Ok(())
}

impl Entry {
    fn new(
        settings: &RoleSettings,
        boot: Boot,
        limits: ClientLimits,
        runtime: tokio::runtime::Handle,
    ) -> Self {
        let bounds = boot.bounds;
        let started = SystemClock.now();
        let retry_limit = RetryLimit {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        };
        let key = FleetKey::new(role::FLEET_SECRET);
        let id = role::instance_id(boot.ip);
        Self {
            id,
            peers: Peers::on_port(key.clone(), runtime, boot.ports.0),
            key,
            capacity: Capacity::new(limits.carried),
            limits,
            body_memory: BodyMemory::new(limits.bodies),
            poll_interval: settings.poll,
            lease: role::key_lease(&boot),
            settings: settings.clone(),
            clock: Arc::new(SystemClock),
            view: ArcSwap::from_pointee(View::new(bounds.retry_window)),
            shared: Mutex::new(Shared {
                loads: Loads::default(),
                admission: Admission::default(),
                health: Health::default(),
                retry_budget: RetryBudget::new(retry_limit, started, unit_hash(id.0)),
                shedding: Shedding::default(),
                link: LinkShare::new(started),
                queue_timing: QueueTiming::default(),
                refusals: RefusalRates::default(),
                run_history: RunHistory::default(),
                rate_limiter: RateLimiter::default(),
                backoffs: Backoffs::new(bounds.drain_time),
                reachability: Reachability::default(),
                watched: HashSet::default(),
                proxies: Proxies::default(),
            }),
            gate: Arc::default(),
            drain: OnceLock::new(),
            started,
            born: wall_millis(),
            view_changed: Notify::new(),
            waiters: Waiters::default(),
            suspect_turn: Arc::default(),
            report_due: Notify::new(),
            resume_lock: tokio::sync::Mutex::default(),
            boot,
        }
    }

    fn listen(self: &Arc<Self>, closing: watch::Receiver<bool>) -> Result<()> {
        let callers = role::required(self.boot.callers, "an address for callers")?.into();
        let readiness = role::required(self.boot.readiness, "a readiness address")?.into();
        let listener = startup::listen(callers, "callers")?;
        let bounds = ReceiveLimits {
            max_head: MAX_HEAD,
            receive_timeout: IDLE_TIMEOUT,
            connections: self.limits.connections,
        };
        let (entry, admitting) = (Arc::clone(self), Arc::clone(self));
        tokio::spawn(http::accept_until(
            listener,
            bounds,
            move || admitting.admit_connection(),
            move |request| Arc::clone(&entry).answer(request),
            closing.clone(),
        ));
        let address = SocketAddr::new(self.boot.ip.into(), self.boot.ports.0);
        let listener = startup::listen(address, "other instances")?;
        let entry = Arc::clone(self);
        tokio::spawn(http::accept_until(
            listener,
            ReceiveLimits {
                connections: self.limits.carried + CHECK_CONNECTIONS,
                ..bounds
            },
            || true,
            move |request| Arc::clone(&entry).carry(request),
            closing,
        ));
        let listener = startup::listen(readiness, "readiness")?;
        let entry = Arc::clone(self);
        let bounds = ReceiveLimits {
            connections: MAX_PROBES,
            ..bounds
        };
        tokio::spawn(http::accept(listener, bounds, move |_| {
            let ready = entry.is_ready();
            async move { listen::readiness(ready) }
        }));
        Ok(())
    }

    fn now(&self) -> Time {
        self.clock.now()
    }

    fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of shares into which the room on the engines is divided, for a request without
    /// rank.
    fn sharers(&self) -> f64 {
        let instances = self.view().active_entries();
        self.shared().loads.demand.sharers(instances, 1.0)
    }

    /// Applies a leader's response to the view. Only the polling task calls it.
    fn update_view(&self, sent: Time, reply: CurrentReply) {
        let before = self.view();
        let mut view = View::clone(&before);
        view.apply(sent, reply, self.lease);
        self.forget_lifted(&before, &view);
        self.view.store(Arc::new(view));
        self.view_changed.notify_waiters();
    }

    /// Waits for a limited time until `ready` holds for the view. Returns whether it does.
    async fn wait_until(&self, left: Duration, ready: impl Fn(&View, Time) -> bool) -> bool {
        let began = self.now();
        let limit = view_wait::limit(self.started, began, left);
        loop {
            let changed = self.view_changed.notified();
            if ready(&self.view(), self.now()) {
                return true;
            }
            let waited = self.now().since(began);
            let rest = limit.saturating_sub(waited);
            if rest.is_zero() || timeout(rest, changed).await.is_err() {
                return ready(&self.view(), self.now());
            }
        }
    }

    /// Whether the load balancer should send callers here.
    fn is_ready(&self) -> bool {
        !self.gate.is_closed() && self.view().is_confirmed(self.now()) && !self.is_isolated()
    }

    /// Whether this instance reaches no upstream of any service, and no other instance carries its
    /// requests.
    fn is_isolated(&self) -> bool {
        let (now, view) = (self.now(), self.view());
        let shared = self.shared();
        let lost = view.services.keys().all(|s| shared.reachability.is_lost(s));
        lost && !view.services.is_empty() && !shared.proxies.any_usable(now)
    }

    /// Whether a request that no upstream has run may be passed on.
    fn may_pass(&self) -> bool {
        self.drain.get().is_none_or(|d| d.may_pass(self.now()))
    }

    /// Fails the readiness check, then waits for the last byte of the last response.
    async fn drain(&self, close: &watch::Sender<bool>) {
        let grace = self.boot.bounds.grace_period;
        let plan = self.drain.get_or_init(|| Drain::new(self.now(), grace));
        self.gate.close();
        let running = self.gate.running();
        tracing::info!(event = event::DRAINING.id, running, "draining");
        let began = Instant::now();
        let limit = plan.answer_time();
        sleep(plan.accept_time()).await;
        close.send_replace(true);
        while self.gate.running() > 0 && began.elapsed() < limit {
            sleep(DRAIN_POLL).await;
        }
        // The last bytes of an answer that isn't running any more may still wait for its caller to
        // read. Each connection holds a receiver until it has sent them.
        let left = limit.saturating_sub(began.elapsed());
        let _ = timeout(left, close.closed()).await;
        let (running, unsent) = (self.gate.running(), close.receiver_count());
        if running > 0 || unsent > 0 {
            tracing::warn!(
                event = event::DRAIN_LIMIT.id,
                running,
                unsent,
                "answers cut off"
            );
        }
    }
}
