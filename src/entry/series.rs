//! Makes the attempts of a request: one after another, or one beside another that is silent.

use tokio::time::timeout;

use super::attempt::{OpenResponse, Outcome, Run, RunError};
use super::cause::{NO_PROXY, is_cut, is_unconnected};
use super::hedge::{Ended, Progress, Running};
use super::select::Selection;
use super::send::Attempt;
use super::view::Upstream;
use crate::decide::refusal::Reason;
use crate::decide::retry::{Failure, NextStep};

/// What follows the end of an attempt.
enum Settled {
    Answered(Box<OpenResponse>),
    /// Another attempt may start after the failure at `upstream`.
    Again {
        cause: &'static str,
        upstream: Upstream,
    },
    /// The request ends, unless another attempt still runs.
    End(RunError),
    /// The request ends.
    Final(RunError),
}

impl Run {
    /// Makes attempts until one returns a usable response: its head, and the first event of a
    /// stream that may be resumed. If all fail, returns the latest server error of an upstream, if
    /// any: it tells the caller more than a generic failure.
    pub(super) async fn open(&mut self) -> Result<Box<OpenResponse>, RunError> {
        let end = match self.run_attempts(false).await {
            Ok(opened) => return Ok(opened),
            Err(end) => end,
        };
        Err(self
            .upstream_error
            .take()
            .map_or(end, RunError::UpstreamError))
    }

    /// Like [`Run::open`], beside an attempt that is silent and goes on.
    pub(super) async fn open_beside(&mut self) -> Result<Box<OpenResponse>, RunError> {
        self.run_attempts(true).await
    }

    /// Makes attempts. `beside` tells whether another one runs already, which is silent.
    async fn run_attempts(&mut self, beside: bool) -> Result<Box<OpenResponse>, RunError> {
        let mut running = Running::default();
        let mut asks_first = true;
        let mut may_start = true;
        loop {
            let left = self.left();
            let progress = if may_start {
                may_start = false;
                let beside = beside || !running.is_empty();
                let found = tokio::select! {
                    biased;
                    ended = running.next_end() => Err(ended),
                    found = timeout(left, self.find_upstream(&mut asks_first, beside)) => Ok(found),
                };
                match found {
                    Err(ended) => Progress::Ended(Box::new(ended)),
                    Ok(Ok(Ok(selection))) => {
                        running.start(self.begin(&running), selection);
                        continue;
                    }
                    Ok(Ok(Err(end))) if running.is_empty() => return Err(end),
                    Ok(Err(_)) if running.is_empty() => return Err(self.timed_out()),
                    Ok(_) => {
                        // A retry that isn't sent doesn't count against the limit.
                        self.retry = None;
                        continue;
                    }
                }
            } else {
                let progress = timeout(left, running.next()).await;
                progress.map_err(|_| RunError::TimedOut)?
            };
            let settled = match progress {
                Progress::Stalled(stalled) => {
                    may_start = self.may_hedge(&stalled);
                    continue;
                }
                Progress::Ended(ended) => self.settle(*ended),
            };
            match settled {
                Settled::Answered(opened) => {
                    self.retry = None;
                    return Ok(opened);
                }
                Settled::Final(end) => return Err(end),
                Settled::Again { cause, upstream } if !beside && running.is_empty() => {
                    let checked = self.check_crash(cause, &upstream);
                    let _ = timeout(left, checked).await;
                    may_start = true;
                }
                Settled::Again { cause, .. } if is_cut(cause) => {
                    // The request itself may have ended the upstream.
                    self.suspect_unproven();
                    self.retry = None;
                    if running.is_empty() {
                        return Err(RunError::MayHaveRun);
                    }
                }
                Settled::Again { .. } => may_start = running.all_stalled(),
                Settled::End(end) if running.is_empty() => return Err(end),
                // Another attempt goes on.
                Settled::End(_) => {}
            }
        }
    }

    /// Selects where the next attempt goes, as soon as the request may be sent. One `beside` a silent
    /// attempt doesn't wait, as others in the queue have none.
    async fn find_upstream(
        &mut self,
        asks_first: &mut bool,
        beside: bool,
    ) -> Result<Selection, RunError> {
        loop {
            if !beside {
                self.await_suspicion().await;
            } else if self.suspect(&self.entry.view()).is_some() {
                return Err(self.unsent(Reason::NoUpstream));
            }
            if self.left().is_zero() {
                return Err(self.timed_out());
            }
            if let Some(reason) = self.quarantined() {
                return Err(self.unsent(reason));
            }
            self.retry_unreached();
            if self.model().is_some() {
                self.entry.shared().loads.demand.record_request();
            }
            let at_once = self.choose_at_once();
            let is_short = matches!(at_once, Err(Reason::Full));
            if *asks_first {
                self.record_asked(is_short);
            }
            let found = match at_once {
                Ok(selection) => Ok(selection),
                Err(reason) if beside => return Err(self.unsent(reason)),
                Err(reason) => self.wait(reason).await,
            };
            if !self.has_begun() && !self.entry.may_pass() {
                return Err(self.unsent(Reason::Draining));
            }
            // The request may have been quarantined while it waited.
            if let Some(reason) = self.quarantined() {
                return Err(self.unsent(reason));
            }
            let full = matches!(found, Err(Reason::Full));
            let long = self.is_long();
            self.entry.shared().refusals.record(full, long);
            self.record_search(*asks_first, is_short, full);
            *asks_first = false;
            let selection = found.map_err(|reason| self.unsent(reason))?;
            if self.acquire_send(&selection.upstream) {
                return Ok(selection);
            }
        }
    }

    /// Counts an attempt that begins.
    fn begin(&mut self, running: &Running) -> Attempt {
        self.attempts.record_start();
        self.events = 0;
        let retry = self.retry.take();
        Attempt::new(self, retry, running.stalls())
    }

    /// Decides what follows the end of an attempt.
    fn settle(&mut self, ended: Ended) -> Settled {
        let Ended {
            upstream,
            is_path,
            outcome,
            retry,
        } = ended;
        let (failure, culprit, cause) = match outcome {
            Outcome::Answered(opened) => return Settled::Answered(opened),
            Outcome::UpstreamError(opened) => {
                self.failed_upstreams.push(upstream.key);
                self.upstream_error = Some(opened);
                let cause = "upstream_error";
                return match self.record_failure(Failure::Answered, cause, &upstream) {
                    NextStep::Again => Settled::Again { cause, upstream },
                    // An answer of an upstream isn't held back for one that may not come.
                    _ => Settled::Final(RunError::MayHaveRun),
                };
            }
            Outcome::Failed {
                failure,
                culprit,
                cause,
            } => (failure, culprit, cause),
        };
        // No upstream is known to be at fault, but a plain service has other upstreams to try
        // next.
        if !is_path && culprit.is_none() {
            self.failed_upstreams.push(upstream.key);
        }
        if is_cut(cause) {
            self.record_cut(&upstream);
        }
        self.exclude_upstream(culprit, cause);
        // Nothing was sent, so the next attempt may use the same retry.
        if is_unconnected(cause) {
            self.retry = self.retry.take().or(retry);
        }
        let end = match self.record_failure(failure, cause, &upstream) {
            NextStep::Again => return Settled::Again { cause, upstream },
            NextStep::Refuse if cause == NO_PROXY => self.unsent(Reason::Unreachable),
            NextStep::Refuse => self.unsent(Reason::NotRun),
            NextStep::Pass | NextStep::Fail if self.left().is_zero() => RunError::TimedOut,
            NextStep::Pass | NextStep::Fail => RunError::MayHaveRun,
        };
        Settled::End(end)
    }
}
