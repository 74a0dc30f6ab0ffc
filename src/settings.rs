//! Settings of an instance, validated at startup and immutable afterwards.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;

use crate::auth::FleetKey;
use crate::catalogue::digest;
use crate::error::{Error, Result};
use crate::id::InstanceId;

/// Minimum length of a secret, in bytes.
const MIN_SECRET: usize = 16;

/// Minimum of `max_head`, in bytes; the HTTP library accepts no smaller value.
const MIN_HEAD: usize = 8192;

/// Minimum number of polls per lease, so that the lease survives a lost answer.
const MIN_POLLS: u32 = 3;

/// Settings of `laburnumquay serve`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Id of this instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub domain: String,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for operators and upstreams.
    pub control_addr: SocketAddr,
    /// Address for other instances: connections (TCP) and gossip (UDP).
    pub peer_addr: SocketAddr,
    /// Address under which other instances reach `peer_addr`. The same unless a relay is in
    /// front of it.
    pub advertised_addr: SocketAddr,
    /// Peer addresses of the initial voters. Never empty.
    pub voters: BTreeMap<InstanceId, SocketAddr>,
    /// Directory of a voter's state; `None` on an instance that can't be a voter.
    pub data_dir: Option<PathBuf>,
    /// Key shared by all instances.
    pub fleet_key: FleetKey,
    /// SHA-256 digest of the operators' key.
    pub operator_digest: String,
    /// Time for which the catalogue may be used after its last confirmation.
    pub lease: Duration,
    /// Interval at which the catalogue is confirmed; a fraction of `lease`.
    pub poll_interval: Duration,
    /// Minimum election timeout of the voters.
    pub election_timeout: Duration,
    /// Maximum time to wait for running answers after SIGTERM.
    pub drain_timeout: Duration,
    /// Maximum size of a request's body, in bytes.
    pub max_body: usize,
    /// Maximum size of a request's head, in bytes.
    pub max_head: usize,
    /// Maximum time for a caller to send its request.
    pub receive_timeout: Duration,
    /// Maximum deadline of a request, and the deadline of one that names none.
    pub max_deadline: Duration,
    /// Maximum time to wait for the first token of an attempt.
    pub first_timeout: Duration,
    /// Maximum time to wait for the answer of a plain service.
    pub call_timeout: Duration,
    /// Maximum time between two tokens of an engine.
    pub idle_timeout: Duration,
    /// Number of worker threads for callers' connections.
    pub workers: usize,
    /// Whether logs are JSON lines.
    pub json_logs: bool,
}

