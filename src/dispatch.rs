//! Admission and placement of requests on this instance: a state machine that
//! combines limits, queues and routing.
//!
//! A request passes two stages. First it must be admitted under the limits of
//! its route; until then it is parked in the order of arrival. Then it is placed
//! on a path; until one is free it waits in a lane. All requests for one model
//! in one set of pools share a lane with a fair queue.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::catalogue::{Class, Limits};
use crate::clock::Time;
use crate::collections::HashMap;
use crate::id::{Incarnation, InstanceId, OrganisationId, UpstreamId};
use crate::limit::{Denial, DenialReason, Grant, Holder, Permit, ShareRequest};
use crate::queue::{Discipline, Item, Queue, RefusalReason};
use crate::route::{Choice, NoPath, NoPathReason, Outcome, Query, Router, Stage, Ticket};

/// Cost of a prompt token relative to a token of the answer. It is lower because
/// the tokens of a prompt are processed in parallel.
const PROMPT_COST: f64 = 0.1;

/// A request for admission.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    /// Number of the request, unique on this instance.
    pub(crate) id: u64,
    /// Name of the route.
    pub(crate) route: Arc<str>,
    /// Limits of the route in the catalogue.
    pub(crate) limits: Limits,
    /// Maximum number of tokens in prompt and answer together.
    pub(crate) tokens: u32,
    /// Time until which the request may wait.
    pub(crate) deadline: Time,
}

/// A request for placement.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    /// Number of the request, unique on this instance.
    pub(crate) id: u64,
    /// Name of the route.
    pub(crate) route: Arc<str>,
    /// Owner of the route.
    pub(crate) organisation: OrganisationId,
    /// Class of the work.
    pub(crate) class: Class,
    /// Name of the model, or of a service according to [`service_model`].
    pub(crate) model: Arc<str>,
    /// Model version that must continue a partial answer; `None` for a new answer.
    pub(crate) version: Option<Arc<str>>,
    /// Pools that may serve the route.
    pub(crate) pools: Arc<[String]>,
    /// Estimated number of prompt tokens.
    pub(crate) prompt: u32,
    /// Maximum number of tokens still to be generated.
    pub(crate) expected: u32,
    /// Hash of the prompt's prefix.
    pub(crate) prefix: Option<u64>,
    /// Upstreams to avoid unless no other path exists.
    pub(crate) exclude: Vec<UpstreamId>,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Whether an earlier attempt failed. Such a request is placed before those
    /// in the queue, because it was already dispatched once and its caller may
    /// have received part of the answer.
    ///
    /// A request that an engine refused as busy isn't resumed but queued again.
    /// Otherwise, an organisation that overloads the engines would have its
    /// requests refused and served first repeatedly, and starve the others.
    pub(crate) resumed: bool,
    /// Time until which the request may wait.
    pub(crate) deadline: Time,
}

impl Placement {
    fn cost(&self) -> f64 {
        f64::from(self.expected) + PROMPT_COST * f64::from(self.prompt)
    }

    fn query<'a>(&'a self, exclude: &'a [UpstreamId]) -> Query<'a> {
        Query {
            model: &self.model,
            version: self.version.as_deref(),
            pools: &self.pools,
            prompt: self.prompt,
            expected: self.expected,
            prefix: self.prefix,
            exclude,
            idempotent: self.idempotent,
        }
    }
}

/// Name under which a plain service is routed, as a model of one layer.
pub(crate) fn service_model(name: &str) -> Arc<str> {
    format!("service/{name}").into()
}

/// A path for a request, and the receipt with which to release it.
#[derive(Debug)]
pub(crate) struct Placed {
    /// Hops of the path.
    pub(crate) hops: Vec<crate::route::Hop>,
    /// Version of the model that the path runs.
    pub(crate) version: Arc<str>,
    /// Releases the path when passed to [`Dispatcher::finish`], which is required.
    pub(crate) receipt: Receipt,
}

/// What a placed request occupies: a path, and its estimated cost in the queue's
/// accounts.
#[derive(Debug)]
pub(crate) struct Receipt {
    ticket: Ticket,
    lane: LaneKey,
    organisation: OrganisationId,
    class: Class,
    estimated: f64,
}

