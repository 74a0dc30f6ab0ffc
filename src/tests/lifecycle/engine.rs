//! The simulated engines and their faults.

use rand::RngExt;

use super::caller::Submission;
use super::world::{LAYERS, TOKENS, World};
use crate::request::{AttemptError, Event, Frame, Hop, OpenError};

/// Text of a token, which identifies its caller, index and attempt.
fn text(caller: usize, index: u32, attempt: u32) -> String {
    format!("{caller}/{index}/{attempt} ")
}

/// Parses caller, index and attempt from the text of a token.
pub(super) fn parse_text(text: &str) -> Vec<u32> {
    let parse = |part: &str| part.trim().parse().unwrap_or(u32::MAX);
    text.split('/').map(parse).collect()
}

impl World {
    pub(super) fn path(&mut self, submission: usize, resume: u32) -> Vec<Hop> {
        let cut = self.rng.random_range(1..LAYERS);
        let hop = |name: &str, first, end| Hop {
            upstream: name.into(),
            first,
            end,
        };
        let path = vec![hop("e1", 0, cut), hop("e2", cut, LAYERS)];
        self.submissions[submission].path = path.clone();
        self.submissions[submission].resume = resume;
        path
    }

    /// Runs an attempt on the engines, with a fault or without.
    pub(super) fn send(&mut self, submission: usize, attempt: u32) {
        self.submissions[submission].sent = attempt;
        // In every eighth run most engines are busy.
        let busy = self.seed.is_multiple_of(8) && self.chance(60);
        let fault = match busy {
            true => 1,
            false => self.rng.random_range(0..22),
        };
        match fault {
            0 => return self.schedule(submission, 2, failed(attempt, AttemptError::Refused)),
            1 => {
                return self.schedule(
                    submission,
                    5,
                    Event::Busy {
                        attempt,
                        not_run: true,
                    },
                );
            }
            _ => self.execute(submission),
        }
        let from = self.submissions[submission].resume;
        let at = self.rng.random_range(from..=TOKENS);
        let mut delay = 0;
        for index in from..TOKENS {
            delay += self.rng.random_range(5..60);
            let frame = self.token(submission, attempt, index);
            if index == at {
                self.fault(submission, fault, delay, frame.clone());
            }
            match fault {
                // The engine freezes, or ends as if it had sent the rest.
                3 | 12 if index >= at => continue,
                // The connection was lost, yet the rest arrives late.
                2 if index == at => delay += 300,
                _ => {}
            }
            self.schedule(
                submission,
                delay,
                Event::Frame {
                    conn_attempt: attempt,
                    frame,
                },
            );
        }
        let end = match fault {
            3 => return,
            4 => failed(attempt, AttemptError::ConnectionLost),
            5 => self.done(submission, attempt, TOKENS + 1),
            _ => self.done(submission, attempt, TOKENS),
        };
        self.schedule(submission, delay + 1, end);
    }

    fn done(&self, submission: usize, attempt: u32, count: u32) -> Event {
        let request = self.submissions[submission].id.to_string();
        Event::Done {
            conn_attempt: attempt,
            request,
            attempt,
            count,
        }
    }

    /// Injects a fault at a token, before the token itself.
    fn fault(&mut self, submission: usize, fault: u32, delay: u64, mut frame: Frame) {
        let caller = self.submissions[submission].caller;
        let on = frame.attempt;
        match fault {
            2 => return self.schedule(submission, delay, failed(on, AttemptError::ConnectionLost)),
            6 => frame.index += 1,
            7 if frame.index > 0 => frame = self.token(submission, on, frame.index - 1),
            8 => {
                frame.passed.pop();
                frame.text = "layer skipped".into();
            }
            9 => {
                let other = &self.submissions[self.rng.random_range(0..self.submissions.len())];
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
        if fault != 9 || frame.request != self.submissions[submission].id.to_string() {
            self.schedule(
                submission,
                delay,
                Event::Frame {
                    conn_attempt: on,
                    frame,
                },
            );
        }
    }

    fn token(&self, submission: usize, attempt: u32, index: u32) -> Frame {
        let Submission {
            id, caller, path, ..
        } = &self.submissions[submission];
        Frame {
            request: id.to_string(),
            attempt,
            index,
            text: text(*caller, index, attempt),
            passed: path.clone(),
        }
    }
}

pub(super) fn open_failed(attempt: u32, reason: OpenError) -> Event {
    Event::OpenFailed {
        attempt,
        reason,
        retry_after: None,
    }
}

pub(super) fn failed(attempt: u32, cause: AttemptError) -> Event {
    Event::Failed {
        attempt,
        cause,
        suspect: None,
    }
}
