//! Tests of [`crate::replica`] with a single replica.

use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;

use crate::Time;
use crate::replica::{
    Append, AppendAck, Body, Cause, Change, DurableState, Effect, Entry, Event, ForwardHello,
    HardState, Hello, HelloAck, Kind, KnownMembers, Member, Membership, Message, Peer, Replica,
    Role, SeenRun, Settings, Snapshot, Vote, VoteAck,
};

const ELECTION: Duration = Duration::from_millis(300);

fn peer(id: u64) -> Peer {
    Peer { id, store: id }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        kind: Kind::Command as i32,
        data: Bytes::new(),
    }
}

/// Replica 1 of three, with entries of the given terms.
struct Harness {
    replica: Replica,
    now: Time,
}

impl Harness {
    fn new(terms: &[u64]) -> Self {
        Self::with_boot(1, terms)
    }

    /// Replica 1 with the boot counter `boot`.
    fn with_boot(boot: u64, terms: &[u64]) -> Self {
        let members = (1..=3).map(|id| Member::voter(peer(id))).collect();
        Self::start(boot, Membership { members }, terms)
    }

    fn start(boot: u64, members: Membership, terms: &[u64]) -> Self {
        let start = DurableState {
            hard: HardState {
                term: terms.last().copied().unwrap_or(0),
                ..HardState::default()
            },
            snapshot: Snapshot {
                members,
                ..Snapshot::default()
            },
            entries: (1..).zip(terms).map(|(i, &t)| entry(i, t)).collect(),
            ..DurableState::default()
        };
        let settings = Settings {
            group: 0,
            me: peer(1),
            boot,
            run: 1,
            contacts: vec![1, 2, 3],
            election_timeout: ELECTION,
            heartbeat_interval: ELECTION / 6,
            seed: 1,
            retained_entries: 0,
        };
        Self {
            replica: Replica::new(settings, start, Time(0)),
            now: Time(0),
        }
    }

    fn step(&mut self, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.replica.step(self.now, event, &mut out);
        out
    }

    fn receive(&mut self, from: u64, term: u64, body: Body) -> Vec<Effect> {
        let message = Message {
            from,
            from_store: from,
            to: 1,
            to_store: 1,
            boot: 1,
            run: 1,
            term,
            body: Some(body),
            ..Message::default()
        };
        self.step(Event::Message(message))
    }

    fn append(&mut self, from: u64, term: u64, prev: (u64, u64), entries: &[Entry]) -> Vec<Effect> {
        let append = Append {
            prev_index: prev.0,
            prev_term: prev.1,
            entries: entries.to_vec(),
            ..Append::default()
        };
        self.receive(from, term, Body::Append(append))
    }

    /// Wins an election with the vote of replica 2. Returns the term.
    fn elect(&mut self) -> u64 {
        self.now = self.now + 3 * ELECTION;
        self.step(Event::Tick);
        let term = self.replica.term() + 1;
        let granted = VoteAck {
            granted: true,
            ..VoteAck::default()
        };
        let ack = |pre| {
            Body::VoteAck(VoteAck {
                pre,
                ..granted.clone()
            })
        };
        let effects = self.receive(2, term, ack(true));
        let seq = written(&effects).unwrap();
        self.step(Event::Persisted(seq));
        self.receive(2, term, ack(false));
        assert!(self.replica.is_leader());
        term
    }

    fn ack(&mut self, from: u64, term: u64, index: u64) -> Vec<Effect> {
        let ack = AppendAck {
            matched: true,
            index,
            last_index: index,
            ..AppendAck::default()
        };
        self.receive(from, term, Body::AppendAck(ack))
    }

    fn vote(&mut self, from: u64, term: u64) -> Vec<Effect> {
        let vote = Vote {
            last_index: 9,
            last_term: 9,
            ..Vote::default()
        };
        self.receive(from, term, Body::Vote(vote))
    }
}

/// Number of the write among the effects.
fn written(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|e| match e {
        Effect::Persist(persist) => Some(persist.seq),
        _ => None,
    })
}

/// Terms of the matching acknowledgements among the effects.
fn acks(effects: &[Effect]) -> Vec<u64> {
    let acks = effects.iter().filter_map(|e| match e {
        Effect::Send(Message {
            term,
            body: Some(Body::AppendAck(ack)),
            ..
        }) if ack.matched => Some(*term),
        _ => None,
    });
    acks.collect()
}

