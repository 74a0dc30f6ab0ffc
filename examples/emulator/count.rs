//! What was really executed, so that doubles are counted and not guessed.

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
    /// Attempts that began here as first stage.
    pub(crate) attempts: u32,
    pub(crate) finished: u32,
    pub(crate) cancelled: u32,
    /// How often the whole own range ran, by token index.
    pub(crate) tokens: Vec<u32>,
    /// Runs of a part of the range: (index, first, end).
    pub(crate) partial: Vec<(usize, u32, u32)>,
}

/// Totals over all requests.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Totals {
    /// Attempts begun as first stage, or calls to a service.
    pub(crate) began: u64,
    pub(crate) finished: u64,
    pub(crate) cancelled: u64,
    /// Answers 503 before the first token.
    pub(crate) busy: u64,
    /// Attempts begun more than [`LEAVE_GRACE_MS`] after `leaving` was announced.
    pub(crate) late: u64,
    /// Tokens run through the own range.
    pub(crate) tokens: u64,
}

/// After so many milliseconds a leaving upstream expects no new work.
pub(crate) const LEAVE_GRACE_MS: u128 = 3_000;

/// All counts of one upstream.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Counts {
    pub(crate) totals: Totals,
    /// Engines: by request id.
    pub(crate) requests: BTreeMap<String, Executions>,
    /// Services: calls by `X-Request-Id`.
    pub(crate) ids: BTreeMap<String, u64>,
    /// Services: calls by `Idempotency-Key`.
    pub(crate) keys: BTreeMap<String, u64>,
    /// Where begun attempts are kept for a restart after a kill.
    #[serde(skip)]
    journal: Option<File>,
}

impl Counts {
    /// Counts that outlive a kill of the process: a second run of a request
    /// whose first one died with the engine must still show as a second run.
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
            counts.count(request, prompt.to_owned());
        }
        counts.journal = Some(file);
        Ok(counts)
    }

    /// An attempt begins as first stage.
    pub(crate) fn begin(&mut self, request: &str, prompt: u64) {
        let prompt = format!("{prompt:016x}");
        if let Some(file) = &mut self.journal {
            let line = format!("{request} {prompt}\n");
            file.write_all(line.as_bytes()).expect("write the journal");
        }
        self.count(request, prompt);
    }

    fn count(&mut self, request: &str, prompt: String) {
        self.totals.began += 1;
        let entry = self.requests.entry(request.to_owned()).or_default();
        entry.prompt = prompt;
        entry.attempts += 1;
    }

    /// An attempt ended, whole or not.
    pub(crate) fn end(&mut self, request: &str, whole: bool) {
        let entry = self.requests.entry(request.to_owned()).or_default();
        if whole {
            self.totals.finished += 1;
            entry.finished += 1;
        } else {
            self.totals.cancelled += 1;
            entry.cancelled += 1;
        }
    }

    /// The whole range ran for a token.
    pub(crate) fn token(&mut self, request: &str, index: usize) {
        self.totals.tokens += 1;
        let entry = self.requests.entry(request.to_owned()).or_default();
        if entry.tokens.len() <= index {
            entry.tokens.resize(index + 1, 0);
        }
        entry.tokens[index] += 1;
    }

    /// Only a part of the range ran for a token.
    pub(crate) fn part(&mut self, request: &str, index: usize, first: u32, end: u32) {
        let entry = self.requests.entry(request.to_owned()).or_default();
        entry.partial.push((index, first, end));
    }

    /// A call reached the service; returns how many came under its key or id.
    pub(crate) fn call(&mut self, id: Option<&str>, key: Option<&str>) -> u64 {
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
