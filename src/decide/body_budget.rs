//! Decides which bodies an instance holds while their memory is short.
//!
//! Load pattern: many clients send large bodies at once, stop before the end and keep their
//! connections open. Memory that waits for the end of such a body is lost to others, and if each of
//! them has got a part, none can be completed. So a body that stopped growing makes room first, then
//! the longest one. Bodies that are complete keep their memory until their calls end.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;

/// Length up to which a body is short, in bytes.
pub(crate) const SHORT_BYTES: usize = 64 << 10;

/// Time without growth after which a body makes room for any other one. Packets that were lost are
/// sent again sooner.
const STALL_TIME: Duration = Duration::from_secs(1);

/// What a body belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Request,
    /// Its request has run, so it may take all of the memory.
    Response,
}

/// Answer to a body that needs more memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Growth {
    Granted,
    /// Memory becomes free soon, when bodies that were given up are dropped; this one, if any, is to
    /// be given up now.
    Wait(Option<u64>),
    /// There is no memory for this body, or it was given up.
    Refused,
}

#[derive(Debug)]
struct Held {
    kind: Kind,
    bytes: usize,
    /// When the body last grew.
    grown: Time,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// In the orders of growth and size, if a request's.
    Receiving,
    Complete,
    /// Its memory is part of `leaving`.
    GivenUp,
}

impl Held {
    fn is_long(&self) -> bool {
        self.bytes > SHORT_BYTES
    }

    fn may_give_way(&self) -> bool {
        self.kind == Kind::Request && self.state == State::Receiving
    }
}

/// Sums over bodies, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Sums {
    all: usize,
    requests: usize,
    long: usize,
}

impl Sums {
    fn of(held: &Held) -> Self {
        let (all, is_request) = (held.bytes, held.kind == Kind::Request);
        Self {
            all,
            requests: if is_request { all } else { 0 },
            long: if is_request && held.is_long() { all } else { 0 },
        }
    }

    fn add(&mut self, other: Self) {
        self.all += other.all;
        self.requests += other.requests;
        self.long += other.long;
    }

    fn subtract(&mut self, other: Self) {
        self.all -= other.all;
        self.requests -= other.requests;
        self.long -= other.long;
    }
}

/// Memory of the bodies that an instance holds.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    /// Maximum of all bodies, in bytes.
    capacity: usize,
    bodies: HashMap<u64, Held>,
    next: u64,
    /// Of all in `bodies`.
    sums: Sums,
    /// Of those that were given up.
    leaving: Sums,
    /// Bodies that may be given up, by length class and last growth.
    by_growth: BTreeSet<(bool, Time, u64)>,
    /// The same bodies by size.
    by_size: BTreeSet<(usize, u64)>,
}

