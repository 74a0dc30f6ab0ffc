//! What the metrics of a controller show at the moment of asking.

use super::Controller;
use crate::metric;
use crate::replica::Role;

impl Controller {
    /// Sets the gauges. What only the leader knows is 0 on the others.
    pub(super) fn measure(&self) {
        let leads = self.lead().term.is_some();
        metrics::gauge!(metric::LEADS.name).set(u8::from(leads));
        let age = self.age().unwrap_or_default();
        metrics::gauge!(metric::QUORUM_AGE.name).set(age.as_secs_f64());
        let members = self.status().into_iter().flat_map(|s| s.members);
        let voters = members.filter(|m| m.role() == Role::Voter).count();
        metrics::gauge!(metric::VOTERS.name).set(voters as f64);
        metrics::gauge!(metric::COMMITTED.name).set(self.register.version() as f64);
        let table = self.table();
        let state = self.leader_state();
        // A deposed leader has the board of its last term still; without this
        // it would go on showing what it knew then.
        let valid = f64::from(u8::from(leads));
        let counts = state.counts();
        for ((service, state), count) in counts.upstreams {
            metrics::gauge!(metric::KNOWN.name, "service" => service, "state" => state)
                .set(valid * f64::from(count));
        }
        metrics::gauge!(metric::PENDING.name).set(valid * counts.pending as f64);
        metrics::gauge!(metric::QUARANTINED.name).set(self.register.quarantined().len() as f64);
        metrics::gauge!(metric::SUSPECTS.name).set(valid * counts.suspects as f64);
        metrics::gauge!(metric::ENTRIES.name).set(valid * counts.entries as f64);
        let models = table.iter().flat_map(|t| t.configuration.models());
        for (service, model) in models {
            for (domain, ranges) in state.missing_layers(service, model) {
                let layers: u32 = ranges.iter().map(|r| r.len()).sum();
                let labels = [("service", service.to_owned()), ("domain", domain)];
                metrics::gauge!(metric::MISSING.name, &labels).set(valid * f64::from(layers));
            }
        }
    }
}
