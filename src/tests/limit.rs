//! Tests of [`crate::limit`].

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::catalogue::Limits;
use crate::clock::Time;
use crate::id::{Incarnation, InstanceId};
use crate::limit::{
    Allocator, DenialReason, Grant, Holder, LEASE, MIN_REQUEST_GAP, Permit, REQUEST_PERIOD,
    ShareRequest,
};

fn limits(n: u32) -> Limits {
    Limits {
        requests: n,
        tokens: 100 * n,
        concurrent: n,
        queued: n,
    }
}

/// An allocator that knows all shares in use, and a holder.
fn pair(n: u32) -> (Allocator, Holder, Time) {
    let mut allocator = Allocator::new(Time(0));
    allocator.set_limits([("r", limits(n))]);
    let now = Time(0) + 2 * LEASE;
    (allocator, holder(1), now)
}

fn holder(instance: u64) -> Holder {
    Holder::new(InstanceId(instance), Incarnation(1))
}

fn exchange(allocator: &mut Allocator, holder: &mut Holder, now: Time) -> bool {
    let request = holder.share_request(now);
    let grant = allocator.allocate(now, &request);
    grant.is_some_and(|g| holder.grant(now, &g))
}

#[test]
fn admit_cold_instance() {
    let (mut allocator, mut holder, now) = pair(10);
    let denial = holder.admit(now, "r", 10).unwrap_err();
    assert_eq!(denial.reason, DenialReason::NoShare);
    assert_eq!(holder.due(), Time(0), "a share request is due at once");
    assert!(exchange(&mut allocator, &mut holder, now));
    let permit = holder.admit(now + REQUEST_PERIOD, "r", 10).unwrap();
    assert_eq!(holder.running("r"), 1);
    drop(permit);
    assert_eq!(holder.running("r"), 0);
}

#[test]
fn admit_zero_limit() {
    let (mut allocator, mut holder, now) = pair(0);
    let _ = holder.admit(now, "r", 1);
    exchange(&mut allocator, &mut holder, now);
    assert!(holder.admit(now + REQUEST_PERIOD, "r", 1).is_err());
}

#[test]
fn admit_concurrent_beyond_shrunk_share() {
    let (mut allocator, mut holder, now) = pair(10);
    let _ = holder.admit(now, "r", 1);
    exchange(&mut allocator, &mut holder, now);
    let now = now + REQUEST_PERIOD;
    let held: Vec<Permit> = (0..4)
        .map_while(|_| holder.admit(now, "r", 1).ok())
        .collect();
    assert_eq!(held.len(), 4);
    allocator.set_limits([("r", limits(2))]);
    exchange(&mut allocator, &mut holder, now);
    let denial = holder.admit(now + REQUEST_PERIOD, "r", 1).unwrap_err();
    assert_eq!(denial.reason, DenialReason::Concurrent);
    drop(held);
    assert!(holder.admit(now + REQUEST_PERIOD, "r", 1).is_ok());
}

#[test]
fn settle_books_actual_tokens() {
    let (mut allocator, mut holder, now) = pair(10);
    let _ = holder.admit(now, "r", 1000);
    exchange(&mut allocator, &mut holder, now);
    let now = now + REQUEST_PERIOD;
    let permit = holder.admit(now, "r", 10).unwrap();
    holder.settle(permit, 5000);
    let denial = holder.admit(now, "r", 10).unwrap_err();
    assert_eq!(denial.reason, DenialReason::Tokens);
}

#[test]
fn grant_lease_counts_from_sending() {
    let (mut allocator, mut holder, now) = pair(10);
    let _ = holder.admit(now, "r", 1);
    let request = holder.share_request(now);
    let grant = allocator.allocate(now, &request).unwrap();
    assert!(holder.grant(now + LEASE / 2, &grant));
    assert_ne!(holder.share(now + LEASE - MIN_REQUEST_GAP, "r").requests, 0);
    assert_eq!(holder.share(now + LEASE, "r").requests, 0);
}

/// Two instances with a total demand of twice the limit: after a few periods
/// each holds about half, so that neither starves its callers.
#[test]
fn allocate_share_follows_demand() {
    let (mut allocator, mut a, mut now) = pair(100);
    let mut b = holder(2);
    for round in 0..8 {
        for _ in 0..100 {
            drop(a.admit(now, "r", 1));
            if round > 2 {
                drop(b.admit(now, "r", 1));
            }
        }
        exchange(&mut allocator, &mut a, now);
        exchange(&mut allocator, &mut b, now);
        now = now + REQUEST_PERIOD;
    }
    let shares = [&a, &b].map(|h| h.share(now, "r").requests);
    assert!(shares.iter().all(|s| (40..=60).contains(s)), "{shares:?}");
}

