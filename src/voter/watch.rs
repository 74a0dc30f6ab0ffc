//! Log events and metrics of a voter's groups.

use super::GroupStatus;
use crate::clock::millis;
use crate::event;
use crate::replica::{Member, RejoinReport, Role};

/// Logs what an opened store knows of the first group: whether it is a member, may found the group,
/// or waits to be added.
pub(super) fn report_opened(groups: &[GroupStatus], founders: &[u64]) {
    let Some(status) = groups.first() else {
        return;
    };
    let (id, store, boot) = (status.me.id, status.me.store, status.boot);
    let members: Vec<u64> = status.members.iter().map(|m| m.id).collect();
    let state = match status.last {
        0 if founders.contains(&id) => "founder",
        0 => "waiting",
        _ => "member",
    };
    tracing::info!(
        event = event::STORE_OPENED.id,
        group = status.group,
        store,
        boot,
        state,
        ?founders,
        ?members,
        last = status.last,
        "store opened"
    );
}

/// Logs the differences between two states of all groups.
pub(super) fn report(before: &[GroupStatus], after: &[GroupStatus]) {
    for (old, new) in before.iter().zip(after) {
        report_leadership(old, new);
        report_founding(old, new);
        report_members(old, new);
    }
}

fn report_founding(old: &GroupStatus, new: &GroupStatus) {
    let group = new.group;
    let unknown = |m: &Member| m.store == 0;
    let members = &new.members;
    if new.leads && old.members.iter().any(unknown) && !members.iter().any(unknown) {
        tracing::info!(
            event = event::GROUP_FOUNDED.id,
            group,
            term = new.term,
            ?members,
            "founded the group"
        );
    }
    if new.founding_refused && !old.founding_refused {
        tracing::warn!(
            event = event::FOUNDING_REFUSED.id,
            group,
            ?members,
            "can't found the group: most of its founders have lost their stores; if the fleet \
             never started, start it anew with empty folders, otherwise bring its voters back"
        );
    }
}

fn report_leadership(old: &GroupStatus, new: &GroupStatus) {
    let (group, term) = (new.group, new.term);
    if new.leads && (!old.leads || old.term != term) {
        tracing::info!(event = event::LEADS.id, group, term, "became leader");
    }
    if old.leads && !new.leads {
        tracing::info!(
            event = event::LEADS_NO_MORE.id,
            group,
            term,
            "lost leadership"
        );
    }
}

fn report_members(old: &GroupStatus, new: &GroupStatus) {
    for peer in new
        .non_members
        .iter()
        .filter(|p| !old.non_members.contains(p))
    {
        let (group, id, store) = (new.group, peer.id, peer.store);
        tracing::warn!(
            event = event::STORE_UNKNOWN.id,
            group,
            id,
            store,
            "a store outside of the membership asks to join"
        );
    }
    let barred = |m: &&Member| m.role() == Role::Barred && !old.members.contains(m);
    for member in new.members.iter().filter(barred) {
        let (group, id, store) = (new.group, member.id, member.store);
        tracing::error!(
            event = event::STORE_BARRED.id,
            group,
            id,
            store,
            "a store lost acknowledged entries and is barred from voting"
        );
    }
}

/// Logs the result of a store's peer query after a restart.
pub(super) fn report_rejoin(group: u32, report: &RejoinReport) {
    let RejoinReport {
        answers,
        others,
        end,
        floor,
        ..
    } = *report;
    let waited_ms = millis(report.waited);
    if report.confirmed {
        tracing::info!(
            event = event::STORE_CONFIRMED.id,
            group,
            answers,
            others,
            waited_ms,
            ?end,
            ?floor,
            "other voters confirmed this store's state after its restart"
        );
    } else {
        tracing::warn!(
            event = event::STORE_UNCONFIRMED.id,
            group,
            answers,
            others,
            waited_ms,
            ?end,
            ?floor,
            "too few voters answered; continuing with the local state"
        );
    }
}

/// Publishes the state of each group as gauges.
pub(super) fn publish(groups: &[GroupStatus]) {
    for status in groups {
        let group = status.group.to_string();
        let gauge = |name: &'static str| metrics::gauge!(name, "group" => group.clone());
        gauge("log_term").set(status.term as f64);
        gauge("log_commit").set(status.commit as f64);
        gauge("log_applied").set(status.applied as f64);
        gauge("log_leads").set(f64::from(u8::from(status.leads)));
    }
}
