//! The simulated fleet: clocks, instances, register, engines and callers.

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::budget::Budget;
use crate::claim::{self, Action, Claim, ClaimLease, Claims, Granted, Reply, Ticker, Token};
use crate::request::{
    Admitted, Answer, Bounds, Cause, Effect, Event, Frame, Generation, Hop, Life, Ran, RefusalCode,
    RequestId, Unopened,
};
use crate::voter::Machine;
use crate::{HashMap, Incarnation, InstanceId, Time};

const INSTANCES: usize = 3;
const CALLERS: usize = 24;
const LAYERS: u32 = 8;
const TOKENS: u32 = 6;
/// Retention of claims, short so that runs reach its end. Milliseconds.
const RETENTION: u64 = 12_000;
/// Callers send again until here; faults end here too. Milliseconds.
const END: u64 = 40_000;
/// Time between two runs of one key below which the second is a double: a
/// claim is forgotten [`RETENTION`] after it, and runs up to `START` later.
const WINDOW: u64 = RETENTION - 2_000;

/// Counts the permits given and not given back.
struct Permit(Rc<Cell<i64>>);

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

enum What {
    Arrive { caller: usize },
    Leave { sending: usize },
    Apply { command: Vec<u8>, back: Back },
    Reply { back: Back, reply: Vec<u8> },
    Patience { sending: usize },
    Engine { sending: usize, event: Event },
    Poll { instance: usize },
    Crash { instance: usize },
    Freeze { instance: usize },
}

#[derive(Clone, Copy)]
enum Back {
    Claim(usize),
    Tick(usize),
    Nobody,
}

enum Phase {
    Waiting(Life<Admitted<Permit>>, ClaimLease),
    Running(Generation<Permit>),
    Over,
}

struct Sending {
    caller: usize,
    instance: usize,
    id: RequestId,
    phase: Phase,
    permits: Rc<Cell<i64>>,
    /// Real time at which the register first granted its claim.
    granted: Option<u64>,
    /// The grant that the register's reply is about.
    about: u64,
    answer: Option<Answer>,
    emitted: u32,
    resume: u32,
    path: Vec<Hop>,
    /// The last attempt that was sent.
    sent: u32,
}

struct Instance {
    incarnation: u64,
    frozen: u64,
    offset: u64,
    /// Thousandths that its clock runs per real thousandth.
    rate: u64,
    ticker: Ticker,
    budget: Budget,
}

#[derive(Clone)]
struct Caller {
    organisation: &'static str,
    key: Option<String>,
    idempotent: bool,
}

/// What one request did at the engines.
#[derive(Default)]
struct Work {
    /// Real times of executions.
    runs: Vec<u64>,
    /// Real time of the last grant of its claim.
    granted: u64,
    /// Grants of which a caller was told that the outcome is unknown.
    unknown: Vec<u64>,
}

/// Counts over all runs, to show that the runs reach what they should.
#[derive(Debug, Default)]
pub(super) struct Totals {
    sendings: u64,
    executions: u64,
    codes: BTreeMap<&'static str, u64>,
}

impl Totals {
    pub(super) fn add(&mut self, other: &Self) {
        self.sendings += other.sendings;
        self.executions += other.executions;
        for (code, count) in &other.codes {
            *self.codes.entry(code).or_default() += count;
        }
    }

    pub(super) fn assert_varied(&self) {
        let expected = [
            "complete",
            "kept",
            "outcome_unknown",
            "in_progress",
            "answer_cut",
            "cancelled",
            "claim_lapsed",
            "claim_unavailable",
            "key_retired",
            "no_upstream",
            "upstream_busy",
        ];
        for code in expected {
            assert!(self.codes.contains_key(code), "no run reaches {code}");
        }
    }
}

pub(super) struct World {
    seed: u64,
    rng: ChaCha8Rng,
    /// Real time in milliseconds.
    now: u64,
    count: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, What>,
    instances: Vec<Instance>,
    callers: Vec<Caller>,
    sendings: Vec<Sending>,
    works: HashMap<String, Work>,
    register: Claims,
    /// Applies the same log without the restarts.
    replica: Claims,
    index: u64,
    totals: Totals,
}

fn register() -> Claims {
    Claims::new(claim::Bounds {
        retention: Duration::from_millis(RETENTION),
        ..claim::Bounds::default()
    })
}

fn text(caller: usize, index: u32, attempt: u32) -> String {
    format!("{caller}/{index}/{attempt} ")
}

