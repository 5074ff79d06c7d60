use super::*;

fn assigned(slice: usize) -> AssignedSlice {
    AssignedSlice { slice, term: 1, echoed_until: None, owner: None }
}

#[test]
fn slices_assigned_within_the_window_are_announced_together_once_there_is_capacity() {
    let mut batch = AssignmentBatch::default();
    assert_eq!(batch.ready_at(9), Time::MAX);
    batch.add(1_000, [assigned(2)]);
    batch.add(1_500, [assigned(1)]);
    assert_eq!((batch.ready_at(9), batch.ready_at(0)), (1_000 + BATCH_WINDOW, Time::MAX));
    assert!(batch.take_ready(1_000 + BATCH_WINDOW - 1, 9).is_none());
    assert!(batch.take_ready(1_000 + BATCH_WINDOW, 0).is_none());
    batch.complete();
    let slices = batch.take_ready(1_600, 1).expect("a complete batch is due at once");
    assert_eq!(slices.iter().map(|assigned| assigned.slice).collect::<Vec<_>>(), [1, 2]);
    assert!(batch.is_empty());
}
