//! Reports the outcome of a request to its caller exactly once.

/// Receives the outcome of a request, on the voter's thread.
pub(crate) type Callback<T, E> = Box<dyn FnOnce(Result<T, E>) + Send>;

/// Calls the [`Callback`] of a request, also if the request is dropped.
///
/// The thread may end with unfinished requests when it is stopped, its store
/// fails or an assertion fails. Without the call on drop, their callers would
/// wait indefinitely.
pub(crate) struct Responder<T, E> {
    done: Option<Callback<T, E>>,
    /// Error that the caller receives if the request is dropped.
    fallback: Option<E>,
}

impl<T, E> Responder<T, E> {
    pub(crate) fn new(done: Callback<T, E>, fallback: E) -> Self {
        Self {
            done: Some(done),
            fallback: Some(fallback),
        }
    }

    /// Sets the error that the caller receives if the request is dropped.
    pub(super) fn set_fallback(&mut self, fallback: E) {
        self.fallback = Some(fallback);
    }

    pub(super) fn send(mut self, outcome: Result<T, E>) {
        if let Some(done) = self.done.take() {
            done(outcome);
        }
    }
}

impl<T, E> Drop for Responder<T, E> {
    fn drop(&mut self) {
        if let (Some(done), Some(fallback)) = (self.done.take(), self.fallback.take()) {
            done(Err(fallback));
        }
    }
}
