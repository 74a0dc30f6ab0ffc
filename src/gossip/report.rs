//! Logging and metrics of the fleet.

use crate::event;
use crate::gossip::node::Node;
use crate::membership::{MemberState, MemberView};
use crate::upstream::UpstreamView;

/// Reports changes of the fleet; keeps what was last reported.
#[derive(Debug, Default)]
pub(crate) struct FleetReporter {
    members: Vec<(u64, MemberState)>,
    conflicts: u64,
}

impl FleetReporter {
    /// Logs members whose state changed, and updates their gauge.
    pub(crate) fn members(&mut self, view: &MemberView) {
        let present = view.present().count();
        metrics::gauge!("members_present").set(present as f64);
        let current = view.members.iter().map(|m| (m.id.0, m.state));
        let current: Vec<_> = current.collect();
        for (id, state) in &current {
            let known = self.members.binary_search_by_key(id, |(id, _)| *id);
            let before = known.ok().map(|i| self.members[i].1);
            if before != Some(*state) {
                tracing::info!(
                    event = event::MEMBER_CHANGED.id,
                    instance = id,
                    ?state,
                    ?before,
                    "member state changed"
                );
            }
        }
        self.members = current;
    }

    /// Updates the gauge of usable upstreams.
    pub(crate) fn upstreams(&self, view: &UpstreamView) {
        metrics::gauge!("upstreams_usable").set(view.upstreams.len() as f64);
    }

    /// Updates the metrics of datagrams and health, and logs id conflicts.
    pub(crate) fn node(&mut self, node: &Node) {
        let traffic = node.traffic();
        metrics::counter!("gossip_sent_bytes_total").absolute(traffic.written);
        metrics::counter!("gossip_received_bytes_total").absolute(traffic.read);
        metrics::counter!("gossip_bad_total").absolute(traffic.bad);
        metrics::gauge!("gossip_health").set(f64::from(node.members.health()));
        let conflicts = node.members.conflicts();
        if conflicts > self.conflicts {
            tracing::error!(
                event = event::ID_CONFLICT.id,
                "another process uses this instance's id, or a higher incarnation of it is known: \
                 give each instance a unique id and an increasing incarnation"
            );
        }
        self.conflicts = conflicts;
    }
}
