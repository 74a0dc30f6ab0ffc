//! The simulated fleet: clocks, instances, register, engines and callers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::caller::{Caller, Permit, Submission};
use super::check::{RequestHistory, Totals};
use super::engine::{failed, open_failed};
use super::register::new_register;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::budget::Budget;
use crate::claim::{self, Action, ClaimLease, Claims, Ticker};
use crate::request::{
    Admitted, Answer, AttemptError, Bounds, Claimed, Effect, Event, Generation, Lifecycle,
    OpenError,
};
use crate::{HashMap, Time};

pub(super) const INSTANCES: usize = 3;
pub(super) const CALLERS: usize = 24;
pub(super) const LAYERS: u32 = 8;
pub(super) const TOKENS: u32 = 6;
/// Retention of claims in milliseconds; short enough for runs to reach its end.
pub(super) const RETENTION: u64 = 12_000;
/// Time in milliseconds until which callers submit requests again and faults occur.
pub(super) const END: u64 = 40_000;
/// Milliseconds within which a second run of a key is an error: a claim is discarded
/// [`RETENTION`] after it was made, and its request runs up to 2 s after that time.
pub(super) const WINDOW: u64 = RETENTION - 2_000;

pub(super) enum SimEvent {
    /// A caller submits its request.
    Arrive(usize),
    Apply(Vec<u8>, ReplyTo),
    Reply(Vec<u8>, ReplyTo),
    /// The wait for the reply to a claim ends.
    ClaimTimeout(usize),
    Event(usize, Event),
    /// The connection for an attempt is established.
    Connected(usize, u32, Option<Time>),
    Poll(usize),
    Crash(usize),
    Freeze(usize),
}

#[derive(Clone, Copy)]
pub(super) enum ReplyTo {
    Claim(usize),
    Renew(usize),
    Tick(usize),
    Nobody,
}

pub(super) enum Phase {
    Waiting(Lifecycle<Admitted<Permit>>, ClaimLease),
    Running(Box<Generation<Permit>>),
    Ended,
}

pub(super) struct Instance {
    pub(super) incarnation: u64,
    frozen: u64,
    offset: u64,
    /// Speed of its clock, in thousandths of real time.
    rate: u64,
    pub(super) ticker: Ticker,
    budget: Budget,
}

pub(super) struct World {
    pub(super) seed: u64,
    pub(super) rng: ChaCha8Rng,
    /// Real time in milliseconds.
    pub(super) now: u64,
    count: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, SimEvent>,
    pub(super) instances: Vec<Instance>,
    pub(super) callers: Vec<Caller>,
    pub(super) submissions: Vec<Submission>,
    pub(super) histories: HashMap<String, RequestHistory>,
    pub(super) register: Claims,
    /// Applies the same log, but is never restored from a snapshot.
    pub(super) replica: Claims,
    pub(super) index: u64,
    pub(super) totals: Totals,
}

