//! What each organisation uses of a register.

use std::collections::VecDeque;

use crate::claim::machine::Bounds;
use crate::claim::record::Id;
use crate::collections::HashMap;
use crate::id::OrganisationId;

/// Entries of released claims that an organisation's order may hold beyond as
/// many as it has claims.
const SLACK: usize = 64;

/// A claim's place in the order of age: its log index, and its name. There may
/// be no record of that index any more.
pub(super) type Place = (u64, Id);

/// Claims of one organisation.
#[derive(Debug, Default)]
pub(super) struct Tenant {
    /// Bytes in use.
    used: u64,
    /// Claims that are remembered.
    count: usize,
    /// Claims that have an age, oldest first.
    pub(super) order: VecDeque<Place>,
}

/// Use of a register, by organisation.
#[derive(Debug, Default)]
pub(super) struct Usage {
    /// Only organisations with claims.
    tenants: HashMap<OrganisationId, Tenant>,
    /// Sum over organisations of what they use beyond the floor, in bytes.
    beyond: u64,
}

impl Usage {
    /// Bytes in use.
    #[cfg(test)]
    pub(super) fn bytes(&self) -> u64 {
        self.tenants.values().map(|tenant| tenant.used).sum()
    }

    /// Places in the orders of age, those of claims that are gone included.
    #[cfg(test)]
    pub(super) fn places(&self) -> usize {
        self.tenants.values().map(|tenant| tenant.order.len()).sum()
    }

    /// Whether `organisation` may use `more` bytes within `bounds`.
    pub(super) fn fits(&self, bounds: &Bounds, organisation: &OrganisationId, more: u64) -> bool {
        let used = self.tenants.get(organisation).map_or(0, |t| t.used);
        let after = used + more;
        let extra = over(bounds, after) - over(bounds, used);
        after <= bounds.share && (extra == 0 || self.beyond + extra <= bounds.shared)
    }

    /// Whether `organisation` may keep an answer of `len` bytes. Answers leave
    /// half of the room to claims, which matter more.
    pub(super) fn fits_answer(
        &self,
        bounds: &Bounds,
        organisation: &OrganisationId,
        len: u64,
    ) -> bool {
        let used = self.tenants.get(organisation).map_or(0, |t| t.used);
        let after = used + len;
        let shared = after <= bounds.share / 2 && self.beyond + len <= bounds.shared / 2;
        shared || after <= bounds.floor / 2
    }

    /// The stored copy of the name, so that records share it.
    pub(super) fn name(&self, organisation: OrganisationId) -> OrganisationId {
        self.tenants
            .get_key_value(&organisation)
            .map_or(organisation, |(name, _)| name.clone())
    }

    /// Counts a new claim of `bytes`.
    pub(super) fn add(&mut self, bounds: &Bounds, organisation: &OrganisationId, bytes: u64) {
        let tenant = self.tenants.entry(organisation.clone()).or_default();
        tenant.count += 1;
        self.change(bounds, organisation, 0, bytes);
    }

    /// Counts a claim whose size changes.
    pub(super) fn change(
        &mut self,
        bounds: &Bounds,
        organisation: &OrganisationId,
        before: u64,
        after: u64,
    ) {
        if let Some(tenant) = self.tenants.get_mut(organisation) {
            let used = tenant.used;
            tenant.used = used + after - before;
            self.beyond = self.beyond + over(bounds, tenant.used) - over(bounds, used);
        }
    }

    /// Counts a claim of `bytes` that is gone.
    pub(super) fn remove(&mut self, bounds: &Bounds, organisation: &OrganisationId, bytes: u64) {
        self.change(bounds, organisation, bytes, 0);
        let Some(tenant) = self.tenants.get_mut(organisation) else {
            return;
        };
        tenant.count -= 1;
        if tenant.count == 0 {
            self.tenants.remove(organisation);
        }
    }

    /// Drops places that aren't `live`, if there are many.
    ///
    /// Requests that are refused and released, or renewed, at a high rate must
    /// not fill the memory with places of claims that are gone.
    pub(super) fn trim(&mut self, organisation: &OrganisationId, live: impl Fn(&Place) -> bool) {
        let Some(tenant) = self.tenants.get_mut(organisation) else {
            return;
        };
        if tenant.order.len() > 2 * tenant.count + SLACK {
            tenant.order.retain(live);
        }
    }

    /// The claims of one organisation.
    pub(super) fn tenant(&mut self, organisation: &OrganisationId) -> Option<&mut Tenant> {
        self.tenants.get_mut(organisation)
    }

    /// Organisations that have claims, in no certain order.
    pub(super) fn names(&self) -> Vec<OrganisationId> {
        self.tenants.keys().cloned().collect()
    }
}

fn over(bounds: &Bounds, used: u64) -> u64 {
    used.saturating_sub(bounds.floor)
}
