//! The operator's whole configuration, as one numbered version.
//!
//! The highest version is in force. A version is checked as a whole, accepted
//! as a whole, and never changed afterwards.

use std::time::Duration;

use snafu::Snafu;

use crate::collections::{HashMap, HashSet};

mod table;

pub(crate) use self::table::{RouteMatch, RoutingTable};

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Configuration {
    pub(crate) version: u64,
    pub(crate) routes: Vec<Route>,
    pub(crate) services: Vec<Service>,
    pub(crate) limits: Limits,
    /// `None` where requests need no key.
    pub(crate) organisations: Option<Vec<Organisation>>,
}

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryPolicy {
    /// Nothing: it runs at most once.
    Never,
    /// All of it, as often as it takes.
    Always,
    /// A run that broke off may go on behind its last event elsewhere.
    Resume,
}

/// Which requests go where, and how.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Route {
    pub(crate) name: String,
    pub(crate) host: String,
    /// Begins and ends with a slash.
    pub(crate) prefix: String,
    pub(crate) retry_policy: RetryPolicy,
    /// Whether the answer is a stream of events.
    pub(crate) streams: bool,
    /// Longest time that a request is kept waiting. Above zero.
    pub(crate) timeout: Duration,
    /// Time within which an answer, or a stream's first event, is worth most.
    pub(crate) objective: Duration,
    /// Longest pause between two events that is still on time.
    pub(crate) pause: Duration,
    /// 0 goes first.
    pub(crate) priority: u8,
    /// Never empty; the weights sum up to more than zero.
    pub(crate) targets: Vec<Target>,
    /// Most upstreams that may run one attempt of a client.
    pub(crate) attempts: u32,
    /// Whether requests need no key.
    pub(crate) public: bool,
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Target {
    pub(crate) service: String,
    pub(crate) weight: f64,
}

/// A group of upstreams that serve the same.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Service {
    pub(crate) name: String,
    /// The model that its engines share by layers, or `None` of a plain
    /// service.
    pub(crate) model: Option<Model>,
}

/// A model and the speed of the engines that hold it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Model {
    /// Above zero.
    pub(crate) layers: u32,
    /// Memory of one layer's weights, in megabytes.
    pub(crate) layer_mb: f64,
    /// Memory of one token in one layer, in megabytes.
    pub(crate) token_mb: f64,
    /// Milliseconds of a step through all layers.
    pub(crate) step_ms: f64,
    /// Milliseconds that each running request adds to a step.
    pub(crate) sequence_ms: f64,
    /// Milliseconds that each token of context adds to a step.
    pub(crate) context_ms: f64,
    /// Milliseconds to read a prompt token through all layers.
    pub(crate) read_ms: f64,
    /// Milliseconds for which a token occupies the link between two domains.
    pub(crate) crossing_ms: f64,
    /// Mean tokens of a prompt.
    pub(crate) usual_prompt: f64,
    /// Mean tokens of an answer.
    pub(crate) usual_answer: f64,
    pub(crate) accelerators: Vec<Accelerator>,
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Accelerator {
    pub(crate) name: String,
    /// Memory for layers and requests, in megabytes.
    pub(crate) size_mb: f64,
    /// Factor on the time of a step.
    pub(crate) step_factor: f64,
    /// Factor on the time of reading.
    pub(crate) read_factor: f64,
}

impl Model {
    /// The accelerator of this name.
    pub(crate) fn accelerator(&self, name: &str) -> Option<&Accelerator> {
        self.accelerators.iter().find(|a| a.name == name)
    }

    /// Tokens of a usual request, with its answer.
    pub(crate) fn usual_tokens(&self) -> f64 {
        self.usual_prompt + self.usual_answer
    }

    /// Memory that a usual request takes in `layers` layers, in megabytes.
    pub(crate) fn usual_mb(&self, layers: u32) -> f64 {
        self.usual_tokens() * self.token_mb * f64::from(layers)
    }
}

/// Bounds on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Limits {
    /// Longest head of a request, in bytes.
    pub(crate) head: usize,
    /// Longest body, in bytes.
    pub(crate) body: usize,
    /// Longest time for which a connection stays open without a request.
    pub(crate) idle: Duration,
}

impl Default for Limits {
    /// The values of the users' deployments.
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 4 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

/// Who sends requests, known by any of its keys.
#[derive(Clone, PartialEq)]
pub(crate) struct Organisation {
    pub(crate) name: String,
    pub(crate) keys: Vec<String>,
    /// Goes before the priority of the route.
    pub(crate) priority: Option<u8>,
}

impl std::fmt::Debug for Organisation {
    /// Leaves the keys out, so that no log or dump can show them.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Organisation")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .finish()
    }
}

/// Why a configuration can't be in force.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub(crate) enum ConfigurationError {
    #[snafu(display("two routes have the host {host} and the prefix {prefix}; drop one"))]
    DuplicateRoute { host: String, prefix: String },
    #[snafu(display("the route {route} names the service {service}, which isn't listed"))]
    UnknownService { route: String, service: String },
    #[snafu(display("the weights of the route {route} add up to nothing; raise one"))]
    NoWeight { route: String },
    #[snafu(display("the route {route} has no timeout; set one above 0"))]
    NoTimeout { route: String },
    #[snafu(display("the organisations {one} and {other} share a key; take it from one"))]
    SharedKey { one: String, other: String },
}

impl Configuration {
    /// Checks what the format alone doesn't ensure.
    pub(crate) fn check(&self) -> Result<(), ConfigurationError> {
        let services: HashSet<&str> = self.services.iter().map(|s| s.name.as_str()).collect();
        let mut places = HashSet::default();
        for route in &self.routes {
            check_route(route, &services)?;
            if !places.insert((route.host.to_ascii_lowercase(), &route.prefix)) {
                return DuplicateRouteSnafu {
                    host: &route.host,
                    prefix: &route.prefix,
                }
                .fail();
            }
        }
        self.check_keys()
    }

    /// The models, each with the name of the service that generates by it.
    pub(crate) fn models(&self) -> impl Iterator<Item = (&str, &Model)> {
        let services = self.services.iter();
        services.filter_map(|s| Some((s.name.as_str(), s.model.as_ref()?)))
    }

    fn check_keys(&self) -> Result<(), ConfigurationError> {
        let mut owners: HashMap<&str, &str> = HashMap::default();
        for organisation in self.organisations.iter().flatten() {
            let name = organisation.name.as_str();
            for key in &organisation.keys {
                let other = owners.insert(key, name).filter(|o| *o != name);
                if let Some(one) = other {
                    return SharedKeySnafu { one, other: name }.fail();
                }
            }
        }
        Ok(())
    }
}

fn check_route(route: &Route, services: &HashSet<&str>) -> Result<(), ConfigurationError> {
    let name = &route.name;
    let unknown = |t: &&Target| !services.contains(t.service.as_str());
    if let Some(target) = route.targets.iter().find(unknown) {
        return UnknownServiceSnafu {
            route: name,
            service: &target.service,
        }
        .fail();
    }
    let mut weights = route.targets.iter().map(|t| t.weight);
    let total: f64 = weights.clone().sum();
    if total.is_nan() || total <= 0.0 || weights.any(|w| w < 0.0) {
        return NoWeightSnafu { route: name }.fail();
    }
    if route.timeout.is_zero() {
        return NoTimeoutSnafu { route: name }.fail();
    }
    Ok(())
}
