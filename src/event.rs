//! Log events. A test checks that docs/EVENTS.md lists exactly these.

/// A type of log line. The meaning of an id never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Event {
    /// Unique number; the hundreds stand for the part of the program.
    pub(crate) id: u16,
    /// Short name.
    pub(crate) name: &'static str,
}

const fn event(id: u16, name: &'static str) -> Event {
    Event { id, name }
}

/// The instance listens on all of its addresses.
pub(crate) const STARTED: Event = event(101, "started");
/// The instance stopped taking new work and waits for running answers.
pub(crate) const DRAINING: Event = event(102, "draining");
/// The instance has stopped.
pub(crate) const STOPPED: Event = event(103, "stopped");
/// The drain timeout expired with answers still running.
pub(crate) const DRAIN_LIMIT: Event = event(104, "drain_limit");
/// A supervised component panicked and is restarted.
pub(crate) const PART_RESTARTED: Event = event(105, "part_restarted");
/// A supervised component failed permanently; the instance stops.
pub(crate) const PART_FAILED: Event = event(106, "part_failed");
/// The platform's settings file was read again.
pub(crate) const RELOADED: Event = event(107, "reloaded");
/// Lines of an event were suppressed by the rate limit.
pub(crate) const LINES_LEFT: Event = event(108, "lines_left");
/// The catalogue lease was acquired; new work is accepted.
pub(crate) const LEASE_HELD: Event = event(201, "lease_held");
/// The catalogue lease expired; new work is refused.
pub(crate) const LEASE_LOST: Event = event(202, "lease_lost");
/// This instance applied a newer revision of the catalogue.
pub(crate) const CATALOGUE_APPLIED: Event = event(203, "catalogue_applied");
/// An operator's change of the catalogue was accepted or rejected.
pub(crate) const CHANGE_DECIDED: Event = event(204, "change_decided");
/// A voter was added or removed.
pub(crate) const VOTER_CHANGED: Event = event(205, "voter_changed");
/// An operator's configuration was accepted or rejected.
pub(crate) const CONFIGURATION_DECIDED: Event = event(206, "configuration_decided");
/// An operator's configuration isn't valid.
pub(crate) const CONFIGURATION_REFUSED: Event = event(207, "configuration_refused");
/// An entry instance applied another configuration.
pub(crate) const CONFIGURATION_APPLIED: Event = event(208, "configuration_applied");
/// An entry instance rejected a controller's response to a sync request.
pub(crate) const SYNC_REJECTED: Event = event(209, "sync_rejected");
/// A connection from another instance was refused or violated the framing.
pub(crate) const PEER_REFUSED: Event = event(301, "peer_refused");
/// An upstream's announcement was refused.
pub(crate) const ANNOUNCE_REFUSED: Event = event(302, "announce_refused");
/// An upstream announced itself for the first time since its start.
pub(crate) const UPSTREAM_JOINED: Event = event(303, "upstream_joined");
/// An upstream left and gets no more work.
pub(crate) const UPSTREAM_LEFT: Event = event(304, "upstream_left");
/// An upstream was removed since its announcements stopped.
pub(crate) const UPSTREAM_LOST: Event = event(305, "upstream_lost");
/// An engine was ordered to hold other layers.
pub(crate) const LAYERS_ORDERED: Event = event(306, "layers_ordered");
/// The layers that no engine of a failure domain holds have changed.
pub(crate) const LAYERS_MISSING: Event = event(307, "layers_missing");
/// An engine's speed differs from the one that instances were told.
pub(crate) const PACE_CHANGED: Event = event(308, "pace_changed");
/// A request was quarantined, since it crashes engines.
pub(crate) const REQUEST_QUARANTINED: Event = event(309, "request_quarantined");
/// The quarantine of a request was lifted or expired.
pub(crate) const QUARANTINE_LIFTED: Event = event(310, "quarantine_lifted");
/// A layer placement order is no longer pending.
pub(crate) const ORDER_ENDED: Event = event(311, "order_ended");
/// A heartbeat was older than the known state.
pub(crate) const HEARTBEAT_STALE: Event = event(312, "heartbeat_stale");
/// A controller received a sync request after a newer one of the same instance, or one that continues a
/// report of a follower that it doesn't have.
pub(crate) const SYNC_OUTDATED: Event = event(313, "sync_outdated");
/// Requests with a part in their prompts crash engines.
pub(crate) const PART_QUARANTINED: Event = event(314, "part_quarantined");
/// The leader was paused; what it missed doesn't count as silence of others.
pub(crate) const LEADER_PAUSED: Event = event(315, "leader_paused");
/// A request was refused.
pub(crate) const REQUEST_REFUSED: Event = event(401, "request_refused");
/// An attempt failed and the request continues on another path.
pub(crate) const REQUEST_RESUMED: Event = event(402, "request_resumed");
/// A request ended without a complete answer.
pub(crate) const REQUEST_FAILED: Event = event(403, "request_failed");
/// A request was sent to an upstream.
pub(crate) const ATTEMPT_SENT: Event = event(404, "attempt_sent");
/// An attempt failed; the line names the next step.
pub(crate) const ATTEMPT_FAILED: Event = event(405, "attempt_failed");
/// An upstream's answer was forwarded.
pub(crate) const REQUEST_ANSWERED: Event = event(406, "request_answered");
/// A request ended without an upstream's answer.
pub(crate) const REQUEST_ENDED: Event = event(407, "request_ended");
/// An entry instance excludes an upstream for a while.
pub(crate) const UPSTREAM_SUSPECTED: Event = event(408, "upstream_suspected");
/// A stalled request was rerouted around an engine.
pub(crate) const REQUEST_REROUTED: Event = event(409, "request_rerouted");
/// A request waited for capacity on the engines.
pub(crate) const REQUEST_WAITED: Event = event(410, "request_waited");
/// A request's caller disconnected before the end of the answer.
pub(crate) const REQUEST_ABANDONED: Event = event(411, "request_abandoned");
/// An engine crashed shortly after it started to run a request.
pub(crate) const RUN_CUT_EARLY: Event = event(412, "run_cut_early");
/// An upstream changed or lifted its rate limit.
pub(crate) const LIMIT_CHANGED: Event = event(413, "limit_changed");
/// A response that had begun waited for another path.
pub(crate) const RESUME_WAITED: Event = event(414, "resume_waited");
/// This instance reaches no upstream of a service.
pub(crate) const SERVICE_UNREACHABLE: Event = event(415, "service_unreachable");
/// This instance reaches upstreams of a service again.
pub(crate) const SERVICE_REACHABLE: Event = event(416, "service_reachable");
/// This instance carried another one's request to its upstream.
pub(crate) const REQUEST_CARRIED: Event = event(417, "request_carried");
/// This instance refused to carry another one's request.
pub(crate) const CARRIAGE_REFUSED: Event = event(418, "carriage_refused");
/// Other instances reach an upstream that this one doesn't reach.
pub(crate) const UPSTREAM_REMOTE: Event = event(419, "upstream_remote");
/// An upstream wants no requests of this instance for a while.
pub(crate) const PAUSE_REQUESTED: Event = event(420, "pause_requested");
/// An upstream says that it is leaving.
pub(crate) const UPSTREAM_LEAVING: Event = event(421, "upstream_leaving");
/// A request in the queue for capacity was displaced by a more urgent one.
pub(crate) const RANK_DISPLACED: Event = event(422, "rank_displaced");
/// The retry budget granted or denied another attempt.
pub(crate) const RETRY_DECIDED: Event = event(423, "retry_decided");
/// This instance begins or ends to close new connections unread.
pub(crate) const SHEDDING_CHANGED: Event = event(424, "shedding_changed");
/// An attempt gave no sign for its stall timeout.
pub(crate) const ATTEMPT_STALLED: Event = event(425, "attempt_stalled");
/// One of two attempts for a stream that had begun was cancelled.
pub(crate) const HEDGE_ENDED: Event = event(426, "hedge_ended");
/// Many upstreams of a service are silent at once, so that none is excluded for it.
pub(crate) const SILENCE_SHARED: Event = event(427, "silence_shared");
/// This voter became the leader of a group of the replicated log.
pub(crate) const LEADS: Event = event(501, "leads");
/// This voter is no longer the leader of a group.
pub(crate) const LEADS_NO_MORE: Event = event(502, "leads_no_more");
/// A store that isn't a member asks to become one.
pub(crate) const STORE_UNKNOWN: Event = event(503, "store_unknown");
/// A store lost entries that it had acknowledged, and is barred from voting.
pub(crate) const STORE_BARRED: Event = event(504, "store_barred");
/// This voter's store failed; the voter has stopped.
pub(crate) const STORE_FAILED: Event = event(505, "store_failed");
/// A controller reopens its store after a failure.
pub(crate) const STORE_REOPENED: Event = event(506, "store_reopened");
/// Other voters confirmed the state of a store that was restarted.
pub(crate) const STORE_CONFIRMED: Event = event(507, "store_confirmed");
/// Too few voters answered a restarted store; it continues with its local state.
pub(crate) const STORE_UNCONFIRMED: Event = event(508, "store_unconfirmed");
/// A store was opened, as a member, as a founder, or to wait until it is added.
pub(crate) const STORE_OPENED: Event = event(509, "store_opened");
/// This voter founded a group of the replicated log.
pub(crate) const GROUP_FOUNDED: Event = event(510, "group_founded");
/// This voter can't found a group, since most of the founders' stores are lost.
pub(crate) const FOUNDING_REFUSED: Event = event(511, "founding_refused");
/// The state of another instance changed, as seen by this instance.
pub(crate) const MEMBER_CHANGED: Event = event(601, "member_changed");
/// The process was suspended; its view of the fleet is discarded.
pub(crate) const SUSPENDED: Event = event(602, "suspended");
/// The UDP socket can't be read.
pub(crate) const DATAGRAMS_LOST: Event = event(603, "datagrams_lost");
/// Another process uses this instance's id, or this process's incarnation is lower than that of an
/// earlier start.
pub(crate) const ID_CONFLICT: Event = event(604, "id_conflict");
/// A connection that another instance had made was closed, since it was silent or had to give way.
pub(crate) const PEER_DISCONNECTED: Event = event(605, "peer_disconnected");

