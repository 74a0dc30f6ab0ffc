//! Places of a listener's connections, of which each holds memory and a file descriptor.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::Notify;

use crate::clock::{Clock, SystemClock};
use crate::collections::HashMap;
use crate::decide::connections::{Admission, Connections};
use crate::metric;

struct State {
    connections: Connections,
    /// Notified when their connections are to be closed.
    holders: HashMap<u64, Arc<Notify>>,
}

struct Inner {
    state: Mutex<State>,
    /// Notified of each connection that was closed.
    closed: Notify,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The connections that a listener keeps. Decided by [`Connections`].
#[derive(Clone)]
pub(crate) struct Places(Arc<Inner>);

impl Places {
    /// Places for at most `limit` connections.
    pub(crate) fn new(limit: usize) -> Self {
        let state = State {
            connections: Connections::new(limit),
            holders: HashMap::default(),
        };
        Self(Arc::new(Inner {
            state: Mutex::new(state),
            closed: Notify::new(),
        }))
    }

    /// Takes a place, once another connection has left it if all are taken. Returns `None` if all
    /// others have running requests.
    pub(crate) async fn take(&self) -> Option<Place> {
        let (place, victim) = self.open()?;
        if let Some(victim) = victim {
            metrics::counter!(metric::CONNECTIONS_DISPLACED.name).increment(1);
            self.wait_closed(victim).await;
        }
        Some(place)
    }

    /// Takes a place. Returns the connection that leaves it, if one does.
    fn open(&self) -> Option<(Place, Option<u64>)> {
        let mut state = self.0.state();
        let (id, victim) = match state.connections.open(SystemClock.now()) {
            Admission::Admitted(id) => (id, None),
            Admission::After { id, victim } => (id, Some(victim)),
            Admission::Refused => return None,
        };
        if let Some(holder) = victim.and_then(|v| state.holders.get(&v)) {
            holder.notify_one();
        }
        let give_way = Arc::new(Notify::new());
        state.holders.insert(id, Arc::clone(&give_way));
        let place = Place {
            places: self.clone(),
            id,
            give_way,
        };
        Some((place, victim))
    }

    async fn wait_closed(&self, id: u64) {
        loop {
            let closed = self.0.closed.notified();
            if !self.0.state().holders.contains_key(&id) {
                return;
            }
            closed.await;
        }
    }
}

/// The place of a connection. Dropping it after the connection was closed frees it.
pub(crate) struct Place {
    places: Places,
    id: u64,
    give_way: Arc<Notify>,
}

impl Place {
    /// Waits until the connection is to be closed.
    pub(crate) async fn wait_displaced(&self) {
        self.give_way.notified().await;
    }

    /// Records that a request is complete.
    pub(crate) fn begin(&self) {
        self.places.0.state().connections.begin(self.id);
    }

    /// Records that the other side was heard, on a connection without requests that run for a time.
    pub(crate) fn record_heard(&self) {
        self.begin();
        self.end();
    }

    fn end(&self) {
        let mut state = self.places.0.state();
        state.connections.end(SystemClock.now(), self.id);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.places.0.state();
        state.connections.close(self.id);
        state.holders.remove(&self.id);
        drop(state);
        self.places.0.closed.notify_waiters();
    }
}

/// The body of a response. Its request runs until it is dropped.
pub(crate) struct AnswerBody<B> {
    body: B,
    place: Arc<Place>,
}

impl<B> AnswerBody<B> {
    pub(crate) fn new(body: B, place: Arc<Place>) -> Self {
        Self { body, place }
    }
}

impl<B> Drop for AnswerBody<B> {
    fn drop(&mut self) {
        self.place.end();
    }
}

impl<B: Body + Unpin> Body for AnswerBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
