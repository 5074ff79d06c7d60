use super::*;

fn charged(slice: usize) -> Charged {
    Charged { slice, term: 1, echoed_until: None, owner: None }
}

#[test]
fn slices_that_come_together_are_told_together_once_there_is_room() {
    let mut gathering = Gathering::default();
    assert_eq!(gathering.ready_at(9), Time::MAX);
    gathering.add(1_000, [charged(2)]);
    gathering.add(1_500, [charged(1)]);
    assert_eq!((gathering.ready_at(9), gathering.ready_at(0)), (1_000 + GATHER, Time::MAX));
    assert!(gathering.take(1_000 + GATHER - 1, 9).is_none());
    assert!(gathering.take(1_000 + GATHER, 0).is_none());
    gathering.complete();
    let told = gathering.take(1_600, 1).expect("told at once");
    assert_eq!(told.iter().map(|charged| charged.slice).collect::<Vec<_>>(), [1, 2]);
    assert!(gathering.is_empty());
}
