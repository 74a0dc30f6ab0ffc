//! An instance's side of the limits: admission by the shares it holds.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::queue::SegQueue;

use super::local::{Denial, Local};
use super::message::{Amounts, Grant, ShareRequest};
use super::{LEASE, MIN_REQUEST_GAP, REQUEST_PERIOD};
use crate::clock::Time;
use crate::collections::HashMap;
use crate::id::{Incarnation, InstanceId};

/// Questions whose answers may still come. Older ones are forgotten.
const PENDING: usize = 128;

/// Time after which a route without use is asked for no longer.
const FORGET: Duration = Duration::from_secs(10);

/// Leave to run one request. Given back when it is dropped or settled, by its
/// type exactly once, and even when the thread that held it panicked.
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
    /// Grant in use when it was sent.
    applied: u64,
}

/// Shares of one instance.
#[derive(Debug)]
pub struct Holder {
    instance: InstanceId,
    incarnation: Incarnation,
    routes: HashMap<Arc<str>, Local>,
    /// Last question sent.
    sequence: u64,
    /// Question whose grant is in use.
    applied: u64,
    /// End of all shares held.
    until: Time,
    /// Questions without an answer, oldest first.
    pending: VecDeque<Pending>,
    asked: Option<Time>,
    urgent: bool,
    returns: Arc<SegQueue<Arc<str>>>,
}

