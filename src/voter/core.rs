//! Drives the replicas and state machines of all groups on one store, with one
//! sync for all.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;

use super::group::{Group, Pending};
use super::known_runs::KnownRuns;
use super::responder::Responder;
use super::{ChangeError, GroupStatus, ProposeError, ReadError, StateMachine, watch};
use crate::clock::Time;
use crate::disk::Disk;
use crate::replica::{
    Body, Change, DurableState, Effect, Event, Membership, Message, Peer, Replica, Settings,
};
use crate::store::{Creation, DivergedSnafu, Store, StoreError, UnknownGroupSnafu};

/// A request or message for the core.
pub(crate) enum Input {
    Message(Message),
    Propose {
        group: u32,
        command: Bytes,
        responder: Responder<Vec<u8>, ProposeError>,
    },
    Read {
        group: u32,
        responder: Responder<u64, ReadError>,
    },
    Change {
        group: u32,
        change: Change,
        responder: Responder<(), ChangeError>,
    },
    /// Instances that may know the leaders from now on.
    Contacts(Vec<u64>),
    Transfer,
}

impl Input {
    /// Fails a request that the full queue has no room for.
    pub(super) fn fail_busy(self) {
        match self {
            Self::Propose { responder, .. } => responder.send(Err(ProposeError::Busy)),
            Self::Read { responder, .. } => responder.send(Err(ReadError::Busy)),
            Self::Change { responder, .. } => responder.send(Err(ChangeError::Busy)),
            Self::Message(_) | Self::Contacts(_) | Self::Transfer => {}
        }
    }
}

/// Configuration of a core.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    pub(crate) instance: u64,
    /// Instances that found the groups, recorded in an empty directory; empty if this
    /// instance joins groups that may exist. Ignored if the directory isn't empty.
    pub(crate) founders: Vec<u64>,
    /// Instances that may know the leaders.
    pub(crate) contacts: Vec<u64>,
    pub(crate) election_timeout: Duration,
    pub(crate) heartbeat_interval: Duration,
    /// Applied entries between snapshots.
    pub(crate) snapshot_interval: u64,
    /// Entries before a snapshot that are retained.
    pub(crate) retained_entries: u64,
    pub(crate) seed: u64,
    /// Random number of this process.
    pub(crate) run: u64,
    /// Id for the store if its directory is empty.
    pub(crate) new_store: u64,
}

/// All groups of one store.
pub(crate) struct Core {
    pub(super) config: Config,
    pub(super) me: Peer,
    pub(super) boot: u64,
    pub(super) store: Store,
    pub(super) groups: Vec<Group>,
    /// Random numbers of this store's runs.
    pub(super) runs: Vec<u64>,
    /// Instances that found the groups, as recorded in the directory.
    founders: Vec<u64>,
    pub(super) known_runs: KnownRuns,
    /// Messages of runs that aren't recorded durably yet.
    pub(super) deferred: Vec<Message>,
    /// Number of messages rejected because they came from a superseded run.
    pub(super) refused: u64,
    pub(super) ticket: u64,
}

impl Core {
    /// Opens the store and starts one replica for each state machine.
    pub(crate) fn open(
        config: Config,
        disk: Box<dyn Disk>,
        machines: Vec<Box<dyn StateMachine>>,
        now: Time,
    ) -> Result<Self, StoreError> {
        let creation = Creation {
            store: config.new_store,
            founders: &config.founders,
        };
        let (store, mut contents) = Store::open(disk, creation, config.run)?;
        let me = Peer {
            id: config.instance,
            store: contents.store,
        };
        let mut groups = Vec::new();
        for (group, machine) in (0..).zip(machines) {
            let settings = settings(&config, me, contents.boot, group);
            let mut start = contents.groups.remove(&group).unwrap_or_default();
            if start.snapshot.index == 0 {
                start.snapshot.members = Membership::initial(contents.founders.iter().copied());
            }
            let replica = Replica::new(settings, start, now);
            groups.push(Group::new(group, replica, machine));
        }
        if let Some(&group) = contents.groups.keys().next() {
            // The next rewrite of the log would drop this group.
            return UnknownGroupSnafu { group }.fail();
        }
        Ok(Self {
            me,
            boot: contents.boot,
            store,
            groups,
            runs: contents.runs,
            founders: contents.founders,
            known_runs: KnownRuns::new(contents.known_runs),
            deferred: Vec::new(),
            refused: 0,
            ticket: 0,
            config,
        })
    }

