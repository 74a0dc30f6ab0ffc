//! Batches linearizable reads of the replicated log.
//!
//! Each read costs the leader a round trip to all voters. With 360 instances
//! polling twice a second, one round per poll was most of a voter's traffic. So
//! all requests of one window share a round.

use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::voter::Voter;

/// Time for which requests are collected. It only delays their answers: a lease
/// counts from the sending time of its request.
const WINDOW: Duration = Duration::from_millis(50);

/// Maximum number of waiting requests. Further ones are dropped, and retried by
/// their senders.
const QUEUE_CAPACITY: usize = 4096;

/// Receives whether a quorum confirmed the leader after the request arrived.
type Done = Box<dyn FnOnce(bool) + Send>;

/// Confirms requests to one group of the replicated log.
#[derive(Clone)]
pub(crate) struct ReadBatcher(mpsc::Sender<Done>);

impl ReadBatcher {
    /// Starts a task on `runtime` that confirms by reads of `voter`'s `group`.
    pub(crate) fn start(voter: Voter, group: u32, runtime: &Handle) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        runtime.spawn(run(voter, group, receiver));
        Self(sender)
    }

    /// Calls `done` with whether a quorum confirmed that everything committed now
    /// is applied here. Drops `done` when the queue is full.
    pub(crate) fn confirm(&self, done: Done) {
        let _ = self.0.try_send(done);
    }
}

async fn run(voter: Voter, group: u32, mut requests: mpsc::Receiver<Done>) {
    while let Some(first) = requests.recv().await {
        sleep(WINDOW).await;
        let mut batch = vec![first];
        while let Ok(done) = requests.try_recv() {
            batch.push(done);
        }
        // The read begins after all requests of the batch have arrived, so it
        // covers everything committed at each arrival.
        let (reply, answer) = oneshot::channel();
        let read = move |read: Result<u64, _>| {
            let _ = reply.send(read.is_ok());
        };
        voter.read(group, Box::new(read));
        let confirmed = answer.await.unwrap_or(false);
        for done in batch {
            done(confirmed);
        }
    }
}
