//! How an instance keeps its catalogue current and knows when it may not.
//!
//! Each instance, voter or not, asks a voter once a period for what it misses.
//! A voter answers only after a quorum has confirmed its leader after the
//! request arrived, so the reply holds everything accepted before the request
//! was sent. From that moment the catalogue may be acted on for one lease.
//! Both ends of the lease are read from this instance's own clock: the
//! distance between the clocks of two machines plays no part.

use std::sync::Arc;
use std::time::Duration;

use crate::catalogue::{Book, Past};
use crate::clock::Time;
use crate::id::InstanceId;
use crate::lease::LeasedCatalogue;
use crate::message::FeedReply;

/// Asks `voter` for everything behind index `have`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ask {
    /// Whom to ask.
    pub voter: InstanceId,
    /// Index of the last command applied here.
    pub have: u64,
    /// When the question is sent; the lease counts from here.
    pub sent: Time,
}

/// Follows the catalogue: a state machine without I/O.
pub(crate) struct CatalogueFollower {
    book: Book,
    voters: Vec<InstanceId>,
    /// Position in `voters` of the one asked next.
    next: usize,
    lease: Duration,
    shared: Arc<LeasedCatalogue>,
}

impl CatalogueFollower {
    /// Starts with an empty catalogue. `voters` must not be empty; the first
    /// is asked first, the others only after a failure.
    pub(crate) fn new(
        voters: Vec<InstanceId>,
        lease: Duration,
        shared: Arc<LeasedCatalogue>,
    ) -> Self {
        assert!(!voters.is_empty(), "the settings name at least one voter");
        Self {
            book: Book::default(),
            voters,
            next: 0,
            lease,
            shared,
        }
    }

    /// The question to send at `now`.
    pub(crate) fn ask(&self, now: Time) -> Ask {
        Ask {
            voter: self.voters[self.next],
            have: self.book.index(),
            sent: now,
        }
    }

    /// Takes the answer to `ask`.
    pub(crate) fn answered(&mut self, ask: Ask, feed: &FeedReply) {
        let before = self.book.catalogue_revision();
        if !feed.snapshot.is_empty() && !self.restore(&feed.snapshot) {
            return self.failed(ask);
        }
        for command in &feed.commands {
            // A late answer repeats what a later one has brought already.
            // Applied again, it would count twice or revert a change.
            if command.index > self.book.index() {
                self.book.apply(command.index, &command.command);
            }
        }
        if self.book.catalogue_revision() != before {
            self.shared.publish(self.book.catalogue());
        }
        self.shared.extend(ask.sent + self.lease);
    }

    /// Takes note that `ask` got no answer: another voter is asked next.
    pub(crate) fn failed(&mut self, ask: Ask) {
        if self.voters[self.next] == ask.voter {
            self.next = (self.next + 1) % self.voters.len();
        }
    }

    /// Recent changes, newest last.
    pub(crate) fn history(&self, most: usize) -> Vec<Past> {
        self.book.history(most)
    }

    /// Learns who votes now.
    pub(crate) fn learn(&mut self, voters: &[InstanceId]) {
        if self.voters == voters || voters.is_empty() {
            return;
        }
        self.voters = voters.to_vec();
        self.next = 0;
    }

    /// Whether the snapshot could be read. An older one than what stands here
    /// is passed over: installed, it would revert accepted changes.
    fn restore(&mut self, snapshot: &[u8]) -> bool {
        let Some(book) = Book::from_snapshot(snapshot) else {
            return false;
        };
        if book.index() > self.book.index() {
            self.book = book;
        }
        true
    }
}
