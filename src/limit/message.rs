//! Messages between holders and the allocator.

/// One figure for each kind of limit of a route.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Amounts {
    /// Requests a second.
    #[prost(uint32, tag = "1")]
    pub requests: u32,
    /// Tokens a second.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
    /// Requests that run at the same time.
    #[prost(uint32, tag = "3")]
    pub concurrent: u32,
    /// Requests that wait for a place.
    #[prost(uint32, tag = "4")]
    pub queued: u32,
}

impl Amounts {
    pub(crate) fn array(self) -> [u32; 4] {
        [self.requests, self.tokens, self.concurrent, self.queued]
    }

    pub(crate) fn from_array([requests, tokens, concurrent, queued]: [u32; 4]) -> Self {
        Self {
            requests,
            tokens,
            concurrent,
            queued,
        }
    }
}

impl From<crate::catalogue::Limits> for Amounts {
    fn from(limits: crate::catalogue::Limits) -> Self {
        Self {
            requests: limits.requests,
            tokens: limits.tokens,
            concurrent: limits.concurrent,
            queued: limits.queued,
        }
    }
}

/// A holder's state and wishes for one route.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Demand {
    /// Route of the catalogue.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Share held and unexpired when the question was sent.
    #[prost(message, required, tag = "2")]
    pub held: Amounts,
    /// Use that callers ask for at present.
    #[prost(message, required, tag = "3")]
    pub wanted: Amounts,
    /// Requests running, which may be more than the share held.
    #[prost(uint32, tag = "4")]
    pub running: u32,
}

/// A holder's question for shares.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ShareRequest {
    /// Asking instance.
    #[prost(uint64, tag = "1")]
    pub instance: u64,
    /// Its incarnation. Two incarnations are two holders.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Grows with every question of the incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Question whose grant is in use; no earlier grant will be used again.
    #[prost(uint64, tag = "4")]
    pub applied: u64,
    /// Routes with demand or shares. Others are given up.
    #[prost(message, repeated, tag = "5")]
    pub demands: Vec<Demand>,
}

/// A granted share of one route.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Share {
    /// Route of the catalogue.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Granted amounts.
    #[prost(message, required, tag = "2")]
    pub amounts: Amounts,
}

/// The allocator's answer. It replaces every share that the holder has.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Grant {
    /// Instance that asked.
    #[prost(uint64, tag = "1")]
    pub instance: u64,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The question answered.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The allocator is new and only renews what the question reported.
    #[prost(bool, tag = "4")]
    pub renewal: bool,
    /// Granted shares.
    #[prost(message, repeated, tag = "5")]
    pub shares: Vec<Share>,
}
