//! Code shared by the entry and the controller role: settings, startup and shutdown.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::thread::JoinHandle;
use std::time::Duration;

use clap::ArgMatches;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{oneshot, watch};

use crate::error::{Error, FailedSnafu, Result};
use crate::http::{self, ReceiveLimits, ResponseBody};
use crate::id::InstanceId;
use crate::platform::boot::Boot;
use crate::startup::{install_metrics, listen, start_error};
use crate::store::StoreError;
use crate::{event, log};

/// Secret that distinguishes frames of this fleet from others. The platform gives instances no
/// secret of their own, so this protects against misdirected frames, not against an attacker
/// inside the network.
pub(crate) const FLEET_SECRET: &[u8] = b"laburnumquay on the users' platform";

/// Maximum number of connections to the metrics port.
const MAX_METRICS_READERS: usize = 8;

/// Maximum size of the head of a metrics request.
const MAX_METRICS_HEAD: usize = 8 << 10;

/// Time after which an idle connection to the metrics port is closed.
const METRICS_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Fraction of the revocation bound for which keys may be used after the last confirmation. The
/// rest covers requests on their way to an upstream.
const KEY_LEASE_FRACTION: f64 = 0.7;

/// Settings of `laburnumquay entry` and `laburnumquay controller`.
#[derive(Clone, Debug)]
pub(crate) struct RoleSettings {
    /// The platform's settings file.
    pub(crate) file: PathBuf,
    /// Minimum election timeout of the voters.
    pub(crate) election: Duration,
    /// Interval at which an entry instance polls a controller.
    pub(crate) poll: Duration,
    /// Number of entry instances up to which the leading controller answers all of them itself.
    pub(crate) direct: usize,
    /// Maximum number of connections of clients, if it is set.
    pub(crate) connections: Option<usize>,
    /// Memory for bodies in bytes, if it is set.
    pub(crate) body_memory: Option<usize>,
    /// Port for metrics; `None` if they are not served.
    pub(crate) metrics: Option<u16>,
}

impl RoleSettings {
    /// Reads and validates the arguments.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with all faults.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self> {
        let millis = |name: &str| {
            let value = matches.get_one::<u64>(name).copied();
            Duration::from_millis(value.unwrap_or_default())
        };
        let settings = Self {
            file: matches
                .get_one::<PathBuf>("boot-file")
                .cloned()
                .unwrap_or_default(),
            election: millis("election-ms"),
            poll: millis("poll-ms"),
            direct: matches
                .get_one::<usize>("direct-entries")
                .copied()
                .unwrap_or_default(),
            connections: matches.get_one::<usize>("max-connections").copied(),
            body_memory: matches
                .get_one::<usize>("body-memory-mb")
                .map(|mb| mb.saturating_mul(1 << 20)),
            metrics: matches.get_one::<u16>("metrics-port").copied(),
        };
        let mut faults = Vec::new();
        if settings.election < Duration::from_millis(100) {
            faults.push("--election-ms is below 100; a slow sync would depose leaders".to_owned());
        }
        if !(20..=1000).contains(&settings.poll.as_millis()) {
            faults.push("--poll-ms isn't between 20 and 1000; set it to 250".to_owned());
        }
        if !faults.is_empty() {
            return Err(Error::Settings { faults });
        }
        Ok(settings)
    }

    /// Reads the platform's settings file.
    pub(crate) fn boot(&self) -> Result<Boot> {
        Boot::read(&self.file).map_err(|reason| Error::Settings {
            faults: vec![format!("{}: {reason}", self.file.display())],
        })
    }
}

/// Returns the time for which keys may be used after the last confirmation.
pub(crate) fn key_lease(boot: &Boot) -> Duration {
    boot.bounds.revocation_limit.mul_f64(KEY_LEASE_FRACTION)
}

/// Returns the id of the instance at an address.
pub(crate) fn instance_id(ip: Ipv4Addr) -> InstanceId {
    InstanceId(u32::from(ip).into())
}

/// Returns the ids of the seeds in the settings.
pub(crate) fn seeds(boot: &Boot) -> Vec<InstanceId> {
    boot.seeds.iter().map(|s| instance_id(*s.ip())).collect()
}

/// Returns a value that the role requires.
///
/// # Errors
///
/// [`Error::Settings`] if it is missing.
pub(crate) fn required<T>(value: Option<T>, what: &str) -> Result<T> {
    value.ok_or_else(|| Error::Settings {
        faults: vec![format!(
            "the settings file gives this machine {what} no value; \
             run this role on a machine that serves it"
        )],
    })
}

