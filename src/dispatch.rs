//! Admission and placement of requests on this instance: a state machine that
//! joins limits, queues and routing.
//!
//! A request passes two stages. First the limits of its route admit it; until
//! they do it is parked, in arrival order, behind others of its route. Then it
//! is placed on a path; until a path is free it waits in the fair queue of its
//! lane, which all requests for one model in one set of pools share.

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

/// Part of an answer's cost that one token of the prompt has: prompts are
/// computed in parallel.
const PROMPT_COST: f64 = 0.1;

/// What admission needs to know of a request.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    /// Unique on this instance.
    pub(crate) id: u64,
    /// Name of the route.
    pub(crate) route: Arc<str>,
    /// Limits of the route as the catalogue has them.
    pub(crate) limits: Limits,
    /// Tokens of prompt and answer, at most.
    pub(crate) tokens: u32,
    /// End of the request's time.
    pub(crate) deadline: Time,
}

/// What placement needs to know of a request.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    /// Unique on this instance.
    pub(crate) id: u64,
    /// Name of the route.
    pub(crate) route: Arc<str>,
    /// Owner of the route.
    pub(crate) organisation: OrganisationId,
    /// Class of work.
    pub(crate) class: Class,
    /// Model, or the form that [`service_model`] gives a service.
    pub(crate) model: Arc<str>,
    /// Only this version, when a begun answer is resumed.
    pub(crate) version: Option<Arc<str>>,
    /// Pools that may serve the route.
    pub(crate) pools: Arc<[String]>,
    /// Prompt tokens, estimated.
    pub(crate) prompt: u32,
    /// Tokens still to come, at most.
    pub(crate) expected: u32,
    /// Hash of the prompt's prefix.
    pub(crate) prefix: Option<u64>,
    /// Upstreams to avoid where another path exists.
    pub(crate) exclude: Vec<UpstreamId>,
    /// Whether the request may run again.
    pub(crate) idempotent: bool,
    /// Whether an attempt before this one broke: the request has had its turn,
    /// and its caller waits in the middle of an answer. One that only found an
    /// engine busy goes back to the queue. Put before it, the requests of an
    /// organisation that overloads the engines would bounce and come first
    /// again and again, and nobody else would get a turn.
    pub(crate) resumed: bool,
    /// End of the request's time.
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

/// Name under which routing knows a plain service: a model of one layer.
pub(crate) fn service_model(name: &str) -> Arc<str> {
    format!("service/{name}").into()
}

/// A path for a request, with what has to be given back.
#[derive(Debug)]
pub(crate) struct Placed {
    /// The path; its ticket is in `receipt`.
    pub(crate) hops: Vec<crate::route::Hop>,
    /// Version of the model that the path runs.
    pub(crate) version: Arc<str>,
    /// To be given to [`Dispatcher::finish`].
    pub(crate) receipt: Receipt,
}

/// In-flight weight and estimated cost of a placed request.
#[derive(Debug)]
pub(crate) struct Receipt {
    ticket: Ticket,
    lane: LaneKey,
    organisation: OrganisationId,
    class: Class,
    estimated: f64,
}

/// Why a request isn't placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlacementError {
    /// No engine in the allowed pools holds some layer.
    NoPath,
    /// It wouldn't start before its deadline, or didn't.
    Deadline,
}

/// What a waiter is told.
#[derive(Debug)]
pub(crate) enum Decision {
    /// The limits admit the request.
    Admitted(Permit),
    /// A limit is used up, and no one may wait for it in this request's time.
    Denied(Duration),
    /// A limit is used up, and as many wait as may.
    Full(Duration),
    /// The request waited to the end of its time.
    Expired,
    /// A path is free.
    Placed(Placed),
    /// There is no path in time.
    Unplaced(PlacementError, Duration),
}

/// Tells `W`, the waiter of one request.
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
    /// Later attempts, served before the queue.
    resumed: VecDeque<u64>,
    /// Taken from the queue when no path was free; served next.
    head: Option<u64>,
}

