//! Drives a [`CatalogueFollower`]: polls the voters for the catalogue.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use crate::catalogue::PastChange;
use crate::clock::Clock;
use crate::follow::CatalogueFollower;
use crate::message::{Answer, Ask, CatalogueRequest, Request};
use crate::node::Node;

/// Longest delay before another voter is polled after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Polls the catalogue periodically and on demand.
#[derive(Clone)]
pub(crate) struct Poller {
    follower: Arc<Mutex<CatalogueFollower>>,
    node: Node,
    clock: Arc<dyn Clock>,
    /// Timeout of one poll.
    limit: Duration,
}

impl Poller {
    /// `limit` is the timeout of one poll.
    pub(crate) fn new(
        follower: CatalogueFollower,
        node: Node,
        clock: Arc<dyn Clock>,
        limit: Duration,
    ) -> Self {
        Self {
            follower: Arc::new(Mutex::new(follower)),
            node,
            clock,
            limit,
        }
    }

    /// Returns the last changes, at most `most`, newest last.
    pub(crate) fn history(&self, most: usize) -> Vec<PastChange> {
        self.lock().history(most)
    }

    /// Polls until a voter has replied or `limit` has passed. Returns whether one
    /// has replied.
    pub(crate) async fn refresh(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        loop {
            match timeout_at(end, self.poll_once()).await {
                Ok(true) => return true,
                Ok(false) if Instant::now() + RETRY_DELAY < end => sleep(RETRY_DELAY).await,
                _ => return false,
            }
        }
    }

    /// Polls periodically until the runtime shuts down.
    pub(crate) async fn run(self, period: Duration) {
        loop {
            let confirmed = self.poll_once().await;
            sleep(if confirmed {
                period
            } else {
                RETRY_DELAY.min(period)
            })
            .await;
        }
    }

    async fn poll_once(&self) -> bool {
        let poll = self.lock().poll(self.clock.now());
        let request = Request {
            ask: Some(Ask::Catalogue(CatalogueRequest {
                applied: poll.applied,
            })),
        };
        let reply = self.node.call(poll.voter, request, self.limit).await;
        let mut follower = self.lock();
        match reply.map(|r| r.answer) {
            Ok(Some(Answer::Catalogue(feed))) => {
                follower.on_reply(poll, &feed);
                self.node.set_voters(&feed.voters);
                follower.set_voters(&self.node.voters());
                true
            }
            _ => {
                follower.on_failure(poll);
                false
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CatalogueFollower> {
        self.follower.lock().expect("no holder panics")
    }
}
