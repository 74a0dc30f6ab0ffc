//! Fleets of real instances on loopback addresses, with a catalogue applied.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Mutex;

use rustix::process::Signal;
use tempfile::TempDir;

use super::caller::{CompletionRequest, agent};
use super::emulator::{Emulator, EmulatorBuilder};
use super::process::Process;
use super::proxy::Proxy;
use super::{port, wait_for};

/// Key of the organisation kouvertoura, which owns the routes "quotations", "narrow" and
/// "orders"; "orders" leads to a service.
pub(crate) const KEY: &str = "caller-secret-of-kouvertoura";
/// Key of the organisation fosseway, which owns the route "letters".
pub(crate) const OTHER_KEY: &str = "caller-secret-of-fosseway";
/// Pools of the two organisations' engines; a pool's name is also its credential.
pub(crate) const POOL: &str = "attiki";
pub(crate) const OTHER_POOL: &str = "midlands";

/// Maximum number of attempts to start a fleet.
const START_ATTEMPTS: usize = 5;
const DOMAINS: [&str; 3] = ["peristeri", "marousi", "pireas"];
/// Maximum number of voters. Only voters have a data directory.
const VOTERS: usize = 3;
const BINARY: &str = env!("CARGO_BIN_EXE_laburnumquay");

/// One instance and its addresses.
pub(crate) struct Instance {
    pub(crate) process: Process,
    caller: SocketAddr,
    control: SocketAddr,
}

/// A running fleet; dropping it ends its processes.
pub(crate) struct Fleet {
    instances: Vec<Instance>,
    /// Address at which other instances reach each instance.
    peer_addrs: Vec<SocketAddr>,
    /// Proxies in front of the instances' peer addresses, if the fleet has any.
    proxies: Vec<Proxy>,
    /// Address that each instance binds for peers, behind its proxy if there is one.
    bind_addrs: Vec<SocketAddr>,
    directory: TempDir,
    flags: Vec<String>,
    /// ID and pool of the engines and services that were started for the fleet.
    engines: Mutex<Vec<(String, String)>>,
}

impl Fleet {
    /// Starts one instance, which is the only voter.
    pub(crate) fn single() -> Self {
        Self::with_instances(1)
    }

    /// Starts `count` instances, of which up to [`VOTERS`] are voters.
    pub(crate) fn with_instances(count: usize) -> Self {
        Self::with_flags(count, &[])
    }

    /// Like [`Fleet::with_instances`], with a proxy in front of each instance that can block
    /// what the others send to it.
    pub(crate) fn with_proxies(count: usize) -> Self {
        let fleet = (0..START_ATTEMPTS)
            .find_map(|_| Self::try_start(count, &[], true))
            .expect("addresses that no other process takes before they are bound");
        fleet.apply_catalogue(&fleet.catalogue());
        fleet
    }

    /// Proxy in front of an instance.
    pub(crate) fn proxy(&self, index: usize) -> &Proxy {
        &self.proxies[index]
    }

    /// Like [`Fleet::with_instances`], with further flags of `serve`.
    pub(crate) fn with_flags(count: usize, flags: &[&str]) -> Self {
        let fleet = (0..START_ATTEMPTS)
            .find_map(|_| Self::try_start(count, flags, false))
            .expect("addresses that no other process takes before they are bound");
        fleet.apply_catalogue(&fleet.catalogue());
        fleet
    }

    /// Starts all instances. Returns none if another process took an address after it was
    /// found free and before an instance bound it.
    fn try_start(count: usize, flags: &[&str], proxied: bool) -> Option<Self> {
        let directory = tempfile::tempdir().expect("create a directory");
        for (name, text) in [
            ("fleet", "fleet-secret-of-the-tests-0123456789"),
            ("operator", "operator-secret-of-the-tests"),
            (KEY, KEY),
            (OTHER_KEY, OTHER_KEY),
            (POOL, POOL),
            (OTHER_POOL, OTHER_POOL),
        ] {
            fs::write(directory.path().join(name), text).expect("write a secret");
        }
        let bind_addrs: Vec<_> = (0..count).map(|_| port::free()).collect();
        let targets = bind_addrs.iter().filter(|_| proxied);
        let proxies: Vec<_> = targets.map(|target| Proxy::new(*target)).collect();
        let peer_addrs = match proxied {
            true => proxies.iter().map(|p| p.address).collect(),
            false => bind_addrs.clone(),
        };
        let mut fleet = Self {
            instances: Vec::new(),
            peer_addrs,
            proxies,
            bind_addrs,
            directory,
            flags: flags.iter().map(|f| (*f).to_owned()).collect(),
            engines: Mutex::default(),
        };
        for index in 0..count {
            let (caller, control) = (port::free(), port::free());
            let process = fleet.start_instance(index, caller, control);
            fleet.instances.push(Instance {
                process,
                caller,
                control,
            });
        }
        (0..count)
            .all(|index| fleet.wait_until_started(index))
            .then_some(fleet)
    }

