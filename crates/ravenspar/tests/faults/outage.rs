//! A disk that takes no writes for longer than the steward retries: what forwarders see, and that they were
//! notified of nothing that is not on record.

use std::time::Duration;

use crate::common::{wait_until, Dir, Proxy};
use crate::disk::Disk;

const ENOSPC: i32 = 28;
const EIO: i32 = 5;

const SLICES: u64 = 6;

/// When writes begin to fail, in milliseconds since the process started.
const FAILS_FROM_MS: u64 = 2_000;

/// How long the steward retries (`docs/oncall.md`), and slack for noticing its end.
const RETRY_LIMIT: Duration = Duration::from_secs(60);
const SLACK: Duration = Duration::from_secs(5);

/// Lets the disk fail for `length`. Returns true if the steward survived it.
fn outage(call: &str, error: i32, length: Duration) -> bool {
    let mut disk = Disk::new(Dir::new(SLICES as usize, 1, &["a", "b"]));
    let (settings, to) = (disk.dir.settings(), FAILS_FROM_MS + length.as_millis() as u64);
    let mut steward = disk
        .start(&settings, &format!("{call} {error} {FAILS_FROM_MS} {to} 1"))
        .expect("the steward listens");
    let mut proxy = Proxy::dial(steward.address, 0, 1);
    wait_until("all slices are granted", &mut [&mut proxy], |all| all[0].owners.len() == SLICES as usize);
    disk.wait_until(FAILS_FROM_MS + 300, &mut [&mut proxy]);
    let (owners, tables) = (proxy.owners.clone(), proxy.tables);
    disk.dir.list(&["a"]);
    let fault = format!("{call} Error({error})");
    wait_until("writes fail", &mut [&mut proxy], |_| disk.delivered(&fault));
    // By then it can neither have given up nor be done.
    let retrying = length.min(RETRY_LIMIT).saturating_sub(Duration::from_millis(1_000));
    disk.go_on(FAILS_FROM_MS + retrying.as_millis() as u64 - 500, &mut proxy);
    let echoes = proxy.echoes;
    disk.go_on(FAILS_FROM_MS + retrying.as_millis() as u64, &mut proxy);
    assert_eq!((proxy.tables, proxy.closed), (tables, false), "notified while nothing can be recorded");
    assert_eq!(proxy.owners, owners);
    assert!(proxy.echoes > echoes, "the forwarder is not answered to the end");
    let survives = length < RETRY_LIMIT;
    if survives {
        disk.go_on(to, &mut proxy);
    } else {
        disk.go_on(FAILS_FROM_MS + (RETRY_LIMIT + SLACK).as_millis() as u64, &mut proxy);
        assert!(proxy.closed, "the steward goes on without a record");
        assert_eq!(steward.wait_exit().code(), Some(1), "{}", disk.log());
        assert!(disk.log().contains("the record failed"), "{}", disk.log());
        assert_eq!(proxy.owners, owners);
        assert_eq!(disk.check_recorded(&proxy), Ok(()));
        // The disk works again, and so does the steward once it is restarted.
        steward = disk.start(&settings, "").expect("the steward listens");
        let term = proxy.term;
        proxy = Proxy::dial(steward.address, 0, 1);
        wait_until("a new term is published", &mut [&mut proxy], |all| all[0].term > term);
    }
    wait_until("all slices are at a", &mut [&mut proxy], |all| {
        (0..SLICES).all(|slice| all[0].owner(slice) == Some("a"))
    });
    steward.signal("TERM");
    wait_until("the stream ends", &mut [&mut proxy], |all| all[0].closed);
    assert_eq!(steward.wait_exit().code(), Some(0));
    assert_eq!(disk.check_recorded(&proxy), Ok(()));
    survives
}

#[test]
fn while_its_disk_fails_a_steward_publishes_nothing_and_then_goes_on() {
    let cases = [("pwrite", ENOSPC), ("fsync", EIO)];
    let plays =
        cases.map(|(call, error)| std::thread::spawn(move || outage(call, error, Duration::from_secs(5))));
    assert!(plays.into_iter().all(|play| play.join().expect("the steward goes on")));
}

#[test]
#[ignore = "takes 80 s; by hand: cargo test -p ravenspar --test faults outage -- --ignored"]
fn a_steward_whose_disk_fails_for_too_long_exits_with_all_notifications_on_record() {
    let cases = [("pwrite", ENOSPC, 70), ("fsync", EIO, 70), ("pwrite", EIO, 50)];
    let plays = cases.map(|(call, error, seconds)| {
        (seconds < 60, std::thread::spawn(move || outage(call, error, Duration::from_secs(seconds))))
    });
    for (survives, play) in plays {
        assert_eq!(play.join().expect("the outage is played"), survives);
    }
}
