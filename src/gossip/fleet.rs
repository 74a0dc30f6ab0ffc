//! The handle through which other parts of an instance use the fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::channel::{Sender, bounded};
use snafu::{ResultExt, Snafu, ensure};

use crate::auth::FleetKey;
use crate::clock::{Clock, Time};
use crate::gossip::driver::{self, Command};
use crate::gossip::dump::FleetDump;
use crate::id::{Incarnation, InstanceId};
use crate::membership::MemberView;
use crate::upstream::{AnnounceError, AnnounceOutcome, Announcement, UpstreamView};

/// Time without a driver tick after which the published upstreams are stale.
const MAX_VIEW_AGE: Duration = Duration::from_secs(5);

/// Maximum wait for the driver's reply to a command.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of an instance's membership in the fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Id of this instance, not zero and unique in the fleet.
    pub id: InstanceId,
    /// Incarnation of this process. It must be higher than that of every earlier
    /// start, or the others keep treating this instance as dead.
    pub incarnation: Incarnation,
    /// Failure domain, 1 to 64 printable ASCII characters.
    pub domain: String,
    /// Local address to bind the UDP socket to.
    pub bind: SocketAddr,
    /// UDP address advertised to others. Port 0 stands for the bound port.
    pub gossip: SocketAddr,
    /// TCP address advertised to others.
    pub peer: SocketAddr,
    /// Address of the control interface.
    pub control: SocketAddr,
    /// Whether this instance is a voter of the catalogue.
    pub voter: bool,
    /// Datagram addresses of instances to join through.
    pub seeds: Vec<SocketAddr>,
    /// Key that authenticates the fleet's datagrams.
    pub key: FleetKey,
    /// Time between two probes. One second suits a production fleet.
    pub probe_period: Duration,
    /// Seed of random choices, different for each instance.
    pub rng_seed: u64,
}

/// Error from starting an instance's membership in the fleet.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum FleetError {
    /// A setting is out of bounds.
    #[snafu(display("setting {name} is out of bounds: {remedy}"))]
    Setting {
        /// Name of the setting.
        name: &'static str,
        /// What to change.
        remedy: &'static str,
    },
    /// The socket couldn't be bound.
    #[snafu(display(
        "can't bind the UDP socket at {address}: choose a free address of this machine"
    ))]
    Bind {
        /// Requested address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// A thread couldn't be started.
    #[snafu(display("can't start a thread: raise the limit of threads"))]
    Thread {
        /// Cause.
        source: std::io::Error,
    },
}

/// State that the driver shares with the handles.
pub(crate) struct Shared {
    pub(crate) upstreams: ArcSwap<UpstreamView>,
    pub(crate) members: ArcSwap<MemberView>,
    /// Time of the last driver tick, in microseconds of the local clock.
    pub(crate) last_tick: AtomicU64,
}

/// Handle of this instance's membership in the fleet. Clones share it.
#[derive(Clone)]
pub struct Fleet {
    shared: Arc<Shared>,
    commands: Sender<Command>,
    clock: Arc<dyn Clock>,
    address: SocketAddr,
}

impl Fleet {
    /// Binds the socket and starts the threads. The returned thread ends after
    /// [`Fleet::stop`], or when all clones of the handle are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is out of bounds, the address can't be bound,
    /// or a thread can't be started.
    pub fn spawn(
        settings: FleetSettings,
        clock: Arc<dyn Clock>,
    ) -> Result<(Fleet, JoinHandle<()>), FleetError> {
        settings.validate()?;
        let shared = Arc::new(Shared {
            upstreams: ArcSwap::default(),
            members: ArcSwap::default(),
            last_tick: AtomicU64::new(clock.now().0),
        });
        let started = driver::start(settings, Arc::clone(&shared), Arc::clone(&clock))?;
        let fleet = Fleet {
            shared,
            commands: started.commands,
            clock,
            address: started.address,
        };
        Ok((fleet, started.thread))
    }

