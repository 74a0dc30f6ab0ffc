//! Periodic tasks of an instance.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::claim::{Reply, Ticker};
use crate::clock::Clock;
use crate::gossip::Fleet;
use crate::message::{Answer, Ask, Request};
use crate::node::Node;
use crate::peer::Peers;
use crate::propose::Proposer;
use crate::serve::Server;
use crate::supervise::{RestartPolicy, Supervisor};

/// Interval at which the time of the claim register is advanced.
const CLAIM_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a request for limit shares.
const SHARE_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which deadlines are checked and rate limits refilled while requests are queued.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The same interval while no requests are queued.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval between two updates of the router's view of the fleet.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Requests shares of the limits from the allocator whenever a request is due.
pub(crate) async fn renew_limit_shares(node: Node, leader: Arc<Proposer>, server: Arc<Server>) {
    loop {
        server.wait_share_request_due().await;
        let Some(ask) = server.share_request() else {
            continue;
        };
        let request = Request {
            ask: Some(Ask::LimitShares(ask)),
        };
        let to = leader.target();
        match node
            .call(to, request, SHARE_TIMEOUT)
            .await
            .map(|r| r.answer)
        {
            Ok(Some(Answer::Grant(grant))) => server.apply_grant(&grant),
            Ok(Some(Answer::NotLeader(hint))) => leader.set_leader_hint(to, hint),
            _ => leader.set_leader_hint(to, 0),
        }
    }
}

/// Advances the time of a claim register while this instance leads its group.
pub(crate) async fn run_claim_ticks(
    node: Node,
    group: u32,
    claims: Arc<Proposer>,
    clock: Arc<dyn Clock>,
) {
    let mut ticker = Ticker::new(CLAIM_TICK_INTERVAL);
    loop {
        tokio::time::sleep(CLAIM_TICK_INTERVAL).await;
        let leads = node.local_voter().and_then(|v| v.leads(group)).is_some();
        let action = ticker.poll(clock.now()).filter(|_| leads);
        let Some(action) = action else { continue };
        let reply = claims
            .propose(action.into_bytes().into(), CLAIM_TICK_INTERVAL)
            .await;
        if let Some(Reply::Ticked(ticked)) = reply.ok().and_then(|r| Reply::from_bytes(&r)) {
            ticker.on_reply(clock.now(), ticked);
        }
    }
}

/// Starts the thread that passes the state of the fleet to routing and the peer connections.
pub(crate) fn start_view_refresh(
    supervisor: &Supervisor,
    server: &Arc<Server>,
    fleet: &Fleet,
    peers: &Peers,
) {
    let server = Arc::clone(server);
    let fleet = fleet.clone();
    let peers = peers.clone();
    supervisor.start("views", RestartPolicy::Restart, move || {
        let mut last_view = Instant::now();
        loop {
            thread::sleep(if server.queued() > 0 {
                BUSY_TICK_INTERVAL
            } else {
                IDLE_TICK_INTERVAL
            });
            server.tick();
            if last_view.elapsed() >= VIEW_INTERVAL {
                last_view = Instant::now();
                server.refresh_upstreams();
                for member in &fleet.members().members {
                    peers.set_address(member.id, member.peer);
                }
            }
        }
    });
}
