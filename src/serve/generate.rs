//! Runs the state machine of one generation against engines.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::job::{Job, OUTPUT, Output, Work};
use super::service;
use super::{Held, Server, stream};
use crate::claim::{ClaimLease, Outcome as Settled};
use crate::clock::{Time, millis};
use crate::dispatch::{Placed, Placement, PlacementError};
use crate::engine::{Cutoff, HttpEngine, Order, Stage};
use crate::event;
use crate::id::UpstreamId;
use crate::request::{
    Answer, AttemptError, AttemptReport, Bounds, Claimed, Effect, Event, Generation, Hop,
    Lifecycle, OpenError, RequestId,
};
use crate::route::Outcome;

/// Layers that a plain service counts as.
const SERVICE_LAYERS: u32 = 1;

/// Most attempts of one request, the first one included.
const ATTEMPTS: u32 = 4;

/// Pause for a caller whose retry budget is used up; the floor of the budget
/// earns one retry in this time.
const BUDGET_PAUSE: Duration = Duration::from_secs(1);

/// Events of an attempt that may wait while the caller is slow.
const EVENTS: usize = 16;

/// Why an attempt can't be opened, and the pause that the caller should make.
type Closed = (OpenError, Option<Duration>);

/// The attempt in flight.
struct Flight {
    placed: Placed,
    path: Vec<Stage>,
    /// Reads the engine's stream; present once the order was sent.
    reader: Option<Reader>,
    started: Time,
}

/// Ends its task, and so the engine's connection, when dropped.
struct Reader(JoinHandle<()>);

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs one generation.
struct Run {
    server: Arc<Server>,
    job: Job,
    generation: Generation<Held>,
    flight: Option<Flight>,
    /// Version that the answer was begun with; a resume stays with it.
    version: Option<Arc<str>>,
    events: mpsc::Sender<Event>,
    incoming: mpsc::Receiver<Event>,
    output: mpsc::Sender<Output>,
    /// Whether the caller's leaving was told to the state machine.
    left: bool,
}

impl Server {
    /// Starts a generation or call; its output comes piece by piece.
    pub(crate) fn start(
        self: &Arc<Self>,
        job: Job,
        life: Lifecycle<Claimed<Held>>,
    ) -> mpsc::Receiver<Output> {
        let (output, pieces) = mpsc::channel(OUTPUT);
        tokio::spawn(Arc::clone(self).generate(job, life, output));
        pieces
    }

    /// Runs a generation to its final answer.
    async fn generate(
        self: Arc<Self>,
        job: Job,
        life: Lifecycle<Claimed<Held>>,
        output: mpsc::Sender<Output>,
    ) {
        let settings = &self.deps.settings;
        let (layers, first) = match &job.work {
            Work::Engine(_) => (self.layers(&job.model, &job.pools), settings.first),
            Work::Call(_) => (SERVICE_LAYERS, settings.call),
        };
        let bounds = Bounds {
            max_tokens: job.limit,
            layers,
            max_attempts: ATTEMPTS,
            deadline: job.deadline,
            first_timeout: first,
            idle_timeout: settings.idle,
        };
        let mut effects = Vec::new();
        let generation = Generation::new(life, bounds, &mut effects);
        let (events, incoming) = mpsc::channel(EVENTS);
        let run = Run {
            server: Arc::clone(&self),
            job,
            generation,
            flight: None,
            version: None,
            events,
            incoming,
            output,
            left: false,
        };
        run.run(effects.into()).await;
    }

    /// Layers of the model as its engines announce it; 0 when none is known,
    /// which no path covers.
    fn layers(&self, model: &str, pools: &[String]) -> u32 {
        let view = self.deps.fleet.upstreams();
        let engines = view.upstreams.iter().filter(|u| pools.contains(&u.pool));
        engines
            .filter_map(|u| match &u.serves {
                crate::upstream::Serves::Engine(e) if e.model == model => Some(e.total),
                _ => None,
            })
            .max()
            .unwrap_or(0)
    }
}

