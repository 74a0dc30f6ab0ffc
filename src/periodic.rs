//! What an instance does again and again for as long as it runs.

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
use crate::supervise::{Policy, Supervisor};

/// Period of moving the claims' time on.
const CLAIM_TICK: Duration = Duration::from_secs(1);

/// Time for the allocator to answer.
const SHARE_LIMIT: Duration = Duration::from_secs(1);

/// Period of passing deadlines and refilling rates.
const TICK: Duration = Duration::from_millis(20);

/// The same while nothing waits.
const IDLE_TICK: Duration = Duration::from_millis(50);

/// Least time between two views that the router gets.
const VIEW: Duration = Duration::from_millis(100);

/// Asks for shares of the limits whenever a question is due.
pub(crate) async fn keep_shares(node: Node, leader: Arc<Proposer>, server: Arc<Server>) {
    loop {
        server.wait_share_request_due().await;
        let Some(ask) = server.share_request() else {
            continue;
        };
        let request = Request {
            ask: Some(Ask::LimitShares(ask)),
        };
        let to = leader.target();
        match node.call(to, request, SHARE_LIMIT).await.map(|r| r.answer) {
            Ok(Some(Answer::Grant(grant))) => server.apply_grant(&grant),
            Ok(Some(Answer::NotLeader(hint))) => leader.set_leader_hint(to, hint),
            _ => leader.set_leader_hint(to, 0),
        }
    }
}

/// Moves the claims' time on while this instance leads their group.
pub(crate) async fn keep_claims(
    node: Node,
    group: u32,
    claims: Arc<Proposer>,
    clock: Arc<dyn Clock>,
) {
    let mut ticker = Ticker::new(CLAIM_TICK);
    loop {
        tokio::time::sleep(CLAIM_TICK).await;
        let leads = node.local_voter().and_then(|v| v.leads(group)).is_some();
        let action = ticker.poll(clock.now()).filter(|_| leads);
        let Some(action) = action else { continue };
        let reply = claims.propose(action.into_bytes().into(), CLAIM_TICK).await;
        if let Some(Reply::Ticked(ticked)) = reply.ok().and_then(|r| Reply::from_bytes(&r)) {
            ticker.on_reply(clock.now(), ticked);
        }
    }
}

/// Hands what the fleet knows to routing and to the connections.
pub(crate) fn start_views(
    supervisor: &Supervisor,
    server: &Arc<Server>,
    fleet: &Fleet,
    peers: &Peers,
) {
    let server = Arc::clone(server);
    let fleet = fleet.clone();
    let peers = peers.clone();
    supervisor.start("views", Policy::Restart, move || {
        let mut viewed = Instant::now();
        loop {
            thread::sleep(if server.queued() > 0 { TICK } else { IDLE_TICK });
            server.tick();
            if viewed.elapsed() >= VIEW {
                viewed = Instant::now();
                server.refresh_upstreams();
                for member in &fleet.members().members {
                    peers.set_address(member.id, member.peer);
                }
            }
        }
    });
}
