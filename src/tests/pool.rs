//! Tests of [`crate::entry::pool`].

use std::net::SocketAddrV4;

use super::decide::model;
use crate::decide::load::Loads;
use crate::decide::path::{Hop, Work};
use crate::entry::pool::{Pool, withdrawn};
use crate::entry::view::{Services, Upstream};
use crate::roster::LayerRange;
use crate::sync::address_key;

pub(super) const WORK: Work = Work {
    prompt: 100.0,
    answer: 50.0,
    token_mb: 0.001,
    crossing_ms: 0.02,
    may_cross: false,
    caller_domain: 0,
    headroom: 0.0,
    obeys_quota: false,
};

pub(super) fn engine(host: u8, domain: &str, first: u32, end: u32) -> Upstream {
    let address = SocketAddrV4::new([10, 0, 0, host].into(), 80);
    Upstream {
        id: format!("i-{host}").into(),
        born: 0,
        key: address_key(address),
        address,
        domain: domain.to_owned(),
        slots: 8,
        kind: Some(model().accelerators[0].name.clone()),
        layers: Some(LayerRange::new(first, end)),
        late: false,
        pace: 1.0,
        suspected: false,
    }
}

/// Guards against a suspect request that enters the only holder of a layer, or a fast engine where
/// a slow one can be spared: it would take the whole domain along.
#[test]
fn restrict_to_spare_slow_copy() {
    let mut fast = engine(1, "a", 0, 6);
    let slow = engine(2, "a", 0, 3);
    let rest = engine(3, "a", 6, 10);
    let alone = engine(4, "b", 0, 10);
    fast.pace = 0.1;
    let upstreams = vec![fast, slow, rest, alone];
    let services = Services::from_iter([("letters".to_owned(), upstreams)]);
    let all = |_: &Upstream| Some(1.0);
    let mut pool = Pool::new(
        &services,
        "letters",
        &model(),
        &Loads::default(),
        1,
        1.0,
        all,
    );
    pool.restrict_to_spare(|u| u.key);
    let open = pool.engines.iter().zip(&pool.candidates);
    let open: Vec<&str> = open
        .filter(|(_, c)| c.may_enter)
        .map(|(u, _)| &*u.id)
        .collect();
    assert_eq!(open, ["i-2"]);
}

fn booked(engines: &[&Upstream]) -> Vec<(u64, Hop)> {
    let hop = |u: &&Upstream| {
        let range = u.layers.unwrap();
        (u.key, Hop { engine: 0, range })
    };
    engines.iter().map(hop).collect()
}

fn replace(services: &Services, path: &[&Upstream], lost: &Upstream) -> Option<Vec<u64>> {
    let booked = booked(path);
    let factor = |u: &Upstream| {
        let passed = booked.iter().any(|(key, _)| *key == u.key);
        (!passed).then_some(1.0)
    };
    let pool = Pool::new(
        services,
        "letters",
        &model(),
        &Loads::default(),
        1,
        1.0,
        factor,
    );
    let hops = pool.replace(lost.key, &booked, &WORK, 0.5)?;
    Some(hops.into_iter().map(|(key, _)| key).collect())
}

#[test]
fn replace_stays_in_service() {
    // Two services share a domain. An engine of the first dies during a stream, and the only
    // other engine with the same layer numbers holds the other service's model: rerouted there,
    // the stream would continue with the output of another model.
    let (head, tail) = (engine(1, "north", 0, 40), engine(2, "north", 40, 80));
    let other = engine(3, "north", 40, 80);
    let mut services = Services::default();
    services.insert("letters".to_owned(), vec![head.clone(), tail.clone()]);
    services.insert("drafts".to_owned(), vec![other]);
    assert_eq!(replace(&services, &[&head, &tail], &tail), None);
    let spare = engine(4, "north", 40, 80);
    services.get_mut("letters").unwrap().push(spare.clone());
    let found = replace(&services, &[&head, &tail], &tail);
    assert_eq!(found, Some(vec![head.key, spare.key]));
}

#[test]
fn replace_stays_in_domain() {
    let (head, tail) = (engine(1, "north", 0, 40), engine(2, "north", 40, 80));
    let far = engine(3, "south", 40, 80);
    let mut services = Services::default();
    let engines = vec![head.clone(), tail.clone(), far];
    services.insert("letters".to_owned(), engines);
    assert_eq!(replace(&services, &[&head, &tail], &tail), None);
}

#[test]
fn replace_keeps_first() {
    // The first engine holds the caller's connection.
    let (head, tail) = (engine(1, "north", 0, 40), engine(2, "north", 40, 80));
    let copy = engine(3, "north", 0, 40);
    let mut services = Services::default();
    let engines = vec![head.clone(), tail.clone(), copy];
    services.insert("letters".to_owned(), engines);
    assert_eq!(replace(&services, &[&head, &tail], &head), None);
}

#[test]
fn withdrawn_leaving() {
    // An operator removes an engine during streams. It serves for 2 s more and the streams last
    // for 5 s, so each would be cut off.
    let (head, tail) = (engine(1, "north", 0, 40), engine(2, "north", 40, 80));
    let path = booked(&[&head, &tail]);
    assert_eq!(withdrawn(&[head.clone(), tail.clone()], &path), [0; 0]);
    assert_eq!(withdrawn(std::slice::from_ref(&head), &path), [tail.key]);
}

#[test]
fn withdrawn_layers() {
    // The last engine is ordered to hold only layers from 50 on, and loads others once all
    // streams that use the lower ones have ended.
    let (head, tail) = (engine(1, "north", 0, 40), engine(2, "north", 40, 80));
    let path = booked(&[&head, &tail]);
    let fewer = engine(2, "north", 50, 80);
    assert_eq!(withdrawn(&[head.clone(), fewer], &path), [tail.key]);
    let more = engine(2, "north", 30, 80);
    assert_eq!(withdrawn(&[head, more], &path), [0; 0]);
}

#[test]
fn withdrawn_first() {
    // The first engine refuses each order that names it with layers that it gives up, so
    // sending one is useless.
    let (head, tail) = (engine(1, "north", 0, 40), engine(2, "north", 40, 80));
    let path = booked(&[&head, &tail]);
    assert_eq!(withdrawn(&[], &path), [0; 0]);
    assert_eq!(withdrawn(&[tail], &path), [0; 0]);
}
