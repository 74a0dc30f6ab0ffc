//! Frames between instances: length-delimited protobuf over TCP, each
//! authenticated with the fleet's key.
//!
//! The accepting side sends a random nonce first. The tag of each frame covers
//! the nonce, the direction and the frame's number, so a recorded frame can't
//! be replayed on another connection, twice, out of order, or backwards.

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use rand::Rng;
use snafu::Snafu;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::auth::{FleetKey, TAG_LEN};

/// Longest frame, in bytes: a snapshot chunk or a full catalogue.
const MAX_FRAME: usize = 64 << 20;

/// Bytes of the nonce that opens a connection.
const NONCE_LEN: usize = 16;

/// Why a connection between instances ended.
#[derive(Debug, Snafu)]
pub(crate) enum FrameError {
    /// The socket failed or was closed.
    #[snafu(
        display("connection lost ({source}); it is opened again on demand"),
        context(false)
    )]
    Io { source: std::io::Error },
    /// A frame's tag is wrong.
    #[snafu(display("a frame isn't signed with the fleet's key; give all instances one key file"))]
    Tag,
    /// A frame can't be decoded.
    #[snafu(
        display("a frame can't be decoded ({source}); run one release on all instances"),
        context(false)
    )]
    Decode { source: prost::DecodeError },
}

/// Which way frames go; part of each tag.
#[derive(Clone, Copy)]
enum Direction {
    ToAcceptor = 1,
    ToOpener = 2,
}

struct Signer {
    key: FleetKey,
    nonce: [u8; NONCE_LEN],
    direction: Direction,
    /// Number of the next frame. Never repeats on a connection.
    next: u64,
}

impl Signer {
    fn tag(&mut self, body: &[u8]) -> [u8; TAG_LEN] {
        let mut covered = Vec::with_capacity(NONCE_LEN + 9 + body.len());
        covered.extend_from_slice(&self.nonce);
        covered.push(self.direction as u8);
        covered.extend_from_slice(&self.next.to_be_bytes());
        covered.extend_from_slice(body);
        self.next += 1;
        self.key.tag(&covered)
    }
}

/// Counts a frame's bytes without the headers of TCP and IP.
fn count(way: &'static str, bytes: usize) {
    metrics::counter!("peer_frames_total", "way" => way).increment(1);
    metrics::counter!("peer_bytes_total", "way" => way).increment(bytes as u64);
}

/// Receives frames of one connection.
pub(crate) struct Receiver {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    signer: Signer,
}

/// Sends frames of one connection.
pub(crate) struct Sender {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    signer: Signer,
}

/// Takes the opening side of a fresh connection.
pub(crate) async fn open(
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
        Direction::ToOpener,
    ))
}

/// Takes the accepting side of a fresh connection.
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
        Direction::ToOpener,
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
            .max_frame_length(MAX_FRAME)
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
        let mut sealed = BytesMut::with_capacity(message.encoded_len() + TAG_LEN);
        message
            .encode(&mut sealed)
            .expect("the buffer grows on demand");
        let tag = self.signer.tag(&sealed);
        sealed.extend_from_slice(&tag);
        count("sent", sealed.len());
        self.frames.send(sealed.freeze()).await?;
        Ok(())
    }
}

impl Receiver {
    /// Receives one message; `None` when the other side closed.
    pub(crate) async fn next<M>(&mut self) -> Result<Option<M>, FrameError>
    where
        M: prost::Message + Default,
    {
        let Some(sealed) = self.frames.next().await else {
            return Ok(None);
        };
        let mut sealed: Bytes = sealed?.freeze();
        count("received", sealed.len());
        let Some(length) = sealed.len().checked_sub(TAG_LEN) else {
            return TagSnafu.fail();
        };
        let tag = sealed.split_off(length);
        let expected = self.signer.tag(&sealed);
        if !bool::from(subtle::ConstantTimeEq::ct_eq(&expected[..], &tag[..])) {
            return TagSnafu.fail();
        }
        Ok(Some(M::decode(sealed)?))
    }
}
