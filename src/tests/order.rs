//! Tests of what heartbeats, polls and answers of engines change in the pending orders of the
//! leading controller.

use std::time::Duration;

use rstest::rstest;

use super::leader::{ENGINES, HEARTBEAT, announcement, configuration};
use super::{DIRECT, at, handle_sync};
use crate::controller::leader::{LeaderState, PlacementOrder};
use crate::controller::order::{EndedOrder, OrderEnd};
use crate::register::{self, Register, RegisterMachine};
use crate::relay::{FullHeartbeat, HeartbeatDigest};
use crate::roster::{AnnounceOutcome, Announcement, LayerRange, RefreshOutcome, StaleReason};
use crate::sync::{SyncRequest, UpstreamRecord};
use crate::voter::StateMachine;

/// Start of all engines of an [`Ordered`].
const BORN: u64 = 5;

/// An engine that was just ordered to give up all its layers and to load others.
struct Ordered {
    leader: LeaderState,
    register: Register,
    machine: RegisterMachine,
    order: PlacementOrder,
    /// Latest announcement of the engine.
    latest: Announcement,
}

impl Ordered {
    /// Time of the order.
    const START: u64 = 12_100;

    fn new() -> Self {
        let (register, mut machine) = Register::new();
        let mut leader = LeaderState::new(HEARTBEAT, DIRECT);
        leader.enter_term(at(0), 1, &register);
        let mut latest = Vec::new();
        for (sequence, now) in (1..).zip((0..=12_000).step_by(1200)) {
            let heartbeat = |(host, layers)| Announcement {
                born: BORN,
                ..announcement(host, sequence, Some(layers))
            };
            latest = ENGINES.map(heartbeat).to_vec();
            for announcement in &latest {
                leader.announce(at(now), announcement.clone());
            }
            leader.tick(at(now));
        }
        machine.apply(1, &register::depart("i-3", BORN));
        leader.enter_term(at(Self::START), 1, &register);
        let orders = leader.orders(at(Self::START), &configuration());
        let find = |o: &PlacementOrder| latest.iter().find(|a| a.id == o.engine).cloned();
        let released = |(o, a): &(PlacementOrder, Announcement)| {
            a.layers.is_some_and(|l| l.intersection(o.range).is_none())
        };
        let mut moved = orders
            .into_iter()
            .filter_map(|o| Some((o.clone(), find(&o)?)));
        let (order, latest) = moved.find(released).unwrap();
        Self {
            leader,
            register,
            machine,
            order,
            latest,
        }
    }

    /// Returns the latest announcement with the ordered layers.
    fn loaded(&self) -> Announcement {
        Announcement {
            layers: Some(self.order.range),
            ..self.latest.clone()
        }
    }

    /// Returns the first announcement of the engine's next start.
    fn restarted(&self) -> Announcement {
        Announcement {
            born: BORN + 1,
            sequence: 1,
            layers: None,
            ..self.latest.clone()
        }
    }

    /// Sends the leader a heartbeat of each engine but the departed one, with its first layers.
    fn announce_remaining(&mut self, now: u64, sequence: u64) {
        for (host, layers) in ENGINES.iter().filter(|(host, _)| *host != 3) {
            let heartbeat = Announcement {
                born: BORN,
                ..announcement(*host, sequence, Some(*layers))
            };
            self.leader.announce(at(now), heartbeat);
        }
    }

    /// Returns the layers of the engine that entry instances are told.
    fn shown(&mut self, now: u64) -> Option<LayerRange> {
        let ask = SyncRequest::default();
        let reply = handle_sync(&mut self.leader, at(now), ask, &self.register).unwrap();
        let upstreams = reply.roster.unwrap().upstreams;
        let of_engine = |u: &&UpstreamRecord| *u.id == *self.order.engine;
        upstreams.iter().find(of_engine).unwrap().range()
    }

    /// Returns the orders to the engine that are due now.
    fn further_orders(&mut self, now: u64) -> Vec<PlacementOrder> {
        let mut orders = self.leader.orders(at(now), &configuration());
        orders.retain(|o| o.engine == self.order.engine);
        orders
    }
}

