//! Chooses the instances that may carry requests of another.
//!
//! Each reply to an instance names some, so the choice must not visit all instances: for a thousand
//! instances that poll four times a second, that would be four million visits a second.

use std::collections::BTreeSet;

use crate::collections::HashMap;
use crate::decide::load::unit_hash;

/// Position of an instance in a circular order that is unrelated to its id.
type Position = (u64, u64);

fn position(instance: u64) -> Position {
    let hash = unit_hash(instance) * (1_u64 << 53) as f64;
    (hash as u64, instance)
}

/// Known instances in a fixed circular order. An instance is told those that follow it, so that
/// different instances are told different ones.
#[derive(Debug, Default)]
pub(super) struct Carriers {
    /// Whether each instance said that it can carry requests.
    known: HashMap<u64, bool>,
    all: BTreeSet<Position>,
    /// Those of `all` that can carry requests.
    able: BTreeSet<Position>,
    /// Number of positions read to answer instances.
    read: u64,
}

impl Carriers {
    /// Adds an instance, or changes whether it can carry requests.
    pub(super) fn set(&mut self, instance: u64, able: bool) {
        if self.known.insert(instance, able) == Some(able) {
            return;
        }
        let at = position(instance);
        self.all.insert(at);
        match able {
            true => self.able.insert(at),
            false => self.able.remove(&at),
        };
    }

    /// Removes an instance.
    pub(super) fn remove(&mut self, instance: u64) {
        self.known.remove(&instance);
        let at = position(instance);
        self.all.remove(&at);
        self.able.remove(&at);
    }

    /// Returns at most `count` other instances that can carry requests of `instance`.
    pub(super) fn able(&mut self, instance: u64, count: usize) -> Vec<u64> {
        let (named, read) = following(&self.able, instance, count);
        self.read += read;
        named
    }

    /// Returns at most `count` other instances, whether they can carry requests or not.
    pub(super) fn any(&mut self, instance: u64, count: usize) -> Vec<u64> {
        let (named, read) = following(&self.all, instance, count);
        self.read += read;
        named
    }

    /// Number of positions read to answer instances.
    pub(super) fn read(&self) -> u64 {
        self.read
    }
}

/// Returns at most `count` instances that follow `instance` in the order, and the number of
/// positions read.
fn following(order: &BTreeSet<Position>, instance: u64, count: usize) -> (Vec<u64>, u64) {
    let at = position(instance);
    let mut read = 0;
    let ids = order.range(at..).chain(order.range(..at));
    let ids = ids.inspect(|_| read += 1).map(|(_, id)| *id);
    let named = ids.filter(|id| *id != instance).take(count).collect();
    (named, read)
}
