//! An instance's side of the limits: admits requests within the shares it
//! holds.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::queue::SegQueue;

use super::local::{Denial, RouteState};
use super::message::{Amounts, Grant, ShareRequest};
use super::{LEASE, MIN_REQUEST_GAP, REQUEST_PERIOD};
use crate::clock::Time;
use crate::collections::HashMap;
use crate::id::{Incarnation, InstanceId};

/// Share requests whose grant is still accepted. Older ones are dropped.
const MAX_PENDING: usize = 128;

/// Time after which shares of an unused route are no longer requested.
const ROUTE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Permission to run one request. It is returned when it is dropped or settled:
/// exactly once, as its type ensures, and also if the holding thread panics.
#[derive(Debug)]
#[must_use = "the request counts as running while its permit lives"]
pub struct Permit {
    route: Arc<str>,
    tokens: u32,
    returns: Arc<SegQueue<Arc<str>>>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.returns.push(self.route.clone());
    }
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    sequence: u64,
    sent: Time,
    /// Sequence of the grant in use when the request was sent.
    applied: u64,
}

/// The shares of one instance.
#[derive(Debug)]
pub struct Holder {
    instance: InstanceId,
    incarnation: Incarnation,
    routes: HashMap<Arc<str>, RouteState>,
    /// Sequence of the last share request sent.
    sequence: u64,
    /// Sequence of the share request whose grant is in use.
    applied: u64,
    /// Expiry of all shares held.
    until: Time,
    /// Unanswered share requests, oldest first.
    pending: VecDeque<Pending>,
    last_request: Option<Time>,
    urgent: bool,
    returns: Arc<SegQueue<Arc<str>>>,
}