#[rstest]
#[case::older_sequence(|o: &Ordered| Announcement { sequence: 3, ..o.loaded() })]
#[case::same_sequence(Ordered::loaded)]
#[case::older_start(|o: &Ordered| Announcement { born: 4, sequence: 900, ..o.latest.clone() })]
#[case::older_start_loaded(|o: &Ordered| Announcement { born: 4, sequence: 900, ..o.loaded() })]
#[case::older_start_empty(|o: &Ordered| Announcement {
    born: 4,
    sequence: 900,
    layers: None,
    ..o.latest.clone()
})]
#[case::known(|o: &Ordered| o.latest.clone())]
fn announce_stale_keeps_order(#[case] late: fn(&Ordered) -> Announcement) {
    // Guards against a late heartbeat that ends the order of an engine: requests were sent to the
    // layers that the engine releases, and it was ordered again while it loaded.
    let mut o = Ordered::new();
    let late = late(&o);
    assert_eq!(
        o.leader.announce(at(12_200), late),
        AnnounceOutcome::Stale(StaleReason::Older)
    );
    assert_order_stands(&mut o);
}

/// Asserts that an order is in force 200 ms after it was issued.
#[track_caller]
fn assert_order_stands(o: &mut Ordered) {
    let pending = o.leader.is_pending(&o.order);
    let shown = o.shown(12_300);
    let further = o.further_orders(12_300);
    assert_eq!(
        (pending, shown, further),
        (true, None, vec![]),
        "pending, layers shown, further orders to {}",
        o.order.engine
    );
}

#[test]
fn announce_retired_keeps_order() {
    // Guards against a late heartbeat of a start that has left, which ended the order of the next
    // start with the same id.
    let mut o = Ordered::new();
    o.machine.apply(2, &register::depart(&o.order.engine, 4));
    o.leader.enter_term(at(12_150), 1, &o.register);
    let late = Announcement {
        born: 4,
        sequence: 900,
        ..o.latest.clone()
    };
    assert_eq!(
        o.leader.announce(at(12_200), late),
        AnnounceOutcome::Stale(StaleReason::Retired)
    );
    assert_order_stands(&mut o);
}

#[rstest]
#[case::established(BORN, 900)]
#[case::older_than_holder(BORN + 1, 1)]
fn announce_superseded_keeps_order(#[case] born: u64, #[case] sequence: u64) {
    // Guards against a late heartbeat from an address that another engine has taken, which ended
    // the order of an engine with the same id.
    let mut o = Ordered::new();
    let holder = Announcement {
        born: BORN + 2,
        ..announcement(9, 1, None)
    };
    o.leader.announce(at(12_150), holder.clone());
    let late = Announcement {
        born,
        sequence,
        address: holder.address,
        ..o.loaded()
    };
    assert_eq!(
        o.leader.announce(at(12_200), late),
        AnnounceOutcome::Stale(StaleReason::Superseded)
    );
    assert_order_stands(&mut o);
}

#[test]
fn refresh_stale_keeps_order() {
    // Guards against a late forwarded heartbeat whose announcement the leader requests in full:
    // it ended the order like one that the engine itself sends.
    let mut o = Ordered::new();
    let late = Announcement {
        born: 4,
        sequence: 900,
        ..o.latest.clone()
    };
    let outcome = o.leader.refresh(at(12_180), &HeartbeatDigest::from(&late));
    if outcome == RefreshOutcome::Unknown {
        let full = FullHeartbeat::from(&late).announcement().unwrap();
        o.leader.announce(at(12_200), full);
    }
    assert_order_stands(&mut o);
}

