//! A fluid queueing model of engines, driven through the router's interface.
//!
//! An engine is a queue of token steps served at the lower of its rate and its
//! link's; a sequence advances by one token in the sum of its stages' times.
//! It stands in for engines only; nothing of the router is modelled.

use std::collections::VecDeque;
use std::time::Duration;

use laburnumquay::{Choice, Hop, Outcome, Policy, Query, Router, Stage, Ticket, Time, UpstreamId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Step of the model, in seconds.
const STEP: f64 = 0.01;
/// Fixed time of a token step at an engine, in seconds.
const BASE: f64 = 0.005;
/// Bits of one token on a link, as the router assumes.
const TOKEN_BITS: f64 = 131_072.0;
/// Cost of a prompt token by that of a generated one.
const PREFILL: f64 = 0.1;
/// Mean prompt and answer, in tokens.
const PROMPT: f64 = 300.0;
const ANSWER: f64 = 100.0;
/// Steps between two views of an instance.
const VIEW_STEPS: usize = 20;
/// Time after which a waiting request is given up, in seconds.
const PATIENCE: f64 = 20.0;
/// Ranges that engines hold, in turn, of 64 layers.
const RANGES: [(u32, u32); 5] = [(0, 16), (16, 32), (32, 48), (48, 64), (24, 48)];

/// Engines and links of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mix {
    /// Five kinds of engines from 200 to 3200 tokens a second, links of 100 to
    /// 10,000 Mbit/s.
    Mixed,
    /// One kind of engine and link.
    Equal,
    /// Five kinds, and links of 10 to 1,000 Mbit/s that are the bottleneck.
    SlowLinks,
    /// Five kinds, and a fifth of the engines hold the whole model.
    SomeWhole,
}

impl Mix {
    fn kind(self, i: usize) -> (u32, u32) {
        let rate = [200, 400, 800, 1600, 3200][i / RANGES.len() % 5];
        let link = [100, 1000, 10_000][i / 3 % 3];
        match self {
            Mix::Mixed | Mix::SomeWhole => (rate, link),
            Mix::Equal => (800, 1000),
            Mix::SlowLinks => (rate, link / 10),
        }
    }

    fn range(self, i: usize) -> (u32, u32) {
        match self {
            Mix::SomeWhole if i % RANGES.len() == 4 => (0, 64),
            _ => RANGES[i % RANGES.len()],
        }
    }
}

/// What breaks at a third of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The fastest engine of a range dies.
    Engine,
    /// The link of that engine falls to a hundredth.
    Link,
    /// One of three failure domains dies.
    Domain,
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) engines: usize,
    pub(crate) mix: Mix,
    pub(crate) instances: usize,
    /// Age of load reports in seconds.
    pub(crate) lag: f64,
    /// Offered work by the maximum flow.
    pub(crate) load: f64,
    pub(crate) fault: Fault,
    pub(crate) seconds: f64,
    pub(crate) seed: u64,
}

/// What a run gave.
#[derive(Clone, Debug, Default)]
pub(crate) struct Figures {
    /// Work that arrived by the maximum flow, after warm-up.
    pub(crate) offered: f64,
    /// Work done by the maximum flow, after warm-up.
    pub(crate) share: f64,
    /// Work done in the 10 s after the fault by the work offered.
    pub(crate) after: f64,
    /// Seconds from the fault until a whole second's work reached 0.9 of the
    /// work offered.
    pub(crate) recovery: f64,
    /// Time to the first token: median, 95th and 99th percentile, in seconds.
    pub(crate) first: [f64; 3],
    /// Time between tokens: median and 95th percentile, in seconds.
    pub(crate) between: [f64; 2],
    /// Share of the work done a second time after failures.
    pub(crate) wasted: f64,
    pub(crate) failed: usize,
    pub given_up: usize,
}

struct Engine {
    stage: Stage,
    rate: f64,
    link: f64,
    /// Token steps waiting.
    queue: f64,
    inflow: f64,
    held: u32,
    waiting: VecDeque<usize>,
    alive: bool,
}

impl Engine {
    fn rate(&self) -> f64 {
        self.rate.min(self.link)
    }

    fn token_time(&self) -> f64 {
        BASE + self.queue / self.rate() + 1.0 / self.link
    }
}

struct Request {
    arrived: f64,
    prompt: f64,
    answer: f64,
    /// Tokens generated, those of earlier attempts included.
    done: f64,
    first: Option<f64>,
    exclude: Vec<UpstreamId>,
}

