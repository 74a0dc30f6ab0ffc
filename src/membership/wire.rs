//! Encoding of member records in datagrams.

use std::net::{IpAddr, SocketAddr};

use crate::id::{Incarnation, InstanceId};
use crate::membership::member::{Member, MemberState, MemberVersion};
use crate::upstream::MAX_NAME_LEN;

/// A member record. One of an instance that isn't alive may lack `info`.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct MemberRecord {
    #[prost(uint64, tag = "1")]
    pub(crate) id: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) revision: u64,
    #[prost(uint32, tag = "4")]
    pub(crate) state: u32,
    /// Milliseconds since the instance died or left, zero before; receivers
    /// count it towards the retention.
    #[prost(uint32, tag = "5")]
    pub(crate) age: u32,
    #[prost(message, optional, tag = "6")]
    pub(crate) info: Option<InfoRecord>,
}

/// The data an instance publishes about itself.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct InfoRecord {
    #[prost(string, tag = "1")]
    domain: String,
    #[prost(bytes = "vec", tag = "2")]
    peer: Vec<u8>,
    #[prost(bytes = "vec", tag = "3")]
    gossip: Vec<u8>,
    #[prost(bytes = "vec", tag = "4")]
    control: Vec<u8>,
    #[prost(bool, tag = "5")]
    voter: bool,
    #[prost(bool, tag = "6")]
    draining: bool,
}

impl MemberRecord {
    /// A record without `info`.
    pub(crate) fn new(id: InstanceId, version: MemberVersion, age: u32) -> Self {
        Self {
            id: id.0,
            incarnation: version.incarnation.0,
            revision: version.revision,
            state: state_code(version.state),
            age,
            info: None,
        }
    }

    /// Version of the record, or `None` if the state code is unknown.
    pub(crate) fn version(&self) -> Option<MemberVersion> {
        Some(MemberVersion {
            incarnation: Incarnation(self.incarnation),
            revision: self.revision,
            state: state_from_code(self.state)?,
        })
    }

    /// The member, or `None` if `info` is missing or malformed.
    pub(crate) fn member(&self) -> Option<Member> {
        let info = self.info.as_ref()?;
        let valid_len = (1..=MAX_NAME_LEN).contains(&info.domain.len());
        if !valid_len {
            return None;
        }
        Some(Member {
            id: InstanceId(self.id),
            incarnation: Incarnation(self.incarnation),
            domain: info.domain.clone(),
            peer: decode_address(&info.peer)?,
            gossip: decode_address(&info.gossip)?,
            control: decode_address(&info.control)?,
            voter: info.voter,
            draining: info.draining,
            state: state_from_code(self.state)?,
        })
    }
}

impl From<&Member> for InfoRecord {
    fn from(member: &Member) -> Self {
        Self {
            domain: member.domain.clone(),
            peer: encode_address(member.peer),
            gossip: encode_address(member.gossip),
            control: encode_address(member.control),
            voter: member.voter,
            draining: member.draining,
        }
    }
}

/// Encodes an address as 4 or 16 bytes of IP and a big-endian 16-bit port.
pub(crate) fn encode_address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend_from_slice(&address.port().to_be_bytes());
    bytes
}

/// Decodes the format of [`encode_address`].
pub(crate) fn decode_address(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_last_chunk::<2>()?;
    let ip = match ip.len() {
        4 => IpAddr::from(<[u8; 4]>::try_from(ip).ok()?),
        16 => IpAddr::from(<[u8; 16]>::try_from(ip).ok()?),
        _ => return None,
    };
    Some(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}

fn state_code(state: MemberState) -> u32 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Dead => 2,
        MemberState::Left => 3,
    }
}

fn state_from_code(code: u32) -> Option<MemberState> {
    match code {
        0 => Some(MemberState::Alive),
        1 => Some(MemberState::Suspect),
        2 => Some(MemberState::Dead),
        3 => Some(MemberState::Left),
        _ => None,
    }
}
