//! The threads that run a node: one reads the socket, the other runs the state
//! machine and sends.

use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded, select_biased, tick};

use crate::clock::{Clock, Time};
use crate::event;
use crate::gossip::dump::FleetDump;
use crate::gossip::fleet::{self, FleetError, FleetSettings, Shared};
use crate::gossip::node::{Datagram, Node, NodeEvent, NodeSettings};
use crate::gossip::report::FleetReporter;
use crate::gossip::wire::MAX_DATAGRAM;
use crate::membership::{Member, MemberState, SUSPEND_GAP};
use crate::upstream::{AnnounceError, AnnounceOutcome, Announcement};

/// Capacity of the queue of received datagrams. More are dropped, as with a full
/// socket buffer.
const DATAGRAM_QUEUE: usize = 1_024;

/// Capacity of the command queue.
const COMMAND_QUEUE: usize = 256;

/// Driver ticks per probe period.
const TICKS_PER_PERIOD: u32 = 20;

/// Broadcast rounds sent after leaving.
const LEAVE_ROUNDS: u32 = 4;

/// Read timeout of the reader thread, after which it checks whether to stop.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

type AnnounceResult = Result<AnnounceOutcome, AnnounceError>;

/// A command from a [`Fleet`](fleet::Fleet) handle to the driver.
pub(crate) enum Command {
    Announce(Box<Announcement>, Sender<AnnounceResult>),
    Dump(Sender<FleetDump>),
    Drain,
    Stop,
}

/// Result of [`start`].
pub(crate) struct Started {
    pub(crate) commands: Sender<Command>,
    pub(crate) address: SocketAddr,
    pub(crate) thread: JoinHandle<()>,
}

type Incoming = (SocketAddr, Vec<u8>);

struct Driver {
    node: Node,
    socket: UdpSocket,
    clock: Arc<dyn Clock>,
    shared: Arc<Shared>,
    probe_period: Duration,
    overflow: Arc<std::sync::atomic::AtomicU64>,
    last_tick: Time,
    send_errors: u64,
    reporter: FleetReporter,
    out: Vec<Datagram>,
}

/// Binds the socket and starts both threads.
pub(crate) fn start(
    settings: FleetSettings,
    shared: Arc<Shared>,
    clock: Arc<dyn Clock>,
) -> Result<Started, FleetError> {
    let socket = fleet::bind(settings.bind)?;
    let bound = fleet::local_address(&socket, settings.bind)?;
    let reader = fleet::reader(&socket, settings.bind, READ_TIMEOUT)?;
    let probe_period = settings.probe_period;
    let mut address = settings.gossip;
    if address.port() == 0 {
        address.set_port(bound.port());
    }
    let now = clock.now();
    let node = Node::new(now, node_settings(settings, address));
    let overflow = Arc::default();
    let mut driver = Driver {
        node,
        socket,
        clock,
        shared,
        probe_period,
        overflow: Arc::clone(&overflow),
        last_tick: now,
        send_errors: 0,
        reporter: FleetReporter::default(),
        out: Vec::new(),
    };
    driver.publish(now);
    let (commands, command_queue) = bounded(COMMAND_QUEUE);
    let (datagrams, datagram_queue) = bounded(DATAGRAM_QUEUE);
    let stopped = Arc::new(AtomicBool::new(false));
    let reader_stopped = Arc::clone(&stopped);
    let reading = fleet::spawn_thread("gossip-read", move || {
        read(&reader, &datagrams, &overflow, &reader_stopped);
    })?;
    let thread = fleet::spawn_thread("gossip", move || {
        driver.run(&command_queue, &datagram_queue);
        stopped.store(true, Ordering::Release);
        if reading.join().is_err() {
            tracing::error!("the datagram reader thread panicked");
        }
    })?;
    Ok(Started {
        commands,
        address,
        thread,
    })
}

fn node_settings(settings: FleetSettings, gossip: SocketAddr) -> NodeSettings {
    let own = Member {
        id: settings.id,
        incarnation: settings.incarnation,
        domain: settings.domain,
        peer: settings.peer,
        gossip,
        control: settings.control,
        voter: settings.voter,
        draining: false,
        state: MemberState::Alive,
    };
    NodeSettings {
        own,
        seeds: settings.seeds,
        key: settings.key,
        probe_period: settings.probe_period,
        rng_seed: settings.rng_seed,
    }
}

