//! Tests of the connections between instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep};

use crate::auth::FleetKey;
use crate::id::InstanceId;
use crate::message::{Answer, Ask, Reply, Request};
use crate::peer::{self, Handler, Peers, ReplySink};
use crate::replica::Message;
use crate::sync::SyncRequest;

const PEER: InstanceId = InstanceId(7);
const LIMIT: Duration = Duration::from_millis(300);

/// Names another leader, whatever it is asked.
struct Elsewhere;

impl Handler for Elsewhere {
    fn deliver(&self, _: Message) {}

    fn request(&self, _: Request, reply: ReplySink) {
        reply.send(Reply {
            answer: Some(Answer::NotLeader(9)),
        });
    }
}

/// Passes bytes on for connections from the `silent`th on; what comes on
/// earlier ones vanishes, and they stay open.
async fn relay(listener: TcpListener, to: SocketAddr, silent: Arc<AtomicUsize>) {
    for number in 0.. {
        let (near, _) = listener.accept().await.unwrap();
        let far = TcpStream::connect(to).await.unwrap();
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        for (mut from, mut to) in [(near_in, far_out), (far_in, near_out)] {
            let silent = Arc::clone(&silent);
            tokio::spawn(async move {
                let mut bytes = [0; 4096];
                while let Ok(count @ 1..) = from.read(&mut bytes).await {
                    if number < silent.load(Ordering::SeqCst) {
                        continue;
                    }
                    if to.write_all(&bytes[..count]).await.is_err() {
                        return;
                    }
                }
            });
        }
    }
}

/// Connections to a peer through a relay, and the number of the first that
/// isn't silent.
async fn stage() -> (Peers, Arc<AtomicUsize>) {
    let key = FleetKey::new(b"a fleet");
    let local = "127.0.0.1:0";
    let listener = TcpListener::bind(local).await.unwrap();
    let peer = listener.local_addr().unwrap();
    tokio::spawn(peer::serve(listener, key.clone(), Arc::new(Elsewhere)));
    let silent = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind(local).await.unwrap();
    let peers = Peers::new(key, Handle::current());
    peers.set_address(PEER, listener.local_addr().unwrap());
    tokio::spawn(relay(listener, peer, Arc::clone(&silent)));
    (peers, silent)
}

async fn is_answered(peers: &Peers) -> bool {
    let request = Request {
        ask: Some(Ask::Sync(SyncRequest::default())),
    };
    let reply = peers.call(PEER, request, LIMIT).await;
    reply.is_ok_and(|r| r.answer == Some(Answer::NotLeader(9)))
}

#[tokio::test]
async fn call_after_silence() {
    // A connection between two instances goes silent without a reset, as when
    // a middle box forgets it. New ones work, but nothing told that the old one
    // was dead, and an entry instance asked the leader in vain for minutes.
    let (peers, silent) = stage().await;
    assert!(is_answered(&peers).await);
    silent.store(1, Ordering::SeqCst);
    assert!(!is_answered(&peers).await);
    let since = Instant::now();
    while !is_answered(&peers).await {
        assert!(since.elapsed() < Duration::from_secs(10), "still silent");
    }
}

#[tokio::test]
async fn call_after_idle_silence() {
    // The same while nothing is asked. The next question must find a new
    // connection already.
    let (peers, silent) = stage().await;
    assert!(is_answered(&peers).await);
    silent.store(1, Ordering::SeqCst);
    sleep(Duration::from_secs(3)).await;
    assert!(is_answered(&peers).await);
}
