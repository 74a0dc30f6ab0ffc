//! Fleet-wide request ids.

use std::fmt;
use std::str::FromStr;

use crate::id::{Incarnation, InstanceId};

/// Id of a request, unique in the fleet: the instance that received it, the
/// instance's incarnation, and a sequence number. Written as `7-41-9`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RequestId {
    /// The instance that received the request.
    pub(crate) instance: InstanceId,
    /// Incarnation of that instance.
    pub(crate) incarnation: Incarnation,
    /// Sequence number within the incarnation. Never reused.
    pub(crate) sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}-{}-{}",
            self.instance, self.incarnation.0, self.sequence
        )
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let mut parts = text.split('-').map(|part| part.parse().ok());
        let mut next = || parts.next().flatten().ok_or(ParseIdError);
        let id = Self {
            instance: InstanceId(next()?),
            incarnation: Incarnation(next()?),
            sequence: next()?,
        };
        parts.next().is_none().then_some(id).ok_or(ParseIdError)
    }
}

/// The text isn't a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ParseIdError;
