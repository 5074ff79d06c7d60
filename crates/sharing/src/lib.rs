//! Assignment of slices to stewards. Pure: no I/O, no clock.
//!
//! [`Fleet`] receives the contents of the shared store and the outcomes of its own steps, and returns the next step:
//! take over slices whose steward is gone, hand over slices so that shares are even, or serve slices that were handed
//! over to it. [`membership::Membership`] tracks how long a steward may rely on its own membership.
//! `docs/design/sharing.md` explains the design.

mod fleet;
pub mod membership;
pub mod resting;
pub mod shares;
pub mod steward_count;

pub use fleet::{Fleet, Step};

/// A point in time or a duration, in units of 0.1 ms.
pub type Time = i64;

/// One incarnation of a steward, from joining the fleet until its membership ends: the id of its lease at the store,
/// which all stewards know it by.
pub type Incarnation = u64;
