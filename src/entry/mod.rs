//! The entry role: takes callers' requests and leads them to upstreams.

use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

use self::view::View;
use crate::auth::FleetKey;
use crate::clock::{Clock, SystemClock, Time};
use crate::decide::health::Health;
use crate::decide::link::LinkShare;
use crate::decide::load::Loads;
use crate::decide::rate::RateLimiter;
use crate::decide::refusal::RefusalRates;
use crate::decide::retry_budget::{RetryBudget, RetryLimit};
use crate::decide::run_history::RunHistory;
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
use crate::sync::SyncReply;

mod attempt;
mod body;
mod crash;
mod exchange;
mod follow;
mod head;
mod limit;
mod listen;
mod measure;
mod plain;
pub(crate) mod pool;
mod reroute;
mod select;
mod stream;
pub(crate) mod view;
mod wait;

/// Longest head of a request, in bytes: the operator's bound with room for
/// the line of the request.
const MAX_HEAD: usize = 64 << 10;

/// Time for which a connection may stay without a request. Callers use one
/// again for up to four fifths of the 15 s that the operator's limits give.
const IDLE: Duration = Duration::from_secs(20);

/// Time after SIGTERM for which new connections are taken: the balancer asks
/// once a second and leaves an instance out after two refusals. Where most of a
/// domain's instances restart in turn it goes on sending; what is taken later
/// than this would be cut off in the middle, as answers last up to five seconds.
const LEAVE_BALANCER: Duration = Duration::from_millis(2_500);

/// Part of the grace period after which running answers are cut off.
const GRACE_SHARE: f64 = 0.94;

/// Period of looking whether the last answer has ended.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// State that requests change.
struct Shared {
    loads: Loads,
    health: Health,
    allowance: RetryBudget,
    link: LinkShare,
    pace: QueueTiming,
    refused: RefusalRates,
    run_history: RunHistory,
    rate_limiter: RateLimiter,
}

/// One running entry instance.
pub(crate) struct Entry {
    id: InstanceId,
    boot: Boot,
    settings: RoleSettings,
    /// Period of asking the leading controller.
    poll: Duration,
    /// How long keys may be used after a confirmation. Shorter than the bound
    /// within which a revoked key must be refused everywhere.
    lease: Duration,
    clock: Arc<dyn Clock>,
    peers: Peers,
    view: ArcSwap<View>,
    shared: Mutex<Shared>,
    gate: Arc<Gate>,
    /// Start of this process.
    started: Time,
    /// Tells requests that wait of each new view.
    news: Notify,
    /// The line of requests that wait for room; its lock is fair.
    line: tokio::sync::Mutex<()>,
    /// Requests in the line.
    waiters: AtomicUsize,
}

/// Runs an entry instance until a signal, and lets running answers end.
///
/// # Errors
///
/// When the settings don't fit, or an address can't be listened on.
pub(crate) fn run(settings: &RoleSettings) -> Result<()> {
    let boot = settings.boot()?;
    let runtime = role::runtime()?;
    let stop = role::handle_signals(&runtime, settings)?;
    let ip = boot.ip;
    let (close, closing) = watch::channel(false);
    let entry = Arc::new(Entry::new(settings, boot, runtime.handle().clone()));
    let measured = Arc::clone(&entry);
    role::serve_metrics(settings, ip, &runtime, move || measured.measure())?;
    let _guard = runtime.enter();
    entry.listen(closing)?;
    runtime.spawn(Arc::clone(&entry).follow());
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
    fn new(settings: &RoleSettings, boot: Boot, runtime: tokio::runtime::Handle) -> Self {
        let bounds = boot.bounds;
        let allowance = RetryBudget::new(RetryLimit {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window: bounds.retry_window,
        });
        Self {
            id: role::instance_id(boot.ip),
            peers: Peers::on_port(FleetKey::new(role::FLEET_SECRET), runtime, boot.ports.0),
            poll: settings.poll,
            lease: role::key_lease(&boot),
            settings: settings.clone(),
            clock: Arc::new(SystemClock),
            view: ArcSwap::from_pointee(View::new()),
            shared: Mutex::new(Shared {
                loads: Loads::default(),
                health: Health::default(),
                allowance,
                link: LinkShare::new(SystemClock.now()),
                pace: QueueTiming::default(),
                refused: RefusalRates::default(),
                run_history: RunHistory::default(),
                rate_limiter: RateLimiter::default(),
            }),
            gate: Arc::default(),
            started: SystemClock.now(),
            news: Notify::new(),
            line: tokio::sync::Mutex::default(),
            waiters: AtomicUsize::new(0),
            boot,
        }
    }

    fn listen(self: &Arc<Self>, closing: watch::Receiver<bool>) -> Result<()> {
        let callers = role::required(self.boot.callers, "an address for callers")?.into();
        let readiness = role::required(self.boot.readiness, "a readiness address")?.into();
        let listener = startup::listen(callers, "callers")?;
        let bounds = ReceiveLimits {
            max_head: MAX_HEAD,
            receive_timeout: IDLE,
        };
        let entry = Arc::clone(self);
        tokio::spawn(http::accept_until(
            listener,
            bounds,
            move |request| Arc::clone(&entry).answer(request),
            closing,
        ));
        let listener = startup::listen(readiness, "readiness")?;
        let entry = Arc::clone(self);
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

    /// Among how many the room on the engines is divided.
    fn sharers(&self) -> f64 {
        let instances = self.view().entry_count();
        self.shared().loads.demand.sharers(instances)
    }

    /// Takes in a leader's answer. Only the follower calls it.
    fn learn(&self, sent: Time, state: SyncReply) -> bool {
        let before = self.view();
        let mut view = View::clone(&before);
        let learnt = view.apply(sent, state, self.lease);
        self.forget_lifted(&before, &view);
        self.view.store(Arc::new(view));
        self.news.notify_waiters();
        learnt
    }

    /// Waits until `ready` holds of the view, for a bounded time. Returns
    /// whether it does.
    async fn hold(&self, left: Duration, ready: impl Fn(&View, Time) -> bool) -> bool {
        let began = self.now();
        let limit = view_wait::limit(self.started, began, left);
        loop {
            let news = self.news.notified();
            if ready(&self.view(), self.now()) {
                return true;
            }
            let waited = self.now().since(began);
            let rest = limit.saturating_sub(waited);
            if rest.is_zero() || timeout(rest, news).await.is_err() {
                return ready(&self.view(), self.now());
            }
        }
    }

    /// Whether the balancer should send callers here.
    fn is_ready(&self) -> bool {
        !self.gate.closed() && self.view().is_confirmed(self.now())
    }

    /// Leaves the balancer, then waits for the last answer.
    async fn drain(&self, close: &watch::Sender<bool>) {
        self.gate.close();
        let running = self.gate.running();
        tracing::info!(event = event::DRAINING.id, running, "draining");
        let began = Instant::now();
        let limit = self.boot.bounds.grace.mul_f64(GRACE_SHARE);
        sleep(LEAVE_BALANCER.min(limit)).await;
        close.send_replace(true);
        while self.gate.running() > 0 && began.elapsed() < limit {
            sleep(DRAIN_LOOK).await;
        }
        let running = self.gate.running();
        if running > 0 {
            tracing::warn!(event = event::DRAIN_LIMIT.id, running, "answers cut off");
        }
    }
}
