//! Gauges of the controller, updated before each scrape.

use super::Controller;
use crate::metric;
use crate::replica::{Member, Role};

impl Controller {
    /// Sets the gauges. Those of the leader's state are 0 on other controllers.
    pub(super) fn measure(&self) {
        let leads = self.leader_info().term.is_some();
        metrics::gauge!(metric::IS_LEADER.name).set(u8::from(leads));
        let age = self.confirmation_age().unwrap_or_default();
        metrics::gauge!(metric::QUORUM_AGE.name).set(age.as_secs_f64());
        self.measure_stores();
        metrics::gauge!(metric::COMMITTED_VERSION.name).set(self.register.version() as f64);
        let table = self.routing_table();
        let state = self.leader_state();
        // A deposed leader still has the state of its last term, which must not be reported.
        let factor = f64::from(u8::from(leads));
        let counts = state.counts();
        for ((service, state), count) in counts.upstreams {
            metrics::gauge!(metric::KNOWN_UPSTREAMS.name, "service" => service, "state" => state)
                .set(factor * f64::from(count));
        }
        metrics::gauge!(metric::PENDING_ORDERS.name).set(factor * counts.pending as f64);
        metrics::gauge!(metric::QUARANTINED_REQUESTS.name)
            .set(self.register.quarantined().len() as f64);
        metrics::gauge!(metric::SUSPECT_REQUESTS.name).set(factor * counts.suspects as f64);
        metrics::gauge!(metric::ENTRY_INSTANCES.name).set(factor * counts.entries as f64);
        for (purpose, count) in counts.records_read {
            metrics::gauge!(metric::RECORDS_READ.name, "purpose" => purpose).set(count as f64);
        }
        let models = table.iter().flat_map(|t| t.configuration.models());
        for (service, model) in models {
            for (domain, ranges) in state.missing_layers(service, model) {
                let layers: u32 = ranges.iter().map(|r| r.len()).sum();
                let labels = [("service", service.to_owned()), ("domain", domain)];
                metrics::gauge!(metric::MISSING_LAYERS.name, &labels)
                    .set(factor * f64::from(layers));
            }
        }
    }

    fn measure_stores(&self) {
        let Some(status) = self.status() else {
            return;
        };
        let votes = |m: &&Member| m.role() == Role::Voter;
        let voters = status.members.iter().filter(votes).count();
        let others = status.members.len() - voters + status.non_members.len();
        metrics::gauge!(metric::VOTERS.name).set(voters as f64);
        metrics::gauge!(metric::NON_VOTERS.name).set(others as f64);
    }
}
