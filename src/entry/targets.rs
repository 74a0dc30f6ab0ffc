//! Chooses the controller that an entry instance polls.
//!
//! Load pattern: the polls of all instances take one leader's whole processor from some hundreds of
//! instances on. The leader then names followers that answer as well. Each instance polls one of
//! its own failure domain, and those of a domain are spread over its controllers.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::clock::Time;
use crate::collections::HashMap;
use crate::id::InstanceId;
use crate::sync::ControllerRecord;

/// Time for which a controller that gave no usable reply is polled after the others only. The leader
/// stops naming one that is silent within it.
const AVOIDANCE: Duration = Duration::from_secs(3);

/// Controllers to poll.
#[derive(Debug)]
pub(crate) struct Targets {
    /// The polling instance.
    own: InstanceId,
    /// Its failure domain.
    domain: String,
    /// All controllers that are known.
    known: Vec<InstanceId>,
    /// Position in `known` of the controller to poll if no other is preferred.
    position: usize,
    /// The controller that replied last, or that was named as the leader.
    current: Option<InstanceId>,
    /// Followers that the leader named.
    followers: Vec<ControllerRecord>,
    /// Until when controllers are avoided.
    avoided: HashMap<InstanceId, Time>,
}

impl Targets {
    /// Creates targets of an instance from the controllers in its settings.
    pub(crate) fn new(own: InstanceId, domain: &str, known: Vec<InstanceId>) -> Self {
        Self {
            own,
            domain: domain.to_owned(),
            known,
            position: usize::try_from(own.0).unwrap_or(0) % 7,
            current: None,
            followers: Vec::new(),
            avoided: HashMap::default(),
        }
    }

    /// Number of known controllers.
    pub(crate) fn count(&self) -> usize {
        self.known.len()
    }

    /// Adds controllers that aren't known yet.
    pub(crate) fn add(&mut self, more: impl Iterator<Item = InstanceId>) {
        for id in more {
            if !self.known.contains(&id) {
                self.known.push(id);
            }
        }
    }

    /// Returns the controller to poll next: the current one, otherwise a follower that isn't
    /// avoided, otherwise all in turn.
    pub(crate) fn next(&mut self, now: Time) -> Option<InstanceId> {
        self.current
            .or_else(|| self.preferred(now))
            .or_else(|| self.in_turn())
    }

    fn in_turn(&mut self) -> Option<InstanceId> {
        self.position += 1;
        let at = self.position.checked_rem(self.known.len())?;
        Some(self.known[at])
    }

    /// Returns the best follower that isn't avoided: of the own domain if there is one.
    fn preferred(&self, now: Time) -> Option<InstanceId> {
        let usable = self.followers.iter().filter(|f| {
            let avoided = self.avoided.get(&InstanceId(f.id));
            avoided.is_none_or(|until| now >= *until)
        });
        let best = usable.min_by_key(|f| (f.domain != self.domain, self.rank(f.id)));
        best.map(|f| InstanceId(f.id))
    }

    /// Rank of a controller at this instance, which differs from that at others.
    fn rank(&self, controller: u64) -> u64 {
        let mut hasher = DefaultHasher::new();
        (controller, self.own.0).hash(&mut hasher);
        hasher.finish()
    }

    /// Records a usable reply, in which the leader names these followers.
    pub(crate) fn succeed(&mut self, now: Time, from: InstanceId, followers: &[ControllerRecord]) {
        self.avoided.remove(&from);
        self.followers.clear();
        self.followers.extend_from_slice(followers);
        self.current = match self.followers.is_empty() {
            true => Some(from),
            false => self.preferred(now).or(Some(from)),
        };
    }

    /// Records that a controller gave no usable reply. It may have named the leader, which is
    /// polled next unless followers are known: all instances would poll a new leader at once.
    pub(crate) fn fail(&mut self, now: Time, from: InstanceId, leader: Option<InstanceId>) {
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(from, now + AVOIDANCE);
        let leader = leader.filter(|id| *id != from);
        self.add(leader.into_iter());
        self.current = leader.filter(|_| self.preferred(now).is_none());
    }
}
