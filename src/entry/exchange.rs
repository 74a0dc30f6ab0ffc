//! Builds the requests to upstreams and classifies the heads of their responses.

use std::net::SocketAddrV4;
use std::sync::Arc;

use hyper::header::{CONTENT_ENCODING, HeaderName, HeaderValue};
use hyper::{Request, StatusCode};

use super::attempt::{OpenResponse, Outcome};
use super::cause::{DEAD_ENGINE, GARBAGE, PAUSED, REFUSED};
use super::head;
use super::notice::pause_asked;
use super::select::Selection;
use super::send::Attempt;
use crate::clock::{Time, millis};
use crate::decide::retry::Failure;
use crate::platform::{call, headers};
use crate::sync::address_key;
use crate::whole::Payload;

impl Attempt {
    pub(super) fn request(&self, selection: &Selection) -> Request<Payload> {
        let mut request = Request::new(Payload::from(Arc::clone(&self.context.call.body)));
        *request.method_mut() = self.context.call.method.clone();
        let target = self
            .context
            .call
            .uri
            .path_and_query()
            .map_or("/", |p| p.as_str());
        *request.uri_mut() = target.parse().expect("target was parsed on receipt");
        let mut map = self.context.call.headers.clone();
        let mut set = |name: &'static str, value: String| {
            let value = HeaderValue::try_from(value).expect("visible characters");
            map.insert(HeaderName::from_static(name), value);
        };
        set(
            headers::DEADLINE,
            millis(self.context.left()).max(1).to_string(),
        );
        set(
            headers::EXPECTED_UPSTREAM,
            selection.upstream.id.to_string(),
        );
        if let Some(rank) = self.context.call.rank {
            set(headers::PRIORITY_CLASS, rank.index().to_string());
        }
        if let Some(path) = &selection.path {
            set(headers::PATH, path.clone());
        }
        if let Some(last) = self.last_event {
            set(headers::LAST_EVENT_ID, last.to_string());
        }
        *request.headers_mut() = map;
        request
    }

    /// Classifies an attempt by its response head.
    pub(super) fn classify(&self, sent: Time, opened: OpenResponse) -> Outcome {
        let response = &opened.answer.response;
        let status = response.status();
        let map = response.headers();
        let first = opened.selection.upstream.key;
        let upstream = &opened.selection.upstream;
        self.context
            .entry
            .note_response(sent, upstream, status, map);
        let echoed = head::text(map, headers::ATTEMPT_ID);
        let ours = echoed.is_none_or(|id| id == self.context.call.attempt);
        let not_run =
            map.contains_key(headers::NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST;
        if not_run && ours {
            let named = head::text(map, headers::FAILED_ENGINE).and_then(|a| a.parse().ok());
            let named = named.map(|a: SocketAddrV4| address_key(a));
            // A live engine refuses at once; a dead engine in the path shows only after a
            // stall.
            let stalled = self.context.entry.now().since(sent)
                >= self.context.entry.boot.bounds.stall_timeout / 2;
            // The pause says enough: the upstream is neither dead nor failing.
            if pause_asked(status, map).is_some() {
                return Outcome::Failed {
                    failure: Failure::NotRun,
                    culprit: Some(first),
                    cause: PAUSED,
                };
            }
            return Outcome::Failed {
                failure: Failure::NotRun,
                culprit: Some(named.unwrap_or(first)),
                cause: if stalled { DEAD_ENGINE } else { REFUSED },
            };
        }
        let signed = map.contains_key(headers::SIGNATURE);
        // No request asks for an encoding, so an encoded body isn't the upstream's.
        let encoded = map.contains_key(CONTENT_ENCODING);
        if !signed || !ours || encoded {
            return Outcome::Failed {
                failure: Failure::Unknown,
                culprit: Some(first),
                cause: GARBAGE,
            };
        }
        if status.is_server_error() || call::PROMISES.contains(&status) {
            return Outcome::UpstreamError(Box::new(opened));
        }
        Outcome::Answered(Box::new(opened))
    }
}