impl Run {
    async fn run(mut self, mut effects: VecDeque<Effect>) {
        loop {
            while let Some(effect) = effects.pop_front() {
                if let Effect::Finish(answer) = effect {
                    return self.finish(answer).await;
                }
                self.carry_out(effect, &mut effects).await;
            }
            let event = self.wait().await;
            self.step(event, &mut effects);
        }
    }

    fn step(&mut self, event: Event, effects: &mut VecDeque<Effect>) {
        let mut out = Vec::new();
        self.generation.step(self.server.now(), event, &mut out);
        effects.extend(out);
    }

    /// The next event: from the engine, the clock or the caller.
    async fn wait(&mut self) -> Event {
        let wake = self.generation.next_tick().since(self.server.now());
        tokio::select! {
            biased;
            () = self.output.closed(), if !self.left => {
                self.left = true;
                Event::CallerLeft
            }
            Some(event) = self.incoming.recv() => event,
            () = sleep(wake) => Event::Tick,
        }
    }

    async fn carry_out(&mut self, effect: Effect, effects: &mut VecDeque<Effect>) {
        match effect {
            Effect::Open {
                attempt,
                retry,
                resume,
                exclude,
            } => {
                let event = self.open(attempt, retry, resume, exclude).await;
                self.step(event, effects);
            }
            Effect::Send { attempt, send_by } => self.send(attempt, send_by),
            Effect::Emit {
                request,
                index,
                text,
            } => self.emit(request, index, text).await,
            Effect::Cancel { .. } => self.cancel(),
            Effect::Report { report, .. } => self.report(&report),
            Effect::Release { token } => {
                if let Some(key) = self.job.key.clone() {
                    self.server.release(key, token);
                }
            }
            Effect::Settle { token, outcome } => {
                let outcome = match (&self.job.work, outcome) {
                    (Work::Call(call), Settled::Stored(_)) => call.kept(),
                    (_, outcome) => outcome,
                };
                if let Some(key) = self.job.key.clone() {
                    self.server.settle(key, token, outcome);
                }
            }
            Effect::Finish(_) => unreachable!("handled by the loop"),
        }
    }

    /// Opens an attempt, or tells why it can't be opened.
    async fn open(
        &mut self,
        attempt: u32,
        retry: bool,
        resume: u32,
        exclude: Vec<UpstreamId>,
    ) -> Event {
        let opened = self.try_open(attempt, retry, resume, exclude).await;
        opened.unwrap_or_else(|(reason, pause)| Event::OpenFailed {
            attempt,
            reason,
            retry_after: pause,
        })
    }

    async fn try_open(
        &mut self,
        attempt: u32,
        retry: bool,
        resume: u32,
        exclude: Vec<UpstreamId>,
    ) -> Result<Event, Closed> {
        if retry && !self.retry_allowed() {
            return Err((OpenError::RetryBudget, Some(BUDGET_PAUSE)));
        }
        let pools = self.pools()?;
        let placement = self.placement(retry, resume, exclude, pools.clone());
        let Some((placed, path)) = self.find_path(placement).await? else {
            return Ok(Event::CallerLeft);
        };
        let lease = self.renew().await;
        // The wait may have been long. A lease that ended, or a change that
        // came meanwhile, must not be passed over.
        match self.pools() {
            Ok(now) if now == pools => Ok(self.planned(attempt, placed, path, lease)),
            changed => {
                self.give_back(placed, Outcome::Cancelled, 0);
                changed.map(|_| Event::Outdated { attempt })
            }
        }
    }

