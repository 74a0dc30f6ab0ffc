//! State of one emulated upstream, shared by its server and announcer.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::count::Counts;
use crate::fault::{Fault, Faults};
use crate::spec::{Kind, Spec};

/// Request id and attempt number.
pub(crate) type AttemptKey = (String, u64);

/// Time without a call from the first stage after which a later stage drops a sequence.
const SEQUENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Sequence that is running on this upstream.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) fault: Option<Fault>,
    pub(crate) last_seen: Instant,
    /// Number of tokens processed.
    pub(crate) steps: usize,
    /// Whether this upstream is the first stage of the sequence.
    pub(crate) is_first: bool,
}

/// One emulated upstream.
pub(crate) struct Upstream {
    pub(crate) spec: Spec,
    pub(crate) address: SocketAddr,
    pub(crate) faults: Mutex<Faults>,
    pub(crate) counts: Mutex<Counts>,
    pub(crate) running: Mutex<HashMap<AttemptKey, Sequence>>,
    /// Time at which `leaving` was announced.
    pub(crate) leaving_since: Mutex<Option<Instant>>,
    /// Time at which the device will have processed all tokens assigned to it.
    idle_at: Mutex<Instant>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Upstream {
    pub(crate) fn new(spec: Spec, address: SocketAddr) -> io::Result<Self> {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let counts = match &spec.journal {
            Some(path) => Counts::with_journal(path)?,
            None => Counts::default(),
        };
        Ok(Self {
            spec,
            address,
            faults: Mutex::default(),
            counts: Mutex::new(counts),
            running: Mutex::default(),
            leaving_since: Mutex::default(),
            idle_at: Mutex::new(Instant::now()),
            client: Client::builder(TokioExecutor::new()).build(connector),
        })
    }

    /// Takes a slot and returns the fault to inject into the sequence, if any. Returns `None`
    /// if no slot is free or the attempt already runs.
    pub(crate) fn acquire_slot(&self, key: &AttemptKey, is_first: bool) -> Option<Option<Fault>> {
        let mut running = self.running.lock().unwrap();
        if running.len() >= self.spec.slots {
            running.retain(|_, s| s.is_first || s.last_seen.elapsed() < SEQUENCE_TIMEOUT);
        }
        if running.len() >= self.spec.slots || running.contains_key(key) {
            return None;
        }
        let fault = self.faults.lock().unwrap().next_request_fault();
        let sequence = Sequence {
            fault: fault.clone(),
            last_seen: Instant::now(),
            steps: 0,
            is_first,
        };
        running.insert(key.clone(), sequence);
        Some(fault)
    }

    /// Releases the slot of an attempt.
    pub(crate) fn release_slot(&self, key: &AttemptKey) {
        self.running.lock().unwrap().remove(key);
    }

    /// Number of running sequences.
    pub(crate) fn load(&self) -> usize {
        let mut running = self.running.lock().unwrap();
        running.retain(|_, s| s.is_first || s.last_seen.elapsed() < SEQUENCE_TIMEOUT);
        running.len()
    }

    /// Whether the grace period after announcing `leaving` is over.
    pub(crate) fn past_grace(&self) -> bool {
        let leaving = *self.leaving_since.lock().unwrap();
        leaving.is_some_and(|at| at.elapsed().as_millis() > crate::count::LEAVE_GRACE_MS)
    }

    /// Waits for as long as the device takes to process one token.
    pub(crate) async fn compute(&self) {
        let due = Instant::now() + Duration::from_millis(self.spec.delay_ms);
        let due = due.max(self.reserve_device());
        if due > Instant::now() {
            tokio::time::sleep_until(due.into()).await;
        }
    }

    fn reserve_device(&self) -> Instant {
        let Kind::Engine { rate, .. } = &self.spec.kind else {
            return Instant::now();
        };
        if *rate == 0 {
            return Instant::now();
        }
        let mut idle_at = self.idle_at.lock().unwrap();
        *idle_at = (*idle_at).max(Instant::now()) + Duration::from_secs(1) / *rate as u32;
        *idle_at
    }

    /// Sends a JSON body. Returns the status and, on success, the parsed response.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<(StatusCode, Option<T>), String> {
        let body = serde_json::to_vec(body).map_err(|e| e.to_string())?;
        let request = Request::post(format!("http://{to}{path}"))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.spec.credential))
            .body(Full::from(body))
            .map_err(|e| e.to_string())?;
        let reply = self.client.request(request).await;
        let reply = reply.map_err(|e| e.to_string())?;
        let status = reply.status();
        let body = reply.into_body().collect().await;
        let bytes = body.map_err(|e| e.to_string())?.to_bytes();
        if !status.is_success() {
            return Ok((status, None));
        }
        let parsed = serde_json::from_slice(&bytes).map_err(|e| e.to_string())?;
        Ok((status, Some(parsed)))
    }
}