/// Why a request was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementError {
    /// At least one layer is on no engine in the allowed pools.
    NoPath,
    /// The request can't be placed before its deadline, or the deadline has passed.
    Deadline,
}

/// Decision on a request, sent to its waiter.
#[derive(Debug)]
pub(crate) enum Decision {
    /// The request is admitted.
    Admitted(Permit),
    /// The request exceeds a limit and may not be parked, and no request of its
    /// route is parked. Contains the time after which to retry.
    Denied(Duration),
    /// The request may not be parked behind the parked requests of its route.
    /// Contains the time after which to retry.
    Full(Duration),
    /// The request was still parked at its deadline.
    Expired,
    /// The request is placed on a path.
    Placed(Placed),
    /// The request was not placed. Contains the reason, and the time after which
    /// to retry.
    Unplaced(PlacementError, Duration),
}

/// A decision on a request, with the waiter `W` that receives it.
pub(crate) type Notification<W> = (W, Decision);

type LaneKey = (Arc<str>, Arc<[String]>);

struct Parked<W> {
    admission: Admission,
    waiter: W,
}

struct Waiting<W> {
    placement: Placement,
    waiter: W,
}

struct Lane {
    queue: Queue,
    /// Resumed requests, served before the queue.
    resumed: VecDeque<u64>,
    /// Request that was dequeued while no path was free. It is served after the
    /// resumed ones and before the queue.
    head: Option<u64>,
}

/// Admission and placement on one instance.
pub(crate) struct Dispatcher<W> {
    holder: Holder,
    router: Router,
    parked: HashMap<Arc<str>, VecDeque<Parked<W>>>,
    lanes: HashMap<LaneKey, Lane>,
    /// Requests waiting in a lane, by id.
    waiting: HashMap<u64, Waiting<W>>,
}