impl Settings {
    /// Reads and validates the arguments of `serve` and `check`.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with all faults, not only the first.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self> {
        let mut faults = Vec::new();
        let peer_addr = value(matches, "peer-addr");
        let advertised_addr = matches.get_one("peer-advertise").copied();
        let settings = Self {
            instance: InstanceId(value(matches, "instance-id")),
            domain: value(matches, "domain"),
            caller_addr: value(matches, "caller-addr"),
            control_addr: value(matches, "control-addr"),
            peer_addr,
            advertised_addr: advertised_addr.unwrap_or(peer_addr),
            voters: parse_voters(&value::<String>(matches, "voters"), &mut faults),
            data_dir: matches.get_one::<PathBuf>("data-dir").cloned(),
            fleet_key: FleetKey::new(&read_secret(matches, "fleet-key-file", &mut faults)),
            operator_digest: digest_bytes(&read_secret(matches, "operator-key-file", &mut faults)),
            lease: millis(matches, "lease-ms"),
            poll_interval: millis(matches, "poll-ms"),
            election_timeout: millis(matches, "election-ms"),
            drain_timeout: millis(matches, "drain-ms"),
            max_body: value(matches, "max-body"),
            max_head: value(matches, "max-head"),
            receive_timeout: millis(matches, "receive-ms"),
            max_deadline: millis(matches, "deadline-ms"),
            call_timeout: millis(matches, "call-ms"),
            first_timeout: millis(matches, "first-ms"),
            idle_timeout: millis(matches, "idle-ms"),
            workers: value(matches, "workers"),
            json_logs: matches.get_flag("json-logs"),
        };
        settings.validate(&mut faults);
        if faults.is_empty() {
            return Ok(settings);
        }
        Err(Error::Settings { faults })
    }

    /// Whether this instance is one of the initial voters.
    #[must_use]
    pub fn is_initial_voter(&self) -> bool {
        self.voters.contains_key(&self.instance)
    }

    fn validate(&self, faults: &mut Vec<String>) {
        let mut expect = |ok: bool, fault: &str| {
            if !ok {
                faults.push(fault.to_owned());
            }
        };
        expect(
            self.instance.0 > 0,
            "--instance-id is 0: number instances from 1",
        );
        expect(
            !self.domain.is_empty(),
            "--domain is empty: name the failure domain",
        );
        expect(
            !self.is_initial_voter() || self.data_dir.is_some(),
            "--data-dir is missing: this instance is named in --voters and needs a disk",
        );
        expect(
            self.poll_interval * MIN_POLLS <= self.lease,
            "--poll-ms is too long: at least three polls must fit in --lease-ms",
        );
        expect(
            self.election_timeout >= Duration::from_millis(50),
            "--election-ms is below 50: no leader would last; raise it",
        );
        expect(
            self.max_head >= MIN_HEAD,
            "--max-head is below 8192 bytes, the least that the HTTP library takes: raise it",
        );
        expect(self.workers > 0, "--workers is 0: set 1 or more");
        let addrs = [self.caller_addr, self.control_addr, self.peer_addr];
        expect(
            addrs
                .iter()
                .all(|a| a.port() != 0 && !a.ip().is_unspecified()),
            "--caller-addr, --control-addr and --peer-addr need an IP number and a port: others are told of them",
        );
        expect(
            self.caller_addr != self.control_addr
                && self.control_addr != self.peer_addr
                && self.caller_addr != self.peer_addr,
            "--caller-addr, --control-addr and --peer-addr share an address: give each its own",
        );
        if let Some(addr) = self.voters.get(&self.instance) {
            expect(
                *addr == self.advertised_addr,
                "--voters names another address for this instance than the one it tells: make them equal",
            );
        }
    }
}

/// Returns the value of an argument that is required or has a default.
fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .unwrap_or_else(|| panic!("argument {name} is required or has a default"))
}

fn millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(value(matches, name))
}

/// Parses `1=10.0.0.1:7101,2=10.0.0.2:7101`.
fn parse_voters(text: &str, faults: &mut Vec<String>) -> BTreeMap<InstanceId, SocketAddr> {
    let mut voters = BTreeMap::new();
    for part in text.split(',').filter(|p| !p.is_empty()) {
        let parsed = part.split_once('=').and_then(|(id, addr)| {
            let id = id.parse().ok().filter(|id| *id > 0)?;
            Some((InstanceId(id), addr.parse().ok()?))
        });
        let added = parsed.is_some_and(|(id, addr)| voters.insert(id, addr).is_none());
        if !added {
            faults.push(format!(
                "--voters has '{part}': write ID=IP:PORT, each id once"
            ));
        }
    }
    if voters.is_empty() {
        faults.push("--voters is empty: name the initial voters as ID=IP:PORT,...".to_owned());
    }
    voters
}

fn read_secret(matches: &ArgMatches, name: &str, faults: &mut Vec<String>) -> Vec<u8> {
    let path: PathBuf = value(matches, name);
    let secret = match fs::read(&path) {
        Ok(bytes) => bytes.trim_ascii().to_vec(),
        Err(source) => {
            faults.push(format!(
                "--{name} {} can't be read ({source}): check the path and its mode",
                path.display()
            ));
            return Vec::new();
        }
    };
    if secret.len() < MIN_SECRET {
        faults.push(format!(
            "--{name} holds fewer than {MIN_SECRET} bytes: write a longer random secret"
        ));
    }
    secret
}

fn digest_bytes(secret: &[u8]) -> String {
    digest(&String::from_utf8_lossy(secret))
}
