//! Heartbeats of upstreams: taken in by the leader, passed on to it by the others.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::board::Board;
use super::{Controller, TICK};
use crate::event;
use crate::message::{Answer, Ask, Request};
use crate::metric;
use crate::relay::{Heartbeats, Taken};
use crate::roster::{Announcement, Heard};

/// Time for which heartbeats are gathered before they are passed on. At 3,000
/// engines a follower takes five in it; what is new waits no longer on its way to
/// the entry instances.
const GATHER: Duration = Duration::from_millis(10);

/// Longest wait for the leader to take heartbeats. A lost packet is sent again
/// after 200 ms; after this time the sender can still ask the leader itself.
const TAKE: Duration = Duration::from_millis(350);

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// This controller leads.
    Led,
    /// The leader has it.
    Passed,
    /// The leader didn't take it in time.
    Refused,
}

impl Way {
    /// As metrics name it.
    fn name(self) -> &'static str {
        match self {
            Self::Led => "led",
            Self::Passed => "passed",
            Self::Refused => "refused",
        }
    }
}

/// Tells who waits whether the leader has the heartbeat.
pub(super) type Waiter = oneshot::Sender<bool>;

impl Controller {
    /// Takes in an announcement if this controller leads, else passes it on.
    /// Returns whether the leader has it.
    ///
    /// An upstream is acknowledged only then: one that stayed with a controller
    /// that is cut off from the leader would be dropped for its silence.
    pub(super) async fn hear(&self, news: Announcement) -> bool {
        let way = if let Some(mut board) = self.leading() {
            self.note(&mut board, news);
            Way::Led
        } else {
            let (sender, taken) = oneshot::channel();
            self.relay().take(news, sender);
            self.relayed.notify_one();
            match taken.await {
                Ok(true) => Way::Passed,
                Ok(false) | Err(_) => Way::Refused,
            }
        };
        metrics::counter!(metric::HEARTBEATS.name, "way" => way.name()).increment(1);
        way != Way::Refused
    }

    fn note(&self, board: &mut Board, news: Announcement) {
        let (id, address, layers) = (news.id.clone(), news.address, news.layers);
        if board.hear(self.now(), news) == Heard::New {
            tracing::info!(
                event = event::UPSTREAM_JOINED.id,
                upstream = %id,
                %address,
                ?layers,
                "upstream joined"
            );
        }
    }

    /// Passes heartbeats on for as long as the controller runs.
    pub(super) async fn pass_on(self: Arc<Self>) {
        while !self.ending.load(Ordering::Relaxed) {
            // One whose store failed is replaced and must be dropped.
            let _ = timeout(TICK, self.relayed.notified()).await;
            while !self.relay().is_empty() {
                if !self.relay().is_asked() {
                    sleep(GATHER).await;
                }
                self.pass_batch().await;
            }
        }
    }

    async fn pass_batch(&self) {
        let batch = self.relay().batch();
        let count = batch.pulses.len() + batch.news.len();
        let taken = self.ask_leader(batch).await;
        let done = match &taken {
            Some(taken) => self.relay().taken(count, taken),
            None => self.relay().give_up(),
        };
        for waiter in done {
            // A sender that has gone away asks another controller.
            let _ = waiter.send(taken.is_some());
        }
    }

    async fn ask_leader(&self, batch: Heartbeats) -> Option<Taken> {
        let leader = self.lead().leader.filter(|l| *l != self.id())?;
        let request = Request {
            ask: Some(Ask::Heartbeats(batch)),
        };
        match self.peers.call(leader, request, TAKE).await.ok()?.answer {
            Some(Answer::Heartbeats(taken)) => Some(taken),
            _ => None,
        }
    }

    /// Takes in what another controller passes on, or names the leader.
    pub(super) fn take_heartbeats(&self, batch: Heartbeats) -> Answer {
        let Some(mut board) = self.leading() else {
            return Answer::NotLeader(self.lead().leader.map_or(0, |l| l.0));
        };
        let now = self.now();
        let unknown = batch.pulses.iter().filter(|p| !board.pulse(now, p));
        let unknown = unknown.map(|p| p.id.clone()).collect();
        for news in batch.news {
            // What lacks a part is of another release and can't be used.
            if let Some(news) = news.announcement() {
                self.note(&mut board, news);
            }
        }
        Answer::Heartbeats(Taken { unknown })
    }
}
