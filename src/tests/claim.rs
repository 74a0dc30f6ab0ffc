//! Tests of [`crate::claim`].

use std::time::{Duration, Instant};

use rstest::rstest;

use crate::Time;
use crate::claim::{
    Action, Answered, Bounds, Claim, ClaimToken, Claims, Expire, Full, Granted, InProgress,
    MAX_STORED_ANSWER, Outcome, Purpose, Release, Reply, Settle, StoredAnswer, Ticked, Ticker,
    shard,
};
use crate::voter::StateMachine;

const HOLDER: ClaimToken = token(1, 1, 1);

const fn token(holder: u64, incarnation: u64, sequence: u64) -> ClaimToken {
    ClaimToken {
        holder,
        incarnation,
        sequence,
    }
}

/// A register with the index of its last log entry.
struct Log(Claims, u64);

impl Log {
    fn new(bounds: Bounds) -> Self {
        Self(Claims::new(bounds), 0)
    }

    fn step(&mut self, action: Action) -> Reply {
        self.1 += 1;
        self.0.step(self.1, action)
    }

    fn claim(&mut self, organisation: &str, key: &str, token: ClaimToken) -> Reply {
        self.claim_for(Purpose::Run, organisation, key, token)
    }

    fn claim_for(
        &mut self,
        purpose: Purpose,
        organisation: &str,
        key: &str,
        token: ClaimToken,
    ) -> Reply {
        self.step(Action::Claim(Claim {
            organisation: organisation.into(),
            key: key.into(),
            digest: vec![7; 32],
            token: Some(token),
            dispatch_ms: 2_000,
            ttl_ms: 8_000,
            purpose: purpose.into(),
        }))
    }

    fn settle(&mut self, key: &str, token: ClaimToken, outcome: Outcome) -> Reply {
        self.step(Action::Settle(Settle {
            organisation: "a".into(),
            key: key.into(),
            outcome: Some(outcome),
            token: Some(token),
        }))
    }

    fn release(&mut self, token: ClaimToken) -> Reply {
        self.step(Action::Release(Release {
            organisation: "a".into(),
            key: "k".into(),
            token: Some(token),
        }))
    }

    /// Advances the time in steps like those of a ticker.
    fn advance(&mut self, mut ms: u64) {
        let unseen = u64::MAX;
        let mut after = self.expire(unseen, 0);
        while ms > 0 {
            let step = ms.min(1_000);
            after = self.expire(after, step);
            ms -= step;
        }
    }

    fn expire(&mut self, after: u64, elapsed: u64) -> u64 {
        match self.step(Action::Expire(Expire { after, elapsed })) {
            Reply::Ticked(ticked) => ticked.index,
            reply => panic!("{reply:?}"),
        }
    }
}

fn stored(len: usize) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: String::new(),
        body: vec![b'x'; len],
    }
}

fn granted(token: ClaimToken) -> Reply {
    Reply::Granted(Granted { token: Some(token) })
}

fn in_progress(age: u64, may_dispatch: bool) -> Reply {
    Reply::InProgress(InProgress {
        holder: Some(HOLDER),
        age,
        may_dispatch,
    })
}

// The claim has no age until the first second has passed.
#[rstest]
#[case::again(token(2, 1, 1), 0, None, in_progress(0, true))]
#[case::same_sending(HOLDER, 0, None, granted(HOLDER))]
#[case::aged(token(2, 1, 1), 2_000, None, in_progress(1_000, true))]
#[case::dispatched(token(2, 1, 1), 3_000, None, in_progress(2_000, false))]
#[case::given_up(token(2, 1, 1), 9_000, None, Reply::Unknown(()))]
#[case::holder_restarted(token(1, 2, 1), 0, None, Reply::Unknown(()))]
#[case::not_kept(token(2, 1, 1), 0, Some(Outcome::NotStored(())), Reply::Answered(Answered { answer: None }))]
#[case::stored(token(2, 1, 1), 9_000, Some(Outcome::Stored(stored(3))), Reply::Answered(Answered { answer: Some(stored(3)) }))]
#[case::too_long(token(2, 1, 1), 0, Some(Outcome::Stored(stored(MAX_STORED_ANSWER + 1))), Reply::Answered(Answered { answer: None }))]
#[case::broken(token(2, 1, 1), 0, Some(Outcome::Unknown(())), Reply::Unknown(()))]
#[case::forgotten(token(2, 1, 1), 86_402_000, Some(Outcome::NotStored(())), granted(token(2, 1, 1)))]
fn claim_again(
    #[case] submitter: ClaimToken,
    #[case] ms: u64,
    #[case] outcome: Option<Outcome>,
    #[case] reply: Reply,
) {
    let mut log = Log::new(Bounds::default());
    assert_eq!(log.claim("a", "k", HOLDER), granted(HOLDER));
    if let Some(outcome) = outcome {
        assert_eq!(log.settle("k", HOLDER, outcome), Reply::Done(()));
    }
    log.advance(ms);
    let mut other = Log::new(Bounds::default());
    other.0.restore(&log.0.snapshot());
    other.1 = log.1;
    assert_eq!(log.claim("a", "k", submitter), reply);
    assert_eq!(other.claim("a", "k", submitter), reply);
    // Another organisation's claim of the same key is independent.
    assert_eq!(log.claim("b", "k", submitter), granted(submitter));
}

