//! Days with work for the whole fleet: stewards and site agents as processes, a store and an effects service, faults
//! between any two of them, and a judge that relies only on what the store and the effects service recorded.

mod day;
mod faults;
mod judge;
mod measure;
mod play;

pub use day::WorkDay;
pub use measure::measure;
pub use play::play;
