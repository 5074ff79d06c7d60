//! Slices assigned to a steward and released by it, where several stewards share them.

mod common;

use common::*;
use ravenspar_host::{AssignedSlice, Host, Output, Server};
use ravenspar_protocol::{kind, tag};
use ravenspar_steward::{Health, ListScope, Time, SECOND};

fn host_without_slices(now: Time, slices: usize, proxies: usize, servers: &[&str]) -> Host {
    let mut host = Host::without_slices(now, 7, settings(slices, proxies), 5, ListScope::Stored, &[])
        .expect("settings are complete");
    list(&mut host, servers, Health::Ready);
    host
}

fn assigned_slice(slice: usize, term: u64, owner: Option<(&str, f64)>) -> AssignedSlice {
    let owner = owner.map(|(id, weight)| (id.to_owned(), weight, 0));
    AssignedSlice { slice, term, echoed_until: Some(0), owner }
}

fn join(host: &mut Host, now: Time, stream: u64, proxy: u64) {
    host.opened(now, stream);
    host.frame(now, stream, &hello(proxy, 1));
    let frames = settle(host, now);
    answer_all(host, now, &frames);
    settle(host, now);
}

fn numbers_with_tag(frames: &[(u64, Vec<u8>)], wanted: u8) -> Vec<u64> {
    frames.iter().flat_map(|(_, body)| read(body, wanted).1).collect()
}

#[test]
fn no_decisions_are_made_on_slices_that_are_not_assigned() {
    let mut host = host_without_slices(0, 4, 1, &["a"]);
    join(&mut host, 0, 1, 0);
    let frames = run_for_span(&mut host, 0, 3 * (LEASE + SETTLE), &[1]);
    assert!(numbers_with_tag(&frames, tag::LINE).is_empty());
    host.assign(0, &[assigned_slice(1, 9, None), assigned_slice(2, 9, None)]);
    let now = 3 * (LEASE + SETTLE);
    let frames = run_for_span(&mut host, now, now + 3 * (LEASE + SETTLE), &[1]);
    assert_eq!(numbers_with_tag(&frames, tag::CHARGE), [1], "two slices in one run");
    let mut granted = numbers_with_tag(&frames, tag::LINE);
    granted.dedup();
    granted.sort_unstable();
    granted.dedup();
    assert_eq!(granted, [1, 2]);
}

/// A steward that takes over a moving slice neither grants it nor opens it for writes early.
#[test]
fn a_moving_slice_waits_for_a_lease_and_settles_at_the_new_steward() {
    let mut host = host_without_slices(0, 2, 1, &["a", "b"]);
    join(&mut host, 0, 1, 0);
    let at = 10 * SECOND;
    let before = run_for_span(&mut host, 0, at, &[1]);
    assert!(numbers_with_tag(&before, tag::LINE).is_empty());
    let lead = SECOND / 2;
    let moving = AssignedSlice { echoed_until: Some(at + lead), ..assigned_slice(0, 9, None) };
    host.assign(at, &[moving, assigned_slice(1, 9, Some(("a", 0.5)))]);
    let mut now = at;
    let (mut granted, mut opened) = (None, None);
    while now < at + 4 * (LEASE + SETTLE) {
        let frames = run_for_span(&mut host, now, now + SECOND / 10, &[1]);
        for (_, body) in frames.iter().filter(|(_, body)| body[0] == kind::TABLE) {
            for slice in read(body, tag::LINE).1 {
                match slice {
                    0 => granted = granted.or(Some(now)),
                    _ => opened = opened.or(Some(now)),
                }
            }
        }
        now += SECOND / 10;
    }
    let settled = at + lead + LEASE + SETTLE;
    assert!(granted.is_some_and(|granted| granted >= settled), "granted at {granted:?}");
    assert!(opened.is_some_and(|opened| opened >= at + SETTLE - SECOND / 10), "opened at {opened:?}");
}

