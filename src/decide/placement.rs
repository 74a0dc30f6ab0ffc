//! Plans which layers each engine holds.
//!
//! Load pattern: tens of engines of a few kinds in several failure domains, none of which holds
//! a whole model. A token that crosses into another domain uses a link that all share, and whose
//! capacity is less than one crossing of the whole load. Each domain that can therefore gets a
//! whole pipeline of its own. An engine that is filled with layers has no memory for requests,
//! so each holds only as many as leave room. The remaining capacity holds second copies of
//! layers, which take over when an engine is lost.

use self::layout::Group;
use crate::configuration::Model;
use crate::roster::LayerRange;

mod layout;
mod relief;

/// Numbers of usual requests for which each engine reserves memory, tried in this order. A
/// domain of the users' size has some fifty in flight on a busy day, and takes the load of
/// another one that has lost an engine.
const RESERVED: [f64; 7] = [100.0, 80.0, 60.0, 40.0, 24.0, 12.0, 4.0];

/// Number of usual requests for which the holders of a layer together should have room. With
/// less, that layer limits the whole pipeline.
const MIN_LAYER_ROOM: f64 = 60.0;

/// Number of usual requests by which a layer's room may fall short of an equal division of the
/// engines' room among all layers.
///
/// A layer that falls shorter gets the next copy, however fast its holder is, since the layer with
/// the least room limits how many requests run at once. If none does, the slowest layers get the
/// next copy, which keeps batches small.
///
/// In a domain of thirteen engines, which has room for some 120 requests per layer and needs sixty,
/// speed takes precedence. A domain of 33 engines has room for 340 and needs 250.
const MAX_ROOM_DEFICIT: f64 = 60.0;

/// Factor on the memory that running requests use now, since their responses still grow. An
/// engine that runs out of memory interrupts the newest of them.
const GROWTH: f64 = 1.3;

/// Numbers of usual requests for which an engine reserves memory when it takes layers of a lost
/// neighbour, tried in this order. With 24, a domain of the users' size still serves ten
/// requests a second.
const STRETCH_RESERVED: [f64; 3] = [60.0, 40.0, 24.0];

/// The same when that doesn't close the gap. The last one is what the users' smallest engines
/// reserve when they are full: little room, but a gap of one layer stops the whole pipeline.
const BRIDGE_RESERVED: [f64; 2] = [12.0, 6.0];

/// Step of the number of usual requests for which a balanced layout reserves memory: the largest
/// multiple at which the engines still hold all layers.
const BALANCE_STEP: f64 = 8.0;
const BALANCE_STEPS: u32 = 20;

/// Ratio of a balanced layout's room to that of the current one from which the gain justifies its
/// many loads.
const BALANCE_GAIN: f64 = 1.5;

/// An engine that can hold layers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Worker {
    /// Failure domain.
    pub(crate) domain: String,
    /// Memory for layers and requests, in megabytes.
    pub(crate) size_mb: f64,
    /// Factor on the duration of a step; lower is faster.
    pub(crate) step_factor: f64,
    /// Factor on the time of reading a prompt; lower is faster.
    pub(crate) read_factor: f64,
    /// Memory that running requests use, in megabytes.
    pub(crate) used_mb: f64,
    /// Layers that it holds or is loading.
    pub(crate) held: Option<LayerRange>,
    /// Layers that it has loaded.
    pub(crate) loaded: Option<LayerRange>,
    /// Whether it has a pending order, so that it gets no other.
    pub(crate) busy: bool,
}

/// New layers for an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Move {
    /// Index of the engine.
    pub(crate) worker: usize,
    pub(crate) range: LayerRange,
}

/// Returns the next moves towards a whole pipeline in each group of domains; none if no change
/// is needed.
pub(crate) fn plan(model: &Model, workers: &[Worker]) -> Vec<Move> {
    let groups = group(model, workers);
    let plans = groups.iter().map(|g| Group::new(model, workers, g).plan());
    plans.flatten().collect()
}

/// Maximum number of layers of an engine that reserves memory for `requests`.
fn capacity(model: &Model, size_mb: f64, requests: f64) -> u32 {
    let tokens = requests * model.usual_tokens();
    let layer = model.layer_mb + tokens * model.token_mb;
    ((size_mb / layer).floor() as u32).min(model.layers)
}

fn total(model: &Model, workers: &[Worker], members: &[usize], requests: f64) -> u32 {
    let sizes = members.iter().map(|&i| workers[i].size_mb);
    sizes.map(|s| capacity(model, s, requests)).sum()
}

/// Groups the engines. Each domain that can hold a whole pipeline is a group; the others
/// together form another one, or join the largest if they cannot hold a whole pipeline either.
fn group(model: &Model, workers: &[Worker]) -> Vec<Vec<usize>> {
    let mut domains: Vec<&str> = workers.iter().map(|w| w.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    let min_reserved = RESERVED[RESERVED.len() - 1];
    let is_whole = |m: &[usize]| total(model, workers, m, min_reserved) >= model.layers;
    let members = |d: &str| -> Vec<usize> {
        (0..workers.len())
            .filter(|&i| workers[i].domain == d)
            .collect()
    };
    let (mut whole, partial): (Vec<_>, Vec<_>) =
        domains.into_iter().map(members).partition(|m| is_whole(m));
    let rest: Vec<usize> = partial.concat();
    if rest.is_empty() {
        return whole;
    }
    match whole.iter_mut().max_by_key(|m| m.len()) {
        Some(largest) if !is_whole(&rest) => largest.extend(rest),
        _ => whole.push(rest),
    }
    whole
}
