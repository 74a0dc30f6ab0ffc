//! Messages and calls between instances.
//!
//! Each instance opens at most one connection to each peer it talks to. A
//! message to a peer that can't be reached is dropped and a call to it fails;
//! the state machines above resend what they need.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, timeout};

use crate::auth::FleetKey;
use crate::collections::HashMap;
use crate::event;
use crate::frame::{self, FrameError};
use crate::id::InstanceId;
use crate::message::{Frame, Payload, Reply, Request};
use crate::replica;

/// Frames that may wait for one connection; more are dropped.
const QUEUE: usize = 4096;

/// Longest time to open a connection.
const CONNECT: Duration = Duration::from_millis(500);

/// Pause before the next try to open a connection.
const PAUSE: Duration = Duration::from_millis(100);

/// Time after which a connection in use that brings nothing is given up, and
/// the period at which the other side is asked for a sign of life.
///
/// A connection can go silent for good without a reset, while new ones work:
/// what is sent on it vanishes, and the peer seems dead. The other side echoes
/// an empty frame, so silence beyond this time shows it. Twice a slow sync
/// plus a round trip.
const SILENCE: Duration = Duration::from_millis(1_200);
const ECHO: Duration = Duration::from_millis(400);

/// What an instance does with what its peers send.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Takes a message of the replicated log. Never blocks.
    fn deliver(&self, message: replica::Message);
    /// Takes a request. Never blocks; `reply` may be used from any thread.
    fn request(&self, request: Request, reply: ReplySink);
}

/// Where the answer to one request goes. Dropping it answers nothing, and the
/// caller's time limit ends the call.
pub(crate) struct ReplySink {
    call: u64,
    out: mpsc::Sender<Frame>,
}

impl ReplySink {
    /// Answers the request.
    pub(crate) fn send(self, reply: Reply) {
        let frame = Frame {
            call: self.call,
            payload: Some(Payload::Reply(reply)),
        };
        // A full queue means a peer that doesn't read; its call times out.
        let _ = self.out.try_send(frame);
    }
}

/// A call that got no answer. The request may have been carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoReply;

struct Outgoing {
    frame: Frame,
    reply: Option<oneshot::Sender<Reply>>,
}

impl Outgoing {
    /// A frame that asks for a sign of life.
    fn echo() -> Self {
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
    /// Port of peers whose number is their IPv4 address.
    port: Option<u16>,
    addresses: RwLock<HashMap<InstanceId, SocketAddr>>,
    links: Mutex<HashMap<InstanceId, mpsc::Sender<Outgoing>>>,
}

/// Connections to the other instances.
#[derive(Clone)]
pub(crate) struct Peers(Arc<Shared>);

impl Peers {
    /// No connection yet; they run on `runtime`.
    pub(crate) fn new(key: FleetKey, runtime: Handle) -> Self {
        Self::build(key, runtime, None)
    }

    /// As [`Peers::new`], where the number of each peer is its IPv4 address
    /// and all listen on `port`.
    pub(crate) fn on_port(key: FleetKey, runtime: Handle, port: u16) -> Self {
        Self::build(key, runtime, Some(port))
    }

    fn build(key: FleetKey, runtime: Handle, port: Option<u16>) -> Self {
        Self(Arc::new(Shared {
            key,
            runtime,
            port,
            addresses: RwLock::default(),
            links: Mutex::default(),
        }))
    }

    /// Where the connections run.
    pub(crate) fn runtime(&self) -> &Handle {
        &self.0.runtime
    }

    /// Learns or corrects the address of a peer.
    pub(crate) fn set_address(&self, peer: InstanceId, addr: SocketAddr) {
        let mut addresses = self.0.addresses.write().expect("no holder panics");
        addresses.insert(peer, addr);
    }

    /// Sends a message of the replicated log, or drops it.
    pub(crate) fn send(&self, peer: InstanceId, message: replica::Message) {
        let frame = Frame {
            call: 0,
            payload: Some(Payload::Replica(message)),
        };
        let _ = self.link(peer).try_send(Outgoing { frame, reply: None });
    }

    /// Asks a peer and waits for its answer for at most `limit`.
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
        self.link(peer).try_send(outgoing).map_err(|_| NoReply)?;
        match timeout(limit, answer).await {
            Ok(Ok(reply)) => Ok(reply),
            _ => Err(NoReply),
        }
    }