#[test]
fn a_proxy_that_has_not_applied_a_release_is_not_echoed() {
    let mut host = host_without_slices(0, 2, 2, &["a"]);
    host.assign(0, &[assigned_slice(0, 9, Some(("a", 1.0))), assigned_slice(1, 9, Some(("a", 1.0)))]);
    join(&mut host, 0, 1, 0);
    join(&mut host, 0, 2, 1);
    host.release(&[0]);
    let frames = settle(&mut host, 10);
    assert_eq!(numbers_with_tag(&frames, tag::LEFT), [0, 0]);
    // Only the first proxy answers.
    answer_all(&mut host, 20, &frames.into_iter().filter(|(stream, _)| *stream == 1).collect::<Vec<_>>());
    host.frame(30, 1, &ping(25));
    host.frame(30, 2, &ping(26));
    let echoes = settle(&mut host, 30);
    let echoed: Vec<u64> =
        echoes.iter().filter(|(_, body)| body[0] == kind::ECHO).map(|(stream, _)| *stream).collect();
    assert_eq!(echoed, [1]);
    assert_eq!((host.term(0), host.term(1)), (0, 9));
}

/// A proxy's lease from the previous steward may last as long as a lease does. Until then answers to a revoke don't
/// count, as an earlier incarnation of a proxy may still hold the slice.
#[test]
fn a_slice_taken_over_is_not_granted_within_a_lease() {
    let mut host = host_without_slices(0, 1, 1, &["a", "b"]);
    join(&mut host, 0, 1, 0);
    let at = 5 * SECOND;
    run_for_span(&mut host, 0, at, &[1]);
    let lead = SECOND / 2;
    let taken_over =
        AssignedSlice { echoed_until: Some(at + lead), ..assigned_slice(0, 9, Some(("a", 1.0))) };
    host.assign(at, &[taken_over]);
    run_for_span(&mut host, at, at + SECOND / 10, &[1]);
    host.list_begin(ListScope::Complete);
    host.list_entry("a", "zone", "127.0.0.1:1", Health::Draining, 0);
    host.list_entry("b", "zone", "127.0.0.1:1", Health::Ready, 0);
    host.list_end(ListScope::Complete);
    let mut now = at + SECOND / 10;
    let (mut dropped, mut granted) = (None, None);
    while granted.is_none() && now < at + 10 * LEASE {
        let frames = run_for_span(&mut host, now, now + SECOND / 20, &[1]);
        dropped = dropped.or((!numbers_with_tag(&frames, tag::DROP).is_empty()).then_some(now));
        granted = granted.or((!numbers_with_tag(&frames, tag::LINE).is_empty()).then_some(now));
        now += SECOND / 20;
    }
    assert!(dropped.is_some_and(|dropped| dropped < at + LEASE), "revoked at {dropped:?}");
    assert!(
        granted.is_some_and(|granted| granted >= at + lead + LEASE - SECOND / 20),
        "granted at {granted:?}"
    );
}

/// A removed server's slice is revoked where it is taken over, whether the list or the record comes first, and whether or
/// not the record has a start of the server.
#[test]
fn a_slice_taken_over_at_a_server_that_the_list_lacks_is_revoked() {
    for (boot, list_first) in [(0, true), (0, false), (77, true), (77, false)] {
        let mut host = Host::without_slices(0, 7, settings(1, 1), 5, ListScope::Stored, &[])
            .expect("settings are complete");
        if list_first {
            list(&mut host, &["a", "b"], Health::Ready);
        }
        join(&mut host, 0, 1, 0);
        let owner = Some(("removed".to_owned(), 1.0, boot));
        host.assign(0, &[AssignedSlice { slice: 0, term: 9, echoed_until: Some(0), owner }]);
        let mut frames = run_for_span(&mut host, 0, SECOND / 2, &[1]);
        if !list_first {
            assert_eq!(numbers_with_tag(&frames, tag::DROP), [], "no list has come: start {boot}");
            list(&mut host, &["a", "b"], Health::Ready);
            frames = run_for_span(&mut host, SECOND / 2, SECOND, &[1]);
        }
        assert_eq!(numbers_with_tag(&frames, tag::DROP), [0], "start {boot}, list first: {list_first}");
    }
}

