//! The channel to the proxies: its budget, the lines that wait in it, and answers.

use super::*;

#[test]
fn the_budget_reserves_messages_for_drains_and_limits_waiting_lines() {
    let mut steward = steward(1, 1, 10);
    let update = |at, mark, lines| Update { at, lines, mark };
    steward.updates = (1..=9).map(|mark| update(SECOND, mark, 0.0)).collect();
    assert_eq!(steward.available_lines(9 * SECOND, 0).0, 0);
    assert!(steward.available_lines(9 * SECOND, 1).0 > 0);
    steward.updates.extend((10..=12).map(|mark| update(SECOND, mark, 0.0)));
    assert_eq!(steward.available_lines(9 * SECOND, 1).0, 0);
    steward.updates = VecDeque::from([update(0, 1, 540.0)]);
    steward.mark = 1;
    steward.proxies.iter_mut().for_each(|proxy| proxy.written_mark = 1);
    assert_eq!(steward.available_lines(5 * SECOND, 1).0, 0);
    // One answer frees that proxy's lines only: 54 per proxy, less header and mark.
    steward.mark_answered(SECOND, 0, 1);
    assert_eq!(steward.available_lines(5 * SECOND, 1).0, 43);
}

#[test]
fn the_bound_of_waiting_lines_falls_at_the_slowest_rate_while_answers_may_be_missed() {
    let mut steward = steward(1, 1, 10);
    let waiting = |steward: &mut Steward, now: Time| {
        steward.available_lines(now, 1);
        steward.waiting().lines
    };
    steward.updates = VecDeque::from([Update { at: SECOND, lines: 300.0, mark: 1 }]);
    steward.mark = 1;
    steward.proxies.iter_mut().for_each(|proxy| proxy.written_mark = 1);
    assert_eq!(waiting(&mut steward, 3 * SECOND), 3_000.0, "answers are expected");
    // 3000 lines per second as configured, 600 at the slowest.
    steward.notifications_interrupted();
    assert_eq!(waiting(&mut steward, 3 * SECOND), 1_800.0);
    assert_eq!(waiting(&mut steward, 7 * SECOND), 0.0);
    steward.updates.push_back(Update { at: 7 * SECOND, lines: 60.0, mark: 2 });
    steward.proxies.iter_mut().for_each(|proxy| proxy.written_mark = 2);
    assert_eq!(
        waiting(&mut steward, 8 * SECOND),
        0.0,
        "idle time earns no credit, and these lines have been sent"
    );
    assert_eq!(waiting(&mut steward, 7 * SECOND + SECOND / 2), 300.0);
}

/// Returns a steward with 10 proxies whose notifications resume at this time, just after a message with `lines` was written.
fn resumed_after_a_gap(now: Time, lines: f64) -> Steward {
    let mut steward = steward(1, 1, 10);
    steward.updates = VecDeque::from([Update { at: now, lines, mark: 1 }]);
    steward.mark = 1;
    steward.proxies.iter_mut().for_each(|proxy| proxy.written_mark = 1);
    steward.notifications_interrupted();
    steward.notifications_resumed(now);
    steward.joined_proxies_received(now);
    steward
}

#[test]
fn one_probe_after_a_gap_shows_what_waits_in_a_full_channel() {
    let tenths = |tenths: Time| 5 * SECOND + tenths * SECOND / 10;
    let mut steward = resumed_after_a_gap(tenths(0), 595.0);
    // 600 lines per proxy may wait; a header and the mark are 11.
    assert_eq!(orders(&mut steward, tenths(0)), [], "it would exceed the limit");
    assert_eq!(orders(&mut steward, tenths(3)), [Order::Mark { number: 2 }], "18 have left by now");
    assert_eq!(orders(&mut steward, tenths(9)), [], "one probe is enough");
    assert_eq!(steward.available_lines(tenths(9), 1).0, 0);
    steward.mark_answered(tenths(10), 3, 2);
    assert!(
        steward.available_lines(tenths(10), 1).0 > 0,
        "nothing earlier waits after an answer from any proxy"
    );
}

