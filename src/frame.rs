//! Frames between instances: length-delimited protobuf over TCP, each
//! authenticated with the fleet's key.
//!
//! The accepting side first sends a random nonce. The tag of each frame covers
//! the nonce, the direction and the frame's number, so a captured frame can't be
//! replayed on another connection, repeated, reordered or reflected.

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use rand::Rng;
use snafu::Snafu;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::auth::{FleetKey, TAG_LEN};

/// Maximum length of a frame, in bytes. The largest carry a snapshot chunk or a
/// full catalogue.
const MAX_FRAME_LEN: usize = 64 << 20;

/// Length of the nonce sent at the start of a connection, in bytes.
const NONCE_LEN: usize = 16;

/// Error that ends a connection between instances.
#[derive(Debug, Snafu)]
pub(crate) enum FrameError {
    /// The socket failed or was closed.
    #[snafu(
        display("connection lost ({source}); it is reopened on demand"),
        context(false)
    )]
    Io { source: std::io::Error },
    /// The tag of a frame is invalid.
    #[snafu(display(
        "a frame isn't signed with the fleet's key; use the same key file on all instances"
    ))]
    Tag,
    /// The body of a frame can't be decoded.
    #[snafu(
        display("a frame can't be decoded ({source}); run the same release on all instances"),
        context(false)
    )]
    Decode { source: prost::DecodeError },
}

/// Direction of frames, covered by each tag.
#[derive(Clone, Copy)]
enum Direction {
    ToAcceptor = 1,
    ToConnector = 2,
}

struct Signer {
    key: FleetKey,
    nonce: [u8; NONCE_LEN],
    direction: Direction,
    /// Number of the next frame. Never reused on a connection.
    next: u64,
}

impl Signer {
    fn tag(&mut self, body: &[u8]) -> [u8; TAG_LEN] {
        let mut input = Vec::with_capacity(NONCE_LEN + 9 + body.len());
        input.extend_from_slice(&self.nonce);
        input.push(self.direction as u8);
        input.extend_from_slice(&self.next.to_be_bytes());
        input.extend_from_slice(body);
        self.next += 1;
        self.key.tag(&input)
    }
}

/// Updates the counters for one frame. Headers of TCP and IP aren't counted.
fn count_frame(way: &'static str, bytes: usize) {
    metrics::counter!("peer_frames_total", "way" => way).increment(1);
    metrics::counter!("peer_bytes_total", "way" => way).increment(bytes as u64);
}

/// Receiving half of a connection.
pub(crate) struct Receiver {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    signer: Signer,
}

/// Sending half of a connection.
pub(crate) struct Sender {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    signer: Signer,
}

/// Performs the handshake of a new connection on the connecting side.
pub(crate) async fn connect(
    mut stream: TcpStream,
    key: &FleetKey,
) -> Result<(Sender, Receiver), FrameError> {
    stream.set_nodelay(true)?;
    let mut nonce = [0; NONCE_LEN];
    stream.read_exact(&mut nonce).await?;
    Ok(split(
        stream,
        key,
        nonce,
        Direction::ToAcceptor,
        Direction::ToConnector,
    ))
}

/// Performs the handshake of a new connection on the accepting side.
pub(crate) async fn accept(
    mut stream: TcpStream,
    key: &FleetKey,
) -> Result<(Sender, Receiver), FrameError> {
    stream.set_nodelay(true)?;
    let mut nonce = [0; NONCE_LEN];
    rand::rng().fill_bytes(&mut nonce);
    stream.write_all(&nonce).await?;
    Ok(split(
        stream,
        key,
        nonce,
        Direction::ToConnector,
        Direction::ToAcceptor,
    ))
}

fn split(
    stream: TcpStream,
    key: &FleetKey,
    nonce: [u8; NONCE_LEN],
    sent: Direction,
    received: Direction,
) -> (Sender, Receiver) {
    let (read, write) = stream.into_split();
    let codec = || {
        LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_LEN)
            .new_codec()
    };
    let signer = |direction| Signer {
        key: key.clone(),
        nonce,
        direction,
        next: 0,
    };
    let sender = Sender {
        frames: FramedWrite::new(write, codec()),
        signer: signer(sent),
    };
    let receiver = Receiver {
        frames: FramedRead::new(read, codec()),
        signer: signer(received),
    };
    (sender, receiver)
}

impl Sender {
    /// Sends one message.
    pub(crate) async fn send<M: prost::Message>(&mut self, message: &M) -> Result<(), FrameError> {
        let mut frame = BytesMut::with_capacity(message.encoded_len() + TAG_LEN);
        message
            .encode(&mut frame)
            .expect("the buffer grows on demand");
        let tag = self.signer.tag(&frame);
        frame.extend_from_slice(&tag);
        count_frame("sent", frame.len());
        self.frames.send(frame.freeze()).await?;
        Ok(())
    }
}

impl Receiver {
    /// Receives one message, or `None` if the other side closed the connection.
    pub(crate) async fn next<M>(&mut self) -> Result<Option<M>, FrameError>
    where
        M: prost::Message + Default,
    {
        let Some(frame) = self.frames.next().await else {
            return Ok(None);
        };
        let mut frame: Bytes = frame?.freeze();
        count_frame("received", frame.len());
        let Some(length) = frame.len().checked_sub(TAG_LEN) else {
            return TagSnafu.fail();
        };
        let tag = frame.split_off(length);
        let expected = self.signer.tag(&frame);
        if !bool::from(subtle::ConstantTimeEq::ct_eq(&expected[..], &tag[..])) {
            return TagSnafu.fail();
        }
        Ok(Some(M::decode(frame)?))
    }
}
