//! What each engine has at work: this instance's own requests exactly, those
//! of the others as last told.
//!
//! Load pattern: several instances share the engines and each sees only its
//! own requests at once. An engine whose memory runs out interrupts the newest
//! request in the middle of its stream, so the sum must be known before a
//! request is placed, not after it has failed.

use crate::collections::HashMap;
use crate::configuration::{Accelerator, Model};
use crate::decide::demand::Demand;
use crate::decide::path::{Hop, Work};
use crate::roster::LayerRange;
use crate::sync::Load;

/// Equal parts of an engine's room that an instance may fill between two
/// reports. Callers are spread unevenly over the instances; with one part each
/// room stayed free (73 instances, high load: worth of a day 0.656 with one part,
/// 0.698 with one and a half, one play each).
const PART: f64 = 1.5;

/// Share of the memory for requests that must be left free on each engine of the
/// path of a usual request, less for a shorter and more for a longer one; and the
/// part of it that is no longer asked for once the request has waited as long as
/// it may.
///
/// What is left covers answers that grow longer than expected and what other
/// instances place meanwhile; and when room is short, a short request finds some
/// sooner than a long one, which would keep it from several. Under three and a
/// half times the usual load for 25 s, 2,589 requests were on time while eight
/// hundredths of the memory were left free for all alike, and 3,957 with this;
/// the worst-served kind and length got 0.29 and 0.38 of its worth (one play
/// each). A share, not a number of requests: eleven requests are a tenth of a fast
/// engine's room and nearly half of a small one's.
const SPARE: f64 = 0.11;
const SHRINKS: f64 = 0.3;

/// Times the usual length beyond which a request needs no more room left, so that
/// no length is shut out; waiting makes up for it as well. With one, 3,603 of the
/// same requests were on time, with two 4,201 (one play each, room left in requests
/// instead of as a share).
const LONG: f64 = 2.0;

/// Holders of each layer at which an instance must have its turn, on average, for
/// its turns to differ by engine. With four a path of ten engines is found nearly
/// always; with fewer the same turn at all engines of a path finds more.
const PLENTY: f64 = 4.0;

/// Part of its wait for which a request that has begun waits for its instance's
/// turn: a report comes meanwhile.
const BEGUN_TURNS: f64 = 0.7;

/// Who shares the room of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Share {
    /// Instances that send requests.
    pub(crate) instances: u32,
    /// Engines of its domain that hold a layer, on average over the layers.
    pub(crate) copies: f64,
}

/// Work at one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Use {
    /// Memory that the requests are expected to take, in megabytes.
    pub(crate) memory: f64,
    /// Requests that pass through it.
    pub(crate) requests: f64,
    /// Requests that it received as the first engine.
    pub(crate) entered: f64,
}

/// Work at all engines, by address key.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    own: HashMap<u64, Use>,
    others: HashMap<u64, Use>,
    /// What `own` was when `others` was last told.
    then: HashMap<u64, Use>,
    /// In [0, 1); a high one makes it this instance's turn.
    draw: f64,
    /// Requests that ask for the room.
    pub(crate) demand: Demand,
}

impl Loads {
    /// Work at an engine.
    pub(crate) fn at(&self, engine: u64) -> Use {
        let own = self.own.get(&engine).copied().unwrap_or_default();
        let others = self.others.get(&engine).copied().unwrap_or_default();
        Use {
            memory: own.memory + others.memory,
            requests: own.requests + others.requests,
            entered: own.entered + others.entered,
        }
    }

    /// Books a request that this instance sends; [`Loads::leave`] with the
    /// same arguments ends it.
    pub(crate) fn enter(&mut self, path: &[(u64, Hop)], work: &Work) {
        self.book(path, work, 1.0);
    }

    /// Ends what [`Loads::enter`] booked.
    pub(crate) fn leave(&mut self, path: &[(u64, Hop)], work: &Work) {
        self.book(path, work, -1.0);
        // Sums of fractions don't come back to zero by themselves.
        self.own.retain(|_, u| u.requests > 0.5);
    }

    fn book(&mut self, path: &[(u64, Hop)], work: &Work, sign: f64) {
        for (at, (engine, hop)) in path.iter().enumerate() {
            let used = self.own.entry(*engine).or_default();
            used.memory += sign * work.memory(hop.range.len());
            used.requests += sign;
            used.entered += if at == 0 { sign } else { 0.0 };
        }
    }

