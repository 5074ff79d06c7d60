//! Leader election for duties: work that is done once for the whole fleet, by one steward at a time. Pure: no I/O and
//! no clock; the caller passes in the times.
//!
//! [`Duties`] reads members and claims from snapshots of the store and decides which claim to write or hand
//! over next. [`Leadership`] is a steward's own claim of a duty. Every effect needs a [`Permit`] made from it,
//! which can't outlive the membership. [`EffectReceiver`] is the receiving end: it keeps the highest term of each
//! duty and refuses effects under lower ones. `docs/design/duties.md` has the reasoning.

mod duties;
mod effect_receiver;
mod pace;
mod permit;

pub use duties::{Claim, Duties, Member, Step};
pub use effect_receiver::{EffectOutcome, EffectReceiver, Refused};
pub use pace::Pace;
pub use permit::{Leadership, Permit};
pub use ravenspar_sharing::{Incarnation, Time};

/// The store revision of a duty's claim. It grows with each new leader of the duty.
pub type Term = u64;

/// A duty's index among the configured duties.
pub type Duty = usize;