impl World {
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instances = (0..INSTANCES).map(|_| Instance {
            incarnation: 1,
            frozen: 0,
            offset: rng.random_range(0..10_000_000),
            rate: rng.random_range(980..=1020),
            ticker: Ticker::new(Duration::from_millis(250)),
            budget: Budget::new(Time(0)),
        });
        let instances = instances.collect();
        let callers = (0..CALLERS).map(|n| Caller {
            organisation: ["a", "b"][n % 2],
            // Callers of both organisations choose the same keys.
            key: (n % 8 < 6).then(|| format!("key-{}", n / 2)),
            idempotent: n % 8 == 6 || n % 8 == 4,
        });
        let mut world = Self {
            seed,
            now: 0,
            count: 0,
            heap: BinaryHeap::new(),
            events: HashMap::default(),
            instances,
            callers: callers.collect(),
            submissions: Vec::new(),
            histories: HashMap::default(),
            register: new_register(seed),
            replica: new_register(seed),
            index: 0,
            totals: Totals::default(),
            rng,
        };
        world.prepare();
        world
    }

    fn prepare(&mut self) {
        for caller in 0..CALLERS {
            let at = self.rng.random_range(0..8_000);
            self.push(at, SimEvent::Arrive(caller));
        }
        for instance in 0..INSTANCES {
            self.push(1, SimEvent::Poll(instance));
            for _ in 0..3 {
                let at = self.rng.random_range(0..END);
                self.push(at, SimEvent::Freeze(instance));
                if self.rng.random_bool(0.5) {
                    self.push(at / 2, SimEvent::Crash(instance));
                }
            }
        }
    }

    pub(super) fn push(&mut self, delay: u64, event: SimEvent) {
        self.count += 1;
        self.heap.push(Reverse((self.now + delay, self.count)));
        self.events.insert(self.count, event);
    }

    pub(super) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_ratio(percent, 100)
    }

    pub(super) fn local_time(&self, instance: usize) -> Time {
        let Instance { offset, rate, .. } = &self.instances[instance];
        Time((offset + self.now) * rate)
    }

    pub(super) fn run(mut self) -> Totals {
        while let Some(Reverse((at, number))) = self.heap.pop() {
            self.now = at;
            let event = self.events.remove(&number).expect("each event once");
            if let Some(instance) = self.handler(&event)
                && self.instances[instance].frozen > at
            {
                self.push(self.instances[instance].frozen - at, event);
                continue;
            }
            self.handle(event);
        }
        self.finish()
    }

    /// The instance that handles the event, if it isn't handled elsewhere.
    fn handler(&self, event: &SimEvent) -> Option<usize> {
        match event {
            SimEvent::ClaimTimeout(s)
            | SimEvent::Event(s, _)
            | SimEvent::Connected(s, ..)
            | SimEvent::Reply(_, ReplyTo::Claim(s) | ReplyTo::Renew(s)) => {
                Some(self.submissions[*s].instance)
            }
            SimEvent::Poll(instance) | SimEvent::Reply(_, ReplyTo::Tick(instance)) => {
                Some(*instance)
            }
            _ => None,
        }
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(caller) => self.arrive(caller),
            SimEvent::Apply(command, reply_to) => self.apply(&command, reply_to),
            SimEvent::Reply(reply, reply_to) => self.reply(&reply, reply_to),
            SimEvent::ClaimTimeout(submission) => self.claim_timeout(submission),
            SimEvent::Event(submission, event @ Event::Started { .. }) => {
                self.start(submission, event)
            }
            SimEvent::Event(submission, event) => self.step(submission, event),
            SimEvent::Connected(submission, attempt, send_by) => {
                self.connected(submission, attempt, send_by)
            }
            SimEvent::Poll(instance) => self.poll(instance),
            SimEvent::Crash(instance) => self.crash(instance),
            SimEvent::Freeze(instance) => {
                self.instances[instance].frozen = self.now + self.rng.random_range(500..16_000);
            }
        }
    }

    pub(super) fn generate(
        &mut self,
        submission: usize,
        next: Result<Lifecycle<Claimed<Permit>>, Answer>,
    ) {
        let mut out = Vec::new();
        match next {
            Ok(life) => {
                let generation = Generation::new(life, self.bounds(submission), &mut out);
                self.submissions[submission].phase = Phase::Running(Box::new(generation));
            }
            Err(answer) => out.push(Effect::Finish(answer)),
        }
        self.effects(submission, out);
    }

    fn bounds(&self, submission: usize) -> Bounds {
        let now = self.local_time(self.submissions[submission].instance);
        Bounds {
            max_tokens: TOKENS,
            layers: LAYERS,
            max_attempts: 4,
            deadline: now + Duration::from_secs(6),
            first_timeout: Duration::from_millis(400),
            idle_timeout: Duration::from_millis(200),
        }
    }

    pub(super) fn step(&mut self, submission: usize, event: Event) {
        let now = self.local_time(self.submissions[submission].instance);
        let mut out = Vec::new();
        if let Phase::Running(generation) = &mut self.submissions[submission].phase {
            generation.step(now, event, &mut out);
        }
        self.effects(submission, out);
    }

    fn effects(&mut self, submission: usize, out: Vec<Effect>) {
        for effect in out {
            self.effect(submission, effect);
        }
        let now = self.local_time(self.submissions[submission].instance);
        if let Phase::Running(generation) = &self.submissions[submission].phase
            && !generation.finished()
        {
            let wait = generation.next_tick().since(now).as_millis() as u64;
            let event = Event::Tick;
            self.push(wait * 103 / 100 + 1, SimEvent::Event(submission, event));
        }
    }

    pub(super) fn effect(&mut self, submission: usize, effect: Effect) {
        let caller = &self.callers[self.submissions[submission].caller];
        let organisation = caller.organisation.to_string();
        let key = caller.key.clone().unwrap_or_default();
        match effect {
            Effect::Open {
                attempt,
                retry,
                resume,
                ..
            } => self.open(submission, attempt, retry, resume),
            Effect::Send { attempt, send_by } => {
                self.submissions[submission].in_flight = Some(attempt);
                let delay = self.rng.random_range(0..300);
                self.push(delay, SimEvent::Connected(submission, attempt, send_by));
            }
            Effect::Emit {
                request,
                index,
                text,
            } => self.emit(submission, request, index, &text),
            Effect::Release { token } => {
                let release = claim::Release {
                    organisation,
                    key,
                    token: Some(token),
                };
                self.propose(Action::Release(release), ReplyTo::Nobody);
            }
            Effect::Settle { token, outcome } => {
                let settle = claim::Settle {
                    organisation,
                    key,
                    outcome: Some(outcome),
                    token: Some(token),
                };
                self.propose(Action::Settle(settle), ReplyTo::Nobody);
            }
            Effect::Finish(answer) => self.answer(submission, answer),
            Effect::Cancel { .. } => self.submissions[submission].in_flight = None,
            Effect::Report { .. } => {}
        }
    }

    fn connected(&mut self, submission: usize, attempt: u32, send_by: Option<Time>) {
        let state = &self.submissions[submission];
        if state.in_flight != Some(attempt) || matches!(state.phase, Phase::Ended) {
            return;
        }
        if send_by.is_some_and(|send_by| self.local_time(state.instance) >= send_by) {
            return self.schedule(submission, 0, failed(attempt, AttemptError::Refused));
        }
        self.send(submission, attempt);
    }

    fn open(&mut self, submission: usize, attempt: u32, retry: bool, resume: u32) {
        let instance = self.submissions[submission].instance;
        let now = self.local_time(instance);
        let organisation = self.callers[self.submissions[submission].caller].organisation;
        let budget = &mut self.instances[instance].budget;
        let reason = if retry && !budget.take(now, &organisation.into()) {
            Some(OpenError::RetryBudget)
        } else {
            self.chance(4).then_some(OpenError::NoPath)
        };
        let event = match reason {
            Some(reason) => open_failed(attempt, reason),
            None => Event::Started {
                attempt,
                path: self.path(submission, resume),
                lease: None,
            },
        };
        let range = if self.chance(4) { 1_500..3_000 } else { 1..40 };
        let delay = self.rng.random_range(range);
        self.schedule(submission, delay, event);
    }

    pub(super) fn schedule(&mut self, submission: usize, delay: u64, event: Event) {
        self.push(delay, SimEvent::Event(submission, event));
    }

    fn crash(&mut self, instance: usize) {
        self.instances[instance].incarnation += 1;
        self.instances[instance].ticker = Ticker::new(Duration::from_millis(250));
        let lost: Vec<usize> = self
            .submissions
            .iter_mut()
            .filter(|s| s.instance == instance && !matches!(s.phase, Phase::Ended))
            .map(|s| {
                s.phase = Phase::Ended;
                s.caller
            })
            .collect();
        lost.into_iter().for_each(|caller| self.resubmit(caller));
    }

    fn finish(self) -> Totals {
        for (number, submission) in self.submissions.iter().enumerate() {
            let over = submission.answer.is_some() || matches!(submission.phase, Phase::Ended);
            assert!(over, "seed {}: no answer to submission {number}", self.seed);
            assert_eq!(submission.permits.get(), 0, "seed {}", self.seed);
        }
        self.totals
    }
}