fn granted(effects: &[Effect]) -> bool {
    effects.iter().any(|e| match e {
        Effect::Send(message) => matches!(&message.body, Some(Body::VoteAck(a)) if a.granted),
        _ => false,
    })
}

#[test]
fn append_overwritten_before_sync() {
    // A follower appends an entry of term 5. Before the sync, the leader of term
    // 6 overwrites it. If the first entry were still acknowledged, the leader of
    // term 5 could commit it on a copy that was never durable.
    let mut harness = Harness::new(&[1]);
    harness.append(2, 5, (1, 1), &[entry(2, 5)]);
    let effects = harness.append(3, 6, (1, 1), &[entry(2, 6)]);
    assert!(acks(&effects).is_empty());
    let seq = written(&effects).unwrap();
    let effects = harness.step(Event::Persisted(seq));
    assert_eq!(acks(&effects), [6]);
}

#[test]
fn append_acknowledged_after_sync() {
    let mut harness = Harness::new(&[1]);
    let effects = harness.append(2, 1, (1, 1), &[entry(2, 1)]);
    assert!(acks(&effects).is_empty());
    let effects = harness.step(Event::Persisted(written(&effects).unwrap()));
    assert_eq!(acks(&effects), [1]);
}

#[test]
fn commit_older_term() {
    // An entry of term 2 reaches a majority only under the leader of term 3.
    // A candidate that lacks it could still win and overwrite it, so it must not
    // be committed before an entry of term 3 is on a majority.
    let mut harness = Harness::new(&[1, 2]);
    let term = harness.elect();
    harness.ack(2, term, 2);
    assert_eq!(harness.replica.commit(), 0);
    harness.ack(2, term, 3);
    assert_eq!(harness.replica.commit(), 0, "its own copy isn't synced");
    harness.step(Event::Persisted(2));
    assert_eq!(harness.replica.commit(), 3);
}

#[test]
fn vote_once_a_term() {
    // Two candidates of one term request a vote. The second one must be refused,
    // also if its request arrives before the first vote is synced.
    let mut harness = Harness::new(&[1]);
    let effects = harness.vote(2, 5);
    assert!(!granted(&effects), "granted before the sync");
    let refused = harness.vote(3, 5);
    let after = harness.step(Event::Persisted(written(&effects).unwrap()));
    assert!(granted(&after) && !granted(&refused));
    assert!(!granted(&harness.vote(3, 5)));
}

#[test]
fn vote_saved() {
    // The vote is the only change in a term that was seen before, and must still
    // be written: lost in a crash, it could be granted twice.
    let mut harness = Harness::new(&[1]);
    let ack = AppendAck::default();
    harness.receive(2, 5, Body::AppendAck(ack));
    let effects = harness.vote(3, 5);
    let saved = effects.iter().any(|e| match e {
        Effect::Persist(persist) => persist.hard.vote == Some(peer(3)),
        _ => false,
    });
    assert!(saved);
}

#[test]
fn commit_unmatched_tail() {
    // A follower holds entries of an old leader after those that the new one has
    // matched. The commit index must not cover them.
    let mut harness = Harness::new(&[1, 1, 1]);
    let append = Append {
        prev_index: 1,
        prev_term: 1,
        commit: 3,
        ..Append::default()
    };
    harness.receive(2, 2, Body::Append(append));
    assert_eq!(harness.replica.commit(), 1);
}

#[test]
fn propose_not_leader() {
    let mut harness = Harness::new(&[1]);
    harness.append(2, 1, (1, 1), &[]);
    let effects = harness.step(Event::Propose(vec![(8, Bytes::new())]));
    let hint = Cause::NotLeader { hint: Some(2) };
    let failed = |e: &Effect| matches!(e, Effect::Failed { ticket: 8, cause } if *cause == hint);
    assert!(effects.iter().any(failed));
}

#[test]
fn read_before_own_commit() {
    // A new leader may not know the last commit index yet. A read that it
    // answered at once could miss an accepted change.
    let mut harness = Harness::new(&[1, 1]);
    let term = harness.elect();
    let readable = |e: &Effect| matches!(e, Effect::Readable { .. });
    assert!(!harness.step(Event::Read(1)).iter().any(readable));
    harness.step(Event::Persisted(2));
    let effects = harness.ack(2, term, 3);
    assert!(!effects.iter().any(readable), "no quorum confirmed it");
    let ack = AppendAck {
        matched: true,
        index: 3,
        last_index: 3,
        round: 1,
        ..AppendAck::default()
    };
    let effects = harness.receive(3, term, Body::AppendAck(ack));
    assert!(effects.iter().any(readable));
}