struct Sequence {
    request: Request,
    instance: usize,
    path: Vec<usize>,
    ticket: Option<Ticket>,
    /// Slots held, in the order of the path.
    slots: usize,
    /// When the prompt is read, once all slots are held.
    ready: f64,
    began: f64,
    from: f64,
}

struct Instance {
    router: Router,
    queue: VecDeque<Request>,
}

pub(crate) struct Fleet {
    setup: Setup,
    rng: ChaCha8Rng,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    sequences: Vec<Option<Sequence>>,
    free: Vec<usize>,
    /// Reported loads of the past, oldest first.
    reports: VecDeque<Vec<(u32, u32)>>,
    now: f64,
    bound: f64,
    /// Work done in each step.
    work: Vec<f64>,
    offered: f64,
    wasted: f64,
    firsts: Vec<f64>,
    betweens: Vec<f64>,
    figures: Figures,
}

fn at(seconds: f64) -> Time {
    Time((seconds * 1e6) as u64 + 1_000_000)
}

fn engine(mix: Mix, i: usize) -> Engine {
    let (first, end) = mix.range(i);
    let (rate, link) = mix.kind(i);
    let stage = Stage {
        id: format!("engine-{i}").as_str().into(),
        domain: format!("domain-{}", i / RANGES.len() % 3).into(),
        pool: "pool".into(),
        model: "model".into(),
        version: "1".into(),
        first,
        end,
        total: 64,
        rate,
        slots: (f64::from(rate) * 0.15) as u32,
        link,
        running: 0,
        waiting: 0,
        leaving: false,
        reported: Time(0),
    };
    Engine {
        rate: f64::from(rate),
        link: if (first, end) == (0, 64) {
            f64::INFINITY
        } else {
            f64::from(link) * 1e6 / TOKEN_BITS
        },
        stage,
        queue: 0.0,
        inflow: 0.0,
        held: 0,
        waiting: VecDeque::new(),
        alive: true,
    }
}

impl Fleet {
    pub(crate) fn new(setup: Setup, policy: impl Fn() -> Box<dyn Policy>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let engines: Vec<Engine> = (0..setup.engines).map(|i| engine(setup.mix, i)).collect();
        let view: Vec<Stage> = engines.iter().map(|e| e.stage.clone()).collect();
        let mut exact = Router::new(0);
        exact.set_view(at(0.0), &view);
        let instances = (0..setup.instances).map(|_| {
            let mut router = Router::with_policy(rng.random(), policy());
            router.set_instances(setup.instances as u32);
            Instance {
                router,
                queue: VecDeque::new(),
            }
        });
        Self {
            instances: instances.collect(),
            bound: exact.bound(at(0.0), "model", &pools()),
            setup,
            rng,
            engines,
            sequences: Vec::new(),
            free: Vec::new(),
            reports: VecDeque::new(),
            now: 0.0,
            work: Vec::new(),
            offered: 0.0,
            wasted: 0.0,
            firsts: Vec::new(),
            betweens: Vec::new(),
            figures: Figures::default(),
        }
    }

    pub(crate) fn run(mut self) -> Figures {
        let steps = (self.setup.seconds / STEP) as usize;
        for step in 0..steps {
            self.now = step as f64 * STEP;
            if step == steps / 3 {
                self.break_down();
            }
            self.report(step);
            self.arrive();
            for i in 0..self.instances.len() {
                self.dispatch(i);
            }
            self.serve();
        }
        self.evaluate(steps)
    }

    fn break_down(&mut self) {
        let victim = 4 * RANGES.len();
        match self.setup.fault {
            Fault::None => {}
            Fault::Engine => self.kill(victim),
            Fault::Link => self.engines[victim].link /= 100.0,
            Fault::Domain => {
                let domain = self.engines[0].stage.domain.clone();
                for i in 0..self.engines.len() {
                    if self.engines[i].stage.domain == domain {
                        self.kill(i);
                    }
                }
            }
        }
    }

    /// Ends every sequence on an engine.
    fn kill(&mut self, engine: usize) {
        self.engines[engine].alive = false;
        for i in 0..self.sequences.len() {
            let hit = self.sequences[i].as_ref();
            let stage = hit.and_then(|s| s.path.iter().position(|&e| e == engine));
            if let Some(stage) = stage {
                self.fail(i, stage);
            }
        }
    }

