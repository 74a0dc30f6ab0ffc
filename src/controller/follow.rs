//! Follows the leader, so that this controller can answer entry instances.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::Controller;
use crate::event;
use crate::id::InstanceId;
use crate::message::{Answer, Ask, Request};
use crate::role::{self, RoleSettings};

/// Interval between two requests to the leader while followers answer entry instances. What they
/// tell is older by at most this time than what the leader would tell. With loads that were older by
/// 0.3 s, requests crowded engines that seemed free, and one in 200 more was late on a busy day.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval while the leader answers all entry instances itself.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval while the leader has more of the roster to send.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which the seeds in the settings are read.
const SEEDS_INTERVAL: Duration = Duration::from_secs(5);

/// Timeout for the leader's reply. A lost packet is retransmitted after 200 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

impl Controller {
    /// Follows the leader for as long as the controller runs.
    pub(super) async fn follow_leader(self: Arc<Self>) {
        let mut changes = self.voter.leader_changes();
        let mut hint = None;
        for round in 0.. {
            if self.shutting_down.load(Ordering::Relaxed) {
                return;
            }
            let known = self.leader_info().leader.or(hint);
            let target = known.or_else(|| self.contact(round));
            let target = target.filter(|id| *id != self.id());
            let interval = match target {
                Some(leader) if self.leader_info().term.is_none() => {
                    hint = self.poll_leader(leader).await;
                    self.poll_interval()
                }
                _ => POLL_INTERVAL,
            };
            let _ = timeout(interval, changes.changed()).await;
        }
    }

    /// Reads the seeds in the settings again and again. The file may change without a signal, and
    /// controllers that were added may know none but the seeds that it names.
    pub(super) async fn follow_seeds(self: Arc<Self>, settings: RoleSettings) {
        while !self.shutting_down.load(Ordering::Relaxed) {
            sleep(SEEDS_INTERVAL).await;
            match settings.boot() {
                Ok(boot) => {
                    let seeds = role::seeds(&boot);
                    self.voter.set_contacts(&seeds);
                    self.seeds.store(Arc::new(seeds));
                }
                // The signal that tells of a change is logged with the reason.
                Err(e) => tracing::debug!("settings not read: {e}"),
            }
        }
    }

    /// Returns an instance that may know the leader, another one each round: a seed, or a member
    /// that this controller was told of. Later settings may name seeds that know no leader.
    fn contact(&self, round: usize) -> Option<InstanceId> {
        let members = self.status().map(|s| s.known_members);
        let members = members.into_iter().flatten().map(InstanceId);
        let seeds = self.seeds.load();
        let contacts: Vec<_> = seeds.iter().copied().chain(members).collect();
        contacts.get(round.checked_rem(contacts.len())?).copied()
    }

    fn poll_interval(&self) -> Duration {
        let follower = self.follower();
        match (follower.delegated(), follower.has_more()) {
            (_, true) => CATCH_UP_INTERVAL,
            (true, false) => POLL_INTERVAL,
            (false, false) => IDLE_INTERVAL,
        }
    }

    /// Sends the leader a request and applies the reply. Returns the leader to ask next, if known.
    async fn poll_leader(&self, leader: InstanceId) -> Option<InstanceId> {
        let (request, report) = self.follower().request(self.now(), leader);
        let request = Request {
            ask: Some(Ask::Sync(Box::new(request))),
        };
        let reply = self.peers.call(leader, request, ANSWER_TIMEOUT).await;
        match reply.ok()?.answer? {
            Answer::Sync(reply) => {
                let now = self.now();
                let mut follower = self.follower();
                let (term, version) = (reply.term, reply.version);
                match follower.check(*reply) {
                    Some(current) => follower.apply(now, &report, current),
                    None => tracing::info!(
                        event = event::SYNC_REJECTED.id,
                        leader = leader.0,
                        term,
                        version,
                        "response of a controller rejected"
                    ),
                }
                Some(leader)
            }
            Answer::NotLeader(hint) if hint != 0 => Some(InstanceId(hint)),
            _ => None,
        }
    }
}
