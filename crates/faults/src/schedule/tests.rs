use super::*;

#[test]
fn a_rule_applies_within_its_time_and_to_every_nth_call() {
    let schedule = Schedule::parse("accept4 24 100 200 2\nnonsense\nrealtime 3600 50\nrecv short 0 9 1\n");
    let faults: Vec<_> = (0..4).map(|_| schedule.fault("accept4", 150)).collect();
    assert_eq!(faults, [Some(Fault::Error(24)), None, Some(Fault::Error(24)), None]);
    assert_eq!((schedule.fault("accept4", 99), schedule.fault("accept4", 200)), (None, None));
    assert_eq!((schedule.fault("recv", 8), schedule.fault("send", 8)), (Some(Fault::Short), None));
    assert_eq!((schedule.clock_offset_s(49), schedule.clock_offset_s(50)), (0, 3_600));
}

#[test]
fn a_call_stalls_until_its_rule_ends_and_only_the_nth_is_torn() {
    let schedule = Schedule::parse("fsync stall 100 900 1\npwrite torn:3:50 0 900 1\npwrite torn:3 0 900 1");
    assert_eq!(schedule.fault("fsync", 100), Some(Fault::Stall(900)));
    let faults: Vec<_> = (0..4).map(|_| schedule.fault("pwrite", 150)).collect();
    assert_eq!(faults, [None, None, Some(Fault::Torn(50)), None]);
}
