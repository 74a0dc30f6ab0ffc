//! Memory accounting of a register, by organisation.

use std::collections::VecDeque;

use crate::claim::machine::Bounds;
use crate::claim::record::ClaimId;
use crate::collections::HashMap;
use crate::id::OrganisationId;

/// Stale age entries that an organisation may have on top of twice its number of
/// claims before they are removed.
const COMPACT_SLACK: usize = 64;

/// Log index and id of a claim in the order of age. It is stale if the claim was
/// renewed or removed since.
pub(super) type AgeEntry = (u64, ClaimId);

/// Claims of one organisation.
#[derive(Debug, Default)]
pub(super) struct Tenant {
    /// Bytes in use.
    used: u64,
    /// Retained claims.
    count: usize,
    /// Claims that have an age, oldest first.
    pub(super) by_age: VecDeque<AgeEntry>,
}

/// Memory use of a register.
#[derive(Debug, Default)]
pub(super) struct Usage {
    /// Organisations that have claims.
    tenants: HashMap<OrganisationId, Tenant>,
    /// Bytes that organisations use beyond their reserved bytes, in total.
    shared_used: u64,
}

impl Usage {
    /// Bytes in use.
    #[cfg(test)]
    pub(super) fn bytes(&self) -> u64 {
        self.tenants.values().map(|tenant| tenant.used).sum()
    }

    /// Number of age entries, including stale ones.
    #[cfg(test)]
    pub(super) fn age_entries(&self) -> usize {
        self.tenants
            .values()
            .map(|tenant| tenant.by_age.len())
            .sum()
    }

    /// Whether `organisation` may use `more` bytes within `bounds`.
    pub(super) fn fits(&self, bounds: &Bounds, organisation: &OrganisationId, more: u64) -> bool {
        let used = self.tenants.get(organisation).map_or(0, |t| t.used);
        let after = used + more;
        let extra = over_reserved(bounds, after) - over_reserved(bounds, used);
        after <= bounds.quota && (extra == 0 || self.shared_used + extra <= bounds.shared)
    }

    /// Whether an answer of `len` bytes may be stored for `organisation`. Answers
    /// may fill only half of the space, as claims matter more.
    pub(super) fn fits_answer(
        &self,
        bounds: &Bounds,
        organisation: &OrganisationId,
        len: u64,
    ) -> bool {
        let used = self.tenants.get(organisation).map_or(0, |t| t.used);
        let after = used + len;
        let shared = after <= bounds.quota / 2 && self.shared_used + len <= bounds.shared / 2;
        shared || after <= bounds.reserved / 2
    }

    /// Returns the shared copy of the name, so that records don't duplicate it.
    pub(super) fn intern(&self, organisation: OrganisationId) -> OrganisationId {
        self.tenants
            .get_key_value(&organisation)
            .map_or(organisation, |(name, _)| name.clone())
    }

    /// Adds a new claim of `bytes`.
    pub(super) fn add(&mut self, bounds: &Bounds, organisation: &OrganisationId, bytes: u64) {
        let tenant = self.tenants.entry(organisation.clone()).or_default();
        tenant.count += 1;
        self.resize(bounds, organisation, 0, bytes);
    }

    /// Updates the size of a claim.
    pub(super) fn resize(
        &mut self,
        bounds: &Bounds,
        organisation: &OrganisationId,
        before: u64,
        after: u64,
    ) {
        if let Some(tenant) = self.tenants.get_mut(organisation) {
            let used = tenant.used;
            tenant.used = used + after - before;
            self.shared_used =
                self.shared_used + over_reserved(bounds, tenant.used) - over_reserved(bounds, used);
        }
    }

    /// Removes a claim of `bytes`.
    pub(super) fn remove(&mut self, bounds: &Bounds, organisation: &OrganisationId, bytes: u64) {
        self.resize(bounds, organisation, bytes, 0);
        let Some(tenant) = self.tenants.get_mut(organisation) else {
            return;
        };
        tenant.count -= 1;
        if tenant.count == 0 {
            self.tenants.remove(organisation);
        }
    }

    /// Removes stale age entries if there are many.
    ///
    /// Without this, claims that are released or renewed at a high rate would fill
    /// the memory with stale entries.
    pub(super) fn compact(
        &mut self,
        organisation: &OrganisationId,
        live: impl Fn(&AgeEntry) -> bool,
    ) {
        let Some(tenant) = self.tenants.get_mut(organisation) else {
            return;
        };
        if tenant.by_age.len() > 2 * tenant.count + COMPACT_SLACK {
            tenant.by_age.retain(live);
        }
    }

    /// The claims of `organisation`.
    pub(super) fn tenant(&mut self, organisation: &OrganisationId) -> Option<&mut Tenant> {
        self.tenants.get_mut(organisation)
    }

    /// Organisations that have claims, in no particular order.
    pub(super) fn organisations(&self) -> Vec<OrganisationId> {
        self.tenants.keys().cloned().collect()
    }
}

fn over_reserved(bounds: &Bounds, used: u64) -> u64 {
    used.saturating_sub(bounds.reserved)
}
