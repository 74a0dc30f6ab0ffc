//! Fleets of real instances on loopback, with a catalogue in force.

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

/// Key of the organisation kouvertoura, which owns "quotations", "narrow" and
/// the service "orders".
pub(crate) const KEY: &str = "caller-secret-of-kouvertoura";
/// Key of the organisation fosseway, which owns "letters".
pub(crate) const OTHER_KEY: &str = "caller-secret-of-fosseway";
/// Pools of the two organisations' engines.
pub(crate) const POOL: &str = "attiki";
pub(crate) const OTHER_POOL: &str = "midlands";

/// Tries to start a fleet.
const STARTS: usize = 5;
const DOMAINS: [&str; 3] = ["peristeri", "marousi", "pireas"];
/// Instances with a data folder.
const VOTERS: usize = 3;
const BINARY: &str = env!("CARGO_BIN_EXE_laburnumquay");

/// One instance and its addresses.
pub(crate) struct Instance {
    pub(crate) process: Process,
    caller: SocketAddr,
    control: SocketAddr,
}

/// A fleet; all its processes end with it.
pub(crate) struct Fleet {
    instances: Vec<Instance>,
    /// Where the others find each instance.
    peers: Vec<SocketAddr>,
    /// Relays before the instances, in a fleet that can be cut.
    proxies: Vec<Proxy>,
    /// Where each instance listens behind its relay.
    binds: Vec<SocketAddr>,
    folder: TempDir,
    flags: Vec<String>,
    /// Id and pool of the engines started for it.
    engines: Mutex<Vec<(String, String)>>,
}

impl Fleet {
    /// One instance that is its own quorum.
    pub(crate) fn single() -> Self {
        Self::with_instances(1)
    }

    /// `count` instances, up to three of them voters.
    pub(crate) fn with_instances(count: usize) -> Self {
        Self::with_flags(count, &[])
    }

    /// `count` instances with a relay before each, so that what others send to
    /// one can be cut in silence.
    pub(crate) fn with_proxies(count: usize) -> Self {
        let fleet = (0..STARTS)
            .find_map(|_| Self::launched(count, &[], true))
            .expect("addresses that no other process takes meanwhile");
        fleet.apply_catalogue(&fleet.catalogue());
        fleet
    }

    /// The relay before an instance.
    pub(crate) fn proxy(&self, at: usize) -> &Proxy {
        &self.proxies[at]
    }

    /// The same with further flags of `serve`.
    pub(crate) fn with_flags(count: usize, flags: &[&str]) -> Self {
        let fleet = (0..STARTS)
            .find_map(|_| Self::launched(count, flags, false))
            .expect("addresses that no other process takes meanwhile");
        fleet.apply_catalogue(&fleet.catalogue());
        fleet
    }

    /// Starts all instances; none when another process took an address between
    /// the look at it and the bind.
    fn launched(count: usize, flags: &[&str], relayed: bool) -> Option<Self> {
        let folder = tempfile::tempdir().expect("make a folder");
        for (name, text) in [
            ("fleet", "fleet-secret-of-the-tests-0123456789"),
            ("operator", "operator-secret-of-the-tests"),
            (KEY, KEY),
            (OTHER_KEY, OTHER_KEY),
            (POOL, POOL),
            (OTHER_POOL, OTHER_POOL),
        ] {
            fs::write(folder.path().join(name), text).expect("write a secret");
        }
        let binds: Vec<_> = (0..count).map(|_| port::free()).collect();
        let relays = binds.iter().filter(|_| relayed);
        let proxies: Vec<_> = relays.map(|bind| Proxy::new(*bind)).collect();
        let peers = match relayed {
            true => proxies.iter().map(|s| s.address).collect(),
            false => binds.clone(),
        };
        let mut fleet = Self {
            instances: Vec::new(),
            peers,
            proxies,
            binds,
            folder,
            flags: flags.iter().map(|f| (*f).to_owned()).collect(),
            engines: Mutex::default(),
        };
        for at in 0..count {
            let (caller, control) = (port::free(), port::free());
            let process = fleet.start(at, caller, control);
            fleet.instances.push(Instance {
                process,
                caller,
                control,
            });
        }
        (0..count).all(|at| fleet.begun(at)).then_some(fleet)
    }

