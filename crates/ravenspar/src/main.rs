//! The `ravenspar` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    ravenspar::cli::run(std::env::args_os())
}
