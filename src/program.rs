//! Dispatch of the command line's subcommands.

use std::ffi::OsString;
use std::io::Write;

use clap::ArgMatches;

use crate::error::Result;
use crate::role::RoleSettings;
use crate::settings::Settings;
use crate::{cli, client, controller, entry, explain, instance, log};

/// Runs a role on the users' platform.
fn run_role(matches: &ArgMatches, run: fn(&RoleSettings) -> Result<()>) -> Result<()> {
    let _log_guard = log::init_role();
    run(&RoleSettings::from_matches(matches)?)
}

/// Runs the subcommand in the arguments and writes its output to `out`. Invalid arguments print
/// a usage text and exit the process with code 2.
///
/// # Errors
///
/// If the subcommand fails; see [`crate::Error::exit_code`].
///
/// # Panics
///
/// If the command line defines a subcommand that isn't handled here.
pub fn run(args: impl IntoIterator<Item = OsString>, out: &mut dyn Write) -> Result<()> {
    let matches = cli::command().get_matches_from(args);
    let (name, matches) = matches.subcommand().expect("clap requires a subcommand");
    match name {
        "serve" => instance::run(Settings::from_matches(matches)?),
        "entry" => run_role(matches, entry::run),
        "controller" => run_role(matches, controller::run),
        "check" => Settings::from_matches(matches).map(|_| ()),
        "catalogue" => client::catalogue(matches, out),
        "voters" => client::voters(matches, out),
        "state" => client::state(matches, out),
        "quarantine" => client::quarantine(matches, out),
        "explain" => explain::run(matches, out),
        "digest" => client::secret_digest(matches, out),
        "completions" => {
            let shell = matches
                .get_one::<clap_complete::Shell>("shell")
                .expect("clap requires it");
            clap_complete::generate(*shell, &mut cli::command(), "laburnumquay", out);
            Ok(())
        }
        other => unreachable!("the command line has no subcommand {other}"),
    }
}
