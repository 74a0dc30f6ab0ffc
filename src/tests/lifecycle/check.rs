//! Invariants of the simulation.

use std::collections::BTreeMap;

use super::caller::Submission;
use super::engine::parse_text;
use super::world::{TOKENS, WINDOW, World};
use crate::request::{Answer, Ran, RequestId};

/// Counts over all runs, to check that the runs reach every code they should.
#[derive(Debug, Default)]
pub(super) struct Totals {
    pub(super) submissions: u64,
    pub(super) executions: u64,
    codes: BTreeMap<&'static str, u64>,
}

impl Totals {
    pub(super) fn add(&mut self, other: &Self) {
        self.submissions += other.submissions;
        self.executions += other.executions;
        for (code, count) in &other.codes {
            *self.codes.entry(code).or_default() += count;
        }
    }

    pub(super) fn assert_varied(&self) {
        let expected = [
            "complete",
            "kept",
            "outcome_unknown",
            "in_progress",
            "answer_cut",
            "cancelled",
            "claim_lapsed",
            "claim_unavailable",
            "claims_full",
            "key_retired",
            "no_upstream",
            "queue_timeout",
        ];
        for code in expected {
            assert!(self.codes.contains_key(code), "no run reaches {code}");
        }
    }
}

/// Executions of one request at the engines.
#[derive(Default)]
pub(super) struct RequestHistory {
    /// Real times of its executions.
    runs: Vec<u64>,
    /// Real time of the last grant of its claim.
    pub(super) granted: u64,
    /// Times of grants whose outcome was reported as unknown to a caller.
    unknown: Vec<u64>,
}

impl World {
    pub(super) fn history(&mut self, submission: usize) -> &mut RequestHistory {
        let caller = &self.callers[self.submissions[submission].caller];
        let name = match &caller.key {
            Some(key) if !caller.idempotent => format!("{}/{key}", caller.organisation),
            _ => format!("submission {submission}"),
        };
        self.histories.entry(name).or_default()
    }

    pub(super) fn execute(&mut self, submission: usize) {
        let (now, seed) = (self.now, self.seed);
        let granted = self.submissions[submission].granted;
        let idempotent = self.callers[self.submissions[submission].caller].idempotent;
        self.totals.executions += 1;
        let history = self.history(submission);
        if !idempotent {
            let recent = history.runs.last().is_some_and(|at| now < at + WINDOW);
            assert!(!recent, "seed {seed}: run twice, submission {submission}");
            let told = granted.is_some_and(|at| history.unknown.iter().any(|of| at < of + WINDOW));
            assert!(
                !told,
                "seed {seed}: run after unknown, submission {submission}"
            );
        }
        history.runs.push(now);
    }

    pub(super) fn emit(&mut self, submission: usize, request: RequestId, index: u32, text: &str) {
        let seed = self.seed;
        let Submission {
            id,
            caller,
            emitted,
            sent,
            answer,
            ..
        } = &mut self.submissions[submission];
        assert_eq!(request, *id, "seed {seed}");
        assert!(answer.is_none(), "seed {seed}: a token after the answer");
        assert_eq!(index, *emitted, "seed {seed}: not the next token");
        let expected = [*caller as u32, index, *sent];
        assert_eq!(
            parse_text(text),
            expected,
            "seed {seed}: submission {submission}"
        );
        *emitted += 1;
    }

    pub(super) fn answer(&mut self, submission: usize, answer: Answer) {
        let (now, seed) = (self.now, self.seed);
        *self.totals.codes.entry(answer.code()).or_default() += 1;
        let recent = |at: &u64| now < at + WINDOW;
        let ran = self.history(submission).runs.last().is_some_and(recent);
        match answer.ran() {
            Ran::No => assert!(!ran, "seed {seed}: not run, yet ran: {answer:?}"),
            Ran::Yes => assert!(!self.history(submission).runs.is_empty(), "seed {seed}"),
            Ran::Unknown => {}
        }
        if answer.code() == "outcome_unknown" {
            let reply_grant = self.submissions[submission].reply_grant;
            self.history(submission).unknown.push(reply_grant);
        }
        assert_ne!(
            answer.code(),
            "key_mismatch",
            "seed {seed}: another's claim"
        );
        let state = &mut self.submissions[submission];
        assert!(state.answer.is_none(), "seed {seed}: two answers");
        assert_eq!(state.permits.get(), 0, "seed {seed}: permit not released");
        let caller = state.caller;
        match &answer {
            Answer::Complete { count } => assert_eq!((*count, state.emitted), (TOKENS, TOKENS)),
            Answer::Stored(answer) => assert_whole(caller, &answer.body, seed),
            _ => {}
        }
        let over = matches!(answer, Answer::Complete { .. } | Answer::Stored(_));
        state.answer = Some(answer);
        if !over {
            self.resubmit(caller);
        }
    }
}

fn assert_whole(caller: usize, body: &[u8], seed: u64) {
    let body = String::from_utf8_lossy(body);
    let tokens: Vec<Vec<u32>> = body.split_whitespace().map(parse_text).collect();
    assert_eq!(tokens.len() as u32, TOKENS, "seed {seed}");
    for (index, token) in tokens.iter().enumerate() {
        assert_eq!(token[..2], [caller as u32, index as u32], "seed {seed}");
    }
}