/// One random run: each process has its own clock and drift, and the network
/// loses, duplicates and reorders messages.
struct Run {
    rng: ChaCha8Rng,
    holders: Vec<Process>,
    leader: Option<(Allocator, Drift)>,
    /// Messages by their time of delivery.
    network: BTreeMap<(u64, u64), Message>,
    sent: u64,
    /// True time in microseconds.
    now: u64,
    limit: u32,
    /// Limits of the past lease, with the true time at which each ended. A
    /// change of leader within a lease after a limit was lowered restarts that
    /// lease: the new leader can't tell which shares were granted before.
    past: VecDeque<(u64, u32)>,
    admitted: u64,
    seed: u64,
}

struct Process {
    holder: Holder,
    drift: Drift,
    frozen: u64,
    permits: Vec<Permit>,
    request_chance: f64,
}

#[derive(Clone, Copy)]
struct Drift {
    offset: u64,
    rate: f64,
}

impl Drift {
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        Self {
            offset: rng.random_range(100_000_000..1_000_000_000),
            rate: 1.0 + rng.random_range(-0.01..0.01),
        }
    }

    fn at(self, now: u64) -> Time {
        Time(self.offset + (now as f64 * self.rate) as u64)
    }
}

#[derive(Clone)]
enum Message {
    Request(ShareRequest),
    Grant(Grant),
}

const TICK: u64 = 20_000;

impl Run {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let process = |rng: &mut ChaCha8Rng, i| Process {
            holder: holder(i),
            drift: Drift::draw(rng),
            frozen: 0,
            permits: Vec::new(),
            request_chance: rng.random_range(0.0..1.0),
        };
        let holders = (1..=5).map(|i| process(&mut rng, i)).collect();
        Self {
            holders,
            leader: None,
            network: BTreeMap::new(),
            sent: 0,
            now: 0,
            limit: 20,
            past: VecDeque::new(),
            admitted: 0,
            seed,
            rng,
        }
    }

    fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now += TICK;
            self.deliver();
            self.check();
            self.inject_fault();
            for i in 0..self.holders.len() {
                self.work(i);
            }
            self.check();
        }
    }

    /// Sends a message once, twice or not at all, mostly with a short delay but
    /// sometimes with one of up to more than a lease.
    fn send(&mut self, message: &Message) {
        let copies = [0, 1, 1, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..10)];
        for _ in 0..copies {
            let slow = self.rng.random_bool(0.15);
            let most = if slow { 5_000_000 } else { 50_000 };
            let at = self.now + self.rng.random_range(0..most);
            self.sent += 1;
            self.network.insert((at, self.sent), message.clone());
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.network.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Message::Request(request) => self.answer(&request),
                Message::Grant(grant) => self.apply(&grant),
            }
        }
    }

    fn answer(&mut self, request: &ShareRequest) {
        let now = self.now;
        let Some((allocator, drift)) = &mut self.leader else {
            return;
        };
        if let Some(grant) = allocator.allocate(drift.at(now), request) {
            self.send(&Message::Grant(grant));
        }
    }

    fn apply(&mut self, grant: &Grant) {
        let process = &mut self.holders[grant.instance as usize - 1];
        if process.frozen > self.now {
            self.sent += 1;
            let at = (process.frozen, self.sent);
            self.network.insert(at, Message::Grant(grant.clone()));
            return;
        }
        process.holder.grant(process.drift.at(self.now), grant);
    }

    /// Changes the leader, the limit, the demand, or freezes a process.
    fn inject_fault(&mut self) {
        if self.leader.is_none() || self.rng.random_ratio(1, 400) {
            let drift = Drift::draw(&mut self.rng);
            let allocator = Allocator::new(drift.at(self.now));
            self.leader = Some((allocator, drift));
            self.past.iter_mut().for_each(|p| p.0 = self.now);
            self.set_limit(self.limit);
        }
        if self.rng.random_ratio(1, 300) {
            let limit = self.rng.random_range(0..40);
            self.set_limit(limit);
        }
        let i = self.rng.random_range(0..self.holders.len());
        let process = &mut self.holders[i];
        if self.rng.random_ratio(1, 100) {
            process.frozen = self.now + self.rng.random_range(0..8_000_000);
        }
        if self.rng.random_ratio(1, 100) {
            process.request_chance = self.rng.random_range(0.0..1.0);
        }
    }

    fn set_limit(&mut self, limit: u32) {
        self.past.push_back((self.now, self.limit));
        self.limit = limit;
        if let Some((allocator, _)) = &mut self.leader {
            allocator.set_limits([("r", limits(limit))]);
        }
    }

    fn work(&mut self, i: usize) {
        let process = &mut self.holders[i];
        if process.frozen > self.now {
            return;
        }
        let now = process.drift.at(self.now);
        if self.rng.random_bool(process.request_chance)
            && let Ok(permit) = process.holder.admit(now, "r", 10)
        {
            process.permits.push(permit);
            self.admitted += 1;
        }
        if self.rng.random_bool(0.2) {
            process.permits.pop();
        }
        if process.holder.due() <= now {
            let request = process.holder.share_request(now);
            self.send(&Message::Request(request));
        }
    }

    /// Asserts that the shares in use, by each holder's own clock, fit the
    /// largest limit of the past lease.
    fn check(&mut self) {
        let lease = LEASE + LEASE / 50;
        let from = self.now.saturating_sub(lease.as_micros() as u64);
        while self.past.front().is_some_and(|&(ended, _)| ended < from) {
            self.past.pop_front();
        }
        let past = self.past.iter().map(|&(_, limit)| limit);
        let most = past.chain([self.limit]).max().unwrap();
        let shares = self.holders.iter();
        let shares = shares.map(|p| p.holder.share(p.drift.at(self.now), "r"));
        let sums = shares.fold([0; 3], |sum, s| {
            [
                sum[0] + s.requests,
                sum[1] + s.concurrent,
                sum[2] + s.queued,
            ]
        });
        assert!(
            sums.iter().all(|&sum| sum <= most),
            "{sums:?} of {most} in use at {} s, seed {}",
            self.now / 1_000_000,
            self.seed
        );
    }
}

