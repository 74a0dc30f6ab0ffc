//! Definition of the command line.

use std::path::PathBuf;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, Command, value_parser};

/// Builds the command line of the program.
#[must_use]
pub fn command() -> Command {
    Command::new("laburnumquay")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes requests through model pipelines on mixed accelerators")
        .after_help(
            "Exit codes: 0 done, 1 failure, 2 wrong settings or file, 3 no answer, 4 refused.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve())
        .subcommand(role(
            "entry",
            "Run an entry instance on the users' platform until SIGTERM",
        ))
        .subcommand(role(
            "controller",
            "Run a controller on the users' platform until SIGTERM",
        ))
        .subcommand(check())
        .subcommand(catalogue())
        .subcommand(voters())
        .subcommand(state())
        .subcommand(explain())
        .subcommand(quarantine())
        .subcommand(digest())
        .subcommand(completions())
}

fn serve() -> Command {
    Command::new("serve")
        .about("Run one instance until SIGTERM, then let running answers end")
        .args(serve_settings())
}

fn check() -> Command {
    Command::new("check")
        .about("Check the settings of `serve`, name every fault, and exit")
        .args(serve_settings())
}

fn role(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).args(role_settings())
}

fn role_settings() -> Vec<Arg> {
    let boot = Arg::new("boot-file")
        .long("boot-file")
        .env(crate::platform::boot::PATH_VARIABLE)
        .help("Settings file that the platform writes");
    vec![
        file(boot).required(true),
        number(
            setting(
                "election-ms",
                "LQ_ELECTION_MS",
                "Least election timeout of the controllers",
            ),
            "600",
        ),
        number(
            setting(
                "poll-ms",
                "LQ_POLL_MS",
                "Period at which an entry instance asks a controller",
            ),
            "250",
        ),
        size(
            setting(
                "direct-entries",
                "LQ_DIRECT_ENTRIES",
                "Entry instances up to which the leading controller answers all of them itself",
            ),
            "300",
        ),
        setting(
            "max-connections",
            "LQ_MAX_CONNECTIONS",
            "Connections of clients at a time; unset, what memory and descriptors allow",
        )
        .value_parser(value_parser!(usize)),
        setting(
            "body-memory-mb",
            "LQ_BODY_MEMORY_MB",
            "Memory for bodies in MB; unset, a quarter of the memory",
        )
        .value_parser(value_parser!(usize)),
        setting(
            "metrics-port",
            "LQ_METRICS_PORT",
            "Port of this machine for metrics",
        )
        .value_parser(value_parser!(u16)),
    ]
}

/// Defines a flag that can also be set by an environment variable.
fn setting(name: &'static str, env: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).env(env).help(help)
}

fn number(arg: Arg, default: &'static str) -> Arg {
    arg.value_parser(value_parser!(u64)).default_value(default)
}

fn size(arg: Arg, default: &'static str) -> Arg {
    let parse = |text: &str| text.parse::<usize>().map_err(|e| e.to_string());
    arg.value_parser(parse).default_value(default)
}

fn address(arg: Arg) -> Arg {
    arg.value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(std::net::SocketAddr))
}

fn file(arg: Arg) -> Arg {
    arg.value_name("PATH").value_parser(value_parser!(PathBuf))
}

fn serve_settings() -> Vec<Arg> {
    vec![
        setting(
            "instance-id",
            "LQ_INSTANCE_ID",
            "Number of this instance, unique in the fleet",
        )
        .value_parser(value_parser!(u64))
        .required(true),
        setting("domain", "LQ_DOMAIN", "Failure domain of this instance").required(true),
        address(setting(
            "caller-addr",
            "LQ_CALLER_ADDR",
            "Address for callers",
        )),
        address(setting(
            "control-addr",
            "LQ_CONTROL_ADDR",
            "Address for operators and upstreams",
        )),
        address(setting(
            "peer-addr",
            "LQ_PEER_ADDR",
            "Address for other instances, TCP and UDP",
        )),
        setting(
            "peer-advertise",
            "LQ_PEER_ADVERTISE",
            "Address that other instances are told, if a relay stands before --peer-addr",
        )
        .value_name("IP:PORT")
        .value_parser(value_parser!(std::net::SocketAddr)),
        setting("voters", "LQ_VOTERS", "Initial voters on the catalogue")
            .value_name("ID=IP:PORT,...")
            .required(true),
        file(setting(
            "data-dir",
            "LQ_DATA_DIR",
            "Folder for a voter's state",
        )),
        file(setting(
            "fleet-key-file",
            "LQ_FLEET_KEY_FILE",
            "File with the secret that all instances share",
        ))
        .required(true),
        file(setting(
            "operator-key-file",
            "LQ_OPERATOR_KEY_FILE",
            "File with the operators' key",
        ))
        .required(true),
        number(
            setting(
                "lease-ms",
                "LQ_LEASE_MS",
                "Longest use of the catalogue after its last confirmation",
            ),
            "4000",
        ),
        number(
            setting(
                "poll-ms",
                "LQ_POLL_MS",
                "Period of confirming the catalogue",
            ),
            "500",
        ),
        number(
            setting(
                "election-ms",
                "LQ_ELECTION_MS",
                "Least election timeout of the voters",
            ),
            "600",
        ),
        number(
            setting(
                "drain-ms",
                "LQ_DRAIN_MS",
                "Longest wait for running answers after SIGTERM",
            ),
            "120000",
        ),
        size(
            setting(
                "max-body",
                "LQ_MAX_BODY",
                "Longest body of a request, in bytes",
            ),
            "1048576",
        ),
        size(
            setting(
                "max-head",
                "LQ_MAX_HEAD",
                "Longest head of a request, in bytes",
            ),
            "16384",
        ),
        number(
            setting(
                "receive-ms",
                "LQ_RECEIVE_MS",
                "Longest time for a caller to send its request",
            ),
            "10000",
        ),
        number(
            setting(
                "deadline-ms",
                "LQ_DEADLINE_MS",
                "Deadline of a request that names none",
            ),
            "60000",
        ),
        number(
            setting(
                "first-ms",
                "LQ_FIRST_MS",
                "Longest wait for the first token of an attempt",
            ),
            "5000",
        ),
        number(
            setting(
                "call-ms",
                "LQ_CALL_MS",
                "Longest wait for the answer of a plain service",
            ),
            "15000",
        ),
        number(
            setting(
                "idle-ms",
                "LQ_IDLE_MS",
                "Longest silence of an engine between two tokens",
            ),
            "2000",
        ),
        size(
            setting("workers", "LQ_WORKERS", "Threads for callers' connections"),
            "2",
        ),
        setting("json-logs", "LQ_JSON_LOGS", "Write logs as JSON lines").action(ArgAction::SetTrue),
    ]
}

