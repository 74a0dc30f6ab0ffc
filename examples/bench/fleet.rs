//! Fluid queueing model of engines, driven through the router's interface.
//!
//! An engine is a queue of token steps, served at the lower of its own rate and the
//! rate of its link. A sequence takes the sum of the times of its stages for a token.
//! Only engines are modelled; routing decisions are those of the real router.

use std::collections::VecDeque;
use std::time::Duration;

use laburnumquay::{Choice, Hop, Outcome, Policy, Query, Router, Stage, Ticket, Time, UpstreamId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time step of the model, in seconds.
const STEP: f64 = 0.01;
/// Fixed part of the time of a token step on an engine, in seconds.
const TOKEN_OVERHEAD: f64 = 0.005;
/// Bits per token on a link; the router assumes the same.
const TOKEN_BITS: f64 = 131_072.0;
/// Cost of a prompt token relative to that of a generated one.
const PREFILL_COST: f64 = 0.1;
/// Mean lengths of prompts and answers, in tokens.
const MEAN_PROMPT: f64 = 300.0;
const MEAN_ANSWER: f64 = 100.0;
/// Interval between updates of an instance's view, in steps.
const VIEW_INTERVAL: usize = 20;
/// Time after which a request without a first token is dropped from the queue, in seconds.
const QUEUE_TIMEOUT: f64 = 20.0;
/// Layer ranges, of 64 layers, that the engines hold in turn.
const RANGES: [(u32, u32); 5] = [(0, 16), (16, 32), (32, 48), (48, 64), (24, 48)];

/// Mix of engines and links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mix {
    /// Five kinds of engines with 200 to 3200 tokens per second, links of 100 to
    /// 10,000 Mbit/s.
    Mixed,
    /// A single kind of engine and link.
    Equal,
    /// Five kinds of engines, with links of 10 to 1,000 Mbit/s as the bottleneck.
    SlowLinks,
    /// Five kinds of engines, of which a fifth hold the whole model.
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

/// Fault that occurs after a third of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The fastest engine of a range fails.
    Engine,
    /// The link of that engine drops to a hundredth of its rate.
    Link,
    /// One of three failure domains fails.
    Domain,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) engines: usize,
    pub(crate) mix: Mix,
    pub(crate) instances: usize,
    /// Age of load reports, in seconds.
    pub(crate) report_age: f64,
    /// Offered work as a fraction of the maximum flow.
    pub(crate) load: f64,
    pub(crate) fault: Fault,
    pub(crate) seconds: f64,
    pub(crate) seed: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stats {
    /// Work that arrived after warm-up, as a fraction of the maximum flow.
    pub(crate) offered: f64,
    /// Work done after warm-up, as a fraction of the maximum flow.
    pub(crate) throughput: f64,
    /// Work done in the 10 s after the fault, as a fraction of the offered work.
    pub(crate) after: f64,
    /// Time from the fault to the start of the first window of one second in which the work
    /// done is at least 0.9 of the offered work, in seconds.
    pub(crate) recovery: f64,
    /// Time to first token: median, 95th and 99th percentile, in seconds.
    pub(crate) first: [f64; 3],
    /// Time between tokens: median and 95th percentile, in seconds.
    pub(crate) between: [f64; 2],
    /// Work to process prompts again after failures, as a fraction of all work.
    pub(crate) wasted: f64,
    pub(crate) failed: usize,
    pub given_up: usize,
}

struct Engine {
    stage: Stage,
    rate: f64,
    link: f64,
    /// Number of waiting token steps.
    queue: f64,
    inflow: f64,
    used_slots: u32,
    waiting: VecDeque<usize>,
    alive: bool,
}

impl Engine {
    fn rate(&self) -> f64 {
        self.rate.min(self.link)
    }

    fn token_time(&self) -> f64 {
        TOKEN_OVERHEAD + self.queue / self.rate() + 1.0 / self.link
    }
}

struct Request {
    arrived: f64,
    prompt: f64,
    answer: f64,
    /// Number of tokens generated, including those of earlier attempts.
    done: f64,
    first: Option<f64>,
    exclude: Vec<UpstreamId>,
}

