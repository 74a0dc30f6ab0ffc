//! The engines of the simulated fleet and their faults.

use rand::RngExt;

use super::caller::Sending;
use super::world::{LAYERS, TOKENS, World};
use crate::request::{AttemptError, Event, Frame, Hop, OpenError};

/// Text of a token: what it is a part of, and who sent it.
fn text(caller: usize, index: u32, attempt: u32) -> String {
    format!("{caller}/{index}/{attempt} ")
}

/// Caller, index and attempt that a token's text names.
pub(super) fn parts(text: &str) -> Vec<u32> {
    let parse = |part: &str| part.trim().parse().unwrap_or(u32::MAX);
    text.split('/').map(parse).collect()
}

impl World {
    pub(super) fn path(&mut self, sending: usize, resume: u32) -> Vec<Hop> {
        let cut = self.rng.random_range(1..LAYERS);
        let hop = |name: &str, first, end| Hop {
            upstream: name.into(),
            first,
            end,
        };
        let path = vec![hop("e1", 0, cut), hop("e2", cut, LAYERS)];
        self.sendings[sending].path = path.clone();
        self.sendings[sending].resume = resume;
        path
    }

    /// The engines' side of an attempt: runs it, with a fault or without.
    pub(super) fn send(&mut self, sending: usize, attempt: u32) {
        self.sendings[sending].sent = attempt;
        // In every eighth run most engines are busy.
        let busy = self.seed.is_multiple_of(8) && self.chance(60);
        let fault = match busy {
            true => 1,
            false => self.rng.random_range(0..22),
        };
        match fault {
            0 => return self.plan(sending, 2, broken(attempt, AttemptError::Refused)),
            1 => {
                return self.plan(
                    sending,
                    5,
                    Event::Busy {
                        attempt,
                        not_run: true,
                    },
                );
            }
            _ => self.execute(sending),
        }
        let from = self.sendings[sending].resume;
        let at = self.rng.random_range(from..=TOKENS);
        let mut delay = 0;
        for index in from..TOKENS {
            delay += self.rng.random_range(5..60);
            let frame = self.token(sending, attempt, index);
            if index == at {
                self.fault(sending, fault, delay, frame.clone());
            }
            match fault {
                // It freezes, or ends as if it had sent the rest.
                3 | 12 if index >= at => continue,
                // The connection broke, yet the rest arrives late.
                2 if index == at => delay += 300,
                _ => {}
            }
            self.plan(
                sending,
                delay,
                Event::Frame {
                    conn_attempt: attempt,
                    frame,
                },
            );
        }
        let end = match fault {
            3 => return,
            4 => broken(attempt, AttemptError::ConnectionLost),
            5 => self.done(sending, attempt, TOKENS + 1),
            _ => self.done(sending, attempt, TOKENS),
        };
        self.plan(sending, delay + 1, end);
    }

    fn done(&self, sending: usize, attempt: u32, count: u32) -> Event {
        let request = self.sendings[sending].id.to_string();
        Event::Done {
            conn_attempt: attempt,
            request,
            attempt,
            count,
        }
    }

    /// What goes wrong at one token, before the token itself.
    fn fault(&mut self, sending: usize, fault: u32, delay: u64, mut frame: Frame) {
        let caller = self.sendings[sending].caller;
        let on = frame.attempt;
        match fault {
            2 => return self.plan(sending, delay, broken(on, AttemptError::ConnectionLost)),
            6 => frame.index += 1,
            7 if frame.index > 0 => frame = self.token(sending, on, frame.index - 1),
            8 => {
                frame.passed.pop();
                frame.text = "layer skipped".into();
            }
            9 => {
                let other = &self.sendings[self.rng.random_range(0..self.sendings.len())];
                frame.request = other.id.to_string();
                frame.text = text(other.caller, frame.index, on);
            }
            10 => {
                frame.attempt = on - 1;
                frame.text = text(caller, frame.index, on - 1);
            }
            11 => frame.passed.push(frame.passed[1].clone()),
            _ => return,
        }
        if fault != 9 || frame.request != self.sendings[sending].id.to_string() {
            self.plan(
                sending,
                delay,
                Event::Frame {
                    conn_attempt: on,
                    frame,
                },
            );
        }
    }

    fn token(&self, sending: usize, attempt: u32, index: u32) -> Frame {
        let Sending {
            id, caller, path, ..
        } = &self.sendings[sending];
        Frame {
            request: id.to_string(),
            attempt,
            index,
            text: text(*caller, index, attempt),
            passed: path.clone(),
        }
    }
}

pub(super) fn unopened(attempt: u32, reason: OpenError) -> Event {
    Event::OpenFailed {
        attempt,
        reason,
        retry_after: None,
    }
}

pub(super) fn broken(attempt: u32, cause: AttemptError) -> Event {
    Event::Failed {
        attempt,
        cause,
        suspect: None,
    }
}
