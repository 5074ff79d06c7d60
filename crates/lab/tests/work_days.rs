//! Days of work for the whole fleet: processes of the program and of agents, faults between any two of them, and a judge
//! that goes by what the store and the effects saw. They wait far more than they work, so they are played beside each
//! other.

mod common;

use common::{breaks, keeps_the_rules};

#[test]
fn thin() {
    keeps_the_rules("jobs-thin");
}

#[test]
fn an_owner_that_wakes_up_late_does_no_harm() {
    keeps_the_rules("duty-paused");
}

#[test]
fn stewards_that_die_before_their_claim_leaves() {
    keeps_the_rules("duty-killed-claim");
}

#[test]
fn stewards_that_die_once_their_claim_is_carried_out() {
    keeps_the_rules("duty-killed-claimed");
}

#[test]
fn owners_that_die_before_an_effect_leaves() {
    keeps_the_rules("duty-killed-effect");
}

#[test]
fn owners_that_die_once_an_effect_is_carried_out() {
    keeps_the_rules("duty-killed-effected");
}

#[test]
fn an_owner_cut_off_from_the_store() {
    keeps_the_rules("duty-cut-store");
}

#[test]
fn an_owner_that_reaches_the_store_alone() {
    keeps_the_rules("duty-cut-all-but-store");
}

#[test]
fn a_planned_restart_of_all() {
    keeps_the_rules("duty-roll");
}

#[test]
fn an_owner_that_crawls() {
    keeps_the_rules("duty-crawl");
}

#[test]
fn an_owner_cut_off_for_short_times_again_and_again() {
    keeps_the_rules("duty-flap");
}

#[test]
fn a_store_that_is_away() {
    keeps_the_rules("duty-store-away");
}

#[test]
fn a_store_that_is_late_and_loses_answers() {
    keeps_the_rules("duty-store-late");
}

#[test]
fn sites_cut_off() {
    keeps_the_rules("jobs-site-cut");
}

#[test]
fn an_agent_that_wakes_up_in_the_middle_of_an_effect() {
    keeps_the_rules("jobs-site-paused");
}

#[test]
fn sites_that_hear_or_are_heard_one_way() {
    keeps_the_rules("jobs-site-one-way");
}

#[test]
fn a_zone_that_is_lost() {
    keeps_the_rules("jobs-zone-lost");
}

#[test]
fn most_sites_cut_off_at_once() {
    keeps_the_rules("jobs-all-cut");
}

#[test]
fn outcomes_that_come_late() {
    keeps_the_rules("jobs-late-outcome");
}

#[test]
fn owners_killed_while_leases_end() {
    keeps_the_rules("jobs-owner-killed");
}

#[test]
fn owner_and_site_lost_in_the_same_second() {
    keeps_the_rules("jobs-steward-and-site");
}

#[test]
fn jobs_that_kill_and_jobs_that_fail() {
    keeps_the_rules("jobs-poison");
}

#[test]
fn agents_that_ignore_their_leases_and_forget_outcomes() {
    keeps_the_rules("jobs-ill-agent");
}

#[test]
fn jobs_that_are_cancelled() {
    keeps_the_rules("jobs-cancelled");
}

#[test]
fn uses_on_both_sides_of_a_split() {
    keeps_the_rules("debt-split");
}

#[test]
fn owners_that_die_in_the_middle_of_folding() {
    keeps_the_rules("debt-fold-killed");
}

#[test]
fn uses_said_often_late_and_out_of_order() {
    keeps_the_rules("debt-double");
}

#[test]
fn a_steward_that_returns_after_long() {
    keeps_the_rules("debt-returns");
}

#[test]
fn wall_clocks_that_are_off_and_jump() {
    keeps_the_rules("debt-clocks");
}

#[test]
fn a_user_that_floods() {
    keeps_the_rules("debt-flood");
}

#[test]
fn users_with_weights() {
    keeps_the_rules("debt-shares");
}

#[test]
fn users_without_a_ranking_take_turns() {
    keeps_the_rules("jobs-turns");
}

/// What the guide asks of whoever takes effects is needed: without it the same faults make steps land twice.
#[test]
fn a_taker_without_a_memory_is_none() {
    breaks("jobs-taker-without-memory", "J1 once");
}