/// The same for a steward that read the complete list before it joined.
#[test]
fn a_slice_taken_over_after_the_list_was_read_is_revoked_at_a_server_that_it_lacks() {
    let listed = |id: &str| (Server { id: id.to_owned(), ..Server::default() }, Health::Ready, 0);
    let list = [listed("a"), listed("b")];
    for (scope, expected) in [(ListScope::Complete, vec![0]), (ListScope::Stored, vec![])] {
        let mut host =
            Host::without_slices(0, 7, settings(1, 1), 5, scope, &list).expect("settings are complete");
        join(&mut host, 0, 1, 0);
        let owner = Some(("removed".to_owned(), 1.0, 0));
        host.assign(0, &[AssignedSlice { slice: 0, term: 9, echoed_until: Some(0), owner }]);
        let frames = run_for_span(&mut host, 0, SECOND / 2, &[1]);
        assert_eq!(numbers_with_tag(&frames, tag::DROP), expected, "{scope:?}");
    }
}

/// The same for a steward that starts over with its record and its last list: the first list from the source tells.
#[test]
fn a_recorded_slice_at_a_server_that_the_list_lacks_is_revoked_after_a_restart() {
    let record = [(0, "removed".to_owned(), 1.0)];
    let mut host = Host::new(0, 7, settings(1, 1), 2, &[], &record).expect("settings are complete");
    join(&mut host, 0, 1, 0);
    let frames = run_for_span(&mut host, 0, SECOND / 2, &[1]);
    assert_eq!(numbers_with_tag(&frames, tag::DROP), [], "no list has come");
    list(&mut host, &["a", "b"], Health::Ready);
    let frames = run_for_span(&mut host, SECOND / 2, SECOND, &[1]);
    assert_eq!(numbers_with_tag(&frames, tag::DROP), [0]);
}

/// Guards against a list that lags behind the record: if a recorded start looked new once the list shows it, the
/// slices that the server holds would count as lost.
#[test]
fn a_recorded_start_is_not_new_when_the_list_shows_it() {
    let mut host = host_without_slices(0, 1, 1, &["a", "b"]);
    join(&mut host, 0, 1, 0);
    let owner = Some(("a".to_owned(), 1.0, 77));
    host.assign(0, &[AssignedSlice { slice: 0, term: 9, echoed_until: None, owner }]);
    assert_eq!(host.boot(server_index(&host, "a")), 77);
    run_for_span(&mut host, 0, SECOND, &[1]);
    // The list now shows that start, with the server draining: the slice is revoked and settles as usual.
    host.list_begin(ListScope::Complete);
    host.list_entry("a", "zone", "127.0.0.1:1", Health::Draining, 77);
    host.list_entry("b", "zone", "127.0.0.1:1", Health::Ready, 0);
    host.list_end(ListScope::Complete);
    let mut now = SECOND;
    let (mut dropped, mut opened) = (None, None);
    while opened.is_none() && now < 20 * (LEASE + SETTLE) {
        host.frame(now, 1, &ping(now));
        host.timeout(now);
        let mut frames = Vec::new();
        while let Some(output) = host.poll(now) {
            match output {
                Output::Frame { stream, body } => {
                    frames.push((stream, body.to_vec()));
                    host.sent(now, stream);
                }
                Output::Record { ticket, routes: lines, .. } => {
                    dropped = dropped.or(lines.iter().any(|line| line.1.is_none()).then_some(now));
                    opened =
                        opened.or(lines.iter().any(|line| line.1.is_some() && line.2 >= 1.0).then_some(now));
                    host.recorded(ticket);
                }
                _ => {}
            }
        }
        answer_all(&mut host, now, &frames);
        now += SECOND / 20;
    }
    let (dropped, opened) = (dropped.expect("the slice is revoked"), opened.expect("the slice is opened"));
    assert!(opened - dropped >= SETTLE, "writes opened {} after the revoke", opened - dropped);
}

fn server_index(host: &Host, id: &str) -> usize {
    (0..2).find(|&server| host.server(server).id == id).expect("the server is known")
}
