//! Tests of [`crate::entry::proxy::message`] and [`crate::decide::proxies`].

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request};
use rstest::rstest;

use super::at;
use crate::auth::FleetKey;
use crate::decide::proxies::{MAX_PROXIES, Proxies};
use crate::entry::proxy::message::{Envelope, EnvelopeError, RESERVED_HEADERS};
use crate::id::InstanceId;

fn envelope() -> Envelope {
    Envelope {
        target: "10.1.64.18:8322".parse().unwrap(),
        upstream: "i-1".to_owned(),
        service: "models".to_owned(),
        sender: InstanceId(7),
    }
}

fn sealed(key: &[u8]) -> Request<()> {
    let mut request = Request::post("/letters/x?a=1").body(()).unwrap();
    let headers = request.headers_mut();
    headers.insert("x-tenant", HeaderValue::from_static("one"));
    headers.insert("x-attempt-id", HeaderValue::from_static("a-1"));
    envelope().seal(&FleetKey::new(key), &mut request);
    request
}

fn open(request: &mut Request<()>) -> Result<Envelope, EnvelopeError> {
    let (method, uri) = (request.method().clone(), request.uri().clone());
    Envelope::open(
        &FleetKey::new(b"fleet"),
        &method,
        &uri,
        request.headers_mut(),
    )
}

#[test]
fn open_sealed() {
    let mut request = sealed(b"fleet");
    // Headers of the connection differ on the carrier's side.
    let length = HeaderValue::from_static("4");
    request.headers_mut().insert("content-length", length);
    assert_eq!(open(&mut request), Ok(envelope()));
    let left = |name: &&str| request.headers().contains_key(*name);
    assert!(!RESERVED_HEADERS.iter().any(left));
}

/// Guards against running a request of a process that isn't an instance of the fleet, past the
/// callers' keys.
#[rstest]
#[case::target("lq-target", "10.1.64.19:8322")]
#[case::service("lq-service", "desk")]
#[case::sender("lq-sender", "8")]
#[case::upstream("x-expect-instance", "i-2")]
#[case::organisation("x-tenant", "two")]
#[case::attempt("x-attempt-id", "a-2")]
#[case::added("x-hop-count", "10.1.64.19:8322=0-8")]
#[case::signature("lq-signature", "1")]
fn open_changed_header(#[case] name: &'static str, #[case] value: &'static str) {
    let mut request = sealed(b"fleet");
    let name = HeaderName::from_static(name);
    let value = HeaderValue::from_static(value);
    request.headers_mut().insert(name, value);
    assert_eq!(open(&mut request), Err(EnvelopeError::Signature));
}

#[test]
fn open_changed_line() {
    let mut request = sealed(b"fleet");
    *request.uri_mut() = "/letters/y?a=1".parse().unwrap();
    assert_eq!(open(&mut request), Err(EnvelopeError::Signature));
    let mut request = sealed(b"fleet");
    *request.method_mut() = Method::PUT;
    assert_eq!(open(&mut request), Err(EnvelopeError::Signature));
}

#[test]
fn open_other_key() {
    assert_eq!(
        open(&mut sealed(b"another fleet")),
        Err(EnvelopeError::Signature)
    );
}

#[rstest]
#[case::none(None)]
#[case::empty(Some(""))]
#[case::no_digits(Some("zz"))]
#[case::too_long(Some("111111111111111111111111111111111"))]
fn open_unreadable_signature(#[case] signature: Option<&'static str>) {
    let mut request = sealed(b"fleet");
    let map: &mut HeaderMap = request.headers_mut();
    map.remove("lq-signature");
    if let Some(text) = signature {
        map.insert("lq-signature", HeaderValue::from_static(text));
    }
    assert_eq!(open(&mut request), Err(EnvelopeError::Incomplete));
}

fn known(count: u64) -> Proxies {
    let mut proxies = Proxies::default();
    proxies.update((1..=count).map(InstanceId));
    proxies
}

/// Guards against sending all requests through one instance while others are idle.
#[test]
fn choose_least_carried() {
    let mut proxies = known(3);
    for _ in 0..30 {
        let id = proxies.choose(at(0), &[], 0.5).unwrap();
        proxies.begin(id);
    }
    for id in 1..=3 {
        for _ in 0..10 {
            proxies.end(InstanceId(id));
        }
    }
    assert_eq!(proxies.carried(), 0);
}

#[test]
fn choose_without_excluded() {
    let mut proxies = known(2);
    proxies.exclude(at(0), InstanceId(1));
    assert_eq!(proxies.choose(at(100), &[], 0.0), Some(InstanceId(2)));
    assert_eq!(proxies.choose(at(100), &[InstanceId(2)], 0.0), None);
    proxies.exclude(at(0), InstanceId(2));
    assert!(!proxies.any_usable(at(100)));
    assert!(proxies.any_usable(at(600)));
}

/// Guards against refusing requests as unreachable, and calling the instance isolated, since all
/// carriers were silent at once.
#[test]
fn choose_silent_last() {
    let mut proxies = known(2);
    proxies.record_silent(at(0), InstanceId(1));
    for _ in 0..3 {
        let id = proxies.choose(at(100), &[], 0.0).unwrap();
        assert_eq!(id, InstanceId(2), "the other carries more, but responds");
        proxies.begin(id);
    }
    proxies.record_silent(at(100), InstanceId(2));
    assert_eq!(proxies.choose(at(200), &[], 0.0), Some(InstanceId(1)));
    assert!(proxies.any_usable(at(200)));
    // A refusal counts also where the others are silent.
    proxies.exclude(at(200), InstanceId(1));
    assert_eq!(proxies.choose(at(300), &[], 0.0), Some(InstanceId(2)));
}

/// Guards against unbounded memory, and against losing all carriers to a new leader that knows no
/// instance yet.
#[test]
fn update_bounded() {
    let mut proxies = known(100);
    let most = (0..100).filter(|id| {
        let tried: Vec<_> = (1..=100).map(InstanceId).filter(|i| i.0 != *id).collect();
        proxies.choose(at(0), &tried, 0.0).is_some()
    });
    assert_eq!(most.count(), MAX_PROXIES);
    proxies.update(std::iter::empty());
    assert!(proxies.any_usable(at(0)));
}
