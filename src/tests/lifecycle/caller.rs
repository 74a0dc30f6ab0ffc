//! The simulated callers and their submissions.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;

use super::world::{END, INSTANCES, Phase, RETENTION, ReplyTo, SimEvent, World};
use crate::claim::{ClaimLease, Purpose};
use crate::request::{Answer, Event, Hop, Lifecycle, RequestId};
use crate::{Incarnation, InstanceId};

/// A permit that counts how many are held.
#[derive(Debug)]
pub(super) struct Permit(Rc<Cell<i64>>);

impl Permit {
    fn new(out: &Rc<Cell<i64>>) -> Self {
        out.set(out.get() + 1);
        Self(out.clone())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

pub(super) struct Submission {
    pub(super) caller: usize,
    pub(super) instance: usize,
    pub(super) id: RequestId,
    pub(super) phase: Phase,
    pub(super) permits: Rc<Cell<i64>>,
    /// Real time at which the register first granted its claim.
    pub(super) granted: Option<u64>,
    /// Time of the grant that the last reply of the register is about.
    pub(super) reply_grant: u64,
    pub(super) answer: Option<Answer>,
    pub(super) emitted: u32,
    pub(super) resume: u32,
    pub(super) path: Vec<Hop>,
    /// A start that waits for the renewal of its claim, and the new lease.
    pub(super) renewing: Option<(Event, ClaimLease)>,
    /// The attempt in flight, from `Send` to `Cancel`.
    pub(super) in_flight: Option<u32>,
    /// The last attempt that was sent to an engine.
    pub(super) sent: u32,
}

#[derive(Clone)]
pub(super) struct Caller {
    pub(super) organisation: &'static str,
    pub(super) key: Option<String>,
    pub(super) idempotent: bool,
}

impl World {
    pub(super) fn arrive(&mut self, caller: usize) {
        let instance = self.rng.random_range(0..INSTANCES);
        let Caller {
            organisation,
            key,
            idempotent,
        } = self.callers[caller].clone();
        let incarnation = Incarnation(self.instances[instance].incarnation);
        let number = self.submissions.len();
        let id = RequestId {
            instance: InstanceId(instance as u64 + 1),
            incarnation,
            sequence: number as u64,
        };
        let permits = Rc::new(Cell::new(0));
        let life = Lifecycle::new(id, organisation.into(), idempotent, key.is_some());
        let life = life.admit(Permit::new(&permits));
        let retention = Duration::from_millis(RETENTION);
        let lease = ClaimLease::new(id.into(), self.local_time(instance), retention);
        let needed = life.needs_claim();
        self.totals.submissions += 1;
        self.submissions.push(Submission {
            caller,
            instance,
            id,
            phase: Phase::Waiting(life, lease),
            permits,
            granted: None,
            reply_grant: 0,
            answer: None,
            emitted: 0,
            resume: 0,
            path: Vec::new(),
            renewing: None,
            in_flight: None,
            sent: 0,
        });
        if self.chance(15) {
            let delay = self.rng.random_range(0..600);
            self.push(delay, SimEvent::Event(number, Event::CallerLeft));
            self.resubmit(caller);
        }
        if needed {
            self.propose(self.claim(number, Purpose::Run), ReplyTo::Claim(number));
            self.push(900, SimEvent::ClaimTimeout(number));
        } else {
            let (life, _) = self.waiting(number).expect("just arrived");
            self.generate(number, Ok(life.without_claim().expect("needs no claim")));
        }
    }

    /// Submits the same request again, if it has a key.
    pub(super) fn resubmit(&mut self, caller: usize) {
        let delay = self.rng.random_range(50..4_000);
        if self.callers[caller].key.is_some() && self.now + delay < END {
            self.push(delay, SimEvent::Arrive(caller));
        }
    }
}
