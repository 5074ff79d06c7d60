//! Tests of stewards that share a store, as processes against a stand-in of the store.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use common::*;
use ravenspar_standin::store::Faults;

/// Writes the settings of a steward of this name into the folder.
fn settings(dir: &Dir, name: &str, store: SocketAddr, more: &str) -> PathBuf {
    let text = std::fs::read_to_string(dir.settings()).expect("settings");
    let text = text.replace("record: steward.redb", &format!("record: {name}.redb"));
    let share = format!(
        "stewards: 2\nstore: etcd\nshare: {{name: {name}, endpoints: [\"http://{store}\"], member_lease: 2s{more}}}\n"
    );
    let path = dir.dir.path().join(format!("{name}.yaml"));
    std::fs::write(&path, text + &share).expect("the settings are written");
    path
}

fn members(file: &std::path::Path) -> serde_json::Value {
    let output = run(&["members", "--json", path(file)]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    serde_json::from_slice(&output.stdout).expect("JSON")
}

/// Returns the number of slices by member name.
fn shares(file: &std::path::Path) -> Vec<(String, u64)> {
    let view = members(file);
    let all = view["members"].as_array().expect("members").iter();
    let mut all: Vec<_> = all
        .map(|m| (m["name"].as_str().expect("a name").to_owned(), m["slices"].as_u64().expect("slices")))
        .collect();
    all.sort();
    all
}

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "not within {TEST_TIMEOUT:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn expected_shares(all: &[(&str, u64)]) -> Vec<(String, u64)> {
    all.iter().map(|(name, slices)| ((*name).to_owned(), *slices)).collect()
}

#[test]
fn two_share_evenly_and_one_that_exits_hands_its_slices_over() {
    let dir = Dir::new(6, 2, &["a", "b"]);
    let (_store, at) = store(1);
    let (one, two) = (settings(&dir, "one", at, ""), settings(&dir, "two", at, ""));
    let mut first = start(&one, &[]);
    let mut proxy = Proxy::dial(first.address, 0, 1);
    wait_until("one is assigned all slices", &mut [&mut proxy], |all| all[0].owners.len() == 6);
    assert_eq!(shares(&one), expected_shares(&[("one", 6)]));
    let mut second = start(&two, &[]);
    let mut other = Proxy::dial(second.address, 0, 1);
    wait_until("two has its share", &mut [&mut proxy, &mut other], |all| all[1].owners.len() == 3);
    assert_eq!(shares(&two), expected_shares(&[("one", 3), ("two", 3)]));
    // Terms only grow: slices handed over to two have higher ones.
    assert!(other.term > proxy.term);
    first.signal("TERM");
    wait_until("two has all", &mut [&mut other], |all| all[0].owners.len() == 6);
    assert_eq!(first.wait_exit().code(), Some(0));
    wait_for("one is no longer a member", || shares(&two) == expected_shares(&[("two", 6)]));
    let record = run(&["record", path(&two)]);
    assert_eq!(record.status.code(), Some(0), "{}", stderr(&record));
    assert_eq!(String::from_utf8_lossy(&record.stdout).matches("two").count(), 6);
    second.signal("TERM");
    assert_eq!(second.wait_exit().code(), Some(0));
}

/// Guards against requests to a removed server that still works: the shared record names it, the list of the steward that
/// takes the slices over lacks it, and no other list follows.
#[test]
fn a_slice_taken_over_at_a_server_that_the_list_lacks_moves_to_a_listed_one() {
    let dir = Dir::new(6, 2, &["removed"]);
    let (_store, at) = store(1);
    let (one, two) = (settings(&dir, "one", at, ""), settings(&dir, "two", at, ""));
    let first = start(&one, &[]);
    let mut proxy = Proxy::dial(first.address, 0, 1);
    let are_all_at_removed = |proxy: &Proxy| (0..6).all(|slice| proxy.owner(slice) == Some("removed"));
    wait_until("all are at the only server", &mut [&mut proxy], |all| are_all_at_removed(all[0]));
    // The first steward is gone before it can see the next list.
    drop(first);
    dir.list(&["a", "b"]);
    let second = start(&two, &[]);
    let mut other = Proxy::dial(second.address, 0, 1);
    let is_listed = |owner: Option<&str>| owner.is_some_and(|owner| owner != "removed");
    wait_for("all are at listed servers", || {
        other.report_success("removed");
        other.step();
        (0..6).all(|slice| is_listed(other.owner(slice)))
    });
}

