//! Compares the executions on the emulators with the guarantees that the answers gave.

use std::collections::HashMap;
use std::net::SocketAddr;

use http_body_util::BodyExt;
use serde_json::{Value, json};

use crate::call::HttpClient;
use crate::model::Context;
use crate::outcome::prompt;

/// Guarantee that was given for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Guarantee {
    pub(crate) index: usize,
    /// At most one attempt may have run.
    pub(crate) non_idempotent: bool,
    /// The request was refused as not run, so no attempt may have run.
    pub(crate) not_run: bool,
}

/// Result of an audit.
#[derive(Debug, Default)]
pub(crate) struct Audit {
    /// Non-idempotent requests with more than one attempt.
    pub(crate) repeated: u64,
    /// Requests that were refused as not run but have an attempt.
    pub(crate) refused_runs: u64,
    /// Attempts of all requests, including resumed ones.
    pub(crate) attempts: u64,
    /// Tokens executed by first stages.
    pub(crate) tokens: u64,
    /// Executions of a token index beyond its first one.
    pub(crate) repeated_tokens: u64,
    /// Work that began on a leaving upstream after its grace period.
    pub(crate) late: u64,
    /// Emulators that couldn't be queried; their counts are missing.
    pub(crate) unreachable: u64,
}

impl Audit {
    pub(crate) fn violations(&self) -> u64 {
        self.repeated + self.refused_runs + self.late
    }

    pub(crate) fn json(&self) -> Value {
        json!({
            "repeated": self.repeated, "denied": self.refused_runs,
            "attempts": self.attempts, "tokens": self.tokens, "again": self.repeated_tokens,
            "late": self.late, "silent": self.unreachable,
        })
    }
}

/// Attempts of one prompt and executions of each token index, over all emulators.
#[derive(Default)]
struct Executions {
    attempts: u64,
    tokens: Vec<u64>,
}

/// Queries all emulators and checks every guarantee.
pub(crate) async fn check(
    http: &HttpClient,
    emulators: &[SocketAddr],
    seed: u64,
    guarantees: &[Guarantee],
) -> Audit {
    let mut audit = Audit::default();
    let mut executions: HashMap<String, Executions> = HashMap::new();
    for address in emulators {
        let Some(value) = fetch(http, *address).await else {
            audit.unreachable += 1;
            continue;
        };
        audit.late += value["totals"]["late"].as_u64().unwrap_or(0);
        collect_executions(&value, &mut executions);
    }
    for entry in executions.values() {
        audit.attempts += entry.attempts;
        audit.tokens += entry.tokens.iter().sum::<u64>();
        audit.repeated_tokens += entry
            .tokens
            .iter()
            .map(|n| n.saturating_sub(1))
            .sum::<u64>();
    }
    for guarantee in guarantees {
        let hash = Context::new(&prompt(seed, guarantee.index)).state();
        let attempts = executions
            .get(&format!("{hash:016x}"))
            .map_or(0, |r| r.attempts);
        audit.repeated += u64::from(guarantee.non_idempotent && attempts > 1);
        audit.refused_runs += u64::from(guarantee.not_run && attempts > 0);
    }
    audit
}

fn collect_executions(value: &Value, executions: &mut HashMap<String, Executions>) {
    let requests = value["requests"].as_object().into_iter().flatten();
    for (_, request) in requests {
        let prompt = request["prompt"].as_str().unwrap_or("");
        if prompt.is_empty() {
            continue;
        }
        let entry = executions.entry(prompt.to_owned()).or_default();
        entry.attempts += request["attempts"].as_u64().unwrap_or(0);
        let tokens = request["tokens"].as_array().into_iter().flatten();
        for (index, count) in tokens.enumerate() {
            if entry.tokens.len() <= index {
                entry.tokens.resize(index + 1, 0);
            }
            entry.tokens[index] += count.as_u64().unwrap_or(0);
        }
    }
}

async fn fetch(http: &HttpClient, address: SocketAddr) -> Option<Value> {
    let uri = format!("http://{address}/emulator/executions");
    let reply = http.get(uri.parse().ok()?).await.ok()?;
    let body = reply.into_body().collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}
