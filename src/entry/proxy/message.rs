//! Format of a carried request: the upstream's request with some more headers, which name the
//! target and are signed with the fleet key.
//!
//! The signature covers the head without the headers of the connection. The body isn't covered.
//! It is verified before anything else is read, since any process can connect to the port.

use std::net::SocketAddrV4;

use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use snafu::{OptionExt, Snafu};

use super::super::body::{self, Body};
use super::super::head;
use crate::auth::FleetKey;
use crate::id::InstanceId;
use crate::platform::headers;

/// Address of the upstream.
const TARGET: &str = "lq-target";
/// Service of the upstream.
const SERVICE: &str = "lq-service";
/// Id of the sending instance.
const SENDER: &str = "lq-sender";
/// Signature of the head, in hexadecimal digits.
const SIGNATURE: &str = "lq-signature";
/// Set on responses that aren't the upstream's: why the request wasn't carried.
const REFUSED: &str = "lq-refused";

/// Target of a request that only asks whether the carrier reaches the upstream.
pub(super) const CHECK: &str = "/lq/check";

/// Headers that neither callers nor upstreams may set.
pub(crate) const RESERVED_HEADERS: &[&str] = &[TARGET, SERVICE, SENDER, SIGNATURE, REFUSED];

/// Headers that the HTTP library or the carrier sets for a connection, and that aren't signed.
const UNSIGNED: &[&str] = &[
    SIGNATURE,
    "connection",
    "content-length",
    "transfer-encoding",
];

/// Why a request was not carried. All but [`Refusal::Cut`] prove that it hasn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The head is incomplete or its signature is wrong.
    Unverified,
    /// The carrier is stopping.
    Draining,
    /// The carrier carries as much as it can.
    Busy,
    /// The carrier doesn't know the upstream.
    UnknownUpstream,
    /// The carrier doesn't reach the upstream either.
    Unreachable,
    /// The upstream asked the carrier for a pause, or is leaving.
    Paused,
    /// The upstream accepted no connection.
    NotConnected,
    /// The deadline has passed.
    TooLate,
    /// The connection to the upstream ended before a response: the request may have run.
    Cut,
}

impl Refusal {
    const ALL: [Self; 9] = [
        Self::Unverified,
        Self::Draining,
        Self::Busy,
        Self::UnknownUpstream,
        Self::Unreachable,
        Self::Paused,
        Self::NotConnected,
        Self::TooLate,
        Self::Cut,
    ];

    /// Name in messages, logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Unverified => "unverified",
            Self::Draining => "draining",
            Self::Busy => "busy",
            Self::UnknownUpstream => "unknown_upstream",
            Self::Unreachable => "unreachable",
            Self::Paused => "paused",
            Self::NotConnected => "not_connected",
            Self::TooLate => "too_late",
            Self::Cut => "cut",
        }
    }

    /// Builds the response to the sender.
    pub(super) fn response(self) -> hyper::Response<Body> {
        let mut response = hyper::Response::new(body::full(Default::default()));
        *response.status_mut() = match self {
            Self::Cut => StatusCode::BAD_GATEWAY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        let name = HeaderValue::from_static(self.name());
        response.headers_mut().insert(REFUSED, name);
        response
    }

    /// Reads the refusal from a carrier's response; `None` if the response is the upstream's. An
    /// unknown name comes from another release, and may mean that the request has run.
    pub(super) fn of_response(map: &HeaderMap) -> Option<Self> {
        let name = map.get(REFUSED)?;
        let known = Self::ALL.into_iter().find(|r| name == r.name());
        Some(known.unwrap_or(Self::Cut))
    }
}

/// Where a carried request goes, and who sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Envelope {
    pub(crate) target: SocketAddrV4,
    /// Id of the upstream at `target`.
    pub(crate) upstream: String,
    pub(crate) service: String,
    pub(crate) sender: InstanceId,
}

/// Why an envelope can't be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub(crate) enum EnvelopeError {
    #[snafu(display("a header of a carried request is missing or unreadable"))]
    Incomplete,
    #[snafu(display("the signature of a carried request is wrong; give all instances one key"))]
    Signature,
}

impl Envelope {
    /// Adds the envelope to a request, and signs it.
    pub(crate) fn seal<B>(&self, key: &FleetKey, request: &mut Request<B>) {
        let (method, uri) = (request.method().clone(), request.uri().clone());
        let map = request.headers_mut();
        let mut set = |name: &'static str, value: &str| {
            // The service's name comes from a configuration and may hold any characters.
            let value = HeaderValue::from_bytes(value.as_bytes());
            let value = value.unwrap_or(HeaderValue::from_static(""));
            map.insert(HeaderName::from_static(name), value);
        };
        set(TARGET, &self.target.to_string());
        set(SERVICE, &self.service);
        set(SENDER, &self.sender.0.to_string());
        set(headers::EXPECTED_UPSTREAM, &self.upstream);
        let tag = key.tag(&signed_bytes(&method, &uri, map));
        let signature = format!("{:x}", u128::from_be_bytes(tag));
        let signature = HeaderValue::try_from(signature).expect("hexadecimal digits");
        map.insert(HeaderName::from_static(SIGNATURE), signature);
    }

    /// Verifies a request, and takes the envelope out of it.
    pub(crate) fn open(
        key: &FleetKey,
        method: &Method,
        uri: &Uri,
        map: &mut HeaderMap,
    ) -> Result<Self, EnvelopeError> {
        let signature = head::text(map, SIGNATURE).context(IncompleteSnafu)?;
        let signature = u128::from_str_radix(signature, 16).ok();
        let signature = signature.context(IncompleteSnafu)?;
        let mut sealed = signed_bytes(method, uri, map);
        sealed.extend_from_slice(&signature.to_be_bytes());
        key.open(&sealed).context(SignatureSnafu)?;
        let envelope = Self {
            target: head::number(map, TARGET).context(IncompleteSnafu)?,
            upstream: own_text(map, headers::EXPECTED_UPSTREAM)?,
            service: own_text(map, SERVICE)?,
            sender: InstanceId(head::number(map, SENDER).context(IncompleteSnafu)?),
        };
        for name in RESERVED_HEADERS {
            map.remove(*name);
        }
        Ok(envelope)
    }
}

fn own_text(map: &HeaderMap, name: &str) -> Result<String, EnvelopeError> {
    let value = map.get(name).map(HeaderValue::as_bytes);
    let text = value.and_then(|v| std::str::from_utf8(v).ok());
    text.map(str::to_owned).context(IncompleteSnafu)
}

/// The signed part of a head. Each piece is preceded by its length, so that no two heads have the
/// same bytes.
fn signed_bytes(method: &Method, uri: &Uri, map: &HeaderMap) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut add = |piece: &[u8]| {
        bytes.extend_from_slice(&(piece.len() as u64).to_be_bytes());
        bytes.extend_from_slice(piece);
    };
    add(method.as_str().as_bytes());
    add(uri.path_and_query().map_or("/", |p| p.as_str()).as_bytes());
    let signed = map.iter().filter(|(n, _)| !UNSIGNED.contains(&n.as_str()));
    let mut signed: Vec<_> = signed.collect();
    // Stable, so that values of one name keep their order.
    signed.sort_by_key(|(name, _)| name.as_str());
    for (name, value) in signed {
        add(name.as_str().as_bytes());
        add(value.as_bytes());
    }
    bytes
}