/// Instances with drifting clocks request shares over a network that loses,
/// duplicates and delays messages beyond a lease, while leaders and limits
/// change and processes freeze. If the shares in use ever exceeded the limit,
/// more than the limit would be admitted.
#[test]
fn grant_random_runs_within_limit() {
    let mut admitted = 0;
    for seed in 0..60 {
        let mut run = Run::new(seed);
        run.run(6000);
        admitted += run.admitted;
    }
    assert!(admitted > 10_000, "only {admitted} admitted");
}

/// A's share request is delayed until A's lease expired, the share went to B
/// and the leader changed; the new leader then renews what it reports. If A
/// applied that grant, A and B would both use the share, and twice the limit
/// would be admitted.
#[test]
fn grant_renewal_of_lost_share() {
    let (mut old, mut a, now) = pair(10);
    let mut b = holder(2);
    for holder in [&mut a, &mut b] {
        for _ in 0..50 {
            drop(holder.admit(now, "r", 10));
        }
    }
    exchange(&mut old, &mut a, now);
    assert_eq!(a.share(now, "r").concurrent, 10);
    let late = a.share_request(now + LEASE - MIN_REQUEST_GAP);
    let now = now + LEASE + 2 * REQUEST_PERIOD;
    assert!(exchange(&mut old, &mut b, now));
    assert_eq!(b.share(now, "r").concurrent, 10);
    let mut new = Allocator::new(now);
    new.set_limits([("r", limits(10))]);
    let grant = new.allocate(now, &late).unwrap();
    a.grant(now, &grant);
    assert_eq!(a.share(now, "r").concurrent, 0);
}

/// As above, but A gave up its share before its lease expired: the request was
/// in transit when the grant for an earlier one took the share away.
#[test]
fn grant_renewal_of_returned_share() {
    let (mut old, mut a, now) = pair(10);
    let mut b = holder(2);
    for holder in [&mut a, &mut b] {
        for _ in 0..50 {
            drop(holder.admit(now, "r", 10));
        }
    }
    exchange(&mut old, &mut a, now);
    let taken = a.share_request(now + MIN_REQUEST_GAP);
    let late = a.share_request(now + 2 * MIN_REQUEST_GAP);
    let mut taken = old.allocate(now + MIN_REQUEST_GAP, &taken).unwrap();
    taken.shares.clear();
    assert!(a.grant(now + 3 * MIN_REQUEST_GAP, &taken));
    let mut new = Allocator::new(now + REQUEST_PERIOD);
    new.set_limits([("r", limits(10))]);
    let grant = new.allocate(now + REQUEST_PERIOD, &late).unwrap();
    a.grant(now + REQUEST_PERIOD, &grant);
    assert_eq!(a.share(now + REQUEST_PERIOD, "r").concurrent, 0);
}

