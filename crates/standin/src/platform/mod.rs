//! The platform's relay and discovery as its clients see them, with injected faults.

mod discovery;
mod relay;

pub use discovery::{host, Discovery, ListFault};
pub use relay::{Fault, Relay, RelayState};