fn parts(text: &str) -> Vec<u32> {
    let parse = |part: &str| part.trim().parse().unwrap_or(u32::MAX);
    text.split('/').map(parse).collect()
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
            register: register(),
            replica: register(),
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
            self.push(at, What::Arrive { caller });
        }
        for instance in 0..INSTANCES {
            self.push(1, What::Poll { instance });
            for _ in 0..3 {
                let at = self.rng.random_range(0..END);
                self.push(at, What::Freeze { instance });
                if self.rng.random_bool(0.5) {
                    self.push(at / 2, What::Crash { instance });
                }
            }
        }
    }

    fn push(&mut self, delay: u64, what: What) {
        self.count += 1;
        self.heap.push(Reverse((self.now + delay, self.count)));
        self.events.insert(self.count, what);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_ratio(percent, 100)
    }

    fn local(&self, instance: usize) -> Time {
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
            What::Leave { sending }
            | What::Patience { sending }
            | What::Engine { sending, .. }
            | What::Reply {
                back: Back::Claim(sending),
                ..
            } => Some(self.sendings[*sending].instance),
            What::Poll { instance }
            | What::Reply {
                back: Back::Tick(instance),
                ..
            } => Some(*instance),
            _ => None,
        }
    }

    fn handle(&mut self, what: What) {
        match what {
            What::Arrive { caller } => self.arrive(caller),
            What::Leave { sending } => self.step(sending, Event::CallerLeft),
            What::Apply { command, back } => self.apply(command, back),
            What::Reply { back, reply } => self.reply(back, &reply),
            What::Patience { sending } => self.patience(sending),
            What::Engine { sending, event } => self.step(sending, event),
            What::Poll { instance } => self.poll(instance),
            What::Crash { instance } => self.crash(instance),
            What::Freeze { instance } => {
                let length = self.rng.random_range(500..16_000);
                self.instances[instance].frozen = self.now + length;
            }
        }
    }

    fn arrive(&mut self, caller: usize) {
        let instance = self.rng.random_range(0..INSTANCES);
        let Caller {
            organisation,
            key,
            idempotent,
        } = self.callers[caller].clone();
        let incarnation = Incarnation(self.instances[instance].incarnation);
        let number = self.sendings.len();
        let id = RequestId {
            instance: InstanceId(instance as u64 + 1),
            incarnation,
            sequence: number as u64,
        };
        let permits = Rc::new(Cell::new(0));
        let life = Life::new(id, organisation.into(), idempotent, key.is_some());
        let life = life.admit(Permit::new(&permits));
        let retention = Duration::from_millis(RETENTION);
        let lease = ClaimLease::new(id.into(), self.local(instance), retention);
        let needed = life.needs_claim();
        self.totals.sendings += 1;
        self.sendings.push(Sending {
            caller,
            instance,
            id,
            phase: Phase::Waiting(life, lease),
            permits,
            granted: None,
            about: 0,
            answer: None,
            emitted: 0,
            resume: 0,
            path: Vec::new(),
            sent: 0,
        });
        if self.chance(15) {
            let delay = self.rng.random_range(0..600);
            self.push(delay, What::Leave { sending: number });
            self.again(caller);
        }
        if needed {
            self.propose(self.claim(number), Back::Claim(number));
            self.push(900, What::Patience { sending: number });
        } else {
            self.generate(number, |life| life.unclaimed().ok());
        }
    }

    fn claim(&self, sending: usize) -> Action {
        let Sending { caller, id, .. } = &self.sendings[sending];
        let Caller {
            organisation, key, ..
        } = &self.callers[*caller];
        Action::Claim(Claim {
            organisation: (*organisation).into(),
            key: key.clone().unwrap_or_default(),
            digest: format!("{caller:032}").into_bytes(),
            token: Some(Token::from(*id)),
            start: 2_000,
            ttl: 8_000,
        })
    }

    fn propose(&mut self, action: Action, back: Back) {
        let command = action.into_bytes();
        if self.chance(4) {
            let command = command.clone();
            let delay = self.rng.random_range(0..14_000);
            let back = Back::Nobody;
            self.push(delay, What::Apply { command, back });
        }
        if !self.chance(4) {
            let delay = self.rng.random_range(1..20);
            self.push(delay, What::Apply { command, back });
        }
    }

    fn apply(&mut self, command: Vec<u8>, back: Back) {
        self.index += 1;
        let reply = self.register.apply(self.index, &command);
        let other = self.replica.apply(self.index, &command);
        assert_eq!(reply, other, "seed {}: replicas differ", self.seed);
        self.observe(back, &reply);
        if self.chance(2) {
            let snapshot = self.register.snapshot();
            assert_eq!(snapshot, self.replica.snapshot(), "seed {}", self.seed);
            self.register = register();
            self.register.restore(&snapshot);
        }
        if !self.chance(4) {
            let delay = self.rng.random_range(1..20);
            self.push(delay, What::Reply { back, reply });
        }
    }

    /// Notes grants, to tie every "unknown" to the grant that it is about.
    fn observe(&mut self, back: Back, reply: &[u8]) {
        let now = self.now;
        if let Some(Reply::Granted(Granted { token: Some(token) })) = Reply::from_bytes(reply) {
            let sending = token.sequence as usize;
            if self.sendings[sending].granted.is_none() {
                self.sendings[sending].granted = Some(now);
                self.work(sending).granted = now;
            }
        }
        if let Back::Claim(sending) = back {
            self.sendings[sending].about = self.work(sending).granted;
        }
    }

    fn reply(&mut self, back: Back, reply: &[u8]) {
        let reply = Reply::from_bytes(reply).expect("a reply");
        match (back, reply) {
            (Back::Claim(sending), reply) => self.claimed(sending, reply),
            (Back::Tick(instance), Reply::Ticked(ticked)) => {
                let now = self.local(instance);
                self.instances[instance].ticker.heard(now, ticked);
            }
            _ => {}
        }
    }

    fn claimed(&mut self, sending: usize, reply: Reply) {
        let alive = self.chance(50);
        let now = self.local(self.sendings[sending].instance);
        self.generate_or(sending, |life, lease| {
            life.claimed(now, lease, reply, alive)
        });
    }

    fn patience(&mut self, sending: usize) {
        let token = Token::from(self.sendings[sending].id);
        let waiting = matches!(self.sendings[sending].phase, Phase::Waiting(..));
        self.generate_or(sending, |life, _| {
            Err(life.refuse(RefusalCode::ClaimUnavailable, None))
        });
        if waiting {
            self.release(sending, token);
        }
    }

    fn generate(
        &mut self,
        sending: usize,
        next: impl FnOnce(Life<Admitted<Permit>>) -> Option<Life<crate::request::Claimed<Permit>>>,
    ) {
        self.generate_or(sending, |life, _| Ok(next(life).expect("needs no claim")));
    }

    fn generate_or(
        &mut self,
        sending: usize,
        next: impl FnOnce(
            Life<Admitted<Permit>>,
            ClaimLease,
        ) -> Result<Life<crate::request::Claimed<Permit>>, Answer>,
    ) {
        let Some((life, lease)) = self.waiting(sending) else {
            return;
        };
        let mut out = Vec::new();
        match next(life, lease) {
            Ok(life) => {
                let bounds = self.bounds(sending);
                let generation = Generation::new(life, bounds, &mut out);
                self.sendings[sending].phase = Phase::Running(generation);
            }
            Err(answer) => out.push(Effect::Finish(answer)),
        }
        self.effects(sending, out);
    }

    fn waiting(&mut self, sending: usize) -> Option<(Life<Admitted<Permit>>, ClaimLease)> {
        let phase = &mut self.sendings[sending].phase;
        match std::mem::replace(phase, Phase::Over) {
            Phase::Waiting(life, lease) => Some((life, lease)),
            other => {
                *phase = other;
                None
            }
        }
    }

    fn bounds(&self, sending: usize) -> Bounds {
        let now = self.local(self.sendings[sending].instance);
        Bounds {
            tokens: TOKENS,
            layers: LAYERS,
            attempts: 4,
            deadline: now + Duration::from_secs(6),
            first: Duration::from_millis(400),
            idle: Duration::from_millis(200),
        }
    }

    fn step(&mut self, sending: usize, event: Event) {
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
            let wait = generation.wake().since(now).as_millis() as u64;
            let event = Event::Tick;
            self.push(wait * 103 / 100 + 1, What::Engine { sending, event });
        }
    }

    fn effect(&mut self, sending: usize, effect: Effect) {
        match effect {
            Effect::Open {
                attempt, resume, ..
            } => self.open(sending, attempt, resume),
            Effect::Send { attempt } => self.send(sending, attempt),
            Effect::Emit {
                request,
                index,
                text,
            } => self.emit(sending, request, index, &text),
            Effect::Release { token } => self.release(sending, token),
            Effect::Settle { token, outcome } => self.settle(sending, token, outcome),
            Effect::Finish(answer) => self.answer(sending, answer),
            Effect::Cancel { .. } | Effect::Report { .. } => {}
        }
    }

    fn release(&mut self, sending: usize, token: Token) {
        let (organisation, key) = self.name(sending);
        let token = Some(token);
        let release = claim::Release {
            organisation,
            key,
            token,
        };
        self.propose(Action::Release(release), Back::Nobody);
    }

    fn settle(&mut self, sending: usize, token: Token, outcome: claim::Outcome) {
        let (organisation, key) = self.name(sending);
        let settle = claim::Settle {
            organisation,
            key,
            outcome: Some(outcome),
            token: Some(token),
        };
        self.propose(Action::Settle(settle), Back::Nobody);
    }

    fn name(&self, sending: usize) -> (String, String) {
        let caller = &self.callers[self.sendings[sending].caller];
        let key = caller.key.clone().unwrap_or_default();
        (caller.organisation.into(), key)
    }

    fn open(&mut self, sending: usize, attempt: u32, resume: u32) {
        let instance = self.sendings[sending].instance;
        let now = self.local(instance);
        let organisation = self.callers[self.sendings[sending].caller].organisation;
        let denied = attempt > 1
            && !self.instances[instance]
                .budget
                .take(now, &organisation.into());
        let reason = match denied {
            true => Some(Unopened::Budget),
            false => self.chance(4).then_some(Unopened::NoPath),
        };
        let event = match reason {
            Some(reason) => Event::Unopened {
                attempt,
                reason,
                pause: None,
            },
            None => Event::Started {
                attempt,
                path: self.path(sending, resume),
            },
        };
        let slow = self.chance(4);
        let delay = self
            .rng
            .random_range(if slow { 1_500..3_000 } else { 1..40 });
        self.push(delay, What::Engine { sending, event });
    }

    fn path(&mut self, sending: usize, resume: u32) -> Vec<Hop> {
        let cut = self.rng.random_range(1..LAYERS);
        let hop = |name: &str, first, end| Hop {
            upstream: name.into(),
            first,
            end,
        };
        let path = vec![hop("e1", 0, cut), hop("e2", cut, LAYERS)];
        self.sendings[sending].path = path.clone();
        self.sendings[sending].resume = resume;
        path
    }

    /// The engines' side of an attempt: runs it, with a fault or without.
    fn send(&mut self, sending: usize, attempt: u32) {
        self.sendings[sending].sent = attempt;
        // In every eighth run most engines are busy.
        let busy = self.seed.is_multiple_of(8) && self.chance(60);
        let fault = if busy {
            1
        } else {
            self.rng.random_range(0..20)
        };
        let cause = Cause::Cut;
        match fault {
            0 => return self.plan(sending, 2, broken(attempt, Cause::Refused)),
            1 => return self.plan(sending, 5, Event::Busy { attempt }),
            _ => self.execute(sending),
        }
        let from = self.sendings[sending].resume;
        let at = self.rng.random_range(from..=TOKENS);
        let mut delay = 0;
        for index in from..TOKENS {
            delay += self.rng.random_range(5..60);
            let frame = self.token(sending, attempt, index);
            if index == at {
                self.fault(sending, fault, delay, frame.clone());
            }
            if index >= at && fault == 3 {
                return;
            }
            // The connection broke, yet its tokens arrive late.
            let late = if index >= at && fault == 2 { 300 } else { 0 };
            self.plan(sending, delay + late, Event::Frame { on: attempt, frame });
        }
        if fault == 4 {
            return self.plan(sending, delay + 1, broken(attempt, cause));
        }
        let count = if fault == 5 { TOKENS + 1 } else { TOKENS };
        let request = self.sendings[sending].id.to_string();
        let done = Event::Done {
            on: attempt,
            request,
            attempt,
            count,
        };
        self.plan(sending, delay + 1, done);
    }

    /// What goes wrong at one token, before the token itself.
    fn fault(&mut self, sending: usize, fault: u32, delay: u64, mut frame: Frame) {
        let on = frame.attempt;
        let caller = self.sendings[sending].caller;
        match fault {
            2 => return self.plan(sending, delay, broken(on, Cause::Cut)),
            6 => frame.index += 1,
            7 => {
                frame.index = frame.index.saturating_sub(1);
                frame.text = text(caller, frame.index, on);
            }
            8 => {
                frame.passed.pop();
                frame.text = "layer skipped".into();
            }
            9 => {
                let other = self.rng.random_range(0..self.sendings.len());
                frame.request = self.sendings[other].id.to_string();
                frame.text = text(self.sendings[other].caller, frame.index, on);
            }
            10 => {
                frame.attempt = on.saturating_sub(1);
                frame.text = text(caller, frame.index, on - 1);
            }
            11 => frame.passed.push(frame.passed[1].clone()),
            _ => return,
        }
        if fault != 9 || frame.request != self.sendings[sending].id.to_string() {
            self.plan(sending, delay, Event::Frame { on, frame });
        }
    }

    fn token(&self, sending: usize, attempt: u32, index: u32) -> Frame {
        let Sending {
            id, caller, path, ..
        } = &self.sendings[sending];
        Frame {
            request: id.to_string(),
            attempt,
            index,
            text: text(*caller, index, attempt),
            passed: path.clone(),
        }
    }

    fn plan(&mut self, sending: usize, delay: u64, event: Event) {
        self.push(delay, What::Engine { sending, event });
    }

    fn work(&mut self, sending: usize) -> &mut Work {
        let caller = &self.callers[self.sendings[sending].caller];
        let name = match &caller.key {
            Some(key) if !caller.idempotent => format!("{}/{key}", caller.organisation),
            _ => format!("sending {sending}"),
        };
        self.works.entry(name).or_default()
    }

    fn execute(&mut self, sending: usize) {
        let (now, seed) = (self.now, self.seed);
        let granted = self.sendings[sending].granted;
        let idempotent = self.callers[self.sendings[sending].caller].idempotent;
        self.totals.executions += 1;
        let work = self.work(sending);
        if !idempotent {
            let recent = work.runs.last().is_some_and(|at| now < at + WINDOW);
            assert!(!recent, "seed {seed}: run twice, sending {sending}");
            let told = granted.is_some_and(|at| work.unknown.iter().any(|of| at < of + WINDOW));
            assert!(!told, "seed {seed}: run after unknown, sending {sending}");
        }
        work.runs.push(now);
    }

    fn emit(&mut self, sending: usize, request: RequestId, index: u32, text: &str) {
        let seed = self.seed;
        let Sending {
            id,
            caller,
            emitted,
            sent,
            answer,
            ..
        } = &mut self.sendings[sending];
        assert_eq!(request, *id, "seed {seed}");
        assert!(answer.is_none(), "seed {seed}: a token after the answer");
        assert_eq!(index, *emitted, "seed {seed}: not the next token");
        let expected = [*caller as u32, index, *sent];
        assert_eq!(parts(text), expected, "seed {seed}: sending {sending}");
        *emitted += 1;
    }

    fn answer(&mut self, sending: usize, answer: Answer) {
        let (now, seed) = (self.now, self.seed);
        *self.totals.codes.entry(answer.code()).or_default() += 1;
        let recent = |at: &u64| now < at + WINDOW;
        let ran = self.work(sending).runs.last().is_some_and(recent);
        match answer.ran() {
            Ran::No => assert!(!ran, "seed {seed}: not run, yet ran: {answer:?}"),
            Ran::Yes => assert!(!self.work(sending).runs.is_empty(), "seed {seed}"),
            Ran::Unknown => {}
        }
        if answer.code() == "outcome_unknown" {
            let about = self.sendings[sending].about;
            self.work(sending).unknown.push(about);
        }
        assert_ne!(
            answer.code(),
            "key_mismatch",
            "seed {seed}: another's claim"
        );
        let state = &mut self.sendings[sending];
        assert!(state.answer.is_none(), "seed {seed}: two answers");
        assert_eq!(state.permits.get(), 0, "seed {seed}: permit kept");
        let caller = state.caller;
        match &answer {
            Answer::Complete { count } => assert_eq!((*count, state.emitted), (TOKENS, TOKENS)),
            Answer::Kept(kept) => assert_whole(caller, &kept.body, seed),
            _ => {}
        }
        let over = matches!(answer, Answer::Complete { .. } | Answer::Kept(_));
        state.answer = Some(answer);
        if !over {
            self.again(caller);
        }
    }

    /// The caller sends the same request again, if it may.
    fn again(&mut self, caller: usize) {
        let delay = self.rng.random_range(50..4_000);
        if self.callers[caller].key.is_some() && self.now + delay < END {
            self.push(delay, What::Arrive { caller });
        }
    }

    fn poll(&mut self, instance: usize) {
        let now = self.local(instance);
        if let Some(action) = self.instances[instance].ticker.poll(now) {
            self.propose(action, Back::Tick(instance));
        }
        if self.now < 2 * END {
            self.push(100, What::Poll { instance });
        }
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

fn broken(attempt: u32, cause: Cause) -> Event {
    Event::Broken {
        attempt,
        cause,
        suspect: None,
    }
}

fn assert_whole(caller: usize, body: &[u8], seed: u64) {
    let body = String::from_utf8_lossy(body);
    let tokens: Vec<Vec<u32>> = body.split_whitespace().map(parts).collect();
    assert_eq!(tokens.len() as u32, TOKENS, "seed {seed}");
    for (index, token) in tokens.iter().enumerate() {
        assert_eq!(token[..2], [caller as u32, index as u32], "seed {seed}");
    }
}