fn changed(harness: &mut Harness, id: u64) -> Option<Cause> {
    let effects = harness.step(Event::Change(id, Change::Add(peer(id))));
    effects.iter().find_map(|e| match e {
        Effect::Failed { cause, .. } => Some(*cause),
        _ => None,
    })
}

#[test]
fn change_before_own_commit() {
    // A new leader may hold a membership that was never committed. A change on
    // top of it could lead to two memberships whose quorums don't intersect.
    let mut harness = Harness::new(&[1, 1]);
    let term = harness.elect();
    assert_eq!(changed(&mut harness, 4), Some(Cause::Busy));
    harness.step(Event::Persisted(2));
    harness.ack(2, term, 3);
    assert_eq!(changed(&mut harness, 4), None);
}

#[test]
fn change_during_change() {
    // Two operators add a store each. The second change must wait until the first
    // is committed, since their quorums need not intersect.
    let mut harness = Harness::new(&[1, 1]);
    let term = harness.elect();
    harness.step(Event::Persisted(2));
    harness.ack(2, term, 3);
    assert_eq!(changed(&mut harness, 4), None);
    assert_eq!(changed(&mut harness, 5), Some(Cause::Busy));
    harness.step(Event::Persisted(3));
    harness.ack(2, term, 4);
    assert_eq!(changed(&mut harness, 5), None);
}

#[test]
fn append_older_term() {
    // A leader was partitioned, another one was elected, and a late message of
    // the first arrives. It must not overwrite entries of the second. The refusal
    // must carry the actual end of the log: its receiver may lead the next term
    // when it arrives, and would bar a store that seems to have lost entries.
    let mut harness = Harness::new(&[1]);
    let effects = harness.append(3, 6, (1, 1), &[entry(2, 6)]);
    let refusal = harness.append(2, 5, (1, 1), &[entry(2, 5)]);
    assert_eq!(harness.replica.log().term(2), Some(6));
    assert_eq!(written(&refusal), None);
    let effects = harness.step(Event::Persisted(written(&effects).unwrap()));
    let ends = effects.iter().filter_map(|e| match e {
        Effect::Send(message) => message.body.as_ref(),
        _ => None,
    });
    let truthful = |b: &Body| matches!(b, Body::AppendAck(ack) if ack.last_index == 2);
    assert!(ends.clone().count() == 2 && ends.clone().all(truthful));
}

#[test]
fn hello_reaches_leader() {
    // A host loses its disk. Its new store knows only the contacts, and the leader
    // is none of them. Unless a contact forwards the hello, the store never votes
    // again, and the next two failures cost the quorum.
    let mut harness = Harness::new(&[1]);
    harness.append(2, 1, (1, 1), &[]);
    let effects = harness.receive(9, 0, Body::Hello(Hello::default()));
    let forwarded = effects.iter().find_map(|e| match e {
        Effect::Send(m) if m.to == 2 => m.body.clone(),
        _ => None,
    });
    let hello = ForwardHello {
        peer: Some(peer(9)),
    };
    assert_eq!(forwarded, Some(Body::ForwardHello(hello)));
}

#[test]
fn forward_hello_lists_non_member() {
    let mut harness = Harness::new(&[1]);
    harness.elect();
    let hello = ForwardHello {
        peer: Some(peer(9)),
    };
    harness.receive(2, 0, Body::ForwardHello(hello));
    assert!(harness.replica.non_members().any(|p| p == peer(9)));
}

/// Whether the effects request a pre-vote, or a vote.
fn requests_vote(effects: &[Effect], pre: bool) -> bool {
    effects.iter().any(|e| match e {
        Effect::Send(message) => matches!(&message.body, Some(Body::Vote(v)) if v.pre == pre),
        _ => false,
    })
}

