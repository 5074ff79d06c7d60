//! Runs many stewards on the simulator's wire: batches in on standard input, replies out on standard output.

mod wire;

use std::io::{self, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let out = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match wire::Drill::default().run(io::stdin().lock(), out, |error| {
        // A closed standard error is no reason to stop.
        let _ = writeln!(io::stderr(), "ravenspar-drill: {error}");
    }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(io::stderr(), "ravenspar-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
