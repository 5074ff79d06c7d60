//! Captures that keep all rules, and captures that break each one.

use ravenspar_protocol::{kind, tag, Frame, VERSION};
use ravenspar_standin::capture::hex;

use super::*;

const NO_VIOLATIONS: [usize; 0] = [];
const A: u64 = 0;
const B: u64 = 1;

fn rules() -> Rules {
    let kind = |name: &str, credit| Kind { name: name.to_owned(), credit, response_target: SECOND };
    Rules {
        max_unserved: 5 * SECOND,
        drain_grace: 2 * SECOND,
        only_draining_binds: false,
        cold_for: 4 * SECOND,
        max_waiting_lines: 100.0,
        message_cost: 10,
        max_messages: 4,
        message_window: 10 * SECOND,
        slices: 2,
        kinds: vec![kind("quote", 1.0), kind("commit", 2.0)],
    }
}

fn down(at: Time, stream: u64, frame: &mut Frame) -> Event {
    Event::Frame { at, stream, down: true, body: hex(&frame.finish()) }
}

/// A forwarder connects and receives both slices, routed to server a.
fn connects(at: Time, stream: u64, forwarder: u64) -> Vec<Event> {
    let hello = Frame::new(kind::HELLO).numbers(tag::PROXY, &[forwarder]).finish();
    let mut read = Frame::new(kind::READ);
    read.text(tag::SERVER, &[A], "a").text(tag::SERVER, &[B], "b").numbers(tag::CHARGE, &[0, 2, 1]);
    read.numbers(tag::LINE, &[0, A, 1_000_000])
        .numbers(tag::LINE, &[1, A, 1_000_000])
        .numbers(tag::END, &[0]);
    vec![
        Event::Frame { at, stream, down: false, body: hex(&hello) },
        down(
            at,
            stream,
            Frame::new(kind::WELCOME).numbers(tag::VERSION, &[VERSION]).numbers(tag::TERM, &[1]),
        ),
        down(at, stream, &mut read),
    ]
}

fn drops(at: Time, stream: u64, mark: u64) -> Event {
    down(at, stream, Frame::new(kind::TABLE).numbers(tag::DROP, &[0]).numbers(tag::MARK, &[mark]))
}

fn grants(at: Time, stream: u64, server: u64, mark: u64) -> Event {
    let mut frame = Frame::new(kind::TABLE);
    frame.text(tag::SERVER, &[B], "b").text(tag::SERVER, &[A], "a");
    down(at, stream, frame.numbers(tag::LINE, &[0, server, 1_000_000]).numbers(tag::MARK, &[mark]))
}

fn listed(at: Time, states: &[(&str, &str, Time)]) -> Event {
    let servers = states.iter().map(|&(id, state, boot)| (id.to_owned(), state.to_owned(), boot));
    Event::Listed { at, servers: servers.collect() }
}

fn took(at: Time, server: &str, req: u64, forwarder: u64, until: Time) -> Event {
    Event::Accepted {
        at,
        server: server.to_owned(),
        req,
        attempt: 0,
        slice: 0,
        writes: true,
        forwarder,
        until,
    }
}

fn ended(at: Time, server: &str, req: u64) -> Event {
    Event::Ended { at, server: server.to_owned(), req, attempt: 0, slice: 0, writes: true, done: true }
}

