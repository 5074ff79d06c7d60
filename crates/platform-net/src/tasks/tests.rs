use super::*;

async fn fails(should_fail: bool) {
    assert!(!should_fail, "an injected fault");
}

#[tokio::test]
async fn next_exit_reports_a_panic_or_a_return_without_waiting_for_other_tasks() {
    for (should_fail, expected) in [(true, "panicked"), (false, "the task of the list has ended")] {
        let mut tasks = Tasks::default();
        tasks.spawn("listener", std::future::pending());
        tasks.spawn("list", fails(should_fail));
        let reason = tasks.next_exit().await;
        assert!(reason.contains(expected), "{reason}");
    }
}
