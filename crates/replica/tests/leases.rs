//! Leases expire when no renewal comes, and only then.

mod common;

use common::Fleet;
use ravenspar_replica::state::Command;
use ravenspar_replica::{FeatureToggles, State, Time};

const SECOND: Time = 10_000;
const LEASE: u64 = 5;
const LEASE_SECONDS: u32 = 3;

/// A new leader does not know when the previous one last renewed a lease: it may have been a moment ago.
#[test]
fn a_new_leader_gives_each_lease_its_full_time() {
    for seed in 1..=10 {
        let full_time = Time::from(LEASE_SECONDS) * SECOND;
        let mut fleet = Fleet::new(seed, 3, FeatureToggles::default());
        fleet.run_until("three voters", |fleet| fleet.voters() == 3);
        let first = fleet.leader().expect("a leader");
        fleet.grant(first, LEASE, LEASE_SECONDS);
        fleet.run_until("the lease is granted", |fleet| fleet.has_lease(LEASE));
        fleet.run(full_time - SECOND / 2);
        assert!(fleet.has_lease(LEASE), "seed {seed}: expired before its time");
        fleet.kill(first);
        fleet.run_until("another leader", |fleet| fleet.leader().is_some());
        fleet.run(full_time - SECOND / 2);
        assert!(fleet.has_lease(LEASE), "seed {seed}: expired before its full time under the new leader");
        fleet.run(SECOND);
        assert!(!fleet.has_lease(LEASE), "seed {seed}: not expired after its full time");
    }
}

/// The leader proposed the expiry before it knew of a renewal that precedes it in the log.
#[test]
fn an_expiry_behind_a_renewal_that_it_did_not_know_of_has_no_effect() {
    let mut state = State::default();
    let grant = Command::GrantLease { lease: LEASE, seconds: LEASE_SECONDS };
    for command in [grant, Command::RenewLease { lease: LEASE }] {
        assert!(state.apply(&command.encode()).result.is_ok());
    }
    let expire = |renewals| Command::ExpireLease { lease: LEASE, renewals }.encode();
    assert!(state.apply(&expire(0)).result.is_err());
    assert!(state.leases.contains_key(&LEASE));
    assert!(state.apply(&expire(1)).result.is_ok());
    assert!(!state.leases.contains_key(&LEASE));
}
