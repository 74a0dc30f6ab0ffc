//! Drives the state machine of one generation against engines and services.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::job::{Job, OUTPUT_CAPACITY, Output, Work};
use super::service;
use super::{PermitGuard, Server, stream};
use crate::claim::{ClaimLease, Outcome as ClaimOutcome};
use crate::clock::{Time, millis};
use crate::dispatch::{Placed, Placement, PlacementError};
use crate::engine::{Cutoff, HttpEngine, PipelineRequest, Stage};
use crate::event;
use crate::id::UpstreamId;
use crate::request::{
    Answer, AttemptError, AttemptReport, Bounds, Claimed, Effect, Event, Generation, Hop,
    Lifecycle, OpenError, RequestId,
};
use crate::route::Outcome;

/// Number of layers of a plain service in routing.
const SERVICE_LAYERS: u32 = 1;

/// Maximum number of attempts of one request, including the first.
const MAX_ATTEMPTS: u32 = 4;

/// Retry delay for a caller whose retry budget is exhausted. The budget's minimum
/// refill rate earns one retry in this time.
const RETRY_BUDGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Number of buffered events of an attempt while the caller is slow.
const EVENT_CAPACITY: usize = 16;

/// Why an attempt can't be opened, and the delay before the caller should retry.
type OpenFailure = (OpenError, Option<Duration>);

/// The current attempt.
struct ActiveAttempt {
    placed: Placed,
    path: Vec<Stage>,
    /// Task that reads the upstream's response; set once the request was sent.
    reader: Option<ReaderTask>,
    started: Time,
}

/// Aborts the task, and with it the connection to the upstream, when dropped.
struct ReaderTask(JoinHandle<()>);

impl Drop for ReaderTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A running generation or service call.
struct GenerationTask {
    server: Arc<Server>,
    job: Job,
    generation: Generation<PermitGuard>,
    active: Option<ActiveAttempt>,
    /// Model version that started the answer; resumed attempts use the same one.
    version: Option<Arc<str>>,
    events: mpsc::Sender<Event>,
    incoming: mpsc::Receiver<Event>,
    output: mpsc::Sender<Output>,
    /// Whether the state machine was told that the caller disconnected.
    leave_reported: bool,
}

impl Server {
    /// Starts a generation or service call and returns its output channel.
    pub(crate) fn start(
        self: &Arc<Self>,
        job: Job,
        lifecycle: Lifecycle<Claimed<PermitGuard>>,
    ) -> mpsc::Receiver<Output> {
        let (output, pieces) = mpsc::channel(OUTPUT_CAPACITY);
        tokio::spawn(Arc::clone(self).generate(job, lifecycle, output));
        pieces
    }

    /// Runs a generation to its final answer.
    async fn generate(
        self: Arc<Self>,
        job: Job,
        lifecycle: Lifecycle<Claimed<PermitGuard>>,
        output: mpsc::Sender<Output>,
    ) {
        let settings = &self.deps.settings;
        let (layers, first) = match &job.work {
            Work::Engine(_) => (
                self.model_layers(&job.model, &job.pools),
                settings.first_timeout,
            ),
            Work::Call(_) => (SERVICE_LAYERS, settings.call_timeout),
        };
        let bounds = Bounds {
            max_tokens: job.limit,
            layers,
            max_attempts: MAX_ATTEMPTS,
            deadline: job.deadline,
            first_timeout: first,
            idle_timeout: settings.idle_timeout,
        };
        let mut effects = Vec::new();
        let generation = Generation::new(lifecycle, bounds, &mut effects);
        let (events, incoming) = mpsc::channel(EVENT_CAPACITY);
        let task = GenerationTask {
            server: Arc::clone(&self),
            job,
            generation,
            active: None,
            version: None,
            events,
            incoming,
            output,
            leave_reported: false,
        };
        task.run(effects.into()).await;
    }

