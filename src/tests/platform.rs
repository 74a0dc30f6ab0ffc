//! Tests of [`crate::platform`]: decoding of the platform's messages into the crate's types.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use rstest::rstest;

use crate::configuration::{ConfigurationError, RetryPolicy};
use crate::decide::path::Hop;
use crate::platform::boot::Boot;
use crate::platform::call::Call;
use crate::platform::{configuration, engine, heartbeat, prompt};
use crate::roster::LayerRange;

const BOOT: &str = r#"
node = "core-a-1"
role = "controller"
ip = "10.1.0.43"
zone = "a"
portRange = [7340,7355]
seeds = ["10.1.0.43:8229","10.2.0.32:8229"]
firstStart = true
dataDir = "/data/controller"
beatMs = 1200
somethingNew = 7
[faultTolerance]
machines = 2
[listen]
control = "10.1.0.43:8229"
[bounds]
graceS = 8
revokeMs = 5000
retryRatio = 0.2
stall_ms = 2500
strictRevoke = true
"#;

pub(super) const CONFIGURATION: &str = r#"{"version":7,
"routes":[
 {"name":"letters","host":"a.example","pathPrefix":"/l/","type":"streaming","timeoutMs":20000,
  "sloMs":500,"priority":1,"split":[{"service":"models","weight":90},{"service":"desk","weight":10}],
  "attempts":2,"public":false,"sticky":true,"resumable":true,"gapSloMs":200},
 {"name":"deep","host":"a.example","pathPrefix":"/l/deep/","type":"idempotent","timeoutMs":1200,
  "service":"desk","attempts":2,"public":true}],
"services":[
 {"name":"models","healthPath":"/healthz","maxConns":1048,"backend":{"slots":192,"kvTokenBytes":590000,
  "step_ms":0.85,"per_seq_ms":0.00382,"context_per_k":0.00512,"read_per_s":196000.0,
  "usual":{"prompt":772,"answer":174},"layers":80,"layerMb":1750.0,
  "types":[{"name":"h100","sizeMb":72000.0,"pace":1.4,"readFactor":1.0},
           {"name":"t4","sizeMb":14400.0,"pace":15.0,"readFactor":15.0}]}},
 {"name":"desk","healthPath":"/healthz","maxConns":52}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"one","apiKeys":["k1","k2"],"priority":1},{"name":"two","apiKeys":["k3"]}]}"#;

#[test]
fn decode_boot() {
    let boot = Boot::decode(BOOT).unwrap();
    assert_eq!(boot.domain, "a");
    assert_eq!(boot.ports, (7340, 7355));
    assert_eq!(boot.seeds.len(), 2);
    assert!(boot.first_start);
    assert_eq!(boot.fault_tolerance, 2);
    assert_eq!(boot.bounds.stall_timeout, Duration::from_millis(2500));
    assert_eq!(boot.bounds.retry_window, Duration::from_secs(10));
    assert_eq!(boot.callers, None);
}

#[rstest]
#[case::not_toml("node = ")]
#[case::no_address("node = \"a\"\nportRange = [1,2]\n")]
fn decode_boot_fault(#[case] text: &str) {
    assert!(Boot::decode(text).is_err());
}

#[test]
fn decode_configuration() {
    let decoded = configuration::decode(CONFIGURATION.as_bytes()).unwrap();
    assert_eq!(decoded.check(), Ok(()));
    assert_eq!(decoded.version, 7);
    assert_eq!(decoded.routes[0].retry_policy, RetryPolicy::Resume);
    assert_eq!(decoded.routes[0].targets.len(), 2);
    assert_eq!(decoded.routes[1].retry_policy, RetryPolicy::Always);
    let model = decoded.services[0].model.as_ref().unwrap();
    assert_eq!(model.layers, 80);
    assert!((model.token_mb - 0.007_375).abs() < 1e-9);
    assert!(decoded.services[1].model.is_none());
}

#[test]
fn decode_configuration_hides_keys() {
    let decoded = configuration::decode(CONFIGURATION.as_bytes()).unwrap();
    assert!(!format!("{decoded:?}").contains("k1"));
}

#[rstest]
#[case::cut_short(&CONFIGURATION[..400])]
#[case::empty("")]
fn decode_configuration_fault(#[case] text: &str) {
    assert!(configuration::decode(text.as_bytes()).is_err());
}

/// Configurations that can be decoded but must not be accepted.
#[rstest]
#[case::unknown_service(r#""service":"desk","attempts""#, r#""service":"none","attempts""#)]
#[case::same_place(r#""/l/deep/""#, r#""/l/""#)]
#[case::no_timeout(r#""timeoutMs":1200"#, r#""timeoutMs":0"#)]
#[case::shared_key(r#"["k3"]"#, r#"["k1"]"#)]
#[case::no_weight(r#""weight":90},{"service":"desk","weight":10}"#, r#""weight":0}"#)]
fn check_invalid(#[case] from: &str, #[case] to: &str) {
    let text = CONFIGURATION.replace(from, to);
    assert_ne!(text, CONFIGURATION);
    let decoded = configuration::decode(text.as_bytes()).unwrap();
    assert!(decoded.check().is_err());
}