/// At shutdown the transaction that hands slices over may be carried out and its answer lost, carried out
/// after its caller was told that the outcome is unknown, or not be possible: the steward exits all the same,
/// and each slice ends up at the other one, once.
#[test]
fn slices_handed_over_at_exit_are_not_lost_with_the_answers() {
    let late = Faults { late: 1, late_by: Duration::from_millis(300), ..Faults::default() };
    let lost = Faults { lose_answers: 3, ..Faults::default() };
    for faults in [lost, late, Faults { away: true, ..Faults::default() }] {
        let dir = Dir::new(6, 2, &["a", "b"]);
        let (store, at) = store(1);
        let (one, two) = (settings(&dir, "one", at, ""), settings(&dir, "two", at, ""));
        let ((mut first, proxy), (second, mut other)) = start_sharing(&one, &two);
        store.set_faults(faults.clone());
        first.signal("TERM");
        assert_eq!(first.wait_exit().code(), Some(0), "{faults:?}");
        store.set_faults(Faults::default());
        // If its own membership had to end, it joins again and its streams are new.
        wait_for("two has all", || {
            if other.closed {
                other = Proxy::dial(second.address, 0, 1);
            }
            other.step();
            other.owners.len() == 6
        });
        wait_for("one is no longer a member", || shares(&two) == expected_shares(&[("two", 6)]));
        assert!(other.term > proxy.term, "{faults:?}");
    }
}

#[test]
fn a_store_that_is_away_ends_memberships_and_streams_until_it_is_back() {
    let dir = Dir::new(4, 1, &["a"]);
    let (store, at) = store(1);
    let one = settings(&dir, "one", at, "");
    let steward = start(&one, &[]);
    let mut proxy = Proxy::dial(steward.address, 0, 1);
    wait_until("slices are assigned", &mut [&mut proxy], |all| all[0].owners.len() == 4);
    store.set_faults(Faults { away: true, ..Faults::default() });
    wait_until("the stream is closed", &mut [&mut proxy], |all| all[0].closed);
    store.set_faults(Faults::default());
    let mut again = Proxy::dial(steward.address, 0, 1);
    wait_until("slices are assigned again", &mut [&mut again], |all| all[0].owners.len() == 4);
    assert!(again.term > proxy.term);
}

#[test]
fn another_or_an_older_store_is_refused_until_accepted() {
    let dir = Dir::new(4, 1, &["a"]);
    let (_first, at) = store(7);
    let one = settings(&dir, "one", at, "");
    let mut steward = start(&one, &[]);
    wait_for("slices are assigned", || shares(&one) == expected_shares(&[("one", 4)]));
    steward.signal("TERM");
    assert_eq!(steward.wait_exit().code(), Some(0));
    for (cluster, expected) in [(8, "another store"), (7, "an older store")] {
        let (_other, at) = store(cluster);
        settings(&dir, "one", at, "");
        let refused = run(&["serve", path(&one)]);
        assert_eq!(refused.status.code(), Some(1));
        assert!(stderr(&refused).contains(expected), "{}", stderr(&refused));
    }
    let accepted = run(&["accept", path(&one)]);
    assert_eq!(accepted.status.code(), Some(0), "{}", stderr(&accepted));
    let _again = start(&one, &[]);
    wait_for("slices are assigned again", || shares(&one) == expected_shares(&[("one", 4)]));
}

#[test]
fn invalid_sharing_settings_are_reported() {
    use std::os::unix::fs::PermissionsExt as _;
    let dir = Dir::new(4, 1, &["a"]);
    let (_store, at) = store(1);
    let file = settings(&dir, "one", at, "");
    let text = std::fs::read_to_string(&file).expect("settings");
    let cases = [
        (text.replace(&format!("[\"http://{at}\"]"), "[]"), "share.endpoints"),
        (text.replace("http://", "ftp://"), "not an http address"),
        (text.replace("member_lease: 2s", "member_lease: 2500ms"), "expected whole seconds"),
        (text.replace("2s}", "2s, notes: {listen: here}}"), "share.notes: gone, hints travel with the view"),
    ];
    for (text, expected) in cases {
        std::fs::write(&file, text).expect("the settings are written");
        let output = run(&["check", path(&file)]);
        assert_eq!(output.status.code(), Some(2), "{expected}");
        assert!(
            stderr(&output).contains(expected) && stderr(&output).contains("one.yaml:"),
            "{}",
            stderr(&output)
        );
    }
    let file = settings(&dir, "one", at, "}\nfleet: {name: one, listen: \"127.0.0.1:7946\", key: fleet.key");
    let key = dir.dir.path().join("fleet.key");
    for (bytes, mode, expected) in [(40, 0o644, "expected mode 0600"), (20, 0o600, "expected 32 or more")] {
        std::fs::write(&key, vec![7; bytes]).expect("the settings are written");
        std::fs::set_permissions(&key, std::fs::Permissions::from_mode(mode)).expect("set");
        let output = run(&["serve", path(&file)]);
        assert_eq!(output.status.code(), Some(2), "{expected}");
        assert!(stderr(&output).contains(expected), "{}", stderr(&output));
    }
}
