//! The operator's configuration, as one numbered version.
//!
//! The highest version is in force. A version is validated and accepted as a whole, and never
//! changes afterwards.

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
    /// `None` if requests need no key.
    pub(crate) organisations: Option<Vec<Organisation>>,
}

/// Which parts of a request may be run again after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryPolicy {
    /// None: the request runs at most once.
    Never,
    /// The whole request, any number of times.
    Always,
    /// An interrupted run may be resumed on another upstream after its last event.
    Resume,
}

/// A rule that assigns requests to services.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Route {
    pub(crate) name: String,
    pub(crate) host: String,
    /// Begins and ends with a slash.
    pub(crate) prefix: String,
    pub(crate) retry_policy: RetryPolicy,
    /// Whether the response is a stream of events.
    pub(crate) streams: bool,
    /// Timeout of a request. Above zero.
    pub(crate) timeout: Duration,
    /// Latency objective for the response, or for the first event of a stream.
    pub(crate) objective: Duration,
    /// Latency objective for the gap between two events.
    pub(crate) pause: Duration,
    /// 0 is the most urgent.
    pub(crate) priority: Option<u8>,
    /// Not empty; the sum of the weights is above zero.
    pub(crate) targets: Vec<Target>,
    /// Maximum number of upstreams that may run one attempt of a client.
    pub(crate) attempts: u32,
    /// Whether requests need no key.
    pub(crate) public: bool,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Target {
    pub(crate) service: String,
    pub(crate) weight: f64,
}

/// A group of upstreams that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Service {
    pub(crate) name: String,
    /// The model whose layers are distributed over its engines; `None` for a plain service.
    pub(crate) model: Option<Model>,
}

/// A model, and the cost of running it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Model {
    /// Above zero.
    pub(crate) layers: u32,
    /// Memory of one layer's weights, in megabytes.
    pub(crate) layer_mb: f64,
    /// Memory of one token's key-value cache in one layer, in megabytes.
    pub(crate) token_mb: f64,
    /// Duration of a decoding step through all layers, in milliseconds.
    pub(crate) step_ms: f64,
    /// Milliseconds added to a step by each running request.
    pub(crate) sequence_ms: f64,
    /// Milliseconds added to a step by each token of context.
    pub(crate) context_ms: f64,
    /// Duration of reading one prompt token through all layers, in milliseconds.
    pub(crate) read_ms: f64,
    /// Milliseconds for which a token occupies the link between two failure domains.
    pub(crate) crossing_ms: f64,
    /// Mean number of tokens of a prompt.
    pub(crate) usual_prompt: f64,
    /// Mean number of tokens of an answer.
    pub(crate) usual_answer: f64,
    pub(crate) accelerators: Vec<Accelerator>,
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Accelerator {
    pub(crate) name: String,
    /// Memory for layers and requests, in megabytes.
    pub(crate) size_mb: f64,
    /// Factor on the duration of a step: higher is slower.
    pub(crate) step_factor: f64,
    /// Factor on the duration of reading a prompt: higher is slower.
    pub(crate) read_factor: f64,
}

impl Model {
    /// Returns the accelerator with this name.
    pub(crate) fn accelerator(&self, name: &str) -> Option<&Accelerator> {
        self.accelerators.iter().find(|a| a.name == name)
    }

    /// Returns the mean number of tokens of a request and its answer.
    pub(crate) fn usual_tokens(&self) -> f64 {
        self.usual_prompt + self.usual_answer
    }

    /// Returns the memory of a mean request in `layers` layers, in megabytes.
    pub(crate) fn usual_mb(&self, layers: u32) -> f64 {
        self.usual_tokens() * self.token_mb * f64::from(layers)
    }
}

/// Limits on requests and connections of clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Limits {
    /// Maximum size of a request head, in bytes.
    pub(crate) head: usize,
    /// Maximum size of a request body, in bytes.
    pub(crate) body: usize,
    /// Time after which an idle connection is closed.
    pub(crate) idle: Duration,
}

impl Default for Limits {
    /// Returns the values of existing deployments.
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 4 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

/// An organisation that sends requests, identified by any of its keys.
#[derive(Clone, PartialEq)]
pub(crate) struct Organisation {
    pub(crate) name: String,
    pub(crate) keys: Vec<String>,
    /// Takes precedence over the priority of the route; 0 is the most urgent.
    pub(crate) priority: Option<u8>,
}

impl std::fmt::Debug for Organisation {
    /// Omits the keys, so that they never appear in logs or dumps.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Organisation")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .finish()
    }
}

/// Reason for rejecting a configuration.
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
    /// Validates the constraints that the format does not ensure.
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

    /// Returns the models with the names of their services.
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
