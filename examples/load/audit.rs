//! Compares what the emulators executed with what the answers said.

use std::collections::HashMap;
use std::net::SocketAddr;

use http_body_util::BodyExt;
use serde_json::{Value, json};

use crate::call::Http;
use crate::model::Context;
use crate::outcome::prompt;

/// What a request was promised.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Promise {
    pub(crate) index: usize,
    /// Non-idempotent: at most one attempt.
    pub(crate) marked: bool,
    /// Refused as not run: no attempt.
    pub(crate) refused: bool,
}

/// The result of an audit.
#[derive(Debug, Default)]
pub(crate) struct Audit {
    /// Non-idempotent requests with more than one attempt.
    pub(crate) repeated: u64,
    /// Requests with an attempt that a refusal denied.
    pub(crate) denied: u64,
    /// Attempts of all requests, resumed ones included.
    pub(crate) attempts: u64,
    /// Token runs at first stages.
    pub(crate) tokens: u64,
    /// Token runs beyond the first of each index.
    pub(crate) again: u64,
    /// Work that began too late on a leaving upstream.
    pub(crate) late: u64,
    /// Emulators that gave no answer; their counts are missing.
    pub(crate) silent: u64,
}

impl Audit {
    pub(crate) fn violations(&self) -> u64 {
        self.repeated + self.denied + self.late
    }

    pub(crate) fn json(&self) -> Value {
        json!({
            "repeated": self.repeated, "denied": self.denied,
            "attempts": self.attempts, "tokens": self.tokens, "again": self.again,
            "late": self.late, "silent": self.silent,
        })
    }
}

/// Attempts of one prompt and runs of each token index, over all emulators.
#[derive(Default)]
struct Runs {
    attempts: u64,
    tokens: Vec<u64>,
}

/// Asks all emulators and checks every promise.
pub(crate) async fn check(
    http: &Http,
    emulators: &[SocketAddr],
    seed: u64,
    promises: &[Promise],
) -> Audit {
    let mut audit = Audit::default();
    let mut runs: HashMap<String, Runs> = HashMap::new();
    for address in emulators {
        let Some(value) = fetch(http, *address).await else {
            audit.silent += 1;
            continue;
        };
        audit.late += value["totals"]["late"].as_u64().unwrap_or(0);
        collect(&value, &mut runs);
    }
    for run in runs.values() {
        audit.attempts += run.attempts;
        audit.tokens += run.tokens.iter().sum::<u64>();
        audit.again += run.tokens.iter().map(|n| n.saturating_sub(1)).sum::<u64>();
    }
    for promise in promises {
        let hash = Context::new(&prompt(seed, promise.index)).state();
        let attempts = runs.get(&format!("{hash:016x}")).map_or(0, |r| r.attempts);
        audit.repeated += u64::from(promise.marked && attempts > 1);
        audit.denied += u64::from(promise.refused && attempts > 0);
    }
    audit
}

fn collect(value: &Value, runs: &mut HashMap<String, Runs>) {
    let requests = value["requests"].as_object().into_iter().flatten();
    for (_, request) in requests {
        let prompt = request["prompt"].as_str().unwrap_or("");
        if prompt.is_empty() {
            continue;
        }
        let run = runs.entry(prompt.to_owned()).or_default();
        run.attempts += request["attempts"].as_u64().unwrap_or(0);
        let tokens = request["tokens"].as_array().into_iter().flatten();
        for (index, count) in tokens.enumerate() {
            if run.tokens.len() <= index {
                run.tokens.resize(index + 1, 0);
            }
            run.tokens[index] += count.as_u64().unwrap_or(0);
        }
    }
}

async fn fetch(http: &Http, address: SocketAddr) -> Option<Value> {
    let uri = format!("http://{address}/emulator/executions");
    let reply = http.get(uri.parse().ok()?).await.ok()?;
    let body = reply.into_body().collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
