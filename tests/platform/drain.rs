//! Requests to an entry instance that was asked to stop.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use rstest::rstest;

use crate::common::wait_for;
use crate::deployment::{Deployment, HOST, KEY};

/// A request of which a client sends the last byte late.
struct Upload {
    stream: TcpStream,
}

impl Upload {
    /// Sends all but the last byte of a request.
    fn begin(deployment: &Deployment, path: &str) -> Self {
        let mut stream = TcpStream::connect(deployment.caller_addr(0)).unwrap();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: upload\r\n\
             x-credential: {KEY}\r\nx-deadline-ms: 20000\r\ncontent-length: 8\r\n\r\n1234567"
        );
        stream.write_all(head.as_bytes()).unwrap();
        Self { stream }
    }

    /// Sends the last byte. Returns what comes until the connection ends.
    fn end(mut self) -> String {
        self.stream.write_all(b"8").unwrap();
        let mut answer = String::new();
        let _ = self.stream.read_to_string(&mut answer);
        answer
    }
}

/// Guards against a request that becomes complete late in the grace period, is passed on, and is cut
/// off without an answer while its engine is at work.
#[rstest]
#[case::booking("/bookings/x")]
#[case::lookup("/lookups/x")]
fn late_request_rejected(#[case] path: &str, #[values(3_500, 5_500)] after_ms: u64) {
    let deployment = Deployment::start();
    deployment.engine_state().work_time = Duration::from_secs(5);
    let upload = Upload::begin(&deployment, path);
    deployment.entries[0].terminate();
    thread::sleep(Duration::from_millis(after_ms));
    let answer = upload.end();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert_eq!(deployment.engine_state().runs("upload"), 0);
}

/// Guards against rejecting what can still be served: a request that becomes complete soon after the
/// signal is answered.
#[test]
fn early_request_answered() {
    let mut deployment = Deployment::start();
    deployment.engine_state().work_time = Duration::from_secs(2);
    let upload = Upload::begin(&deployment, "/bookings/x");
    deployment.entries[0].terminate();
    thread::sleep(Duration::from_millis(1_500));
    let answer = upload.end();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
    assert_eq!(deployment.engine_state().runs("upload"), 1);
    assert!(deployment.entries[0].wait_for_exit().success());
}

/// Guards against a request on a kept connection that is taken late in the grace period, while a
/// long answer keeps the process.
#[test]
fn late_request_on_kept_connection_unread() {
    let deployment = Deployment::start();
    deployment.engine_state().work_time = Duration::from_secs(6);
    let running = Upload::begin(&deployment, "/bookings/x");
    let mut kept = TcpStream::connect(deployment.caller_addr(0)).unwrap();
    thread::scope(|scope| {
        let running = scope.spawn(move || running.end());
        wait_for("a running request", || {
            (deployment.engine_state().runs("upload") == 1).then_some(())
        });
        deployment.entries[0].terminate();
        thread::sleep(Duration::from_secs(4));
        let head = format!(
            "POST /bookings/x HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: late\r\n\
             x-credential: {KEY}\r\nx-deadline-ms: 20000\r\ncontent-length: 0\r\n\r\n"
        );
        let mut answer = String::new();
        let _ = kept.write_all(head.as_bytes());
        let _ = kept.read_to_string(&mut answer);
        assert_eq!(answer, "");
        assert_eq!(deployment.engine_state().runs("late"), 0);
        let answer = running.join().unwrap();
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
    });
}