#[test]
fn campaign_soon_after_start() {
    // All voters are killed at once and restart without a leader. When each waited
    // at least a whole election timeout for its first campaign, callers waited
    // twice as long as the restart itself took.
    let mut harness = Harness::new(&[1]);
    harness.now = harness.now + ELECTION * 2 / 3;
    let effects = harness.step(Event::Tick);
    assert!(requests_vote(&effects, true));
    // No other voter was up. The next pre-vote follows as soon.
    harness.now = harness.now + ELECTION * 2 / 3;
    assert!(requests_vote(&harness.step(Event::Tick), true));
    // The vote itself gets the whole timeout, since it waits for disks.
    let term = harness.replica.term() + 1;
    let ack = VoteAck {
        pre: true,
        granted: true,
        ..VoteAck::default()
    };
    let effects = harness.receive(2, term, Body::VoteAck(ack));
    let seq = written(&effects).unwrap();
    assert!(requests_vote(&harness.step(Event::Persisted(seq)), false));
    harness.now = harness.now + ELECTION - Duration::from_millis(1);
    let effects = harness.step(Event::Tick);
    assert!(!requests_vote(&effects, true) && !requests_vote(&effects, false));
}

#[test]
fn campaign_after_silence() {
    // A leader with earlier contact gets the whole timeout: a slow sync may delay
    // its heartbeats, and each needless election interrupts all changes.
    let mut harness = Harness::new(&[1]);
    harness.append(2, 1, (1, 1), &[]);
    harness.now = harness.now + ELECTION - Duration::from_millis(1);
    assert!(!requests_vote(&harness.step(Event::Tick), true));
    harness.now = harness.now + ELECTION + Duration::from_millis(1);
    assert!(requests_vote(&harness.step(Event::Tick), true));
}

/// Answer of another member to the hello of a restarted store.
fn hello_ack(term: u64, end: (u64, u64)) -> Body {
    let members = (1..=3).map(|id| Member::voter(peer(id))).collect();
    Body::HelloAck(HelloAck {
        run: 1,
        term,
        last_term: end.0,
        last_index: end.1,
        rejoined: true,
        members: Membership { members },
        ..HelloAck::default()
    })
}

/// Guards against votes and acknowledgements of a restarted store that may still
/// lack state.
#[test]
fn rejoin_takes_no_part() {
    let mut harness = Harness::with_boot(2, &[1]);
    let mut effects = harness.vote(2, 5);
    effects.extend(harness.append(2, 5, (1, 1), &[entry(2, 5)]));
    effects.extend(harness.receive(2, 5, hello_ack(5, (1, 1))));
    effects.extend(harness.vote(2, 5));
    assert!(!granted(&effects) && acks(&effects).is_empty());
    harness.now = harness.now + ELECTION;
    assert!(!requests_vote(&harness.step(Event::Tick), true));
}

/// Guards against a second vote in a term by a store on a copy of its directory
/// that lacks the first one.
#[test]
fn rejoin_lost_vote() {
    let mut harness = Harness::with_boot(2, &[1]);
    harness.receive(2, 0, hello_ack(5, (1, 1)));
    let effects = harness.receive(3, 0, hello_ack(4, (1, 1)));
    harness.step(Event::Persisted(written(&effects).unwrap()));
    assert_eq!(harness.replica.term(), 5);
    let refused = harness.vote(3, 5);
    let late = written(&refused).map(|seq| harness.step(Event::Persisted(seq)));
    assert!(!granted(&refused) && !late.is_some_and(|e| granted(&e)));
    let effects = harness.vote(3, 6);
    let effects = harness.step(Event::Persisted(written(&effects).unwrap()));
    assert!(granted(&effects));
}

/// Guards against a vote for a log that lacks entries which this store may have
/// acknowledged and lost.
#[test]
fn rejoin_lost_entry() {
    let mut harness = Harness::with_boot(2, &[1]);
    harness.receive(2, 0, hello_ack(5, (5, 3)));
    let effects = harness.receive(3, 0, hello_ack(5, (1, 1)));
    harness.step(Event::Persisted(written(&effects).unwrap()));
    harness.now = harness.now + 2 * ELECTION;
    assert!(
        !requests_vote(&harness.step(Event::Tick), true),
        "its own log is behind"
    );
    let vote = |last_index| {
        Body::Vote(Vote {
            last_index,
            last_term: 5,
            ..Vote::default()
        })
    };
    let effects = harness.receive(3, 6, vote(2));
    let late = written(&effects).map(|seq| harness.step(Event::Persisted(seq)));
    assert!(!granted(&effects) && !late.is_some_and(|e| granted(&e)));
    let effects = harness.receive(2, 7, vote(3));
    let effects = harness.step(Event::Persisted(written(&effects).unwrap()));
    assert!(granted(&effects));
}

