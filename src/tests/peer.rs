//! Tests of the connections between instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep, timeout};

use crate::auth::FleetKey;
use crate::frame;
use crate::id::InstanceId;
use crate::message::{Answer, Ask, Frame, Payload, Reply, Request};
use crate::peer::{self, Handler, Peers, ReplySink};
use crate::replica::Message;

const PEER: InstanceId = InstanceId(7);
const LIMIT: Duration = Duration::from_millis(300);
/// Number of connections that a peer keeps.
const MOST: usize = 4;

/// Handler that replies to every request with another leader.
struct NotLeader;

impl Handler for NotLeader {
    fn deliver(&self, _: Message) {}

    fn request(&self, _: Request, reply: ReplySink) {
        reply.send(Reply {
            answer: Some(Answer::NotLeader(9)),
        });
    }
}

/// Forwards bytes on connections numbered `silent` and higher. Earlier connections
/// stay open, but their bytes are discarded.
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

/// Starts a peer that keeps [`MOST`] connections.
async fn serve_alone() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let key = FleetKey::new(b"a fleet");
    tokio::spawn(peer::serve(listener, key, Arc::new(NotLeader), MOST));
    addr
}

/// Returns connections to a peer through a relay, and the number of the first
/// connection that isn't silent.
async fn peers_through_relay() -> (Peers, Arc<AtomicUsize>) {
    let peer = serve_alone().await;
    let silent = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peers = Peers::new(FleetKey::new(b"a fleet"), Handle::current());
    peers.set_address(PEER, listener.local_addr().unwrap());
    tokio::spawn(relay(listener, peer, Arc::clone(&silent)));
    (peers, silent)
}

async fn is_answered(peers: &Peers) -> bool {
    let request = Request {
        ask: Some(Ask::Sync(Box::default())),
    };
    let reply = peers.call(PEER, request, LIMIT).await;
    reply.is_ok_and(|r| r.answer == Some(Answer::NotLeader(9)))
}

#[tokio::test]
async fn call_after_silence() {
    // A connection fails without a reset, for example because a middlebox dropped its
    // state, while new connections work. Without detection, an entry instance sent
    // requests to the leader on the dead connection for minutes.
    let (peers, silent) = peers_through_relay().await;
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
    // The same without requests: the next one must already use a new connection.
    let (peers, silent) = peers_through_relay().await;
    assert!(is_answered(&peers).await);
    silent.store(1, Ordering::SeqCst);
    sleep(Duration::from_secs(3)).await;
    assert!(is_answered(&peers).await);
}

/// Guards against a peer that stays unreachable for a second after its start, since the first
/// packet of an attempt to connect was dropped before it.
#[tokio::test]
async fn call_after_dropped_attempt() {
    let key = FleetKey::new(b"a fleet");
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let addr = socket.local_addr().unwrap();
    // A full queue of new connections drops further attempts.
    let listener = socket.listen(0).unwrap();
    let first = TcpStream::connect(addr).await.unwrap();
    let peers = Peers::new(key.clone(), Handle::current());
    peers.set_address(PEER, addr);
    tokio::spawn(async move {
        sleep(Duration::from_millis(120)).await;
        drop(first);
        peer::serve(listener, key, Arc::new(NotLeader), MOST).await;
    });
    assert!(is_answered(&peers).await);
}

/// Guards against keepalives on connections that show by replies that they work: they were two
/// fifths of the frames that 984 instances sent to their leader.
#[tokio::test]
async fn keepalives_beside_polls() {
    let key = FleetKey::new(b"a fleet");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peers = Peers::new(key.clone(), Handle::current());
    peers.set_address(PEER, listener.local_addr().unwrap());
    let keepalives = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&keepalives);
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let (mut sender, mut receiver) = frame::accept(stream, &key).await.unwrap();
        while let Ok(Some(mut frame)) = receiver.next::<Frame>().await {
            match frame.payload {
                Some(Payload::Echo(_)) => _ = counted.fetch_add(1, Ordering::SeqCst),
                _ => {
                    let answer = Some(Answer::NotLeader(9));
                    frame.payload = Some(Payload::Reply(Reply { answer }));
                }
            }
            sender.send(&frame).await.unwrap();
        }
    });
    for _ in 0..40 {
        assert!(is_answered(&peers).await);
        sleep(Duration::from_millis(50)).await;
    }
    // One is due when the connection opens.
    let keepalives = keepalives.load(Ordering::SeqCst);
    assert!(keepalives <= 2, "{keepalives} keepalives");
}

/// Opens a connection to an instance that keeps [`MOST`] of them, and shows with a frame that it has
/// the fleet's key unless it is `mute`.
async fn open(to: SocketAddr, mute: bool) -> (frame::Sender, frame::Receiver) {
    let stream = TcpStream::connect(to).await.unwrap();
    let key = FleetKey::new(b"a fleet");
    let (mut sender, receiver) = frame::connect(stream, &key).await.unwrap();
    if !mute {
        sender.send(&keepalive()).await.unwrap();
    }
    (sender, receiver)
}

fn keepalive() -> Frame {
    Frame {
        call: 0,
        payload: Some(Payload::Echo(true)),
    }
}

/// Whether an instance closes a connection within a time.
async fn is_closed(receiver: &mut frame::Receiver, within: Duration) -> bool {
    let closed = async { while let Ok(Some(_)) = receiver.next::<Frame>().await {} };
    timeout(within, closed).await.is_ok()
}

/// Guards against a leader without descriptors: it kept its end of each connection whose other end
/// had vanished without a reset.
#[rstest]
#[tokio::test]
async fn silent_connection_closed(#[values(false, true)] mute: bool) {
    let (_sender, mut receiver) = open(serve_alone().await, mute).await;
    assert!(is_closed(&mut receiver, Duration::from_secs(6)).await);
}

/// Guards against more connections than an instance has descriptors for, however many others open:
/// those that were silent for longest give way, and one that is in use stays.
#[rstest]
#[tokio::test]
async fn connections_bounded(#[values(1, 2, 4)] rounds: usize, #[values(false, true)] mute: bool) {
    let addr = serve_alone().await;
    let (mut sender, mut receiver) = open(addr, false).await;
    let mut others = Vec::new();
    for _ in 0..rounds * MOST {
        others.push(open(addr, mute).await);
        // Longer than the interval at which a connection is recorded as heard.
        sleep(Duration::from_millis(150)).await;
        sender.send(&keepalive()).await.unwrap();
        let heard = timeout(LIMIT, receiver.next::<Frame>()).await;
        assert!(
            matches!(heard, Ok(Ok(Some(_)))),
            "the one in use was closed"
        );
    }
    let mut open = 1;
    for (_, other) in &mut others {
        open += usize::from(!is_closed(other, Duration::from_millis(10)).await);
    }
    assert!(open <= MOST, "{open} of {} are open", others.len());
}