/// A slow holder releases its claim after another submission was told that the
/// request's outcome is unknown and that it never runs again. That must stay true.
#[rstest]
#[case::early(1_000, granted(token(3, 1, 1)))]
#[case::told(4_000, Reply::NotRun(()))]
fn release_then_claim(#[case] ms: u64, #[case] reply: Reply) {
    let mut log = Log::new(Bounds::default());
    log.claim("a", "k", HOLDER);
    log.advance(ms);
    log.claim_for(Purpose::HolderDown, "a", "k", token(2, 1, 1));
    assert_eq!(log.release(token(2, 1, 1)), Reply::Stale(()));
    assert_eq!(log.release(HOLDER), Reply::Done(()));
    assert_eq!(log.claim("a", "k", token(3, 1, 1)), reply);
}

/// A request waits for a path while its caller submits it again. The holder can
/// renew its claim, unless the caller was told that the outcome is unknown.
#[rstest]
#[case::asked(Purpose::Run, 4_000, granted(HOLDER), in_progress(0, true))]
#[case::early(Purpose::HolderDown, 1_000, granted(HOLDER), in_progress(0, true))]
#[case::told(Purpose::HolderDown, 4_000, Reply::Stale(()), Reply::Unknown(()))]
fn claim_renew(
    #[case] purpose: Purpose,
    #[case] ms: u64,
    #[case] renewed: Reply,
    #[case] reply: Reply,
) {
    let submitter = token(2, 1, 1);
    let mut log = Log::new(Bounds::default());
    assert_eq!(
        log.claim_for(Purpose::Renew, "a", "k", HOLDER),
        Reply::Stale(())
    );
    log.claim("a", "k", HOLDER);
    log.advance(ms);
    log.claim_for(purpose, "a", "k", submitter);
    assert_eq!(
        log.claim_for(Purpose::Renew, "a", "k", submitter),
        Reply::Stale(())
    );
    assert_eq!(log.claim_for(Purpose::Renew, "a", "k", HOLDER), renewed);
    assert_eq!(
        log.claim_for(Purpose::HolderDown, "a", "k", submitter),
        reply
    );
}

/// A ticker's proposal is delayed for ten seconds, and a claim is made meanwhile.
/// The time before the claim must not count towards its age.
#[test]
fn expire_delayed() {
    let mut log = Log::new(Bounds::default());
    let after = log.expire(u64::MAX, 0);
    let seen = log.expire(after, 0);
    log.claim("a", "k", HOLDER);
    let next = log.expire(seen, 10_000);
    // The same time, measured and proposed by another instance.
    assert_eq!(log.expire(seen, 10_000), next);
    let submitter = token(2, 1, 1);
    assert_eq!(log.claim("a", "k", submitter), in_progress(0, true));
}

/// An organisation uses up its space. Its new claims are refused, none of its claims
/// is discarded early, and another organisation can still use its reserved bytes.
#[test]
fn claim_full() {
    let (shared, reserved, quota) = (0, 1_000, 1_000_000);
    let bounds = Bounds {
        shared,
        reserved,
        quota,
        ..Bounds::default()
    };
    let mut log = Log::new(bounds);
    let fill = |log: &mut Log, organisation: &str| {
        let keys = (0..100).map(|n| log.claim(organisation, &n.to_string(), HOLDER));
        keys.filter(|reply| *reply == granted(HOLDER)).count()
    };
    let first = fill(&mut log, "a");
    assert!(first > 0);
    log.advance(301_000);
    let full = Reply::Full(Full {
        retry_after_ms: 300_000,
    });
    assert_eq!(log.claim("a", "more", HOLDER), full);
    assert_eq!(fill(&mut log, "b"), first);
    assert_eq!(fill(&mut log, "a"), first, "each one is still held");
    // There is no space for the answer either, so only the fact is recorded.
    log.settle("0", HOLDER, Outcome::Stored(stored(900)));
    let found = log.claim("a", "0", HOLDER);
    assert_eq!(found, Reply::Answered(Answered { answer: None }));
    assert!(log.0.bytes() <= 2 * reserved);
    // After the retention, an old claim of the same organisation is discarded.
    log.advance(300_000);
    assert_eq!(log.claim("a", "more", HOLDER), granted(HOLDER));
    assert_eq!(log.claim("a", "1", HOLDER), granted(HOLDER));
    assert_eq!(fill(&mut log, "b"), first);
    log.advance(86_402_000);
    assert_eq!((log.0.len(), log.0.bytes()), (0, 0));
}

