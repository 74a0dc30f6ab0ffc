//! The simulated fleet: clocks, instances, register, engines and callers.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::caller::{Caller, Permit, Sending};
use super::check::{Totals, Work};
use super::engine::{broken, unopened};
use super::register::register;
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
/// Retention of claims, short so that runs reach its end. Milliseconds.
pub(super) const RETENTION: u64 = 12_000;
/// Callers send again until here; faults end here too. Milliseconds.
pub(super) const END: u64 = 40_000;
/// Time between two runs of one key below which the second is a double: a
/// claim is forgotten [`RETENTION`] after it, and runs up to `START` later.
pub(super) const WINDOW: u64 = RETENTION - 2_000;

pub(super) enum What {
    /// A caller sends its request.
    Arrive(usize),
    Apply(Vec<u8>, Back),
    Reply(Vec<u8>, Back),
    /// The wait for the claim's reply ends.
    Patience(usize),
    Event(usize, Event),
    /// The connection for an attempt is there.
    Connected(usize, u32, Option<Time>),
    Poll(usize),
    Crash(usize),
    Freeze(usize),
}

#[derive(Clone, Copy)]
pub(super) enum Back {
    Claim(usize),
    Renew(usize),
    Tick(usize),
    Nobody,
}

pub(super) enum Phase {
    Waiting(Lifecycle<Admitted<Permit>>, ClaimLease),
    Running(Box<Generation<Permit>>),
    Over,
}