impl Holder {
    /// Creates a holder without shares.
    #[must_use]
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            instance,
            incarnation,
            routes: HashMap::default(),
            sequence: 0,
            applied: 0,
            until: Time::default(),
            pending: VecDeque::new(),
            last_request: None,
            urgent: false,
            returns: Arc::default(),
        }
    }

    /// Admits a request of `tokens` tokens (prompt and expected answer).
    ///
    /// # Errors
    /// [`Denial`] with the limit reached. With
    /// [`DenialReason::NoShare`](super::DenialReason::NoShare) a share request
    /// is due, and the denied request may wait for its grant.
    pub fn admit(&mut self, now: Time, route: &str, tokens: u32) -> Result<Permit, Denial> {
        self.count_demand(now, route, tokens);
        let admitted = self.readmit(now, route, tokens);
        if admitted.is_err() {
            let state = entry(&mut self.routes, route);
            state.usage.denied += 1;
            self.urgent |= state.first_denial(now);
        }
        admitted
    }

    fn count_demand(&mut self, now: Time, route: &str, tokens: u32) {
        let state = entry(&mut self.routes, route);
        state.usage.requests += 1;
        state.usage.tokens += u64::from(tokens);
        state.used = now;
    }

    /// Retries to admit a request that was denied and waits. Retries don't add
    /// to the demand.
    ///
    /// # Errors
    /// [`Denial`] with the limit reached.
    pub fn readmit(&mut self, now: Time, route: &str, tokens: u32) -> Result<Permit, Denial> {
        self.collect();
        let valid = now < self.until;
        let until = self.until;
        let state = entry(&mut self.routes, route);
        state.refill(now.min(until));
        if let Some(denial) = state.denial(valid, tokens) {
            return Err(denial);
        }
        state.used = now;
        state.requests.take(1.0);
        state.tokens.take(f64::from(tokens));
        state.running += 1;
        state.usage.peak = state.usage.peak.max(state.running);
        let route = self.routes.get_key_value(route).map(|(k, _)| k.clone());
        Ok(Permit {
            route: route.unwrap_or_default(),
            tokens,
            returns: self.returns.clone(),
        })
    }

    /// Returns a permit and charges the tokens that the request actually used.
    pub fn settle(&mut self, permit: Permit, tokens: u32) {
        if let Some(state) = self.routes.get_mut(&permit.route) {
            state
                .tokens
                .correct(f64::from(tokens) - f64::from(permit.tokens));
        }
        drop(permit);
        self.collect();
    }

    /// The share of a route in force at `now`; zero once the lease has expired.
    #[must_use]
    pub fn share(&self, now: Time, route: &str) -> Amounts {
        if now >= self.until {
            return Amounts::default();
        }
        self.routes.get(route).map(|l| l.share).unwrap_or_default()
    }

    /// Number of running requests of a route on this instance.
    #[must_use]
    pub fn running(&mut self, route: &str) -> u32 {
        self.collect();
        self.routes.get(route).map_or(0, |l| l.running)
    }

    /// Sets the number of requests of a route that wait in the queue.
    pub fn set_waiting(&mut self, now: Time, route: &str, waiting: u32) {
        let state = entry(&mut self.routes, route);
        state.waiting = waiting;
        if waiting > 0 {
            state.used = now;
        }
    }

    /// Time at which [`share_request`](Self::share_request) should be called
    /// next.
    #[must_use]
    pub fn due(&self) -> Time {
        let gap = match (self.urgent, self.routes.is_empty()) {
            (true, _) => MIN_REQUEST_GAP,
            (false, false) => REQUEST_PERIOD,
            // Without demand or shares, the allocator only needs to know that
            // this holder exists.
            (false, true) => LEASE,
        };
        self.last_request.map_or(Time::default(), |at| at + gap)
    }

    /// Creates the next share request. Its lease starts at `now`, so call it
    /// right before the message is sent.
    pub fn share_request(&mut self, now: Time) -> ShareRequest {
        self.collect();
        let elapsed = self.last_request.map_or(REQUEST_PERIOD, |at| now.since(at));
        self.last_request = Some(now);
        self.urgent = false;
        self.sequence += 1;
        self.pending.push_back(Pending {
            sequence: self.sequence,
            sent: now,
            applied: self.applied,
        });
        if self.pending.len() > MAX_PENDING {
            self.pending.pop_front();
        }
        let valid = now < self.until;
        self.routes
            .retain(|_, l| l.running > 0 || now.since(l.used) < ROUTE_IDLE_TIMEOUT);
        let demands = self.routes.iter_mut();
        let demands = demands.map(|(route, l)| l.demand(route, valid, elapsed));
        ShareRequest {
            instance: self.instance.0,
            incarnation: self.incarnation.0,
            sequence: self.sequence,
            applied: self.applied,
            demands: demands.collect(),
        }
    }

    /// Applies a grant. Returns whether it is now in use.
    ///
    /// A grant is applied only if its share request is pending; it ends that
    /// request and all older ones, so late and duplicate grants are ignored. A
    /// late one would bring back a share that the allocator no longer counts,
    /// and two instances would use the same share.
    pub fn grant(&mut self, now: Time, grant: &Grant) -> bool {
        let own = grant.instance == self.instance.0 && grant.incarnation == self.incarnation.0;
        if !own {
            return false;
        }
        let found = self.pending.iter().find(|p| p.sequence == grant.sequence);
        let Some(&request) = found else {
            return false;
        };
        if grant.renewal && !self.renews(now, request) {
            return false;
        }
        self.applied = grant.sequence;
        self.pending.retain(|p| p.sequence > grant.sequence);
        self.replace(now, request.sent + LEASE, grant);
        true
    }

    /// Whether the share reported in `request` is still the one in use.
    ///
    /// A new allocator renews what a share request reported. If the request was
    /// delayed, that share may have expired or been given up since, and the
    /// earlier allocator may have granted it to another instance; both would
    /// use it. This can't happen while the share is in use here, since the
    /// earlier allocator then still counted it.
    fn renews(&self, now: Time, request: Pending) -> bool {
        now < self.until && self.applied == request.applied
    }

    fn replace(&mut self, now: Time, until: Time, grant: &Grant) {
        let expired = now >= self.until;
        self.urgent |= self.shrinks(grant);
        for state in self.routes.values_mut() {
            state.refill(now.min(self.until));
            state.share = Amounts::default();
            if expired {
                state.drain();
            }
        }
        for share in &grant.shares {
            entry(&mut self.routes, &share.route).share = share.amounts;
        }
        for state in self.routes.values_mut() {
            state.restart(now);
        }
        self.until = until;
    }

    /// Whether a grant takes more than half of a share away. The allocator can
    /// grant that part to others only after this holder reports that the new
    /// grant is in use.
    fn shrinks(&self, grant: &Grant) -> bool {
        grant.shares.iter().any(|share| {
            let held = self.routes.get(share.route.as_str());
            let held = held.map(|l| l.share.array()).unwrap_or_default();
            let mut kinds = held.into_iter().zip(share.amounts.array());
            kinds.any(|(old, new)| new < old / 2)
        })
    }

    /// Processes returned permits.
    fn collect(&mut self) {
        while let Some(route) = self.returns.pop() {
            let state = entry(&mut self.routes, &route);
            assert!(state.running > 0, "permit of {route} returned twice");
            state.running -= 1;
        }
    }
}

fn entry<'a>(routes: &'a mut HashMap<Arc<str>, RouteState>, route: &str) -> &'a mut RouteState {
    if !routes.contains_key(route) {
        routes.insert(route.into(), RouteState::default());
    }
    routes.get_mut(route).expect("inserted above")
}