/// Guards against a group that never recovers: too few others answer, since as
/// many are unreachable as the group tolerates.
#[test]
fn rejoin_unanswered() {
    let mut harness = Harness::with_boot(2, &[1]);
    let mut campaigned = false;
    for _ in 0..60 {
        harness.now = harness.now + ELECTION / 10;
        let effects = harness.step(Event::Tick);
        let synced = written(&effects).map(|seq| harness.step(Event::Persisted(seq)));
        campaigned |=
            requests_vote(&effects, true) || synced.is_some_and(|e| requests_vote(&e, true));
    }
    assert_eq!(harness.replica.confirmed(), Some(false));
    assert!(campaigned);
}

/// Guards against a commit that counts an acknowledgement which a later run of
/// its store may lack.
#[test]
fn ack_of_earlier_run() {
    let mut harness = Harness::new(&[1]);
    let term = harness.elect();
    harness.step(Event::Persisted(2));
    let ack = |index, seen| {
        Body::AppendAck(AppendAck {
            matched: true,
            index,
            last_index: index,
            seen,
            ..AppendAck::default()
        })
    };
    let later = SeenRun { store: 2, boot: 2 };
    harness.receive(3, term, ack(1, vec![later]));
    harness.receive(2, term, ack(2, Vec::new()));
    assert_eq!(harness.replica.commit(), 0);
    harness.receive(3, term, ack(2, vec![later]));
    assert_eq!(harness.replica.commit(), 2);
}

/// Guards against an election that counts a vote which a later run of its store
/// may lack.
#[test]
fn vote_of_earlier_run() {
    let mut harness = Harness::new(&[1]);
    harness.now = harness.now + 3 * ELECTION;
    harness.step(Event::Tick);
    let term = harness.replica.term() + 1;
    let ack = |pre, granted, seen| {
        Body::VoteAck(VoteAck {
            pre,
            granted,
            seen,
            founders: Vec::new(),
        })
    };
    let effects = harness.receive(2, term, ack(true, true, Vec::new()));
    let later = vec![SeenRun { store: 2, boot: 2 }];
    harness.receive(3, term, ack(false, false, later));
    harness.receive(2, term, ack(false, true, Vec::new()));
    harness.step(Event::Persisted(written(&effects).unwrap()));
    assert!(!harness.replica.is_leader());
}

/// Guards against a panic: a committed entry that differs from the leader's is an
/// error with a remedy.
#[test]
fn append_other_than_committed() {
    let mut harness = Harness::new(&[1]);
    let append = Append {
        prev_index: 1,
        prev_term: 1,
        entries: vec![entry(2, 2)],
        commit: 2,
        ..Append::default()
    };
    harness.receive(2, 2, Body::Append(append));
    let effects = harness.append(3, 3, (1, 1), &[entry(2, 3)]);
    let diverged = |e: &Effect| matches!(e, Effect::Diverged { index: 2 });
    assert!(effects.iter().any(diverged));
    assert!(acks(&effects).is_empty());
}

/// Guards against a store on a copy that is neither barred nor brought up to date:
/// its log reaches the acknowledged index, with entries of an earlier term.
#[test]
fn ack_of_copy_other_entries() {
    let mut harness = Harness::new(&[1, 1]);
    let term = harness.elect();
    harness.step(Event::Persisted(2));
    harness.ack(2, term, 3);
    harness.ack(3, term, 3);
    let refusal = AppendAck {
        index: 3,
        hint: 3,
        last_index: 4,
        ..AppendAck::default()
    };
    let message = Message {
        from: 3,
        from_store: 3,
        to: 1,
        to_store: 1,
        boot: 2,
        run: 2,
        term,
        body: Some(Body::AppendAck(refusal)),
        ..Message::default()
    };
    harness.step(Event::Message(message));
    let members = harness.replica.log().members().1;
    assert_eq!(members.role(peer(3)), Some(Role::Barred));
}

/// Guards against a delay after a power failure of all voters: one whose disk was
/// lost answers as an empty store, and need not be waited for.
#[test]
fn rejoin_beside_lost_disk() {
    let mut harness = Harness::with_boot(2, &[1]);
    harness.receive(2, 0, hello_ack(1, (1, 1)));
    assert_eq!(harness.replica.confirmed(), None);
    let blank = HelloAck {
        run: 1,
        rejoined: true,
        ..HelloAck::default()
    };
    let message = Message {
        from: 3,
        from_store: 33,
        to: 1,
        to_store: 1,
        boot: 1,
        run: 3,
        body: Some(Body::HelloAck(blank)),
        ..Message::default()
    };
    harness.step(Event::Message(message));
    assert_eq!(harness.replica.confirmed(), Some(true));
}