    /// Waits for a path whose upstreams all have an address; nothing when the
    /// caller leaves first.
    async fn find_path(
        &mut self,
        placement: Placement,
    ) -> Result<Option<(Placed, Vec<Stage>)>, Closed> {
        loop {
            let placed = tokio::select! {
                placed = self.server.place(placement.clone()) => placed,
                () = self.output.closed(), if !self.left => {
                    self.left = true;
                    return Ok(None);
                }
            };
            let placed = placed.map_err(|(why, pause)| match why {
                PlacementError::NoPath => (OpenError::NoPath, Some(pause)),
                PlacementError::Deadline => (OpenError::Deadline, Some(pause)),
            })?;
            if let Some(path) = self.path(&placed) {
                return Ok(Some((placed, path)));
            }
            // Routing learns of a leaving upstream a moment after the view
            // does, and still chooses it: callers were refused for want of an
            // upstream while others were free. It takes the view over now and
            // can't choose that one again.
            self.give_back(placed, Outcome::Cancelled, 0);
            self.server.refresh_upstreams();
        }
    }

    /// Pools that the route allows by the catalogue in force now.
    ///
    /// A request may have waited since it was let in. Sent on by what the
    /// catalogue said then, it could reach capacity that its organisation has
    /// lost meanwhile, or go on under an instance that is cut off.
    fn pools(&self) -> Result<Arc<[String]>, Closed> {
        let now = self.server.now();
        let catalogue = self.server.deps.catalogue.get(now);
        let catalogue = catalogue.map_err(|_| (OpenError::CatalogueLease, None))?;
        let route = catalogue.route(&self.job.organisation, &self.job.route);
        let route = route.ok_or((OpenError::NoRoute, None))?;
        Ok(route.pools.clone().into())
    }

    fn retry_allowed(&self) -> bool {
        let now = self.server.now();
        let allowed = self.server.budget().take(now, &self.job.organisation);
        if allowed {
            metrics::counter!("retries_total").increment(1);
            tracing::info!(event = event::REQUEST_RESUMED.id, id = %self.job.id, "request resumed");
        }
        allowed
    }

    fn placement(
        &self,
        retry: bool,
        resume: u32,
        exclude: Vec<UpstreamId>,
        pools: Arc<[String]>,
    ) -> Placement {
        Placement {
            id: self.job.id.sequence,
            route: self.job.route.clone(),
            organisation: self.job.organisation.clone(),
            class: self.job.class,
            model: self.job.model.clone(),
            version: self.version.clone().filter(|_| resume > 0),
            pools,
            prompt: self.job.prompt_tokens,
            expected: self.job.limit - resume.min(self.job.limit),
            prefix: self.job.prefix,
            exclude,
            idempotent: self.job.idempotent,
            resumed: retry,
            deadline: self.job.deadline,
        }
    }

    /// Renews the claim if the wait for a path has used up its lease.
    async fn renew(&self) -> Option<ClaimLease> {
        let held = self.generation.pending_lease()?;
        let key = self.job.key.as_ref()?;
        if !held.needs_renewal(self.server.now()) {
            return None;
        }
        let deadline = self.job.deadline;
        self.server.renew(key, held.token(), deadline).await
    }

    /// The path with its addresses; none when an upstream has just gone.
    fn path(&self, placed: &Placed) -> Option<Vec<Stage>> {
        let view = self.server.deps.fleet.upstreams();
        let stage = |hop: &crate::route::Hop| {
            Some(Stage {
                upstream: hop.upstream.clone(),
                address: view.get(&hop.upstream)?.address,
                first: hop.first,
                end: hop.end,
            })
        };
        placed.hops.iter().map(stage).collect()
    }

    fn planned(
        &mut self,
        attempt: u32,
        placed: Placed,
        path: Vec<Stage>,
        lease: Option<ClaimLease>,
    ) -> Event {
        let hops = path.iter().map(hop).collect();
        self.version = Some(placed.version.clone());
        self.flight = Some(Flight {
            placed,
            path,
            reader: None,
            started: self.server.now(),
        });
        Event::Started {
            attempt,
            path: hops,
            lease,
        }
    }

