//! Tests of slices assigned to a steward whose channel is full: they wait without keeping the process busy.

mod common;

use std::time::{Duration, Instant};

use common::*;
use procfs::process::Process;
use ravenspar_standin::store::Store;

/// How long the process is observed, and the CPU time it may use meanwhile: a tenth.
const OBSERVED: Duration = Duration::from_secs(3);
const MAX_CPU_TIME: Duration = Duration::from_millis(300);

/// Writes settings of a steward that shares a store, with a channel occupied by one message for a minute, and
/// full with one that waits.
fn settings(dir: &Dir, name: &str, store: std::net::SocketAddr) -> std::path::PathBuf {
    let text = std::fs::read_to_string(dir.settings()).expect("settings");
    let text = text.replace("record: steward.redb", &format!("record: {name}.redb"));
    let text = text.replace(
        "lines_per_s: 1000000, waiting_lines: 10000000, message_cost: 12",
        "lines_per_s: 1, waiting_lines: 1, message_cost: 60",
    );
    let share = format!(
        "stewards: 3\nstore: etcd\nshare: {{name: {name}, endpoints: [\"http://{store}\"], member_lease: 2s}}\n"
    );
    let path = dir.dir.path().join(format!("{name}.yaml"));
    std::fs::write(&path, text + &share).expect("the settings are written");
    path
}

/// Returns the CPU time that a process has used.
fn cpu_time(steward: &Serving) -> Duration {
    let stat = Process::new(steward.child.id() as i32)
        .and_then(|process| process.stat())
        .expect("the process is running");
    Duration::from_secs_f64((stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64)
}

/// Returns the number of members in the store.
fn members(store: &Store) -> usize {
    let mut present = std::collections::BTreeSet::new();
    for change in store.changes().into_iter().filter(|change| change.key.starts_with("/ravenspar/member/")) {
        match change.value {
            Some(_) => present.insert(change.key),
            None => present.remove(&change.key),
        };
    }
    present.len()
}

/// Lets a forwarder go on until the store has this number of members.
fn wait_for_members(store: &Store, count: usize, proxy: &mut Proxy) {
    wait_until("the store has the members", &mut [proxy], |_| members(store) == count);
}

/// A steward with slices that wait for channel capacity, and the forwarder whose messages fill the channel.
struct FullChannel {
    steward: Serving,
    proxy: Proxy,
    _dir: Dir,
}

impl FullChannel {
    fn new() -> FullChannel {
        let dir = Dir::new(6, 1, &["a", "b"]);
        let (store, at) = store(1);
        let [first, second, third] =
            ["one", "two", "three"].map(|name| start(&settings(&dir, name, at), &[]));
        let mut proxy = Proxy::dial(first.address, 0, 1);
        wait_for_members(&store, 3, &mut proxy);
        wait_until("a message occupies the channel", &mut [&mut proxy], |all| all[0].tables > 0);
        // The slices taken over from the second steward fill the channel; those of the third wait.
        drop(second);
        wait_for_members(&store, 2, &mut proxy);
        drop(third);
        wait_for_members(&store, 1, &mut proxy);
        FullChannel { steward: first, proxy, _dir: dir }
    }
}

#[test]
fn a_steward_whose_slices_wait_for_capacity_is_idle() {
    let FullChannel { steward, mut proxy, _dir } = FullChannel::new();
    let (tables, before) = (proxy.tables, cpu_time(&steward));
    let end = Instant::now() + OBSERVED;
    while Instant::now() < end {
        proxy.step();
    }
    let used = cpu_time(&steward) - before;
    println!("busy for {used:?} of {OBSERVED:?}");
    assert_eq!(proxy.tables, tables, "the channel had capacity");
    assert!(used <= MAX_CPU_TIME, "busy for {used:?} of {OBSERVED:?}");
}

/// The bound of `docs/design/sharing.md`, and one call of the store.
#[test]
fn a_steward_whose_slices_wait_for_capacity_leaves_within_its_bound() {
    const BOUND: Duration = Duration::from_secs(10 + 1);
    let FullChannel { mut steward, mut proxy, _dir } = FullChannel::new();
    // The membership of the other has expired; the steward looks at the store four times a second.
    let looked_by = Instant::now() + Duration::from_secs(1);
    wait_until("the slices are taken over", &mut [&mut proxy], |_| Instant::now() >= looked_by);
    let (tables, started) = (proxy.tables, Instant::now());
    steward.signal("TERM");
    wait_until("the stream ends", &mut [&mut proxy], |all| all[0].closed || started.elapsed() > 2 * BOUND);
    let code = steward.wait_exit().code();
    let took = started.elapsed();
    println!("ended with {code:?} after {took:?}");
    assert_eq!((code, proxy.tables), (Some(0), tables));
    assert!(took <= BOUND, "{took:?}");
}