/// An instance accumulates one second of requests and is then partitioned. When
/// it returns, another instance may have accumulated tokens for the same share;
/// both bursts together would exceed the limit.
#[test]
fn grant_after_lapse_without_burst() {
    let (mut allocator, mut holder, now) = pair(10);
    let _ = holder.admit(now, "r", 1);
    exchange(&mut allocator, &mut holder, now);
    let now = now + LEASE;
    let _ = holder.admit(now, "r", 1);
    exchange(&mut allocator, &mut holder, now);
    let denial = holder.admit(now, "r", 1).unwrap_err();
    assert_eq!(denial.reason, DenialReason::Requests);
}

#[test]
fn allocate_late_copy() {
    let (mut allocator, mut holder, now) = pair(10);
    let first = holder.share_request(now);
    let second = holder.share_request(now + MIN_REQUEST_GAP);
    assert!(allocator.allocate(now + MIN_REQUEST_GAP, &second).is_some());
    assert_eq!(allocator.allocate(now + MIN_REQUEST_GAP, &first), None);
    assert_eq!(allocator.allocate(now + MIN_REQUEST_GAP, &second), None);
}

/// A partitioned instance holds the whole limit and may use it until its lease
/// expires; after that, the others must get all of it.
#[test]
fn allocate_share_of_silent_instance_comes_back() {
    let (mut allocator, mut silent, now) = pair(10);
    let mut other = holder(2);
    for _ in 0..50 {
        let _ = silent.admit(now, "r", 10);
    }
    exchange(&mut allocator, &mut silent, now);
    assert_eq!(silent.share(now, "r").requests, 10);
    let mut got = Vec::new();
    for half in 0..12 {
        let now = now + half * REQUEST_PERIOD / 2;
        for _ in 0..50 {
            drop(other.admit(now, "r", 10));
        }
        exchange(&mut allocator, &mut other, now);
        got.push(other.share(now, "r").requests);
    }
    assert_eq!(got[8], 0, "{got:?}");
    assert_eq!(got[9], 10, "{got:?}");
}

/// A lowered limit takes most of a share away. The allocator can't grant that
/// part to others before the holder reports that the smaller share is in use,
/// so the holder reports it early instead of a period later.
#[test]
fn due_after_shrunk_share() {
    let (mut allocator, mut holder, now) = pair(100);
    let _ = holder.admit(now, "r", 1);
    exchange(&mut allocator, &mut holder, now);
    assert_eq!(holder.due(), now + REQUEST_PERIOD);
    allocator.set_limits([("r", limits(10))]);
    exchange(&mut allocator, &mut holder, now + REQUEST_PERIOD);
    assert_eq!(holder.due(), now + REQUEST_PERIOD + MIN_REQUEST_GAP);
}

#[test]
fn due_urgent_once_a_period() {
    let (mut allocator, mut holder, now) = pair(1);
    let _ = holder.admit(now, "r", 1);
    exchange(&mut allocator, &mut holder, now);
    let later = now + Duration::from_millis(100);
    let _ = holder.admit(later, "r", 1);
    let _ = holder.admit(later, "r", 1);
    assert_eq!(holder.due(), now + REQUEST_PERIOD);
}

/// The first requests of a route reach all nine instances at once, as after a
/// pause. If the first holders got the whole unclaimed limit, the last ones
/// would wait two periods until it is given back, and a caller would get its
/// first token after two seconds.
#[test]
fn allocate_first_requests_everywhere() {
    let (mut allocator, _, now) = pair(100);
    let mut holders: Vec<Holder> = (1..=9).map(holder).collect();
    for holder in &mut holders {
        assert!(exchange(&mut allocator, holder, now), "no demand yet");
    }
    let now = now + REQUEST_PERIOD;
    for holder in &mut holders {
        let _ = holder.admit(now, "r", 1);
        exchange(&mut allocator, holder, now);
    }
    for holder in &mut holders {
        let share = holder.share(now, "r");
        assert!(share.requests > 0 && share.concurrent > 0, "{share:?}");
    }
}
