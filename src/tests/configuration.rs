//! Tests of [`crate::configuration`]: lookups.

use rstest::rstest;

use super::platform::CONFIGURATION;
use crate::configuration::RoutingTable;
use crate::platform::configuration::decode;

#[rstest]
#[case::longest_prefix("a.example", "/l/deep/x", Some("deep"))]
#[case::short_prefix("a.example", "/l/x", Some("letters"))]
#[case::host_case("A.Example", "/l/x", Some("letters"))]
#[case::host_port("a.example:80", "/l/x", Some("letters"))]
#[case::no_slash("a.example", "/l", None)]
#[case::other_host("b.example", "/l/x", None)]
fn find_route(#[case] host: &str, #[case] path: &str, #[case] name: Option<&str>) {
    let table = RoutingTable::new(decode(CONFIGURATION.as_bytes()).unwrap());
    let matched = table.find_route(host, path, Some("k1"));
    assert_eq!(matched.map(|f| f.route.name.as_str()), name);
}

#[rstest]
#[case::first_key(Some("k1"), Some("one"))]
#[case::second_key(Some("k2"), Some("one"))]
#[case::other(Some("k3"), Some("two"))]
#[case::unknown(Some("k4"), None)]
#[case::missing(None, None)]
fn find_organisation(#[case] key: Option<&str>, #[case] name: Option<&str>) {
    let table = RoutingTable::new(decode(CONFIGURATION.as_bytes()).unwrap());
    let matched = table.find_route("a.example", "/l/x", key).unwrap();
    assert_eq!(matched.organisation.map(|o| o.name.as_str()), name);
    assert!(!matched.public);
}

#[rstest]
#[case(0.0, "models")]
#[case(0.89, "models")]
#[case(0.91, "desk")]
#[case(0.999, "desk")]
fn target_by_weight(#[case] draw: f64, #[case] service: &str) {
    let decoded = decode(CONFIGURATION.as_bytes()).unwrap();
    assert_eq!(decoded.routes[0].target(draw).service, service);
}

#[test]
fn target_without_weight() {
    // The last target has a weight of 0. It must not be selected, however the draw is rounded.
    let mut decoded = decode(CONFIGURATION.as_bytes()).unwrap();
    decoded.routes[0].targets[1].weight = 0.0;
    assert_eq!(decoded.routes[0].target(0.999_999_999).service, "models");
}
