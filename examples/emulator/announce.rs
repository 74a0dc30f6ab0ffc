//! Announcements, renewed as the instance asks, and the way out on SIGTERM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::sync::watch;

use crate::protocol::Renew;
use crate::upstream::Upstream;

const RENEW: Duration = Duration::from_secs(1);
const RETRY: Duration = Duration::from_millis(100);
const TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between looks at the running work while leaving.
const LOOK: Duration = Duration::from_millis(20);

/// Announces one upstream.
pub(crate) struct Announcer {
    upstream: Arc<Upstream>,
    incarnation: u64,
    sequence: u64,
    /// Index of the control address that answered last.
    at: usize,
}

impl Announcer {
    pub(crate) fn new(upstream: Arc<Upstream>) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            upstream,
            incarnation: since.map_or(0, |d| d.as_millis() as u64),
            sequence: 0,
            at: 0,
        }
    }

    /// Announces `up` until told to stop; then leaves once the work is done.
    pub(crate) async fn run(mut self, mut stop: watch::Receiver<bool>) {
        while !*stop.borrow() {
            let pause = self.renew("up").await;
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                _ = stop.changed() => {}
            }
        }
        self.leave().await;
    }

    async fn leave(&mut self) {
        let begin = Instant::now();
        *self.upstream.leaving.lock().unwrap() = Some(begin);
        let linger = Duration::from_millis(self.upstream.spec.linger);
        let mut due = begin;
        while begin.elapsed() < linger || self.upstream.load() > 0 {
            if Instant::now() >= due {
                due = Instant::now() + self.renew("leaving").await;
            }
            tokio::time::sleep(LOOK).await;
        }
        self.renew("gone").await;
        let totals = json!(self.upstream.counts.lock().unwrap().totals);
        eprintln!("gone {totals}");
    }

    /// Announces once; answers the pause until the next time.
    async fn renew(&mut self, state: &str) -> Duration {
        if self.upstream.faults.lock().unwrap().mute() {
            return RENEW;
        }
        let count = self.upstream.spec.announce.len();
        for _ in 0..count {
            let to = self.upstream.spec.announce[self.at % count];
            if let Some(pause) = self.post(to, state).await {
                return pause;
            }
            self.at += 1;
        }
        if count == 0 { RENEW } else { RETRY }
    }

    async fn post(&mut self, to: SocketAddr, state: &str) -> Option<Duration> {
        self.sequence += 1;
        let spec = &self.upstream.spec;
        let body = json!({
            "id": spec.id,
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "address": spec.advertise.unwrap_or(self.upstream.address).to_string(),
            "domain": spec.domain,
            "pool": spec.pool,
            "state": state,
            "serves": spec.serves(),
            "load": {"running": self.upstream.load(), "waiting": 0},
        });
        let reply = self.upstream.post::<Renew>(to, "/v1/upstreams", &body);
        match tokio::time::timeout(TIMEOUT, reply).await {
            Ok(Ok((_, Some(renew)))) => Some(Duration::from_millis(renew.renew)),
            Ok(Ok((status, None))) => {
                eprintln!("{}: {to} answers {status}", spec.id);
                None
            }
            _ => None,
        }
    }
}
