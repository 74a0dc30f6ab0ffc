//! Requests between instances: handling of those received, and calls to other
//! instances or to this one.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::allocate::LeaderAllocator;
use crate::catalogue::CatalogueHandle;
use crate::clock::Clock;
use crate::confirm::ReadBatcher;
use crate::id::InstanceId;
use crate::limit;
use crate::message::{
    Answer, Ask, CatalogueReply, CatalogueRequest, ChangeVoter, GroupStatusReply, Propose, Reply,
    Request, VoterChanged,
};
use crate::peer::{Handler, NoReply, Peers, ReplySink};
use crate::replica::{self, Change, Peer, Role};
use crate::voter::{ChangeError, GroupStatus, ProposeError, Voter};

/// Group of the replicated log that holds the catalogue.
pub(crate) const CATALOGUE_GROUP: u32 = 0;

/// First group of the replicated log that holds claims.
pub(crate) const CLAIM_GROUP: u32 = 1;

/// Number of groups that share the claims, each with its own leader. One carries
/// the current load, see docs/CAPACITY.md. Must be the same on all instances and
/// must not change while claims exist.
pub(crate) const CLAIM_SHARDS: u32 = 1;

/// Voter of this instance and the state that it serves.
#[derive(Clone)]
pub(crate) struct LocalVoter {
    /// Replicas of this instance.
    pub(crate) voter: Voter,
    /// Catalogue as applied on this instance.
    pub(crate) catalogue: Arc<CatalogueHandle>,
    /// Confirms reads of the catalogue's group with a quorum.
    pub(crate) read_batcher: ReadBatcher,
    /// Allocator of the shares of the limits, used while this instance leads.
    pub(crate) shares: Arc<LeaderAllocator>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl LocalVoter {
    fn status(&self, group: u32) -> Option<GroupStatus> {
        self.voter.status().into_iter().find(|s| s.group == group)
    }

    /// Returns the known leader of a group, or 0.
    fn leader(&self, group: u32) -> u64 {
        let leader = self.status(group).and_then(|s| s.leader);
        leader.map_or(0, |id| id.0)
    }

    /// Returns the voters of a group according to the membership known here.
    fn voters(&self, group: u32) -> Vec<u64> {
        let members = self.status(group).map(|s| s.members).unwrap_or_default();
        let voting = members.iter().filter(|m| m.role() == Role::Voter);
        voting.map(|m| m.id).collect()
    }

    /// Returns the term in which this instance leads a group, as far as it knows.
    pub(crate) fn leads(&self, group: u32) -> Option<u64> {
        self.status(group).filter(|s| s.leads).map(|s| s.term)
    }
}

struct Inner {
    instance: InstanceId,
    peers: Peers,
    voter: Option<LocalVoter>,
    /// Last known voters. Never empty.
    voters: ArcSwap<Vec<InstanceId>>,
}

/// Endpoint of this instance for requests from and to its peers.
#[derive(Clone)]
pub(crate) struct Node(Arc<Inner>);

impl Node {
    /// Creates a node. `voter` is `None` on an instance without a voter.
    pub(crate) fn new(
        instance: InstanceId,
        peers: Peers,
        voter: Option<LocalVoter>,
        voters: Vec<InstanceId>,
    ) -> Self {
        Self(Arc::new(Inner {
            instance,
            peers,
            voter,
            voters: ArcSwap::from_pointee(voters),
        }))
    }

    /// Returns the last known voters: this instance first if it is one, otherwise in
    /// an order that differs between instances, which distributes the load.
    pub(crate) fn voters(&self) -> Arc<Vec<InstanceId>> {
        self.0.voters.load_full()
    }

    /// Updates the voters from the reply of a voter.
    pub(crate) fn set_voters(&self, voters: &[u64]) {
        let mut voters: Vec<_> = voters.iter().copied().map(InstanceId).collect();
        order_voters(&mut voters, self.0.instance);
        if !voters.is_empty() && voters != *self.voters() {
            self.0.voters.store(Arc::new(voters));
        }
    }

    /// Returns the voter, if this instance has one.
    pub(crate) fn local_voter(&self) -> Option<&LocalVoter> {
        self.0.voter.as_ref()
    }

    /// Sends a request to an instance, which may be this one.
    pub(crate) async fn call(
        &self,
        to: InstanceId,
        request: Request,
        limit: Duration,
    ) -> Result<Reply, NoReply> {
        if to != self.0.instance {
            return self.0.peers.call(to, request, limit).await;
        }
        let (sender, answer) = oneshot::channel();
        self.handle(request, move |reply| {
            let _ = sender.send(reply);
        });
        match timeout(limit, answer).await {
            Ok(Ok(reply)) => Ok(reply),
            _ => Err(NoReply),
        }
    }