#[rstest]
#[case::loaded(Ordered::loaded, AnnounceOutcome::Known)]
#[case::restarted(|o: &Ordered| Announcement {
    born: BORN + 1,
    sequence: 0,
    layers: None,
    ..o.latest.clone()
}, AnnounceOutcome::New)]
fn announce_current_ends_order(
    #[case] next: fn(&Ordered) -> Announcement,
    #[case] outcome: AnnounceOutcome,
) {
    // Guards against an order that outlasts its execution or its engine's start: the engine
    // would get no further order until it expires.
    let mut o = Ordered::new();
    let mut next = next(&o);
    next.sequence += 1;
    let layers = next.layers;
    assert_eq!(o.leader.announce(at(12_200), next), outcome);
    assert!(!o.leader.is_pending(&o.order));
    assert_eq!(o.shown(12_300), layers);
}

#[test]
fn announce_loading_keeps_order() {
    // Guards against a second order to an engine that still loads for the first.
    let mut o = Ordered::new();
    let next = Announcement {
        sequence: o.latest.sequence + 1,
        ..o.latest.clone()
    };
    assert_eq!(o.leader.announce(at(12_200), next), AnnounceOutcome::Known);
    assert_order_stands(&mut o);
}

/// An engine that reported the layers that it was ordered to load at 14,000.
fn completed() -> Ordered {
    let mut o = Ordered::new();
    o.leader.complete_order(at(14_000), &o.order);
    assert_eq!(o.shown(14_000), Some(o.order.range));
    o
}

#[test]
fn announce_older_than_completion() {
    // Guards against a heartbeat that was sent before the engine had loaded its layers, and that
    // arrives after the leader learned that from the engine itself: requests were sent to layers
    // that the engine no longer holds, and it was ordered again.
    let mut o = completed();
    let late = Announcement {
        sequence: o.latest.sequence + 1,
        ..o.latest.clone()
    };
    let wanted = o.leader.refresh(at(14_050), &HeartbeatDigest::from(&late));
    let outcome = o.leader.announce(at(14_100), late);
    let known = o.leader.upstream(&o.order.engine).unwrap();
    let known = known.announcement.layers;
    let shown = o.shown(14_100);
    let further = o.further_orders(14_200);
    assert_eq!(
        (known, shown, further),
        (Some(o.order.range), Some(o.order.range), vec![]),
        "known, shown, further orders; digest {wanted:?}, {outcome:?}"
    );
}

#[rstest]
#[case::other_layers(14_100, BORN, |_: &Ordered| Some(LayerRange::new(27, 40)))]
#[case::restarted(14_100, BORN + 1, |_: &Ordered| None)]
#[case::much_later(17_000, BORN, |o: &Ordered| o.latest.layers)]
fn announce_after_completion(
    #[case] now: u64,
    #[case] born: u64,
    #[case] layers: fn(&Ordered) -> Option<LayerRange>,
) {
    // Guards against a leader that stays with the layers that it learned from the engine itself.
    // A former order may be carried out late, and an engine that restarts holds no layers.
    let mut o = completed();
    let layers = layers(&o);
    let next = Announcement {
        sequence: o.latest.sequence + 1,
        born,
        layers,
        ..o.latest.clone()
    };
    o.leader.announce(at(now), next);
    assert_eq!(o.shown(now), layers);
}

/// Returns the order to the engine of `o` after it restarted, and the one before.
fn order_restarted(o: &mut Ordered) -> (PlacementOrder, PlacementOrder) {
    let restarted = o.restarted();
    o.leader.announce(at(12_200), restarted);
    let mut orders = o.further_orders(12_300);
    let order = orders.pop().unwrap();
    (std::mem::replace(&mut o.order, order.clone()), order)
}

#[test]
fn record_refusal_former_order() {
    // Guards against a late refusal of a former order that shortens the wait for the present one:
    // the engine was ordered again while it loaded.
    let mut o = Ordered::new();
    let (former, present) = order_restarted(&mut o);
    o.leader.record_refusal(at(12_400), &former);
    o.leader.tick(at(13_200));
    assert!(o.leader.is_pending(&present), "{former:?}, {present:?}");
}

#[test]
fn record_unanswered_former_order() {
    // Guards against a missing answer to a former order by which the layers that the engine loads
    // for the present one count as missing: another engine loaded them, too.
    let mut o = Ordered::new();
    let (former, present) = order_restarted(&mut o);
    o.leader.record_unanswered(at(12_400), &former);
    let orders = o.leader.orders(at(12_500), &configuration());
    o.leader.tick(at(14_500));
    let pending = o.leader.is_pending(&present);
    assert_eq!((orders, pending), (vec![], true), "{former:?}, {present:?}");
}