/// Creates the runtime of a role. It has a single thread, since a machine has one core.
pub(crate) fn runtime() -> Result<Runtime> {
    let built = Builder::new_current_thread().enable_all().build();
    built.map_err(|e| start_error("runtime", &e))
}

/// Logs the start of a role.
pub(crate) fn log_start(role: &'static str, boot: &Boot) {
    tracing::info!(
        event = event::STARTED.id,
        role,
        machine = boot.machine,
        domain = boot.domain,
        founding = boot.first_start,
        seeds = ?boot.seeds,
        release = env!("CARGO_PKG_VERSION"),
        "started"
    );
}

/// Notification that the process was asked to stop.
pub(crate) struct StopSignal(watch::Receiver<bool>);

impl StopSignal {
    /// Waits until the process is asked to stop.
    pub(crate) async fn wait(mut self) {
        // The sender lives as long as the runtime.
        let _ = self.0.wait_for(|stop| *stop).await;
    }
}

/// Handles SIGTERM and SIGINT as requests to stop. On SIGHUP, the settings file is read and
/// validated again: seeds may have changed, and are used the next time they are needed.
pub(crate) fn handle_signals(runtime: &Runtime, settings: &RoleSettings) -> Result<StopSignal> {
    let _guard = runtime.enter();
    let open = |kind| signal(kind).map_err(|e| start_error("signal handler", &e));
    let (sender, receiver) = watch::channel(false);
    let mut hup = open(SignalKind::hangup())?;
    let settings = settings.clone();
    runtime.spawn(async move {
        while hup.recv().await.is_some() {
            match settings.boot() {
                Ok(boot) => {
                    tracing::info!(event = event::RELOADED.id, seeds = ?boot.seeds, "reloaded");
                }
                Err(e) => tracing::warn!(event = event::RELOADED.id, "not reloaded: {e}"),
            }
        }
    });
    let mut term = open(SignalKind::terminate())?;
    let mut interrupt = open(SignalKind::interrupt())?;
    runtime.spawn(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
        sender.send_replace(true);
        // Dropping the sender would look like the end of the runtime.
        sender.closed().await;
    });
    Ok(StopSignal(receiver))
}

/// How a voter's thread exited.
pub(crate) enum VoterExit {
    /// It was asked to stop.
    Stopped,
    /// Its store failed. Only data that is read back from the files is known to be durable.
    Failed(StoreError),
}

/// Waits for the voter's thread to exit.
///
/// # Errors
///
/// If it panicked, or the waiting thread cannot be started.
pub(crate) async fn join_voter(thread: JoinHandle<Result<(), StoreError>>) -> Result<VoterExit> {
    let (sender, ended) = oneshot::channel();
    let waiter = std::thread::Builder::new().name("voter-watch".to_owned());
    let spawned = waiter.spawn(move || {
        let _ = sender.send(thread.join());
    });
    spawned.map_err(|e| start_error("watch on the voter", &e))?;
    match ended.await {
        Ok(Ok(Ok(()))) => Ok(VoterExit::Stopped),
        Ok(Ok(Err(error))) => Ok(VoterExit::Failed(error)),
        _ => FailedSnafu { part: "voter" }.fail(),
    }
}

/// Logs the number of suppressed log lines, and serves the metrics of this process if a port is
/// set. `measure` updates the gauges before each response.
pub(crate) fn serve_metrics(
    settings: &RoleSettings,
    ip: Ipv4Addr,
    runtime: &Runtime,
    measure: impl Fn() + Clone + Send + 'static,
) -> Result<()> {
    let handle = install_metrics()?;
    runtime.spawn(log::report_suppressed());
    let Some(port) = settings.metrics else {
        return Ok(());
    };
    let listener = listen(SocketAddr::new(ip.into(), port), "readers of metrics")?;
    let _guard = runtime.enter();
    let bounds = ReceiveLimits {
        max_head: MAX_METRICS_HEAD,
        receive_timeout: METRICS_IDLE_TIMEOUT,
        connections: MAX_METRICS_READERS,
    };
    runtime.spawn(http::accept(listener, bounds, move |_| {
        measure();
        let answer = render(&handle);
        async move { answer }
    }));
    Ok(())
}

fn render(handle: &PrometheusHandle) -> hyper::Response<ResponseBody> {
    hyper::Response::new(ResponseBody::from(handle.render()))
}
