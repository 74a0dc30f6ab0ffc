//! Streams whose upstream is silent: another attempt runs beside the silent one until one of them gives
//! an event.

use std::pin::pin;

use tokio::time::timeout;

use super::{EventStream, Step};
use crate::clock::millis;
use crate::decide::stall::Silence;
use crate::entry::attempt::{OpenResponse, Received};
use crate::entry::call::Context;
use crate::entry::hedge::Stalled;
use crate::entry::reroute::Stall;
use crate::event;

/// Which of two attempts serves a stream.
enum Winner {
    /// The silent one: it gave an event or its proper end.
    First(Step),
    Other(Box<OpenResponse>),
    /// The other one failed, and the first is still silent.
    Pending,
    Neither,
}

impl Winner {
    fn name(&self) -> &'static str {
        match self {
            Self::First(_) => "first",
            Self::Other(_) => "other",
            Self::Pending => "pending",
            Self::Neither => "neither",
        }
    }
}

/// What a silent response gave next.
enum Next {
    /// An event, which is in the buffer.
    Event,
    /// Its end.
    End,
    /// The end of its connection.
    Cut,
    /// Nothing before the deadline.
    Nothing,
}

/// Reads a silent response up to its next event or its end. A part of an event stays in the buffer.
async fn await_event(context: &Context, opened: &mut OpenResponse, silence: &mut Silence) -> Next {
    loop {
        match timeout(context.left(), opened.read(context, silence)).await {
            Ok(Ok(Received::Bytes)) if opened.buffer.has_event() => return Next::Event,
            Ok(Ok(Received::Bytes)) => {}
            Ok(Ok(Received::Cut | Received::Excess(_))) => return Next::Cut,
            Ok(Ok(Received::End)) => return Next::End,
            Ok(Err(_)) => {}
            Err(_) => return Next::Nothing,
        }
    }
}

impl EventStream {
    /// Starts another attempt beside the silent one, if that is allowed. The first of them to give
    /// an event serves the stream from then on, and the other is cancelled: events of two runs are
    /// never mixed.
    pub(super) async fn hedge(&mut self, stall: Stall) -> Step {
        let upstream = self.opened.selection.upstream.clone();
        let first = upstream.key;
        if !self.run.may_hedge(&Stalled { first, stall }) {
            return Step::Continue;
        }
        let events = self.run.events;
        let mut silence = self.start_silence();
        let (winner, cut) = self.race(&mut silence).await;
        // The other attempt has reset it, and may not have used the retry.
        self.run.events = events;
        self.run.retry = None;
        tracing::info!(
            event = event::HEDGE_ENDED.id,
            attempt = self.run.call.attempt,
            winner = winner.name(),
            cut,
            silent_ms = millis(self.run.entry.now().since(self.last_at)),
            left_ms = millis(self.run.left()),
            "hedge ended"
        );
        match winner {
            Winner::First(step) => {
                self.silence = None;
                step
            }
            Winner::Other(opened) => {
                if cut {
                    self.run.record_cut(&upstream);
                    self.run.exclude_upstream(Some(first), "cut_stream");
                }
                self.adopt(opened);
                Step::Continue
            }
            Winner::Pending => {
                self.silence = Some(silence);
                Step::Continue
            }
            Winner::Neither if cut => Step::Cut("cut_stream"),
            Winner::Neither => Step::Lost("deadline"),
        }
    }

    /// Runs another attempt beside the silent one. Returns which of them serves the stream, and
    /// whether the silent one was cut off.
    async fn race(&mut self, silence: &mut Silence) -> (Winner, bool) {
        let may_end = !self.lacks_events();
        let mut other = pin!(self.run.open_beside());
        let first = await_event(&self.context, &mut self.opened, silence);
        tokio::select! {
            biased;
            next = first => match next {
                Next::Nothing => (Winner::Neither, false),
                Next::Event => (Winner::First(Step::Continue), false),
                Next::End if may_end && self.opened.buffer.is_empty() => {
                    (Winner::First(Step::Whole), false)
                }
                // The other attempt is the only one left.
                Next::End | Next::Cut => {
                    let opened = other.await;
                    (opened.map_or(Winner::Neither, Winner::Other), true)
                }
            },
            opened = other.as_mut() => (opened.map_or(Winner::Pending, Winner::Other), false),
        }
    }
}