impl Holder {
    /// A holder without shares.
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
            asked: None,
            urgent: false,
            returns: Arc::default(),
        }
    }

    /// Admits a request of `tokens` (prompt and expected answer).
    ///
    /// # Errors
    /// [`Denial`] with the limit met. With [`DenialReason::NoShare`](super::DenialReason::NoShare) a question
    /// is due at once, and the request may wait for its answer.
    pub fn admit(&mut self, now: Time, route: &str, tokens: u32) -> Result<Permit, Denial> {
        self.wish(now, route, tokens);
        let admitted = self.readmit(now, route, tokens);
        if admitted.is_err() {
            let local = entry(&mut self.routes, route);
            local.seen.denied += 1;
            self.urgent |= local.first_denial(now);
        }
        admitted
    }

    /// Counts a request as wanted.
    fn wish(&mut self, now: Time, route: &str, tokens: u32) {
        let local = entry(&mut self.routes, route);
        local.seen.requests += 1;
        local.seen.tokens += u64::from(tokens);
        local.used = now;
    }

    /// Tries again to admit a request that was denied and waits. It counts as
    /// wanted only once, however often it is tried.
    ///
    /// # Errors
    /// [`Denial`] with the limit met.
    pub fn readmit(&mut self, now: Time, route: &str, tokens: u32) -> Result<Permit, Denial> {
        self.collect();
        let valid = now < self.until;
        let until = self.until;
        let local = entry(&mut self.routes, route);
        local.refill(now.min(until));
        if let Some(denial) = local.denial(valid, tokens) {
            return Err(denial);
        }
        local.used = now;
        local.requests.take(1.0);
        local.tokens.take(f64::from(tokens));
        local.running += 1;
        local.seen.peak = local.seen.peak.max(local.running);
        let route = self.routes.get_key_value(route).map(|(k, _)| k.clone());
        Ok(Permit {
            route: route.unwrap_or_default(),
            tokens,
            returns: self.returns.clone(),
        })
    }

    /// Gives a permit back and books what the request really used.
    pub fn settle(&mut self, permit: Permit, tokens: u32) {
        if let Some(local) = self.routes.get_mut(&permit.route) {
            local
                .tokens
                .correct(f64::from(tokens) - f64::from(permit.tokens));
        }
        drop(permit);
        self.collect();
    }

    /// The share of a route in force at `now`; zero once the lease has run out.
    #[must_use]
    pub fn share(&self, now: Time, route: &str) -> Amounts {
        if now >= self.until {
            return Amounts::default();
        }
        self.routes.get(route).map(|l| l.share).unwrap_or_default()
    }

    /// Requests of a route that run on this instance.
    #[must_use]
    pub fn running(&mut self, route: &str) -> u32 {
        self.collect();
        self.routes.get(route).map_or(0, |l| l.running)
    }

    /// Tells how many requests of a route wait in the queue.
    pub fn set_waiting(&mut self, now: Time, route: &str, waiting: u32) {
        let local = entry(&mut self.routes, route);
        local.waiting = waiting;
        if waiting > 0 {
            local.used = now;
        }
    }

    /// When [`share_request`](Self::share_request) should be called next.
    #[must_use]
    pub fn due(&self) -> Time {
        let gap = match (self.urgent, self.routes.is_empty()) {
            (true, _) => MIN_REQUEST_GAP,
            (false, false) => REQUEST_PERIOD,
            // Nothing is wanted or held; the allocator only has to know that
            // this holder exists.
            (false, true) => LEASE,
        };
        self.asked.map_or(Time::default(), |at| at + gap)
    }

    /// The next question. Its sending counts from `now`, so call it right
    /// before the message leaves.
    pub fn share_request(&mut self, now: Time) -> ShareRequest {
        self.collect();
        let passed = self.asked.map_or(REQUEST_PERIOD, |at| now.since(at));
        self.asked = Some(now);
        self.urgent = false;
        self.sequence += 1;
        self.pending.push_back(Pending {
            sequence: self.sequence,
            sent: now,
            applied: self.applied,
        });
        if self.pending.len() > PENDING {
            self.pending.pop_front();
        }
        let valid = now < self.until;
        self.routes
            .retain(|_, l| l.running > 0 || now.since(l.used) < FORGET);
        let demands = self.routes.iter_mut();
        let demands = demands.map(|(route, l)| l.demand(route, valid, passed));
        ShareRequest {
            instance: self.instance.0,
            incarnation: self.incarnation.0,
            sequence: self.sequence,
            applied: self.applied,
            demands: demands.collect(),
        }
    }

    /// Takes an answer in. Returns whether it is now in use.
    ///
    /// Guards against late and doubled answers: an answer to an older question
    /// would bring back a share that the allocator counts no longer, which
    /// would show as two instances using the same share. With an answer, its
    /// question and all before it are forgotten, and nothing else is taken.
    pub fn grant(&mut self, now: Time, grant: &Grant) -> bool {
        let own = grant.instance == self.instance.0 && grant.incarnation == self.incarnation.0;
        if !own {
            return false;
        }
        let found = self.pending.iter().find(|p| p.sequence == grant.sequence);
        let Some(&asked) = found else {
            return false;
        };
        if grant.renewal && !self.renews(now, asked) {
            return false;
        }
        self.applied = grant.sequence;
        self.pending.retain(|p| p.sequence > grant.sequence);
        self.replace(now, asked.sent + LEASE, grant);
        true
    }

    /// Whether the share that `asked` reported is still the one in use.
    ///
    /// A new allocator renews what a question reported. When the question was
    /// on its way for long, the share may have run out or been given up since,
    /// and the earlier allocator may have granted it to another instance,
    /// which would show as both using it. While the share is still in use
    /// here, the earlier allocator counted it.
    fn renews(&self, now: Time, asked: Pending) -> bool {
        now < self.until && self.applied == asked.applied
    }

    fn replace(&mut self, now: Time, until: Time, grant: &Grant) {
        let lapsed = now >= self.until;
        self.urgent |= self.shrinks(grant);
        for local in self.routes.values_mut() {
            local.refill(now.min(self.until));
            local.share = Amounts::default();
            if lapsed {
                local.drain();
            }
        }
        for share in &grant.shares {
            entry(&mut self.routes, &share.route).share = share.amounts;
        }
        for local in self.routes.values_mut() {
            local.restart(now);
        }
        self.until = until;
    }

    /// Whether a grant takes a noticeable part of a share away. The allocator
    /// may give it to others only once it hears that the grant is in use.
    fn shrinks(&self, grant: &Grant) -> bool {
        grant.shares.iter().any(|share| {
            let held = self.routes.get(share.route.as_str());
            let held = held.map(|l| l.share.array()).unwrap_or_default();
            let mut kinds = held.into_iter().zip(share.amounts.array());
            kinds.any(|(old, new)| new < old / 2)
        })
    }

    /// Books the permits that were dropped.
    fn collect(&mut self) {
        while let Some(route) = self.returns.pop() {
            let local = entry(&mut self.routes, &route);
            assert!(local.running > 0, "a permit of {route} came back twice");
            local.running -= 1;
        }
    }
}

fn entry<'a>(routes: &'a mut HashMap<Arc<str>, Local>, route: &str) -> &'a mut Local {
    if !routes.contains_key(route) {
        routes.insert(route.into(), Local::default());
    }
    routes.get_mut(route).expect("inserted above")
}
