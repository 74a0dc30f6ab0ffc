//! Tests of [`crate::request::Generation`].

use std::time::Duration;

use rstest::rstest;

use crate::claim::{ClaimLease, ClaimToken, Granted, Outcome, Reply};
use crate::request::{
    Answer, AttemptError, AttemptReport, Bounds, Effect, Event, Frame, Generation, Hop, Lifecycle,
    OpenError, Ran, RequestId,
};
use crate::{Incarnation, InstanceId, Time};

const START: Time = Time(1_000_000);
const RETENTION: Duration = Duration::from_secs(60);

fn id() -> RequestId {
    RequestId {
        instance: InstanceId(7),
        incarnation: Incarnation(41),
        sequence: 9,
    }
}

fn hop(name: &str, first: u32, end: u32) -> Hop {
    Hop {
        upstream: name.into(),
        first,
        end,
    }
}

fn path() -> Vec<Hop> {
    vec![hop("e1", 0, 4), hop("e2", 4, 8)]
}

fn bounds() -> Bounds {
    Bounds {
        max_tokens: 3,
        layers: 8,
        max_attempts: 3,
        deadline: START + Duration::from_secs(100),
        first_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_millis(100),
    }
}

struct Run {
    generation: Generation<()>,
    now: Time,
    out: Vec<Effect>,
}

impl Run {
    /// A generation whose first attempt has been sent. A keyed one holds a claim.
    fn sent(idempotent: bool, keyed: bool) -> Self {
        let mut run = Self::opened(idempotent, keyed);
        run.start(1);
        run
    }

    fn opened(idempotent: bool, keyed: bool) -> Self {
        let life = Lifecycle::new(id(), "a".into(), idempotent, keyed).admit(());
        let token = ClaimToken::from(id());
        let granted = Reply::Granted(Granted { token: Some(token) });
        let life = match life.without_claim() {
            Ok(life) => life,
            Err(life) => {
                let lease = ClaimLease::new(token, START, RETENTION);
                life.claimed(START, lease, granted).expect("granted")
            }
        };
        let mut out = Vec::new();
        Self {
            generation: Generation::new(life, bounds(), &mut out),
            now: START,
            out,
        }
    }

    fn start(&mut self, attempt: u32) {
        let path = path();
        self.step(Event::Started {
            attempt,
            path,
            lease: None,
        });
        let sent = |e: &Effect| matches!(e, Effect::Send { attempt: a, .. } if *a == attempt);
        assert!(self.out.len() == 1 && self.out.iter().all(sent));
    }

    fn step(&mut self, event: Event) {
        self.out.clear();
        self.generation.step(self.now, event, &mut self.out);
    }

    fn frame(&mut self, conn_attempt: u32, attempt: u32, index: u32) {
        let frame = frame(attempt, index);
        self.step(Event::Frame {
            conn_attempt,
            frame,
        });
    }

    fn fail(&mut self, attempt: u32, cause: AttemptError) {
        let suspect = None;
        self.step(Event::Failed {
            attempt,
            cause,
            suspect,
        });
    }

    fn emitted(&self) -> bool {
        matches!(self.out[..], [Effect::Emit { .. }])
    }

    /// Code and `ran` of the answer given by the last step.
    fn answer(&self) -> Option<(&'static str, Ran)> {
        self.out.iter().find_map(|effect| match effect {
            Effect::Finish(answer) => Some((answer.code(), answer.ran())),
            _ => None,
        })
    }

    fn opened_attempt(&self) -> Option<(u32, u32)> {
        self.out.iter().find_map(|effect| match effect {
            Effect::Open {
                attempt, resume, ..
            } => Some((*attempt, *resume)),
            _ => None,
        })
    }
}

fn frame(attempt: u32, index: u32) -> Frame {
    Frame {
        request: id().to_string(),
        attempt,
        index,
        text: format!("t{index} "),
        passed: path(),
    }
}