    /// Number of layers of the model, as announced by its engines. Returns 0 if no
    /// engine is known; no path covers 0 layers.
    fn model_layers(&self, model: &str, pools: &[String]) -> u32 {
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

impl GenerationTask {
    async fn run(mut self, mut effects: VecDeque<Effect>) {
        loop {
            while let Some(effect) = effects.pop_front() {
                if let Effect::Finish(answer) = effect {
                    return self.finish(answer).await;
                }
                self.execute(effect, &mut effects).await;
            }
            let event = self.next_event().await;
            self.step(event, &mut effects);
        }
    }

    fn step(&mut self, event: Event, effects: &mut VecDeque<Effect>) {
        let mut out = Vec::new();
        self.generation.step(self.server.now(), event, &mut out);
        effects.extend(out);
    }

    /// Waits for the next event from the upstream, the clock or the caller.
    async fn next_event(&mut self) -> Event {
        let wake = self.generation.next_tick().since(self.server.now());
        tokio::select! {
            biased;
            () = self.output.closed(), if !self.leave_reported => {
                self.leave_reported = true;
                Event::CallerLeft
            }
            Some(event) = self.incoming.recv() => event,
            () = sleep(wake) => Event::Tick,
        }
    }

    async fn execute(&mut self, effect: Effect, effects: &mut VecDeque<Effect>) {
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
            Effect::Report { report, .. } => self.settle_attempt(&report),
            Effect::Release { token } => {
                if let Some(key) = self.job.key.clone() {
                    self.server.release(key, token);
                }
            }
            Effect::Settle { token, outcome } => {
                let outcome = match (&self.job.work, outcome) {
                    (Work::Call(call), ClaimOutcome::Stored(_)) => call.claim_outcome(),
                    (_, outcome) => outcome,
                };
                if let Some(key) = self.job.key.clone() {
                    self.server.settle(key, token, outcome);
                }
            }
            Effect::Finish(_) => unreachable!("handled by the loop"),
        }
    }

    /// Opens an attempt. Returns an event with the reason if that fails.
    async fn open(
        &mut self,
        attempt: u32,
        retry: bool,
        resume: u32,
        exclude: Vec<UpstreamId>,
    ) -> Event {
        let opened = self.try_open(attempt, retry, resume, exclude).await;
        opened.unwrap_or_else(|(reason, retry_after)| Event::OpenFailed {
            attempt,
            reason,
            retry_after,
        })
    }

    async fn try_open(
        &mut self,
        attempt: u32,
        retry: bool,
        resume: u32,
        exclude: Vec<UpstreamId>,
    ) -> Result<Event, OpenFailure> {
        if retry && !self.take_retry() {
            return Err((OpenError::RetryBudget, Some(RETRY_BUDGET_RETRY_AFTER)));
        }
        let pools = self.current_pools()?;
        let placement = self.placement(retry, resume, exclude, pools.clone());
        let Some((placed, path)) = self.find_path(placement).await? else {
            return Ok(Event::CallerLeft);
        };
        let lease = self.renew_claim().await;
        // While the request waited, the catalogue lease may have expired or the
        // route may have changed.
        match self.current_pools() {
            Ok(now) if now == pools => Ok(self.begin_attempt(attempt, placed, path, lease)),
            changed => {
                self.release_path(placed, Outcome::Cancelled, 0);
                changed.map(|_| Event::Outdated { attempt })
            }
        }
    }

    /// Waits for a path whose upstreams all have an address. Returns `None` if the
    /// caller disconnects first.
    async fn find_path(
        &mut self,
        placement: Placement,
    ) -> Result<Option<(Placed, Vec<Stage>)>, OpenFailure> {
        loop {
            let placed = tokio::select! {
                placed = self.server.place(placement.clone()) => placed,
                () = self.output.closed(), if !self.leave_reported => {
                    self.leave_reported = true;
                    return Ok(None);
                }
            };
            let placed = placed.map_err(|(error, retry_after)| match error {
                PlacementError::NoPath => (OpenError::NoPath, Some(retry_after)),
                PlacementError::Deadline => (OpenError::Deadline, Some(retry_after)),
            })?;
            if let Some(path) = self.resolve_path(&placed) {
                return Ok(Some((placed, path)));
            }
            // The router learns later than the view that an upstream has left, and
            // may still choose it. Failing here refused callers although other
            // upstreams were free. After a refresh, the router can't choose that
            // upstream again.
            self.release_path(placed, Outcome::Cancelled, 0);
            self.server.refresh_upstreams();
        }
    }

    /// Pools allowed for the route by the current catalogue.
    ///
    /// A request may have waited since its admission. The catalogue of that time
    /// could send it to capacity that its organisation has since lost, or let it
    /// continue on an instance that is cut off from the voters.
    fn current_pools(&self) -> Result<Arc<[String]>, OpenFailure> {
        let now = self.server.now();
        let catalogue = self.server.deps.catalogue.get(now);
        let catalogue = catalogue.map_err(|_| (OpenError::CatalogueLease, None))?;
        let route = catalogue.route(&self.job.organisation, &self.job.route);
        let route = route.ok_or((OpenError::NoRoute, None))?;
        Ok(route.pools.clone().into())
    }

    /// Takes one retry from the budget. Returns false if none is left.
    fn take_retry(&self) -> bool {
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

    /// Renews the claim if its lease was used up by the wait for a path.
    async fn renew_claim(&self) -> Option<ClaimLease> {
        let lease = self.generation.pending_lease()?;
        let key = self.job.key.as_ref()?;
        if !lease.needs_renewal(self.server.now()) {
            return None;
        }
        let deadline = self.job.deadline;
        self.server.renew(key, lease.token(), deadline).await
    }

    /// Returns the path with its addresses, or `None` if an upstream has left the
    /// view.
    fn resolve_path(&self, placed: &Placed) -> Option<Vec<Stage>> {
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

    fn begin_attempt(
        &mut self,
        attempt: u32,
        placed: Placed,
        path: Vec<Stage>,
        lease: Option<ClaimLease>,
    ) -> Event {
        let hops = path.iter().map(to_hop).collect();
        self.version = Some(placed.version.clone());
        self.active = Some(ActiveAttempt {
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
        let Some(active) = &mut self.active else {
            return;
        };
        let events = self.events.clone();
        active.started = self.server.now();
        let prompt = match &self.job.work {
            Work::Engine(prompt) => prompt,
            Work::Call(call) => {
                let path = active.path.clone();
                let attempt_task =
                    service::run_attempt(call.clone(), self.job.id, attempt, path, events, cutoff);
                active.reader = Some(ReaderTask(tokio::spawn(attempt_task)));
                return;
            }
        };
        let request = PipelineRequest {
            request: self.job.id.to_string(),
            attempt,
            organisation: self.job.organisation.to_string(),
            model: self.job.model.to_string(),
            prompt: prompt.clone(),
            tokens: self.generation.tokens().to_vec(),
            limit: self.job.limit,
            priority: self.job.class as u8,
            remaining: millis(self.job.deadline.since(active.started)),
            path: active.path.clone(),
        };
        active.reader = Some(ReaderTask(tokio::spawn(stream::run_attempt(
            HttpEngine, request, events, cutoff,
        ))));
    }

    /// Sends a verified token to the response writer.
    async fn emit(&mut self, request: RequestId, index: u32, text: String) {
        // Last check before a token is sent: it must belong to this request. A
        // token of another organisation's request must never reach the caller.
        assert_eq!(request, self.job.id, "token belongs to another request");
        self.job.used.store(
            self.job.prompt_tokens.saturating_add(index + 1),
            Ordering::Relaxed,
        );
        if index == 0 {
            metrics::histogram!("first_token_seconds").record(self.since_start().as_secs_f64());
        }
        let left = self.job.deadline.since(self.server.now());
        // A caller that doesn't read is bounded by the request's deadline.
        let _ = tokio::time::timeout(left, self.output.send(Output::Token(text))).await;
    }

    fn since_start(&self) -> Duration {
        let started = self.active.as_ref().map(|f| f.started);
        started.map_or(Duration::ZERO, |s| self.server.now().since(s))
    }

    fn cancel(&mut self) {
        if let Some(active) = self.active.take() {
            self.release_path(active.placed, Outcome::Cancelled, 0);
        }
    }

    fn settle_attempt(&mut self, report: &AttemptReport) {
        let Some(active) = self.active.take() else {
            return;
        };
        let tokens = u32::try_from(self.generation.tokens().len()).unwrap_or(u32::MAX);
        let suspect_stage = |suspect: &Option<UpstreamId>| {
            let stages = active.path.iter();
            suspect
                .as_ref()
                .and_then(|s| stages.clone().position(|stage| stage.upstream == *s))
        };
        let outcome = match report {
            AttemptReport::Served => {
                self.server.budget().succeeded(&self.job.organisation);
                let spent = self.server.now().since(active.started);
                Outcome::Done {
                    token: spent / tokens.max(1),
                }
            }
            AttemptReport::Busy => Outcome::Busy { stage: 0 },
            AttemptReport::Failed { cause, suspect } => match (suspect_stage(suspect), cause) {
                (Some(stage), _) => Outcome::Failed { stage },
                // Only the first stage accepts connections from this instance.
                (None, AttemptError::Refused) => Outcome::Failed { stage: 0 },
                (None, _) => Outcome::Unattributed,
            },
        };
        drop(active.reader);
        self.release_path(active.placed, outcome, tokens);
    }

    fn release_path(&self, placed: Placed, outcome: Outcome, tokens: u32) {
        self.server.dispatch(|dispatcher, now, out| {
            dispatcher.finish(now, placed.receipt, outcome, tokens, out);
        });
    }

    async fn finish(mut self, answer: Answer) {
        self.cancel();
        self.server.record_answer(self.job.id, &answer);
        // The final event waits for a slow caller up to the idle timeout. A caller
        // that doesn't read gets a stream without the end marker.
        let grace = self.server.deps.settings.idle_timeout;
        let _ = tokio::time::timeout(grace, self.output.send(Output::Finish(answer))).await;
        drop(self.job.running);
    }
}

fn to_hop(stage: &Stage) -> Hop {
    Hop {
        upstream: stage.upstream.clone(),
        first: stage.first,
        end: stage.end,
    }
}
