//! Tests of the decisions, by subject, and their shared helpers.

mod admission;
mod channel;
mod grants;
mod handoff;
mod inputs;
mod placement;
mod suspicion;

use super::state::*;
use super::*;
use crate::ListScope;

const LEASE: Time = 4 * SECOND;
const SETTLE: Time = 5 * SECOND;

/// Returns a steward with all slices owned by server 0 of `servers` ready ones, and with `proxies` joined.
fn steward(slices: usize, servers: usize, proxies: usize) -> Steward {
    steward_with_list(ListScope::Complete, slices, servers, proxies)
}

/// The same, with the servers known from a list of this scope.
fn steward_with_list(scope: ListScope, slices: usize, servers: usize, proxies: usize) -> Steward {
    let mut cfg = Settings::default();
    for (name, value) in [
        ("family_info.write_lease_s", "4"),
        ("family_info.settle_s", "5"),
        ("family_info.channel_rate", "3000"),
        ("family_info.pending_max", "6000"),
        ("family_info.fixed_cost", "10"),
        ("family_info.pushes_allowed", "12"),
        ("family_info.admit", "ratio"),
        ("classes.count", "2"),
        ("classes.0.worth", "1"),
        ("classes.1.worth", "2"),
        ("safety.cold_from", "0.2"),
        ("safety.cold_s", "10"),
        ("safety.fall_multiple", "2.5"),
    ] {
        cfg.set(name, value);
    }
    cfg.set("family_info.ranges", &slices.to_string());
    cfg.set("family_info.proxy_count", &proxies.to_string());
    let mut steward = Steward::new(0, 7, cfg).expect("all required settings are set");
    steward.list_begin(scope);
    (0..servers).for_each(|server| steward.list_entry(server, Health::Ready, 0));
    steward.list_end(scope);
    (0..proxies).for_each(|proxy| steward.proxy_joined(proxy, 0.0));
    for slice in 0..slices {
        steward.slice_assigned(0, slice);
        steward.line_recorded(0, slice, 0, 1.0);
    }
    steward
}

/// Hands in a change of one server.
fn list(steward: &mut Steward, server: usize, health: Health, boot: Time) {
    steward.list_begin(ListScope::Changes);
    steward.list_entry(server, health, boot);
    steward.list_end(ListScope::Changes);
}

/// Returns all orders at a time except reminders.
fn orders(steward: &mut Steward, now: Time) -> Vec<Order> {
    steward.decision_due = true;
    let all = std::iter::from_fn(|| steward.next_order(now));
    all.filter(|order| !matches!(order, Order::Remind { .. })).collect()
}

fn handing_off(slice: &Slice) -> bool {
    matches!(slice.state, State::HandingOff { .. })
}

/// Starts a hand-over of slice 0 under mark 1 that waits for these proxies.
fn hand_off(steward: &mut Steward, waiting: &[usize]) {
    steward.mark = 1;
    steward.slices[0].state = State::HandingOff { mark: 1, awaited_proxies: waiting.to_vec() };
}

fn settle(steward: &mut Steward, until: Time) {
    steward.slices[0].state = State::Settling { until };
}

fn owned(server: usize) -> State {
    State::Owned { server, restarted: false }
}

fn settling(slice: &Slice) -> bool {
    matches!(slice.state, State::Settling { .. })
}

fn choose_server(steward: &mut Steward, now: Time, slice: usize) -> Option<usize> {
    steward.rates_outdated = true;
    steward.update_totals(now);
    steward.choose_server(now, slice)
}

fn budget_level(steward: &mut Steward, now: Time) -> f64 {
    steward.rates_outdated = true;
    steward.update_totals(now);
    steward.budget_level(0)
}

fn try_reports(
    now: Time,
    count: f64,
    failed: f64,
    response_time: Time,
    util: Option<f64>,
) -> VecDeque<TryReport> {
    (0..4).map(|_| TryReport { at: now, count, failed, response_time, util }).collect()
}
