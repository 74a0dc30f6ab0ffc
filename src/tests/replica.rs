//! Tests of [`crate::replica`], one replica at a time.

use std::time::Duration;

use bytes::Bytes;

use crate::Time;
use crate::replica::{
    Append, AppendAck, Body, Cause, Change, Effect, Entry, Event, Hard, Hello, Introduce, Kind,
    Member, Membership, Message, Peer, Replica, Role, Seen, Settings, Snapshot, Standing, Start,
    Vote, VoteAck,
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

/// Replica 1 of three, with entries of the terms given.
struct Bench {
    replica: Replica,
    now: Time,
}

impl Bench {
    fn new(terms: &[u64]) -> Self {
        Self::booted(1, terms)
    }

    /// Replica 1 in its run number `boot`.
    fn booted(boot: u64, terms: &[u64]) -> Self {
        let members = (1..=3).map(|id| Member::voter(peer(id))).collect();
        let start = Start {
            hard: Hard {
                term: terms.last().copied().unwrap_or(0),
                ..Hard::default()
            },
            snapshot: Snapshot {
                members: Membership { members },
                ..Snapshot::default()
            },
            entries: (1..).zip(terms).map(|(i, &t)| entry(i, t)).collect(),
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
    fn lead(&mut self) -> u64 {
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

/// Terms of the acknowledgements among the effects that attest a match.
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
    // A follower takes an entry of term 5. Before the sync, the leader of term
    // 6 overwrites it. Were the first one still acknowledged, the leader of
    // term 5 could count a copy that never was durable, and commit it.
    let mut bench = Bench::new(&[1]);
    bench.append(2, 5, (1, 1), &[entry(2, 5)]);
    let effects = bench.append(3, 6, (1, 1), &[entry(2, 6)]);
    assert!(acks(&effects).is_empty());
    let seq = written(&effects).unwrap();
    let effects = bench.step(Event::Persisted(seq));
    assert_eq!(acks(&effects), [6]);
}

#[test]
fn append_acknowledged_after_sync() {
    let mut bench = Bench::new(&[1]);
    let effects = bench.append(2, 1, (1, 1), &[entry(2, 1)]);
    assert!(acks(&effects).is_empty());
    let effects = bench.step(Event::Persisted(written(&effects).unwrap()));
    assert_eq!(acks(&effects), [1]);
}

#[test]
fn commit_older_term() {
    // An entry of term 2 reaches a majority only under the leader of term 3.
    // A leader that lacks it could still win and overwrite it, so it must not
    // be reported as accepted before an entry of term 3 is on a majority.
    let mut bench = Bench::new(&[1, 2]);
    let term = bench.lead();
    bench.ack(2, term, 2);
    assert_eq!(bench.replica.commit(), 0);
    bench.ack(2, term, 3);
    assert_eq!(bench.replica.commit(), 0, "its own copy isn't synced");
    bench.step(Event::Persisted(2));
    assert_eq!(bench.replica.commit(), 3);
}

#[test]
fn vote_once_a_term() {
    // Two candidates of one term ask. The second one must be refused, also
    // when it asks before the first vote is synced.
    let mut bench = Bench::new(&[1]);
    let effects = bench.vote(2, 5);
    assert!(!granted(&effects), "granted before the sync");
    let refused = bench.vote(3, 5);
    let after = bench.step(Event::Persisted(written(&effects).unwrap()));
    assert!(granted(&after) && !granted(&refused));
    assert!(!granted(&bench.vote(3, 5)));
}

#[test]
fn vote_saved() {
    // The vote for a term that was seen before is the only change, and must
    // be written all the same: forgotten in a crash, it could be given twice.
    let mut bench = Bench::new(&[1]);
    let ack = AppendAck::default();
    bench.receive(2, 5, Body::AppendAck(ack));
    let effects = bench.vote(3, 5);
    let saved = effects.iter().any(|e| match e {
        Effect::Persist(persist) => persist.hard.vote == Some(peer(3)),
        _ => false,
    });
    assert!(saved);
}

#[test]
fn commit_unmatched_tail() {
    // A follower holds entries of an old leader past those that the new one
    // has confirmed. The commit index must not cover them.
    let mut bench = Bench::new(&[1, 1, 1]);
    let append = Append {
        prev_index: 1,
        prev_term: 1,
        commit: 3,
        ..Append::default()
    };
    bench.receive(2, 2, Body::Append(append));
    assert_eq!(bench.replica.commit(), 1);
}

#[test]
fn propose_not_leader() {
    let mut bench = Bench::new(&[1]);
    bench.append(2, 1, (1, 1), &[]);
    let effects = bench.step(Event::Propose(vec![(8, Bytes::new())]));
    let hint = Cause::NotLeader { hint: Some(2) };
    let failed = |e: &Effect| matches!(e, Effect::Failed { ticket: 8, cause } if *cause == hint);
    assert!(effects.iter().any(failed));
}

#[test]
fn read_before_own_commit() {
    // A new leader may not know yet what the last one committed. A read that
    // it answers at once could miss an accepted change.
    let mut bench = Bench::new(&[1, 1]);
    let term = bench.lead();
    let readable = |e: &Effect| matches!(e, Effect::Readable { .. });
    assert!(!bench.step(Event::Read(1)).iter().any(readable));
    bench.step(Event::Persisted(2));
    let effects = bench.ack(2, term, 3);
    assert!(!effects.iter().any(readable), "no quorum confirmed it");
    let ack = AppendAck {
        matched: true,
        index: 3,
        last_index: 3,
        round: 1,
        ..AppendAck::default()
    };
    let effects = bench.receive(3, term, Body::AppendAck(ack));
    assert!(effects.iter().any(readable));
}

fn changed(bench: &mut Bench, id: u64) -> Option<Cause> {
    let effects = bench.step(Event::Change(id, Change::Add(peer(id))));
    effects.iter().find_map(|e| match e {
        Effect::Failed { cause, .. } => Some(*cause),
        _ => None,
    })
}

#[test]
fn change_before_own_commit() {
    // A new leader may hold a membership that was never committed. A change on
    // top of it could lead to two memberships whose quorums don't meet.
    let mut bench = Bench::new(&[1, 1]);
    let term = bench.lead();
    assert_eq!(changed(&mut bench, 4), Some(Cause::Busy));
    bench.step(Event::Persisted(2));
    bench.ack(2, term, 3);
    assert_eq!(changed(&mut bench, 4), None);
}

#[test]
fn change_during_change() {
    // Two operators add a store each. The second change must wait until the
    // first is committed: their quorums need not meet.
    let mut bench = Bench::new(&[1, 1]);
    let term = bench.lead();
    bench.step(Event::Persisted(2));
    bench.ack(2, term, 3);
    assert_eq!(changed(&mut bench, 4), None);
    assert_eq!(changed(&mut bench, 5), Some(Cause::Busy));
    bench.step(Event::Persisted(3));
    bench.ack(2, term, 4);
    assert_eq!(changed(&mut bench, 5), None);
}

#[test]
fn append_older_term() {
    // A leader was cut off, another one was elected, and a late message of
    // the first arrives. It must not overwrite what the second has sent. The
    // refusal tells the true end of the log: its receiver may lead the next
    // term when it arrives, and would bar a store that seems to have lost all.
    let mut bench = Bench::new(&[1]);
    let effects = bench.append(3, 6, (1, 1), &[entry(2, 6)]);
    let refusal = bench.append(2, 5, (1, 1), &[entry(2, 5)]);
    assert_eq!(bench.replica.log().term(2), Some(6));
    assert_eq!(written(&refusal), None);
    let effects = bench.step(Event::Persisted(written(&effects).unwrap()));
    let ends = effects.iter().filter_map(|e| match e {
        Effect::Send(message) => message.body.as_ref(),
        _ => None,
    });
    let truthful = |b: &Body| matches!(b, Body::AppendAck(ack) if ack.last_index == 2);
    assert!(ends.clone().count() == 2 && ends.clone().all(truthful));
}

#[test]
fn hello_reaches_leader() {
    // A machine loses its disk. Its new store knows the seeds only, and the
    // leader is none of them. Unless a seed passes the greeting on, the store
    // never votes again, and the next two losses stop the group for good.
    let mut bench = Bench::new(&[1]);
    bench.append(2, 1, (1, 1), &[]);
    let effects = bench.receive(9, 0, Body::Hello(Hello::default()));
    let told = effects.iter().find_map(|e| match e {
        Effect::Send(m) if m.to == 2 => m.body.clone(),
        _ => None,
    });
    let introduce = Introduce {
        peer: Some(peer(9)),
    };
    assert_eq!(told, Some(Body::Introduce(introduce)));
}

#[test]
fn introduce_makes_stranger() {
    let mut bench = Bench::new(&[1]);
    bench.lead();
    let introduce = Introduce {
        peer: Some(peer(9)),
    };
    bench.receive(2, 0, Body::Introduce(introduce));
    assert!(bench.replica.strangers().any(|p| p == peer(9)));
}

/// Whether the effects ask for a pre-vote, or for a vote.
fn asks(effects: &[Effect], pre: bool) -> bool {
    effects.iter().any(|e| match e {
        Effect::Send(message) => matches!(&message.body, Some(Body::Vote(v)) if v.pre == pre),
        _ => false,
    })
}

#[test]
fn campaign_soon_after_start() {
    // All voters are killed at once and start again. Nobody leads, and each
    // waited a whole election timeout and more before it said so: callers were
    // kept waiting for as long again as the restart itself took.
    let mut bench = Bench::new(&[1]);
    bench.now = bench.now + ELECTION * 2 / 3;
    let effects = bench.step(Event::Tick);
    assert!(asks(&effects, true));
    // Nobody else was up yet. It asks again as soon.
    bench.now = bench.now + ELECTION * 2 / 3;
    assert!(asks(&bench.step(Event::Tick), true));
    // The vote itself has the whole timeout: it waits for disks.
    let term = bench.replica.term() + 1;
    let ack = VoteAck {
        pre: true,
        granted: true,
        ..VoteAck::default()
    };
    let effects = bench.receive(2, term, Body::VoteAck(ack));
    let seq = written(&effects).unwrap();
    assert!(asks(&bench.step(Event::Persisted(seq)), false));
    bench.now = bench.now + ELECTION - Duration::from_millis(1);
    let effects = bench.step(Event::Tick);
    assert!(!asks(&effects, true) && !asks(&effects, false));
}

#[test]
fn campaign_after_silence() {
    // A leader that was heard gets the whole timeout: a slow sync keeps it
    // silent for a while, and each needless election stops all changes.
    let mut bench = Bench::new(&[1]);
    bench.append(2, 1, (1, 1), &[]);
    bench.now = bench.now + ELECTION - Duration::from_millis(1);
    assert!(!asks(&bench.step(Event::Tick), true));
    bench.now = bench.now + ELECTION + Duration::from_millis(1);
    assert!(asks(&bench.step(Event::Tick), true));
}

/// The answer of another member to a store that asks after a restart.
fn standing(term: u64, end: (u64, u64)) -> Body {
    let members = (1..=3).map(|id| Member::voter(peer(id))).collect();
    Body::Standing(Standing {
        run: 1,
        term,
        last_term: end.0,
        last_index: end.1,
        rejoined: true,
        members: Membership { members },
        ..Standing::default()
    })
}

/// Guards against votes and acknowledgements of a restarted store that doesn't
/// know yet what it has forgotten.
#[test]
fn rejoin_takes_no_part() {
    let mut bench = Bench::booted(2, &[1]);
    let mut effects = bench.vote(2, 5);
    effects.extend(bench.append(2, 5, (1, 1), &[entry(2, 5)]));
    effects.extend(bench.receive(2, 5, standing(5, (1, 1))));
    effects.extend(bench.vote(2, 5));
    assert!(!granted(&effects) && acks(&effects).is_empty());
    bench.now = bench.now + ELECTION;
    assert!(!asks(&bench.step(Event::Tick), true));
}

/// Guards against a second vote in a term: a copy of the folder has forgotten
/// the first one.
#[test]
fn rejoin_forgotten_vote() {
    let mut bench = Bench::booted(2, &[1]);
    bench.receive(2, 0, standing(5, (1, 1)));
    let effects = bench.receive(3, 0, standing(4, (1, 1)));
    bench.step(Event::Persisted(written(&effects).unwrap()));
    assert_eq!(bench.replica.term(), 5);
    let refused = bench.vote(3, 5);
    let late = written(&refused).map(|seq| bench.step(Event::Persisted(seq)));
    assert!(!granted(&refused) && !late.is_some_and(|e| granted(&e)));
    let effects = bench.vote(3, 6);
    let effects = bench.step(Event::Persisted(written(&effects).unwrap()));
    assert!(granted(&effects));
}

/// Guards against a vote for a log that lacks entries which this store may have
/// acknowledged and forgotten.
#[test]
fn rejoin_forgotten_entry() {
    let mut bench = Bench::booted(2, &[1]);
    bench.receive(2, 0, standing(5, (5, 3)));
    let effects = bench.receive(3, 0, standing(5, (1, 1)));
    bench.step(Event::Persisted(written(&effects).unwrap()));
    bench.now = bench.now + 2 * ELECTION;
    assert!(
        !asks(&bench.step(Event::Tick), true),
        "its own log is behind"
    );
    let vote = |last_index| {
        Body::Vote(Vote {
            last_index,
            last_term: 5,
            ..Vote::default()
        })
    };
    let effects = bench.receive(3, 6, vote(2));
    let late = written(&effects).map(|seq| bench.step(Event::Persisted(seq)));
    assert!(!granted(&effects) && !late.is_some_and(|e| granted(&e)));
    let effects = bench.receive(2, 7, vote(3));
    let effects = bench.step(Event::Persisted(written(&effects).unwrap()));
    assert!(granted(&effects));
}

/// Guards against a group that stops for good: too few others answer, and as
/// many are away as the group tolerates.
#[test]
fn rejoin_unanswered() {
    let mut bench = Bench::booted(2, &[1]);
    let mut asked = false;
    for _ in 0..60 {
        bench.now = bench.now + ELECTION / 10;
        let effects = bench.step(Event::Tick);
        let synced = written(&effects).map(|seq| bench.step(Event::Persisted(seq)));
        asked |= asks(&effects, true) || synced.is_some_and(|e| asks(&e, true));
    }
    assert_eq!(bench.replica.confirmed(), Some(false));
    assert!(asked);
}

/// Guards against a commit that counts an acknowledgement which the later run
/// of its store may have forgotten.
#[test]
fn ack_of_earlier_run() {
    let mut bench = Bench::new(&[1]);
    let term = bench.lead();
    bench.step(Event::Persisted(2));
    let ack = |index, seen| {
        Body::AppendAck(AppendAck {
            matched: true,
            index,
            last_index: index,
            seen,
            ..AppendAck::default()
        })
    };
    let later = Seen { store: 2, boot: 2 };
    bench.receive(3, term, ack(1, vec![later]));
    bench.receive(2, term, ack(2, Vec::new()));
    assert_eq!(bench.replica.commit(), 0);
    bench.receive(3, term, ack(2, vec![later]));
    assert_eq!(bench.replica.commit(), 2);
}

/// Guards against an election that counts a vote which the later run of its
/// store may have forgotten.
#[test]
fn vote_of_earlier_run() {
    let mut bench = Bench::new(&[1]);
    bench.now = bench.now + 3 * ELECTION;
    bench.step(Event::Tick);
    let term = bench.replica.term() + 1;
    let ack = |pre, granted, seen| Body::VoteAck(VoteAck { pre, granted, seen });
    let effects = bench.receive(2, term, ack(true, true, Vec::new()));
    let later = vec![Seen { store: 2, boot: 2 }];
    bench.receive(3, term, ack(false, false, later));
    bench.receive(2, term, ack(false, true, Vec::new()));
    bench.step(Event::Persisted(written(&effects).unwrap()));
    assert!(!bench.replica.is_leader());
}

/// Guards against a panic of the process: a committed entry that differs from
/// the leader's is an error that names the remedy.
#[test]
fn append_other_than_committed() {
    let mut bench = Bench::new(&[1]);
    let append = Append {
        prev_index: 1,
        prev_term: 1,
        entries: vec![entry(2, 2)],
        commit: 2,
        ..Append::default()
    };
    bench.receive(2, 2, Body::Append(append));
    let effects = bench.append(3, 3, (1, 1), &[entry(2, 3)]);
    let diverged = |e: &Effect| matches!(e, Effect::Diverged { index: 2 });
    assert!(effects.iter().any(diverged));
    assert!(acks(&effects).is_empty());
}

/// Guards against a copy that is never barred nor brought up to date: its log is
/// as long as what was acknowledged, with entries of an earlier term.
#[test]
fn ack_of_copy_other_entries() {
    let mut bench = Bench::new(&[1, 1]);
    let term = bench.lead();
    bench.step(Event::Persisted(2));
    bench.ack(2, term, 3);
    bench.ack(3, term, 3);
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
    bench.step(Event::Message(message));
    let members = bench.replica.log().members().1;
    assert_eq!(members.role(peer(3)), Some(Role::Barred));
}

/// Guards against callers who wait after a power failure of all: a voter whose
/// disk was lost says so, and need not be waited for.
#[test]
fn rejoin_beside_lost_disk() {
    let mut bench = Bench::booted(2, &[1]);
    bench.receive(2, 0, standing(1, (1, 1)));
    assert_eq!(bench.replica.confirmed(), None);
    let blank = Standing {
        run: 1,
        rejoined: true,
        ..Standing::default()
    };
    let message = Message {
        from: 3,
        from_store: 33,
        to: 1,
        to_store: 1,
        boot: 1,
        run: 3,
        body: Some(Body::Standing(blank)),
        ..Message::default()
    };
    bench.step(Event::Message(message));
    assert_eq!(bench.replica.confirmed(), Some(true));
}
