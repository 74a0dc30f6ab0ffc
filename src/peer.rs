//! Connections, messages and calls between instances.
//!
//! Each instance opens at most one connection to each peer. A message to an
//! unreachable peer is dropped and a call to it fails; the state machines that
//! use this module resend what they need.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, timeout};

use crate::auth::FleetKey;
use crate::collections::HashMap;
use crate::frame;
use crate::id::InstanceId;
use crate::message::{Frame, Payload, Reply, Request};
use crate::replica;

mod accept;

pub(crate) use self::accept::serve;

/// Maximum number of frames that wait for one connection. Further ones are
/// dropped.
const QUEUE_CAPACITY: usize = 4096;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before a further attempt to open a connection is started while others are pending.
const ATTEMPT_DELAY: Duration = Duration::from_millis(50);

/// Delay before the next attempt to open a connection after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout for receiving or sending a frame, after which a connection is closed.
///
/// A connection can fail without a reset while new ones work: frames sent on it
/// are lost and the peer seems dead. The peer echoes keepalives, so a longer
/// silence means a failed connection. Twice a slow sync plus a round trip.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval between keepalives. None is sent if the peer was heard since the last one was due:
/// replies to polls show as much. Beside four polls a second, keepalives would be two fifths of the
/// frames.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(400);

/// Handler of messages and requests from peers.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles a message of the replicated log. Must not block.
    fn deliver(&self, message: replica::Message);
    /// Handles a request. Must not block; `reply` may be used from any thread.
    fn request(&self, request: Request, reply: ReplySink);
}

/// Sender of the reply to one request. If it is dropped, the call ends with the
/// caller's timeout.
pub(crate) struct ReplySink {
    call: u64,
    out: mpsc::Sender<Frame>,
}

impl ReplySink {
    /// Sends the reply.
    pub(crate) fn send(self, reply: Reply) {
        let frame = Frame {
            call: self.call,
            payload: Some(Payload::Reply(reply)),
        };
        // A full queue means that the peer doesn't read; its call times out.
        let _ = self.out.try_send(frame);
    }
}

/// Error of a call without a reply. The request may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoReply;

struct Outgoing {
    frame: Frame,
    reply: Option<oneshot::Sender<Reply>>,
}

impl Outgoing {
    /// Creates a keepalive, which the peer echoes.
    fn keepalive() -> Self {
        let payload = Some(Payload::Echo(true));
        Self {
            frame: Frame { call: 0, payload },
            reply: None,
        }
    }
}

struct Shared {
    key: FleetKey,
    runtime: Handle,
    /// Port of peers whose instance number is their IPv4 address.
    port: Option<u16>,
    addresses: RwLock<HashMap<InstanceId, SocketAddr>>,
    /// Queue of each connection.
    queues: Mutex<HashMap<InstanceId, mpsc::Sender<Outgoing>>>,
}

/// Connections to the other instances.
#[derive(Clone)]
pub(crate) struct Peers(Arc<Shared>);

impl Peers {
    /// Creates a pool without connections; they will run on `runtime`.
    pub(crate) fn new(key: FleetKey, runtime: Handle) -> Self {
        Self::build(key, runtime, None)
    }

    /// Like [`Peers::new`], for peers whose instance number is their IPv4 address
    /// and which all listen on `port`.
    pub(crate) fn on_port(key: FleetKey, runtime: Handle, port: u16) -> Self {
        Self::build(key, runtime, Some(port))
    }

    fn build(key: FleetKey, runtime: Handle, port: Option<u16>) -> Self {
        Self(Arc::new(Shared {
            key,
            runtime,
            port,
            addresses: RwLock::default(),
            queues: Mutex::default(),
        }))
    }

    /// Returns the runtime of the connections.
    pub(crate) fn runtime(&self) -> &Handle {
        &self.0.runtime
    }

    /// Sets the address of a peer.
    pub(crate) fn set_address(&self, peer: InstanceId, addr: SocketAddr) {
        let mut addresses = self.0.addresses.write().expect("no holder panics");
        addresses.insert(peer, addr);
    }

    /// Sends a message of the replicated log, or drops it if the queue is full or
    /// the peer is unreachable.
    pub(crate) fn send(&self, peer: InstanceId, message: replica::Message) {
        let frame = Frame {
            call: 0,
            payload: Some(Payload::Replica(message)),
        };
        let _ = self.queue(peer).try_send(Outgoing { frame, reply: None });
    }

    /// Sends a request to a peer and waits for the reply for at most `limit`.
    pub(crate) async fn call(
        &self,
        peer: InstanceId,
        request: Request,
        limit: Duration,
    ) -> Result<Reply, NoReply> {
        let (reply, answer) = oneshot::channel();
        let frame = Frame {
            call: 0,
            payload: Some(Payload::Request(request)),
        };
        let outgoing = Outgoing {
            frame,
            reply: Some(reply),
        };
        self.queue(peer).try_send(outgoing).map_err(|_| NoReply)?;
        match timeout(limit, answer).await {
            Ok(Ok(reply)) => Ok(reply),
            _ => Err(NoReply),
        }
    }

