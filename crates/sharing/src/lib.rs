//! Which steward is in charge of which slice. Pure: no I/O, no clock; times are whole tenths of a millisecond.
//!
//! What is here so far: even shares with the fewest moves ([`shares::moves`]), and how long a steward may trust in its
//! own membership ([`membership::Membership`]). The record of charges and taking over come on top of it.

pub mod membership;
pub mod shares;
