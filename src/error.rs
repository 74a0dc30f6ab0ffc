//! The crate's error type and the exit codes that go with it.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// Anything that ends a command early. Each message names the remedy.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Settings are missing or contradict each other.
    #[snafu(display("{} in the settings:\n{}", count(faults), faults.join("\n")))]
    Settings {
        /// Each fault with its remedy.
        faults: Vec<String>,
    },
    /// An address can't be listened on.
    #[snafu(display("can't listen on {addr} for {role} ({source}); free it or set another"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the address is for.
        role: &'static str,
        /// Why.
        source: std::io::Error,
    },
    /// A file can't be read.
    #[snafu(display("can't read {} ({source}); check the path and its mode", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A catalogue file doesn't parse.
    #[snafu(display("{} isn't a catalogue ({reason}); see docs/CONFIGURATION.md", path.display()))]
    CatalogueFile {
        /// The file.
        path: PathBuf,
        /// Where and why.
        reason: String,
    },
    /// An instance didn't answer.
    #[snafu(display("no answer from {target} ({reason}); is the instance running there?"))]
    Unreachable {
        /// Address asked.
        target: String,
        /// Why.
        reason: String,
    },
    /// An instance refused.
    #[snafu(display("{target} answered {status}: {message}"))]
    Refused {
        /// Address asked.
        target: String,
        /// HTTP status.
        status: u16,
        /// The instance's own words.
        message: String,
    },
    /// A part of the instance couldn't start.
    #[snafu(display("can't start the {part}: {reason}"))]
    Start {
        /// Name of the part.
        part: &'static str,
        /// Why, with the remedy.
        reason: String,
    },
    /// A part that the instance can't do without has failed.
    #[snafu(display("the {part} failed; read the log before it and start the instance again"))]
    Failed {
        /// Name of the part.
        part: String,
    },
    /// Output can't be written.
    #[snafu(display("can't write the output ({source}); is the reader gone?"))]
    Output {
        /// Why.
        source: std::io::Error,
    },
}

fn count(faults: &[String]) -> String {
    match faults.len() {
        1 => "1 fault".to_owned(),
        n => format!("{n} faults"),
    }
}

/// Exit code of a command that did what it was asked.
pub const EXIT_OK: u8 = 0;

impl Error {
    /// Exit code: 2 for settings, 3 for an instance that can't be reached,
    /// 4 for a refusal, 1 for the rest.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings { .. } | Self::CatalogueFile { .. } => 2,
            Self::Unreachable { .. } => 3,
            Self::Refused { .. } => 4,
            _ => 1,
        }
    }
}

/// A result with the crate's error.
pub type Result<T, E = Error> = std::result::Result<T, E>;
