//! Stable codes of refusals and failures.

use serde::Serialize;

/// Whether a request ran, as far as this instance knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Ran {
    /// No upstream ran it, and none will.
    No,
    /// It ran to completion.
    Yes,
    /// It may have run in part, or may still be running.
    Unknown,
}

/// Why a request was refused before its first byte was sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RefusalCode {
    /// The API key is missing or unknown.
    Unauthenticated,
    /// The request is malformed.
    InvalidRequest,
    /// The organisation has no such route.
    UnknownRoute,
    /// The body exceeds the size limit.
    TooLarge,
    /// A limit of the route has been reached.
    LimitReached,
    /// The queue of the route is full.
    QueueFull,
    /// The request waited in the queue until its deadline.
    QueueTimeout,
    /// The caller disconnected while the request waited.
    CallerLeft,
    /// No upstream that may serve the route is up.
    NoUpstream,
    /// Every upstream that was tried is busy.
    UpstreamBusy,
    /// The retry budget is exhausted, as too many attempts fail.
    RetryBudget,
    /// The claim can't be recorded, as too few instances are reachable.
    ClaimUnavailable,
    /// The organisation's space for claims is used up.
    ClaimsFull,
    /// The claim's dispatch window ended before the request could be sent.
    ClaimLapsed,
    /// The key was used for a different request.
    KeyMismatch,
    /// The request didn't run, but an earlier submission was told that it may have
    /// run and never runs again.
    KeyRetired,
    /// The instance is shutting down.
    Draining,
    /// Nothing is served under the path.
    UnknownPath,
    /// The request wasn't received in time.
    TooSlow,
    /// The instance can't confirm its catalogue.
    CatalogueLease,
}

impl RefusalCode {
    /// Every code, for the test of the documentation.
    #[cfg(test)]
    pub(crate) const ALL: [Self; 20] = [
        Self::Unauthenticated,
        Self::InvalidRequest,
        Self::UnknownRoute,
        Self::TooLarge,
        Self::LimitReached,
        Self::QueueFull,
        Self::QueueTimeout,
        Self::CallerLeft,
        Self::NoUpstream,
        Self::UpstreamBusy,
        Self::RetryBudget,
        Self::ClaimUnavailable,
        Self::ClaimsFull,
        Self::ClaimLapsed,
        Self::KeyMismatch,
        Self::KeyRetired,
        Self::Draining,
        Self::UnknownPath,
        Self::TooSlow,
        Self::CatalogueLease,
    ];

