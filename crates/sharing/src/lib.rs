//! Which steward is in charge of which slice. Pure: no I/O, no clock; times are whole tenths of a millisecond.
//!
//! [`Fleet`] is told what the shared store says and what came of its own steps, and is then asked for the next step:
//! slices to take whose steward is gone, slices to give so that shares are even, slices that were given to it to serve.
//! [`membership::Membership`] says how long a steward may trust in its own place in the fleet. `docs/design/sharing.md`
//! has the reasoning.

pub mod counted;
mod fleet;
pub mod membership;
pub mod shares;
pub mod useful;

pub use fleet::{Fleet, Step};

/// In whole tenths of a millisecond.
pub type Time = i64;

/// One life of a steward, from when it became a member until it is one no more: the number of its lease at the store,
/// the same for all stewards.
pub type Life = u64;
