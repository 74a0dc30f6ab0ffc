//! What one instance answers to the others, and how it asks them or itself.

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

/// Groups that the claims are spread over. Each has a leader of its own; one
/// carries today's load, see docs/CAPACITY.md. It must be the same on all
/// instances, and stay so while claims live.
pub(crate) const CLAIM_SHARDS: u32 = 1;

/// The voter of an instance that has one.
#[derive(Clone)]
pub(crate) struct LocalVoter {
    /// The replicas of this instance.
    pub(crate) voter: Voter,
    /// The catalogue as applied here.
    pub(crate) catalogue: Arc<CatalogueHandle>,
    /// Confirms reads of the catalogue's group.
    pub(crate) read_batcher: ReadBatcher,
    /// Shares of the limits, while this instance leads.
    pub(crate) shares: Arc<LeaderAllocator>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl LocalVoter {
    fn status(&self, group: u32) -> Option<GroupStatus> {
        self.voter.status().into_iter().find(|s| s.group == group)
    }

    /// The leader of a group as known here, or 0.
    fn leader(&self, group: u32) -> u64 {
        let leader = self.status(group).and_then(|s| s.leader);
        leader.map_or(0, |id| id.0)
    }

    /// The voters of a group, as its membership stands here.
    fn voters(&self, group: u32) -> Vec<u64> {
        let members = self.status(group).map(|s| s.members).unwrap_or_default();
        let voting = members.iter().filter(|m| m.role() == Role::Voter);
        voting.map(|m| m.id).collect()
    }

    /// The term in which this instance leads a group, as far as it knows.
    pub(crate) fn leads(&self, group: u32) -> Option<u64> {
        self.status(group).filter(|s| s.leads).map(|s| s.term)
    }
}

struct Inner {
    instance: InstanceId,
    peers: Peers,
    voter: Option<LocalVoter>,
    /// Voters as last heard of. Never empty.
    voters: ArcSwap<Vec<InstanceId>>,
}

/// This instance among its peers.
#[derive(Clone)]
pub(crate) struct Node(Arc<Inner>);

impl Node {
    /// `voter` is `None` on an instance without a voter.
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

    /// Voters as last heard of: this instance first if it is one, else in an
    /// order that differs from instance to instance, so that load spreads.
    pub(crate) fn voters(&self) -> Arc<Vec<InstanceId>> {
        self.0.voters.load_full()
    }

    /// Learns the voters from a voter's answer.
    pub(crate) fn set_voters(&self, voters: &[u64]) {
        let mut voters: Vec<_> = voters.iter().copied().map(InstanceId).collect();
        order_voters(&mut voters, self.0.instance);
        if !voters.is_empty() && voters != *self.voters() {
            self.0.voters.store(Arc::new(voters));
        }
    }

    /// The voter, on an instance that has one.
    pub(crate) fn local_voter(&self) -> Option<&LocalVoter> {
        self.0.voter.as_ref()
    }

    /// Asks an instance, which may be this one.
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
            Some(Ask::Catalogue(request)) => {
                send_catalogue(&local, request, move |a| done(answer(a)))
            }
            Some(Ask::LimitShares(ask)) => grant_shares(&local, ask, move |a| done(answer(a))),
            Some(Ask::Propose(propose)) => commit(&local, propose, move |a| done(answer(a))),
            Some(Ask::ChangeVoter(change)) => {
                change_voter(&local, change, move |a| done(answer(a)))
            }
            Some(Ask::GroupStatus(ask)) => done(answer(group_status(&local, ask.group))),
            // Only controllers know it.
            Some(Ask::Sync(_) | Ask::Heartbeats(_)) => done(answer(Answer::Unavailable(true))),
            // Of a later release: no answer is the only honest one.
            None => {}
        }
    }
}

fn send_catalogue(
    local: &LocalVoter,
    request: CatalogueRequest,
    done: impl FnOnce(Answer) + Send + 'static,
) {
    let reader = local.clone();
    let read = move |confirmed: bool| {
        if !confirmed {
            return done(Answer::Unavailable(true));
        }
        let voters = reader.voters(CATALOGUE_GROUP);
        let feed = reader.catalogue.feed(request.applied);
        done(Answer::Catalogue(CatalogueReply::new(feed, voters)));
    };
    local.read_batcher.confirm(Box::new(read));
}

/// Grants shares, if this instance leads in one and the same term before and
/// after a quorum has confirmed the leader. Then it led at the confirmation,
/// and whoever leads later starts its allocator later than this grant's
/// question was sent. A former leader that doesn't know yet can't pass.
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

/// The state of a group, if this instance leads it.
fn group_status(local: &LocalVoter, group: u32) -> Answer {
    let Some(status) = local.status(group) else {
        return Answer::Unavailable(true);
    };
    if !status.leads {
        return Answer::NotLeader(status.leader.map_or(0, |id| id.0));
    }
    Answer::GroupStatus(GroupStatusReply {
        members: status.members,
        strangers: status.strangers,
        leader: status.me.id,
    })
}

/// Adds the store that an instance offers, or removes the one it has.
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
        let stranger = status.strangers.iter().find(|p| offered(p));
        stranger.copied().map(Change::Add)
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

/// Puts `own` first if it is among `voters`; else begins at a place that
/// depends on it.
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
