//! A steward whose record's disk takes no writes for a while: nothing is published meanwhile that is not on
//! record, and accepted work is done afterwards.

use std::time::{Duration, Instant};

use crate::common::{start_in, wait_until, Dir, Proxy};
use crate::library;

const ENOSPC: i32 = 28;
const EIO: i32 = 5;

/// When writes begin and cease to fail, in milliseconds since the process started.
const FAILS_FROM_MS: u64 = 1_500;
const FAILS_TO_MS: u64 = 4_500;

#[test]
fn writes_are_retried_while_the_disk_is_full_or_fails() {
    for (call, error) in [("pwrite", ENOSPC), ("fsync", EIO), ("pwrite", EIO)] {
        let dir = Dir::new(6, 2, &["a", "b"]);
        let (rules, delivered) = (dir.dir.path().join("schedule"), dir.dir.path().join("delivered"));
        std::fs::write(&rules, format!("{call} {error} {FAILS_FROM_MS} {FAILS_TO_MS} 1"))
            .expect("the schedule is written");
        let library = library();
        let environment = [
            ("LD_PRELOAD", library.as_path()),
            (ravenspar_faults::SCHEDULE, rules.as_path()),
            (ravenspar_faults::DELIVERED, delivered.as_path()),
        ];
        let started = Instant::now();
        let mut steward = start_in(&dir.settings(), &[], &environment);
        let mut one = Proxy::dial(steward.address, 0, 1);
        let mut two = Proxy::dial(steward.address, 1, 1);
        wait_until("all slices are granted", &mut [&mut one, &mut two], |all| {
            all.iter().all(|proxy| proxy.owners.len() == 6)
        });
        // The time at which the schedule's faults have begun; the streams are read meanwhile.
        let failing_at = started + Duration::from_millis(FAILS_FROM_MS + 300);
        wait_until("writes fail", &mut [&mut one, &mut two], |_| Instant::now() >= failing_at);
        dir.list(&["a"]);
        wait_until("all slices are at a", &mut [&mut one, &mut two], |all| {
            all.iter().all(|proxy| (0..6).all(|slice| proxy.owner(slice) == Some("a")))
        });
        let delivered = std::fs::read_to_string(&delivered).unwrap_or_default();
        assert!(delivered.contains(&format!("{call} Error({error})")), "{call} {error}: {delivered}");
        steward.signal("TERM");
        assert_eq!(steward.wait_exit().code(), Some(0));
        let recorded = dir.recorded();
        assert!(recorded.iter().all(|(_, owner, _)| owner.as_deref() == Some("a")), "{recorded:?}");
    }
}
