//! Answers that promise a caller that its request hasn't run.

use rstest::rstest;

use crate::deployment::{Deployment, KEY};
use crate::engine::Fault;

/// Starts a deployment whose engines of `service` run requests and then fail them with `status`; the
/// first instance reaches engines through the second one only if `carried`.
fn failing_deployment(service: &str, status: u16, carried: bool) -> Deployment {
    let deployment = Deployment::with_links(carried);
    for engine in deployment.engines.iter().filter(|e| e.service == service) {
        let fault = Fault::Error(status);
        deployment.engine_state().set_fault(&engine.id, fault);
    }
    deployment
}

/// Guards against a second booking: a caller takes 408, 429 and 503 for the promise that its booking
/// hasn't run, and books again.
#[rstest]
fn booking_failed_after_run(
    #[values(408, 429, 503)] status: u16,
    #[values(false, true)] carried: bool,
) {
    let deployment = failing_deployment("desk", status, carried);
    let (answered, _) = deployment.request(0, "/bookings/x", "booking", KEY);
    assert_eq!(answered, 502);
    assert_eq!(deployment.engine_state().runs("booking"), 1);
}

/// Guards against such a failure as the last word on a request that another engine may run again.
#[rstest]
#[case::plain("desk", "/lookups/x")]
#[case::stream("models", "/letters/x")]
fn repeatable_request_run_again(
    #[case] service: &str,
    #[case] path: &str,
    #[values(408, 429, 503)] status: u16,
) {
    let deployment = failing_deployment(service, status, false);
    let (answered, _) = deployment.request(0, path, "again", KEY);
    assert_eq!(answered, 200);
    assert_eq!(deployment.engine_state().runs("again"), 2);
}

/// Guards against an engine's own error, which promises nothing, being replaced.
#[rstest]
fn error_without_promise_unchanged(#[values(404, 500, 504)] status: u16) {
    let deployment = failing_deployment("desk", status, false);
    let answer = deployment.request(0, "/bookings/x", "booking", KEY);
    assert_eq!(answer, (status, "the stock file is locked".to_owned()));
}
