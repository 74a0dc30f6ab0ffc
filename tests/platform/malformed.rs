//! Answers that aren't proper HTTP.

use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::cut;
use crate::deployment::{Deployment, KEY};
use crate::engine::{EngineSpec, SharedState};
use crate::unframed;

/// What an engine sends to every request before it closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Malformed {
    /// A whole answer with this in place of the status.
    Status(&'static str),
    /// The head of a whole answer up to this point, and nothing more.
    HeadUpTo(&'static str),
    /// The same, but the connection is reset.
    ResetAt(&'static str),
    /// A whole answer whose body is encoded so.
    Encoded(&'static str),
}

/// Answers the request on a new connection.
pub(crate) async fn answer(
    mut stream: TcpStream,
    spec: EngineSpec,
    state: SharedState,
    kind: Malformed,
) -> std::io::Result<()> {
    let head = unframed::read_head(&mut stream).await?;
    let attempt = unframed::header(&head, "x-attempt-id").expect("an id");
    state.lock().unwrap().record_run(&attempt);
    let status = match kind {
        Malformed::Status(status) => status,
        _ => "200",
    };
    let encoding = match kind {
        Malformed::Encoded(name) => format!("content-encoding: {name}\r\n"),
        _ => String::new(),
    };
    let body = "id: 1\ndata: token 1\n\n";
    let answer = format!(
        "HTTP/1.1 {status} OK\r\nx-attempt-id: {attempt}\r\nx-server-signature: {}\r\n\
         content-type: text/event-stream\r\n{encoding}content-length: {}\r\n\r\n{body}",
        spec.id,
        body.len()
    );
    let end = match kind {
        Malformed::Status(_) | Malformed::Encoded(_) => answer.len(),
        Malformed::HeadUpTo(point) | Malformed::ResetAt(point) => {
            answer.find(point).expect("a point of the head") + point.len()
        }
    };
    stream.write_all(&answer.as_bytes()[..end]).await?;
    if matches!(kind, Malformed::ResetAt(_)) {
        cut::reset(&stream);
    }
    Ok(())
}

/// Starts a deployment whose engines answer so; the first instance reaches them through the second
/// one only if `carried`.
fn deployment(kind: Malformed, carried: bool) -> Deployment {
    let deployment = Deployment::with_links(carried);
    deployment.engine_state().malformed = Some(kind);
    deployment
}

/// Asserts that no request passes as answered, and that none is sent again that may have run.
fn check_answers(deployment: &Deployment) {
    for (path, runs) in [("/bookings/x", 1), ("/lookups/x", 2), ("/letters/x", 2)] {
        let (status, body) = deployment.request(0, path, path, KEY);
        assert_eq!(status, 502, "{path}: {body}");
        assert_eq!(deployment.engine_state().runs(path), runs, "{path}");
    }
}

/// Guards against an answer with a status that doesn't exist which reaches a caller as an answer.
#[rstest]
fn status_unknown(
    #[values("000", "099", "101", "199", "600", "999", "20", "2000", "abc", "-20")]
    status: &'static str,
    #[values(false, true)] carried: bool,
) {
    check_answers(&deployment(Malformed::Status(status), carried));
}

/// Guards against an answer that breaks off within its head and reaches a caller as a whole one,
/// empty or short.
#[rstest]
fn head_cut_off(
    #[values(
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\n",
        "x-server-sig",
        "content-length: 2",
        "content-length: 21\r\n",
        "content-length: 21\r\n\r"
    )]
    point: &'static str,
    #[values(Malformed::HeadUpTo, Malformed::ResetAt)] ending: fn(&'static str) -> Malformed,
    #[values(false, true)] carried: bool,
) {
    check_answers(&deployment(ending(point), carried));
}

/// Guards against a body that isn't the engine's: no request asks for an encoding.
#[rstest]
fn encoded_answer(
    #[values("gzip", "identity")] encoding: &'static str,
    #[values(false, true)] carried: bool,
) {
    check_answers(&deployment(Malformed::Encoded(encoding), carried));
}