/// All events.
#[cfg(test)]
pub(crate) const ALL: &[Event] = &[
    STARTED,
    DRAINING,
    STOPPED,
    DRAIN_LIMIT,
    PART_RESTARTED,
    PART_FAILED,
    RELOADED,
    LINES_LEFT,
    LEASE_HELD,
    LEASE_LOST,
    CATALOGUE_APPLIED,
    CHANGE_DECIDED,
    VOTER_CHANGED,
    CONFIGURATION_DECIDED,
    CONFIGURATION_REFUSED,
    CONFIGURATION_APPLIED,
    SYNC_REJECTED,
    PEER_REFUSED,
    ANNOUNCE_REFUSED,
    UPSTREAM_JOINED,
    UPSTREAM_LEFT,
    UPSTREAM_LOST,
    LAYERS_ORDERED,
    LAYERS_MISSING,
    PACE_CHANGED,
    REQUEST_QUARANTINED,
    QUARANTINE_LIFTED,
    ORDER_ENDED,
    HEARTBEAT_STALE,
    SYNC_OUTDATED,
    PART_QUARANTINED,
    LEADER_PAUSED,
    REQUEST_REFUSED,
    REQUEST_RESUMED,
    REQUEST_FAILED,
    ATTEMPT_SENT,
    ATTEMPT_FAILED,
    REQUEST_ANSWERED,
    REQUEST_ENDED,
    UPSTREAM_SUSPECTED,
    REQUEST_REROUTED,
    REQUEST_WAITED,
    REQUEST_ABANDONED,
    RUN_CUT_EARLY,
    LIMIT_CHANGED,
    RESUME_WAITED,
    SERVICE_UNREACHABLE,
    SERVICE_REACHABLE,
    REQUEST_CARRIED,
    CARRIAGE_REFUSED,
    UPSTREAM_REMOTE,
    PAUSE_REQUESTED,
    UPSTREAM_LEAVING,
    RANK_DISPLACED,
    RETRY_DECIDED,
    SHEDDING_CHANGED,
    ATTEMPT_STALLED,
    HEDGE_ENDED,
    SILENCE_SHARED,
    LEADS,
    LEADS_NO_MORE,
    STORE_UNKNOWN,
    STORE_BARRED,
    STORE_FAILED,
    STORE_REOPENED,
    STORE_CONFIRMED,
    STORE_UNCONFIRMED,
    STORE_OPENED,
    GROUP_FOUNDED,
    FOUNDING_REFUSED,
    MEMBER_CHANGED,
    SUSPENDED,
    DATAGRAMS_LOST,
    ID_CONFLICT,
    PEER_DISCONNECTED,
];
