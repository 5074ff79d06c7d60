//! Copies of what the stewards share, kept by the stewards themselves: a replicated log of orders, and the keys that it
//! yields. Pure: no I/O, no clock, seeded chance; times are whole tenths of a millisecond, handed in.
//!
//! [`Copy`] is one copy's part of the log: who leads, what is committed, who has a vote. [`State`] is what the orders of the
//! log come to: keys with revisions, bound to leases. [`Keeper`] is both together, with the requests that wait for them.
//! `docs/design/replication.md` has the reasoning.

mod copy;
mod keeper;
mod log;
mod members;
pub mod state;

pub use copy::{Act, Copy, Hard, Message, Output, Settings, Switches};
pub use keeper::{Answer, Effect, Keeper, Request, Token};
pub use log::{Body, Entry, Hash, Log};
pub use members::{Member, Members};
pub use state::State;

/// In whole tenths of a millisecond.
pub type Time = i64;

/// One copy: drawn when its files are made, so that an empty disk under an old name is another copy.
pub type Id = u64;

/// A leader's time; at most one copy leads in each.
pub type Term = u64;

/// A place in the log; the first is 1.
pub type Index = u64;
