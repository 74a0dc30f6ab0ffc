//! Messages between holders and the allocator.

/// One value for each kind of limit of a route.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Amounts {
    /// Requests per second.
    #[prost(uint32, tag = "1")]
    pub requests: u32,
    /// Tokens per second.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
    /// Requests running concurrently.
    #[prost(uint32, tag = "3")]
    pub concurrent: u32,
    /// Requests waiting for admission.
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

/// A holder's present share, usage and demand for one route.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Demand {
    /// Route of the catalogue.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Share held and unexpired when the share request was sent.
    #[prost(message, required, tag = "2")]
    pub held: Amounts,
    /// Usage that callers ask for at present.
    #[prost(message, required, tag = "3")]
    pub wanted: Amounts,
    /// Requests running, which may exceed the share held.
    #[prost(uint32, tag = "4")]
    pub running: u32,
}

/// A holder's request for shares.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ShareRequest {
    /// Requesting instance.
    #[prost(uint64, tag = "1")]
    pub instance: u64,
    /// Incarnation of the instance. Two incarnations are two holders.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Increases with every share request of the incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Sequence of the share request whose grant is in use; no earlier grant
    /// will be used again.
    #[prost(uint64, tag = "4")]
    pub applied: u64,
    /// Routes with demand or shares. The holder gives up its shares of all
    /// others.
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

/// The allocator's reply. It replaces all shares of the holder.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Grant {
    /// Requesting instance.
    #[prost(uint64, tag = "1")]
    pub instance: u64,
    /// Incarnation of the instance.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Sequence of the share request answered.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Whether the allocator is new and only renews the shares reported in the
    /// share request.
    #[prost(bool, tag = "4")]
    pub renewal: bool,
    /// Granted shares.
    #[prost(message, repeated, tag = "5")]
    pub shares: Vec<Share>,
}
