//! The core in simulated time.

mod common;
mod faults;
mod measure;
mod settles;
mod switches;
mod wire;
