//! Outcomes that reach their caller exactly once.

/// Takes the outcome of a request, on the voter's thread.
pub(crate) type Reply<T, E> = Box<dyn FnOnce(Result<T, E>) + Send>;

/// A caller that waits.
///
/// The thread may end with requests in its queue or at work, when it is
/// stopped, its store fails or an assertion does. The caller would then wait
/// for ever; dropping the answer tells it how far the request can have got.
pub(crate) struct Answer<T, E> {
    done: Option<Reply<T, E>>,
    /// What the caller is told if the request is dropped.
    dropped: Option<E>,
}

impl<T, E> Answer<T, E> {
    pub(crate) fn new(done: Reply<T, E>, dropped: E) -> Self {
        Self {
            done: Some(done),
            dropped: Some(dropped),
        }
    }

    /// Changes what the caller is told if the request is dropped from now on.
    pub(super) fn else_tell(&mut self, dropped: E) {
        self.dropped = Some(dropped);
    }

    pub(super) fn send(mut self, outcome: Result<T, E>) {
        if let Some(done) = self.done.take() {
            done(outcome);
        }
    }
}

impl<T, E> Drop for Answer<T, E> {
    fn drop(&mut self) {
        if let (Some(done), Some(dropped)) = (self.done.take(), self.dropped.take()) {
            done(Err(dropped));
        }
    }
}