impl BodyBudget {
    /// Memory of `capacity` bytes.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            bodies: HashMap::default(),
            next: 0,
            sums: Sums::default(),
            leaving: Sums::default(),
            by_growth: BTreeSet::new(),
            by_size: BTreeSet::new(),
        }
    }

    /// Bytes that are held.
    pub(crate) fn held(&self) -> usize {
        self.sums.all
    }

    /// Adds a body that holds nothing yet.
    pub(crate) fn open(&mut self, now: Time, kind: Kind) -> u64 {
        let id = self.next;
        self.next += 1;
        let held = Held {
            kind,
            bytes: 0,
            grown: now,
            state: State::Receiving,
        };
        self.insert(id, held);
        id
    }

    /// Asks for more bytes for a body that is received.
    pub(crate) fn grow(&mut self, now: Time, id: u64, bytes: usize) -> Growth {
        let Some(held) = self.bodies.get(&id) else {
            return Growth::Refused;
        };
        if held.state == State::GivenUp {
            return Growth::Refused;
        }
        let grown = Held {
            bytes: held.bytes + bytes,
            grown: now,
            ..*held
        };
        let before = Sums::of(held);
        let mut wanted = self.sums;
        wanted.subtract(before);
        wanted.add(Sums::of(&grown));
        if self.fits(wanted, &grown) {
            self.remove(id);
            self.insert(id, grown);
            return Growth::Granted;
        }
        wanted.subtract(self.leaving);
        if self.fits(wanted, &grown) {
            return Growth::Wait(None);
        }
        match self.victim(now, id, &grown, wanted) {
            Some(victim) => {
                self.set_state(victim, State::GivenUp);
                Growth::Wait(Some(victim))
            }
            None => Growth::Refused,
        }
    }

    /// Gives back a part of what a body holds.
    pub(crate) fn shrink(&mut self, id: u64, bytes: usize) {
        if let Some(mut held) = self.remove(id) {
            held.bytes = held.bytes.saturating_sub(bytes);
            self.insert(id, held);
        }
    }

    /// Records that a body was received in full. Returns false if it was given up before.
    pub(crate) fn complete(&mut self, id: u64) -> bool {
        let receiving = |h: &Held| h.state == State::Receiving;
        let completes = self.bodies.get(&id).is_some_and(receiving);
        if completes {
            self.set_state(id, State::Complete);
        }
        completes
    }

    /// Removes a body.
    pub(crate) fn close(&mut self, id: u64) {
        self.remove(id);
    }

    /// Maximum of all request bodies, in bytes. The rest is for responses.
    fn request_limit(&self) -> usize {
        self.capacity / 4 * 3
    }

    /// Maximum of the long request bodies, in bytes. The rest of their part is for short ones.
    fn long_limit(&self) -> usize {
        self.capacity / 2
    }

    fn fits(&self, sums: Sums, grown: &Held) -> bool {
        let is_request = grown.kind == Kind::Request;
        sums.all <= self.capacity
            && (!is_request || sums.requests <= self.request_limit())
            && (!is_request || !grown.is_long() || sums.long <= self.long_limit())
    }

    /// The body that makes room for `grown`, which doesn't fit since `wanted` would be held.
    fn victim(&self, now: Time, id: u64, grown: &Held, wanted: Sums) -> Option<u64> {
        let stalled = |is_long: bool| {
            let range = (is_long, Time(0), 0)..=(is_long, now - STALL_TIME, u64::MAX);
            let mut oldest = self.by_growth.range(range).take(2);
            oldest.find(|b| b.2 != id).map(|b| b.2)
        };
        let only_long = wanted.all <= self.capacity && wanted.requests <= self.request_limit();
        let longest = || {
            let mut by_size = self.by_size.iter().rev().take(2);
            let other = by_size.find(|b| b.1 != id)?;
            let is_longer = other.0 > grown.bytes || grown.kind == Kind::Response;
            (is_longer && other.0 > 0).then_some(other.1)
        };
        let short = || stalled(false).filter(|_| !only_long);
        stalled(true).or_else(short).or_else(longest)
    }

    fn set_state(&mut self, id: u64, state: State) {
        if let Some(mut held) = self.remove(id) {
            held.state = state;
            self.insert(id, held);
        }
    }

    fn insert(&mut self, id: u64, held: Held) {
        let sums = Sums::of(&held);
        self.sums.add(sums);
        if held.state == State::GivenUp {
            self.leaving.add(sums);
        }
        if held.may_give_way() {
            self.by_growth.insert((held.is_long(), held.grown, id));
            self.by_size.insert((held.bytes, id));
        }
        self.bodies.insert(id, held);
    }

    fn remove(&mut self, id: u64) -> Option<Held> {
        let held = self.bodies.remove(&id)?;
        let sums = Sums::of(&held);
        self.sums.subtract(sums);
        if held.state == State::GivenUp {
            self.leaving.subtract(sums);
        }
        if held.may_give_way() {
            self.by_growth.remove(&(held.is_long(), held.grown, id));
            self.by_size.remove(&(held.bytes, id));
        }
        Some(held)
    }
}