/// A stage fails in the middle of an answer. The caller must get each remaining
/// token once, although the old connection still delivers some.
#[test]
fn step_resume() {
    let mut run = Run::sent(true, false);
    run.frame(1, 1, 0);
    run.fail(1, AttemptError::ConnectionLost);
    assert_eq!(run.opened_attempt(), Some((2, 1)));
    run.start(2);
    run.frame(1, 1, 1);
    assert_eq!(run.out, []);
    // A frame on the old connection that names the new attempt is ignored.
    run.frame(1, 2, 1);
    assert_eq!(run.out, []);
    // So is a token of the old attempt on the new connection.
    run.frame(2, 1, 1);
    assert_eq!(run.out, []);
    run.frame(2, 2, 1);
    assert!(run.emitted());
    assert_eq!(run.generation.tokens(), ["t0 ", "t1 "]);
}

#[rstest]
#[case::repeated(|f: &mut Frame| f.index = 0)]
#[case::ahead(|f: &mut Frame| f.index = 2)]
#[case::other_request(|f: &mut Frame| f.request = "7-41-8".into())]
#[case::no_request(|f: &mut Frame| f.request = "9".into())]
#[case::later_attempt(|f: &mut Frame| f.attempt = 2)]
#[case::layer_skipped(|f: &mut Frame| f.passed[1].first = 5)]
#[case::stage_skipped(|f: &mut Frame| { f.passed.pop(); })]
#[case::stage_twice(|f: &mut Frame| f.passed.push(hop("e2", 4, 8)))]
#[case::out_of_order(|f: &mut Frame| f.passed.reverse())]
#[case::other_engine(|f: &mut Frame| f.passed[0].upstream = "e3".into())]
fn step_invalid_frame(#[case] change: fn(&mut Frame)) {
    let mut run = Run::sent(false, false);
    run.frame(1, 1, 0);
    let mut frame = frame(1, 1);
    change(&mut frame);
    run.step(Event::Frame {
        conn_attempt: 1,
        frame,
    });
    assert!(run.out.contains(&Effect::Cancel { attempt: 1 }));
    assert_eq!(run.answer(), Some(("outcome_unknown", Ran::Unknown)));
}

#[rstest]
#[case::gap(vec![hop("e1", 0, 4), hop("e2", 5, 8)])]
#[case::twice(vec![hop("e1", 0, 4), hop("e2", 3, 8)])]
#[case::short(vec![hop("e1", 0, 7)])]
#[case::empty(vec![])]
fn started_bad_path(#[case] path: Vec<Hop>) {
    let mut run = Run::opened(true, false);
    run.step(Event::Started {
        attempt: 1,
        path,
        lease: None,
    });
    assert_eq!(run.answer(), Some(("no_upstream", Ran::No)));
}

#[rstest]
#[case::refused(true, AttemptError::Refused, Some(("no_upstream", Ran::No)))]
#[case::cut(true, AttemptError::ConnectionLost, Some(("answer_cut", Ran::Unknown)))]
#[case::cut_once(false, AttemptError::ConnectionLost, Some(("outcome_unknown", Ran::Unknown)))]
#[case::refused_once(false, AttemptError::Refused, Some(("no_upstream", Ran::No)))]
fn broken_until_end(
    #[case] idempotent: bool,
    #[case] cause: AttemptError,
    #[case] answer: Option<(&'static str, Ran)>,
) {
    let mut run = Run::sent(idempotent, false);
    let mut attempt = 1;
    run.fail(attempt, cause);
    while let Some((next, _)) = run.opened_attempt() {
        attempt = next;
        run.start(attempt);
        run.fail(attempt, cause);
    }
    assert_eq!(run.answer(), answer);
    assert!(attempt <= bounds().max_attempts);
}

/// The first engine of a path is down. The others must stay eligible, or a fleet of
/// few engines has no path left.
#[test]
fn broken_refused_excludes_first() {
    let mut run = Run::sent(true, false);
    run.fail(1, AttemptError::Refused);
    let opened =
        |e: &Effect| matches!(e, Effect::Open { exclude, .. } if *exclude == ["e1".into()]);
    assert!(run.out.iter().any(opened));
}

