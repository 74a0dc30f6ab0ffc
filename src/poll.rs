//! Runs a [`CatalogueFollower`]: polls the voters for the catalogue.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use crate::catalogue::Past;
use crate::clock::Clock;
use crate::follow::CatalogueFollower;
use crate::message::{Answer, Ask, Follow, Request};
use crate::node::Node;

/// Longest pause before another voter is asked after a failure.
const RETRY: Duration = Duration::from_millis(50);

/// Pollers the catalogue on demand and once a period.
#[derive(Clone)]
pub(crate) struct Poller {
    follower: Arc<Mutex<CatalogueFollower>>,
    node: Node,
    clock: Arc<dyn Clock>,
    /// Time for one voter to answer.
    limit: Duration,
}

impl Poller {
    /// `limit` is the time that one voter has to answer.
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

    /// Recent changes, newest last.
    pub(crate) fn history(&self, most: usize) -> Vec<Past> {
        self.lock().history(most)
    }

    /// Pollers the catalogue within `limit`; false when no voter could.
    pub(crate) async fn refresh(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        loop {
            match timeout_at(end, self.once()).await {
                Ok(true) => return true,
                Ok(false) if Instant::now() + RETRY < end => sleep(RETRY).await,
                _ => return false,
            }
        }
    }

    /// Polls for as long as the runtime lives.
    pub(crate) async fn run(self, period: Duration) {
        loop {
            let confirmed = self.once().await;
            sleep(if confirmed { period } else { RETRY.min(period) }).await;
        }
    }

    async fn once(&self) -> bool {
        let ask = self.lock().ask(self.clock.now());
        let request = Request {
            ask: Some(Ask::Follow(Follow { have: ask.have })),
        };
        let reply = self.node.call(ask.voter, request, self.limit).await;
        let mut follower = self.lock();
        match reply.map(|r| r.answer) {
            Ok(Some(Answer::Feed(feed))) => {
                follower.answered(ask, &feed);
                self.node.learn_voters(&feed.voters);
                follower.learn(&self.node.voters());
                true
            }
            _ => {
                follower.failed(ask);
                false
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, CatalogueFollower> {
        self.follower.lock().expect("no holder panics")
    }
}