    fn link(&self, peer: InstanceId) -> mpsc::Sender<Outgoing> {
        let mut links = self.0.links.lock().expect("no holder panics");
        let link = links.entry(peer).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(QUEUE);
            let peers = self.clone();
            self.0.runtime.spawn(peers.run(peer, receiver));
            sender
        });
        link.clone()
    }

    /// Keeps the connection to one peer for as long as the instance lives.
    async fn run(self, peer: InstanceId, mut queue: mpsc::Receiver<Outgoing>) {
        while let Some(first) = queue.recv().await {
            if let Some(stream) = self.connect(peer).await
                && self.exchange(stream, first, &mut queue).await
            {
                return;
            }
            // What waited belongs to the failed connection. Kept, it would be
            // a burst of stale messages once the peer is back.
            while queue.try_recv().is_ok() {}
            tokio::time::sleep(PAUSE).await;
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
        timeout(CONNECT, TcpStream::connect(addr)).await.ok()?.ok()
    }

    /// Exchanges frames until the connection fails. True when this instance
    /// is ending.
    async fn exchange(
        &self,
        stream: TcpStream,
        first: Outgoing,
        queue: &mut mpsc::Receiver<Outgoing>,
    ) -> bool {
        let opened = timeout(CONNECT, frame::open(stream, &self.0.key)).await;
        let Ok(Ok((mut sender, mut receiver))) = opened else {
            return false;
        };
        let waiting: Arc<Mutex<HashMap<u64, oneshot::Sender<Reply>>>> = Arc::default();
        let replies = Arc::clone(&waiting);
        let mut reader = tokio::spawn(async move {
            while let Ok(Ok(Some(frame))) = timeout(SILENCE, receiver.next::<Frame>()).await {
                let Some(Payload::Reply(reply)) = frame.payload else {
                    continue;
                };
                let caller = replies
                    .lock()
                    .expect("no holder panics")
                    .remove(&frame.call);
                // The caller may have given up; its answer is nobody else's.
                if let Some(caller) = caller {
                    let _ = caller.send(reply);
                }
            }
        });
        let mut next = Some(first);
        let mut calls = 0;
        let mut echo = tokio::time::interval(ECHO);
        echo.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let mut outgoing = match next.take() {
                Some(outgoing) => outgoing,
                None => tokio::select! {
                    biased;
                    _ = &mut reader => return false,
                    _ = echo.tick() => Outgoing::echo(),
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
            // A silent peer's window fills up, and the write would wait for ever.
            let sent = timeout(SILENCE, sender.send(&outgoing.frame)).await;
            if !matches!(sent, Ok(Ok(()))) {
                reader.abort();
                return false;
            }
        }
    }
}

/// Accepts connections from other instances until the runtime ends.
pub(crate) async fn serve(listener: TcpListener, key: FleetKey, handler: Arc<dyn Handler>) {
    loop {
        let Ok((stream, addr)) = listener.accept().await else {
            // Out of file descriptors: wait instead of spinning.
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let key = key.clone();
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            if let Err(e) = answer(stream, &key, handler).await
                && !matches!(e, FrameError::Io { .. })
            {
                tracing::warn!(event = event::PEER_REFUSED.id, %addr, "{e}");
            }
        });
    }
}

async fn answer(
    stream: TcpStream,
    key: &FleetKey,
    handler: Arc<dyn Handler>,
) -> Result<(), FrameError> {
    let (mut sender, mut receiver) = frame::accept(stream, key).await?;
    let (out, mut replies) = mpsc::channel::<Frame>(QUEUE);
    let writer = tokio::spawn(async move {
        while let Some(frame) = replies.recv().await {
            if sender.send(&frame).await.is_err() {
                return;
            }
        }
    });
    let ended = loop {
        let frame = match receiver.next::<Frame>().await {
            Ok(Some(frame)) => frame,
            Ok(None) => break Ok(()),
            Err(e) => break Err(e),
        };
        match frame.payload {
            Some(Payload::Replica(message)) => handler.deliver(message),
            Some(Payload::Request(request)) => {
                let out = out.clone();
                let call = frame.call;
                handler.request(request, ReplySink { call, out });
            }
            Some(Payload::Echo(_)) => {
                // A full queue means replies are on their way, which do as well.
                let _ = out.try_send(frame);
            }
            Some(Payload::Reply(_)) | None => {}
        }
    };
    writer.abort();
    ended
}
