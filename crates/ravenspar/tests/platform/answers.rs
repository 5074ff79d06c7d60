//! Answers of the relay that are cut off, late or doubled.

use ravenspar_standin::platform::Fault;

use crate::harness::*;

#[tokio::test]
async fn a_call_completes_whatever_cuts_its_answer_off() {
    let (relay, discovery, _, _steward) = start_serving().await;
    use Fault::{AnswerThenClose, Broken, ByteByByte, Duplicated, Reset, Torn};
    for fault in [Torn, Reset, ByteByByte, AnswerThenClose, Broken, Duplicated] {
        relay.inject(&[fault]);
        move_all_slices(&relay, &discovery, "A", "B").await;
        relay.inject(&[fault, fault]);
        move_all_slices(&relay, &discovery, "B", "A").await;
    }
}

#[tokio::test]
async fn a_duplicate_answer_is_not_taken_for_the_next_call() {
    let (relay, discovery, _, _steward) = start_serving().await;
    relay.inject(&[Fault::Duplicated, Fault::Duplicated, Fault::Duplicated]);
    move_all_slices(&relay, &discovery, "A", "B").await;
    // A call that is sent again has a mark of its own, so the revokes show it.
    let orders = relay.with(|state| state.orders.clone());
    let revokes = orders.iter().filter(|order| order["verb"] == "clear").count();
    assert_eq!(revokes, 2, "a call was sent again: {orders:?}");
}

#[tokio::test]
async fn an_answer_after_the_timeout_changes_nothing() {
    let (relay, discovery, _, _steward) = start_serving().await;
    relay.inject(&[Fault::Held, Fault::Held]);
    discovery.set("A", "leaving");
    // The second call is a retry: the first timed out, and its answer arrives while the second waits for its
    // own.
    wait_until(&relay, |state| state.calls == 2).await;
    relay.release();
    relay.release();
    wait_until(&relay, |state| all_slices_at(state, "B")).await;
    relay.with(|state| assert_moves_revoke_first(state));
}
