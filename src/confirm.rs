//! Confirmations by a quorum, many at a time.
//!
//! Each read of the replicated log costs the leader a round to all voters. At
//! 360 instances that ask twice a second, one round for each question was most
//! of a voter's traffic; now all questions of one window share a round.

use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::voter::Voter;

/// Time for which questions are gathered. It only delays their answers; a
/// lease counts from the sending of its question.
const WINDOW: Duration = Duration::from_millis(50);

/// Questions that may wait; more are dropped and asked again.
const QUEUE: usize = 4096;

/// Told whether a quorum confirmed the leader after the question came.
type Done = Box<dyn FnOnce(bool) + Send>;

/// Confirms questions about one group of the replicated log.
#[derive(Clone)]
pub(crate) struct ReadBatcher(mpsc::Sender<Done>);

impl ReadBatcher {
    /// Starts to confirm by reads of `voter`'s `group`, on `runtime`.
    pub(crate) fn start(voter: Voter, group: u32, runtime: &Handle) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE);
        runtime.spawn(run(voter, group, receiver));
        Self(sender)
    }

    /// Calls `done` once a quorum has confirmed, or failed to confirm, that all
    /// that is committed now is applied here. A full queue drops it.
    pub(crate) fn confirm(&self, done: Done) {
        let _ = self.0.try_send(done);
    }
}

async fn run(voter: Voter, group: u32, mut questions: mpsc::Receiver<Done>) {
    while let Some(first) = questions.recv().await {
        sleep(WINDOW).await;
        let mut batch = vec![first];
        while let Ok(done) = questions.try_recv() {
            batch.push(done);
        }
        // The read begins after every question of the batch has come, so it
        // confirms what was committed at each of their arrivals.
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
