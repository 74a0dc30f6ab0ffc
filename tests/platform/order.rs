//! Orders to load layers while heartbeats arrive late.

use std::time::Duration;

use rstest::rstest;

use crate::common::wait_for;
use crate::deployment::Deployment;
use crate::engine::{self, EngineSpec, Order};

/// Shorter than the time after which an order counts as lost, also if it isn't answered in time.
const LOAD_TIME: Duration = Duration::from_secs(2);

/// Returns an engine whose layers no other one of its domain holds.
fn only_holder(deployment: &Deployment) -> &EngineSpec {
    let models = || deployment.engines.iter().filter(|e| e.service == "models");
    let is_only = |e: &&EngineSpec| {
        let others = models().filter(|o| o.domain == e.domain && o.id != e.id);
        let others: Vec<_> = others.map(|o| o.address).collect();
        others.len() > 1 && !deployment.engine_state().covers(&others)
    };
    models().find(is_only).expect("an only holder")
}

type Layers = Option<(u32, u32)>;

/// Start, sequence number and layers of a late heartbeat, from the layers that the engine holds
/// and those that it was ordered to hold.
type LateHeartbeat = fn(Layers, Layers) -> (Option<u64>, u64, Layers);

/// Guards against a second order to an engine that is carrying out the first, after a late
/// heartbeat of its former start, or of a time at which it held the ordered layers.
#[rstest]
#[case::former_start(Some(2), |held, _| (Some(1), 40, held))]
#[case::older_sequence(None, |_, ordered| (None, 1, ordered))]
fn order_survives_late_heartbeat(#[case] born: Option<u64>, #[case] late: LateHeartbeat) {
    let deployment = Deployment::start();
    // All engines announce it before the killed one counts as lost.
    deployment.engine_state().set_born(born);
    let lost = only_holder(&deployment);
    let before = deployment.engine_state().orders().len();
    deployment.engine_state().set_load_time(LOAD_TIME);
    deployment.engine_state().kill(lost);
    let first = wait_for("an order for the lost layers", || {
        deployment.engine_state().orders().get(before).cloned()
    });
    let mut engines = deployment.engines.iter();
    let loading = engines.find(|e| e.id == first.engine).unwrap();
    let held = deployment.engine_state().layers_of(loading);
    let (born, sequence, layers) = late(held, Some(first.range));
    wait_for("an acknowledgement of the late heartbeat", || {
        let to = deployment.control_addr(0);
        engine::post_heartbeat(to, loading, born, sequence, layers).then_some(())
    });
    let in_time = deployment.engine_state().is_loading(loading);
    assert!(in_time, "the load ended before the late heartbeat");
    wait_for("the end of the load", || {
        (!deployment.engine_state().is_loading(loading)).then_some(())
    });
    let held = deployment.engine_state().layers_of(loading);
    let orders = deployment.engine_state().orders().to_vec();
    // A new leader doesn't know the orders of the former one.
    let repeats_first = |o: &Order| o.busy && (&o.engine, o.fence) == (&first.engine, first.fence);
    let repeated: Vec<_> = orders.into_iter().filter(repeats_first).collect();
    assert!(repeated.is_empty(), "{first:?}, then {repeated:?}");
    assert_eq!(held, Some(first.range));
}