/// An operator changes the pools of a route while requests wait for a path. They
/// must get a path in the new pools, where they used to be refused.
#[test]
fn outdated_chooses_again() {
    let mut run = Run::opened(true, false);
    run.step(Event::Outdated { attempt: 1 });
    assert_eq!(run.opened_attempt(), Some((2, 0)));
    run.start(2);
    // A late one doesn't affect the attempt in flight.
    run.step(Event::Outdated { attempt: 2 });
    assert_eq!(run.out, []);
}

/// An attempt runs and fails, and the next finds every engine busy. The caller must
/// not be told that nothing ran.
#[test]
fn busy_after_cut() {
    let mut run = Run::sent(true, false);
    run.fail(1, AttemptError::ConnectionLost);
    run.start(2);
    run.step(Event::Busy {
        attempt: 2,
        not_run: true,
    });
    let (reason, retry_after) = (OpenError::NoPath, None);
    run.step(Event::OpenFailed {
        attempt: 3,
        reason,
        retry_after,
    });
    assert_eq!(run.answer(), Some(("answer_cut", Ran::Unknown)));
}

/// The last token arrives but the closing event is lost. The answer is complete, and
/// another attempt would have nothing to generate.
#[test]
fn broken_after_last() {
    let mut run = Run::sent(false, false);
    (0..3).for_each(|index| run.frame(1, 1, index));
    run.fail(1, AttemptError::ConnectionLost);
    assert_eq!(run.answer(), Some(("complete", Ran::Yes)));
}

/// The caller of a keyed request disconnects. The request must still run to its end,
/// so that a later submission with the same key gets the stored answer.
#[test]
fn left_keyed() {
    let mut run = Run::sent(false, true);
    run.frame(1, 1, 0);
    run.step(Event::CallerLeft);
    assert_eq!(run.out, []);
    (1..3).for_each(|index| run.frame(1, 1, index));
    let (request, count) = (id().to_string(), 3);
    run.step(Event::Done {
        conn_attempt: 1,
        request,
        attempt: 1,
        count,
    });
    let stored = run.out.iter().find_map(|effect| match effect {
        Effect::Settle {
            outcome: Outcome::Stored(answer),
            ..
        } => Some(answer.body.clone()),
        _ => None,
    });
    assert_eq!(stored.as_deref(), Some(&b"t0 t1 t2 "[..]));
    assert_eq!(run.answer(), Some(("complete", Ran::Yes)));
}

/// An instance freezes between claim and dispatch, until others consider its claim
/// lost. It must then send nothing and release the claim.
#[test]
fn started_after_lease() {
    let mut run = Run::opened(false, true);
    run.now = START + Duration::from_secs(2);
    let path = path();
    run.step(Event::Started {
        attempt: 1,
        path,
        lease: None,
    });
    let token = ClaimToken::from(id());
    assert_eq!(run.out[0], Effect::Release { token });
    assert_eq!(run.answer(), Some(("claim_lapsed", Ran::No)));
}

/// A request waits for a path for longer than its dispatch window. Its claim is
/// renewed and it is sent, unless the lease belongs to another submission or the
/// claim may have been discarded meanwhile.
#[rstest]
#[case::own(9, 5, true)]
#[case::other(8, 5, false)]
#[case::forgotten(9, 54, false)]
fn started_renewed(#[case] sequence: u64, #[case] secs: u64, #[case] sent: bool) {
    let mut run = Run::opened(false, true);
    let held = run.generation.pending_lease().expect("a claim");
    assert!(!held.needs_renewal(START));
    run.now = START + Duration::from_secs(secs);
    assert!(held.needs_renewal(run.now));
    let token = RequestId { sequence, ..id() };
    let lease = Some(ClaimLease::new(token.into(), run.now, RETENTION));
    let path = path();
    run.step(Event::Started {
        attempt: 1,
        path,
        lease,
    });
    let send_by = Some(run.now + Duration::from_millis(1_800));
    assert_eq!(
        run.out
            == [Effect::Send {
                attempt: 1,
                send_by
            }],
        sent
    );
    assert_eq!(run.answer().is_none(), sent);
}

