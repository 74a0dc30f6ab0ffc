//! Tests of [`crate::decide::rank`].

use std::collections::BTreeSet;

use rstest::rstest;

use crate::configuration::{Configuration, RoutingTable};
use crate::decide::rank::{RANKS, Rank, RankTable};
use crate::platform::configuration::decode;
use crate::tests::platform::CONFIGURATION;

fn set(priorities: &[Option<u8>]) -> BTreeSet<Option<u8>> {
    priorities.iter().copied().collect()
}

#[test]
fn organisation_before_route() {
    let table = RankTable::new(
        &set(&[Some(0), Some(1)]),
        &set(&[Some(0), Some(1), Some(2)]),
    );
    let table = table.unwrap();
    let ranks = [(0, 0), (0, 1), (0, 2), (1, 0), (1, 1), (1, 2)];
    for (index, (organisation, route)) in ranks.into_iter().enumerate() {
        assert_eq!(table.rank(Some(organisation), Some(route)).index(), index);
    }
}

/// Guards against ranks where no route is more urgent than another.
#[rstest]
#[case::one(&[Some(1)])]
#[case::not_stated(&[None, Some(1)])]
#[case::none(&[])]
fn equal_routes_unranked(#[case] routes: &[Option<u8>]) {
    assert_eq!(
        RankTable::new(&set(&[Some(0), Some(1)]), &set(routes)),
        None
    );
}

/// Guards against an index beyond the classes that engines know.
#[test]
fn many_priorities_share_last() {
    let routes: BTreeSet<Option<u8>> = (0..30).map(Some).collect();
    let table = RankTable::new(&set(&[None]), &routes).unwrap();
    assert_eq!(table.rank(None, Some(8)).index(), 8);
    assert_eq!(table.rank(None, Some(9)), Rank::new(RANKS - 1));
    assert_eq!(table.rank(None, Some(29)), Rank::new(RANKS - 1));
}

fn configuration() -> Configuration {
    decode(CONFIGURATION.as_bytes()).unwrap()
}

/// Guards against ranks at a deployment whose routes to the model have one priority, although its
/// organisations and its plain services' routes have others.
#[test]
fn one_priority_unranked() {
    let table = RoutingTable::new(configuration());
    let organisations = table.configuration.organisations.as_deref().unwrap();
    let route = &table.configuration.routes[0];
    for organisation in organisations {
        assert_eq!(table.rank("models", route, Some(organisation)), None);
    }
}

#[test]
fn ranked_service() {
    let mut configuration = configuration();
    let mut urgent = configuration.routes[0].clone();
    urgent.prefix = "/urgent/".to_owned();
    urgent.priority = Some(0);
    configuration.routes.push(urgent);
    let table = RoutingTable::new(configuration);
    let organisations = table.configuration.organisations.as_deref().unwrap();
    let routes = &table.configuration.routes;
    let rank = |route: usize, organisation| table.rank("models", &routes[route], organisation);
    // The first organisation has priority 1, the second and requests without one have none.
    assert_eq!(rank(2, Some(&organisations[0])), Some(Rank::new(0)));
    assert_eq!(rank(0, Some(&organisations[0])), Some(Rank::new(1)));
    assert_eq!(rank(2, Some(&organisations[1])), Some(Rank::new(2)));
    assert_eq!(rank(0, None), Some(Rank::new(3)));
    assert_eq!(table.rank("desk", &routes[0], None), None);
}
