//! A replicated key-value store that the stewards run themselves: a Raft log of commands and the state machine that applies
//! them. Sans-I/O: no I/O, no clock and a seeded random generator; the caller passes the current time in.
//!
//! [`Replica`] is one replica of the log: election, replication, commit and membership. [`State`] is the state machine: keys
//! with revisions, bound to leases. [`Node`] joins the two and tracks the requests that wait for a response.
//! `docs/design/replication.md` has the reasoning.

mod log;
mod members;
mod node;
mod replica;
pub mod state;

pub use log::{Body, Entry, Hash, Log};
pub use members::{Member, Members};
pub use node::{Effect, Node, Request, Response, Token};
pub use replica::{Action, FeatureToggles, HardState, Message, Output, Replica, Settings};
pub use state::State;

/// A point in time or a duration, in units of 0.1 ms.
pub type Time = i64;

/// Identifies a replica. Drawn at random when its files are created, so that a member that lost its disk comes back as a
/// new replica.
pub type Id = u64;

/// A Raft term; it has at most one leader.
pub type Term = u64;

/// The position of an entry in the log; the first is 1.
pub type Index = u64;
