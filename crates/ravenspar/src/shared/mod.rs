//! Sharing of slices between stewards: a steward's membership in the shared store, and the transactions by which
//! slices are assigned to stewards.

mod rows;
mod session;
mod store;

pub use rows::{decode_incarnation, encode_incarnation, Keys, Member};
pub use session::{Event, JoinParams, MemberSession, Origin, EARLY_EXPIRY_GRACE};
pub use store::{history_error, read_slices, snapshot, with_duties, Snapshot};

#[cfg(test)]
mod tests;
