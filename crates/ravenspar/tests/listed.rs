//! Tests of a server list that the program follows in a store.

mod common;

use std::net::SocketAddr;
use std::path::Path;

use common::*;
use ravenspar_standin::pieces::PieceRelay;
use ravenspar_standin::store::{Faults, Store};

const PREFIX: &str = "/ravenspar/servers/";

fn settings(dir: &Dir, store: SocketAddr) {
    let text = std::fs::read_to_string(dir.settings()).expect("settings");
    let list = format!("list: {{source: etcd, endpoints: [\"http://{store}\"]}}");
    let text: Vec<&str> =
        text.lines().map(|line| if line.starts_with("list:") { &list } else { line }).collect();
    std::fs::write(dir.settings(), text.join("\n")).expect("the settings are written");
}

fn put_server(store: &Store, id: &str, state: &str, boot: u64) {
    let value = format!(
        "{{\"zone\": \"z\", \"address\": \"127.0.0.1:9\", \"state\": \"{state}\", \"boot\": {boot}}}"
    );
    store.put_key(&format!("{PREFIX}{id}"), &value);
}

/// Returns true if all slices are at these servers, and each of the servers has some.
fn use_servers(proxy: &Proxy, servers: &[&str]) -> bool {
    let owners: Vec<_> = (0..4).map(|slice| proxy.owner(slice)).collect();
    owners.iter().all(|owner| owner.is_some_and(|owner| servers.contains(&owner)))
        && servers.iter().all(|server| owners.contains(&Some(*server)))
}

/// Starts a steward that follows the list of the store at this address, and a proxy of it.
fn serve_from(dir: &Dir, store: SocketAddr) -> (Serving, Proxy) {
    settings(dir, store);
    let steward = dir.serve(&[]);
    let proxy = Proxy::dial(steward.address, 0, 1);
    (steward, proxy)
}

/// Starts a store that lists these servers as ready, and a steward and a proxy that use all of them.
fn serve_from_store(dir: &Dir, cluster: u64, servers: &[&str]) -> (Store, Serving, Proxy) {
    let (store, address) = store(cluster);
    servers.iter().for_each(|server| put_server(&store, server, "ready", 100));
    let (steward, mut proxy) = serve_from(dir, address);
    wait_until("the listed servers are used", &mut [&mut proxy], |all| use_servers(all[0], servers));
    (store, steward, proxy)
}

#[test]
fn drains_are_followed_and_a_start_that_left_never_comes_back() {
    let dir = Dir::new(4, 1, &[]);
    let (store, _steward, mut proxy) = serve_from_store(&dir, 1, &["a", "b"]);
    put_server(&store, "a", "draining", 100);
    wait_until("all slices have left a", &mut [&mut proxy], |all| use_servers(all[0], &["b"]));
    store.delete_key(&format!("{PREFIX}a"));
    // A late write of the start that left, and an unreadable value for a server that is still there.
    put_server(&store, "a", "ready", 100);
    store.put_key(&format!("{PREFIX}b"), "nonsense");
    put_server(&store, "c", "ready", 100);
    put_server(&store, "b", "draining", 100);
    wait_until("c has all", &mut [&mut proxy], |all| use_servers(all[0], &["c"]));
    // Another start of a server counts as another server.
    put_server(&store, "a", "ready", 200);
    put_server(&store, "c", "draining", 100);
    wait_until("a is used again", &mut [&mut proxy], |all| use_servers(all[0], &["a"]));
}

/// The same where the store's responses take long and make progress: the first read, and then changes.
#[test]
fn drains_are_followed_though_all_responses_come_in_pieces() {
    let dir = Dir::new(4, 1, &[]);
    let (store, address) = store(1);
    (0..40).for_each(|n| put_server(&store, &format!("gone-{n}"), "gone", 100));
    ["a", "b"].iter().for_each(|server| put_server(&store, server, "ready", 100));
    let pieces = PieceRelay::start(address).expect("a relay of bytes");
    pieces.deliver_in_pieces(200, std::time::Duration::from_millis(225));
    let (_steward, mut proxy) = serve_from(&dir, pieces.address);
    wait_until("the listed servers are used", &mut [&mut proxy], |all| use_servers(all[0], &["a", "b"]));
    put_server(&store, "a", "draining", 100);
    wait_until("all slices have left a", &mut [&mut proxy], |all| use_servers(all[0], &["b"]));
}

