//! Tests of [`crate::auth`].

use crate::FleetKey;

#[test]
fn open_sealed() {
    let key = FleetKey::new(b"secret");
    let sealed = key.seal(b"body");
    assert_eq!(key.open(&sealed), Some(&b"body"[..]));
}

#[test]
fn open_other_key() {
    let sealed = FleetKey::new(b"secret").seal(b"body");
    assert_eq!(FleetKey::new(b"other").open(&sealed), None);
}

#[test]
fn open_short() {
    assert_eq!(FleetKey::new(b"secret").open(b"short"), None);
}