    /// Address at which this instance receives datagrams.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Handles an announcement that an upstream made to this instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the announcement is out of bounds, the table is full, or
    /// this instance can't tell how old the announcement is.
    pub fn announce(&self, announcement: Announcement) -> Result<AnnounceOutcome, AnnounceError> {
        let (reply, answer) = bounded(1);
        let command = Command::Announce(Box::new(announcement), reply);
        let stalled = || AnnounceError::Stalled { retry: 1_000 };
        self.commands.send(command).map_err(|_| stalled())?;
        answer.recv_timeout(REPLY_TIMEOUT).map_err(|_| stalled())?
    }

    /// Upstreams that can be given work.
    ///
    /// The view is empty while the driver doesn't tick. Otherwise a process that
    /// resumes after a suspension could pick an upstream that has left meanwhile,
    /// before the driver drops it.
    #[must_use]
    pub fn upstreams(&self) -> Arc<UpstreamView> {
        let last_tick = Time(self.shared.last_tick.load(Ordering::Acquire));
        if self.clock.now().since(last_tick) > MAX_VIEW_AGE {
            return Arc::default();
        }
        self.shared.upstreams.load_full()
    }

    /// All instances, this one included.
    #[must_use]
    pub fn members(&self) -> Arc<MemberView> {
        self.shared.members.load_full()
    }

    /// Announces to the fleet that this instance takes no new requests.
    pub fn drain(&self) {
        let _ = self.commands.send(Command::Drain);
    }

    /// Leaves the fleet, and ends the threads after a few broadcast rounds.
    pub fn stop(&self) {
        let _ = self.commands.send(Command::Stop);
    }

    /// The fleet's part of the state dump; empty if the driver doesn't reply in
    /// time.
    #[must_use]
    pub fn dump(&self) -> FleetDump {
        let (reply, answer) = bounded(1);
        if self.commands.send(Command::Dump(reply)).is_err() {
            return FleetDump::default();
        }
        answer.recv_timeout(REPLY_TIMEOUT).unwrap_or_default()
    }
}

impl FleetSettings {
    fn validate(&self) -> Result<(), FleetError> {
        let id = SettingSnafu {
            name: "id",
            remedy: "give the instance an id above zero",
        };
        ensure!(self.id.0 != 0, id);
        let domain = SettingSnafu {
            name: "domain",
            remedy: "use 1 to 64 printable ASCII characters",
        };
        let valid_len = (1..=crate::upstream::MAX_NAME_LEN).contains(&self.domain.len());
        ensure!(
            valid_len && self.domain.bytes().all(|b| b.is_ascii_graphic()),
            domain
        );
        let period = SettingSnafu {
            name: "period",
            remedy: "use 20 ms to 10 s",
        };
        let bounds = Duration::from_millis(20)..=Duration::from_secs(10);
        ensure!(bounds.contains(&self.probe_period), period);
        Ok(())
    }
}

pub(crate) fn bind(address: SocketAddr) -> Result<std::net::UdpSocket, FleetError> {
    std::net::UdpSocket::bind(address).context(BindSnafu { address })
}

pub(crate) fn spawn_thread(
    name: &str,
    body: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, FleetError> {
    let builder = std::thread::Builder::new().name(name.to_owned());
    builder.spawn(body).context(ThreadSnafu)
}

pub(crate) fn local_address(
    socket: &std::net::UdpSocket,
    address: SocketAddr,
) -> Result<SocketAddr, FleetError> {
    socket.local_addr().context(BindSnafu { address })
}

/// Clones the socket handle, with a read timeout.
pub(crate) fn reader(
    socket: &std::net::UdpSocket,
    address: SocketAddr,
    timeout: Duration,
) -> Result<std::net::UdpSocket, FleetError> {
    let reader = socket.try_clone().context(BindSnafu { address })?;
    let timeout = reader.set_read_timeout(Some(timeout));
    timeout.context(BindSnafu { address })?;
    Ok(reader)
}