    /// Ends an attempt at a stage and queues the request again.
    fn fail(&mut self, i: usize, stage: usize) {
        let Some(mut sequence) = self.take(i) else {
            return;
        };
        let engine = sequence.path[stage];
        let id = self.engines[engine].stage.id.clone();
        sequence.request.exclude.push(id);
        self.figures.failed += 1;
        let instance = &mut self.instances[sequence.instance];
        if let Some(ticket) = sequence.ticket.take() {
            instance
                .router
                .finish(at(self.now), ticket, Outcome::Failed { stage });
        }
        instance.queue.push_front(sequence.request);
    }

    /// Takes a sequence off its engines.
    fn take(&mut self, i: usize) -> Option<Sequence> {
        let sequence = self.sequences[i].take()?;
        self.free.push(i);
        for (n, &e) in sequence.path.iter().enumerate() {
            if n < sequence.slots {
                self.engines[e].held -= 1;
                self.admit(e);
            } else {
                self.engines[e].waiting.retain(|&w| w != i);
            }
        }
        Some(sequence)
    }

    /// Gives a free slot to the first one that waits.
    fn admit(&mut self, e: usize) {
        let engine = &mut self.engines[e];
        if engine.held >= engine.stage.slots {
            return;
        }
        if let Some(next) = engine.waiting.pop_front() {
            engine.held += 1;
            self.advance(next);
        }
    }

    /// A sequence got the slot of its next stage.
    fn advance(&mut self, i: usize) {
        let Some(sequence) = self.sequences[i].as_mut() else {
            return;
        };
        sequence.slots += 1;
        if sequence.slots < sequence.path.len() {
            let e = sequence.path[sequence.slots];
            self.engines[e].waiting.push_back(i);
            self.admit(e);
            return;
        }
        let resumed = sequence.request.done;
        let work = (sequence.request.prompt + resumed) * PREFILL;
        let mut ready = self.now;
        for &e in &sequence.path {
            let engine = &mut self.engines[e];
            engine.queue += work;
            ready += engine.token_time();
        }
        sequence.ready = ready;
        sequence.began = ready;
        if sequence.request.exclude.is_empty() {
            if let Some(work_now) = self.work.last_mut() {
                *work_now += work;
            }
        } else {
            self.wasted += work;
        }
    }

    fn report(&mut self, step: usize) {
        let loads = self.engines.iter();
        let loads = loads.map(|e| (e.held, e.waiting.len() as u32)).collect();
        self.reports.push_back(loads);
        let kept = (self.setup.lag / STEP) as usize;
        while self.reports.len() > kept + 1 {
            self.reports.pop_front();
        }
        let loads = &self.reports[0];
        let seen = at((self.now - self.setup.lag).max(0.0));
        let mut view: Vec<Stage> = Vec::new();
        for (i, instance) in self.instances.iter_mut().enumerate() {
            if step > 0 && !(step + i).is_multiple_of(VIEW_STEPS) {
                continue;
            }
            if view.is_empty() {
                let stages = self.engines.iter().zip(loads);
                view.extend(stages.map(|(e, &(running, waiting))| Stage {
                    running,
                    waiting,
                    reported: seen,
                    ..e.stage.clone()
                }));
            }
            instance.router.set_view(at(self.now), &view);
        }
    }

    fn arrive(&mut self) {
        let per_request = ANSWER + PROMPT * PREFILL;
        let mut mean = self.setup.load * self.bound * STEP / per_request;
        while mean > 0.0 {
            if mean < 1.0 && !self.rng.random_bool(mean) {
                break;
            }
            mean -= 1.0;
            let mut exponential = || -(1.0 - self.rng.random::<f64>()).ln();
            let request = Request {
                arrived: self.now,
                prompt: (PROMPT * exponential()).ceil(),
                answer: (ANSWER * exponential()).ceil().max(2.0),
                done: 0.0,
                first: None,
                exclude: Vec::new(),
            };
            if self.now >= self.setup.seconds / 3.0 {
                self.offered += request.answer + request.prompt * PREFILL;
            }
            let i = self.rng.random_range(0..self.instances.len());
            self.instances[i].queue.push_back(request);
        }
    }

    fn dispatch(&mut self, i: usize) {
        let pools = pools();
        while let Some(request) = self.instances[i].queue.pop_front() {
            if self.now - request.arrived > PATIENCE && request.first.is_none() {
                self.figures.given_up += 1;
                continue;
            }
            let query = Query {
                prompt: request.prompt as u32,
                expected: ANSWER as u32,
                exclude: &request.exclude,
                ..Query::new("model", &pools)
            };
            let instance = &mut self.instances[i];
            let Ok(choice) = instance.router.choose(at(self.now), &query) else {
                instance.queue.push_front(request);
                return;
            };
            self.start(i, request, choice);
        }
    }