    /// Handles inputs and the time that has passed. Returns with everything synced.
    ///
    /// After an error, which means that the store has failed or is an old copy,
    /// the core must be dropped.
    pub(crate) fn run(
        &mut self,
        now: Time,
        inputs: impl IntoIterator<Item = Input>,
        send: &mut dyn FnMut(Message),
    ) -> Result<(), StoreError> {
        for input in inputs {
            self.handle(now, input, send)?;
        }
        for at in 0..self.groups.len() {
            let proposals = std::mem::take(&mut self.groups[at].proposals);
            if !proposals.is_empty() {
                self.step(at, now, Event::Propose(proposals), send)?;
            }
            self.step(at, now, Event::Tick, send)?;
        }
        self.sync_all(now, send)?;
        if self.store.needs_rewrite() {
            self.rewrite()?;
        }
        Ok(())
    }

    /// Whether this store leads any group.
    pub(crate) fn leads(&self) -> bool {
        self.groups.iter().any(|g| g.replica.is_leader())
    }

    /// Instances that found the groups, as recorded when the directory was created.
    pub(super) fn founders(&self) -> &[u64] {
        &self.founders
    }

    pub(crate) fn status(&self) -> Vec<GroupStatus> {
        let groups = self.groups.iter();
        groups.map(|g| g.status(self.boot, self.refused)).collect()
    }

    #[cfg(test)]
    pub(crate) fn replica(&self, group: usize) -> &Replica {
        &self.groups[group].replica
    }

    /// Boot counter and run last recorded of another store.
    #[cfg(test)]
    pub(crate) fn known_run(&self, store: u64) -> Option<(u64, u64)> {
        self.known_runs.known().get(&store).copied()
    }

    /// Boot counter and run of this store.
    #[cfg(test)]
    pub(crate) fn run_id(&self) -> (u64, u64) {
        (self.boot, self.config.run)
    }

    fn handle(
        &mut self,
        now: Time,
        input: Input,
        send: &mut dyn FnMut(Message),
    ) -> Result<(), StoreError> {
        match input {
            Input::Message(message) => self.deliver(now, message, send),
            Input::Propose {
                group,
                command,
                mut responder,
            } => {
                let Some(at) = self.position(group) else {
                    return Ok(());
                };
                responder.set_fallback(ProposeError::Unknown);
                let ticket = self.add_pending(at, Pending::Propose(responder));
                self.groups[at].proposals.push((ticket, command));
                Ok(())
            }
            Input::Read { group, responder } => {
                let Some(at) = self.position(group) else {
                    return Ok(());
                };
                let ticket = self.add_pending(at, Pending::Read(responder));
                self.step(at, now, Event::Read(ticket), send)
            }
            Input::Change {
                group,
                change,
                mut responder,
            } => {
                let Some(at) = self.position(group) else {
                    return Ok(());
                };
                responder.set_fallback(ChangeError::Unknown);
                let ticket = self.add_pending(at, Pending::Change(responder));
                self.step(at, now, Event::Change(ticket, change), send)
            }
            Input::Contacts(contacts) => {
                for at in 0..self.groups.len() {
                    self.step(at, now, Event::Contacts(contacts.clone()), send)?;
                }
                Ok(())
            }
            Input::Transfer => {
                for at in 0..self.groups.len() {
                    self.step(at, now, Event::Transfer, send)?;
                }
                Ok(())
            }
        }
    }

    pub(super) fn position(&self, group: u32) -> Option<usize> {
        let at = usize::try_from(group).ok()?;
        (at < self.groups.len()).then_some(at)
    }