#[rstest]
#[case::first(0, 999, None)]
#[case::first_late(0, 1000, Some((2, 0)))]
#[case::idle(1, 99, None)]
#[case::idle_late(1, 100, Some((2, 1)))]
fn tick_timeout(#[case] tokens: u32, #[case] ms: u64, #[case] open: Option<(u32, u32)>) {
    let mut run = Run::sent(true, false);
    (0..tokens).for_each(|index| run.frame(1, 1, index));
    run.now = START + Duration::from_millis(ms);
    run.step(Event::Tick);
    assert_eq!(run.opened_attempt(), open);
    let report = AttemptReport::Failed {
        cause: AttemptError::Timeout,
        suspect: None,
    };
    let path = path();
    let reported = run.out.contains(&Effect::Report { path, report });
    assert_eq!(reported, open.is_some());
}

#[rstest]
#[case::opened(false, "queue_timeout", Ran::No)]
#[case::sent(true, "deadline_exceeded", Ran::Unknown)]
fn step_deadline(#[case] sent: bool, #[case] code: &'static str, #[case] ran: Ran) {
    let mut run = Run::opened(true, false);
    if sent {
        run.start(1);
    }
    run.now = bounds().deadline;
    run.step(Event::Tick);
    assert_eq!(run.answer(), Some((code, ran)));
    run.step(Event::Tick);
    assert_eq!(run.out, []);
}

/// A keyed request that is refused before its claim is granted may be a resend. The
/// first submission may have run, so "not run" could be false.
#[test]
fn refuse_keyed() {
    let code = crate::request::RefusalCode::QueueFull;
    let refuse =
        |keyed| -> Answer { Lifecycle::new(id(), "a".into(), false, keyed).refuse(code, None) };
    assert_eq!(refuse(true).ran(), Ran::Unknown);
    assert_eq!(refuse(false).ran(), Ran::No);
}

/// Instances share a full engine, so a request finds it busy again and again. Waiting
/// must not use up the attempts and the retry budget, which are for failures.
#[test]
fn busy_waits() {
    let mut run = Run::sent(true, false);
    for attempt in 1..20 {
        let not_run = true;
        run.step(Event::Busy { attempt, not_run });
        assert!(run.out.contains(&Effect::Open {
            attempt: attempt + 1,
            retry: false,
            resume: 0,
            exclude: vec![],
        }));
        run.start(attempt + 1);
    }
    run.fail(20, AttemptError::ConnectionLost);
    assert_eq!(run.opened_attempt(), Some((21, 0)));
}

/// A plain service does its work, then finds another service busy and answers 503.
/// The caller must not be told that the call didn't run.
#[rstest]
#[case::engine(true, ("upstream_busy", Ran::No))]
#[case::service(false, ("outcome_unknown", Ran::Unknown))]
fn busy_proof(#[case] not_run: bool, #[case] answer: (&'static str, Ran)) {
    let mut run = Run::sent(false, false);
    let mut attempt = 1;
    run.step(Event::Busy { attempt, not_run });
    while let Some((next, _)) = run.opened_attempt() {
        attempt = next;
        run.start(attempt);
        run.step(Event::Busy { attempt, not_run });
    }
    assert_eq!(run.answer(), Some(answer));
}

/// The driver must get the end of the claim's lease, to check it again once it is
/// connected.
#[rstest]
#[case::keyed(true, Some(START + Duration::from_millis(1_800)))]
#[case::free(false, None)]
fn send_until(#[case] keyed: bool, #[case] send_by: Option<Time>) {
    let run = Run::sent(false, keyed);
    assert_eq!(
        run.out,
        [Effect::Send {
            attempt: 1,
            send_by
        }]
    );
}
