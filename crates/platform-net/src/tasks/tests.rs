use super::*;

async fn fails(at: bool) {
    assert!(!at, "a fault");
}

#[tokio::test]
async fn a_task_that_ends_in_whatever_way_is_told_and_the_others_are_not_waited_for() {
    for (fault, told) in [(true, "panicked"), (false, "the task of the list has ended")] {
        let mut tasks = Tasks::default();
        tasks.spawn("listener", std::future::pending());
        tasks.spawn("list", fails(fault));
        let why = tasks.ended().await;
        assert!(why.contains(told), "{why}");
    }
}