    /// Stable name of the code.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::InvalidRequest => "invalid_request",
            Self::UnknownRoute => "unknown_route",
            Self::TooLarge => "too_large",
            Self::LimitReached => "limit_reached",
            Self::QueueFull => "queue_full",
            Self::QueueTimeout => "queue_timeout",
            Self::CallerLeft => "caller_left",
            Self::NoUpstream => "no_upstream",
            Self::UpstreamBusy => "upstream_busy",
            Self::RetryBudget => "retry_budget",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::ClaimsFull => "claims_full",
            Self::ClaimLapsed => "claim_lapsed",
            Self::KeyMismatch => "key_mismatch",
            Self::KeyRetired => "key_retired",
            Self::Draining => "draining",
            Self::UnknownPath => "unknown_path",
            Self::TooSlow => "too_slow",
            Self::CatalogueLease => "catalogue_lease",
        }
    }

    /// HTTP status.
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::Unauthenticated => 401,
            Self::InvalidRequest => 400,
            Self::UnknownRoute | Self::UnknownPath => 404,
            Self::TooSlow => 408,
            Self::TooLarge => 413,
            Self::LimitReached | Self::QueueFull => 429,
            Self::CallerLeft => 499,
            Self::QueueTimeout => 504,
            Self::KeyMismatch => 422,
            Self::KeyRetired => 409,
            Self::NoUpstream
            | Self::UpstreamBusy
            | Self::RetryBudget
            | Self::ClaimUnavailable
            | Self::ClaimsFull
            | Self::ClaimLapsed
            | Self::Draining
            | Self::CatalogueLease => 503,
        }
    }

    /// What happened and what the caller can do about it.
    pub(crate) fn message(self) -> &'static str {
        match self {
            Self::Unauthenticated => "no valid API key: send one as a bearer token",
            Self::InvalidRequest => "the request can't be read: correct it before sending it again",
            Self::UnknownRoute => "the organisation has no such route: check the route's name",
            Self::TooLarge => "the body is too large: shorten it",
            Self::LimitReached => "a limit of the route is used up: send again after the pause",
            Self::QueueFull => "too many requests wait: send again after the pause",
            Self::QueueTimeout => "the request waited too long: send again with a later deadline",
            Self::CallerLeft => "the connection was closed before the request ran: send it again",
            Self::NoUpstream => "no upstream for the route is up: send again after the pause",
            Self::UpstreamBusy => "every upstream is busy: send again after the pause",
            Self::RetryBudget => "too many attempts fail: send again after the pause",
            Self::ClaimUnavailable => {
                "the claim can't be recorded: send again with the same key after the pause"
            }
            Self::ClaimsFull => "too many keys are kept: send again with the same key later",
            Self::ClaimLapsed => "the claim came too late: send again with the same key",
            Self::KeyRetired => "the request of this key wasn't run: send it with a new key",
            Self::KeyMismatch => "the key was used for another request: choose a new key",
            Self::Draining => "the instance shuts down: send again, to another instance",
            Self::UnknownPath => "nothing is served here: see docs/REQUESTS.md for the paths",
            Self::TooSlow => "the request wasn't sent in time: send it faster, or in parts",
            Self::CatalogueLease => {
                "the instance can't confirm its catalogue: send again, to another instance"
            }
        }
    }

    /// Whether a retry of the same request can succeed.
    pub(crate) fn is_retryable(self) -> bool {
        !matches!(
            self,
            Self::Unauthenticated
                | Self::InvalidRequest
                | Self::UnknownRoute
                | Self::TooLarge
                | Self::KeyMismatch
                | Self::UnknownPath
                | Self::KeyRetired
        )
    }
}

/// Why a request that may have run has no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum FailureCode {
    /// It may have run and must not run again.
    OutcomeUnknown,
    /// Another submission with the same key is still running.
    InProgress,
    /// It ran under this key, and the answer wasn't stored.
    AnswerNotKept,
    /// The answer was cut off and can't be resumed.
    AnswerCut,
    /// The request's deadline passed.
    DeadlineExceeded,
    /// The caller closed the connection.
    Cancelled,
}

impl FailureCode {
    /// Every code, for the test of the documentation.
    #[cfg(test)]
    pub(crate) const ALL: [Self; 6] = [
        Self::OutcomeUnknown,
        Self::InProgress,
        Self::AnswerNotKept,
        Self::AnswerCut,
        Self::DeadlineExceeded,
        Self::Cancelled,
    ];

    /// Stable name of the code.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::OutcomeUnknown => "outcome_unknown",
            Self::InProgress => "in_progress",
            Self::AnswerNotKept => "answer_not_kept",
            Self::AnswerCut => "answer_cut",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::Cancelled => "cancelled",
        }
    }

    /// HTTP status, if the response hasn't started yet.
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::InProgress | Self::AnswerNotKept => 409,
            Self::OutcomeUnknown | Self::AnswerCut => 502,
            Self::DeadlineExceeded => 504,
            Self::Cancelled => 499,
        }
    }

    /// What happened and what the caller can do about it.
    pub(crate) fn message(self) -> &'static str {
        match self {
            Self::OutcomeUnknown => {
                "the request may have run and won't run again: ask with the same key for a kept \
                 answer, and check its effect before using a new key"
            }
            Self::InProgress => "the request runs: ask again with the same key after the pause",
            Self::AnswerNotKept => "the request ran once; its answer isn't kept: don't repeat it",
            Self::AnswerCut => "the answer broke off: discard it and send the request again",
            Self::DeadlineExceeded => "the request's time ended: discard what came of the answer",
            Self::Cancelled => "the connection was closed while the request ran",
        }
    }

    /// Whether the request ran.
    pub(crate) fn ran(self) -> Ran {
        match self {
            Self::AnswerNotKept => Ran::Yes,
            _ => Ran::Unknown,
        }
    }
}
