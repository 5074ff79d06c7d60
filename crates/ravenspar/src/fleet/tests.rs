use super::*;

#[tokio::test]
async fn the_end_of_the_task_is_reported_after_the_queued_events() {
    let ((commands, _), (snapshots, view), (hints_tx, hints)) =
        (mpsc::channel(1), watch::channel(ViewSnapshot::default()), mpsc::channel(1));
    let mut fleet = Fleet { commands, view, hints };
    hints_tx.send((1, 7)).await.expect("the queue has capacity");
    let failed = tokio::spawn(async move {
        let _held = (snapshots, hints_tx);
        panic!("injected panic in the view");
    });
    assert!(failed.await.is_err());
    let timeout = std::time::Duration::from_secs(60);
    let mut events = Vec::new();
    for _ in 0..2 {
        let event = tokio::time::timeout(timeout, fleet.next_event()).await.expect("an event in time");
        events.push(matches!(event, FleetEvent::Ended));
    }
    assert_eq!(events, [false, true]);
}