    /// Waits until an instance is ready or found an address in use.
    fn begun(&mut self, at: usize) -> bool {
        let uri = format!("http://{}/readyz", self.caller_addr(at));
        let process = &mut self.instances[at].process;
        wait_for("a ready instance", || {
            if !process.is_running() && process.log().contains("in use") {
                return Some(false);
            }
            let reply = agent().get(&uri).call().ok()?;
            (reply.status() == 200).then_some(true)
        })
    }

    fn start(&self, at: usize, caller: SocketAddr, control: SocketAddr) -> Process {
        let voters = self.peers.iter().take(VOTERS).enumerate();
        let voters: Vec<_> = voters.map(|(i, a)| format!("{}={a}", i + 1)).collect();
        let mut command = Command::new(BINARY);
        command
            .arg("serve")
            .arg(format!("--instance-id={}", at + 1))
            .arg(format!("--domain={}", DOMAINS[at % DOMAINS.len()]))
            .arg(format!("--voters={}", voters.join(",")))
            .arg(format!("--caller-addr={caller}"))
            .arg(format!("--control-addr={control}"))
            .arg(format!("--peer-addr={}", self.binds[at]))
            .arg(format!("--peer-advertise={}", self.peers[at]))
            .arg(path_flag("fleet-key-file", &self.file("fleet")))
            .arg(path_flag("operator-key-file", &self.file("operator")))
            .args(&self.flags);
        if at < VOTERS {
            let data = self.file(&format!("data-{}", at + 1));
            command.arg(path_flag("data-dir", &data));
        }
        let mut process = Process::start(&format!("instance {}", at + 1), &mut command);
        process.discard_output();
        process
    }

    /// Starts an instance again that was killed, on its addresses and data.
    pub(crate) fn restart(&mut self, at: usize) {
        let Instance {
            caller, control, ..
        } = self.instances[at];
        self.instances[at].process = self.start(at, caller, control);
    }

    /// Waits until an instance is ready for work.
    pub(crate) fn wait_until_ready(&self, at: usize) {
        let uri = format!("http://{}/readyz", self.caller_addr(at));
        wait_for("a ready instance", || {
            let reply = agent().get(&uri).call().ok()?;
            (reply.status() == 200).then_some(())
        });
    }

    /// Where an instance takes requests.
    pub(crate) fn caller_addr(&self, at: usize) -> SocketAddr {
        self.instances[at].caller
    }

    pub(crate) fn control_addr(&self, at: usize) -> SocketAddr {
        self.instances[at].control
    }

    pub(crate) fn instance(&mut self, at: usize) -> &mut Instance {
        &mut self.instances[at]
    }

    /// Kills an instance while other threads use the fleet; [`Fleet::restart`]
    /// reaps it.
    pub(crate) fn kill_instance(&self, at: usize) {
        self.instances[at].process.signal(Signal::KILL);
    }

    /// Data folder of a voter.
    pub(crate) fn data_dir(&self, at: usize) -> PathBuf {
        self.file(&format!("data-{}", at + 1))
    }

    /// Value of the operators' `Authorization` header.
    pub(crate) fn operator_auth(&self) -> String {
        let key = fs::read_to_string(self.file("operator")).expect("read the key");
        format!("Bearer {}", key.trim())
    }

    /// An engine for kouvertoura's routes.
    pub(crate) fn start_engine(&self, id: &str, layers: &str) -> Emulator {
        self.start_engine_in(id, layers, POOL)
    }

