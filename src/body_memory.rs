//! Memory of the bodies that a process holds, from their first byte to the end of their calls.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::clock::{Clock, SystemClock};
use crate::collections::HashMap;
use crate::decide::body_budget::{BodyBudget, Growth, Kind};

/// There is no memory for a body. Of a request, nothing was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoMemory;

struct State {
    budget: BodyBudget,
    /// Notified when their bodies are given up.
    readers: HashMap<u64, Arc<Notify>>,
}

struct Inner {
    state: Mutex<State>,
    /// Notified of each body that is given up or dropped.
    changed: Notify,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory for the bodies that a process holds at the same time. Decided by [`BodyBudget`].
#[derive(Clone)]
pub(crate) struct BodyMemory(Arc<Inner>);

impl BodyMemory {
    /// Memory of `capacity` bytes.
    pub(crate) fn new(capacity: usize) -> Self {
        let state = State {
            budget: BodyBudget::new(capacity),
            readers: HashMap::default(),
        };
        Self(Arc::new(Inner {
            state: Mutex::new(state),
            changed: Notify::new(),
        }))
    }

    /// Bytes that bodies hold.
    pub(crate) fn held(&self) -> usize {
        self.0.state().budget.held()
    }

    /// Opens the share of a new body, with no memory yet.
    pub(crate) fn share(&self, kind: Kind) -> BodyShare {
        let mut state = self.0.state();
        let id = state.budget.open(SystemClock.now(), kind);
        let given_up = Arc::new(Notify::new());
        state.readers.insert(id, Arc::clone(&given_up));
        drop(state);
        BodyShare {
            memory: self.clone(),
            id,
            given_up,
        }
    }
}

/// What one body holds. Dropping it gives the memory back.
pub(crate) struct BodyShare {
    memory: BodyMemory,
    id: u64,
    given_up: Arc<Notify>,
}

impl BodyShare {
    /// Takes more bytes; waits until other bodies have made room.
    ///
    /// # Errors
    ///
    /// If there is no memory for this body, which is to be dropped then.
    pub(crate) async fn grow(&self, bytes: usize) -> Result<(), NoMemory> {
        loop {
            let changed = self.memory.0.changed.notified();
            match self.try_grow(bytes) {
                Growth::Granted => return Ok(()),
                Growth::Wait(_) => changed.await,
                Growth::Refused => return Err(NoMemory),
            }
        }
    }

    fn try_grow(&self, bytes: usize) -> Growth {
        let inner = &self.memory.0;
        let mut state = inner.state();
        let growth = state.budget.grow(SystemClock.now(), self.id, bytes);
        if let Growth::Wait(Some(victim)) = growth {
            if let Some(reader) = state.readers.get(&victim) {
                reader.notify_one();
            }
            // The victim may itself wait for memory.
            inner.changed.notify_waiters();
        }
        growth
    }

    /// Gives back a part of the memory.
    pub(crate) fn shrink(&self, bytes: usize) {
        self.memory.0.state().budget.shrink(self.id, bytes);
        self.memory.0.changed.notify_waiters();
    }

    /// Records that the body was received in full; it isn't given up any more.
    ///
    /// # Errors
    ///
    /// If it was given up before.
    pub(crate) fn complete(&self) -> Result<(), NoMemory> {
        let completed = self.memory.0.state().budget.complete(self.id);
        completed.then_some(()).ok_or(NoMemory)
    }

    /// Notified when the body is given up while it is received.
    pub(crate) fn given_up(&self) -> Arc<Notify> {
        Arc::clone(&self.given_up)
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        let mut state = self.memory.0.state();
        state.budget.close(self.id);
        state.readers.remove(&self.id);
        drop(state);
        self.memory.0.changed.notify_waiters();
    }
}

impl fmt::Debug for BodyShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BodyShare").field("id", &self.id).finish()
    }
}
