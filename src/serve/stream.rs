//! Converts an engine's event stream to events of the request's state machine.

use tokio::sync::mpsc;

use crate::engine::{Cutoff, Engine, EngineError, EngineEvent, EventStream, PipelineRequest};
use crate::id::UpstreamId;
use crate::request::{AttemptError, Event, Frame, Hop};

/// Sends the request to the engine and forwards each event of its stream.
pub(crate) async fn run_attempt(
    engine: impl Engine,
    request: PipelineRequest,
    events: mpsc::Sender<Event>,
    cutoff: Cutoff,
) {
    let attempt = request.attempt;
    let started = engine.start(&request, &cutoff).await;
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

fn translate(conn_attempt: u32, event: Result<EngineEvent, EngineError>) -> Event {
    match event {
        Ok(EngineEvent::Token {
            request,
            attempt,
            index,
            text,
            passed,
        }) => Event::Frame {
            conn_attempt,
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
            conn_attempt,
            request,
            attempt,
            count,
        },
        Ok(EngineEvent::Failed { upstream, .. }) => {
            failure(conn_attempt, &EngineError::ConnectionLost, Some(upstream))
        }
        Ok(EngineEvent::Done { .. }) => failure(conn_attempt, &EngineError::InvalidEvent, None),
        Err(e) => failure(conn_attempt, &e, None),
    }
}

fn failure(attempt: u32, error: &EngineError, suspect: Option<UpstreamId>) -> Event {
    let cause = match error {
        EngineError::Busy => {
            let not_run = true;
            return Event::Busy { attempt, not_run };
        }
        EngineError::Connect | EngineError::ConnectTimeout => AttemptError::Refused,
        EngineError::ConnectionLost => AttemptError::ConnectionLost,
        EngineError::Status { .. }
        | EngineError::NotFinal { .. }
        | EngineError::InvalidEvent
        | EngineError::LongHead => AttemptError::InvalidData,
    };
    Event::Failed {
        attempt,
        cause,
        suspect,
    }
}
