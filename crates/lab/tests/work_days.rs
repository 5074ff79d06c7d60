//! Days of work for the whole fleet: processes of the program and of agents, faults between any two of them, and a judge
//! that goes by what the store and the effects saw. They wait far more than they work, so they are played beside each
//! other.

mod common;

use common::keeps_the_rules;

#[test]
fn thin() {
    keeps_the_rules("jobs-thin");
}
