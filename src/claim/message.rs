//! Commands to the register of claims and its replies.

use prost::Message;

use crate::id::InstanceId;
use crate::request::RequestId;

/// Longest idempotency key, in bytes.
pub(crate) const MAX_KEY: usize = 256;

/// Largest answer that is kept with a claim, in bytes. Of a longer one only
/// the fact is kept that it was given.
pub(crate) const MAX_STORED_ANSWER: usize = 16 * 1024;

/// One sending of a request: its number, which is unique in the fleet.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct ClaimToken {
    /// The holder.
    #[prost(uint64, tag = "1")]
    pub(crate) holder: u64,
    /// Start of the holder.
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    /// The holder's count of requests since that start.
    #[prost(uint64, tag = "3")]
    pub(crate) sequence: u64,
}

impl ClaimToken {
    /// The instance that holds the claim.
    pub(crate) fn instance(&self) -> InstanceId {
        InstanceId(self.holder)
    }
}

impl From<RequestId> for ClaimToken {
    fn from(id: RequestId) -> Self {
        Self {
            holder: id.instance.0,
            incarnation: id.incarnation.0,
            sequence: id.sequence,
        }
    }
}

/// Asks for the only run of a request.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Claim {
    /// The organisation whose API key the caller showed.
    #[prost(string, tag = "1")]
    pub(crate) organisation: String,
    /// The caller's idempotency key, at most [`MAX_KEY`] bytes.
    #[prost(string, tag = "2")]
    pub(crate) key: String,
    /// SHA-256 of route and body.
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) digest: Vec<u8>,
    /// The sending that asks.
    #[prost(message, optional, tag = "4")]
    pub(crate) token: Option<ClaimToken>,
    /// Time within which the first byte may leave, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub(crate) dispatch_ms: u32,
    /// Time within which the outcome is awaited, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub(crate) ttl_ms: u32,
    /// What the claim is sent for.
    #[prost(enumeration = "Purpose", tag = "7")]
    pub(crate) purpose: i32,
}

/// What a [`Claim`] is sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
pub(crate) enum Purpose {
    /// To get the only run.
    Run = 0,
    /// The same, by an asker that was told [`InProgress`] and believes that the
    /// holder is down. It is told that the outcome is unknown as soon as the
    /// holder can't dispatch any more.
    HolderDown = 1,
    /// By the holder, to begin anew before it dispatches. That fails with
    /// [`Reply::Stale`] once someone was told that the outcome is unknown, or
    /// when the claim is forgotten.
    Renew = 2,
}

/// An answer that is kept for later sendings with the same key.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct StoredAnswer {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub(crate) status: u32,
    /// Content type.
    #[prost(string, tag = "2")]
    pub(crate) content_type: String,
    /// Body, at most [`MAX_STORED_ANSWER`] bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) body: Vec<u8>,
}

/// Content type of a kept text, before the number of its tokens.
const TEXT: &str = "text/plain; tokens=";

impl StoredAnswer {
    /// Content type of a text of `count` tokens.
    pub(crate) fn media_type(count: usize) -> String {
        format!("{TEXT}{count}")
    }

    /// Tokens of a kept text; nothing for the answer of a plain service.
    pub(crate) fn tokens(&self) -> Option<u32> {
        self.content_type.strip_prefix(TEXT)?.parse().ok()
    }
}

/// How a claimed request ended.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub(crate) enum Outcome {
    /// It was answered, and this is the answer.
    #[prost(message, tag = "13")]
    Stored(StoredAnswer),
    /// It was answered; the answer isn't kept.
    #[prost(message, tag = "14")]
    NotStored(()),
    /// The holder can't tell whether it ran.
    #[prost(message, tag = "15")]
    Unknown(()),
    /// No byte left, and none will.
    #[prost(message, tag = "16")]
    NotRun(()),
}

/// Records how a claimed request ended.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Settle {
    /// The claim's organisation and key.
    #[prost(string, tag = "1")]
    pub(crate) organisation: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "2")]
    pub(crate) key: String,
    /// The outcome.
    #[prost(oneof = "Outcome", tags = "13, 14, 15, 16")]
    pub(crate) outcome: Option<Outcome>,
    /// The sending that holds the claim.
    #[prost(message, optional, tag = "3")]
    pub(crate) token: Option<ClaimToken>,
}