/// The same for a response of many changes after a gap, which takes longer than the store may send nothing.
#[test]
fn many_changes_at_once_are_followed_though_they_come_in_pieces() {
    let dir = Dir::new(4, 1, &[]);
    let (store, address) = store(1);
    ["a", "b"].iter().for_each(|server| put_server(&store, server, "ready", 100));
    let pieces = PieceRelay::start(address).expect("a relay of bytes");
    let (_steward, mut proxy) = serve_from(&dir, pieces.address);
    wait_until("the listed servers are used", &mut [&mut proxy], |all| use_servers(all[0], &["a", "b"]));
    store.set_faults(Faults { away: true, ..Faults::default() });
    put_server(&store, "a", "draining", 100);
    (0..130).for_each(|n| put_server(&store, &format!("gone-{n}"), "gone", 100));
    pieces.deliver_in_pieces(400, std::time::Duration::from_millis(225));
    store.set_faults(Faults::default());
    wait_until("all slices have left a", &mut [&mut proxy], |all| use_servers(all[0], &["b"]));
}

/// A connection that goes silent and stays open is replaced, though there is no other endpoint.
#[test]
fn a_drain_is_followed_after_the_connection_to_the_store_goes_silent() {
    let dir = Dir::new(4, 1, &[]);
    let (store, address) = store(1);
    ["a", "b"].iter().for_each(|server| put_server(&store, server, "ready", 100));
    let relay = PieceRelay::start(address).expect("a relay of bytes");
    let (_steward, mut proxy) = serve_from(&dir, relay.address);
    wait_until("the listed servers are used", &mut [&mut proxy], |all| use_servers(all[0], &["a", "b"]));
    relay.silence_open_connections();
    put_server(&store, "a", "draining", 100);
    wait_until("all slices have left a", &mut [&mut proxy], |all| use_servers(all[0], &["b"]));
}

/// The same in the middle of the first read, whose response has begun.
#[test]
fn a_first_read_whose_response_goes_silent_is_repeated() {
    let dir = Dir::new(4, 1, &[]);
    let (store, address) = store(1);
    (0..40).for_each(|n| put_server(&store, &format!("gone-{n}"), "gone", 100));
    put_server(&store, "a", "ready", 100);
    let relay = PieceRelay::start(address).expect("a relay of bytes");
    relay.deliver_in_pieces(200, std::time::Duration::from_millis(100));
    let (_steward, mut proxy) = serve_from(&dir, relay.address);
    wait_until("the response has begun", &mut [&mut proxy], |_| relay.delivered() > 2_000);
    relay.silence_open_connections();
    wait_until("a is used", &mut [&mut proxy], |all| use_servers(all[0], &["a"]));
}

#[test]
fn changes_compacted_while_the_store_was_away_are_recovered() {
    let dir = Dir::new(4, 1, &[]);
    let (store, _steward, mut proxy) = serve_from_store(&dir, 1, &["a"]);
    store.set_faults(Faults { away: true, ..Faults::default() });
    store.delete_key(&format!("{PREFIX}a"));
    put_server(&store, "b", "ready", 100);
    store.compact_all();
    store.set_faults(Faults::default());
    wait_until("b has all", &mut [&mut proxy], |all| use_servers(all[0], &["b"]));
}

#[test]
fn an_older_store_is_not_followed_until_it_is_accepted_by_hand() {
    let dir = Dir::new(4, 1, &[]);
    let (_first, mut steward, _proxy) = serve_from_store(&dir, 5, &["a", "b"]);
    steward.signal("TERM");
    assert_eq!(steward.wait_exit().code(), Some(0));
    // Restored from a backup in which only a was listed: the last list stays in use.
    let (second, address) = store(5);
    put_server(&second, "a", "ready", 100);
    settings(&dir, address);
    let mut steward = dir.serve(&[]);
    let mut proxy = Proxy::dial(steward.address, 0, 1);
    wait_until("both are used", &mut [&mut proxy], |all| use_servers(all[0], &["a", "b"]));
    steward.signal("TERM");
    assert_eq!(steward.wait_exit().code(), Some(0));
    let accepted = run(&["list", "accept", path(Path::new(&dir.settings()))]);
    assert_eq!(accepted.status.code(), Some(0), "{}", stderr(&accepted));
    let steward = dir.serve(&[]);
    let mut proxy = Proxy::dial(steward.address, 0, 1);
    wait_until("a has all", &mut [&mut proxy], |all| use_servers(all[0], &["a"]));
}
