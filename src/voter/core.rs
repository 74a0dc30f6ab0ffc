//! Joins replicas, machines and store: one sync serves all groups.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;

use super::answer::Answer;
use super::group::{Group, Pending};
use super::sighting::Sightings;
use super::{ChangeError, GroupStatus, ProposeError, ReadError, StateMachine, watch};
use crate::clock::Time;
use crate::disk::Disk;
use crate::replica::{
    Body, Change, Effect, Event, Membership, Message, Peer, Replica, Settings, Start,
};
use crate::store::{DivergedSnafu, Store, StoreError, UnusedSnafu};

/// A request or message for the core.
pub(crate) enum Input {
    Message(Message),
    Propose {
        group: u32,
        command: Bytes,
        answer: Answer<Vec<u8>, ProposeError>,
    },
    Read {
        group: u32,
        answer: Answer<u64, ReadError>,
    },
    Change {
        group: u32,
        change: Change,
        answer: Answer<(), ChangeError>,
    },
    Transfer,
}

impl Input {
    /// Answers a request that nothing was done for lack of room.
    pub(super) fn refuse_busy(self) {
        match self {
            Self::Propose { answer, .. } => answer.send(Err(ProposeError::Busy)),
            Self::Read { answer, .. } => answer.send(Err(ReadError::Busy)),
            Self::Change { answer, .. } => answer.send(Err(ChangeError::Busy)),
            Self::Message(_) | Self::Transfer => {}
        }
    }
}

/// Constants of a core.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    pub(crate) instance: u64,
    /// Instances that form the groups.
    pub(crate) initial_voters: Vec<u64>,
    /// Instances that may know the leaders.
    pub(crate) contacts: Vec<u64>,
    pub(crate) election_timeout: Duration,
    pub(crate) heartbeat_interval: Duration,
    /// Applied entries between snapshots.
    pub(crate) snapshot_interval: u64,
    /// Entries kept behind a snapshot.
    pub(crate) retained_entries: u64,
    pub(crate) seed: u64,
    /// Random number of this process.
    pub(crate) run: u64,
    /// Id for the store if its folder is empty.
    pub(crate) new_store: u64,
}

/// All groups of one store.
pub(crate) struct Core {
    pub(super) config: Config,
    pub(super) me: Peer,
    pub(super) boot: u64,
    pub(super) store: Store,
    pub(super) groups: Vec<Group>,
    /// Numbers of this store's runs.
    pub(super) runs: Vec<u64>,
    pub(super) sightings: Sightings,
    /// Messages of runs whose sighting isn't durable yet.
    pub(super) held: Vec<Message>,
    /// Messages of superseded runs that were refused.
    pub(super) refused: u64,
    pub(super) ticket: u64,
}

impl Core {
    /// Opens the store and starts one replica for each machine.
    pub(crate) fn open(
        config: Config,
        disk: Box<dyn Disk>,
        machines: Vec<Box<dyn StateMachine>>,
        now: Time,
    ) -> Result<Self, StoreError> {
        let (store, mut contents) = Store::open(disk, config.new_store, config.run)?;
        let me = Peer {
            id: config.instance,
            store: contents.store,
        };
        let mut groups = Vec::new();
        for (group, machine) in (0..).zip(machines) {
            let settings = settings(&config, me, contents.boot, group);
            let mut start = contents.groups.remove(&group).unwrap_or_default();
            if start.snapshot.index == 0 {
                start.snapshot.members = Membership::initial(config.initial_voters.iter().copied());
            }
            let replica = Replica::new(settings, start, now);
            groups.push(Group::new(group, replica, machine));
        }
        if let Some(&group) = contents.groups.keys().next() {
            // The next rewrite of the log would drop it.
            return UnusedSnafu { group }.fail();
        }
        Ok(Self {
            me,
            boot: contents.boot,
            store,
            groups,
            runs: contents.runs,
            sightings: Sightings::new(contents.sightings),
            held: Vec::new(),
            refused: 0,
            ticket: 0,
            config,
        })
    }

    /// Handles inputs and the passing of time. Returns with everything synced.
    ///
    /// An error means that the store has failed or is an old copy: drop the
    /// core then.
    pub(crate) fn run(
        &mut self,
        now: Time,
        inputs: impl IntoIterator<Item = Input>,
        send: &mut dyn FnMut(Message),
    ) -> Result<(), StoreError> {
        for input in inputs {
            self.take(now, input, send)?;
        }
        for at in 0..self.groups.len() {
            let proposals = std::mem::take(&mut self.groups[at].proposals);
            if !proposals.is_empty() {
                self.step(at, now, Event::Propose(proposals), send)?;
            }
            self.step(at, now, Event::Tick, send)?;
        }
        self.settle(now, send)?;
        if self.store.wants_rewrite() {
            self.rewrite()?;
        }
        Ok(())
    }

