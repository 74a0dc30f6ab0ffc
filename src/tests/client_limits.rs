//! Tests of [`crate::client_limits`].

use rstest::rstest;

use crate::client_limits::{ClientLimits, Resources};
use crate::error::Error;

/// Descriptors that the platform reserves for files.
const FILES: usize = 200;

fn resources(memory_mb: u64, descriptors: usize) -> Resources {
    Resources {
        memory: Some(memory_mb << 20),
        descriptors: Some(descriptors),
        ..Resources::default()
    }
}

/// Guards against limits that together exceed the machine: three quarters of the memory are for what
/// grows with the clients, those of other instances too, and each of their requests may run at two
/// upstreams.
#[rstest]
fn new_within_machine(
    #[values(112, 160, 260, 1024)] memory_mb: u64,
    #[values(500, 2_870, 4_100, 16_384)] descriptors: usize,
) {
    let limits = ClientLimits::new(&resources(memory_mb, descriptors)).expect("valid");
    let memory = limits.bodies + (limits.connections + limits.carried) * (80 << 10);
    assert!(memory as u64 <= 3 * (memory_mb << 18), "{limits:?}");
    assert!(3 * limits.connections + 2 * limits.carried < descriptors - FILES);
    assert!(limits.connections + 2 * limits.peers < descriptors - FILES);
}

/// Guards against a smallest machine that turns away as many clients as it has served so far.
#[test]
fn new_smallest_machine() {
    let limits = ClientLimits::new(&resources(112, 2_870)).expect("valid");
    assert!(limits.connections >= 512, "{limits:?}");
    assert!(limits.bodies >= 6 * (4 << 20), "{limits:?}");
}

/// Guards against a controller that turns away instances of the fleet planned for: each makes one
/// connection, and a second one while the first is silent.
#[test]
fn new_admits_fleet() {
    let limits = ClientLimits::new(&resources(256, 4_096)).expect("valid");
    assert!(limits.peers >= 2 * 360, "{limits:?}");
}

/// Guards against settings that promise more than the machine has.
#[rstest]
#[case(Some(0), None, 1)]
#[case(Some(10_000), None, 1)]
#[case(None, Some(1 << 20), 1)]
#[case(Some(10_000), Some(1 << 30), 2)]
#[case(Some(100), Some(16 << 20), 0)]
fn new_checks_settings(
    #[case] connections: Option<usize>,
    #[case] bodies: Option<usize>,
    #[case] faults: usize,
) {
    let resources = Resources {
        connections,
        bodies,
        ..resources(112, 2_870)
    };
    match ClientLimits::new(&resources) {
        Ok(limits) => {
            assert_eq!(faults, 0);
            assert_eq!(Some(limits.connections), connections);
            assert_eq!(Some(limits.bodies), bodies);
        }
        Err(Error::Settings { faults: named }) => assert_eq!(named.len(), faults),
        Err(other) => panic!("{other}"),
    }
}