#[test]
fn record_refusal_expired_order() {
    // Guards against a late refusal that shortens the wait for an equal order: the controller was
    // paused until the first had expired and was issued again, then received its answer.
    let mut o = Ordered::new();
    o.leader.tick(at(18_200));
    o.announce_remaining(18_250, 20);
    let again = o.further_orders(18_300);
    let facts = |o: &PlacementOrder| (o.born, o.range, o.fence);
    assert_eq!(facts(&again[0]), facts(&o.order));
    o.leader.record_refusal(at(18_310), &o.order);
    o.leader.tick(at(19_100));
    assert!(o.leader.is_pending(&again[0]));
}

#[test]
fn is_pending_former_term() {
    // Guards against the task of a former term's order that goes on, and counts its poll as the
    // completion of an equal order of this term.
    let mut o = Ordered::new();
    let former = o.order.clone();
    for (sequence, now) in (20..).zip((12_400..=17_200).step_by(1200)) {
        o.leader.enter_term(at(now), 2, &o.register);
        o.announce_remaining(now, sequence);
    }
    let present = o.further_orders(17_300).pop().unwrap();
    assert_eq!((former.fence, present.fence), (1, 2));
    assert_eq!((former.born, former.range), (present.born, present.range));
    assert!(o.leader.is_pending(&present));
    let pending = o.leader.is_pending(&former);
    o.leader.complete_order(at(17_400), &former);
    let known = o.leader.upstream(&former.engine).unwrap();
    let known = known.announcement.layers;
    assert_eq!((pending, known), (false, o.latest.layers));
}

#[test]
fn record_refusal_present_order() {
    // Guards against an engine that keeps a refused order: it refused, so it serves its layers and
    // may get another order soon.
    let mut o = Ordered::new();
    o.leader.record_refusal(at(12_400), &o.order);
    o.leader.tick(at(12_500));
    assert!(o.leader.is_pending(&o.order));
    o.leader.tick(at(13_200));
    assert!(!o.leader.is_pending(&o.order));
    assert_eq!(o.shown(13_200), o.latest.layers);
}

#[test]
fn take_ended_causes() {
    // Guards against orders that end without a trace of the reason.
    type Step = fn(&mut Ordered);
    let cases: [(OrderEnd, u64, Step); 7] = [
        (OrderEnd::Heartbeat, 400, |o| {
            let mut next = o.loaded();
            next.sequence += 1;
            o.leader.announce(at(12_500), next);
        }),
        (OrderEnd::Restarted, 400, |o| {
            let next = o.restarted();
            o.leader.announce(at(12_500), next);
        }),
        (OrderEnd::Poll, 400, |o| {
            o.leader.complete_order(at(12_500), &o.order);
        }),
        (OrderEnd::Expired, 6_000, |o| {
            o.leader.tick(at(18_100));
        }),
        (OrderEnd::Refused, 900, |o| {
            o.leader.record_refusal(at(12_200), &o.order);
            o.leader.tick(at(13_000));
        }),
        (OrderEnd::Unanswered, 2_500, |o| {
            o.leader.record_unanswered(at(12_600), &o.order);
            o.leader.tick(at(14_600));
        }),
        (OrderEnd::Term, 900, |o| {
            o.leader.enter_term(at(13_000), 2, &o.register);
        }),
    ];
    for (cause, age, step) in cases {
        let mut o = Ordered::new();
        assert_eq!(o.leader.take_ended(), []);
        step(&mut o);
        let age = Duration::from_millis(age);
        let (ended, order) = (o.leader.take_ended(), o.order);
        let own: Vec<_> = ended.iter().filter(|e| e.order == order).collect();
        assert_eq!(own, [&EndedOrder { order, cause, age }]);
        assert_eq!(o.leader.take_ended(), []);
    }
}