#[test]
fn the_bound_of_waiting_lines_starts_at_the_last_answer() {
    let mut steward = steward(1, 1, 10);
    let update = |at, mark| Update { at, lines: 300.0, mark };
    steward.updates = VecDeque::from([update(SECOND, 1), update(2 * SECOND, 2), update(3 * SECOND, 3)]);
    steward.mark = 3;
    steward.proxies.iter_mut().for_each(|proxy| proxy.written_mark = 3);
    let waiting = |steward: &mut Steward, now: Time| {
        steward.available_lines(now, 1);
        steward.waiting().lines
    };
    steward.mark_answered(4 * SECOND, 0, 3);
    steward.outcome_unknown(4 * SECOND);
    // Updates before the answered one don't count. 600 lines per second at the slowest.
    assert_eq!(waiting(&mut steward, 4 * SECOND), 3_000.0);
    assert_eq!(waiting(&mut steward, 7 * SECOND), 1_200.0);
    assert_eq!(waiting(&mut steward, 9 * SECOND), 0.0);
}

#[test]
fn a_channel_with_capacity_is_not_probed() {
    let mut steward = resumed_after_a_gap(5 * SECOND, 20.0);
    assert_eq!(orders(&mut steward, 6 * SECOND), []);
}

#[test]
fn less_than_a_headers_worth_waits_for_capacity_unless_it_is_all_there_is() {
    let mut steward = steward(1, 1, 10);
    // 6000 lines may wait for 10 proxies: with 5300 of them waiting 9 are free for urgent lines; a header is 11.
    steward.updates = VecDeque::from([Update { at: 0, lines: 520.0, mark: 1 }]);
    steward.proxies.iter_mut().for_each(|proxy| proxy.written_mark = 1);
    assert_eq!(steward.available_lines(5 * SECOND, 30), (0, 0));
    assert_eq!(steward.available_lines(5 * SECOND, 9), (9, 0));
}

#[test]
fn urgent_revokes_come_first_and_may_use_all_available_lines() {
    let mut steward = steward(80, 2, 100);
    (0..40).for_each(|s| steward.slices[s].state = State::Settling { until: 0 });
    list(&mut steward, 0, Health::Draining, 0);
    // 6000 lines may wait: 0.9 of them for 100 proxies, less 10 lines of header and the mark each, leave 43.
    let orders = orders(&mut steward, SECOND);
    assert!(orders[..40].iter().all(|order| matches!(order, Order::DropLines { .. })));
    assert_eq!(orders.len(), 41, "grants wait for ordinary capacity");
}

#[test]
fn messages_of_a_burst_of_drains_are_spread_over_the_window() {
    let mut steward = steward(1, 1, 10);
    let update = |at, mark| Update { at, lines: 0.0, mark };
    steward.updates = (1..=8).map(|mark| update(SECOND, mark)).collect();
    // A twelfth of the window later, so that one more update is always possible soon.
    assert_eq!(steward.available_lines(SECOND + SECOND / 2, 1).0, 0);
    assert!(steward.available_lines(2 * SECOND, 1).0 > 0);
}

#[test]
fn without_slices_a_leaving_server_is_withdrawn_and_put_back() {
    let mut steward = steward(0, 2, 1);
    list(&mut steward, 0, Health::Draining, 0);
    assert_eq!(orders(&mut steward, SECOND)[0], Order::Withdraw { server: 0, out: true });
    list(&mut steward, 0, Health::Ready, 2 * SECOND);
    assert_eq!(orders(&mut steward, 3 * SECOND)[0], Order::Withdraw { server: 0, out: false });
}

