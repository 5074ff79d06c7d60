use super::*;

async fn fails(fault: bool) {
    assert!(!fault, "a fault");
}

#[tokio::test]
async fn a_task_that_fails_ends_the_life_and_one_that_ends_or_is_ended_does_not() {
    let (events, mut queue) = mpsc::channel(1);
    watched("a renewal", fails(false), events.clone());
    watched("a word to the store", std::future::pending(), events.clone()).abort();
    watched("a step", fails(true), events);
    let told = queue.recv().await;
    assert!(matches!(&told, Some(Event::Over(why)) if why.starts_with("a step has failed")), "{told:?}");
    assert!(queue.recv().await.is_none(), "nothing else was told");
}