    /// Waits until an instance is ready, or has exited because an address was in use; returns
    /// whether it is ready.
    fn wait_until_started(&mut self, index: usize) -> bool {
        let uri = format!("http://{}/readyz", self.caller_addr(index));
        let process = &mut self.instances[index].process;
        wait_for("a ready instance", || {
            if !process.is_running() && process.log().contains("in use") {
                return Some(false);
            }
            let reply = agent().get(&uri).call().ok()?;
            (reply.status() == 200).then_some(true)
        })
    }

    fn start_instance(&self, index: usize, caller: SocketAddr, control: SocketAddr) -> Process {
        let voters = self.peer_addrs.iter().take(VOTERS).enumerate();
        let voters: Vec<_> = voters.map(|(i, a)| format!("{}={a}", i + 1)).collect();
        let mut command = Command::new(BINARY);
        command
            .arg("serve")
            .arg(format!("--instance-id={}", index + 1))
            .arg(format!("--domain={}", DOMAINS[index % DOMAINS.len()]))
            .arg(format!("--voters={}", voters.join(",")))
            .arg(format!("--caller-addr={caller}"))
            .arg(format!("--control-addr={control}"))
            .arg(format!("--peer-addr={}", self.bind_addrs[index]))
            .arg(format!("--peer-advertise={}", self.peer_addrs[index]))
            .arg(path_flag("fleet-key-file", &self.file("fleet")))
            .arg(path_flag("operator-key-file", &self.file("operator")))
            .args(&self.flags);
        if index < VOTERS {
            let data = self.file(&format!("data-{}", index + 1));
            command.arg(path_flag("data-dir", &data));
        }
        let mut process = Process::start(&format!("instance {}", index + 1), &mut command);
        process.discard_output();
        process
    }

    /// Restarts a killed instance with the same addresses and data.
    pub(crate) fn restart(&mut self, index: usize) {
        let Instance {
            caller, control, ..
        } = self.instances[index];
        self.instances[index].process = self.start_instance(index, caller, control);
    }

    /// Waits until an instance reports that it is ready.
    pub(crate) fn wait_until_ready(&self, index: usize) {
        let uri = format!("http://{}/readyz", self.caller_addr(index));
        wait_for("a ready instance", || {
            let reply = agent().get(&uri).call().ok()?;
            (reply.status() == 200).then_some(())
        });
    }

    /// Address at which an instance accepts callers' requests.
    pub(crate) fn caller_addr(&self, index: usize) -> SocketAddr {
        self.instances[index].caller
    }

    pub(crate) fn control_addr(&self, index: usize) -> SocketAddr {
        self.instances[index].control
    }

    pub(crate) fn instance(&mut self, index: usize) -> &mut Instance {
        &mut self.instances[index]
    }

    /// Kills an instance while other threads use the fleet; [`Fleet::restart`] collects its exit
    /// status.
    pub(crate) fn kill_instance(&self, index: usize) {
        self.instances[index].process.signal(Signal::KILL);
    }

    /// Data directory of a voter.
    pub(crate) fn data_dir(&self, index: usize) -> PathBuf {
        self.file(&format!("data-{}", index + 1))
    }

    /// Value of the operators' `Authorization` header.
    pub(crate) fn operator_auth(&self) -> String {
        let key = fs::read_to_string(self.file("operator")).expect("read the key");
        format!("Bearer {}", key.trim())
    }

    /// Starts an engine for kouvertoura's routes.
    pub(crate) fn start_engine(&self, id: &str, layers: &str) -> Emulator {
        self.start_engine_in(id, layers, POOL)
    }

    pub(crate) fn start_engine_in(&self, id: &str, layers: &str, pool: &str) -> Emulator {
        self.start_emulator(EmulatorBuilder::engine(id, layers), id, pool)
    }

    pub(crate) fn start_engine_with(
        &self,
        id: &str,
        layers: &str,
        configure: impl FnOnce(EmulatorBuilder) -> EmulatorBuilder,
    ) -> Emulator {
        self.start_emulator(configure(EmulatorBuilder::engine(id, layers)), id, POOL)
    }

    pub(crate) fn start_service(&self, id: &str, name: &str) -> Emulator {
        self.start_emulator(EmulatorBuilder::service(id, name), id, POOL)
    }

