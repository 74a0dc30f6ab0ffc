//! Error type of the crate, and the exit codes of the program.

use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

/// Error that ends a command. Each message names the remedy.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// Settings are missing, invalid or contradictory.
    #[snafu(display("{} in the settings:\n{}", count(faults), faults.join("\n")))]
    Settings {
        /// Each fault with its remedy.
        faults: Vec<String>,
    },
    /// An address can't be bound.
    #[snafu(display("can't listen on {addr} for {role} ({source}); free it or set another"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Who connects to the address.
        role: &'static str,
        /// Cause.
        source: std::io::Error,
    },
    /// A file can't be read.
    #[snafu(display("can't read {} ({source}); check the path and its mode", path.display()))]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// A catalogue file can't be parsed.
    #[snafu(display("{} isn't a catalogue ({reason}); see docs/CONFIGURATION.md", path.display()))]
    CatalogueFile {
        /// The file.
        path: PathBuf,
        /// Position and cause.
        reason: String,
    },
    /// An instance sent no usable response.
    #[snafu(display("no answer from {target} ({reason}); is the instance running there?"))]
    Unreachable {
        /// Address of the instance.
        target: String,
        /// Cause.
        reason: String,
    },
    /// An instance refused the request.
    #[snafu(display("{target} answered {status}: {message}"))]
    Refused {
        /// Address of the instance.
        target: String,
        /// HTTP status.
        status: u16,
        /// Body of the response.
        message: String,
    },
    /// A component of the instance couldn't start.
    #[snafu(display("can't start the {part}: {reason}"))]
    Start {
        /// Name of the component.
        part: &'static str,
        /// Cause and remedy.
        reason: String,
    },
    /// A component that the instance requires has failed.
    #[snafu(display("the {part} failed; read the log before it and start the instance again"))]
    Failed {
        /// Name of the component.
        part: String,
    },
    /// Output can't be written.
    #[snafu(display("can't write the output ({source}); is the reader gone?"))]
    Output {
        /// Cause.
        source: std::io::Error,
    },
}

fn count(faults: &[String]) -> String {
    match faults.len() {
        1 => "1 fault".to_owned(),
        n => format!("{n} faults"),
    }
}

/// Exit code of a successful command.
pub const EXIT_OK: u8 = 0;

impl Error {
    /// Exit code: 2 for invalid settings or files, 3 for an instance that can't be reached, 4 for
    /// a refusal, 1 for everything else.
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

/// Result with the crate's error type.
pub type Result<T, E = Error> = std::result::Result<T, E>;
