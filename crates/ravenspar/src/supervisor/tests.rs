use super::*;

async fn fails(fault: bool) {
    assert!(!fault, "a fault");
}

#[tokio::test]
async fn a_task_that_fails_is_told_and_one_that_ends_or_is_ended_is_not() {
    let (told, mut queue) = mpsc::channel(1);
    let over = |why: String| why;
    watched("a renewal", fails(false), told.clone(), over);
    watched("a word to the store", std::future::pending(), told.clone(), over).abort();
    watched("a step", fails(true), told, over);
    let why = queue.recv().await.expect("the fault is told");
    assert!(why.starts_with("a step has failed"), "{why}");
    assert!(queue.recv().await.is_none(), "nothing else was told");
}
