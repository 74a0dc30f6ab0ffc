//! Reads an engine's stream into events of the request's state machine.

use tokio::sync::mpsc;

use crate::engine::{Cutoff, Engine, EngineError, EngineEvent, Events, Order};
use crate::id::UpstreamId;
use crate::request::{AttemptError, Event, Frame, Hop};

/// Sends the order and hands on each event of its stream.
pub(crate) async fn read(
    engine: impl Engine,
    order: Order,
    events: mpsc::Sender<Event>,
    cutoff: Cutoff,
) {
    let attempt = order.attempt;
    let started = engine.start(&order, &cutoff).await;
    let mut stream = match started {
        Ok(stream) => stream,
        Err(e) => {
            let _ = events.send(failure(attempt, &e, None)).await;
            return;
        }
    };
    loop {
        let event = stream.next().await;
        let last = !matches!(event, Ok(EngineEvent::Token { .. }));
        let sent = events.send(translate(attempt, event)).await;
        if last || sent.is_err() {
            return;
        }
    }
}

fn translate(on: u32, event: Result<EngineEvent, EngineError>) -> Event {
    match event {
        Ok(EngineEvent::Token {
            request,
            attempt,
            index,
            text,
            passed,
        }) => Event::Frame {
            conn_attempt: on,
            frame: Frame {
                request,
                attempt,
                index,
                text,
                passed: passed
                    .into_iter()
                    .map(|p| Hop {
                        upstream: p.upstream,
                        first: p.first,
                        end: p.end,
                    })
                    .collect(),
            },
        },
        Ok(EngineEvent::Done {
            request,
            attempt,
            count,
            done: true,
            ..
        }) => Event::Done {
            conn_attempt: on,
            request,
            attempt,
            count,
        },
        Ok(EngineEvent::Failed { upstream, .. }) => failure(on, &EngineError::Cut, Some(upstream)),
        Ok(EngineEvent::Done { .. }) => failure(on, &EngineError::Garbage, None),
        Err(e) => failure(on, &e, None),
    }
}

fn failure(attempt: u32, error: &EngineError, suspect: Option<UpstreamId>) -> Event {
    let cause = match error {
        EngineError::Busy => {
            let not_run = true;
            return Event::Busy { attempt, not_run };
        }
        EngineError::Connect => AttemptError::Refused,
        EngineError::Cut => AttemptError::ConnectionLost,
        EngineError::Status { .. } | EngineError::Garbage => AttemptError::InvalidData,
    };
    Event::Failed {
        attempt,
        cause,
        suspect,
    }
}