/// Gives a claim back. Only for a holder that knows no byte left.
///
/// The key is free again, unless someone was told that the outcome may be
/// unknown and never run again. Then it stays so: see [`Reply::NotRun`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Release {
    /// The claim's organisation.
    #[prost(string, tag = "1")]
    pub(crate) organisation: String,
    /// The caller's idempotency key.
    #[prost(string, tag = "2")]
    pub(crate) key: String,
    /// The sending that holds the claim.
    #[prost(message, optional, tag = "3")]
    pub(crate) token: Option<ClaimToken>,
}

/// Moves the register's time on and forgets claims whose retention ended.
/// Applied only if `after` is the index of the last one applied.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Expire {
    /// Log index of the last `Expire` that the proposer saw applied.
    #[prost(uint64, tag = "1")]
    pub(crate) after: u64,
    /// Time since the proposer saw it applied, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub(crate) elapsed: u64,
}

/// A command to the register.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Command {
    /// What to do.
    #[prost(oneof = "Action", tags = "1, 2, 3, 4")]
    pub(crate) action: Option<Action>,
}

/// What a [`Command`] does.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Action {
    /// Asks for the only run.
    #[prost(message, tag = "1")]
    Claim(Claim),
    /// Records the outcome.
    #[prost(message, tag = "2")]
    Settle(Settle),
    /// Gives the claim back.
    #[prost(message, tag = "3")]
    Release(Release),
    /// Moves time on.
    #[prost(message, tag = "4")]
    Expire(Expire),
}

impl Action {
    /// Bytes for the log.
    pub(crate) fn into_bytes(self) -> Vec<u8> {
        let action = Some(self);
        Command { action }.encode_to_vec()
    }
}

/// The claim is the asker's.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Granted {
    /// The sending that may run.
    #[prost(message, optional, tag = "1")]
    pub(crate) token: Option<ClaimToken>,
}

/// Another sending holds the claim and its outcome is awaited.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct InProgress {
    /// The sending that holds it.
    #[prost(message, optional, tag = "1")]
    pub(crate) holder: Option<ClaimToken>,
    /// Age of the claim in milliseconds, rounded down to the last tick.
    #[prost(uint64, tag = "2")]
    pub(crate) age: u64,
    /// Whether the holder may still send the first byte.
    #[prost(bool, tag = "3")]
    pub(crate) may_dispatch: bool,
}

/// The organisation's share of the register is used up.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Full {
    /// Time to the end of the oldest claim's retention, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub(crate) retry_after_ms: u64,
}

/// Reply to [`Expire`], whether it was applied or not.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Ticked {
    /// Log index of the last `Expire` applied.
    #[prost(uint64, tag = "1")]
    pub(crate) index: u64,
}

/// The earlier answer under the same key.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Answered {
    /// The answer, if it was kept.
    #[prost(message, optional, tag = "1")]
    pub(crate) answer: Option<StoredAnswer>,
}

/// Reply of the register.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub(crate) enum Reply {
    /// The asker may run the request.
    #[prost(message, tag = "1")]
    Granted(Granted),
    /// Another sending runs it.
    #[prost(message, tag = "2")]
    InProgress(InProgress),
    /// It ran.
    #[prost(message, tag = "3")]
    Answered(Answered),
    /// It was claimed, its outcome isn't known, and it is never run again.
    #[prost(message, tag = "4")]
    Unknown(()),
    /// The key stands for another request.
    #[prost(message, tag = "5")]
    Mismatch(()),
    /// There is no room for a new claim.
    #[prost(message, tag = "6")]
    Full(Full),
    /// The settlement or release was applied.
    #[prost(message, tag = "7")]
    Done(()),
    /// The renewal, settlement or release isn't by the claim's holder, or comes
    /// late.
    #[prost(message, tag = "8")]
    Stale(()),
    /// The state of the register's time.
    #[prost(message, tag = "9")]
    Ticked(Ticked),
    /// It was never run and never will be under this key.
    #[prost(message, tag = "11")]
    NotRun(()),
    /// The command can't be read or breaks a bound.
    #[prost(message, tag = "10")]
    Malformed(()),
}

#[derive(Clone, PartialEq, Message)]
struct Envelope {
    #[prost(oneof = "Reply", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    reply: Option<Reply>,
}

impl Reply {
    /// Bytes for the proposer.
    pub(crate) fn into_bytes(self) -> Vec<u8> {
        let reply = Some(self);
        Envelope { reply }.encode_to_vec()
    }

    /// Reads a reply. An unreadable one gives `None`: nothing was granted.
    pub(crate) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Envelope::decode(bytes).ok()?.reply
    }
}
