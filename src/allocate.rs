//! Grants shares of the limits beside the leader of the catalogue's log.

use std::sync::Mutex;

use crate::catalogue::Catalogue;
use crate::clock::Time;
use crate::limit::{Allocator, Grant, ShareRequest};

/// The allocator of the term that this instance leads, if it does.
#[derive(Default)]
pub(crate) struct LeaderAllocator(Mutex<Option<TermAllocator>>);

struct TermAllocator {
    term: u64,
    allocator: Allocator,
    /// Catalogue revision whose limits are in use.
    revision: Option<u64>,
}

impl LeaderAllocator {
    /// Answers a question for shares in `term`.
    ///
    /// The caller has proved by a quorum, after the question arrived, that
    /// this instance leads in `term`. A new term starts a new allocator, which
    /// waits until shares of former leaders have run out.
    pub(crate) fn grant(
        &self,
        now: Time,
        term: u64,
        catalogue: &Catalogue,
        ask: &ShareRequest,
    ) -> Option<Grant> {
        let mut slot = self.0.lock().expect("no holder panics");
        if slot.as_ref().is_some_and(|led| led.term > term) {
            return None;
        }
        let led = match slot.take() {
            Some(led) if led.term == term => slot.insert(led),
            _ => slot.insert(TermAllocator {
                term,
                allocator: Allocator::new(now),
                revision: None,
            }),
        };
        if led.revision != Some(catalogue.revision) {
            let routes = catalogue.routes().map(|r| (r.name.as_str(), r.limits));
            led.allocator.set_limits(routes);
            led.revision = Some(catalogue.revision);
        }
        led.allocator.allocate(now, ask)
    }
}