/// Reads datagrams until `stopped` is set.
fn read(
    socket: &UdpSocket,
    datagrams: &Sender<Incoming>,
    overflow: &std::sync::atomic::AtomicU64,
    stopped: &AtomicBool,
) {
    // One byte more than the maximum, so that an oversized datagram is detected.
    let mut buffer = [0; MAX_DATAGRAM + 1];
    while !stopped.load(Ordering::Acquire) {
        match socket.recv_from(&mut buffer) {
            Ok((len, from)) => {
                if datagrams.try_send((from, buffer[..len].to_vec())).is_err() {
                    overflow.fetch_add(1, Ordering::Relaxed);
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            // A datagram that the receiver refused is reported by the next read.
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
            Err(error) => {
                tracing::warn!(event = event::DATAGRAMS_LOST.id, %error, "can't receive datagrams");
                std::thread::sleep(READ_TIMEOUT);
            }
        }
    }
}

impl Driver {
    fn run(&mut self, commands: &Receiver<Command>, datagrams: &Receiver<Incoming>) {
        let ticks = tick(self.probe_period / TICKS_PER_PERIOD);
        loop {
            let keep_running = select_biased! {
                recv(ticks) -> _ => {
                    self.tick();
                    true
                }
                recv(commands) -> command => self.on_command(command.ok()),
                recv(datagrams) -> datagram => self.on_datagram(datagram.ok()),
            };
            if !keep_running {
                break;
            }
            self.flush();
        }
        self.announce_leave();
    }

    /// Returns whether the driver keeps running.
    fn on_command(&mut self, command: Option<Command>) -> bool {
        let now = self.tick();
        match command {
            Some(Command::Stop) | None => return false,
            Some(command) => self.execute(now, command),
        }
        true
    }

    /// Returns whether the driver keeps running.
    fn on_datagram(&mut self, datagram: Option<Incoming>) -> bool {
        let now = self.tick();
        let Some((from, bytes)) = datagram else {
            return false;
        };
        let event = NodeEvent::Datagram(from, &bytes);
        self.node.step(now, event, &mut self.out);
        true
    }

    /// Ticks the node when due, and returns the current time. Must run before any
    /// other event is handled, so that a suspension is detected first.
    fn tick(&mut self) -> Time {
        let now = self.clock.now();
        let gap = now.since(self.last_tick);
        if gap >= SUSPEND_GAP {
            tracing::warn!(
                event = event::SUSPENDED.id,
                millis = gap.as_millis() as u64,
                "the process was suspended"
            );
        }
        if gap >= self.probe_period / TICKS_PER_PERIOD {
            self.last_tick = now;
            self.node.step(now, NodeEvent::Tick, &mut self.out);
            self.publish(now);
            self.reporter.node(&self.node);
        }
        now
    }

    fn execute(&mut self, now: Time, command: Command) {
        match command {
            Command::Announce(announcement, reply) => {
                let outcome = self.announce(now, &announcement);
                let _ = reply.send(outcome);
            }
            Command::Dump(reply) => {
                let mut dump = self.node.dump(now);
                dump.traffic.overflow = self.overflow.load(Ordering::Relaxed);
                dump.traffic.failed = self.send_errors;
                let _ = reply.send(dump);
            }
            Command::Drain => self.node.step(now, NodeEvent::Drain, &mut self.out),
            Command::Stop => {}
        }
    }

    fn announce(&mut self, now: Time, announcement: &Announcement) -> AnnounceResult {
        let outcome = self.node.announce(now, announcement, &mut self.out);
        self.publish(now);
        outcome
    }

    fn flush(&mut self) {
        for datagram in self.out.drain(..) {
            if self.socket.send_to(&datagram.bytes, datagram.to).is_err() {
                self.send_errors += 1;
            }
        }
    }

    fn publish(&mut self, now: Time) {
        self.shared.last_tick.store(now.0, Ordering::Release);
        if self.node.registry.changed() {
            let view = self.node.upstreams(now);
            self.reporter.upstreams(&view);
            self.shared.upstreams.store(view);
        }
        if let Some(view) = self.node.changed_members() {
            self.reporter.members(&view);
            self.shared.members.store(Arc::new(view));
        }
    }

    /// Broadcasts over several rounds that this instance leaves.
    fn announce_leave(&mut self) {
        self.node
            .step(self.clock.now(), NodeEvent::Leave, &mut self.out);
        for _ in 0..LEAVE_ROUNDS {
            self.flush();
            std::thread::sleep(self.probe_period / TICKS_PER_PERIOD);
            let now = self.clock.now();
            self.node.send_remaining(now, &mut self.out);
        }
        self.flush();
        self.publish(self.clock.now());
    }
}
