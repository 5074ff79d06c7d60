//! Days of duties and jobs: real stewards and agents with faults on the links between them, judged by what the store and
//! the effect receivers recorded. They mostly wait, so they run concurrently.

mod common;

use common::{breaks, keeps_the_rules};

#[test]
fn thin() {
    keeps_the_rules("jobs-thin");
}

#[test]
fn a_leader_that_resumes_late() {
    keeps_the_rules("duty-paused");
}

#[test]
fn stewards_that_die_before_their_claim_is_sent() {
    keeps_the_rules("duty-killed-claim");
}

#[test]
fn stewards_that_die_after_their_claim_is_executed() {
    keeps_the_rules("duty-killed-claimed");
}

#[test]
fn leaders_that_die_before_an_effect_is_sent() {
    keeps_the_rules("duty-killed-effect");
}

#[test]
fn leaders_that_die_after_an_effect_is_executed() {
    keeps_the_rules("duty-killed-effected");
}

#[test]
fn a_leader_cut_off_from_the_store() {
    keeps_the_rules("duty-cut-store");
}

#[test]
fn a_leader_that_reaches_only_the_store() {
    keeps_the_rules("duty-cut-all-but-store");
}

#[test]
fn a_planned_restart_of_all_stewards() {
    keeps_the_rules("duty-roll");
}

#[test]
fn a_leader_that_crawls() {
    keeps_the_rules("duty-crawl");
}

#[test]
fn a_leader_cut_off_repeatedly_for_short_times() {
    keeps_the_rules("duty-flap");
}

#[test]
fn an_unavailable_store() {
    keeps_the_rules("duty-store-away");
}

#[test]
fn a_store_with_delays_and_lost_responses() {
    keeps_the_rules("duty-store-late");
}

#[test]
fn sites_cut_off() {
    keeps_the_rules("jobs-site-cut");
}

#[test]
fn an_agent_that_resumes_in_the_middle_of_an_effect() {
    keeps_the_rules("jobs-site-paused");
}

#[test]
fn sites_with_one_way_links() {
    keeps_the_rules("jobs-site-one-way");
}

#[test]
fn a_lost_zone() {
    keeps_the_rules("jobs-zone-lost");
}

#[test]
fn most_sites_cut_off_at_once() {
    keeps_the_rules("jobs-all-cut");
}

#[test]
fn late_outcomes() {
    keeps_the_rules("jobs-late-outcome");
}

#[test]
fn leaders_killed_while_leases_expire() {
    keeps_the_rules("jobs-owner-killed");
}

#[test]
fn leader_and_site_lost_in_the_same_second() {
    keeps_the_rules("jobs-steward-and-site");
}

#[test]
fn poison_jobs_and_failing_jobs() {
    keeps_the_rules("jobs-poison");
}

#[test]
fn agents_that_ignore_their_leases_and_forget_outcomes() {
    keeps_the_rules("jobs-ill-agent");
}

#[test]
fn cancelled_jobs() {
    keeps_the_rules("jobs-cancelled");
}

#[test]
fn uses_on_both_sides_of_a_split() {
    keeps_the_rules("debt-split");
}

#[test]
fn leaders_that_die_while_folding() {
    keeps_the_rules("debt-fold-killed");
}

#[test]
fn uses_reported_repeatedly_late_and_out_of_order() {
    keeps_the_rules("debt-double");
}

#[test]
fn a_steward_that_returns_after_a_long_absence() {
    keeps_the_rules("debt-returns");
}

#[test]
fn wall_clocks_with_offsets_and_jumps() {
    keeps_the_rules("debt-clocks");
}

#[test]
fn a_user_that_floods_the_queue() {
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

/// Effect receivers must remember what they have executed, as the guide requires: without it the same faults make steps run
/// twice.
#[test]
fn an_effect_receiver_without_memory_executes_steps_twice() {
    breaks("jobs-taker-without-memory", "J1 once");
}