    fn add_pending(&mut self, at: usize, pending: Pending) -> u64 {
        self.ticket += 1;
        self.groups[at].add_pending(self.ticket, pending);
        self.ticket
    }

    /// Syncs until no writes are pending.
    fn sync_all(&mut self, now: Time, send: &mut dyn FnMut(Message)) -> Result<(), StoreError> {
        loop {
            self.compact(now, send)?;
            let idle = self.groups.iter().all(|g| g.written.is_none());
            if idle && self.deferred.is_empty() {
                return Ok(());
            }
            self.store.sync()?;
            for at in 0..self.groups.len() {
                if let Some(seq) = self.groups[at].written.take() {
                    self.step(at, now, Event::Persisted(seq), send)?;
                }
            }
            for message in std::mem::take(&mut self.deferred) {
                let at = message.group as usize;
                self.step(at, now, Event::Message(message), send)?;
            }
        }
    }

    /// Takes snapshots of state machines that are due.
    fn compact(&mut self, now: Time, send: &mut dyn FnMut(Message)) -> Result<(), StoreError> {
        for at in 0..self.groups.len() {
            let group = &mut self.groups[at];
            if group.needs_snapshot(self.config.snapshot_interval) {
                let index = group.replica.applied();
                let data = group.snapshot();
                self.step(at, now, Event::Compact { index, data }, send)?;
            }
        }
        Ok(())
    }

    fn rewrite(&mut self) -> Result<(), StoreError> {
        let members: Vec<u64> = self
            .groups
            .iter()
            .flat_map(|g| &g.replica.log().members().1.members)
            .map(|m| m.store)
            .collect();
        let bootstrapping = members.contains(&0);
        self.known_runs
            .retain(|store| bootstrapping || members.contains(&store));
        let images = self.groups.iter().map(|g| g.replica.durable_state());
        let images: BTreeMap<u32, DurableState> = (0..).zip(images).collect();
        self.store.rewrite(&images, self.known_runs.known())
    }

    pub(super) fn step(
        &mut self,
        at: usize,
        now: Time,
        event: Event,
        send: &mut dyn FnMut(Message),
    ) -> Result<(), StoreError> {
        let mut effects = Vec::new();
        let mut vote_request = None;
        let group = &mut self.groups[at];
        group.replica.step(now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send(mut message) => {
                    add_known_runs(&mut message, &self.runs, &self.known_runs);
                    send(message);
                }
                Effect::Persist(persist) => group.write(&persist, &mut self.store)?,
                Effect::Apply { entry, ticket } => group.apply(&entry, ticket),
                Effect::Restore(snapshot) => group.machine.restore(&snapshot.data),
                Effect::Readable { ticket, index } => group.readable(ticket, index),
                Effect::Diverged { index } => {
                    let group = group.number;
                    return DivergedSnafu { group, index }.fail();
                }
                Effect::Rejoined(report) => {
                    watch::report_rejoin(group.number, &report);
                    vote_request = group.vote_request.take();
                }
                Effect::Failed { ticket, cause } => group.fail(ticket, cause),
            }
        }
        // The sender may have restarted since, so its run is checked again.
        vote_request.map_or(Ok(()), |request| self.deliver(now, request, send))
    }
}

/// Adds the recorded runs of this store or of others to a message.
fn add_known_runs(message: &mut Message, runs: &[u64], known_runs: &KnownRuns) {
    let reader = message.to_store;
    match &mut message.body {
        Some(Body::Hello(hello)) => hello.runs = runs.to_vec(),
        Some(Body::VoteAck(ack)) => ack.seen = known_runs.seen(reader),
        Some(Body::AppendAck(ack)) => ack.seen = known_runs.seen(reader),
        _ => {}
    }
}

fn settings(config: &Config, me: Peer, boot: u64, group: u32) -> Settings {
    Settings {
        group,
        me,
        boot,
        run: config.run,
        contacts: config.contacts.clone(),
        election_timeout: config.election_timeout,
        heartbeat_interval: config.heartbeat_interval,
        seed: config.seed ^ config.run ^ (u64::from(group) << 32) ^ me.id,
        retained_entries: config.retained_entries,
    }
}
