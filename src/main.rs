//! The `laburnumquay` program: a thin wrapper around the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    match laburnumquay::run(std::env::args_os(), &mut std::io::stdout()) {
        Ok(()) => ExitCode::from(laburnumquay::EXIT_OK),
        Err(e) => {
            eprintln!("laburnumquay: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}
