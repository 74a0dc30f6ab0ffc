//! Connections that other instances make to this one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::{Handler, QUEUE_CAPACITY, RETRY_DELAY, ReplySink};
use crate::auth::FleetKey;
use crate::connection::{Place, Places};
use crate::event;
use crate::frame::{self, FrameError};
use crate::message::{Frame, Payload};
use crate::metric;

/// Time without a complete frame after which an accepted connection is closed. Its other side sends
/// one at least every other [`KEEPALIVE_INTERVAL`](super::KEEPALIVE_INTERVAL), or has given the
/// connection up.
///
/// Without it, connections whose other sides vanished without a reset would be kept until the
/// process has no descriptors left. Longer than [`KEEPALIVE_TIMEOUT`](super::KEEPALIVE_TIMEOUT), so
/// that an instance that was paused may go on with its connection.
const SILENCE_LIMIT: Duration = Duration::from_millis(3_600);

/// Minimum interval at which an accepted connection is recorded as heard.
const RECORD_INTERVAL: Duration = Duration::from_millis(100);

/// How an accepted connection ended.
enum Ending {
    /// The other side closed it.
    Closed,
    /// No frame came for [`SILENCE_LIMIT`].
    Silent,
    /// The other side didn't read a frame for [`SILENCE_LIMIT`].
    Unread,
    /// Another connection took its place.
    Displaced,
    Failed(FrameError),
}

impl Ending {
    /// Label in metrics and logs.
    fn name(&self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::Unread => "unread",
            Self::Displaced => "displaced",
            Self::Failed(_) => "failed",
        }
    }

    fn log(&self, addr: SocketAddr) {
        metrics::counter!(metric::PEER_CONNECTIONS_ENDED.name, "cause" => self.name()).increment(1);
        match self {
            Self::Closed | Self::Failed(FrameError::Io { .. }) => {}
            Self::Failed(e) => tracing::warn!(event = event::PEER_REFUSED.id, %addr, "{e}"),
            Self::Silent | Self::Unread | Self::Displaced => {
                let (event, cause) = (event::PEER_DISCONNECTED.id, self.name());
                tracing::info!(event, %addr, cause, "connection of an instance closed");
            }
        }
    }
}

/// Accepts connections from other instances until the runtime shuts down, and keeps at most
/// `limit` of them. A further one takes the place of one that has sent no frame yet, or else of the
/// one that was silent for longest.
pub(crate) async fn serve(
    listener: TcpListener,
    key: FleetKey,
    handler: Arc<dyn Handler>,
    limit: usize,
) {
    let places = Places::new(limit);
    loop {
        let Ok((stream, addr)) = listener.accept().await else {
            // Out of file descriptors: wait instead of busy-looping.
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let Some(place) = places.take().await else {
            continue;
        };
        let key = key.clone();
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let open = metrics::gauge!(metric::PEER_CONNECTIONS.name);
            open.increment(1.0);
            let ending = tokio::select! {
                biased;
                () = place.wait_displaced() => Ending::Displaced,
                ending = handle_connection(stream, &key, &*handler, &place) => ending,
            };
            open.decrement(1.0);
            ending.log(addr);
        });
    }
}

/// Both directions end together, so that neither keeps the socket.
async fn handle_connection(
    stream: TcpStream,
    key: &FleetKey,
    handler: &dyn Handler,
    place: &Place,
) -> Ending {
    let (sender, receiver) = match frame::accept(stream, key).await {
        Ok(halves) => halves,
        Err(e) => return Ending::Failed(e),
    };
    let (out, replies) = mpsc::channel::<Frame>(QUEUE_CAPACITY);
    tokio::select! {
        ending = receive_frames(receiver, handler, &out, place) => ending,
        ending = send_replies(sender, replies) => ending,
    }
}

async fn send_replies(mut sender: frame::Sender, mut replies: mpsc::Receiver<Frame>) -> Ending {
    while let Some(frame) = replies.recv().await {
        match timeout(SILENCE_LIMIT, sender.send(&frame)).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => return Ending::Failed(e),
            Err(_) => return Ending::Unread,
        }
    }
    Ending::Closed
}

async fn receive_frames(
    mut receiver: frame::Receiver,
    handler: &dyn Handler,
    out: &mpsc::Sender<Frame>,
    place: &Place,
) -> Ending {
    let mut recorded: Option<Instant> = None;
    loop {
        let frame = match timeout(SILENCE_LIMIT, receiver.next::<Frame>()).await {
            Ok(Ok(Some(frame))) => frame,
            Ok(Ok(None)) => return Ending::Closed,
            Ok(Err(e)) => return Ending::Failed(e),
            Err(_) => return Ending::Silent,
        };
        let now = Instant::now();
        // Not for each frame, of which a leader receives thousands a second.
        if recorded.is_none_or(|r| now - r >= RECORD_INTERVAL) {
            recorded = Some(now);
            place.record_heard();
        }
        match frame.payload {
            Some(Payload::Replica(message)) => handler.deliver(message),
            Some(Payload::Request(request)) => {
                let out = out.clone();
                let call = frame.call;
                handler.request(request, ReplySink { call, out });
            }
            Some(Payload::Echo(_)) => {
                // A full queue means that replies are pending, which serve as keepalives too.
                let _ = out.try_send(frame);
            }
            Some(Payload::Reply(_)) | None => {}
        }
    }
}