    /// Whether this instance may send another request to an engine that has
    /// `room_mb` left and needs `usual_mb` for a usual request.
    ///
    /// All instances see the same room in the same report, and each would fill
    /// it by itself. So each adds only its part until it hears again: of room
    /// for ten requests before nine instances one or two. Parts of less than one
    /// request fall to the instances by turns, the same at all engines, since a
    /// path needs ten of them (87 instances, high load: worth of a day 0.503 with
    /// turns at each engine by itself, 0.759 like this, one play each). A request
    /// that is larger than usual uses up more of the part, but is never too large
    /// for it.
    ///
    /// In a domain with many `copies` of each layer such turns differ by engine: an
    /// instance finds its turn at several holders of each layer at any time. With
    /// the same turns at all, some instances in 300 had none for up to the 4.5 s
    /// between two reports, and refused a quarter of their requests while the
    /// engines of their domain were idle.
    pub(crate) fn may_add(&self, engine: u64, room_mb: f64, usual_mb: f64, share: Share) -> bool {
        let memory = |uses: &HashMap<u64, Use>| uses.get(&engine).map_or(0.0, |u| u.memory);
        let added = memory(&self.own) - memory(&self.then);
        let part = PART * (room_mb + added) / self.demand.sharers(share.instances);
        let requests = part / usual_mb.max(f64::MIN_POSITIVE);
        let apart = requests < 1.0 && share.copies * requests >= PLENTY;
        let offset = if apart { scatter(engine) } else { 0.0 };
        let whole = (requests + (self.draw + offset).fract()).floor();
        added < whole * usual_mb
    }

    /// Replaces what is known of the other instances. `draw` in [0, 1) tells
    /// whose turn it is.
    pub(crate) fn learn(&mut self, loads: &[Load], draw: f64) {
        self.draw = draw;
        self.then.clone_from(&self.own);
        self.others = loads.iter().map(|l| (l.engine, Use::from(l))).collect();
    }

    /// This instance's own work, to be told.
    pub(crate) fn report(&self) -> Vec<Load> {
        let own = self.own.iter();
        own.map(|(&engine, used)| Load {
            engine,
            memory: used.memory.max(0.0).round() as u32,
            requests: used.requests.max(0.0).round() as u32,
            entered: used.entered.max(0.0).round() as u32,
        })
        .collect()
    }
}

/// A number in [0, 1) for each engine, without regard to its neighbours in number.
pub(crate) fn scatter(engine: u64) -> f64 {
    /// The golden ratio as a fraction of 2^64: multiples of it spread evenly.
    const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (engine ^ (engine >> 16)).wrapping_mul(GOLDEN);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}

impl From<&Load> for Use {
    fn from(load: &Load) -> Self {
        Self {
            memory: f64::from(load.memory),
            requests: f64::from(load.requests),
            entered: f64::from(load.entered),
        }
    }
}

/// Speed and room of an engine under its present load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Speed {
    /// Milliseconds of a step for one layer.
    pub(crate) step_ms: f64,
    /// Milliseconds for one layer to read one prompt token.
    pub(crate) read_ms: f64,
    /// Memory for requests in all, in megabytes.
    pub(crate) memory_mb: f64,
    /// Memory for requests that is left, in megabytes.
    pub(crate) room_mb: f64,
    /// Share of the memory for requests that is in use.
    pub(crate) used: f64,
}

impl Speed {
    /// Of an engine that holds `range` of `model` on `accelerator`.
    pub(crate) fn new(
        model: &Model,
        accelerator: &Accelerator,
        range: LayerRange,
        load: Use,
    ) -> Self {
        let layers = f64::from(model.layers);
        let held = f64::from(range.len());
        let memory = (accelerator.size_mb - held * model.layer_mb).max(0.0);
        let context = load.memory / (model.token_mb * held);
        let step = model.step_ms + model.sequence_ms * load.requests + model.context_ms * context;
        Self {
            step_ms: accelerator.step_factor * step / layers,
            read_ms: accelerator.read_factor * model.read_ms / layers,
            memory_mb: memory,
            room_mb: memory - load.memory,
            used: (load.memory / memory.max(1.0)).min(1.0),
        }
    }
}

/// Share of an engine's memory for requests that must be free besides what a
/// fresh request of `tokens` takes, after it waited for the part `waited` of the
/// time that it may. `usual` are the tokens of a usual request.
pub(crate) fn spare(tokens: f64, usual: f64, waited: f64) -> f64 {
    let waits = 1.0 - SHRINKS * waited.clamp(0.0, 1.0);
    SPARE * (tokens / usual).min(LONG) * waits
}

/// Whether a request that has begun still waits for its instance's turn, after the
/// part `waited` of the time that it may wait.
///
/// Guards against the herd after a restart of all processes: each running stream comes
/// back in the same tenth of a second, and without turns all of them are sent to the
/// first pipeline that is known again, whose engines refuse most. A stream that goes on
/// alone finds its turn at once or within a report, so its caller sees no long pause.
/// While the instance is `starting`, the herd lasts for longer than one may wait.
pub(crate) fn begun_takes_turns(starting: bool, waited: f64) -> bool {
    starting || waited < BEGUN_TURNS
}
