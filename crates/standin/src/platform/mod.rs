//! The platform's relay and discovery as the platform front meets them, with the troubles that tests ask for.

mod discovery;
mod relay;

pub use discovery::{Discovery, ListFault};
pub use relay::{Fault, Relay, Said};
