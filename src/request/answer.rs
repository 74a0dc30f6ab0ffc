//! The one final answer to a request.

use std::time::Duration;

use serde::Serialize;

use crate::claim::StoredAnswer;
use crate::request::lifecycle::DEFAULT_RETRY_AFTER;
use crate::request::{FailureCode, Ran, RefusalCode};

/// A refusal before the first byte. Only [`super::Lifecycle`] makes one, in states
/// in which this instance has sent nothing to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    code: RefusalCode,
    ran: Ran,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// Private to the life cycle: a state after dispatch has no way to here.
    pub(super) fn new(code: RefusalCode, ran: Ran, retry_after: Option<Duration>) -> Self {
        // Where sending again can help, the caller is always told when.
        let retry_after =
            retry_after.or_else(|| code.is_retryable().then_some(DEFAULT_RETRY_AFTER));
        Self {
            code,
            ran,
            retry_after,
        }
    }
}

/// A failure after which parts of the request may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    code: FailureCode,
    retry_after: Option<Duration>,
}

impl Failure {
    /// Private to the life cycle.
    pub(super) fn new(code: FailureCode, retry_after: Option<Duration>) -> Self {
        Self { code, retry_after }
    }
}

/// The final answer. Each request gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// The whole answer was passed on; it has this many tokens.
    Complete {
        /// Tokens of the whole answer.
        count: u32,
    },
    /// An earlier sending with the same key was answered; this is its answer.
    Stored(StoredAnswer),
    /// Refused before the first byte.
    Refused(Refusal),
    /// Failed after the first byte may have left.
    Failed(Failure),
}

impl Answer {
    /// A refusal before the request was attributed to an organisation.
    ///
    /// Of a keyed request an earlier sending may have run, and the claims
    /// weren't asked; so "not run" is said only of one without a key.
    pub(crate) fn refused_early(
        code: RefusalCode,
        keyed: bool,
        retry_after: Option<Duration>,
    ) -> Self {
        let ran = if keyed { Ran::Unknown } else { Ran::No };
        Self::Refused(Refusal::new(code, ran, retry_after))
    }

    /// Stable name of the result.
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

    /// HTTP status, where the answer hasn't begun yet.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::Complete { .. } => 200,
            Self::Stored(answer) => u16::try_from(answer.status).unwrap_or(200),
            Self::Refused(refusal) => refusal.code.status(),
            Self::Failed(failure) => failure.code.status(),
        }
    }

    /// Pause before sending again, where that can help.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Complete { .. } | Self::Stored(_) => None,
            Self::Refused(refusal) => refusal.retry_after,
            Self::Failed(failure) => failure.retry_after,
        }
    }

    /// What happened and what the caller can do about it. Holds no part of the
    /// request and nothing of another organisation.
    pub(crate) fn message(&self) -> &'static str {
        match self {
            Self::Complete { .. } => "complete",
            Self::Stored(_) => "the answer of the earlier sending with the same key",
            Self::Refused(refusal) => refusal.code.message(),
            Self::Failed(failure) => failure.code.message(),
        }
    }

    /// Form in which a response body or a stream's last event carries it.
    pub(crate) fn body(&self) -> Body {
        Body {
            code: self.code(),
            ran: self.ran(),
            message: self.message(),
            retry: self.retry_after().map(|pause| pause.as_millis()),
        }
    }
}

/// JSON form of an [`Answer`] that isn't a whole answer.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Body {
    /// Stable name of the result.
    pub(crate) code: &'static str,
    /// Whether the request ran.
    pub(crate) ran: Ran,
    /// What happened and the remedy.
    pub(crate) message: &'static str,
    /// Pause before sending again, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) retry: Option<u128>,
}