    fn start(&mut self, instance: usize, request: Request, choice: Choice) {
        let Choice { hops, ticket, .. } = choice;
        let number = |hop: &Hop| {
            let name = &hop.upstream.0;
            name["engine-".len()..].parse().expect("a number")
        };
        let path: Vec<usize> = hops.iter().map(number).collect();
        let dead = path.iter().position(|&e| !self.engines[e].alive);
        let from = request.done;
        let sequence = Sequence {
            request,
            instance,
            ticket: Some(ticket),
            slots: 0,
            ready: f64::INFINITY,
            began: 0.0,
            from,
            path,
        };
        let i = self.free.pop().unwrap_or(self.sequences.len());
        if i == self.sequences.len() {
            self.sequences.push(None);
        }
        let first = sequence.path[0];
        self.sequences[i] = Some(sequence);
        if let Some(stage) = dead {
            self.fail(i, stage);
            return;
        }
        self.engines[first].waiting.push_back(i);
        self.admit(first);
    }

    fn serve(&mut self) {
        self.work.push(0.0);
        let mut work = 0.0;
        let mut ended = Vec::new();
        for (i, slot) in self.sequences.iter_mut().enumerate() {
            let Some(sequence) = slot.as_mut().filter(|s| s.ready <= self.now) else {
                continue;
            };
            let times = sequence.path.iter().map(|&e| self.engines[e].token_time());
            let tokens = STEP / times.sum::<f64>();
            let request = &mut sequence.request;
            request.done += tokens;
            request.first.get_or_insert(self.now + STEP);
            work += tokens;
            for &e in &sequence.path {
                self.engines[e].inflow += tokens;
            }
            if request.done >= request.answer {
                ended.push(i);
            }
        }
        if let Some(last) = self.work.last_mut() {
            *last += work;
        }
        for engine in &mut self.engines {
            let inflow = std::mem::take(&mut engine.inflow);
            engine.queue = (engine.queue + inflow - engine.rate() * STEP).max(0.0);
        }
        for i in ended {
            self.complete(i);
        }
    }

    fn complete(&mut self, i: usize) {
        let Some(mut sequence) = self.take(i) else {
            return;
        };
        let tokens = (sequence.request.done - sequence.from).max(1.0);
        let between = (self.now + STEP - sequence.began) / tokens;
        let router = &mut self.instances[sequence.instance].router;
        if let Some(ticket) = sequence.ticket.take() {
            let token = Duration::from_secs_f64(between);
            router.finish(at(self.now), ticket, Outcome::Done { token });
        }
        if self.now < self.setup.seconds / 3.0 {
            return;
        }
        let first = sequence.request.first.unwrap_or(self.now);
        self.firsts.push(first - sequence.request.arrived);
        self.betweens.push(between);
    }

    fn evaluate(mut self, steps: usize) -> Figures {
        let third = steps / 3;
        let rate = |part: &[f64]| part.iter().sum::<f64>() / (part.len() as f64 * STEP);
        let second = (1.0 / STEP) as usize;
        let after = &self.work[third..third + 10 * second];
        let offered = self.setup.load * self.bound;
        let mut figures = std::mem::take(&mut self.figures);
        figures.after = rate(after) / offered;
        let mut windows = self.work[third..].windows(second);
        let recovered = windows.position(|w| rate(w) >= 0.9 * offered);
        figures.recovery = recovered.map_or(f64::INFINITY, |n| n as f64 * STEP);
        figures.offered = self.offered / (self.setup.seconds * 2.0 / 3.0) / self.bound;
        figures.share = rate(&self.work[third..]) / self.bound;
        figures.wasted = self.wasted / self.work.iter().sum::<f64>();
        figures.first = [0.5, 0.95, 0.99].map(|q| quantile(&mut self.firsts, q));
        figures.between = [0.5, 0.95].map(|q| quantile(&mut self.betweens, q));
        figures
    }
}

/// A quantile of a sample, or NaN of none.
pub(crate) fn quantile(sample: &mut [f64], q: f64) -> f64 {
    if sample.is_empty() {
        return f64::NAN;
    }
    sample.sort_by(f64::total_cmp);
    let last = sample.len() - 1;
    sample[(last as f64 * q).round() as usize]
}

fn pools() -> Vec<String> {
    vec!["pool".to_owned()]
}
