use super::*;

#[tokio::test]
async fn the_end_of_a_source_is_an_error_after_the_queued_notifications() {
    let (sender, mut notifications) = mpsc::channel(1);
    sender.send(Notification::Failed("not now".to_owned())).await.expect("the receiver is open");
    drop(sender);
    assert!(
        matches!(next(&mut notifications).await, Ok(Notification::Failed(_))),
        "notifications that were sent before the end are received first"
    );
    assert!(matches!(next(&mut notifications).await, Err(CommandError::Failed(_))));
}
