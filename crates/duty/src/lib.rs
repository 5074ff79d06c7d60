//! Duties: work that is done once for the whole fleet, by one owner at a time. Pure: no I/O, no clock; times are whole
//! tenths of a millisecond, handed in.
//!
//! [`Duties`] is told what the store says of members and claims, and says which claim to write or give next. [`Tenure`]
//! is what a steward knows of its own duty; only a [`Warrant`] made from it lets anything leave, and it can't outlive the
//! membership. [`Taker`] is the other end: whoever takes effects keeps the highest term and refuses lower ones.
//! `docs/design/duties.md` has the reasoning.

mod duties;
mod pace;
mod taker;
mod warrant;

pub use duties::{Claim, Duties, Member, Step};
pub use pace::Pace;
pub use ravenspar_sharing::{Life, Time};
pub use taker::{Refused, Taken, Taker};
pub use warrant::{Tenure, Warrant};

/// A claim's revision at the store: it only grows, from one owner of a duty to the next.
pub type Term = u64;

/// A duty's place among those that the settings name.
pub type Duty = usize;
