//! What the entry and the controller role share: settings, start and end.

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
use crate::http::{self, Bounds, Reply};
use crate::id::InstanceId;
use crate::platform::boot::Boot;
use crate::startup::{install_metrics, listen, start_error};
use crate::store::StoreError;
use crate::{event, log};

/// Secret that tells frames of this fleet from others. The platform gives
/// instances no secret of their own, so this guards against frames that went
/// astray, not against an attacker inside the network.
pub(crate) const FLEET_SECRET: &[u8] = b"laburnumquay on the users' platform";

/// Longest head of a question for metrics, in bytes.
const METRICS_HEAD: usize = 8 << 10;

/// Longest time for which a reader of metrics may keep its connection.
const METRICS_IDLE: Duration = Duration::from_secs(20);

/// Part of the revocation bound for which keys may be used after the last
/// confirmation. What remains covers a request on its way to an upstream.
const LEASE_SHARE: f64 = 0.7;

/// Settings of `laburnumquay entry` and `laburnumquay controller`.
#[derive(Clone, Debug)]
pub(crate) struct RoleSettings {
    /// The platform's settings file.
    pub(crate) file: PathBuf,
    /// Least election timeout of the voters.
    pub(crate) election: Duration,
    /// Period at which an entry instance asks the leader.
    pub(crate) poll: Duration,
    /// Port for metrics, if any.
    pub(crate) metrics: Option<u16>,
}

impl RoleSettings {
    /// Reads and checks the arguments.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with every fault found.
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

/// How long keys may be used after the last confirmation.
pub(crate) fn key_lease(boot: &Boot) -> Duration {
    boot.bounds.revoke.mul_f64(LEASE_SHARE)
}

/// The number of the instance on this machine.
pub(crate) fn instance_id(ip: Ipv4Addr) -> InstanceId {
    InstanceId(u32::from(ip).into())
}

/// The instances that the settings name as seeds.
pub(crate) fn seeds(boot: &Boot) -> Vec<InstanceId> {
    boot.seeds.iter().map(|s| instance_id(*s.ip())).collect()
}

/// A value that the role can't do without.
pub(crate) fn required<T>(value: Option<T>, what: &str) -> Result<T> {
    value.ok_or_else(|| Error::Settings {
        faults: vec![format!(
            "the settings file gives this machine {what} no value; \
             run this role on a machine that serves it"
        )],
    })
}

/// The runtime of a role. One thread, since a machine has one core: more would
/// only take turns on it.
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
        founding = boot.founding,
        seeds = ?boot.seeds,
        release = env!("CARGO_PKG_VERSION"),
        "started"
    );
}

/// Tells when the process was asked to end.
pub(crate) struct StopSignal(watch::Receiver<bool>);

impl StopSignal {
    /// Returns once the process was asked to end.
    pub(crate) async fn wait(mut self) {
        // The sender lives as long as the runtime.
        let _ = self.0.wait_for(|stop| *stop).await;
    }
}

/// Hears SIGTERM and SIGINT, and SIGHUP, upon which the settings file is read
/// and checked again: seeds may have changed, and are used at the next need.
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

/// How a voter's thread ended.
pub(crate) enum VoterExit {
    /// It was told to.
    Stopped,
    /// Its store failed; only what a new one reads from the files is durable.
    Failed(StoreError),
}

/// Hears of the end of the voter's thread.
///
/// # Errors
///
/// When it panicked.
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

/// Sums up left out log lines, and serves the metrics of this process on a port
/// of the machine if one is set. `measure` sets the gauges before each answer.
pub(crate) fn serve_metrics(
    settings: &RoleSettings,
    ip: Ipv4Addr,
    runtime: &Runtime,
    measure: impl Fn() + Clone + Send + 'static,
) -> Result<()> {
    let handle = install_metrics()?;
    runtime.spawn(log::sum_up());
    let Some(port) = settings.metrics else {
        return Ok(());
    };
    let listener = listen(SocketAddr::new(ip.into(), port), "readers of metrics")?;
    let _guard = runtime.enter();
    let bounds = Bounds {
        head: METRICS_HEAD,
        receive: METRICS_IDLE,
    };
    runtime.spawn(http::accept(listener, bounds, move |_| {
        measure();
        let answer = render(&handle);
        async move { answer }
    }));
    Ok(())
}

fn render(handle: &PrometheusHandle) -> hyper::Response<Reply> {
    hyper::Response::new(Reply::from(handle.render()))
}
