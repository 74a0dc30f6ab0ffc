//! Orders the requests that wait for room on the engines at one entry instance.
//!
//! Load pattern: more requests arrive than there is room for, and some of them are more urgent, or
//! one organisation sends most of them. In order of arrival, the requests that can wait longest get
//! the room. Here, requests of a service that ranks them are served by rank, within a rank fairly
//! by organisation, and within an organisation by arrival.
//!
//! Requests without a rank wait in one queue in order of arrival, whatever their service, and
//! neither displace others nor are displaced.

use std::collections::BTreeSet;

use super::rank::{RANKS, Rank};
use super::waiting::MAX_WAITERS;
use crate::collections::HashMap;
use crate::id::OrganisationId;
use crate::queue::tenant::Tenants;

/// Identifies a waiting request. Later ones are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Place(u64);

/// Whether a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admitted {
    Queued {
        place: Place,
        /// Number of requests that are served before it, if no others come.
        ahead: usize,
        /// Less urgent request that was removed to make space.
        displaced: Option<Place>,
    },
    /// As many requests as may wait do, and none of its service is less urgent.
    Full,
}

/// A waiting request with a rank.
#[derive(Debug)]
struct Ranked {
    service: String,
    rank: Rank,
    organisation: OrganisationId,
    /// Tokens, charged to the organisation when the request finds room.
    cost: f64,
}

/// Waiting requests of one service that ranks them.
#[derive(Debug, Default)]
struct ServiceQueue {
    /// Organisations with their virtual times, by rank.
    ranks: [Tenants; RANKS],
}

impl ServiceQueue {
    fn first(&self) -> Option<Place> {
        self.ranks.iter().find_map(Tenants::first).map(Place)
    }

    /// Returns the request that is served last, if its rank is lower than `rank`.
    fn last_below(&self, rank: Rank) -> Option<Place> {
        let lower = self.ranks.iter().skip(rank.index() + 1);
        lower.rev().find_map(Tenants::last).map(Place)
    }

    /// Number of requests that are served before a new one.
    fn ahead(&self, rank: Rank, organisation: &OrganisationId) -> usize {
        let higher = self.ranks.iter().take(rank.index());
        let higher: usize = higher.map(Tenants::len).sum();
        higher + self.ranks[rank.index()].items_ahead(organisation)
    }
}

/// Waiting requests of one entry instance, at most [`MAX_WAITERS`].
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    /// Number of places given so far.
    places: u64,
    /// Requests without a rank in order of arrival.
    unranked: BTreeSet<Place>,
    /// Precisely the requests that wait in `services`.
    ranked: HashMap<Place, Ranked>,
    /// Kept while nothing waits, for the virtual times.
    services: HashMap<String, ServiceQueue>,
}

impl WaitQueue {
    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.unranked.len() + self.ranked.len()
    }

    /// Number of requests that would be served before a new one, or `None` if it may not wait.
    pub(crate) fn ahead(
        &self,
        service: &str,
        rank: Option<Rank>,
        organisation: &str,
    ) -> Option<usize> {
        if self.len() >= MAX_WAITERS && self.displaceable(service, rank).is_none() {
            return None;
        }
        let Some(rank) = rank else {
            return Some(self.unranked.len());
        };
        let queue = self.services.get(service);
        Some(queue.map_or(0, |q| q.ahead(rank, &organisation.into())))
    }

    /// Whether a more urgent request of the service waits, so that a new one may not look for room
    /// before it.
    pub(crate) fn has_more_urgent(&self, service: &str, rank: Rank) -> bool {
        let queue = self.services.get(service);
        queue.is_some_and(|q| q.ranks.iter().take(rank.index()).any(|t| !t.is_empty()))
    }

    /// Adds a request. If all places are taken, it takes that of the last request of its service,
    /// if that is of a lower rank.
    pub(crate) fn push(
        &mut self,
        service: &str,
        rank: Option<Rank>,
        organisation: &str,
        cost: f64,
    ) -> Admitted {
        let Some(ahead) = self.ahead(service, rank, organisation) else {
            return Admitted::Full;
        };
        let displaced = match self.len() {
            0..MAX_WAITERS => None,
            _ => self.displaceable(service, rank),
        };
        if let Some(displaced) = displaced {
            self.remove(displaced, false);
        }
        self.places += 1;
        let place = Place(self.places);
        match rank {
            None => {
                self.unranked.insert(place);
            }
            Some(rank) => self.insert(
                place,
                Ranked {
                    service: service.to_owned(),
                    rank,
                    organisation: organisation.into(),
                    cost,
                },
            ),
        }
        Admitted::Queued {
            place,
            ahead,
            displaced,
        }
    }

    /// Whether the request may look for room: it is the first of its service, or of all requests
    /// without a rank.
    pub(crate) fn is_first(&self, place: Place) -> bool {
        let first = match self.ranked.get(&place) {
            Some(request) => self.services[&request.service].first(),
            None => self.unranked.first().copied(),
        };
        first == Some(place)
    }

    /// Whether the request waits; it doesn't once it was displaced.
    pub(crate) fn contains(&self, place: Place) -> bool {
        self.unranked.contains(&place) || self.ranked.contains_key(&place)
    }

    /// Removes a request, and charges its organisation if it found room. Returns the first of those
    /// left in the same queue, which may look for room from now on. Does nothing for a request that doesn't wait.
    pub(crate) fn remove(&mut self, place: Place, found_room: bool) -> Option<Place> {
        if self.unranked.remove(&place) {
            return self.unranked.first().copied();
        }
        let request = self.ranked.remove(&place)?;
        let queue = self.services.get_mut(&request.service)?;
        let tenants = &mut queue.ranks[request.rank.index()];
        if found_room && tenants.first() == Some(place.0) {
            // Unlike a removal, this advances the virtual time at which idle organisations start.
            tenants.pop();
        } else {
            tenants.remove(&request.organisation, place.0);
        }
        if found_room {
            tenants.charge(&request.organisation, request.cost);
        }
        queue.first()
    }

    fn insert(&mut self, place: Place, request: Ranked) {
        let queue = self.services.entry(request.service.clone()).or_default();
        let tenants = &mut queue.ranks[request.rank.index()];
        tenants.push(&request.organisation, place.0, place.0, request.cost);
        self.ranked.insert(place, request);
    }

    /// Request that a new one may displace.
    fn displaceable(&self, service: &str, rank: Option<Rank>) -> Option<Place> {
        self.services.get(service)?.last_below(rank?)
    }
}
