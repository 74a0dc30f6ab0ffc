//! Periodic announcements at the interval the instance asks for, and the graceful
//! shutdown on SIGTERM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::sync::watch;

use crate::protocol::AnnounceReply;
use crate::upstream::Upstream;

/// Interval while announcements are suppressed or have no recipient.
const DEFAULT_INTERVAL: Duration = Duration::from_secs(1);
const RETRY_DELAY: Duration = Duration::from_millis(100);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks for running work while leaving.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Sends the announcements of one upstream.
pub(crate) struct Announcer {
    upstream: Arc<Upstream>,
    incarnation: u64,
    sequence: u64,
    /// Index of the control address that last accepted an announcement.
    target: usize,
}

impl Announcer {
    pub(crate) fn new(upstream: Arc<Upstream>) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            upstream,
            incarnation: since.map_or(0, |d| d.as_millis() as u64),
            sequence: 0,
            target: 0,
        }
    }

    /// Announces `up` until `stop` is set, then leaves once the running work has ended.
    pub(crate) async fn run(mut self, mut stop: watch::Receiver<bool>) {
        while !*stop.borrow() {
            let interval = self.announce("up").await;
            tokio::select! {
                () = tokio::time::sleep(interval) => {}
                _ = stop.changed() => {}
            }
        }
        self.leave().await;
    }

    async fn leave(&mut self) {
        let begin = Instant::now();
        *self.upstream.leaving_since.lock().unwrap() = Some(begin);
        let linger = Duration::from_millis(self.upstream.spec.linger_ms);
        let mut due = begin;
        while begin.elapsed() < linger || self.upstream.load() > 0 {
            if Instant::now() >= due {
                due = Instant::now() + self.announce("leaving").await;
            }
            tokio::time::sleep(DRAIN_POLL).await;
        }
        self.announce("gone").await;
        let totals = json!(self.upstream.counts.lock().unwrap().totals);
        eprintln!("gone {totals}");
    }

    /// Announces the state to the first instance that accepts it. Returns the time until the
    /// next announcement.
    async fn announce(&mut self, state: &str) -> Duration {
        if self.upstream.faults.lock().unwrap().skip_announcement() {
            return DEFAULT_INTERVAL;
        }
        let count = self.upstream.spec.announce.len();
        for _ in 0..count {
            let to = self.upstream.spec.announce[self.target % count];
            if let Some(interval) = self.send(to, state).await {
                return interval;
            }
            self.target += 1;
        }
        if count == 0 {
            DEFAULT_INTERVAL
        } else {
            RETRY_DELAY
        }
    }

    async fn send(&mut self, to: SocketAddr, state: &str) -> Option<Duration> {
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
        let reply = self
            .upstream
            .post::<AnnounceReply>(to, "/v1/upstreams", &body);
        match tokio::time::timeout(REQUEST_TIMEOUT, reply).await {
            Ok(Ok((_, Some(reply)))) => Some(Duration::from_millis(reply.renew)),
            Ok(Ok((status, None))) => {
                eprintln!("{}: {to} rejected the announcement: {status}", spec.id);
                None
            }
            _ => None,
        }
    }
}