/// Returns the rules that these events break after two forwarders have connected.
fn broken_rules(events: impl IntoIterator<Item = Event>) -> Vec<usize> {
    let mut all = vec![listed(0, &[("a", "ready", 0), ("b", "ready", 0)])];
    all.extend(connects(1, 1, 0));
    all.extend(connects(1, 2, 1));
    all.extend(events);
    let mut rules: Vec<usize> = judge(&all, &rules()).violations.iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn a_hand_over_in_order_breaks_nothing() {
    let events = [
        took(10, "a", 1, 0, SECOND),
        ended(20, "a", 1),
        drops(100, 1, 1),
        drops(110, 2, 1),
        grants(20_000, 1, B, 2),
        grants(20_010, 2, B, 2),
        took(20_100, "b", 2, 1, 30_000),
        ended(20_200, "b", 2),
        // Back to the first owner.
        drops(30_000, 1, 3),
        drops(30_010, 2, 3),
        grants(50_000, 1, A, 4),
        took(50_100, "a", 3, 0, 60_000),
        ended(50_200, "a", 3),
    ];
    assert_eq!(broken_rules(events.clone()), NO_VIOLATIONS);
    let gaps = tables::ForwarderTables::new(&[connects(1, 1, 0), events.to_vec()].concat(), 2).gaps(&events);
    assert_eq!((gaps.count(), gaps.worst_route(), gaps.worst_write()), (2, 20_000, 20_100));
}

#[test]
fn rule_1_a_slice_without_a_server_for_too_long() {
    let unserved = |at| [drops(100, 1, 1), listed(at, &[("a", "ready", 0)])];
    assert_eq!(broken_rules(unserved(100 + 5 * SECOND)), NO_VIOLATIONS);
    assert_eq!(broken_rules(unserved(101 + 5 * SECOND)), [0]);
    // No violation while the list has no server, or only a cold one.
    let hidden = [drops(100, 1, 1), listed(200, &[]), listed(9 * SECOND, &[])];
    assert_eq!(broken_rules(hidden), NO_VIOLATIONS);
    let cold = [drops(100, 1, 1), listed(200, &[("a", "ready", 200)]), listed(8 * SECOND, &[])];
    assert_eq!(broken_rules(cold), NO_VIOLATIONS);
}

#[test]
fn rule_2_a_write_while_another_server_has_one_in_progress() {
    assert_eq!(
        broken_rules([took(10, "a", 1, 0, 500), grants(100, 2, B, 1), took(200, "b", 2, 1, 900)]),
        [1]
    );
    let over = [took(10, "a", 1, 0, 500), ended(50, "a", 1), grants(100, 2, B, 1), took(200, "b", 2, 1, 900)];
    assert_eq!(broken_rules(over), NO_VIOLATIONS);
    let down = Event::Down { at: 60, server: "a".to_owned() };
    assert_eq!(
        broken_rules([took(10, "a", 1, 0, 500), down, grants(100, 2, B, 1), took(200, "b", 2, 1, 900)]),
        NO_VIOLATIONS
    );
}

#[test]
fn rule_2_a_former_owner_after_a_later_one() {
    let events = [
        took(10, "a", 1, 0, 20),
        grants(100, 2, B, 1),
        took(200, "b", 2, 1, 300),
        ended(210, "b", 2),
        // Forwarder 0 never received the later grant.
        took(400, "a", 3, 0, 500),
    ];
    assert_eq!(broken_rules(events), [1]);
}

#[test]
fn rule_2_an_effect_twice() {
    let again = [took(10, "a", 1, 0, 20), ended(15, "a", 1), took(30, "a", 1, 0, 40), ended(35, "a", 1)];
    assert_eq!(broken_rules(again), [1]);
}

#[test]
fn rule_3_a_req_after_the_grace() {
    let drain = |at| [listed(100, &[("a", "draining", 0), ("b", "ready", 0)]), took(at, "a", 1, 0, at + 10)];
    assert_eq!(broken_rules(drain(100 + 2 * SECOND)), NO_VIOLATIONS);
    assert_eq!(broken_rules(drain(100 + 3 * SECOND)), [2]);
    let dropped = [listed(100, &[("b", "ready", 0)]), took(4 * SECOND, "a", 1, 0, 5 * SECOND)];
    assert_eq!(broken_rules(dropped.clone()), [2]);
    // A stopped steward could not read the list.
    let stopped = Event::Steward { at: 90, number: 0, state: "stopped".to_owned() };
    assert_eq!(broken_rules([vec![stopped], dropped.to_vec()].concat()), NO_VIOLATIONS);
}

/// A steward isn't blamed for reqs of a forwarder that is no longer assigned the slice by it.
#[test]
fn rule_3_binds_only_the_assigned_steward() {
    let left = down(5, 1, Frame::new(kind::TABLE).numbers(tag::LEFT, &[0, 2]));
    let late = took(4 * SECOND, "a", 1, 7, 5 * SECOND);
    let day = |left: Option<Event>| {
        let mut events = connects(0, 1, 7);
        events.extend(left);
        events.extend([listed(10, &[("a", "draining", 0), ("b", "ready", 0)]), late.clone()]);
        events
    };
    assert_eq!(broken_rules(day(None)), [2]);
    assert_eq!(broken_rules(day(Some(left))), NO_VIOLATIONS);
}

#[test]
fn rule_4_a_cold_server_overloaded() {
    let fell = |boot| {
        [listed(100, &[("a", "ready", 50)]), Event::Overloaded { at: 200, server: "a".to_owned(), boot }]
    };
    assert_eq!(broken_rules(fell(50)), [3]);
    // That start was never listed.
    assert_eq!(broken_rules(fell(150)), NO_VIOLATIONS);
}

#[test]
fn rule_5_too_many_messages() {
    let messages = |gap: Time| (1..=5).map(move |n| drops(n as Time * gap, 1, n as u64)).collect::<Vec<_>>();
    assert_eq!(broken_rules(messages(3 * SECOND)), [0]);
    assert!(broken_rules(messages(SECOND)).contains(&4));
}

#[test]
fn rule_5_too_many_lines_waiting() {
    // Two updates of 50 lines reach one forwarder, but only the first reaches the other.
    let update = |at, stream, mark| {
        let mut frame = Frame::new(kind::TABLE);
        (0..50).for_each(|_| _ = frame.numbers(tag::LEVEL, &[1, 1, 0]));
        down(at, stream, frame.numbers(tag::MARK, &[mark]))
    };
    assert_eq!(broken_rules([update(10, 1, 1), update(10, 2, 1), update(20, 1, 2)]), NO_VIOLATIONS);
    assert_eq!(broken_rules([update(10, 1, 1), update(10, 2, 1), update(20, 1, 2), update(30, 1, 3)]), [4]);
}

#[test]
fn service_counts_credit_within_the_response_target_with_retries_in_their_first_try() {
    let asked = |req, kind| Event::Requested { at: 10, req, kind };
    let answered = |req, kind, status, took| Event::Answered { at: 10 + took, req, kind, status, took };
    let done = ravenspar_standin::status::DONE;
    let events = [
        asked(1, 0),
        asked(2, 1),
        asked(3, 1),
        answered(1, 0, done, SECOND),
        answered(2, 1, done, SECOND + 1),
    ];
    let service = service::count(&events, &rules(), 0);
    assert_eq!((service.reqs, service.total_share), (3, 1.0 / 5.0));
    assert_eq!(service.kinds, [("quote".to_owned(), 1.0), ("commit".to_owned(), 0.0)]);
}
