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

/// Request and attempt.
pub(crate) type Key = (String, u64);

/// A later stage forgets a sequence whose first stage is silent for so long.
const IDLE: Duration = Duration::from_secs(10);

/// A sequence that runs here.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) fault: Option<Fault>,
    pub(crate) seen: Instant,
    /// Tokens that went through.
    pub(crate) steps: usize,
    /// Whether this upstream is its first stage.
    pub(crate) leads: bool,
}

/// One emulated upstream.
pub(crate) struct Upstream {
    pub(crate) spec: Spec,
    pub(crate) address: SocketAddr,
    pub(crate) faults: Mutex<Faults>,
    pub(crate) counts: Mutex<Counts>,
    pub(crate) running: Mutex<HashMap<Key, Sequence>>,
    /// When `leaving` was announced.
    pub(crate) leaving: Mutex<Option<Instant>>,
    /// When the device has run all tokens that it was given.
    free: Mutex<Instant>,
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
            leaving: Mutex::default(),
            free: Mutex::new(Instant::now()),
            client: Client::builder(TokioExecutor::new()).build(connector),
        })
    }

    /// Takes a slot; the fault that strikes the sequence comes with it.
    /// None when no slot is free.
    pub(crate) fn start(&self, key: &Key, leads: bool) -> Option<Option<Fault>> {
        let mut running = self.running.lock().unwrap();
        if running.len() >= self.spec.slots {
            running.retain(|_, s| s.leads || s.seen.elapsed() < IDLE);
        }
        if running.len() >= self.spec.slots || running.contains_key(key) {
            return None;
        }
        let fault = self.faults.lock().unwrap().strike();
        let sequence = Sequence {
            fault: fault.clone(),
            seen: Instant::now(),
            steps: 0,
            leads,
        };
        running.insert(key.clone(), sequence);
        Some(fault)
    }

    /// Gives the slot back.
    pub(crate) fn stop(&self, key: &Key) {
        self.running.lock().unwrap().remove(key);
    }

    /// Sequences that run here now.
    pub(crate) fn load(&self) -> usize {
        let mut running = self.running.lock().unwrap();
        running.retain(|_, s| s.leads || s.seen.elapsed() < IDLE);
        running.len()
    }

    /// Whether work that begins now comes too late after `leaving`.
    pub(crate) fn too_late(&self) -> bool {
        let leaving = *self.leaving.lock().unwrap();
        leaving.is_some_and(|at| at.elapsed().as_millis() > crate::count::LEAVE_GRACE_MS)
    }

    /// Waits as long as the device takes for one token.
    pub(crate) async fn compute(&self) {
        let due = Instant::now() + Duration::from_millis(self.spec.delay);
        let due = due.max(self.reserve());
        if due > Instant::now() {
            tokio::time::sleep_until(due.into()).await;
        }
    }

    fn reserve(&self) -> Instant {
        let Kind::Engine { rate, .. } = &self.spec.kind else {
            return Instant::now();
        };
        if *rate == 0 {
            return Instant::now();
        }
        let mut free = self.free.lock().unwrap();
        *free = (*free).max(Instant::now()) + Duration::from_secs(1) / *rate as u32;
        *free
    }

    /// Posts JSON; answers the status and, on success, the parsed body.
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
