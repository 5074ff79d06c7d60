//! Days that test the view of the fleet alone: stewards without servers or clients, faults between any two of them, and a
//! judge of the datagrams between them and of the view that each showed.

mod day;
mod judge;
mod measure;
mod play;
mod waits;

pub use day::FleetDay;
pub use judge::Verdict;
pub use measure::measure;
pub use play::play;
