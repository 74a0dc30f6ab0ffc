//! Joins replicas, machines and store: one sync serves all groups.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use snafu::ensure;

use super::sighting::{Sightings, Verdict};
use super::{ChangeError, GroupStatus, Machine, ProposeError, ReadError};
use crate::clock::Time;
use crate::collections::HashMap;
use crate::disk::Disk;
use crate::id::InstanceId;
use crate::replica::{
    Ask, Body, Cause, Change, Effect, Entry, Event, Hello, Kind, Membership, Message, Peer,
    Persist, Replica, Settings, Start, Superseded,
};
use crate::store::{Store, StoreError, SupersededSnafu};

/// Takes the outcome of a request, on the voter's thread.
pub(crate) type Reply<T, E> = Box<dyn FnOnce(Result<T, E>) + Send>;

/// A request or message for the core.
pub(crate) enum Input {
    Message(Message),
    Propose {
        group: u32,
        command: Bytes,
        done: Reply<Vec<u8>, ProposeError>,
    },
    Read {
        group: u32,
        done: Reply<u64, ReadError>,
    },
    Change {
        group: u32,
        change: Change,
        done: Reply<(), ChangeError>,
    },
    Transfer,
}

/// A request that waits for its outcome.
enum Pending {
    Propose(Reply<Vec<u8>, ProposeError>),
    Read(Reply<u64, ReadError>),
    Change(Reply<(), ChangeError>),
}

/// Constants of a core.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    pub(crate) instance: u64,
    /// Instances that form the groups.
    pub(crate) founders: Vec<u64>,
    /// Instances that may know the leaders.
    pub(crate) contacts: Vec<u64>,
    pub(crate) election: Duration,
    pub(crate) heartbeat: Duration,
    /// Applied entries between snapshots.
    pub(crate) compact: u64,
    /// Entries kept behind a snapshot.
    pub(crate) keep: u64,
    pub(crate) seed: u64,
    /// Random number of this process.
    pub(crate) run: u64,
    /// Id for the store if its folder is empty.
    pub(crate) fresh: u64,
}

struct Group {
    replica: Replica,
    machine: Box<dyn Machine>,
    pending: HashMap<u64, Pending>,
    /// Proposals of the current batch.
    proposals: Vec<(u64, Bytes)>,
    /// Number of the latest write that awaits a sync.
    written: Option<u64>,
}

/// All groups of one store.
pub(crate) struct Core {
    config: Config,
    me: Peer,
    boot: u64,
    store: Store,
    groups: Vec<Group>,
    /// Numbers of this store's runs.
    runs: Vec<u64>,
    sightings: Sightings,
    /// Messages of runs whose sighting isn't durable yet.
    held: Vec<Message>,
    /// Messages of superseded runs that were refused.
    refused: u64,
    ticket: u64,
}

