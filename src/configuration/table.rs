//! Lookup of routes, organisations and services in a configuration.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{Configuration, Organisation, Route, Service, Target};
use crate::collections::HashMap;
use crate::decide::rank::{Rank, RankTable};

/// A valid configuration with its indexes.
#[derive(Debug)]
pub(crate) struct RoutingTable {
    pub(crate) configuration: Configuration,
    /// Routes by host in lower case, longest prefix first.
    hosts: HashMap<String, Vec<usize>>,
    /// Organisations by key.
    keys: HashMap<String, usize>,
    services: HashMap<String, usize>,
    /// Ranks of the requests to each model service whose routes differ in priority.
    ranks: HashMap<String, RankTable>,
}

/// Result of [`RoutingTable::find_route`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteMatch<'a> {
    pub(crate) route: &'a Route,
    /// Organisation that owns the key; `None` if the key is missing or unknown, or if the
    /// configuration requires none.
    pub(crate) organisation: Option<&'a Organisation>,
    /// Whether the request needs no key.
    pub(crate) public: bool,
}

impl RoutingTable {
    pub(crate) fn new(configuration: Configuration) -> Arc<Self> {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::default();
        for (i, route) in configuration.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(i);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|&i| std::cmp::Reverse(configuration.routes[i].prefix.len()));
        }
        let mut keys = HashMap::default();
        for (i, organisation) in configuration.organisations.iter().flatten().enumerate() {
            keys.extend(organisation.keys.iter().map(|k| (k.clone(), i)));
        }
        let services = configuration.services.iter().enumerate();
        let services = services.map(|(i, s)| (s.name.clone(), i)).collect();
        let ranks = rank_tables(&configuration);
        Arc::new(Self {
            configuration,
            ranks,
            hosts,
            keys,
            services,
        })
    }

    /// Returns the route for a request, and the organisation that owns its key.
    pub(crate) fn find_route(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Option<RouteMatch<'_>> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let routes = self.hosts.get(&host)?.iter();
        let mut routes = routes.map(|&i| &self.configuration.routes[i]);
        let route = routes.find(|r| path.starts_with(&r.prefix))?;
        let organisations = self.configuration.organisations.as_deref();
        let owner = key.and_then(|k| self.keys.get(k));
        Some(RouteMatch {
            route,
            organisation: owner.and_then(|&i| organisations.map(|o| &o[i])),
            public: route.public || organisations.is_none(),
        })
    }

    /// Returns the rank of a request; `None` if the service is plain or its routes don't differ in
    /// priority.
    pub(crate) fn rank(
        &self,
        service: &str,
        route: &Route,
        organisation: Option<&Organisation>,
    ) -> Option<Rank> {
        let table = self.ranks.get(service)?;
        Some(table.rank(organisation.and_then(|o| o.priority), route.priority))
    }

    /// Returns the service with this name.
    pub(crate) fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.get(name)?;
        Some(&self.configuration.services[*index])
    }
}

fn rank_tables(configuration: &Configuration) -> HashMap<String, RankTable> {
    let organisations = configuration.organisations.iter().flatten();
    let mut priorities: BTreeSet<Option<u8>> = organisations.map(|o| o.priority).collect();
    // Requests on public routes have no organisation.
    priorities.insert(None);
    let table = |(service, _): (&str, _)| {
        let leads = |r: &&Route| {
            r.targets
                .iter()
                .any(|t| t.service == service && t.weight > 0.0)
        };
        let routes = configuration.routes.iter().filter(leads);
        let routes = routes.map(|r| r.priority).collect();
        Some((service.to_owned(), RankTable::new(&priorities, &routes)?))
    };
    configuration.models().filter_map(table).collect()
}

impl Route {
    /// Selects a target by weight. `draw` is a random number in [0, 1).
    pub(crate) fn target(&self, draw: f64) -> &Target {
        let total: f64 = self.targets.iter().map(|t| t.weight).sum();
        let mut remaining = draw * total;
        let mut weighted = self.targets.iter().filter(|t| t.weight > 0.0);
        let mut selected = weighted
            .next()
            .expect("the sum of the weights is above zero");
        for target in weighted {
            if remaining < selected.weight {
                break;
            }
            remaining -= selected.weight;
            selected = target;
        }
        selected
    }
}
