//! The callers' address: completions over pipelines, calls to plain services,
//! and the probes of the platform's balancer.

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

/// Tokens a second that one slot of a plain service counts as.
const SERVICE_RATE: u32 = 100;

/// Period of an upstream's load reports.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Link of a plain service in Mbit/s; its calls are small.
const SERVICE_LINK: u32 = 1000;

/// Who waits for the dispatcher.
type Waiter = oneshot::Sender<Decision>;

/// What the server needs of the instance.
pub(crate) struct Dependencies {
    pub(crate) settings: Arc<Settings>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) incarnation: Incarnation,
    pub(crate) catalogue: Arc<LeasedCatalogue>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) fleet: Fleet,
    /// Registers of claims, by shard.
    pub(crate) claims: Vec<Arc<Proposer>>,
}

/// Serves callers.
pub(crate) struct Server {
    deps: Dependencies,
    dispatcher: Mutex<Dispatcher<Waiter>>,
    budget: Mutex<Budget>,
    /// Latest load report of each upstream, and when it came.
    reports: Mutex<HashMap<UpstreamId, (Load, Time)>>,
    /// Signalled when a question for shares is due at once.
    urgent: Notify,
    /// Number of the next request. Never used twice in an incarnation.
    sequence: AtomicU64,
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
            urgent: Notify::new(),
            sequence: AtomicU64::new(1),
        })
    }

    fn now(&self) -> Time {
        self.deps.clock.now()
    }

    fn next_id(&self) -> RequestId {
        RequestId {
            instance: self.deps.settings.instance,
            incarnation: self.deps.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().expect("no holder panics")
    }

    /// Steps the dispatcher and tells its waiters.
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
            self.urgent.notify_one();
        }
        for (waiter, told) in out {
            // A waiter that left drops what it was told, and with it the
            // permit or ticket, which gives itself back.
            let _ = waiter.send(told);
        }
    }

    /// Hands the upstreams that are alive to routing.
    pub(crate) fn refresh_upstreams(&self) {
        let view = self.deps.fleet.upstreams();
        let members = self.deps.fleet.members();
        let now = self.now();
        let stages: Vec<Stage> = {
            let mut reports = self.reports.lock().expect("no holder panics");
            reports.retain(|id, _| view.get(id).is_some());
            let upstreams = view.upstreams.iter();
            upstreams
                .map(|u| stage(u, reported(&mut reports, u, now)))
                .collect()
        };
        let active = members.present().filter(|m| !m.draining).count();
        let instances = u32::try_from(active).unwrap_or(u32::MAX).max(1);
        self.dispatch(|dispatcher, now, out| {
            dispatcher.set_view(now, &stages, instances, out);
        });
    }

    /// Takes note of the time.
    pub(crate) fn tick(&self) {
        self.dispatch(|dispatcher, now, out| dispatcher.tick(now, out));
    }

    /// Waits until a question for shares is due.
    pub(crate) async fn wait_share_request_due(&self) {
        loop {
            let due = self.dispatcher.lock().expect("no holder panics").due();
            let left = due.since(self.now());
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                () = self.urgent.notified() => {}
            }
        }
    }

    /// The question for shares, if one is due.
    pub(crate) fn share_request(&self) -> Option<ShareRequest> {
        let now = self.now();
        let mut dispatcher = self.dispatcher.lock().expect("no holder panics");
        (dispatcher.due() <= now).then(|| dispatcher.share_request(now))
    }

    /// Takes the answer to a question for shares.
    pub(crate) fn apply_grant(&self, grant: &Grant) {
        self.dispatch(|dispatcher, now, out| dispatcher.grant(now, grant, out));
    }

    /// Requests that wait.
    pub(crate) fn queued(&self) -> usize {
        let dispatcher = self.dispatcher.lock().expect("no holder panics");
        dispatcher.queued()
    }

    /// Tokens a second that the hardware allows for each route's model.
    pub(crate) fn throughput_bounds(&self) -> Vec<(String, f64)> {
        let catalogue = self.deps.catalogue.latest();
        let now = self.now();
        let mut dispatcher = self.dispatcher.lock().expect("no holder panics");
        catalogue
            .routes()
            .filter_map(|route| match &route.target {
                crate::catalogue::Target::Model(model) => {
                    let bound = dispatcher.bound(now, model, &route.pools);
                    // The sum over no engine is -0.0, which would read strangely.
                    Some((route.name.clone(), bound + 0.0))
                }
                crate::catalogue::Target::Service(_) => None,
            })
            .collect()
    }

    /// Whether the start of an instance that holds a claim is believed to run.
    fn alive(&self, instance: InstanceId, incarnation: Incarnation) -> bool {
        if instance == self.deps.settings.instance {
            return incarnation == self.deps.incarnation;
        }
        self.deps.fleet.members().alive(instance, incarnation)
    }
}

/// When the load of an upstream was reported, as far as this instance can tell:
/// upstreams report once a second, and only a load that differs is spread.
///
/// Taken as new at each look, an old load would be acted on ten times: many
/// instances with work waiting would take the same few free places again and
/// again, which shows as throughput far below the bound under overload.
fn reported(reports: &mut HashMap<UpstreamId, (Load, Time)>, u: &Upstream, now: Time) -> Time {
    let report = reports.entry(u.id.clone()).or_insert((u.load, now));
    if report.0 != u.load || now.since(report.1) >= REPORT_PERIOD {
        *report = (u.load, now);
    }
    report.1
}

/// An upstream as routing sees it.
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

/// A permit that books what was really used when its request ends.
pub(crate) struct Held {
    server: Arc<Server>,
    permit: Option<Permit>,
    /// Tokens used so far, shared with the request that counts them.
    used: Arc<std::sync::atomic::AtomicU32>,
}

impl Drop for Held {
    fn drop(&mut self) {
        let used = self.used.load(Ordering::Relaxed);
        if let Some(permit) = self.permit.take() {
            self.server
                .dispatch(|dispatcher, now, out| dispatcher.settle(now, permit, used, out));
        }
    }
}
