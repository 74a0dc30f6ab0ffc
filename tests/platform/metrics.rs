//! Metrics of controllers and entry instances.

use crate::deployment::{Deployment, KEY};

/// Value of the metric with exactly this name and these labels, or 0.
fn value(text: &str, name: &str) -> f64 {
    let mut lines = text.lines().filter_map(|l| l.split_once(' '));
    let found = lines.find(|(n, _)| *n == name);
    found.map_or(0.0, |(_, v)| v.parse().expect("a number"))
}

/// Guards against metrics that don't show which requests were served, which controller
/// leads and whether all layers are loaded, and against keys or attempt IDs in them: more
/// people can read metrics than may know the keys.
#[test]
fn metrics_tell_state() {
    let deployment = Deployment::start();
    assert_eq!(deployment.request(0, "/letters/x", "m-1", KEY).0, 200);
    assert_eq!(deployment.request(0, "/bookings/x", "m-2", KEY).0, 200);
    assert_eq!(
        deployment.request(0, "/lookups/x", "m-3", "no such key").0,
        401
    );
    let read = deployment.metrics();
    let (controllers, entries) = read.split_at(3);
    let sum = |name: &str| controllers.iter().map(|c| value(c, name)).sum::<f64>();
    assert_eq!(sum("controller_leads"), 1.0);
    assert_eq!(sum("controller_entries"), 2.0);
    let leader = controllers
        .iter()
        .find(|c| value(c, "controller_leads") > 0.0);
    let leader = leader.unwrap();
    assert_eq!(value(leader, "controller_voters"), 3.0);
    assert!(leader.contains("controller_nonvoters 0\n"), "{leader}");
    let known = "controller_upstreams{service=\"models\",state=\"sound\"}";
    assert_eq!(value(leader, known), 5.0);
    for domain in crate::deployment::DOMAINS {
        let missing =
            format!("controller_missing_layers{{service=\"models\",domain=\"{domain}\"}}");
        assert!(leader.contains(&missing), "{leader}");
        assert_eq!(value(leader, &missing), 0.0);
    }
    let entry = &entries[0];
    let ended = |kind, outcome| {
        let name = format!("entry_requests_total{{kind=\"{kind}\",outcome=\"{outcome}\"}}");
        value(entry, &name)
    };
    assert!(ended("stream", "whole") >= 1.0);
    assert_eq!(ended("once", "answered"), 1.0);
    assert!(value(entry, "entry_first_event_seconds_count") >= 1.0);
    assert_eq!(value(entry, "entry_configuration_version"), 1.0);
    assert_eq!(value(entry, "entry_roster_complete"), 1.0);
    assert!(value(entry, "entry_lease_seconds") > 0.0);
    assert!(value(entry, "entry_retries_left{service=\"desk\"}") > 1.0);
    for text in &read {
        assert!(
            !text.contains(KEY) && !text.contains("no such key"),
            "the metrics contain a key"
        );
        assert!(!text.contains("m-1"), "the metrics contain an attempt ID");
    }
}
