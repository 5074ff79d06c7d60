//! Days of work for the whole fleet: stewards and agents as processes, a store and a place where effects land, faults
//! between any two of them, and a judge that goes by what the store and the effects show.

mod day;
mod judge;
mod measure;
mod play;
mod troubles;

pub use day::WorkDay;
pub use measure::measure;
pub use play::play;
