//! The final answer to a request.

use std::time::Duration;

use serde::Serialize;

use crate::claim::StoredAnswer;
use crate::request::lifecycle::DEFAULT_RETRY_AFTER;
use crate::request::{FailureCode, Ran, RefusalCode};

/// A refusal of a request that this instance hasn't sent to an upstream. Created
/// only by [`super::Lifecycle`], in the states in which that is certain, and by
/// [`Answer::refused_early`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    code: RefusalCode,
    ran: Ran,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// Visible only in [`crate::request`], so that no other code can refuse a request
    /// that has been dispatched.
    pub(super) fn new(code: RefusalCode, ran: Ran, retry_after: Option<Duration>) -> Self {
        // A retryable refusal always says when to retry.
        let retry_after =
            retry_after.or_else(|| code.is_retryable().then_some(DEFAULT_RETRY_AFTER));
        Self {
            code,
            ran,
            retry_after,
        }
    }
}

/// A failure of a request that may have run in part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    code: FailureCode,
    retry_after: Option<Duration>,
}

impl Failure {
    pub(super) fn new(code: FailureCode, retry_after: Option<Duration>) -> Self {
        Self { code, retry_after }
    }
}

/// The final answer. Each request gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// The whole answer was passed on.
    Complete {
        /// Number of tokens in the answer.
        count: u32,
    },
    /// The answer to an earlier submission with the same key.
    Stored(StoredAnswer),
    /// Refused before the first byte was sent.
    Refused(Refusal),
    /// Failed after the first byte may have been sent.
    Failed(Failure),
}

impl Answer {
    /// A refusal before the request is known to belong to an organisation's route.
    ///
    /// An earlier submission with the same key may have run, and the claims haven't
    /// been consulted, so only a request without a key is reported as not run.
    pub(crate) fn refused_early(
        code: RefusalCode,
        keyed: bool,
        retry_after: Option<Duration>,
    ) -> Self {
        let ran = if keyed { Ran::Unknown } else { Ran::No };
        Self::Refused(Refusal::new(code, ran, retry_after))
    }

    /// Stable code of the result.
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::Complete { .. } => "complete",
            Self::Stored(_) => "kept",
            Self::Refused(refusal) => refusal.code.as_str(),
            Self::Failed(failure) => failure.code.as_str(),
        }
    }

    /// Whether the request ran.
    pub(crate) fn ran(&self) -> Ran {
        match self {
            Self::Complete { .. } | Self::Stored(_) => Ran::Yes,
            Self::Refused(refusal) => refusal.ran,
            Self::Failed(failure) => failure.code.ran(),
        }
    }

    /// HTTP status, if the response hasn't started yet.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::Complete { .. } => 200,
            Self::Stored(answer) => u16::try_from(answer.status).unwrap_or(200),
            Self::Refused(refusal) => refusal.code.status(),
            Self::Failed(failure) => failure.code.status(),
        }
    }

    /// Time to wait before a retry, if a retry can succeed.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Complete { .. } | Self::Stored(_) => None,
            Self::Refused(refusal) => refusal.retry_after,
            Self::Failed(failure) => failure.retry_after,
        }
    }

    /// What happened and what the caller can do about it. Contains no part of the
    /// request and nothing about other organisations.
    pub(crate) fn message(&self) -> &'static str {
        match self {
            Self::Complete { .. } => "complete",
            Self::Stored(_) => "the answer of the earlier sending with the same key",
            Self::Refused(refusal) => refusal.code.message(),
            Self::Failed(failure) => failure.code.message(),
        }
    }

    /// JSON form for a response body or for the last event of a stream.
    pub(crate) fn body(&self) -> Body {
        Body {
            code: self.code(),
            ran: self.ran(),
            message: self.message(),
            retry: self.retry_after().map(|pause| pause.as_millis()),
        }
    }
}

/// JSON form of an [`Answer`] other than a complete one.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Body {
    /// Stable code of the result.
    pub(crate) code: &'static str,
    /// Whether the request ran.
    pub(crate) ran: Ran,
    /// What happened and what the caller can do about it.
    pub(crate) message: &'static str,
    /// Time to wait before a retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) retry: Option<u128>,
}