/// While all engines are down, each request is claimed, refused a second later and
/// released. The register must not grow with released claims.
#[test]
fn release_many() {
    let mut log = Log::new(Bounds::default());
    log.claim("a", "kept", HOLDER);
    for _ in 0..3_600 {
        log.claim("a", "k", HOLDER);
        log.advance(1_000);
        assert_eq!(log.release(HOLDER), Reply::Done(()));
    }
    assert!(
        log.0.age_entries() < 100,
        "{} age entries",
        log.0.age_entries()
    );
}

#[test]
fn claim_mismatch() {
    let mut log = Log::new(Bounds::default());
    log.claim("a", "k", HOLDER);
    let claim = Claim {
        organisation: "a".into(),
        key: "k".into(),
        digest: vec![8; 32],
        token: Some(token(2, 1, 1)),
        dispatch_ms: 2_000,
        ttl_ms: 8_000,
        purpose: Purpose::Run.into(),
    };
    assert_eq!(log.step(Action::Claim(claim)), Reply::Mismatch(()));
}

#[test]
fn poll_measures() {
    let mut ticker = Ticker::new(Duration::from_secs(1));
    let at = |ms: u64| Time(ms * 1_000);
    let expire = |after, elapsed| Some(Action::Expire(Expire { after, elapsed }));
    assert_eq!(ticker.poll(at(5_000)), expire(u64::MAX, 0));
    assert_eq!(ticker.poll(at(5_999)), None);
    ticker.on_reply(at(6_000), Ticked { index: 9 });
    // A later reply with the same index is ignored.
    ticker.on_reply(at(6_500), Ticked { index: 9 });
    assert_eq!(ticker.poll(at(7_200)), expire(9, 1_200));
}

/// Claims must stay in their shards across upgrades.
#[rstest]
#[case("a", "key", 34)]
#[case("ab", "c", 49)]
#[case("a", "bc", 51)]
fn shard_stable(#[case] organisation: &str, #[case] key: &str, #[case] expected: u32) {
    assert_eq!(shard(organisation, key, 64), expected);
}

/// Prints time and memory per claim. `LQ_CLAIMS` sets the number of claims.
#[test]
fn claim_cost() {
    let count = std::env::var("LQ_CLAIMS").map_or(2_000, |n| n.parse().expect("a number"));
    let bounds = Bounds {
        shared: u64::MAX,
        quota: u64::MAX,
        ..Bounds::default()
    };
    let before = resident();
    let mut log = Log::new(bounds);
    let start = Instant::now();
    (0..count).for_each(|n| {
        log.claim("organisation", &format!("letter-{n:032}"), token(1, 1, n));
    });
    let claimed = start.elapsed();
    let held = resident().saturating_sub(before);
    let start = Instant::now();
    (0..count).for_each(|n| {
        let outcome = Outcome::NotStored(());
        let mut settle = |key: &str| log.settle(key, token(1, 1, n), outcome.clone());
        settle(&format!("letter-{n:032}"));
    });
    let settled = start.elapsed();
    let start = Instant::now();
    let snapshot = log.0.snapshot();
    println!(
        "{count} claims: {:?} a claim, {:?} a settlement, {} counted and {} resident bytes, \
         snapshot of {} bytes each in {:?}",
        claimed / u32::try_from(count).unwrap_or(1),
        settled / u32::try_from(count).unwrap_or(1),
        log.0.bytes() / count,
        held / count,
        snapshot.len() as u64 / count,
        start.elapsed()
    );
    assert_eq!(log.0.len() as u64, count);
}

/// Resident memory of the process in bytes.
fn resident() -> u64 {
    const PAGE: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").expect("Linux");
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok());
    pages.expect("the second field") * PAGE
}
