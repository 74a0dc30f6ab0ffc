//! The HTTP server for callers: completions over pipelines, calls to plain
//! services, and the health checks of the platform's load balancer.

mod admit;
mod claims;
mod complete;
mod generate;
mod head;
mod job;
mod listen;
mod respond;
mod service;
mod stream;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use crate::budget::Budget;
use crate::clock::{Clock, Time};
use crate::collections::HashMap;
use crate::dispatch::{Decision, Dispatcher, Notification, service_model};
use crate::gate::Gate;
use crate::gossip::Fleet;
use crate::id::{Incarnation, InstanceId, UpstreamId};
use crate::lease::LeasedCatalogue;
use crate::limit::{Grant, MIN_REQUEST_GAP, Permit, ShareRequest};
use crate::propose::Proposer;
use crate::request::RequestId;
use crate::route::Stage;
use crate::settings::Settings;
use crate::upstream::{Load, Serves, Upstream};

/// Nominal rate of one slot of a plain service, in tokens per second.
const SERVICE_RATE: u32 = 100;

/// Interval of an upstream's load reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Nominal link speed of a plain service, in Mbit/s. Its calls are small.
const SERVICE_LINK: u32 = 1000;

/// Channel to a request that waits for a decision of the dispatcher.
type Waiter = oneshot::Sender<Decision>;

/// Parts of the instance that the server depends on.
pub(crate) struct Dependencies {
    pub(crate) settings: Arc<Settings>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) incarnation: Incarnation,
    pub(crate) catalogue: Arc<LeasedCatalogue>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) fleet: Fleet,
    /// Proposers to the claim groups, by shard.
    pub(crate) claims: Vec<Arc<Proposer>>,
}

/// State shared by all requests of callers on this instance.
pub(crate) struct Server {
    deps: Dependencies,
    dispatcher: Mutex<Dispatcher<Waiter>>,
    budget: Mutex<Budget>,
    /// Latest load report of each upstream and the time it was received.
    reports: Mutex<HashMap<UpstreamId, (Load, Time)>>,
    /// Notified when a request for limit shares is due at once.
    share_request_due: Notify,
    /// Sequence number of the next request. Unique within an incarnation.
    next_sequence: AtomicU64,
}

impl Server {
    pub(crate) fn new(deps: Dependencies) -> Arc<Self> {
        let dispatcher = Dispatcher::new(deps.settings.instance, deps.incarnation, rand::random());
        let budget = Budget::new(deps.clock.now());
        Arc::new(Self {
            deps,
            dispatcher: Mutex::new(dispatcher),
            budget: Mutex::new(budget),
            reports: Mutex::default(),
            share_request_due: Notify::new(),
            next_sequence: AtomicU64::new(1),
        })
    }

    fn now(&self) -> Time {
        self.deps.clock.now()
    }

    fn next_id(&self) -> RequestId {
        RequestId {
            instance: self.deps.settings.instance,
            incarnation: self.deps.incarnation,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().expect("no holder panics")
    }

    /// Runs one step of the dispatcher and sends its decisions to the waiters.
    fn dispatch(
        &self,
        step: impl FnOnce(&mut Dispatcher<Waiter>, Time, &mut Vec<Notification<Waiter>>),
    ) {
        let mut out = Vec::new();
        let now = self.now();
        let mut dispatcher = self.dispatcher.lock().expect("no holder panics");
        step(&mut dispatcher, now, &mut out);
        let due = dispatcher.due();
        drop(dispatcher);
        if due <= now + MIN_REQUEST_GAP {
            self.share_request_due.notify_one();
        }
        for (waiter, decision) in out {
            // If the waiter is gone, the decision is dropped, and its permit or
            // ticket is released.
            let _ = waiter.send(decision);
        }
    }

    /// Passes the current view of upstreams to the router.
    pub(crate) fn refresh_upstreams(&self) {
        let view = self.deps.fleet.upstreams();
        let members = self.deps.fleet.members();
        let now = self.now();
        let stages: Vec<Stage> = {
            let mut reports = self.reports.lock().expect("no holder panics");
            reports.retain(|id, _| view.get(id).is_some());
            let upstreams = view.upstreams.iter();
            upstreams
                .map(|u| stage(u, report_time(&mut reports, u, now)))
                .collect()
        };
        let active = members.present().filter(|m| !m.draining).count();
        let instances = u32::try_from(active).unwrap_or(u32::MAX).max(1);
        self.dispatch(|dispatcher, now, out| {
            dispatcher.set_view(now, &stages, instances, out);
        });
    }

    /// Advances the dispatcher to the current time.
    pub(crate) fn tick(&self) {
        self.dispatch(|dispatcher, now, out| dispatcher.tick(now, out));
    }

    /// Waits until a request for limit shares is due.
    pub(crate) async fn wait_share_request_due(&self) {
        loop {
            let due = self.dispatcher.lock().expect("no holder panics").due();
            let left = due.since(self.now());
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                () = self.share_request_due.notified() => {}
            }
        }
    }