/// Replica 1 of a new group of three with an empty directory, created to found it or not.
fn blank(founders: &[u64]) -> Harness {
    let members = Membership::initial(founders.iter().copied());
    Harness::start(1, members, &[])
}

fn founding_vote(pre: bool, founders: &[u64]) -> Body {
    Body::VoteAck(VoteAck {
        pre,
        granted: true,
        founders: founders.to_vec(),
        ..VoteAck::default()
    })
}

/// Guards against a second log founded with the votes of stores that were added, or wiped, after
/// the first one was founded: only founders with an empty log can show that there is none.
#[rstest]
#[case::two_founders(&[1, 2, 3], &[], true)]
#[case::all_founders(&[1, 2, 3], &[1, 2, 3], true)]
#[case::one_founder(&[], &[], false)]
#[case::other_founders(&[1, 2, 4], &[1, 2, 4], false)]
fn found_with_votes(#[case] second: &[u64], #[case] third: &[u64], #[case] founded: bool) {
    let mut harness = blank(&[1, 2, 3]);
    harness.now = harness.now + 3 * ELECTION;
    harness.step(Event::Tick);
    let mut effects = Vec::new();
    for pre in [true, false] {
        for (id, founders) in [(2, second), (3, third)] {
            effects.extend(harness.receive(id, 1, founding_vote(pre, founders)));
        }
        if let Some(seq) = written(&effects) {
            harness.step(Event::Persisted(seq));
        }
    }
    assert_eq!(harness.replica.is_leader(), founded);
    assert_eq!(harness.replica.founding_refused(), !founded);
}

/// Guards against a vote that hides whether its store was created to found the group.
#[rstest]
#[case::founder(&[1, 2, 3])]
#[case::added(&[])]
fn vote_tells_founders(#[case] founders: &[u64]) {
    let mut harness = blank(founders);
    let effects = harness.vote(2, 1);
    let effects = harness.step(Event::Persisted(written(&effects).unwrap()));
    let told = effects.iter().find_map(|e| match e {
        Effect::Send(message) => match &message.body {
            Some(Body::VoteAck(ack)) if ack.granted => Some(ack.founders.clone()),
            _ => None,
        },
        _ => None,
    });
    assert_eq!(told.as_deref(), Some(founders));
}

/// Instances to which the effects send hellos.
fn greeted(effects: &[Effect]) -> Vec<u64> {
    let hellos = effects.iter().filter_map(|e| match e {
        Effect::Send(Message {
            to,
            body: Some(Body::Hello(_)),
            ..
        }) => Some(*to),
        _ => None,
    });
    hellos.collect()
}

fn known_members(index: u64, instances: &[u64]) -> KnownMembers {
    let instances = instances.to_vec();
    KnownMembers { index, instances }
}

/// Guards against a store that waits to be added and forgets whom to ask, or goes back to members
/// of former times.
#[test]
fn known_members_kept() {
    let mut harness = blank(&[]);
    harness.step(Event::Tick);
    for (index, instances) in [(7, &[4, 5]), (6, &[8, 9])] {
        harness.receive(2, 1, Body::KnownMembers(known_members(index, instances)));
    }
    assert_eq!(
        harness.replica.durable_state().known_members.instances,
        [4, 5]
    );
    harness.now = harness.now + 3 * ELECTION;
    assert_eq!(greeted(&harness.step(Event::Tick)), [2, 3, 4, 5]);
    // It passes on what it was told.
    let effects = harness.receive(6, 0, Body::Hello(Hello::default()));
    let told = effects.iter().any(|e| match e {
        Effect::Send(m) => m.body == Some(Body::KnownMembers(known_members(7, &[4, 5]))),
        _ => false,
    });
    assert!(told, "{effects:?}");
}

/// Guards against an added instance that no leader hears of: it knows only the seeds in its
/// settings, and these know no member.
#[test]
fn greet_unknown_contacts() {
    let mut harness = Harness::new(&[1]);
    harness.elect();
    harness.step(Event::Contacts(vec![1, 2, 6]));
    harness.now = harness.now + ELECTION;
    for id in [2, 3] {
        harness.ack(id, harness.replica.term(), 1);
    }
    assert_eq!(greeted(&harness.step(Event::Tick)), [6]);
}
