//! The core in simulated time.

mod common;
mod faults;
mod settles;
mod switches;
mod wire;
