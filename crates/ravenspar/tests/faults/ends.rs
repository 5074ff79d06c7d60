//! A steward that is asked to end while its disk stalls: it exits within its bound, logs what it left undone,
//! and no forwarder was notified of anything that is not on disk.

use std::time::{Duration, Instant};

use crate::common::{store, wait_until, Dir, Proxy, Serving};
use crate::disk::Disk;

/// When the disk begins and ceases to stall, in milliseconds since the process started.
const STALL_FROM_MS: u64 = 2_500;
const STALL_TO_MS: u64 = 120_000;

/// The bound for leaving, by `docs/design/sharing.md`.
const BOUND: Duration = Duration::from_secs(10);

const SLICES: u64 = 6;

/// Publishes a list, and waits until the disk calls that the steward makes for it stall.
fn stall_disk(disk: &Disk, proxy: &mut Proxy) {
    disk.wait_until(STALL_FROM_MS + 300, &mut [&mut *proxy]);
    disk.dir.list(&["a"]);
    wait_until("the disk stalls", &mut [proxy], |_| disk.delivered("Stall"));
}

/// Sends SIGTERM, reads the stream to its end, and asserts an exit in order within the bound.
fn assert_exits(disk: &Disk, steward: &mut Serving, proxy: &mut Proxy) {
    let started = Instant::now();
    steward.signal("TERM");
    wait_until("the stream ends", &mut [&mut *proxy], |all| all[0].closed);
    let code = steward.wait_exit().code();
    let took = started.elapsed();
    println!("ended with {code:?} after {took:?}");
    assert_eq!(code, Some(0), "after {took:?}: {}", disk.log());
    assert!(took < BOUND, "{took:?}");
    assert!(disk.log().contains("not waited for any longer"), "{}", disk.log());
}

#[test]
fn a_single_steward_exits_though_its_disk_stalls() {
    for call in ["fsync", "pwrite"] {
        let mut disk = Disk::new(Dir::new(SLICES as usize, 1, &["a", "b"]));
        let settings = disk.dir.settings();
        let mut steward = disk
            .start(&settings, &format!("{call} stall {STALL_FROM_MS} {STALL_TO_MS} 1"))
            .expect("the steward listens");
        let mut proxy = Proxy::dial(steward.address, 0, 1);
        wait_until("all slices are granted", &mut [&mut proxy], |all| all[0].owners.len() == SLICES as usize);
        let owners = proxy.owners.clone();
        stall_disk(&disk, &mut proxy);
        assert_exits(&disk, &mut steward, &mut proxy);
        assert_eq!(proxy.owners, owners, "notified of what was not on disk");
        assert_eq!(disk.check_recorded(&proxy), Ok(()));
    }
}

#[test]
fn a_steward_that_shares_slices_exits_though_its_disk_stalls() {
    let mut disk = Disk::new(Dir::new(SLICES as usize, 1, &["a", "b"]));
    let (_store, at) = store(1);
    let text = std::fs::read_to_string(disk.dir.settings()).expect("settings");
    let share =
        format!("store: etcd\nshare: {{name: one, endpoints: [\"http://{at}\"], member_lease: 2s}}\n");
    let settings = disk.dir.settings();
    std::fs::write(&settings, text + &share).expect("the settings are written");
    let mut steward = disk
        .start(&settings, &format!("fsync stall {STALL_FROM_MS} {STALL_TO_MS} 1"))
        .expect("the steward listens");
    let mut proxy = Proxy::dial(steward.address, 0, 1);
    wait_until("all slices are granted", &mut [&mut proxy], |all| all[0].owners.len() == SLICES as usize);
    stall_disk(&disk, &mut proxy);
    assert_exits(&disk, &mut steward, &mut proxy);
}

/// Every change of the list is one more entry to record.
#[test]
fn a_steward_answers_and_exits_though_its_list_changes_often_while_its_disk_stalls() {
    const CHANGES: usize = 500;
    const CHANGE_INTERVAL: Duration = Duration::from_millis(10);
    let mut disk = Disk::new(Dir::new(SLICES as usize, 1, &["a", "b"]));
    let settings = disk.dir.settings();
    let mut steward = disk
        .start(&settings, &format!("fsync stall {STALL_FROM_MS} {STALL_TO_MS} 1"))
        .expect("the steward listens");
    let mut proxy = Proxy::dial(steward.address, 0, 1);
    wait_until("all slices are granted", &mut [&mut proxy], |all| all[0].owners.len() == SLICES as usize);
    let owners = proxy.owners.clone();
    stall_disk(&disk, &mut proxy);
    std::thread::scope(|scope| {
        let changes = scope.spawn(|| {
            for change in 0..CHANGES {
                disk.dir.list(&["a", &format!("server-{change}")]);
                std::thread::sleep(CHANGE_INTERVAL);
            }
        });
        wait_until("the list has changed often", &mut [&mut proxy], |_| changes.is_finished());
    });
    let echoes = proxy.echoes;
    wait_until("the forwarder is answered", &mut [&mut proxy], |all| all[0].echoes > echoes + 2);
    assert_exits(&disk, &mut steward, &mut proxy);
    assert_eq!(proxy.owners, owners, "notified of what was not on disk");
    assert_eq!(disk.check_recorded(&proxy), Ok(()));
}
