//! Dispatch of the program's commands.

use std::ffi::OsString;
use std::io::Write;

use clap::ArgMatches;

use crate::error::Result;
use crate::role::RoleSettings;
use crate::settings::Settings;
use crate::{cli, client, controller, entry, explain, instance, log};

/// Runs a role on the users' platform.
fn role(matches: &ArgMatches, run: fn(&RoleSettings) -> Result<()>) -> Result<()> {
    let _written = log::init_role();
    run(&RoleSettings::from_matches(matches)?)
}

/// Runs the command that the arguments name; output goes to `out`. Wrong
/// arguments print a usage text and exit with code 2.
///
/// # Errors
///
/// Whatever ended the command early; see [`crate::Error::exit_code`].
///
/// # Panics
///
/// When the command line defines a command that isn't carried out here.
pub fn run(args: impl IntoIterator<Item = OsString>, out: &mut dyn Write) -> Result<()> {
    let matches = cli::command().get_matches_from(args);
    let (name, matches) = matches.subcommand().expect("the command line demands one");
    match name {
        "serve" => instance::run(Settings::from_matches(matches)?),
        "entry" => role(matches, entry::run),
        "controller" => role(matches, controller::run),
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
                .expect("the command line demands it");
            clap_complete::generate(*shell, &mut cli::command(), "laburnumquay", out);
            Ok(())
        }
        other => unreachable!("the command line has no command {other}"),
    }
}