    pub(crate) fn start_engine_in(&self, id: &str, layers: &str, pool: &str) -> Emulator {
        self.launch(EmulatorBuilder::engine(id, layers), id, pool)
    }

    pub(crate) fn start_engine_with(
        &self,
        id: &str,
        layers: &str,
        change: impl FnOnce(EmulatorBuilder) -> EmulatorBuilder,
    ) -> Emulator {
        self.launch(change(EmulatorBuilder::engine(id, layers)), id, POOL)
    }

    pub(crate) fn start_service(&self, id: &str, name: &str) -> Emulator {
        self.launch(EmulatorBuilder::service(id, name), id, POOL)
    }

    fn launch(&self, plan: EmulatorBuilder, id: &str, pool: &str) -> Emulator {
        let known = (id.to_owned(), pool.to_owned());
        let mut engines = self.engines.lock().unwrap();
        if !engines.contains(&known) {
            engines.push(known);
        }
        let control: Vec<_> = self.instances.iter().map(|i| i.control).collect();
        let plan = plan.flag("pool", pool).flag("credential", pool);
        plan.announce(&control).start()
    }

    /// Waits until every instance knows every engine and answers through them.
    pub(crate) fn wait_until_serving(&self) {
        for at in 0..self.instances.len() {
            let engines = self.engines.lock().unwrap();
            wait_for("all engines in the view", || {
                let state = self.state_json(at);
                let known = |id: &String| state.contains(&format!("\"{id}\""));
                engines.iter().all(|(id, _)| known(id)).then_some(())
            });
            let probe = CompletionRequest::new(KEY, "probe", 1);
            let other = CompletionRequest::new(OTHER_KEY, "probe", 1).route("letters");
            for (ask, pool) in [(probe, POOL), (other, OTHER_POOL)] {
                if engines.iter().any(|(_, p)| p == pool) {
                    wait_for("an answer to a probe", || {
                        let reply = ask.send(self.caller_addr(at)).ok()?;
                        (reply.status == 200).then_some(())
                    });
                }
            }
        }
    }

    /// The state dump of an instance, in JSON.
    pub(crate) fn state_json(&self, at: usize) -> String {
        let target = self.control_addr(at).to_string();
        self.run_command(&["state", "--json", "--target", &target])
            .unwrap_or_default()
    }

    /// Applies a catalogue file through any instance that accepts it.
    pub(crate) fn apply_catalogue(&self, text: &str) {
        let file = self.file("catalogue.toml");
        fs::write(&file, text).expect("write the catalogue");
        let file = file.display().to_string();
        wait_for("an accepted catalogue", || {
            (0..self.instances.len()).find_map(|at| {
                let target = self.control_addr(at).to_string();
                self.run_command(&["catalogue", "apply", "--target", &target, &file])
            })
        });
    }

    /// Runs the program's command line; its output when it exits with 0.
    pub(crate) fn run_command(&self, args: &[&str]) -> Option<String> {
        let output = Command::new(BINARY)
            .args(args)
            .env("LQ_OPERATOR_KEY_FILE", self.file("operator"))
            .stdin(Stdio::null())
            .output()
            .expect("run the command line");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        output.status.success().then_some(text)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
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
                WIDE,
                true,
            ),
            route(
                "narrow",
                "kouvertoura",
                "model = \"quote-7b\"",
                POOL,
                NARROW,
                true,
            ),
            route(
                "orders",
                "kouvertoura",
                "service = \"orders\"",
                POOL,
                WIDE,
                false,
            ),
            route(
                "letters",
                "fosseway",
                "model = \"quote-7b\"",
                OTHER_POOL,
                WIDE,
                true,
            ),
        ];
        [organisations.concat(), pools.concat(), routes.concat()].concat()
    }
}

const WIDE: &str = "requests = 100000, tokens = 10000000, concurrent = 10000, queued = 10000";
const NARROW: &str = "requests = 100000, tokens = 10000000, concurrent = 1, queued = 0";

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