    /// Whether this store leads any group.
    pub(crate) fn leads(&self) -> bool {
        self.groups.iter().any(|g| g.replica.is_leader())
    }

    pub(crate) fn status(&self) -> Vec<GroupStatus> {
        let groups = self.groups.iter();
        groups.map(|g| g.status(self.boot, self.refused)).collect()
    }

    /// The replica of a group.
    #[cfg(test)]
    pub(crate) fn replica(&self, group: usize) -> &Replica {
        &self.groups[group].replica
    }

    /// Latest run known of another store.
    #[cfg(test)]
    pub(crate) fn sighting(&self, store: u64) -> Option<(u64, u64)> {
        self.sightings.known().get(&store).copied()
    }

    /// Boot counter and run of this store.
    #[cfg(test)]
    pub(crate) fn life(&self) -> (u64, u64) {
        (self.boot, self.config.run)
    }

    fn take(
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
                mut answer,
            } => {
                let Some(at) = self.position(group) else {
                    return Ok(());
                };
                answer.else_tell(ProposeError::Unknown);
                let ticket = self.wait(at, Pending::Propose(answer));
                self.groups[at].proposals.push((ticket, command));
                Ok(())
            }
            Input::Read { group, answer } => {
                let Some(at) = self.position(group) else {
                    return Ok(());
                };
                let ticket = self.wait(at, Pending::Read(answer));
                self.step(at, now, Event::Read(ticket), send)
            }
            Input::Change {
                group,
                change,
                mut answer,
            } => {
                let Some(at) = self.position(group) else {
                    return Ok(());
                };
                answer.else_tell(ChangeError::Unknown);
                let ticket = self.wait(at, Pending::Change(answer));
                self.step(at, now, Event::Change(ticket, change), send)
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

    fn wait(&mut self, at: usize, pending: Pending) -> u64 {
        self.ticket += 1;
        self.groups[at].wait(self.ticket, pending);
        self.ticket
    }

    /// Syncs until nothing is left to sync.
    fn settle(&mut self, now: Time, send: &mut dyn FnMut(Message)) -> Result<(), StoreError> {
        loop {
            self.compact(now, send)?;
            let idle = self.groups.iter().all(|g| g.written.is_none());
            if idle && self.held.is_empty() {
                return Ok(());
            }
            self.store.sync()?;
            for at in 0..self.groups.len() {
                if let Some(seq) = self.groups[at].written.take() {
                    self.step(at, now, Event::Persisted(seq), send)?;
                }
            }
            for message in std::mem::take(&mut self.held) {
                let at = message.group as usize;
                self.step(at, now, Event::Message(message), send)?;
            }
        }
    }

    /// Takes snapshots of machines that have applied enough.
    fn compact(&mut self, now: Time, send: &mut dyn FnMut(Message)) -> Result<(), StoreError> {
        for at in 0..self.groups.len() {
            let group = &mut self.groups[at];
            if group.wants_snapshot(self.config.snapshot_interval) {
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
        let founding = members.contains(&0);
        self.sightings
            .retain(|store| founding || members.contains(&store));
        let images = self.groups.iter().map(|g| g.replica.image());
        let images: BTreeMap<u32, Start> = (0..).zip(images).collect();
        self.store.rewrite(&images, self.sightings.known())
    }

    pub(super) fn step(
        &mut self,
        at: usize,
        now: Time,
        event: Event,
        send: &mut dyn FnMut(Message),
    ) -> Result<(), StoreError> {
        let mut effects = Vec::new();
        let group = &mut self.groups[at];
        group.replica.step(now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send(mut message) => {
                    complete(&mut message, &self.runs, &self.sightings);
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
                Effect::Rejoined(report) => watch::report_rejoin(group.number, &report),
                Effect::Failed { ticket, cause } => group.fail(ticket, cause),
            }
        }
        Ok(())
    }
}

/// Adds what this store knows of runs, its own and others'.
fn complete(message: &mut Message, runs: &[u64], sightings: &Sightings) {
    let reader = message.to_store;
    match &mut message.body {
        Some(Body::Hello(hello)) => hello.runs = runs.to_vec(),
        Some(Body::VoteAck(ack)) => ack.seen = sightings.seen(reader),
        Some(Body::AppendAck(ack)) => ack.seen = sightings.seen(reader),
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
