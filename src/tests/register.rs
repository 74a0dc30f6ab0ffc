//! Tests of [`crate::register`].

use crate::fingerprint::Fingerprint;
use crate::register::{self, Quarantined, Register};
use crate::voter::StateMachine;

fn fingerprint(organisation: &str, number: u64) -> Fingerprint {
    Fingerprint::of(
        Some(organisation),
        "desk.example",
        "/letters",
        [&number.to_be_bytes()[..]],
    )
}

fn quarantine(machine: &mut impl StateMachine, organisation: &str, number: u64) {
    let command = register::quarantine(Quarantined {
        fingerprint: fingerprint(organisation, number).bytes(),
        organisation: organisation.to_owned(),
        engines: 3,
        since: number,
        until: number + 1,
        ..Quarantined::default()
    });
    machine.apply(1, &command);
}

/// Guards against an organisation whose quarantined requests evict those of another.
#[test]
fn quarantine_bounded_by_organisation() {
    let (register, mut machine) = Register::new();
    quarantine(&mut machine, "two", 0);
    for number in 0..100 {
        quarantine(&mut machine, "one", number);
    }
    let fingerprints: Vec<_> = register
        .quarantined()
        .iter()
        .filter_map(Quarantined::fingerprint)
        .collect();
    assert_eq!(fingerprints.len(), 65);
    assert_eq!(fingerprints[0], fingerprint("two", 0));
    assert_eq!(fingerprints[1], fingerprint("one", 36));
    for organisation in 0..100 {
        for number in 0..10 {
            quarantine(&mut machine, &organisation.to_string(), number);
        }
    }
    assert_eq!(register.quarantined().len(), 512);
}

/// Guards against a quarantine that is lost when a snapshot is restored, and against changes
/// that leave its checksum the same, so that instances don't fetch them.
#[test]
fn quarantine_restored() {
    let (register, mut machine) = Register::new();
    assert_eq!(register.quarantine_checksum(), 0);
    quarantine(&mut machine, "one", 1);
    let first_checksum = register.quarantine_checksum();
    quarantine(&mut machine, "one", 2);
    assert!(first_checksum != 0 && register.quarantine_checksum() != first_checksum);
    let (restored, mut restored_machine) = Register::new();
    restored_machine.restore(&machine.snapshot());
    assert_eq!(restored.quarantined(), register.quarantined());
    assert_eq!(
        restored.quarantine_checksum(),
        register.quarantine_checksum()
    );
    restored_machine.apply(2, &register::lift(&fingerprint("one", 2)));
    assert_eq!(restored.quarantine_checksum(), first_checksum);
    restored_machine.apply(3, &register::lift(&fingerprint("one", 1)));
    assert_eq!(restored.quarantine_checksum(), 0);
}
