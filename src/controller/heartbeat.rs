//! Heartbeats of upstreams: applied by the leader, forwarded to it by the other controllers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::leader::LeaderState;
use super::{Controller, TICK_INTERVAL, place};
use crate::event;
use crate::message::{Answer, Ask, Request};
use crate::metric;
use crate::relay::{Heartbeats, HeartbeatsReply};
use crate::roster::{AnnounceOutcome, Announcement, RefreshOutcome, StaleReason};

/// Time for which heartbeats are collected before they are forwarded. With 3,000 engines a
/// follower receives five in it. Changes reach the entry instances later by at most this time.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Timeout for forwarding heartbeats to the leader. A lost packet is retransmitted after
/// 200 ms; after this timeout the sender still has the time to call the leader itself.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(350);

/// How a heartbeat was delivered to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// This controller leads.
    Local,
    /// The leader accepted it.
    Forwarded,
    /// The leader did not accept it in time.
    Failed,
}

impl Delivery {
    /// Returns the label in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Local => "led",
            Self::Forwarded => "passed",
            Self::Failed => "refused",
        }
    }
}

/// Tells the sender's handler whether the leader has the heartbeat.
pub(super) type AckSender = oneshot::Sender<bool>;

impl Controller {
    /// Applies an announcement if this controller leads, else forwards it. Returns whether the
    /// leader has it.
    ///
    /// The upstream is acknowledged only then: if it kept sending to a controller that is cut
    /// off from the leader, it would be removed for its silence.
    pub(super) async fn handle_announcement(&self, announcement: Announcement) -> bool {
        let delivery = if let Some(mut state) = self.state_if_leading() {
            self.record_heartbeat(&mut state, announcement);
            Delivery::Local
        } else {
            let (sender, reply) = oneshot::channel();
            self.relay().push(announcement, sender);
            self.relay_notify.notify_one();
            match reply.await {
                Ok(true) => Delivery::Forwarded,
                Ok(false) | Err(_) => Delivery::Failed,
            }
        };
        metrics::counter!(metric::HEARTBEATS.name, "way" => delivery.name()).increment(1);
        delivery != Delivery::Failed
    }

    fn record_heartbeat(&self, state: &mut LeaderState, announcement: Announcement) {
        let (id, address, layers) = (
            announcement.id.clone(),
            announcement.address,
            announcement.layers,
        );
        let position = announcement.position();
        let outcome = state.announce(self.now(), announcement);
        place::report_ended(state);
        match outcome {
            AnnounceOutcome::New => tracing::info!(
                event = event::UPSTREAM_JOINED.id,
                upstream = %id,
                %address,
                ?layers,
                "upstream joined"
            ),
            AnnounceOutcome::Known => {}
            AnnounceOutcome::Stale(reason) => report_stale(state, &id, position, reason),
        }
    }

    /// Forwards heartbeats for as long as the controller runs.
    pub(super) async fn forward_heartbeats(self: Arc<Self>) {
        while !self.shutting_down.load(Ordering::Relaxed) {
            // The timeout lets the loop end after a failure of the store, so that the
            // replaced controller is dropped.
            let _ = timeout(TICK_INTERVAL, self.relay_notify.notified()).await;
            while !self.relay().is_empty() {
                if !self.relay().has_full() {
                    sleep(BATCH_DELAY).await;
                }
                self.forward_batch().await;
            }
        }
    }

    async fn forward_batch(&self) {
        let batch = self.relay().batch();
        let count = batch.digests.len() + batch.full.len();
        let reply = self.send_to_leader(batch).await;
        let acknowledged = match &reply {
            Some(reply) => self.relay().acknowledge(count, reply),
            None => self.relay().abandon(),
        };
        for waiter in acknowledged {
            // A sender that has disconnected calls another controller.
            let _ = waiter.send(reply.is_some());
        }
    }

    async fn send_to_leader(&self, batch: Heartbeats) -> Option<HeartbeatsReply> {
        let leader = self.known_leader().filter(|l| *l != self.id())?;
        let request = Request {
            ask: Some(Ask::Heartbeats(batch)),
        };
        match self
            .peers
            .call(leader, request, FORWARD_TIMEOUT)
            .await
            .ok()?
            .answer
        {
            Some(Answer::Heartbeats(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Applies heartbeats that another controller forwarded, or returns the leader.
    pub(super) fn receive_heartbeats(&self, batch: Heartbeats) -> Answer {
        let Some(mut state) = self.state_if_leading() else {
            return Answer::NotLeader(self.known_leader().map_or(0, |l| l.0));
        };
        let now = self.now();
        let mut unknown = Vec::new();
        for digest in &batch.digests {
            match state.refresh(now, digest) {
                RefreshOutcome::Applied => {}
                RefreshOutcome::Unknown => unknown.push(digest.id.clone()),
                RefreshOutcome::Stale(reason) => {
                    let position = (digest.born, digest.sequence);
                    report_stale(&state, &digest.id, position, reason);
                }
            }
        }
        for announcement in batch.full {
            // Incomplete announcements were sent by another release and are ignored.
            if let Some(announcement) = announcement.announcement() {
                self.record_heartbeat(&mut state, announcement);
            }
        }
        Answer::Heartbeats(HeartbeatsReply { unknown })
    }
}

/// Logs and counts a stale heartbeat with this incarnation and sequence number.
fn report_stale(state: &LeaderState, id: &str, (born, sequence): (u64, u64), reason: StaleReason) {
    let reason = reason.name();
    let known = state.known_position(id);
    metrics::counter!(metric::STALE_HEARTBEATS.name, "reason" => reason).increment(1);
    tracing::info!(
        event = event::HEARTBEAT_STALE.id,
        upstream = id,
        born,
        sequence,
        known_born = known.map(|k| k.0),
        known_sequence = known.map(|k| k.1),
        reason,
        "stale heartbeat"
    );
}