    /// Returns the request for limit shares if one is due.
    pub(crate) fn share_request(&self) -> Option<ShareRequest> {
        let now = self.now();
        let mut dispatcher = self.dispatcher.lock().expect("no holder panics");
        (dispatcher.due() <= now).then(|| dispatcher.share_request(now))
    }

    /// Applies the grant that answers a request for limit shares.
    pub(crate) fn apply_grant(&self, grant: &Grant) {
        self.dispatch(|dispatcher, now, out| dispatcher.grant(now, grant, out));
    }

    /// Number of requests waiting for admission or placement.
    pub(crate) fn queued(&self) -> usize {
        let dispatcher = self.dispatcher.lock().expect("no holder panics");
        dispatcher.queued()
    }

    /// Upper bound on the throughput of each route's model, in tokens per second.
    pub(crate) fn throughput_bounds(&self) -> Vec<(String, f64)> {
        let catalogue = self.deps.catalogue.latest();
        let now = self.now();
        let mut dispatcher = self.dispatcher.lock().expect("no holder panics");
        catalogue
            .routes()
            .filter_map(|route| match &route.target {
                crate::catalogue::Target::Model(model) => {
                    let bound = dispatcher.bound(now, model, &route.pools);
                    // An empty sum is -0.0; adding 0.0 makes it print as 0.
                    Some((route.name.clone(), bound + 0.0))
                }
                crate::catalogue::Target::Service(_) => None,
            })
            .collect()
    }

    /// Whether this incarnation of an instance, which holds a claim, is believed
    /// to be alive.
    fn alive(&self, instance: InstanceId, incarnation: Incarnation) -> bool {
        if instance == self.deps.settings.instance {
            return incarnation == self.deps.incarnation;
        }
        self.deps.fleet.members().alive(instance, incarnation)
    }
}

/// Time of the latest load report of an upstream, as far as this instance can
/// tell: upstreams report once a second, and gossip spreads only changed loads.
///
/// If a load counted as new at each refresh, the router would act on it ten
/// times: under overload, many instances would keep sending requests to the
/// same few free slots, and throughput would stay far below the bound.
fn report_time(reports: &mut HashMap<UpstreamId, (Load, Time)>, u: &Upstream, now: Time) -> Time {
    let report = reports.entry(u.id.clone()).or_insert((u.load, now));
    if report.0 != u.load || now.since(report.1) >= REPORT_INTERVAL {
        *report = (u.load, now);
    }
    report.1
}

/// Converts an upstream to a stage of the router.
fn stage(upstream: &Upstream, reported: Time) -> Stage {
    let base = Stage {
        id: upstream.id.clone(),
        domain: upstream.domain.as_str().into(),
        pool: upstream.pool.as_str().into(),
        model: "".into(),
        version: "".into(),
        first: 0,
        end: 1,
        total: 1,
        rate: 0,
        slots: 0,
        link: SERVICE_LINK,
        running: upstream.load.running,
        waiting: upstream.load.waiting,
        leaving: false,
        reported,
    };
    match &upstream.serves {
        Serves::Service(service) => Stage {
            model: service_model(&service.name),
            rate: service.slots.saturating_mul(SERVICE_RATE),
            slots: service.slots,
            ..base
        },
        Serves::Engine(engine) => Stage {
            model: engine.model.as_str().into(),
            version: engine.version.as_str().into(),
            first: engine.first,
            end: engine.end,
            total: engine.total,
            rate: engine.rate,
            slots: engine.slots,
            link: engine.link,
            ..base
        },
    }
}

/// An admission permit that is settled with the tokens used when it is dropped.
pub(crate) struct PermitGuard {
    server: Arc<Server>,
    permit: Option<Permit>,
    /// Tokens used so far, updated by the running request.
    used: Arc<std::sync::atomic::AtomicU32>,
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        let used = self.used.load(Ordering::Relaxed);
        if let Some(permit) = self.permit.take() {
            self.server
                .dispatch(|dispatcher, now, out| dispatcher.settle(now, permit, used, out));
        }
    }
}