#[test]
fn a_proxy_reported_again_gets_a_new_mark_and_its_waiting_lines_still_count() {
    let mut steward = steward(2, 2, 1);
    list(&mut steward, 0, Health::Draining, 0);
    assert_eq!(orders(&mut steward, 1).last(), Some(&Order::Mark { number: 1 }));
    let before = steward.available_lines(SECOND, 1);
    steward.proxy_joined(0, 0.0);
    assert_eq!(steward.available_lines(SECOND, 1), before);
    assert_eq!(orders(&mut steward, 2 * SECOND), [Order::Mark { number: 2 }]);
    // It may have rejoined before or after the last message was written: lines that may wait for it still count, until
    // another proxy answers a later mark or the channel is idle.
    let full = steward.available_lines(3 * SECOND, 1);
    steward.proxy_disconnected(2 * SECOND, 0);
    steward.proxy_joined(0, 0.0);
    assert_eq!(steward.available_lines(3 * SECOND, 1), full);
    steward.notification_received(2 * SECOND);
    assert_eq!(steward.available_lines(3 * SECOND, 1), full);
    steward.notification_received(3 * SECOND);
    steward.notification_received(4 * SECOND);
    assert!(steward.available_lines(4 * SECOND, 1).0 > before.0);
}

#[test]
fn a_disconnected_proxy_counts_as_a_receiver_until_another_answers() {
    let mut steward = steward(2, 2, 2);
    steward.proxy_disconnected(1, 1);
    let empty = steward.available_lines(1, 1).0;
    list(&mut steward, 0, Health::Draining, 0);
    let written = orders(&mut steward, 1).len();
    // It may have joined before the message was written; its joining would be reported before any answer to the message.
    assert_eq!(steward.pending_proxies(1), 2.0);
    steward.mark_answered(2, 0, 1);
    assert_eq!(steward.pending_proxies(1), 0.0);
    assert_eq!(steward.available_lines(SECOND, 1).0, empty, "{written} lines have left the channel");
    // A joining reported after the answer was after the message; if reported before, the proxy may have received it.
    steward.proxy_joined(1, 0.0);
    assert_eq!(steward.pending_proxies(1), 0.0);
}

#[test]
fn a_proxy_reported_between_a_message_and_its_first_answer_counts_as_a_receiver() {
    let mut steward = steward(2, 2, 2);
    steward.proxy_disconnected(1, 1);
    list(&mut steward, 0, Health::Draining, 0);
    orders(&mut steward, 1);
    steward.proxy_joined(1, 0.0);
    steward.mark_answered(2, 0, 1);
    assert_eq!(steward.pending_proxies(1), 1.0);
    // Any proxy's answer to a later mark clears it: messages leave the channel in order.
    steward.decision_due = true;
    steward.slices[0].state = State::HandingOff { mark: 2, awaited_proxies: vec![0, 1] };
    steward.record_update(SECOND, 1.0);
    steward.mark = 2;
    steward.mark_answered(2 * SECOND, 0, 2);
    assert_eq!(steward.pending_proxies(1), 0.0);
}

#[test]
fn a_gap_in_the_notifications_is_no_idle_channel() {
    let mut steward = steward(2, 2, 2);
    steward.proxy_disconnected(1, 1);
    list(&mut steward, 0, Health::Draining, 0);
    orders(&mut steward, 1);
    steward.notification_received(30 * SECOND);
    assert_eq!(steward.pending_proxies(1), 2.0, "answers may still arrive");
    (31..35).for_each(|second| steward.notification_received(second * SECOND));
    assert_eq!(steward.pending_proxies(1), 1.0, "the joined proxy has yet to answer");
}

#[test]
fn orders_are_sent_again_only_within_the_permitted_number_of_messages() {
    let mut steward = steward(2, 2, 1);
    let resent = (0..40)
        .filter(|&quarter_seconds| {
            steward.resend(1 + quarter_seconds * SECOND / 4, 3).is_some_and(|resend| resend.orders == 3)
        })
        .count();
    assert_eq!(resent, 12);
    assert_eq!(steward.resend(20 * SECOND, 3).map(|resend| resend.orders), Some(3));
}