impl<W> Dispatcher<W> {
    /// Creates a dispatcher without upstreams or shares.
    pub(crate) fn new(instance: InstanceId, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            holder: Holder::new(instance, incarnation),
            router: Router::new(seed),
            parked: HashMap::default(),
            lanes: HashMap::default(),
            waiting: HashMap::default(),
        }
    }

    /// Number of requests that wait for admission or for a path.
    pub(crate) fn queued(&self) -> usize {
        self.waiting.len() + self.parked.values().map(VecDeque::len).sum::<usize>()
    }

    /// Admits, parks or denies a request.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        admission: Admission,
        waiter: W,
        out: &mut Vec<Notification<W>>,
    ) {
        let ahead = self.parked.get(&admission.route).map_or(0, VecDeque::len);
        let tried = self.holder.admit(now, &admission.route, admission.tokens);
        let denial = match tried {
            Ok(permit) if ahead == 0 => return out.push((waiter, Decision::Admitted(permit))),
            // Earlier requests of the route are parked and must be admitted
            // first. Returning the permit makes it available to them.
            Ok(permit) => {
                self.holder.settle(permit, 0);
                Denial {
                    reason: DenialReason::Concurrent,
                    retry_after: Duration::ZERO,
                }
            }
            Err(denial) => denial,
        };
        if self.may_park(now, &admission, &denial, ahead) {
            let queue = self.parked.entry(admission.route.clone()).or_default();
            queue.push_back(Parked { admission, waiter });
            return self.admit_parked(now, out);
        }
        let decision = match ahead {
            0 => Decision::Denied(denial.retry_after),
            _ => Decision::Full(denial.retry_after),
        };
        out.push((waiter, decision));
    }

    /// Whether one more request of the route may be parked.
    fn may_park(&self, now: Time, admission: &Admission, denial: &Denial, ahead: usize) -> bool {
        let share = self.holder.share(now, &admission.route);
        let bound = match denial.reason {
            // The instance's share has been requested, but the number of requests
            // that it lets wait is unknown until it is granted.
            DenialReason::NoShare => admission.limits.queued,
            _ => share.queued,
        };
        let in_time = now + denial.retry_after < admission.deadline;
        in_time && ahead < usize::try_from(bound).unwrap_or(usize::MAX)
    }

    /// Returns a permit with the number of tokens actually used.
    pub(crate) fn settle(
        &mut self,
        now: Time,
        permit: Permit,
        tokens: u32,
        out: &mut Vec<Notification<W>>,
    ) {
        self.holder.settle(permit, tokens);
        self.admit_parked(now, out);
    }

    /// Places a request on a path, or queues it until one is free. Refuses it if
    /// its deadline would pass in the queue.
    pub(crate) fn place(
        &mut self,
        now: Time,
        placement: Placement,
        waiter: W,
        out: &mut Vec<Notification<W>>,
    ) {
        let key: LaneKey = (placement.model.clone(), placement.pools.clone());
        let lane = self.lanes.entry(key.clone()).or_insert_with(|| Lane {
            queue: Queue::new(Discipline::Cost),
            resumed: VecDeque::new(),
            head: None,
        });
        let id = placement.id;
        if placement.resumed {
            lane.resumed.push_back(id);
        } else {
            let item = Item {
                id,
                route: placement.route.clone(),
                organisation: placement.organisation.clone(),
                class: placement.class,
                cost: placement.cost(),
                deadline: placement.deadline,
                // Bounded by the limits of the route at admission.
                bound: u32::MAX,
            };
            if let Err(refusal) = lane.queue.push(now, item) {
                assert!(
                    refusal.reason != RefusalReason::Duplicate,
                    "request {id} already waits"
                );
                let decision = Decision::Unplaced(PlacementError::Deadline, refusal.retry_after);
                return out.push((waiter, decision));
            }
        }
        self.waiting.insert(id, Waiting { placement, waiter });
        self.place_waiting(now, &key, out);
    }

    /// Releases a path with its outcome and the number of tokens received.
    pub(crate) fn finish(
        &mut self,
        now: Time,
        receipt: Receipt,
        outcome: Outcome,
        tokens: u32,
        out: &mut Vec<Notification<W>>,
    ) {
        self.router.finish(now, receipt.ticket, outcome);
        if let Some(lane) = self.lanes.get_mut(&receipt.lane) {
            lane.queue.settle(
                &receipt.organisation,
                receipt.class,
                receipt.estimated,
                f64::from(tokens),
            );
        }
        self.place_all_waiting(now, out);
    }

    /// Removes a waiting request whose caller disconnected.
    pub(crate) fn cancel(&mut self, id: u64) {
        for queue in self.parked.values_mut() {
            queue.retain(|parked| parked.admission.id != id);
        }
        let Some(removed) = self.waiting.remove(&id) else {
            return;
        };
        let key = (removed.placement.model, removed.placement.pools);
        if let Some(lane) = self.lanes.get_mut(&key) {
            lane.queue.remove(id);
            lane.resumed.retain(|waiting| *waiting != id);
            lane.head = lane.head.filter(|head| *head != id);
        }
    }

    /// Applies the available upstreams and the number of instances that share
    /// them.
    pub(crate) fn set_view(
        &mut self,
        now: Time,
        stages: &[Stage],
        instances: u32,
        out: &mut Vec<Notification<W>>,
    ) {
        self.router.set_instances(instances);
        self.router.set_view(now, stages);
        self.place_all_waiting(now, out);
    }

    /// Time at which the next [`Dispatcher::share_request`] is due.
    pub(crate) fn due(&self) -> Time {
        self.holder.due()
    }

    /// Creates the next share request, to be sent at once.
    pub(crate) fn share_request(&mut self, now: Time) -> ShareRequest {
        for (route, queue) in &self.parked {
            let waiting = u32::try_from(queue.len()).unwrap_or(u32::MAX);
            self.holder.set_waiting(now, route, waiting);
        }
        self.holder.share_request(now)
    }

    /// Applies a grant of shares.
    pub(crate) fn grant(&mut self, now: Time, grant: &Grant, out: &mut Vec<Notification<W>>) {
        if self.holder.grant(now, grant) {
            self.admit_parked(now, out);
        }
    }

    /// Advances the time: expires deadlines and refills rates.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Notification<W>>) {
        self.expire(now, out);
        self.admit_parked(now, out);
        self.place_all_waiting(now, out);
    }

    /// Tokens per second that engines and links allow for a model.
    pub(crate) fn bound(&mut self, now: Time, model: &str, pools: &[String]) -> f64 {
        self.router.bound(now, model, pools)
    }

    fn admit_parked(&mut self, now: Time, out: &mut Vec<Notification<W>>) {
        for (route, queue) in &mut self.parked {
            while let Some(first) = queue.front() {
                let tokens = first.admission.tokens;
                let Ok(permit) = self.holder.readmit(now, route, tokens) else {
                    break;
                };
                if let Some(Parked { waiter, .. }) = queue.pop_front() {
                    out.push((waiter, Decision::Admitted(permit)));
                }
            }
            if queue.is_empty() {
                self.holder.set_waiting(now, route, 0);
            }
        }
        self.parked.retain(|_, queue| !queue.is_empty());
    }

    fn expire(&mut self, now: Time, out: &mut Vec<Notification<W>>) {
        for queue in self.parked.values_mut() {
            let is_expired = |p: &Parked<W>| p.admission.deadline <= now;
            let mut remaining = VecDeque::with_capacity(queue.len());
            for parked in queue.drain(..) {
                if is_expired(&parked) {
                    out.push((parked.waiter, Decision::Expired));
                } else {
                    remaining.push_back(parked);
                }
            }
            *queue = remaining;
        }
        let expired: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.placement.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if let Some(Waiting { placement, waiter }) = self.waiting.remove(&id) {
                let decision = Decision::Unplaced(PlacementError::Deadline, Duration::ZERO);
                out.push((waiter, decision));
                let key = (placement.model, placement.pools);
                if let Some(lane) = self.lanes.get_mut(&key) {
                    lane.queue.remove(id);
                }
            }
        }
    }

    fn place_all_waiting(&mut self, now: Time, out: &mut Vec<Notification<W>>) {
        let waiting: Vec<LaneKey> = self
            .lanes
            .iter()
            .filter(|(_, lane)| lane.has_waiting())
            .map(|(key, _)| key.clone())
            .collect();
        for key in waiting {
            self.place_waiting(now, &key, out);
        }
    }

    /// Places waiting requests of a lane as long as paths are free.
    fn place_waiting(&mut self, now: Time, key: &LaneKey, out: &mut Vec<Notification<W>>) {
        let Some(lane) = self.lanes.get_mut(key) else {
            return;
        };
        while let Some(id) = lane.next(now) {
            let Some(waiting) = self.waiting.get(&id) else {
                continue;
            };
            match choose(&mut self.router, now, &waiting.placement) {
                Err(NoPath {
                    reason: NoPathReason::Full,
                    ..
                }) => return lane.put_back(id, waiting.placement.resumed),
                chosen => {
                    if let Some(Waiting { placement, waiter }) = self.waiting.remove(&id) {
                        out.push((waiter, decide(chosen, placement, key)));
                    }
                }
            }
        }
    }
}

