//! The control service as a program: settings, sockets, clocks, the record and the list around the host core.

pub mod cli;
pub mod list;
pub mod settings;
pub mod yaml;

mod clock;
mod logs;
mod recorder;
mod serve;
mod streams;