/// Arguments of the commands that query or change a running instance.
fn client_args() -> Vec<Arg> {
    vec![
        setting("target", "LQ_TARGET", "Control address of an instance")
            .value_name("IP:PORT")
            .default_value("127.0.0.1:7002"),
        file(setting(
            "operator-key-file",
            "LQ_OPERATOR_KEY_FILE",
            "File with the operators' key",
        ))
        .required(true),
        Arg::new("json")
            .long("json")
            .action(ArgAction::SetTrue)
            .help("Print JSON"),
    ]
}

fn kind_arg() -> Arg {
    Arg::new("kind")
        .required(true)
        .value_parser(PossibleValuesParser::new(["organisation", "pool", "route"]))
        .help("Kind of the entry")
}

fn name_arg() -> Arg {
    Arg::new("name").required(true).help("Name of the entry")
}

fn change_id_arg() -> Arg {
    Arg::new("change-id")
        .long("change-id")
        .help("Id of the change; resend with the same id when an answer was lost")
}

fn expect_arg() -> Arg {
    Arg::new("expect")
        .long("expect")
        .value_name("REVISION")
        .value_parser(value_parser!(u64))
        .help("Refuse unless this revision is in force")
}

fn catalogue() -> Command {
    Command::new("catalogue")
        .about("Read and change the catalogue")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("list")
                .about("List all entries")
                .args(client_args()),
        )
        .subcommand(
            Command::new("get")
                .about("Print one entry with its revision")
                .args(client_args())
                .args([kind_arg(), name_arg()]),
        )
        .subcommand(
            Command::new("apply")
                .about("Add or replace the entries of a TOML file, all or none")
                .args(client_args())
                .args([change_id_arg(), expect_arg()])
                .arg(
                    Arg::new("file")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("TOML file with [[organisation]], [[pool]] and [[route]] tables"),
                ),
        )
        .subcommand(
            Command::new("retire")
                .about("Remove one entry")
                .args(client_args())
                .args([change_id_arg(), expect_arg(), kind_arg(), name_arg()]),
        )
        .subcommand(
            Command::new("history")
                .about("List recent changes with their outcomes, newest last")
                .args(client_args()),
        )
}

fn voters() -> Command {
    let instance = || {
        Arg::new("instance")
            .required(true)
            .value_parser(value_parser!(u64))
            .help("Number of the instance")
    };
    Command::new("voters")
        .about("Read and change who votes on the catalogue and keeps the claims")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("list")
                .about("List the voters, and the instances that ask to become one")
                .args(client_args()),
        )
        .subcommand(
            Command::new("add")
                .about("Add an instance that runs with a data folder, or its new folder")
                .args(client_args())
                .arg(instance()),
        )
        .subcommand(
            Command::new("remove")
                .about("Remove a voter")
                .args(client_args())
                .arg(instance()),
        )
}

fn state() -> Command {
    Command::new("state")
        .about("Dump the state of a running instance; holds no key and no caller's text")
        .args(client_args())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Gather what all instances logged of one request, and name its cause")
        .arg(
            Arg::new("id")
                .required(true)
                .help("Id of the request, as its client sent it"),
        )
        .arg(
            Arg::new("files")
                .num_args(1..)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Logs of the roles; standard input if none is given"),
        )
}

fn quarantine() -> Command {
    let controller = || {
        address(setting(
            "controller",
            "LQ_CONTROLLER",
            "Control address of a controller",
        ))
    };
    Command::new("quarantine")
        .about("List quarantined requests, or lift the quarantine of one")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("list")
                .about("List quarantined requests as JSON")
                .arg(controller()),
        )
        .subcommand(
            Command::new("lift")
                .about("Lift the quarantine of a request")
                .arg(controller())
                .arg(
                    Arg::new("fingerprint")
                        .required(true)
                        .help("Fingerprint of the request, as shown by `list` and in the logs"),
                ),
        )
}

fn digest() -> Command {
    Command::new("digest")
        .about("Print the SHA-256 digest of a secret file, as catalogue entries hold it")
        .arg(
            Arg::new("file")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("File with the secret; white space around it is left out"),
        )
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print completions for a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(clap_complete::Shell)),
        )
}
