//! Keeps an instance's catalogue and its lease current.
//!
//! Each instance, voter or not, periodically polls a voter for the commands that
//! it lacks. A voter answers only after a quorum has confirmed its leader after
//! the request arrived, so the reply contains everything accepted before the
//! request was sent. The lease on the catalogue counts from that sending time.
//! Both its ends are read from this instance's clock, so clock offsets between
//! hosts don't matter.

use std::sync::Arc;
use std::time::Duration;

use crate::catalogue::{CatalogueState, PastChange};
use crate::clock::Time;
use crate::id::InstanceId;
use crate::lease::LeasedCatalogue;
use crate::message::CatalogueReply;

/// A poll for all commands after index `applied`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Poll {
    /// Voter to poll.
    pub voter: InstanceId,
    /// Index of the last command applied here.
    pub applied: u64,
    /// Sending time, from which the lease counts.
    pub sent: Time,
}

/// Applies the catalogue's commands and extends its lease. Does no I/O.
pub(crate) struct CatalogueFollower {
    /// Catalogue as of the last applied command.
    state: CatalogueState,
    voters: Vec<InstanceId>,
    /// Position in `voters` of the one polled next.
    next: usize,
    lease: Duration,
    shared: Arc<LeasedCatalogue>,
}

impl CatalogueFollower {
    /// Starts with an empty catalogue. `voters` must not be empty. The first is
    /// polled first, the others only after failures.
    pub(crate) fn new(
        voters: Vec<InstanceId>,
        lease: Duration,
        shared: Arc<LeasedCatalogue>,
    ) -> Self {
        assert!(!voters.is_empty(), "the settings name at least one voter");
        Self {
            state: CatalogueState::default(),
            voters,
            next: 0,
            lease,
            shared,
        }
    }

    /// Returns the poll to send at `now`.
    pub(crate) fn poll(&self, now: Time) -> Poll {
        Poll {
            voter: self.voters[self.next],
            applied: self.state.index(),
            sent: now,
        }
    }

    /// Handles the reply to a poll.
    pub(crate) fn on_reply(&mut self, poll: Poll, feed: &CatalogueReply) {
        let before = self.state.catalogue_revision();
        if !feed.snapshot.is_empty() && !self.restore(&feed.snapshot) {
            return self.on_failure(poll);
        }
        for command in &feed.commands {
            // A late reply repeats commands of a newer one. Applied again, they
            // would count twice or revert a change.
            if command.index > self.state.index() {
                self.state.apply(command.index, &command.command);
            }
        }
        if self.state.catalogue_revision() != before {
            self.shared.publish(self.state.catalogue());
        }
        self.shared.extend(poll.sent + self.lease);
    }

    /// Handles a poll without a reply: the next one goes to another voter.
    pub(crate) fn on_failure(&mut self, poll: Poll) {
        if self.voters[self.next] == poll.voter {
            self.next = (self.next + 1) % self.voters.len();
        }
    }

    /// Returns the latest changes, at most `most`, newest last.
    pub(crate) fn history(&self, most: usize) -> Vec<PastChange> {
        self.state.history(most)
    }

    /// Replaces the voters to poll. An empty list is ignored.
    pub(crate) fn set_voters(&mut self, voters: &[InstanceId]) {
        if self.voters == voters || voters.is_empty() {
            return;
        }
        self.voters = voters.to_vec();
        self.next = 0;
    }

    /// Installs a snapshot, and returns whether it could be decoded. One older than
    /// the current state is skipped, since it would revert accepted changes.
    fn restore(&mut self, snapshot: &[u8]) -> bool {
        let Some(state) = CatalogueState::from_snapshot(snapshot) else {
            return false;
        };
        if state.index() > self.state.index() {
            self.state = state;
        }
        true
    }
}
