use super::*;

fn clear(slice: usize) -> (Order, String) {
    (Order::DropLines { slice }, format!(r#"{{"verb":"clear","cluster":{slice}}}"#))
}

fn stamp(number: u16) -> (Order, String) {
    (Order::Mark { number }, format!(r#"{{"verb":"mark","nonce_out":{number},"flag":1}}"#))
}

fn answer_line(id: u64, accepted: u64) -> String {
    format!(r#"{{"jsonrpc":"2.0","id":{id},"result":{{"ok_count":{accepted}}}}}"#)
}

/// The slices and marks that a call names, in order.
fn slices_and_marks(line: &str) -> Vec<u64> {
    let call: Value = serde_json::from_str(line).expect("calls are JSON");
    let changes = call["params"]["changes"].as_array().expect("calls have changes").iter();
    changes.map(|c| c["cluster"].as_u64().or(c["nonce_out"].as_u64()).expect("a slice or a mark")).collect()
}

fn queue(slices: &[usize]) -> Calls {
    let mut calls = Calls::default();
    calls.push(slices.iter().map(|&slice| clear(slice)).chain([stamp(905)]));
    calls
}

#[test]
fn a_call_without_an_answer_is_resent_whole_before_later_calls() {
    let mut calls = queue(&[1, 2]);
    calls.push([clear(3)].into_iter());
    assert_eq!(slices_and_marks(&calls.next(0).expect("the first call")), [1, 2, 905]);
    assert_eq!(calls.next(0), None, "one at a time");
    assert_eq!(calls.lost(10, true), LostCall::OutcomeUnknown);
    assert_eq!(slices_and_marks(&calls.next(10).expect("an immediate retry")), [1, 2, 905]);
    assert_eq!(calls.lost(20, true), LostCall::OutcomeUnknown);
    assert_eq!(calls.next(20), None, "the second retry is delayed");
    assert_eq!(slices_and_marks(&calls.next(20 + RETRY_DELAY).expect("a delayed retry")), [1, 2, 905]);
    assert!(
        matches!(calls.answered(1200, answer_line(3, 3).as_bytes()), AnswerOutcome::Applied(done, None) if done.len() == 3)
    );
    assert_eq!(slices_and_marks(&calls.next(1200).expect("the next call")), [3]);
}

#[test]
fn a_refused_order_is_dropped_and_the_rest_is_sent() {
    let mut calls = queue(&[1, 2, 3]);
    calls.next(0);
    let settled = calls.answered(5, answer_line(1, 1).as_bytes());
    let expected = AnswerOutcome::Applied(vec![clear(1).0], Some(clear(2).0));
    assert_eq!(settled, expected);
    assert_eq!(slices_and_marks(&calls.next(5).expect("the rest of the call")), [3, 905]);
    assert_eq!(
        calls.answered(9, answer_line(2, 2).as_bytes()),
        AnswerOutcome::Applied(vec![clear(3).0, stamp(905).0], None)
    );
    assert!(calls.settled());
}

#[test]
fn invalid_answers_settle_nothing() {
    let mut calls = queue(&[1, 2]);
    calls.next(0);
    for line in [
        "",
        "{",
        r#"{"jsonrpc":"2.0","id":1}"#,
        r#"{"id":1,"result":{}}"#,
        r#"{"id":1,"result":{"ok_count":4}}"#,
        r#"{"id":1,"result":{"ok_count":-1}}"#,
        r#"{"id":1,"result":{"ok_count":"3"}}"#,
        r#"{"id":2,"result":{"ok_count":3}}"#,
    ] {
        assert_eq!(calls.answered(1, line.as_bytes()), AnswerOutcome::Unreadable, "{line}");
    }
    assert_eq!(calls.unsettled(), 3);
}

#[test]
fn a_rejected_call_is_retried_later_in_its_place() {
    let mut calls = queue(&[1]);
    calls.next(0);
    let refused = br#"{"jsonrpc":"2.0","id":1,"error":{"code":-32000,"message":"Throttling"}}"#;
    assert_eq!(calls.answered(5, refused), AnswerOutcome::Rejected);
    assert_eq!((calls.next(5), calls.next_timeout(true)), (None, Some(5 + RETRY_DELAY)));
    assert_eq!(slices_and_marks(&calls.next(5 + RETRY_DELAY).expect("a retry")), [1, 905]);
}

#[test]
fn orders_for_an_unassigned_slice_are_dropped() {
    let mut calls = queue(&[1, 2]);
    calls.next(0);
    calls.drop_slice(1);
    let pending: Vec<Order> = calls.pending().cloned().collect();
    assert_eq!(pending, [clear(2).0, stamp(905).0], "a dropped order is not pending");
    calls.lost(1, true);
    assert_eq!(slices_and_marks(&calls.next(1).expect("a retry")), [2, 905]);
    assert!(
        matches!(calls.answered(2, answer_line(2, 2).as_bytes()), AnswerOutcome::Applied(done, None) if done.len() == 2)
    );
}

#[test]
fn a_long_decision_is_split_into_calls_in_order() {
    let mut calls = Calls::default();
    calls.push((0..4_000).map(clear));
    let (mut all, mut id) = (Vec::new(), 0);
    while let Some(line) = calls.next(0) {
        assert!(line.len() < 60_000);
        let slices = slices_and_marks(&line);
        id += 1;
        calls.answered(0, answer_line(id, slices.len() as u64).as_bytes());
        all.extend(slices);
    }
    assert!(id > 1 && all == (0..4_000).collect::<Vec<u64>>());
}

fn level(share: f64) -> (Order, String) {
    let text = format!(r#"{{"verb":"admit","cluster":1,"routes":["write"],"admit":{share}}}"#);
    (Order::SetLevel { slice: Some(1), kinds: 2, share }, text)
}

/// While the subscription is not live a level is no protection: the slice may be assigned to another steward, and the
/// store resets levels.
#[test]
fn levels_wait_for_the_snapshot_and_keep_their_order() {
    let mut calls = Calls::default();
    calls.push([level(0.4), level(0.0), clear(2), stamp(905)].into_iter());
    assert!(calls.prepare(false));
    assert_eq!(slices_and_marks(&calls.next(0).expect("the revoke")), [2, 905]);
    calls.answered(0, answer_line(1, 2).as_bytes());
    assert!(!calls.prepare(false));
    assert!(calls.prepare(true));
    let line = calls.next(0).expect("the levels");
    let (opening, closing) = (line.find(r#""admit":0.4"#), line.find(r#""admit":0}"#));
    assert!(opening.is_some() && opening < closing, "{line}");
}

fn grant(slice: usize) -> (Order, String) {
    let text = format!(r#"{{"verb":"share","cluster":{slice},"target":"B","rps":1.0}}"#);
    (Order::SetLine { slice, server: 1 }, text)
}

fn shut(slice: usize) -> (Order, String) {
    let text = format!(r#"{{"verb":"admit","cluster":{slice},"routes":["read","write"],"admit":0.0}}"#);
    (Order::SetLevel { slice: Some(slice), kinds: 3, share: 0.0 }, text)
}

/// The ledger has capacity for only a part of a repeated grant to a cold server: its level of 0 is sent with it.
#[test]
fn a_grant_and_its_level_stay_in_one_call() {
    let mut calls = Calls::default();
    calls.push([grant(1), shut(1), grant(2), shut(2), stamp(905)].into_iter());
    calls.next(0).expect("the first attempt");
    calls.lost(0, true);
    assert!(calls.prepare(true));
    // Capacity for three lines and a mark.
    calls.count(4, stamp(906));
    assert_eq!(slices_and_marks(&calls.next(SECOND).expect("the first part")), [1, 1, 906]);
}

/// The same if a decision is longer than a call may be.
#[test]
fn splitting_a_long_decision_keeps_each_grant_with_its_level() {
    let mut calls = Calls::default();
    calls.push((0..1_500).flat_map(|slice| [grant(slice), shut(slice)]));
    let (mut id, mut all) = (0, 0);
    while let Some(line) = calls.next(0) {
        assert!(line.len() < 60_000);
        let slices = slices_and_marks(&line);
        assert!(slices.chunks(2).all(|of| of.len() == 2 && of[0] == of[1]), "{slices:?}");
        (id, all) = (id + 1, all + slices.len());
        calls.answered(0, answer_line(id, slices.len() as u64).as_bytes());
    }
    assert!(id > 1 && all == 3_000);
}
