//! Grants shares of the limits on the leader of the catalogue's log.

use std::sync::Mutex;

use crate::catalogue::Catalogue;
use crate::clock::Time;
use crate::limit::{Allocator, Grant, ShareRequest};

/// The allocator of the term in which this instance leads, if any.
#[derive(Default)]
pub(crate) struct LeaderAllocator(Mutex<Option<TermAllocator>>);

struct TermAllocator {
    term: u64,
    allocator: Allocator,
    /// Revision of the catalogue whose limits are in use.
    revision: Option<u64>,
}

impl LeaderAllocator {
    /// Answers a share request in `term`.
    ///
    /// The caller must have confirmed by a quorum, after the request arrived,
    /// that this instance leads in `term`. A new term starts a new allocator,
    /// which only renews reported shares until those granted by earlier leaders
    /// have expired.
    pub(crate) fn grant(
        &self,
        now: Time,
        term: u64,
        catalogue: &Catalogue,
        request: &ShareRequest,
    ) -> Option<Grant> {
        let mut slot = self.0.lock().expect("no holder panics");
        if slot.as_ref().is_some_and(|current| current.term > term) {
            return None;
        }
        let current = match slot.take() {
            Some(current) if current.term == term => slot.insert(current),
            _ => slot.insert(TermAllocator {
                term,
                allocator: Allocator::new(now),
                revision: None,
            }),
        };
        if current.revision != Some(catalogue.revision) {
            let routes = catalogue.routes().map(|r| (r.name.as_str(), r.limits));
            current.allocator.set_limits(routes);
            current.revision = Some(catalogue.revision);
        }
        current.allocator.allocate(now, request)
    }
}
