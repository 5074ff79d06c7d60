//! A steward that is killed during a write to its record, at random points: restarted, it knows all that any
//! forwarder was notified of.

use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::common::{start, wait_until, Dir, Proxy, Serving, TEST_TIMEOUT};
use crate::disk::Disk;

const SLICES: usize = 6;

/// The servers of each list in turn; no slice returns to a server that it has left.
const LISTS: [&[&str]; 4] = [&["a", "b"], &["c"], &["d", "e"], &["f"]];

/// The write that is torn; a steward that goes through all lists makes some hundred.
const WRITES: std::ops::Range<u64> = 1..90;

/// How long each list is published before the next, in milliseconds: some steps of a hand-over.
const LIST_SPANS_MS: std::ops::Range<u64> = 200..2_500;

fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("RAVENSPAR_KILLS").ok();
    let given = given.as_deref().and_then(|given| given.split_once(".."));
    given.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?)).unwrap_or(0..8)
}

/// Publishes list after list until the kill comes, and reads all notifications.
fn publish_lists(disk: &Disk, steward: &mut Serving, proxies: &mut [&mut Proxy], rng: &mut Rng) {
    for list in LISTS {
        disk.dir.list(list);
        let end = Instant::now() + Duration::from_millis(rng.u64(LIST_SPANS_MS));
        while Instant::now() < end {
            proxies.iter_mut().for_each(|proxy| proxy.step());
            if proxies.iter().all(|proxy| proxy.closed) {
                return;
            }
        }
    }
    // The torn write was not reached: kill the process here.
    steward.child.kill().expect("the process is killed");
    let end = Instant::now() + TEST_TIMEOUT;
    while !proxies.iter().all(|proxy| proxy.closed) {
        assert!(Instant::now() < end, "streams outlive the process");
        proxies.iter_mut().for_each(|proxy| proxy.step());
    }
}

fn play(seed: u64) -> Result<String, String> {
    let mut rng = Rng::with_seed(seed);
    let mut disk = Disk::new(Dir::new(SLICES, 2, LISTS[0]));
    let settings = disk.dir.settings();
    let (write, percent) = (rng.u64(WRITES), rng.u64(0..=100));
    let started = disk.start(&settings, &format!("pwrite torn:{write}:{percent} 0 600000 1"));
    let mut last_term = 0;
    if let Some(mut steward) = started {
        let mut proxies = [0, 1].map(|number| Proxy::dial(steward.address, number, 1));
        publish_lists(&disk, &mut steward, &mut proxies.each_mut(), &mut rng);
        steward.wait_exit();
        for proxy in &proxies {
            disk.check_recorded(proxy)?;
            last_term = last_term.max(proxy.term);
        }
    }
    let torn = disk.delivered("Torn");
    // It resumes from its record, under a term that no forwarder was notified of.
    let servers = LISTS[LISTS.len() - 1];
    disk.dir.list(servers);
    let steward = start(&settings, &[]);
    let mut proxies = [0, 1].map(|number| Proxy::dial(steward.address, number, 2));
    wait_until("all slices are at the last list's servers", &mut proxies.each_mut(), |all| {
        all.iter().all(|proxy| (0..SLICES as u64).all(|slice| proxy.owner(slice) == Some(servers[0])))
    });
    if proxies.iter().any(|proxy| proxy.term <= last_term) {
        return Err(format!("notified of term {last_term} before, of {} now", proxies[0].term));
    }
    Ok(format!("write {write}, {percent} %, torn: {torn}, notified of term {last_term}"))
}

#[test]
fn a_steward_killed_during_a_write_knows_all_notifications() {
    /// Seeds played in parallel.
    const PARALLEL: usize = 4;
    let (seeds, mut torn, mut failed): (Vec<u64>, _, _) = (seeds().collect(), 0, Vec::new());
    for group in seeds.chunks(PARALLEL) {
        let plays = group.iter().map(|&seed| (seed, std::thread::spawn(move || play(seed))));
        for (seed, played) in plays.collect::<Vec<_>>() {
            match played.join().unwrap_or_else(|_| Err("the play panicked".to_owned())) {
                Ok(summary) => {
                    println!("seed {seed}: {summary}");
                    torn += usize::from(summary.contains("torn: true"));
                }
                Err(why) => failed.push((seed, why)),
            }
        }
    }
    println!("{torn} of {} torn, {} failed", seeds.len(), failed.len());
    assert!(failed.is_empty(), "{failed:?}");
    assert!(torn > 0, "no write was torn");
}

/// The record's directory entry is on disk before anything is published: without it a power loss would leave
/// no record, and the next steward would start with the first term again.
#[test]
fn a_new_record_whose_folder_cannot_be_synced_is_not_used() {
    let mut disk = Disk::new(Dir::new(SLICES, 1, &["a"]));
    let settings = disk.dir.settings();
    assert!(disk.start(&settings, "fsync_folder 5 0 600000 1").is_none(), "the steward serves");
    assert!(disk.delivered("fsync_folder Error(5)"));
    assert!(disk.log().contains("steward.redb"), "{}", disk.log());
}