fn decide(chosen: Result<Choice, NoPath>, placement: Placement, lane: &LaneKey) -> Decision {
    match chosen {
        Ok(choice) => Decision::Placed(Placed {
            hops: choice.hops,
            version: choice.version,
            receipt: Receipt {
                ticket: choice.ticket,
                lane: lane.clone(),
                estimated: placement.cost(),
                organisation: placement.organisation,
                class: placement.class,
            },
        }),
        Err(none) => Decision::Unplaced(PlacementError::NoPath, none.retry_after),
    }
}

/// Chooses a path that avoids the excluded upstreams. If there is none, chooses
/// one through them, since an upstream that failed once may be the only one with
/// its layers.
fn choose(router: &mut Router, now: Time, placement: &Placement) -> Result<Choice, NoPath> {
    match router.choose(now, &placement.query(&placement.exclude)) {
        Err(NoPath {
            reason: NoPathReason::Missing,
            ..
        }) if !placement.exclude.is_empty() => router.choose(now, &placement.query(&[])),
        chosen => chosen,
    }
}

impl Lane {
    fn has_waiting(&self) -> bool {
        self.head.is_some() || !self.resumed.is_empty() || !self.queue.is_empty()
    }

    fn next(&mut self, now: Time) -> Option<u64> {
        if let Some(id) = self.resumed.pop_front() {
            return Some(id);
        }
        self.head
            .take()
            .or_else(|| self.queue.pop(now).map(|item| item.id))
    }

    fn put_back(&mut self, id: u64, resumed: bool) {
        if resumed {
            self.resumed.push_front(id);
        } else {
            self.head = Some(id);
        }
    }
}