    fn queue(&self, peer: InstanceId) -> mpsc::Sender<Outgoing> {
        let mut queues = self.0.queues.lock().expect("no holder panics");
        let queue = queues.entry(peer).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
            let peers = self.clone();
            self.0.runtime.spawn(peers.run(peer, receiver));
            sender
        });
        queue.clone()
    }

    /// Maintains the connection to one peer until the instance shuts down.
    async fn run(self, peer: InstanceId, mut queue: mpsc::Receiver<Outgoing>) {
        while let Some(first) = queue.recv().await {
            if let Some(stream) = self.connect(peer).await
                && self.exchange(stream, first, &mut queue).await
            {
                return;
            }
            // Queued frames belong to the failed connection. If retained, they would
            // become a burst of stale messages once the peer is reachable again.
            while queue.try_recv().is_ok() {}
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn address(&self, peer: InstanceId) -> Option<SocketAddr> {
        let addresses = self.0.addresses.read().expect("no holder panics");
        let derived = || {
            let ip = Ipv4Addr::from(u32::try_from(peer.0).ok()?);
            Some(SocketAddr::new(IpAddr::V4(ip), self.0.port?))
        };
        addresses.get(&peer).copied().or_else(derived)
    }

    async fn connect(&self, peer: InstanceId) -> Option<TcpStream> {
        let addr = self.address(peer)?;
        timeout(CONNECT_TIMEOUT, connect_staggered(addr))
            .await
            .ok()?
    }

    /// Exchanges frames until the connection fails. Returns true if this instance
    /// is shutting down.
    async fn exchange(
        &self,
        stream: TcpStream,
        first: Outgoing,
        queue: &mut mpsc::Receiver<Outgoing>,
    ) -> bool {
        let opened = timeout(CONNECT_TIMEOUT, frame::connect(stream, &self.0.key)).await;
        let Ok(Ok((mut sender, mut receiver))) = opened else {
            return false;
        };
        let waiting: Arc<Mutex<HashMap<u64, oneshot::Sender<Reply>>>> = Arc::default();
        let replies = Arc::clone(&waiting);
        let heard = Arc::new(AtomicBool::new(false));
        let reader_heard = Arc::clone(&heard);
        let mut reader = tokio::spawn(async move {
            while let Ok(Ok(Some(frame))) =
                timeout(KEEPALIVE_TIMEOUT, receiver.next::<Frame>()).await
            {
                reader_heard.store(true, Ordering::Relaxed);
                let Some(Payload::Reply(reply)) = frame.payload else {
                    continue;
                };
                let caller = replies
                    .lock()
                    .expect("no holder panics")
                    .remove(&frame.call);
                // The caller may have timed out; the reply is then discarded.
                if let Some(caller) = caller {
                    let _ = caller.send(reply);
                }
            }
        });
        let mut next = Some(first);
        let mut calls = 0;
        let mut keepalive = tokio::time::interval(KEEPALIVE_INTERVAL);
        keepalive.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let mut outgoing = match next.take() {
                Some(outgoing) => outgoing,
                None => tokio::select! {
                    biased;
                    _ = &mut reader => return false,
                    _ = keepalive.tick() => match heard.swap(false, Ordering::Relaxed) {
                        true => continue,
                        false => Outgoing::keepalive(),
                    },
                    outgoing = queue.recv() => match outgoing {
                        Some(outgoing) => outgoing,
                        None => return true,
                    },
                },
            };
            if let Some(reply) = outgoing.reply.take() {
                calls += 1;
                outgoing.frame.call = calls;
                let mut waiting = waiting.lock().expect("no holder panics");
                waiting.retain(|_, caller| !caller.is_closed());
                waiting.insert(calls, reply);
            }
            // The TCP window of an unresponsive peer fills up, and the write would block
            // indefinitely.
            let sent = timeout(KEEPALIVE_TIMEOUT, sender.send(&outgoing.frame)).await;
            if !matches!(sent, Ok(Ok(()))) {
                reader.abort();
                return false;
            }
        }
    }
}

/// Opens a connection with staggered attempts and returns the first one that succeeds (RFC 8305,
/// section 5). Returns `None` once the peer refuses one.
///
/// A machine that is down drops the first packet of an attempt, and the system resends it only
/// after 1 s. With a single attempt, the peer would stay unreachable for that time after its start.
async fn connect_staggered(addr: SocketAddr) -> Option<TcpStream> {
    let mut attempts = FuturesUnordered::new();
    loop {
        attempts.push(TcpStream::connect(addr));
        if let Ok(Some(outcome)) = timeout(ATTEMPT_DELAY, attempts.next()).await {
            return outcome.ok();
        }
    }
}
