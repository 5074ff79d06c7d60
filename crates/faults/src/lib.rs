//! A library that tests preload into a process (`LD_PRELOAD`) to inject faults by a schedule: system calls on TCP sockets and
//! files fail as Linux documents that they may, and the wall clock is stepped. The program itself never loads it.
//!
//! [`SCHEDULE`] names the schedule's file, [`DELIVERED`] a file to which each injected fault is appended.

mod calls;
mod schedule;

pub use schedule::{Fault, Schedule};

/// The environment variable that names the schedule's file.
pub const SCHEDULE: &str = "RAVENSPAR_FAULTS";

/// The environment variable that names the file to which injected faults are appended.
pub const DELIVERED: &str = "RAVENSPAR_FAULTS_DELIVERED";
