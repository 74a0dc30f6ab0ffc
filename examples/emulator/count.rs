//! Execution counts, from which tests detect duplicate runs.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

use serde::Serialize;

/// Executions of one request on one engine.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Executions {
    /// Hash of the prompt, in hexadecimal; empty on later stages.
    pub(crate) prompt: String,
    /// Attempts begun with this engine as the first stage.
    pub(crate) attempts: u32,
    pub(crate) finished: u32,
    pub(crate) cancelled: u32,
    /// Runs of the engine's whole layer range, by token index.
    pub(crate) tokens: Vec<u32>,
    /// Runs of a part of the range: (token index, first layer, end layer).
    pub(crate) partial: Vec<(usize, u32, u32)>,
}

/// Totals over all requests.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Totals {
    /// Attempts begun as the first stage, or calls to a service.
    pub(crate) began: u64,
    pub(crate) finished: u64,
    pub(crate) cancelled: u64,
    /// Requests answered with 503 before the first token.
    pub(crate) busy: u64,
    /// Work begun more than [`LEAVE_GRACE_MS`] after `leaving` was announced.
    pub(crate) late: u64,
    /// Tokens processed by the engine's layer range.
    pub(crate) tokens: u64,
}

/// Time after announcing `leaving` during which new work may still arrive, in milliseconds.
pub(crate) const LEAVE_GRACE_MS: u128 = 3_000;

/// Counts of one upstream.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Counts {
    pub(crate) totals: Totals,
    /// Executions on an engine, by request id.
    pub(crate) requests: BTreeMap<String, Executions>,
    /// Calls to a service, by `X-Request-Id`.
    pub(crate) ids: BTreeMap<String, u64>,
    /// Calls to a service, by `Idempotency-Key`.
    pub(crate) keys: BTreeMap<String, u64>,
    /// File in which begun attempts survive a kill of the process.
    #[serde(skip)]
    journal: Option<File>,
}

impl Counts {
    /// Loads the counts from a journal file, so that a request that runs again after its first
    /// run died with the engine still counts as a second run.
    pub(crate) fn with_journal(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .read(true)
            .open(path)?;
        let mut counts = Self::default();
        for line in BufReader::new(&file).lines() {
            let line = line?;
            let Some((request, prompt)) = line.split_once(' ') else {
                continue;
            };
            counts.add_attempt(request, prompt.to_owned());
        }
        counts.journal = Some(file);
        Ok(counts)
    }

    /// Records the start of an attempt as the first stage.
    pub(crate) fn begin_attempt(&mut self, request: &str, prompt: u64) {
        let prompt = format!("{prompt:016x}");
        if let Some(file) = &mut self.journal {
            let line = format!("{request} {prompt}\n");
            file.write_all(line.as_bytes()).expect("write the journal");
        }
        self.add_attempt(request, prompt);
    }

    fn add_attempt(&mut self, request: &str, prompt: String) {
        self.totals.began += 1;
        let entry = self.requests.entry(request.to_owned()).or_default();
        entry.prompt = prompt;
        entry.attempts += 1;
    }

    /// Records the end of an attempt, `whole` if it wasn't cancelled.
    pub(crate) fn end_attempt(&mut self, request: &str, whole: bool) {
        let entry = self.requests.entry(request.to_owned()).or_default();
        if whole {
            self.totals.finished += 1;
            entry.finished += 1;
        } else {
            self.totals.cancelled += 1;
            entry.cancelled += 1;
        }
    }

    /// Records a run of the whole range for a token.
    pub(crate) fn record_token(&mut self, request: &str, index: usize) {
        self.totals.tokens += 1;
        let entry = self.requests.entry(request.to_owned()).or_default();
        if entry.tokens.len() <= index {
            entry.tokens.resize(index + 1, 0);
        }
        entry.tokens[index] += 1;
    }

    /// Records a run of a part of the range for a token.
    pub(crate) fn record_partial(&mut self, request: &str, index: usize, first: u32, end: u32) {
        let entry = self.requests.entry(request.to_owned()).or_default();
        entry.partial.push((index, first, end));
    }

    /// Records a call to the service. Returns the number of calls with its idempotency key, or
    /// with its request id if it has no key.
    pub(crate) fn record_call(&mut self, id: Option<&str>, key: Option<&str>) -> u64 {
        self.totals.began += 1;
        let add = |map: &mut BTreeMap<String, u64>, name: &str| {
            let count = map.entry(name.to_owned()).or_default();
            *count += 1;
            *count
        };
        let by_id = id.map(|id| add(&mut self.ids, id));
        let by_key = key.map(|key| add(&mut self.keys, key));
        by_key.or(by_id).unwrap_or(1)
    }
}