pub(super) struct Instance {
    pub(super) incarnation: u64,
    frozen: u64,
    offset: u64,
    /// Thousandths that its clock runs per real thousandth.
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
    events: HashMap<u64, What>,
    pub(super) instances: Vec<Instance>,
    pub(super) callers: Vec<Caller>,
    pub(super) sendings: Vec<Sending>,
    pub(super) works: HashMap<String, Work>,
    pub(super) register: Claims,
    /// Applies the same log without the restarts.
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
            sendings: Vec::new(),
            works: HashMap::default(),
            register: register(seed),
            replica: register(seed),
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
            self.push(at, What::Arrive(caller));
        }
        for instance in 0..INSTANCES {
            self.push(1, What::Poll(instance));
            for _ in 0..3 {
                let at = self.rng.random_range(0..END);
                self.push(at, What::Freeze(instance));
                if self.rng.random_bool(0.5) {
                    self.push(at / 2, What::Crash(instance));
                }
            }
        }
    }

    pub(super) fn push(&mut self, delay: u64, what: What) {
        self.count += 1;
        self.heap.push(Reverse((self.now + delay, self.count)));
        self.events.insert(self.count, what);
    }

    pub(super) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_ratio(percent, 100)
    }

    pub(super) fn local(&self, instance: usize) -> Time {
        let Instance { offset, rate, .. } = &self.instances[instance];
        Time((offset + self.now) * rate)
    }

    pub(super) fn run(mut self) -> Totals {
        while let Some(Reverse((at, number))) = self.heap.pop() {
            self.now = at;
            let what = self.events.remove(&number).expect("each event once");
            if let Some(instance) = self.place(&what)
                && self.instances[instance].frozen > at
            {
                self.push(self.instances[instance].frozen - at, what);
                continue;
            }
            self.handle(what);
        }
        self.finish()
    }

    /// The instance that handles the event.
    fn place(&self, what: &What) -> Option<usize> {
        match what {
            What::Patience(s)
            | What::Event(s, _)
            | What::Connected(s, ..)
            | What::Reply(_, Back::Claim(s) | Back::Renew(s)) => Some(self.sendings[*s].instance),
            What::Poll(instance) | What::Reply(_, Back::Tick(instance)) => Some(*instance),
            _ => None,
        }
    }

    fn handle(&mut self, what: What) {
        match what {
            What::Arrive(caller) => self.arrive(caller),
            What::Apply(command, back) => self.apply(&command, back),
            What::Reply(reply, back) => self.reply(&reply, back),
            What::Patience(sending) => self.patience(sending),
            What::Event(sending, event @ Event::Started { .. }) => self.start(sending, event),
            What::Event(sending, event) => self.step(sending, event),
            What::Connected(sending, attempt, send_by) => self.connected(sending, attempt, send_by),
            What::Poll(instance) => self.poll(instance),
            What::Crash(instance) => self.crash(instance),
            What::Freeze(instance) => {
                self.instances[instance].frozen = self.now + self.rng.random_range(500..16_000);
            }
        }
    }

    pub(super) fn generate(
        &mut self,
        sending: usize,
        next: Result<Lifecycle<Claimed<Permit>>, Answer>,
    ) {
        let mut out = Vec::new();
        match next {
            Ok(life) => {
                let generation = Generation::new(life, self.bounds(sending), &mut out);
                self.sendings[sending].phase = Phase::Running(Box::new(generation));
            }
            Err(answer) => out.push(Effect::Finish(answer)),
        }
        self.effects(sending, out);
    }

    fn bounds(&self, sending: usize) -> Bounds {
        let now = self.local(self.sendings[sending].instance);
        Bounds {
            max_tokens: TOKENS,
            layers: LAYERS,
            max_attempts: 4,
            deadline: now + Duration::from_secs(6),
            first_timeout: Duration::from_millis(400),
            idle_timeout: Duration::from_millis(200),
        }
    }

    pub(super) fn step(&mut self, sending: usize, event: Event) {
        let now = self.local(self.sendings[sending].instance);
        let mut out = Vec::new();
        if let Phase::Running(generation) = &mut self.sendings[sending].phase {
            generation.step(now, event, &mut out);
        }
        self.effects(sending, out);
    }

    fn effects(&mut self, sending: usize, out: Vec<Effect>) {
        for effect in out {
            self.effect(sending, effect);
        }
        let now = self.local(self.sendings[sending].instance);
        if let Phase::Running(generation) = &self.sendings[sending].phase
            && !generation.finished()
        {
            let wait = generation.next_tick().since(now).as_millis() as u64;
            let event = Event::Tick;
            self.push(wait * 103 / 100 + 1, What::Event(sending, event));
        }
    }

    pub(super) fn effect(&mut self, sending: usize, effect: Effect) {
        let caller = &self.callers[self.sendings[sending].caller];
        let organisation = caller.organisation.to_string();
        let key = caller.key.clone().unwrap_or_default();
        match effect {
            Effect::Open {
                attempt,
                retry,
                resume,
                ..
            } => self.open(sending, attempt, retry, resume),
            Effect::Send { attempt, send_by } => {
                self.sendings[sending].flight = Some(attempt);
                let delay = self.rng.random_range(0..300);
                self.push(delay, What::Connected(sending, attempt, send_by));
            }
            Effect::Emit {
                request,
                index,
                text,
            } => self.emit(sending, request, index, &text),
            Effect::Release { token } => {
                let release = claim::Release {
                    organisation,
                    key,
                    token: Some(token),
                };
                self.propose(Action::Release(release), Back::Nobody);
            }
            Effect::Settle { token, outcome } => {
                let settle = claim::Settle {
                    organisation,
                    key,
                    outcome: Some(outcome),
                    token: Some(token),
                };
                self.propose(Action::Settle(settle), Back::Nobody);
            }
            Effect::Finish(answer) => self.answer(sending, answer),
            Effect::Cancel { .. } => self.sendings[sending].flight = None,
            Effect::Report { .. } => {}
        }
    }

    fn connected(&mut self, sending: usize, attempt: u32, send_by: Option<Time>) {
        let state = &self.sendings[sending];
        if state.flight != Some(attempt) || matches!(state.phase, Phase::Over) {
            return;
        }
        if send_by.is_some_and(|send_by| self.local(state.instance) >= send_by) {
            return self.plan(sending, 0, broken(attempt, AttemptError::Refused));
        }
        self.send(sending, attempt);
    }

    fn open(&mut self, sending: usize, attempt: u32, retry: bool, resume: u32) {
        let instance = self.sendings[sending].instance;
        let now = self.local(instance);
        let organisation = self.callers[self.sendings[sending].caller].organisation;
        let budget = &mut self.instances[instance].budget;
        let reason = if retry && !budget.take(now, &organisation.into()) {
            Some(OpenError::RetryBudget)
        } else {
            self.chance(4).then_some(OpenError::NoPath)
        };
        let event = match reason {
            Some(reason) => unopened(attempt, reason),
            None => Event::Started {
                attempt,
                path: self.path(sending, resume),
                lease: None,
            },
        };
        let range = if self.chance(4) { 1_500..3_000 } else { 1..40 };
        let delay = self.rng.random_range(range);
        self.plan(sending, delay, event);
    }

    pub(super) fn plan(&mut self, sending: usize, delay: u64, event: Event) {
        self.push(delay, What::Event(sending, event));
    }

    fn crash(&mut self, instance: usize) {
        self.instances[instance].incarnation += 1;
        self.instances[instance].ticker = Ticker::new(Duration::from_millis(250));
        let lost: Vec<usize> = self
            .sendings
            .iter_mut()
            .filter(|s| s.instance == instance && !matches!(s.phase, Phase::Over))
            .map(|s| {
                s.phase = Phase::Over;
                s.caller
            })
            .collect();
        lost.into_iter().for_each(|caller| self.again(caller));
    }

    fn finish(self) -> Totals {
        for (number, sending) in self.sendings.iter().enumerate() {
            let over = sending.answer.is_some() || matches!(sending.phase, Phase::Over);
            assert!(over, "seed {}: no answer to sending {number}", self.seed);
            assert_eq!(sending.permits.get(), 0, "seed {}", self.seed);
        }
        self.totals
    }
}