impl Core {
    /// Opens the store and starts one replica for each machine.
    pub(crate) fn open(
        config: Config,
        disk: Box<dyn Disk>,
        machines: Vec<Box<dyn Machine>>,
        now: Time,
    ) -> Result<Self, StoreError> {
        let (store, mut contents) = Store::open(disk, config.fresh, config.run)?;
        let me = Peer {
            id: config.instance,
            store: contents.store,
        };
        let mut groups = Vec::new();
        for (group, machine) in (0..).zip(machines) {
            let settings = settings(&config, me, contents.boot, group);
            let mut start = contents.groups.remove(&group).unwrap_or_default();
            if start.snapshot.index == 0 {
                start.snapshot.members = Membership::founders(config.founders.iter().copied());
            }
            groups.push(Group {
                replica: Replica::new(settings, start, now),
                machine,
                pending: HashMap::default(),
                proposals: Vec::new(),
                written: None,
            });
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
        let groups = (0..).zip(&self.groups);
        groups.map(|(n, g)| self.group_status(n, g)).collect()
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

    fn group_status(&self, number: u32, group: &Group) -> GroupStatus {
        let replica = &group.replica;
        let log = replica.log();
        GroupStatus {
            group: number,
            me: self.me,
            boot: self.boot,
            term: replica.term(),
            leader: replica.leader().map(|l| InstanceId(l.id)),
            leads: replica.is_leader(),
            last: log.last_index(),
            commit: replica.commit(),
            applied: replica.applied(),
            snapshot: log.snapshot().index,
            members: log.members().1.members.clone(),
            strangers: replica.strangers().collect(),
            refused: self.refused,
        }
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
                done,
            } => {
                let Some(at) = self.position(group) else {
                    done(Err(ProposeError::Stopped));
                    return Ok(());
                };
                let ticket = self.wait(at, Pending::Propose(done));
                self.groups[at].proposals.push((ticket, command));
                Ok(())
            }
            Input::Read { group, done } => {
                let Some(at) = self.position(group) else {
                    done(Err(ReadError::Stopped));
                    return Ok(());
                };
                let ticket = self.wait(at, Pending::Read(done));
                self.step(at, now, Event::Read(ticket), send)
            }
            Input::Change {
                group,
                change,
                done,
            } => {
                let Some(at) = self.position(group) else {
                    done(Err(ChangeError::Stopped));
                    return Ok(());
                };
                let ticket = self.wait(at, Pending::Change(done));
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

    fn position(&self, group: u32) -> Option<usize> {
        let at = usize::try_from(group).ok()?;
        (at < self.groups.len()).then_some(at)
    }

    fn wait(&mut self, at: usize, pending: Pending) -> u64 {
        self.ticket += 1;
        self.groups[at].pending.insert(self.ticket, pending);
        self.ticket
    }

    fn deliver(
        &mut self,
        now: Time,
        message: Message,
        send: &mut dyn FnMut(Message),
    ) -> Result<(), StoreError> {
        let Some(at) = self.position(message.group) else {
            return Ok(());
        };
        if message.from_store == self.me.store {
            return Ok(());
        }
        match message.body {
            Some(Body::Superseded(refused)) => {
                let ours = (refused.boot, refused.run) == (self.boot, self.config.run);
                ensure!(!ours || message.to_store != self.me.store, SupersededSnafu);
                return Ok(());
            }
            Some(Body::Ask(_)) => {
                send(self.answer(&message, self.hello()));
                return Ok(());
            }
            _ => {}
        }
        if !self.sight(&message, send) {
            return Ok(());
        }
        // A vote or acknowledgement counts only once we'd remember its run.
        if self.held.iter().any(|h| h.from_store == message.from_store) {
            self.held.push(message);
            return Ok(());
        }
        self.step(at, now, Event::Message(message), send)
    }

    /// Whether a message may be handled now, by the run that sent it.
    fn sight(&mut self, message: &Message, send: &mut dyn FnMut(Message)) -> bool {
        match self.sightings.judge(message) {
            Verdict::Current => return true,
            Verdict::Later if !self.is_member(message.sender()) => return true,
            Verdict::Later => {
                self.sightings.insert(message);
                let (store, boot, run) = (message.from_store, message.boot, message.run);
                self.store.write_sighting(store, boot, run);
                self.held.push(message.clone());
            }
            Verdict::Unproven => send(self.answer(message, Body::Ask(Ask {}))),
            Verdict::Superseded => {
                self.refused += 1;
                let (boot, run) = (message.boot, message.run);
                let body = Body::Superseded(Superseded { boot, run });
                send(self.answer(message, body));
            }
        }
        false
    }

    /// A message back to the run that sent `message`.
    fn answer(&self, message: &Message, body: Body) -> Message {
        Message {
            group: message.group,
            from: self.me.id,
            from_store: self.me.store,
            to: message.from,
            to_store: message.from_store,
            boot: self.boot,
            run: self.config.run,
            term: 0,
            body: Some(body),
        }
    }

    fn hello(&self) -> Body {
        let runs = self.runs.clone();
        Body::Hello(Hello { runs })
    }

    /// Whether `peer` is a member of any group. Bounds what is remembered.
    fn is_member(&self, peer: Peer) -> bool {
        self.groups.iter().any(|g| {
            let members = &g.replica.log().members().1.members;
            let is =
                |m: &crate::replica::Member| m.peer() == peer || (m.store == 0 && m.id == peer.id);
            members.iter().any(is)
        })
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
            let group = &self.groups[at];
            let index = group.replica.applied();
            let grown = index - group.replica.log().snapshot().index.min(index);
            if grown >= self.config.compact {
                let data = Bytes::from(group.machine.snapshot());
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

    fn step(
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
                    if let Some(Body::Hello(hello)) = &mut message.body {
                        hello.runs.clone_from(&self.runs);
                    }
                    send(message);
                }
                Effect::Persist(persist) => group.write(at, &persist, &mut self.store)?,
                Effect::Apply { entry, ticket } => group.apply(&entry, ticket),
                Effect::Restore(snapshot) => group.machine.restore(&snapshot.data),
                Effect::Readable { ticket, index } => group.readable(ticket, index),
                Effect::Failed { ticket, cause } => group.fail(ticket, cause),
            }
        }
        Ok(())
    }
}

impl Group {
    fn write(&mut self, at: usize, persist: &Persist, store: &mut Store) -> Result<(), StoreError> {
        let number = u32::try_from(at).expect("few groups");
        self.written = Some(persist.seq);
        store.write(number, persist)
    }

    fn apply(&mut self, entry: &Entry, ticket: Option<u64>) {
        let reply = match entry.kind() {
            Kind::Command => self.machine.apply(entry.index, &entry.data),
            Kind::Noop | Kind::Members => Vec::new(),
        };
        let pending = ticket.and_then(|t| self.pending.remove(&t));
        match pending {
            Some(Pending::Propose(done)) => done(Ok(reply)),
            Some(Pending::Change(done)) => done(Ok(())),
            Some(Pending::Read(_)) => unreachable!("reads have no entry"),
            None => {}
        }
    }

    fn readable(&mut self, ticket: u64, index: u64) {
        if let Some(Pending::Read(done)) = self.pending.remove(&ticket) {
            done(Ok(index));
        }
    }

    fn fail(&mut self, ticket: u64, cause: Cause) {
        match self.pending.remove(&ticket) {
            Some(Pending::Propose(done)) => done(Err(cause.into())),
            Some(Pending::Read(done)) => done(Err(cause.into())),
            Some(Pending::Change(done)) => done(Err(cause.into())),
            None => {}
        }
    }
}

impl Drop for Group {
    /// Answers what can't be answered any more.
    fn drop(&mut self) {
        for pending in std::mem::take(&mut self.pending).into_values() {
            match pending {
                Pending::Propose(done) => done(Err(ProposeError::Unknown)),
                Pending::Read(done) => done(Err(ReadError::Stopped)),
                Pending::Change(done) => done(Err(ChangeError::Unknown)),
            }
        }
    }
}

fn settings(config: &Config, me: Peer, boot: u64, group: u32) -> Settings {
    Settings {
        group,
        me,
        boot,
        run: config.run,
        contacts: config.contacts.clone(),
        election: config.election,
        heartbeat: config.heartbeat,
        seed: config.seed ^ config.run ^ (u64::from(group) << 32) ^ me.id,
        keep: config.keep,
    }
}
