//! Commands to the claim register and its replies.

use prost::Message;

use crate::id::InstanceId;
use crate::request::RequestId;

/// Maximum length of an idempotency key, in bytes.
pub(crate) const MAX_KEY: usize = 256;

/// Maximum size of an answer that is stored with a claim, in bytes. For a larger
/// one, the register records only that the request was answered.
pub(crate) const MAX_STORED_ANSWER: usize = 16 * 1024;

/// Id of one submission of a request by a caller, unique in the fleet.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct ClaimToken {
    /// Instance that received the submission.
    #[prost(uint64, tag = "1")]
    pub(crate) holder: u64,
    /// Incarnation of that instance.
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    /// Sequence number of the request within that incarnation.
    #[prost(uint64, tag = "3")]
    pub(crate) sequence: u64,
}

impl ClaimToken {
    /// Instance that received the submission.
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

/// Requests the right to the only run of a request.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Claim {
    /// Organisation that owns the caller's API key.
    #[prost(string, tag = "1")]
    pub(crate) organisation: String,
    /// Idempotency key of the request, at most [`MAX_KEY`] bytes.
    #[prost(string, tag = "2")]
    pub(crate) key: String,
    /// SHA-256 hash of the route and the body.
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) digest: Vec<u8>,
    /// Submission that makes the claim.
    #[prost(message, optional, tag = "4")]
    pub(crate) token: Option<ClaimToken>,
    /// Length of the dispatch window, in which the holder may send the first byte, in
    /// milliseconds.
    #[prost(uint32, tag = "5")]
    pub(crate) dispatch_ms: u32,
    /// Age in milliseconds from which the claim's outcome counts as unknown if none
    /// was recorded.
    #[prost(uint32, tag = "6")]
    pub(crate) ttl_ms: u32,
    /// Purpose of the claim.
    #[prost(enumeration = "Purpose", tag = "7")]
    pub(crate) purpose: i32,
}

/// Purpose of a [`Claim`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
pub(crate) enum Purpose {
    /// Obtains the right to the only run.
    Run = 0,
    /// Like `Run`, from a submission that got [`InProgress`] and suspects that the
    /// holder is down. The reply is [`Reply::Unknown`] as soon as the holder can no
    /// longer send the first byte.
    HolderDown = 1,
    /// Restarts the dispatch window of a claim. Sent by the holder before it
    /// dispatches. Fails with [`Reply::Stale`] if a caller has received
    /// [`Reply::Unknown`] or the claim has been discarded.
    Renew = 2,
}

/// An answer stored for later submissions with the same key.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct StoredAnswer {
    /// Status code of the HTTP response.
    #[prost(uint32, tag = "1")]
    pub(crate) status: u32,
    /// Content type of the HTTP response, or the result of [`StoredAnswer::media_type`].
    #[prost(string, tag = "2")]
    pub(crate) content_type: String,
    /// Body of the answer, at most [`MAX_STORED_ANSWER`] bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) body: Vec<u8>,
}

/// Content type of a stored text, without its number of tokens.
const TEXT_TYPE: &str = "text/plain; tokens=";

impl StoredAnswer {
    /// Content type of a text of `count` tokens.
    pub(crate) fn media_type(count: usize) -> String {
        format!("{TEXT_TYPE}{count}")
    }

    /// Number of tokens of a stored text; `None` for the answer of a plain service.
    pub(crate) fn tokens(&self) -> Option<u32> {
        self.content_type.strip_prefix(TEXT_TYPE)?.parse().ok()
    }
}

/// How a claimed request ended.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub(crate) enum Outcome {
    /// The request was answered, and the answer is stored.
    #[prost(message, tag = "13")]
    Stored(StoredAnswer),
    /// The request was answered, but the answer isn't stored.
    #[prost(message, tag = "14")]
    NotStored(()),
    /// The request may have run; the holder can't determine whether it did.
    #[prost(message, tag = "15")]
    Unknown(()),
    /// No byte of the request was sent, and none will be.
    #[prost(message, tag = "16")]
    NotRun(()),
}

/// Records how a claimed request ended.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Settle {
    /// Organisation that owns the claim.
    #[prost(string, tag = "1")]
    pub(crate) organisation: String,
    /// Idempotency key of the request.
    #[prost(string, tag = "2")]
    pub(crate) key: String,
    /// Outcome of the request.
    #[prost(oneof = "Outcome", tags = "13, 14, 15, 16")]
    pub(crate) outcome: Option<Outcome>,
    /// Submission that holds the claim.
    #[prost(message, optional, tag = "3")]
    pub(crate) token: Option<ClaimToken>,
}