#[test]
fn check_names_fault() {
    let text = CONFIGURATION.replace(r#"["k3"]"#, r#"["k1"]"#);
    let decoded = configuration::decode(text.as_bytes()).unwrap();
    let fault: ConfigurationError = decoded.check().unwrap_err();
    assert!(fault.to_string().contains("one and two"));
    assert!(!fault.to_string().contains("k1"));
}

const HEARTBEAT: &str = r#"{"service":"models","addr":"10.3.64.37:8666","zone":"a","version":"v1",
"slots":192,"state":"ready","seq":3,"coldLeftMs":0,"phase":"mixed","models":[],"type":"t4",
"layers":{"from":20,"to":31,"version":1}}"#;

#[test]
fn decode_heartbeat() {
    let decoded = heartbeat::decode("i-1", HEARTBEAT.as_bytes()).unwrap();
    assert_eq!(decoded.layers, Some(LayerRange::new(20, 31)));
    assert_eq!(
        (decoded.sequence, decoded.born, decoded.leaving),
        (3, 0, false)
    );
}

/// A heartbeat that deviates from the platform's format must not be used.
#[rstest]
#[case::state("\"ready\"", "\"resting\"")]
#[case::address("10.3.64.37:8666", "nowhere")]
#[case::type_of_slots("192", "\"192\"")]
#[case::sequence("\"seq\":3,", "")]
#[case::layers("{\"from\":20,\"to\":31,\"version\":1}", "[20,31]")]
fn decode_heartbeat_malformed(#[case] from: &str, #[case] to: &str) {
    let text = HEARTBEAT.replace(from, to);
    assert_ne!(text, HEARTBEAT);
    assert!(heartbeat::decode("i-1", text.as_bytes()).is_none());
}

#[rstest]
#[case::no_layers("{\"from\":20,\"to\":31,\"version\":1}", "null")]
#[case::empty_range("\"to\":31", "\"to\":20")]
fn decode_heartbeat_empty(#[case] from: &str, #[case] to: &str) {
    let text = HEARTBEAT.replace(from, to);
    let decoded = heartbeat::decode("i-1", text.as_bytes()).unwrap();
    assert_eq!(decoded.layers, None);
}

#[rstest]
#[case("POST", "/v1/Config.Replace", Some(Call::Replace))]
#[case("GET", "/v1/Config.Fetch", Some(Call::Fetch))]
#[case("POST", "/v1/Instances.Heartbeat/i-1", Some(Call::Heartbeat("i-1")))]
#[case("POST", "/v1/Instances.Deregister/i-1", Some(Call::Deregister("i-1")))]
#[case("GET", "/v1/Config.Replace", None)]
#[case("GET", "/", None)]
fn decode_call(#[case] method: &str, #[case] path: &str, #[case] call: Option<Call<'_>>) {
    assert_eq!(Call::decode(method, path), call);
}

#[test]
fn encode_path_parts() {
    let hop = |first, end| Hop {
        engine: 0,
        range: LayerRange::new(first, end),
    };
    let hops = [
        ("10.1.64.9:8080".parse().unwrap(), hop(0, 20)),
        ("10.2.64.3:8080".parse().unwrap(), hop(20, 80)),
    ];
    let text = engine::encode_path(&hops);
    assert_eq!(text, "10.1.64.9:8080=0-20,10.2.64.3:8080=20-80");
}

#[rstest]
#[case::usual(&["5c1e07a2:800,91bd3f06:410,e4402b7d:250"], &["5c1e07a2", "91bd3f06"])]
#[case::upper_case(&["5C1E07A2:800, 91bd3f06:41 ,e4402b7d:250"], &["5c1e07a2", "91bd3f06"])]
#[case::only_last(&["e4402b7d:250"], &[])]
#[case::missing(&[], &[])]
#[case::empty(&[""], &[])]
#[case::trailing_comma(&["5c1e07a2:800,e4402b7d:250,"], &["5c1e07a2"])]
#[case::repeated(&["5c1e07a2:800", "91bd3f06:410,e4402b7d:250"], &["5c1e07a2", "91bd3f06"])]
#[case::malformed(&["5c1e07a2,:3,xyz:4,91bd3f06:410,e4402b7d:250"], &["91bd3f06"])]
fn shared_parts_listed(#[case] values: &[&str], #[case] expected: &[&str]) {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append("x-prefix-hash", HeaderValue::from_str(value).unwrap());
    }
    let prompt = prompt::decode(&headers);
    let ids: Vec<&str> = prompt.parts.iter().map(|p| &*p.id).collect();
    assert_eq!(ids, expected);
}

#[test]
fn shared_parts_bounded() {
    let parts: Vec<_> = (0..1_000).map(|i| format!("{i:x}:1")).collect();
    let mut headers = HeaderMap::new();
    headers.insert("x-prefix-hash", parts.join(",").parse().unwrap());
    assert_eq!(prompt::decode(&headers).parts.len(), 64);
}