/// Admission and placement on one instance.
pub(crate) struct Dispatcher<W> {
    holder: Holder,
    router: Router,
    parked: HashMap<Arc<str>, VecDeque<Parked<W>>>,
    lanes: HashMap<LaneKey, Lane>,
    /// Requests that wait in a lane, by id.
    waiting: HashMap<u64, Waiting<W>>,
}

impl<W> Dispatcher<W> {
    /// A dispatcher that knows no upstream and holds no share.
    pub(crate) fn new(instance: InstanceId, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            holder: Holder::new(instance, incarnation),
            router: Router::new(seed),
            parked: HashMap::default(),
            lanes: HashMap::default(),
            waiting: HashMap::default(),
        }
    }

    /// Requests that wait in either stage.
    pub(crate) fn queued(&self) -> usize {
        self.waiting.len() + self.parked.values().map(VecDeque::len).sum::<usize>()
    }

    /// Admits a request, parks it, or denies it at once.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        admission: Admission,
        waiter: W,
        out: &mut Vec<Notification<W>>,
    ) {
        let line = self.parked.get(&admission.route).map_or(0, VecDeque::len);
        let tried = self.holder.admit(now, &admission.route, admission.tokens);
        let denial = match tried {
            Ok(permit) if line == 0 => return out.push((waiter, Decision::Admitted(permit))),
            // Someone of the same route waits, and passing it would be unfair.
            // The permit goes back with its drop and to the first in line.
            Ok(permit) => {
                self.holder.settle(permit, 0);
                Denial {
                    reason: DenialReason::Concurrent,
                    retry_after: Duration::ZERO,
                }
            }
            Err(denial) => denial,
        };
        if self.may_park(now, &admission, &denial, line) {
            let line = self.parked.entry(admission.route.clone()).or_default();
            line.push_back(Parked { admission, waiter });
            return self.unpark(now, out);
        }
        let told = match line {
            0 => Decision::Denied(denial.retry_after),
            _ => Decision::Full(denial.retry_after),
        };
        out.push((waiter, told));
    }

    /// Whether one more request of the route may wait here.
    fn may_park(&self, now: Time, admission: &Admission, denial: &Denial, line: usize) -> bool {
        let share = self.holder.share(now, &admission.route);
        let bound = match denial.reason {
            // The share is on its way; until it is here, none of it is known.
            DenialReason::NoShare => admission.limits.queued,
            _ => share.queued,
        };
        let in_time = now + denial.retry_after < admission.deadline;
        in_time && line < usize::try_from(bound).unwrap_or(usize::MAX)
    }

    /// Gives a permit back with the tokens that were really used.
    pub(crate) fn settle(
        &mut self,
        now: Time,
        permit: Permit,
        tokens: u32,
        out: &mut Vec<Notification<W>>,
    ) {
        self.holder.settle(permit, tokens);
        self.unpark(now, out);
    }

    /// Places a request on a path, lets it wait for one, or refuses it.
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
                // The limits of the route have bounded it already.
                bound: u32::MAX,
            };
            if let Err(refusal) = lane.queue.push(now, item) {
                assert!(
                    refusal.reason != RefusalReason::Duplicate,
                    "request {id} waits twice"
                );
                let told = Decision::Unplaced(PlacementError::Deadline, refusal.retry_after);
                return out.push((waiter, told));
            }
        }
        self.waiting.insert(id, Waiting { placement, waiter });
        self.pump(now, &key, out);
    }

    /// Gives a path back with how it went and the tokens that it brought.
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
        self.pump_all(now, out);
    }

    /// Forgets a request whose caller left while it waited.
    pub(crate) fn cancel(&mut self, id: u64) {
        for line in self.parked.values_mut() {
            line.retain(|parked| parked.admission.id != id);
        }
        let Some(gone) = self.waiting.remove(&id) else {
            return;
        };
        let key = (gone.placement.model, gone.placement.pools);
        if let Some(lane) = self.lanes.get_mut(&key) {
            lane.queue.remove(id);
            lane.resumed.retain(|waiting| *waiting != id);
            lane.head = lane.head.filter(|head| *head != id);
        }
    }

    /// Takes over the upstreams that are alive, and how many instances there
    /// are to share them.
    pub(crate) fn set_view(
        &mut self,
        now: Time,
        stages: &[Stage],
        instances: u32,
        out: &mut Vec<Notification<W>>,
    ) {
        self.router.set_instances(instances);
        self.router.set_view(now, stages);
        self.pump_all(now, out);
    }

    /// When the next [`Dispatcher::share_request`] is due.
    pub(crate) fn due(&self) -> Time {
        self.holder.due()
    }

    /// The next question for shares, to be sent at once.
    pub(crate) fn share_request(&mut self, now: Time) -> ShareRequest {
        for (route, line) in &self.parked {
            let waiting = u32::try_from(line.len()).unwrap_or(u32::MAX);
            self.holder.set_waiting(now, route, waiting);
        }
        self.holder.share_request(now)
    }

    /// Takes the answer to a question.
    pub(crate) fn grant(&mut self, now: Time, grant: &Grant, out: &mut Vec<Notification<W>>) {
        if self.holder.grant(now, grant) {
            self.unpark(now, out);
        }
    }

    /// Takes note of the time: deadlines pass, rates refill.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Notification<W>>) {
        self.expire(now, out);
        self.unpark(now, out);
        self.pump_all(now, out);
    }

    /// Tokens a second that engines and links allow for a model.
    pub(crate) fn bound(&mut self, now: Time, model: &str, pools: &[String]) -> f64 {
        self.router.bound(now, model, pools)
    }

    fn unpark(&mut self, now: Time, out: &mut Vec<Notification<W>>) {
        for (route, line) in &mut self.parked {
            while let Some(first) = line.front() {
                let tokens = first.admission.tokens;
                let Ok(permit) = self.holder.readmit(now, route, tokens) else {
                    break;
                };
                if let Some(Parked { waiter, .. }) = line.pop_front() {
                    out.push((waiter, Decision::Admitted(permit)));
                }
            }
            if line.is_empty() {
                self.holder.set_waiting(now, route, 0);
            }
        }
        self.parked.retain(|_, line| !line.is_empty());
    }

    fn expire(&mut self, now: Time, out: &mut Vec<Notification<W>>) {
        for line in self.parked.values_mut() {
            let expired = |p: &Parked<W>| p.admission.deadline <= now;
            let mut left = VecDeque::with_capacity(line.len());
            for parked in line.drain(..) {
                if expired(&parked) {
                    out.push((parked.waiter, Decision::Expired));
                } else {
                    left.push_back(parked);
                }
            }
            *line = left;
        }
        let late: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, w)| w.placement.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            if let Some(Waiting { placement, waiter }) = self.waiting.remove(&id) {
                let told = Decision::Unplaced(PlacementError::Deadline, Duration::ZERO);
                out.push((waiter, told));
                let key = (placement.model, placement.pools);
                if let Some(lane) = self.lanes.get_mut(&key) {
                    lane.queue.remove(id);
                }
            }
        }
    }

    fn pump_all(&mut self, now: Time, out: &mut Vec<Notification<W>>) {
        let busy: Vec<LaneKey> = self
            .lanes
            .iter()
            .filter(|(_, lane)| lane.waits())
            .map(|(key, _)| key.clone())
            .collect();
        for key in busy {
            self.pump(now, &key, out);
        }
    }

    /// Places requests of a lane for as long as there are free paths.
    fn pump(&mut self, now: Time, key: &LaneKey, out: &mut Vec<Notification<W>>) {
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
                        out.push((waiter, told(chosen, placement, key)));
                    }
                }
            }
        }
    }
}

fn told(chosen: Result<Choice, NoPath>, placement: Placement, lane: &LaneKey) -> Decision {
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

/// Chooses a path around the excluded upstreams, or through them where there
/// is no other: a stage that failed once may be the last holder of its layers.
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
    fn waits(&self) -> bool {
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