    fn handle(&self, request: Request, done: impl FnOnce(Reply) + Send + 'static) {
        let answer = |answer| Reply {
            answer: Some(answer),
        };
        let Some(local) = self.0.voter.clone() else {
            return done(answer(Answer::Unavailable(true)));
        };
        match request.ask {
            Some(Ask::Catalogue(ask)) => send_catalogue(&local, ask, move |a| done(answer(a))),
            Some(Ask::LimitShares(ask)) => grant_shares(&local, ask, move |a| done(answer(a))),
            Some(Ask::Propose(propose)) => commit(&local, propose, move |a| done(answer(a))),
            Some(Ask::ChangeVoter(change)) => {
                change_voter(&local, change, move |a| done(answer(a)))
            }
            Some(Ask::GroupStatus(ask)) => done(answer(group_status(&local, ask.group))),
            // Only controllers handle these.
            Some(Ask::Sync(_) | Ask::Heartbeats(_)) => done(answer(Answer::Unavailable(true))),
            // A request of a later release: without a reply, the caller times out.
            None => {}
        }
    }
}

fn send_catalogue(
    local: &LocalVoter,
    ask: CatalogueRequest,
    done: impl FnOnce(Answer) + Send + 'static,
) {
    let reader = local.clone();
    let read = move |confirmed: bool| {
        if !confirmed {
            return done(Answer::Unavailable(true));
        }
        let voters = reader.voters(CATALOGUE_GROUP);
        let feed = reader.catalogue.feed(ask.applied);
        done(Answer::Catalogue(CatalogueReply::new(feed, voters)));
    };
    local.read_batcher.confirm(Box::new(read));
}

/// Grants shares of the limits if this instance leads in the same term before and
/// after a quorum confirms the leader. It then led at the confirmation, and any
/// later leader starts its allocator after this grant was requested. A deposed
/// leader that doesn't know its successor yet fails this check.
fn grant_shares(
    local: &LocalVoter,
    ask: limit::ShareRequest,
    done: impl FnOnce(Answer) + Send + 'static,
) {
    let Some(term) = local.leads(CATALOGUE_GROUP) else {
        return done(Answer::NotLeader(local.leader(CATALOGUE_GROUP)));
    };
    let reader = local.clone();
    let read = move |confirmed: bool| {
        if !confirmed || reader.leads(CATALOGUE_GROUP) != Some(term) {
            return done(Answer::NotLeader(reader.leader(CATALOGUE_GROUP)));
        }
        let now = reader.clock.now();
        let catalogue = reader.catalogue.catalogue();
        match reader.shares.grant(now, term, &catalogue, &ask) {
            Some(grant) => done(Answer::Grant(grant)),
            None => done(Answer::Unavailable(true)),
        }
    };
    local.read_batcher.confirm(Box::new(read));
}

/// Returns the status of a group if this instance leads it.
fn group_status(local: &LocalVoter, group: u32) -> Answer {
    let Some(status) = local.status(group) else {
        return Answer::Unavailable(true);
    };
    if !status.leads {
        return Answer::NotLeader(status.leader.map_or(0, |id| id.0));
    }
    Answer::GroupStatus(GroupStatusReply {
        members: status.members,
        non_members: status.non_members,
        leader: status.me.id,
    })
}

/// Adds the store that an instance offers, or removes its current store.
fn change_voter(local: &LocalVoter, ask: ChangeVoter, done: impl FnOnce(Answer) + Send + 'static) {
    let Some(status) = local.status(ask.group) else {
        return done(Answer::Unavailable(true));
    };
    if !status.leads {
        return done(Answer::NotLeader(status.leader.map_or(0, |id| id.0)));
    }
    let change = if ask.remove {
        let member = status.members.iter().find(|m| m.id == ask.instance);
        member.map(|m| Change::Remove(m.peer()))
    } else {
        let offered = |p: &Peer| p.id == ask.instance && p.store == ask.store;
        if status.members.iter().any(|m| offered(&m.peer())) {
            return done(Answer::VoterChanged(VoterChanged::Done.into()));
        }
        let non_member = status.non_members.iter().find(|p| offered(p));
        non_member.copied().map(Change::Add)
    };
    let Some(change) = change else {
        return done(Answer::VoterChanged(VoterChanged::NotFound.into()));
    };
    let changed = move |result: Result<(), ChangeError>| {
        done(match result {
            Ok(()) => Answer::VoterChanged(VoterChanged::Done.into()),
            Err(ChangeError::Busy) => Answer::VoterChanged(VoterChanged::Busy.into()),
            Err(ChangeError::Unsafe) => Answer::VoterChanged(VoterChanged::Unsafe.into()),
            Err(ChangeError::Unknown) => Answer::VoterChanged(VoterChanged::Unknown.into()),
            Err(ChangeError::NotLeader { hint }) => Answer::NotLeader(hint.map_or(0, |id| id.0)),
            Err(ChangeError::Stopped) => Answer::Unavailable(true),
        });
    };
    local
        .voter
        .change_member(ask.group, change, Box::new(changed));
}

/// Sorts `voters` and rotates them so that `own` is first if contained, and
/// otherwise a voter that depends on `own`.
pub(crate) fn order_voters(voters: &mut [InstanceId], own: InstanceId) {
    if voters.is_empty() {
        return;
    }
    voters.sort_unstable();
    let at = voters.iter().position(|id| *id == own);
    let other = usize::try_from(own.0).unwrap_or(0) % voters.len();
    voters.rotate_left(at.unwrap_or(other));
}

fn commit(local: &LocalVoter, propose: Propose, done: impl FnOnce(Answer) + Send + 'static) {
    let proposed = move |result: Result<Vec<u8>, ProposeError>| {
        done(match result {
            Ok(reply) => Answer::Committed(reply.into()),
            Err(ProposeError::NotLeader { hint }) => Answer::NotLeader(hint.map_or(0, |id| id.0)),
            Err(ProposeError::Stopped | ProposeError::Busy) => Answer::Unavailable(true),
            Err(ProposeError::Unknown) => Answer::OutcomeUnknown(true),
        });
    };
    let command = propose.command;
    local
        .voter
        .propose(propose.group, command, Box::new(proposed));
}

impl Handler for Node {
    fn deliver(&self, message: replica::Message) {
        if let Some(local) = self.local_voter() {
            local.voter.deliver(message);
        }
    }

    fn request(&self, request: Request, reply: ReplySink) {
        self.handle(request, move |answer| reply.send(answer));
    }
}
