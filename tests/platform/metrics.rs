//! What an engineer on call sees: metrics and log lines.

use crate::deployment::{Deployment, KEY};

/// The value of a metric with exactly these labels, or 0.
fn value(text: &str, name: &str) -> f64 {
    let mut lines = text.lines().filter_map(|l| l.split_once(' '));
    let found = lines.find(|(n, _)| *n == name);
    found.map_or(0.0, |(_, v)| v.parse().expect("a number"))
}

/// Someone complains that requests fail. The metrics must tell what was served
/// and refused, who leads, and whether all layers are held; and they are read by
/// more people than the keys are given to.
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
            "a key is shown"
        );
        assert!(!text.contains("m-1"), "an id is shown");
    }
}
