//! Decides which connections of clients an instance keeps while it has as many as it may.
//!
//! Load pattern: clients open many connections and send no complete request on them, until the
//! instance runs out of file descriptors or memory and nobody else can connect. So each new
//! connection takes the place of one that waits for its client: first of one that has never
//! completed a request, then of one that is idle after its last answer, those that wait longest
//! first. A connection whose request runs is kept.

use std::collections::BTreeSet;

use crate::clock::Time;
use crate::collections::HashMap;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wait {
    /// The first complete request of its client.
    First,
    /// A further one.
    Next,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting(Wait, Time),
    Running,
    /// It gives its place to another one, and is closed soon.
    Closing,
}

/// Answer to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    Admitted(u64),
    /// Admitted once this connection was closed.
    After {
        id: u64,
        victim: u64,
    },
    /// All connections have running requests.
    Refused,
}

/// Connections of clients to an instance.
#[derive(Debug)]
pub(crate) struct Connections {
    /// Maximum number of those that aren't closing.
    limit: usize,
    next: u64,
    states: HashMap<u64, State>,
    closing: usize,
    /// Those that wait for their clients, in the order in which they give way.
    waiting: BTreeSet<(Wait, Time, u64)>,
}

impl Connections {
    /// Allows at most `limit` connections.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            next: 0,
            states: HashMap::default(),
            closing: 0,
            waiting: BTreeSet::new(),
        }
    }

    /// Number of open connections.
    #[cfg(test)]
    pub(crate) fn len(&self) -> usize {
        self.states.len()
    }

    /// Adds a connection.
    pub(crate) fn open(&mut self, now: Time) -> Admission {
        let victim = match self.states.len() - self.closing < self.limit {
            true => None,
            false => match self.waiting.first() {
                Some(&(_, _, victim)) => Some(victim),
                None => return Admission::Refused,
            },
        };
        if let Some(victim) = victim {
            self.set(victim, State::Closing);
        }
        let id = self.next;
        self.next += 1;
        self.set(id, State::Waiting(Wait::First, now));
        match victim {
            Some(victim) => Admission::After { id, victim },
            None => Admission::Admitted(id),
        }
    }

    /// Records that the client has sent a complete request.
    pub(crate) fn begin(&mut self, id: u64) {
        if let Some(State::Waiting(..)) = self.states.get(&id) {
            self.set(id, State::Running);
        }
    }

    /// Records that a running request was answered.
    pub(crate) fn end(&mut self, now: Time, id: u64) {
        if let Some(State::Running) = self.states.get(&id) {
            self.set(id, State::Waiting(Wait::Next, now));
        }
    }

    /// Removes a connection that was closed.
    pub(crate) fn close(&mut self, id: u64) {
        let state = self.states.remove(&id);
        self.forget(id, state);
    }

    fn set(&mut self, id: u64, state: State) {
        let before = self.states.insert(id, state);
        self.forget(id, before);
        match state {
            State::Waiting(wait, since) => {
                self.waiting.insert((wait, since, id));
            }
            State::Closing => self.closing += 1,
            State::Running => {}
        }
    }

    fn forget(&mut self, id: u64, state: Option<State>) {
        match state {
            Some(State::Waiting(wait, since)) => {
                self.waiting.remove(&(wait, since, id));
            }
            Some(State::Closing) => self.closing -= 1,
            _ => {}
        }
    }
}