    fn start_emulator(&self, builder: EmulatorBuilder, id: &str, pool: &str) -> Emulator {
        let engine = (id.to_owned(), pool.to_owned());
        let mut engines = self.engines.lock().unwrap();
        if !engines.contains(&engine) {
            engines.push(engine);
        }
        let control: Vec<_> = self.instances.iter().map(|i| i.control).collect();
        let builder = builder.flag("pool", pool).flag("credential", pool);
        builder.announce(&control).start()
    }

    /// Waits until every instance knows every engine and answers a request through each pool
    /// that has engines.
    pub(crate) fn wait_until_serving(&self) {
        for index in 0..self.instances.len() {
            let engines = self.engines.lock().unwrap();
            wait_for("all engines in the state", || {
                let state = self.state_json(index);
                let known = |id: &String| state.contains(&format!("\"{id}\""));
                engines.iter().all(|(id, _)| known(id)).then_some(())
            });
            let probe = CompletionRequest::new(KEY, "probe", 1);
            let other = CompletionRequest::new(OTHER_KEY, "probe", 1).route("letters");
            for (request, pool) in [(probe, POOL), (other, OTHER_POOL)] {
                if engines.iter().any(|(_, p)| p == pool) {
                    wait_for("an answer to a probe", || {
                        let reply = request.send(self.caller_addr(index)).ok()?;
                        (reply.status == 200).then_some(())
                    });
                }
            }
        }
    }

    /// State dump of an instance as JSON; empty if the command fails.
    pub(crate) fn state_json(&self, index: usize) -> String {
        let target = self.control_addr(index).to_string();
        self.run_command(&["state", "--json", "--target", &target])
            .unwrap_or_default()
    }

    /// Applies a catalogue through the first instance that accepts it.
    pub(crate) fn apply_catalogue(&self, text: &str) {
        let file = self.file("catalogue.toml");
        fs::write(&file, text).expect("write the catalogue");
        let file = file.display().to_string();
        wait_for("an accepted catalogue", || {
            (0..self.instances.len()).find_map(|index| {
                let target = self.control_addr(index).to_string();
                self.run_command(&["catalogue", "apply", "--target", &target, &file])
            })
        });
    }

    /// Runs `laburnumquay` with these arguments; returns its standard output if it exits with 0.
    pub(crate) fn run_command(&self, args: &[&str]) -> Option<String> {
        let output = Command::new(BINARY)
            .args(args)
            .env("LQ_OPERATOR_KEY_FILE", self.file("operator"))
            .stdin(Stdio::null())
            .output()
            .expect("run laburnumquay");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        output.status.success().then_some(text)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    fn digest(&self, name: &str) -> String {
        let path = self.file(name).display().to_string();
        let text = self.run_command(&["digest", &path]).expect("a digest");
        text.trim().to_owned()
    }

    fn catalogue(&self) -> String {
        let organisations = [("kouvertoura", KEY), ("fosseway", OTHER_KEY)].map(|(name, key)| {
            let digest = self.digest(key);
            format!("[[organisation]]\nname = \"{name}\"\nkeys = [\"{digest}\"]\n")
        });
        let pools = [POOL, OTHER_POOL].map(|name| {
            let digest = self.digest(name);
            format!("[[pool]]\nname = \"{name}\"\ncredential = \"{digest}\"\n")
        });
        let routes = [
            route(
                "quotations",
                "kouvertoura",
                "model = \"quote-7b\"",
                POOL,
                HIGH_LIMITS,
                true,
            ),
            route(
                "narrow",
                "kouvertoura",
                "model = \"quote-7b\"",
                POOL,
                LOW_LIMITS,
                true,
            ),
            route(
                "orders",
                "kouvertoura",
                "service = \"orders\"",
                POOL,
                HIGH_LIMITS,
                false,
            ),
            route(
                "letters",
                "fosseway",
                "model = \"quote-7b\"",
                OTHER_POOL,
                HIGH_LIMITS,
                true,
            ),
        ];
        [organisations.concat(), pools.concat(), routes.concat()].concat()
    }
}

const HIGH_LIMITS: &str =
    "requests = 100000, tokens = 10000000, concurrent = 10000, queued = 10000";
const LOW_LIMITS: &str = "requests = 100000, tokens = 10000000, concurrent = 1, queued = 0";

fn route(
    name: &str,
    owner: &str,
    target: &str,
    pool: &str,
    limits: &str,
    idempotent: bool,
) -> String {
    format!(
        "[[route]]\nname = \"{name}\"\norganisation = \"{owner}\"\ntarget = {{ {target} }}\n\
         pools = [\"{pool}\"]\nidempotent = {idempotent}\nlimits = {{ {limits} }}\n"
    )
}

fn path_flag(name: &str, path: &Path) -> String {
    format!("--{name}={}", path.display())
}
