//! Tests of [`crate::controller::page`].

use std::time::Duration;

use rstest::rstest;

use crate::clock::Time;
use crate::controller::page::{PAGE_UPSTREAMS, PageBudget};

/// Lets instances fetch a roster at the same time. Returns when the last one has it, and the
/// largest number of upstreams that were sent within one second.
fn fetch(instances: usize, upstreams: usize) -> (Duration, usize) {
    let mut budget = PageBudget::new();
    let mut due = vec![(Time::default(), upstreams); instances];
    let mut sent: Vec<(Time, usize)> = Vec::new();
    while let Some(next) = due.iter_mut().filter(|(_, left)| *left > 0).min() {
        let (now, left) = *next;
        let count = left.min(PAGE_UPSTREAMS);
        *next = (now + budget.spend(now, count), left - count);
        sent.push((now, count));
    }
    let last = sent.last().map_or(Time::default(), |(at, _)| *at);
    let mut most = 0;
    for (i, (from, _)) in sent.iter().enumerate() {
        let window = sent[i..]
            .iter()
            .take_while(|(at, _)| at.since(*from) < Duration::from_secs(1));
        most = most.max(window.map(|(_, count)| count).sum());
    }
    (last.since(Time::default()), most)
}

/// Guards against an instance that starts and can't serve for six seconds, since it fetches the
/// roster in parts a quarter of a second apart although the controller has room.
#[rstest]
#[case::upstreams_1000(1_000)]
#[case::upstreams_3000(3_000)]
#[case::upstreams_6000(6_000)]
fn spend_one_instance(#[case] upstreams: usize) {
    let (took, _) = fetch(1, upstreams);
    assert!(took < Duration::from_secs(2), "{took:?}");
}

/// Guards against a controller whose link is full with rosters while all instances start: 30 and 98
/// are those of one follower, 300 those of a leader alone.
#[rstest]
#[case::instances_30(30)]
#[case::instances_98(98)]
#[case::instances_300(300)]
fn spend_all_instances(#[case] instances: usize) {
    let (_, most) = fetch(instances, 3_000);
    // 200,000 upstreams are 15 MB, of the 21 MB that the smallest controller's link carries.
    assert!(most < 200_000, "{most} upstreams in one second");
}
