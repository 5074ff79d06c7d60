//! Tests of the membership protocol in simulated time.

mod common;
mod faults;
mod measure;
mod pauses;
mod settles;
mod toggles;
mod wire;
