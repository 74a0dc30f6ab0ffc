//! What one instance answers to the others, and how it asks them or itself.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::allocate::Allocation;
use crate::catalogue::{Feed, Shared};
use crate::clock::Clock;
use crate::id::InstanceId;
use crate::limit;
use crate::message::{Answer, Ask, Command, FeedReply, Follow, Propose, Reply, Request};
use crate::peer::{Handler, NoReply, Peers, ReplySink};
use crate::replica;
use crate::voter::{GroupStatus, ProposeError, Voter};

/// Group of the replicated log that holds the catalogue.
pub(crate) const CATALOGUE_GROUP: u32 = 0;

/// First group of the replicated log that holds claims.
pub(crate) const CLAIM_GROUP: u32 = 1;

/// Groups that the claims are spread over. Each has a leader of its own; one
/// carries today's load, see docs/CAPACITY.md. It must be the same on all
/// instances, and stay so while claims live.
pub(crate) const CLAIM_SHARDS: u32 = 1;

/// The vote of an instance that has one.
#[derive(Clone)]
pub(crate) struct Vote {
    /// The replicas of this instance.
    pub(crate) voter: Voter,
    /// The catalogue as applied here.
    pub(crate) catalogue: Arc<Shared>,
    /// Shares of the limits, while this instance leads.
    pub(crate) shares: Arc<Allocation>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl Vote {
    fn status(&self, group: u32) -> Option<GroupStatus> {
        self.voter.status().into_iter().find(|s| s.group == group)
    }

    /// The leader of a group as known here, or 0.
    fn leader(&self, group: u32) -> u64 {
        let leader = self.status(group).and_then(|s| s.leader);
        leader.map_or(0, |id| id.0)
    }

    /// The term in which this instance leads a group, as far as it knows.
    pub(crate) fn leads(&self, group: u32) -> Option<u64> {
        self.status(group).filter(|s| s.leads).map(|s| s.term)
    }
}

struct Inner {
    instance: InstanceId,
    peers: Peers,
    vote: Option<Vote>,
}

/// This instance among its peers.
#[derive(Clone)]
pub(crate) struct Node(Arc<Inner>);

impl Node {
    /// `vote` is `None` on an instance without a vote.
    pub(crate) fn new(instance: InstanceId, peers: Peers, vote: Option<Vote>) -> Self {
        Self(Arc::new(Inner {
            instance,
            peers,
            vote,
        }))
    }

    /// The vote, on an instance that has one.
    pub(crate) fn vote(&self) -> Option<&Vote> {
        self.0.vote.as_ref()
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
        let Some(vote) = self.0.vote.clone() else {
            return done(answer(Answer::Unavailable(true)));
        };
        match request.ask {
            Some(Ask::Follow(follow)) => feed(&vote, follow, move |a| done(answer(a))),
            Some(Ask::Share(ask)) => share(&vote, ask, move |a| done(answer(a))),
            Some(Ask::Propose(propose)) => commit(&vote, propose, move |a| done(answer(a))),
            // Of a later release: no answer is the only honest one.
            None => {}
        }
    }
}

fn feed(vote: &Vote, follow: Follow, done: impl FnOnce(Answer) + Send + 'static) {
    let reader = vote.clone();
    let read = move |confirmed: Result<u64, _>| {
        if confirmed.is_err() {
            return done(Answer::Unavailable(true));
        }
        let leader = reader.leader(CATALOGUE_GROUP);
        done(Answer::Feed(reply(
            reader.catalogue.feed(follow.have),
            leader,
        )));
    };
    vote.voter.read(CATALOGUE_GROUP, Box::new(read));
}

fn reply(feed: Feed, leader: u64) -> FeedReply {
    match feed {
        Feed::Snapshot(snapshot) => FeedReply {
            commands: Vec::new(),
            snapshot: snapshot.into(),
            leader,
        },
        Feed::Commands(commands) => FeedReply {
            commands: commands
                .into_iter()
                .map(|(index, command)| Command {
                    index,
                    command: command.into(),
                })
                .collect(),
            snapshot: Bytes::new(),
            leader,
        },
    }
}

/// Grants shares, if this instance leads in one and the same term before and
/// after a quorum has confirmed the leader. Then it led at the confirmation,
/// and whoever leads later starts its allocator later than this grant's
/// question was sent. A former leader that doesn't know yet can't pass.
fn share(vote: &Vote, ask: limit::Ask, done: impl FnOnce(Answer) + Send + 'static) {
    let Some(term) = vote.leads(CATALOGUE_GROUP) else {
        return done(Answer::NotLeader(vote.leader(CATALOGUE_GROUP)));
    };
    let reader = vote.clone();
    let read = move |confirmed: Result<u64, _>| {
        if confirmed.is_err() || reader.leads(CATALOGUE_GROUP) != Some(term) {
            return done(Answer::NotLeader(reader.leader(CATALOGUE_GROUP)));
        }
        let now = reader.clock.now();
        let catalogue = reader.catalogue.catalogue();
        match reader.shares.grant(now, term, &catalogue, &ask) {
            Some(grant) => done(Answer::Grant(grant)),
            None => done(Answer::Unavailable(true)),
        }
    };
    vote.voter.read(CATALOGUE_GROUP, Box::new(read));
}

fn commit(vote: &Vote, propose: Propose, done: impl FnOnce(Answer) + Send + 'static) {
    let proposed = move |result: Result<Vec<u8>, ProposeError>| {
        done(match result {
            Ok(reply) => Answer::Committed(reply.into()),
            Err(ProposeError::NotLeader { hint }) => Answer::NotLeader(hint.map_or(0, |id| id.0)),
            Err(ProposeError::Stopped | ProposeError::Busy) => Answer::Unavailable(true),
            Err(ProposeError::Unknown) => Answer::Unknown(true),
        });
    };
    let command = propose.command;
    vote.voter
        .propose(propose.group, command, Box::new(proposed));
}

impl Handler for Node {
    fn deliver(&self, message: replica::Message) {
        if let Some(vote) = self.vote() {
            vote.voter.deliver(message);
        }
    }

    fn request(&self, request: Request, reply: ReplySink) {
        self.handle(request, move |answer| reply.send(answer));
    }
}