    fn send(&mut self, attempt: u32, send_by: Option<Time>) {
        let cutoff = Cutoff::new(send_by, Arc::clone(&self.server.deps.clock));
        let Some(flight) = &mut self.flight else {
            return;
        };
        let events = self.events.clone();
        flight.started = self.server.now();
        let prompt = match &self.job.work {
            Work::Engine(prompt) => prompt,
            Work::Call(call) => {
                let path = flight.path.clone();
                let read = service::read(call.clone(), self.job.id, attempt, path, events, cutoff);
                flight.reader = Some(Reader(tokio::spawn(read)));
                return;
            }
        };
        let order = Order {
            request: self.job.id.to_string(),
            attempt,
            organisation: self.job.organisation.to_string(),
            model: self.job.model.to_string(),
            prompt: prompt.clone(),
            tokens: self.generation.tokens().to_vec(),
            limit: self.job.limit,
            priority: self.job.class as u8,
            remaining: millis(self.job.deadline.since(flight.started)),
            path: flight.path.clone(),
        };
        flight.reader = Some(Reader(tokio::spawn(stream::read(
            HttpEngine, order, events, cutoff,
        ))));
    }

    /// Hands a verified token to the caller's side.
    async fn emit(&mut self, request: RequestId, index: u32, text: String) {
        // The last check before a token leaves: it must be this request's. A
        // token of another organisation would be the worst of all answers.
        assert_eq!(request, self.job.id, "a token of another request");
        self.job.used.store(
            self.job.prompt_tokens.saturating_add(index + 1),
            Ordering::Relaxed,
        );
        if index == 0 {
            metrics::histogram!("first_token_seconds").record(self.since_start().as_secs_f64());
        }
        let left = self.job.deadline.since(self.server.now());
        // A caller that reads nothing is bounded by the request's own time.
        let _ = tokio::time::timeout(left, self.output.send(Output::Token(text))).await;
    }

    fn since_start(&self) -> Duration {
        let started = self.flight.as_ref().map(|f| f.started);
        started.map_or(Duration::ZERO, |s| self.server.now().since(s))
    }

    fn cancel(&mut self) {
        if let Some(flight) = self.flight.take() {
            self.give_back(flight.placed, Outcome::Cancelled, 0);
        }
    }

    fn report(&mut self, report: &AttemptReport) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        let tokens = u32::try_from(self.generation.tokens().len()).unwrap_or(u32::MAX);
        let blamed = |suspect: &Option<UpstreamId>| {
            let stages = flight.path.iter();
            suspect
                .as_ref()
                .and_then(|s| stages.clone().position(|stage| stage.upstream == *s))
        };
        let outcome = match report {
            AttemptReport::Served => {
                self.server.budget().succeeded(&self.job.organisation);
                let spent = self.server.now().since(flight.started);
                Outcome::Done {
                    token: spent / tokens.max(1),
                }
            }
            AttemptReport::Busy => Outcome::Busy { stage: 0 },
            AttemptReport::Failed { cause, suspect } => match (blamed(suspect), cause) {
                (Some(stage), _) => Outcome::Failed { stage },
                // Only the first stage takes connections from here.
                (None, AttemptError::Refused) => Outcome::Failed { stage: 0 },
                (None, _) => Outcome::Unattributed,
            },
        };
        drop(flight.reader);
        self.give_back(flight.placed, outcome, tokens);
    }

    fn give_back(&self, placed: Placed, outcome: Outcome, tokens: u32) {
        self.server.dispatch(|dispatcher, now, out| {
            dispatcher.finish(now, placed.receipt, outcome, tokens, out);
        });
    }

    async fn finish(mut self, answer: Answer) {
        self.cancel();
        self.server.note(self.job.id, &answer);
        // The closing event may wait for a slow reader a little longer; one
        // that reads nothing sees its stream end without the marker.
        let grace = self.server.deps.settings.idle;
        let _ = tokio::time::timeout(grace, self.output.send(Output::Finish(answer))).await;
        drop(self.job.running);
    }
}

fn hop(stage: &Stage) -> Hop {
    Hop {
        upstream: stage.upstream.clone(),
        first: stage.first,
        end: stage.end,
    }
}