struct Sequence {
    request: Request,
    instance: usize,
    path: Vec<usize>,
    ticket: Option<Ticket>,
    /// Number of slots held, in the order of the path.
    slots: usize,
    /// Time at which prompt processing ends; infinite until all slots are held.
    prefill_end: f64,
    token_start: f64,
    /// Number of tokens generated by earlier attempts.
    initial_tokens: f64,
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
    free_indices: Vec<usize>,
    /// Past load reports (running, waiting) of all engines, oldest first.
    reports: VecDeque<Vec<(u32, u32)>>,
    now: f64,
    max_flow: f64,
    /// Work done in each time step.
    work: Vec<f64>,
    offered: f64,
    wasted: f64,
    firsts: Vec<f64>,
    betweens: Vec<f64>,
    stats: Stats,
}

fn to_time(seconds: f64) -> Time {
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
        used_slots: 0,
        waiting: VecDeque::new(),
        alive: true,
    }
}

impl Fleet {
    pub(crate) fn new(setup: Setup, policy: impl Fn() -> Box<dyn Policy>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let engines: Vec<Engine> = (0..setup.engines).map(|i| engine(setup.mix, i)).collect();
        let view: Vec<Stage> = engines.iter().map(|e| e.stage.clone()).collect();
        let mut reference = Router::new(0);
        reference.set_view(to_time(0.0), &view);
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
            max_flow: reference.bound(to_time(0.0), "model", &pools()),
            setup,
            rng,
            engines,
            sequences: Vec::new(),
            free_indices: Vec::new(),
            reports: VecDeque::new(),
            now: 0.0,
            work: Vec::new(),
            offered: 0.0,
            wasted: 0.0,
            firsts: Vec::new(),
            betweens: Vec::new(),
            stats: Stats::default(),
        }
    }

    pub(crate) fn run(mut self) -> Stats {
        let steps = (self.setup.seconds / STEP) as usize;
        for step in 0..steps {
            self.now = step as f64 * STEP;
            if step == steps / 3 {
                self.inject_fault();
            }
            self.update_views(step);
            self.generate_arrivals();
            for i in 0..self.instances.len() {
                self.dispatch(i);
            }
            self.advance_tokens();
        }
        self.evaluate(steps)
    }

    fn inject_fault(&mut self) {
        let victim = 4 * RANGES.len();
        match self.setup.fault {
            Fault::None => {}
            Fault::Engine => self.fail_engine(victim),
            Fault::Link => self.engines[victim].link /= 100.0,
            Fault::Domain => {
                let domain = self.engines[0].stage.domain.clone();
                for i in 0..self.engines.len() {
                    if self.engines[i].stage.domain == domain {
                        self.fail_engine(i);
                    }
                }
            }
        }
    }

    /// Fails an engine and every attempt that runs or waits on it.
    fn fail_engine(&mut self, engine: usize) {
        self.engines[engine].alive = false;
        for i in 0..self.sequences.len() {
            let hit = self.sequences[i].as_ref();
            let stage = hit.and_then(|s| s.path.iter().position(|&e| e == engine));
            if let Some(stage) = stage {
                self.fail_attempt(i, stage);
            }
        }
    }

    /// Fails an attempt at a stage and puts its request back at the front of the queue.
    fn fail_attempt(&mut self, i: usize, stage: usize) {
        let Some(mut sequence) = self.remove_sequence(i) else {
            return;
        };
        let engine = sequence.path[stage];
        let id = self.engines[engine].stage.id.clone();
        sequence.request.exclude.push(id);
        self.stats.failed += 1;
        let instance = &mut self.instances[sequence.instance];
        if let Some(ticket) = sequence.ticket.take() {
            instance
                .router
                .finish(to_time(self.now), ticket, Outcome::Failed { stage });
        }
        instance.queue.push_front(sequence.request);
    }

    /// Removes a sequence and releases its slots.
    fn remove_sequence(&mut self, i: usize) -> Option<Sequence> {
        let sequence = self.sequences[i].take()?;
        self.free_indices.push(i);
        for (n, &e) in sequence.path.iter().enumerate() {
            if n < sequence.slots {
                self.engines[e].used_slots -= 1;
                self.grant_slot(e);
            } else {
                self.engines[e].waiting.retain(|&w| w != i);
            }
        }
        Some(sequence)
    }

    /// Grants a free slot to the first waiting sequence.
    fn grant_slot(&mut self, e: usize) {
        let engine = &mut self.engines[e];
        if engine.used_slots >= engine.stage.slots {
            return;
        }
        if let Some(next) = engine.waiting.pop_front() {
            engine.used_slots += 1;
            self.on_slot_granted(next);
        }
    }

    /// Queues a sequence for the slot of its next stage, or starts it once it holds all slots.
    fn on_slot_granted(&mut self, i: usize) {
        let Some(sequence) = self.sequences[i].as_mut() else {
            return;
        };
        sequence.slots += 1;
        if sequence.slots < sequence.path.len() {
            let e = sequence.path[sequence.slots];
            self.engines[e].waiting.push_back(i);
            self.grant_slot(e);
            return;
        }
        let resumed = sequence.request.done;
        let work = (sequence.request.prompt + resumed) * PREFILL_COST;
        let mut prefill_end = self.now;
        for &e in &sequence.path {
            let engine = &mut self.engines[e];
            engine.queue += work;
            prefill_end += engine.token_time();
        }
        sequence.prefill_end = prefill_end;
        sequence.token_start = prefill_end;
        if sequence.request.exclude.is_empty() {
            if let Some(work_now) = self.work.last_mut() {
                *work_now += work;
            }
        } else {
            self.wasted += work;
        }
    }

    fn update_views(&mut self, step: usize) {
        let loads = self.engines.iter();
        let loads = loads
            .map(|e| (e.used_slots, e.waiting.len() as u32))
            .collect();
        self.reports.push_back(loads);
        let kept = (self.setup.report_age / STEP) as usize;
        while self.reports.len() > kept + 1 {
            self.reports.pop_front();
        }
        let loads = &self.reports[0];
        let reported = to_time((self.now - self.setup.report_age).max(0.0));
        let mut view: Vec<Stage> = Vec::new();
        for (i, instance) in self.instances.iter_mut().enumerate() {
            if step > 0 && !(step + i).is_multiple_of(VIEW_INTERVAL) {
                continue;
            }
            if view.is_empty() {
                let stages = self.engines.iter().zip(loads);
                view.extend(stages.map(|(e, &(running, waiting))| Stage {
                    running,
                    waiting,
                    reported,
                    ..e.stage.clone()
                }));
            }
            instance.router.set_view(to_time(self.now), &view);
        }
    }

    fn generate_arrivals(&mut self) {
        let request_work = MEAN_ANSWER + MEAN_PROMPT * PREFILL_COST;
        let mut mean = self.setup.load * self.max_flow * STEP / request_work;
        while mean > 0.0 {
            if mean < 1.0 && !self.rng.random_bool(mean) {
                break;
            }
            mean -= 1.0;
            let mut exponential = || -(1.0 - self.rng.random::<f64>()).ln();
            let request = Request {
                arrived: self.now,
                prompt: (MEAN_PROMPT * exponential()).ceil(),
                answer: (MEAN_ANSWER * exponential()).ceil().max(2.0),
                done: 0.0,
                first: None,
                exclude: Vec::new(),
            };
            if self.now >= self.setup.seconds / 3.0 {
                self.offered += request.answer + request.prompt * PREFILL_COST;
            }
            let i = self.rng.random_range(0..self.instances.len());
            self.instances[i].queue.push_back(request);
        }
    }

    fn dispatch(&mut self, i: usize) {
        let pools = pools();
        while let Some(request) = self.instances[i].queue.pop_front() {
            if self.now - request.arrived > QUEUE_TIMEOUT && request.first.is_none() {
                self.stats.given_up += 1;
                continue;
            }
            let query = Query {
                prompt: request.prompt as u32,
                expected: MEAN_ANSWER as u32,
                exclude: &request.exclude,
                ..Query::new("model", &pools)
            };
            let instance = &mut self.instances[i];
            let Ok(choice) = instance.router.choose(to_time(self.now), &query) else {
                instance.queue.push_front(request);
                return;
            };
            self.start(i, request, choice);
        }
    }

    fn start(&mut self, instance: usize, request: Request, choice: Choice) {
        let Choice { hops, ticket, .. } = choice;
        let engine_index = |hop: &Hop| {
            let name = &hop.upstream.0;
            name["engine-".len()..].parse().expect("a number")
        };
        let path: Vec<usize> = hops.iter().map(engine_index).collect();
        let failed_stage = path.iter().position(|&e| !self.engines[e].alive);
        let initial_tokens = request.done;
        let sequence = Sequence {
            request,
            instance,
            ticket: Some(ticket),
            slots: 0,
            prefill_end: f64::INFINITY,
            token_start: 0.0,
            initial_tokens,
            path,
        };
        let i = self.free_indices.pop().unwrap_or(self.sequences.len());
        if i == self.sequences.len() {
            self.sequences.push(None);
        }
        let first = sequence.path[0];
        self.sequences[i] = Some(sequence);
        if let Some(stage) = failed_stage {
            self.fail_attempt(i, stage);
            return;
        }
        self.engines[first].waiting.push_back(i);
        self.grant_slot(first);
    }

    fn advance_tokens(&mut self) {
        self.work.push(0.0);
        let mut work = 0.0;
        let mut finished = Vec::new();
        for (i, slot) in self.sequences.iter_mut().enumerate() {
            let Some(sequence) = slot.as_mut().filter(|s| s.prefill_end <= self.now) else {
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
                finished.push(i);
            }
        }
        if let Some(last) = self.work.last_mut() {
            *last += work;
        }
        for engine in &mut self.engines {
            let inflow = std::mem::take(&mut engine.inflow);
            engine.queue = (engine.queue + inflow - engine.rate() * STEP).max(0.0);
        }
        for i in finished {
            self.finish_sequence(i);
        }
    }

    fn finish_sequence(&mut self, i: usize) {
        let Some(mut sequence) = self.remove_sequence(i) else {
            return;
        };
        let tokens = (sequence.request.done - sequence.initial_tokens).max(1.0);
        let between = (self.now + STEP - sequence.token_start) / tokens;
        let router = &mut self.instances[sequence.instance].router;
        if let Some(ticket) = sequence.ticket.take() {
            let token = Duration::from_secs_f64(between);
            router.finish(to_time(self.now), ticket, Outcome::Done { token });
        }
        if self.now < self.setup.seconds / 3.0 {
            return;
        }
        let first = sequence.request.first.unwrap_or(self.now);
        self.firsts.push(first - sequence.request.arrived);
        self.betweens.push(between);
    }

    fn evaluate(mut self, steps: usize) -> Stats {
        let third = steps / 3;
        let rate = |part: &[f64]| part.iter().sum::<f64>() / (part.len() as f64 * STEP);
        let second = (1.0 / STEP) as usize;
        let after = &self.work[third..third + 10 * second];
        let offered = self.setup.load * self.max_flow;
        let mut stats = std::mem::take(&mut self.stats);
        stats.after = rate(after) / offered;
        let mut windows = self.work[third..].windows(second);
        let recovered = windows.position(|w| rate(w) >= 0.9 * offered);
        stats.recovery = recovered.map_or(f64::INFINITY, |n| n as f64 * STEP);
        stats.offered = self.offered / (self.setup.seconds * 2.0 / 3.0) / self.max_flow;
        stats.throughput = rate(&self.work[third..]) / self.max_flow;
        stats.wasted = self.wasted / self.work.iter().sum::<f64>();
        stats.first = [0.5, 0.95, 0.99].map(|q| quantile(&mut self.firsts, q));
        stats.between = [0.5, 0.95].map(|q| quantile(&mut self.betweens, q));
        stats
    }
}

/// Quantile of a sample; NaN if the sample is empty.
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
