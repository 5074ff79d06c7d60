use super::*;

#[test]
fn worst_wait_of_each_process_is_reported_and_a_restart_resets_the_total() {
    let mut waits = CpuWaits::default();
    waits.record(500, "a", 1, 4_000_000, 500, 1.0);
    waits.record(1_000, "a", 1, 304_000_000, 500, 2.0);
    waits.record(1_500, "a", 2, 5_000_000, 570, 70.0);
    waits.record(1_500, "b", 3, 9_000_000, 570, 70.0);
    let expected = [
        "the lab woke 70 ms late at 1.5 s",
        "a waited 300 ms for a core within 500 ms, at 1.0 s",
        "b waited 9 ms for a core within 570 ms, at 1.5 s",
    ];
    assert_eq!(waits.worst(), expected);
}

#[test]
fn own_process_is_sampled() {
    let mut waits = CpuWaits::default();
    waits.sample(0, &[("lab".to_owned(), std::process::id())]);
    assert_eq!(waits.all.len(), 1, "{:?}", waits.all);
}
