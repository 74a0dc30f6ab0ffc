//! Which layers each engine holds.
//!
//! Load pattern: tens of engines of a few kinds in several failure domains,
//! none of which holds a whole model. A token that crosses into another domain
//! uses a link that all share and that carries less than one crossing of the
//! load, so every domain that can gets a whole pipeline of its own. An engine
//! filled with layers to the brim has no memory for requests, so each holds
//! only as many as leave room; what remains goes into a second copy of layers,
//! which takes over when an engine is lost.

use self::layout::Group;
use crate::configuration::Model;
use crate::roster::LayerRange;

mod layout;
mod relief;

/// Requests for which each engine keeps memory, tried in this order. A domain
/// of the users' size has some fifty under way on a busy day, and takes the
/// load of another one when that has lost an engine.
const ROOMS: [f64; 7] = [100.0, 80.0, 60.0, 40.0, 24.0, 12.0, 4.0];

/// Requests for which the holders of a layer together should have memory. With
/// less the whole pipeline is held up by that layer.
const LEAST_ROOM: f64 = 60.0;

/// Requests by which a layer may have less room than it would if the engines
/// gave all layers the same. With still less it gets the next copy, however fast
/// its holder is: the layer with the least room bounds how many requests run at
/// once. The rest goes into copies of slow layers, which keep batches short. A
/// domain of thirteen engines has room for some 120 a layer and needs sixty, so
/// speed goes first there (sum of worth over ten days with trouble 5.51, with
/// 0.8 of the fair room for each layer 4.94); one of 33 has room for 340 and
/// needs 250 (worth of a day of high load 0.61 against 0.32).
const UNFAIR: f64 = 60.0;

/// Memory that an engine keeps besides what its running requests take now, as
/// a share of it: their answers still grow. An engine whose memory runs out
/// interrupts the newest of them.
const GROWTH: f64 = 1.3;

/// Requests for which an engine keeps memory when it takes layers of a lost
/// neighbour, tried in this order. With 24 a domain of the users' size still
/// serves ten requests a second.
const STRETCHED: [f64; 3] = [60.0, 40.0, 24.0];

/// The same when no spare engine is left. The last is what the smallest engines
/// of the users keep when they are full to the brim: little room, but a gap of
/// one layer stops the whole pipeline.
const BRIMFUL: [f64; 2] = [12.0, 6.0];

/// Requests for which a balanced layout keeps memory: the largest multiple of
/// this step that the engines bear.
const BALANCE_STEP: f64 = 8.0;
const BALANCE_STEPS: u32 = 20;

/// Room of a balanced layout over that of the present one from which the many
/// loads are worth it.
const BALANCE_GAIN: f64 = 1.5;

/// An engine that can hold layers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Worker {
    /// Failure domain.
    pub(crate) domain: String,
    /// Memory for layers and requests, in megabytes.
    pub(crate) size_mb: f64,
    /// Factor on the time of a step; lower is faster.
    pub(crate) step_factor: f64,
    /// Factor on the time of reading; lower is faster.
    pub(crate) read_factor: f64,
    /// Memory that running requests take, in megabytes.
    pub(crate) used_mb: f64,
    /// Layers that it holds, or is loading.
    pub(crate) held: Option<LayerRange>,
    /// Those of them that it has loaded.
    pub(crate) loaded: Option<LayerRange>,
    /// Whether an order for it is under way: it isn't given another.
    pub(crate) busy: bool,
}

/// An engine, by index, that should hold other layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Move {
    pub(crate) worker: usize,
    pub(crate) range: LayerRange,
}

/// The orders that bring the engines nearer to a whole pipeline in each group
/// of domains. Nothing to order means that all is well.
pub(crate) fn plan(model: &Model, workers: &[Worker]) -> Vec<Move> {
    let groups = group(model, workers);
    let plans = groups.iter().map(|g| Group::new(model, workers, g).plan());
    plans.flatten().collect()
}

/// Most layers of an engine that keeps memory for `requests`.
fn capacity(model: &Model, size_mb: f64, requests: f64) -> u32 {
    let tokens = requests * model.usual_tokens();
    let layer = model.layer_mb + tokens * model.token_mb;
    ((size_mb / layer).floor() as u32).min(model.layers)
}

fn total(model: &Model, workers: &[Worker], members: &[usize], requests: f64) -> u32 {
    let sizes = members.iter().map(|&i| workers[i].size_mb);
    sizes.map(|s| capacity(model, s, requests)).sum()
}

/// Engines by group: each domain that can hold a whole pipeline is a group;
/// the others together are one, or join the largest if they still can't.
fn group(model: &Model, workers: &[Worker]) -> Vec<Vec<usize>> {
    let mut domains: Vec<&str> = workers.iter().map(|w| w.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    let least = ROOMS[ROOMS.len() - 1];
    let is_whole = |m: &[usize]| total(model, workers, m, least) >= model.layers;
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