/// Releases a claim. Sent only by a holder that knows that no byte was sent.
///
/// The key becomes free again, unless a caller has received [`Reply::Unknown`],
/// which says that the request never runs again. That must stay true, so the key
/// stays in use: see [`Reply::NotRun`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Release {
    /// Organisation that owns the claim.
    #[prost(string, tag = "1")]
    pub(crate) organisation: String,
    /// Idempotency key of the request.
    #[prost(string, tag = "2")]
    pub(crate) key: String,
    /// Submission that holds the claim.
    #[prost(message, optional, tag = "3")]
    pub(crate) token: Option<ClaimToken>,
}

/// Advances the register's time and discards claims whose retention has ended.
/// Ignored unless `after` is the index of the last applied `Expire`.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Expire {
    /// Log index of the last applied `Expire` that the proposer has seen.
    #[prost(uint64, tag = "1")]
    pub(crate) after: u64,
    /// Time since the proposer saw that `Expire`, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub(crate) elapsed: u64,
}

/// A command to the register.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Command {
    /// Action to apply.
    #[prost(oneof = "Action", tags = "1, 2, 3, 4")]
    pub(crate) action: Option<Action>,
}

/// Action of a [`Command`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum Action {
    /// Requests or renews the right to the only run of a request.
    #[prost(message, tag = "1")]
    Claim(Claim),
    /// Records the outcome of a claimed request.
    #[prost(message, tag = "2")]
    Settle(Settle),
    /// Releases a claim whose request wasn't sent.
    #[prost(message, tag = "3")]
    Release(Release),
    /// Advances the register's time.
    #[prost(message, tag = "4")]
    Expire(Expire),
}

impl Action {
    /// Encodes the command for the log.
    pub(crate) fn into_bytes(self) -> Vec<u8> {
        let action = Some(self);
        Command { action }.encode_to_vec()
    }
}

/// The claim is granted.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Granted {
    /// Submission that may run the request.
    #[prost(message, optional, tag = "1")]
    pub(crate) token: Option<ClaimToken>,
}

/// Another submission holds the claim and its outcome is awaited.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct InProgress {
    /// Submission that holds the claim.
    #[prost(message, optional, tag = "1")]
    pub(crate) holder: Option<ClaimToken>,
    /// Age of the claim at the last applied [`Expire`], in milliseconds.
    #[prost(uint64, tag = "2")]
    pub(crate) age: u64,
    /// Whether the holder may still send the first byte.
    #[prost(bool, tag = "3")]
    pub(crate) may_dispatch: bool,
}

/// The organisation's space in the register is used up.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Full {
    /// Time until the retention of the organisation's oldest claim ends, in
    /// milliseconds.
    #[prost(uint64, tag = "1")]
    pub(crate) retry_after_ms: u64,
}

/// Reply to [`Expire`], whether it was applied or not.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Ticked {
    /// Log index of the last applied `Expire`.
    #[prost(uint64, tag = "1")]
    pub(crate) index: u64,
}

/// The request was answered before, under the same key.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Answered {
    /// Stored answer, if there is one.
    #[prost(message, optional, tag = "1")]
    pub(crate) answer: Option<StoredAnswer>,
}

/// Reply of the register.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub(crate) enum Reply {
    /// The submission may run the request.
    #[prost(message, tag = "1")]
    Granted(Granted),
    /// Another submission holds the claim, and its outcome is awaited.
    #[prost(message, tag = "2")]
    InProgress(InProgress),
    /// The request was answered.
    #[prost(message, tag = "3")]
    Answered(Answered),
    /// The outcome is unknown, and the request never runs again under this key.
    #[prost(message, tag = "4")]
    Unknown(()),
    /// The key was used for a different request.
    #[prost(message, tag = "5")]
    Mismatch(()),
    /// The organisation's space in the register is used up.
    #[prost(message, tag = "6")]
    Full(Full),
    /// The settlement or release was applied.
    #[prost(message, tag = "7")]
    Done(()),
    /// The renewal, settlement or release came too late, or from a submission that
    /// doesn't hold the claim.
    #[prost(message, tag = "8")]
    Stale(()),
    /// Reply to [`Expire`].
    #[prost(message, tag = "9")]
    Ticked(Ticked),
    /// The request has not run and never runs under this key.
    #[prost(message, tag = "11")]
    NotRun(()),
    /// The command can't be decoded, or a field exceeds its limit.
    #[prost(message, tag = "10")]
    Malformed(()),
}

#[derive(Clone, PartialEq, Message)]
struct Envelope {
    #[prost(oneof = "Reply", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    reply: Option<Reply>,
}

impl Reply {
    /// Encodes the reply for the proposer.
    pub(crate) fn into_bytes(self) -> Vec<u8> {
        let reply = Some(self);
        Envelope { reply }.encode_to_vec()
    }

    /// Decodes a reply. Returns `None` if it can't be decoded, so nothing was granted.
    pub(crate) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        Envelope::decode(bytes).ok()?.reply
    }
}
