//! The control service as a program: settings, sockets, clocks, the record and the server list around the host core.

pub mod cli;
pub mod list;
mod list_store;
pub mod settings;
pub mod shared;
pub mod yaml;

mod assignment_batch;
mod core;
mod failpoint;
mod fleet;
mod logs;
mod members;
mod process;
mod recorder;
mod serve;
mod sharing;
mod state;
mod streams;
mod supervisor;
mod work;

pub use fleet::{query as query_fleet, Answer};

/// Prints a line on standard output. Write errors are ignored: a closed pipe is no reason to stop.
pub fn print_line(line: impl std::fmt::Display) {
    use std::io::Write as _;
    let _ = writeln!(std::io::stdout(), "{line}");
}
