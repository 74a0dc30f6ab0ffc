//! Bytes of a stream up to the ends of its events.

use bytes::{Bytes, BytesMut};

use crate::body_memory::{BodyMemory, BodyShare, NoMemory};
use crate::decide::body_budget::Kind;

/// Maximum size of an incomplete event, in bytes.
const MAX_EVENT: usize = 256 << 10;

/// Size up to which an incomplete event isn't counted, in bytes.
const UNCOUNTED: usize = 4 << 10;

/// Why an incomplete event isn't received any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Excess {
    /// It is larger than [`MAX_EVENT`].
    TooLong,
    /// The memory for bodies is used up.
    NoMemory,
}

impl Excess {
    /// Cause of a failed attempt.
    pub(crate) fn cause(self) -> &'static str {
        match self {
            Self::TooLong => "long_event",
            Self::NoMemory => "no_memory",
        }
    }
}

/// What was received of a stream and not forwarded yet.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    bytes: BytesMut,
    /// End of the last complete event in `bytes`; 0 if there is none.
    end: usize,
    /// Bytes that `share` holds for an incomplete event.
    counted: usize,
    share: Option<BodyShare>,
}

impl EventBuffer {
    /// Adds received bytes.
    pub(crate) fn extend(&mut self, received: &[u8]) {
        // The end of an event may lie between two pieces.
        let from = self.bytes.len().saturating_sub(1);
        self.bytes.extend_from_slice(received);
        let found = self.bytes[from..].windows(2).rposition(|w| w == b"\n\n");
        if let Some(found) = found {
            self.end = from + found + 2;
        }
    }

    /// Takes memory for an incomplete event, or gives back what a complete one held. If it is
    /// cancelled, the next call makes up for it.
    ///
    /// # Errors
    ///
    /// If the event is too long, or there is no memory for it.
    pub(crate) async fn count(&mut self, memory: &BodyMemory) -> Result<(), Excess> {
        let size = self.bytes.len();
        if self.has_event() || size <= UNCOUNTED {
            self.share = None;
            self.counted = 0;
            return Ok(());
        }
        if size > MAX_EVENT {
            return Err(Excess::TooLong);
        }
        let share = &*self
            .share
            .get_or_insert_with(|| memory.share(Kind::Response));
        // The allocation, which grows ahead of its content.
        let wanted = self.bytes.capacity().saturating_sub(self.counted);
        share
            .grow(wanted)
            .await
            .map_err(|NoMemory| Excess::NoMemory)?;
        self.counted += wanted;
        Ok(())
    }

    pub(crate) fn has_event(&self) -> bool {
        self.end > 0
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes the complete events out. An engine may stop in the middle of an event; a fragment
    /// followed by an event of the next run would reach the caller as one event.
    pub(crate) fn take_events(&mut self) -> Option<Bytes> {
        let end = std::mem::take(&mut self.end);
        (end > 0).then(|| self.bytes.split_to(end).freeze())
    }
}
