//! Tests of [`crate::fingerprint`].

use rstest::rstest;

use crate::fingerprint::Fingerprint;

const BODY: &[u8] = b"write a letter";

#[test]
fn of_same_request_equal() {
    let fingerprint = || Fingerprint::of(Some("one"), "desk.example", "/letters/x?a=1", [BODY]);
    assert_eq!(fingerprint(), fingerprint());
    assert_eq!(fingerprint().to_string().len(), 32);
}

#[rstest]
#[case::organisation(Some("two"), "desk.example", "/letters/x?a=1", BODY)]
#[case::no_organisation(None, "desk.example", "/letters/x?a=1", BODY)]
#[case::query(Some("one"), "desk.example", "/letters/x?a=2", BODY)]
#[case::body(Some("one"), "desk.example", "/letters/x?a=1", b"write a lettes")]
#[case::organisation_host_boundary(Some("oned"), "esk.example", "/letters/x?a=1", BODY)]
#[case::target_body_boundary(Some("one"), "desk.example", "/letters/x?a=1w", b"rite a letter")]
fn of_changed_request_differs(
    #[case] organisation: Option<&str>,
    #[case] host: &str,
    #[case] target: &str,
    #[case] body: &[u8],
) {
    let original = Fingerprint::of(Some("one"), "desk.example", "/letters/x?a=1", [BODY]);
    assert_ne!(
        original,
        Fingerprint::of(organisation, host, target, [body])
    );
}
