//! Joins, answers, bounds and breaks, one at a time.

mod common;

use common::*;
use proptest::prelude::*;
use ravenspar_host::{CloseReason, Host, Output};
use ravenspar_protocol::{kind, tag};
use ravenspar_steward::{Health, Time, SECOND};

fn kinds(frames: &[(u64, Vec<u8>)], stream: u64) -> Vec<u8> {
    frames.iter().filter(|(of, _)| *of == stream).map(|(_, body)| body[0]).collect()
}

/// The reasons of all streams closed.
fn closes(host: &mut Host, now: Time) -> Vec<(u64, CloseReason)> {
    host.timeout(now);
    let outputs = std::iter::from_fn(|| host.poll(now));
    let close = |output| match output {
        Output::Close { stream, why } => Some((stream, why)),
        _ => None,
    };
    outputs.filter_map(close).collect()
}

fn join(host: &mut Host, now: Time, stream: u64, proxy: u64, boot: u64) {
    host.opened(now, stream);
    host.frame(now, stream, &hello(proxy, boot));
    let frames = settle(host, now);
    answer_all(host, now, &frames);
}

#[test]
fn a_proxy_reads_all_before_it_is_joined_and_echoed() {
    let mut host = host(0, 4, 1, &["a"]);
    host.opened(0, 9);
    host.frame(0, 9, &hello(0, 1));
    host.frame(0, 9, &ping(5));
    let frames = settle(&mut host, 10);
    assert_eq!(kinds(&frames, 9), [kind::WELCOME, kind::READ]);
    assert_eq!(host.figures().joined, 0);
    answer_all(&mut host, 20, &frames);
    let frames = settle(&mut host, 20);
    assert_eq!(host.figures().joined, 1);
    let (kind, sent) = read(&frames[0].1, tag::SENT);
    assert_eq!((kind, sent), (kind::ECHO, vec![5]));
}

#[test]
fn nothing_leaves_before_it_is_recorded() {
    let mut host = host(0, 2, 1, &["a"]);
    join(&mut host, 0, 1, 0, 1);
    let mut now = 0;
    let mut ticket = None;
    while ticket.is_none() && now < 10 * SECOND {
        now += SECOND / 10;
        host.frame(now, 1, &ping(now));
        host.timeout(now);
        while let Some(output) = host.poll(now) {
            match output {
                Output::Record { ticket: t, .. } => ticket = Some(t),
                Output::Frame { stream, body } => {
                    assert_ne!(body[0], kind::TABLE, "a line left before it was on record");
                    host.sent(now, stream);
                }
                _ => {}
            }
        }
    }
    host.recorded(ticket.expect("slices are granted"));
    assert!(kinds(&settle(&mut host, now), 1).contains(&kind::TABLE));
}

#[test]
fn another_version_and_a_number_without_room_are_told_so() {
    let mut host = host(0, 2, 1, &["a"]);
    for (stream, body, why) in [
        (1, vec![kind::HELLO, tag::VERSION, 1, 99], CloseReason::Version),
        (2, hello(7, 1), CloseReason::Number),
    ] {
        host.opened(0, stream);
        host.frame(0, stream, &body);
        let outputs: Vec<Output> = std::iter::from_fn(|| host.poll(0)).collect();
        assert!(outputs.iter().any(|o| matches!(o, Output::Frame { body, .. } if body[0] == kind::REFUSAL)));
        assert!(outputs.contains(&Output::Close { stream, why }));
    }
}

#[test]
fn a_silent_a_stuck_and_a_dumb_stream_are_broken() {
    let mut host = host(0, 2, 3, &["a"]);
    host.opened(0, 1);
    join(&mut host, 0, 2, 1, 1);
    join(&mut host, 0, 3, 2, 1);
    // 1 says nothing; 2 takes nothing in; 3 pings and never answers the mark.
    let mut broken = Vec::new();
    for step in 1..100 {
        let now = step * SECOND / 10;
        for stream in [2, 3] {
            host.frame(now, stream, &ping(now));
        }
        host.timeout(now);
        while let Some(output) = host.poll(now) {
            match output {
                Output::Frame { stream: 3, .. } => host.sent(now, 3),
                Output::Record { ticket, .. } => host.recorded(ticket),
                Output::Close { stream, why } => broken.push((stream, why)),
                _ => {}
            }
        }
    }
    broken.sort_by_key(|&(stream, _)| stream);
    assert_eq!(broken, [(1, CloseReason::Silent), (2, CloseReason::Stuck), (3, CloseReason::Unanswered)]);
}

#[test]
fn a_newer_stream_of_a_number_ends_the_older_whose_answers_count_no_more() {
    let mut host = host(0, 2, 1, &["a"]);
    join(&mut host, 0, 1, 0, 1);
    host.opened(10, 2);
    host.frame(10, 2, &hello(0, 1));
    assert_eq!(closes(&mut host, 10), [(1, CloseReason::Replaced)]);
    let stray = host.figures().stray_answers;
    host.frame(11, 1, &answer(tag::END, 0));
    assert_eq!(host.figures().joined, 0);
    assert_eq!(host.figures().stray_answers, stray, "a stream that is gone says nothing");
}

#[test]
fn an_answer_to_what_was_never_sent_does_not_count() {
    let mut host = host(0, 2, 1, &["a"]);
    join(&mut host, 0, 1, 0, 1);
    host.frame(1, 1, &answer(tag::MARK, 1));
    host.frame(1, 1, &answer(tag::END, 12));
    assert_eq!(host.figures().stray_answers, 2);
}

/// Guards against a proxy that reads nothing and joins anew whenever it is broken off: each join used to start the
/// wait for its answer again, and no slice moved any more.
#[test]
fn a_deaf_proxy_that_rejoins_holds_no_hand_over_up() {
    let mut host = host(0, 2, 2, &["a", "b"]);
    join(&mut host, 0, 1, 0, 1);
    join(&mut host, 0, 2, 1, 1);
    pass(&mut host, 0, 4 * SECOND, &[1, 2]);
    list(&mut host, &["a"], Health::Ready);
    // From now on proxy 1 is deaf on whatever stream it has.
    let (mut deaf, mut granted, mut now) = (2, false, 4 * SECOND);
    while now < 12 * SECOND && !granted {
        now += SECOND / 20;
        host.frame(now, 1, &ping(now));
        host.frame(now, deaf, &ping(now));
        host.timeout(now);
        while let Some(output) = host.poll(now) {
            match output {
                Output::Frame { stream: 1, body } => {
                    host.sent(now, 1);
                    granted |= body[0] == kind::TABLE && !read(&body, tag::LINE).1.is_empty();
                    answer_all(&mut host, now, &[(1, body.to_vec())]);
                }
                Output::Record { ticket, .. } => host.recorded(ticket),
                Output::Close { stream, .. } if stream == deaf => {
                    deaf += 1;
                    host.opened(now, deaf);
                    host.frame(now, deaf, &hello(1, 1));
                }
                _ => {}
            }
        }
    }
    assert!(granted, "the slices of b went nowhere by {now}");
    assert!(deaf > 2, "it was never broken off");
    assert!(now - 4 * SECOND <= SILENT + LEASE + SETTLE + SECOND, "it took until {now}");
}

/// Guards against a process that is stopped, replaced by another of its number, and continued.
#[test]
fn answers_of_another_life_wait_for_the_lease_of_the_one_before() {
    let mut host = host(0, 1, 1, &["a", "b"]);
    join(&mut host, 0, 1, 0, 1);
    let start = 4 * SECOND;
    pass(&mut host, 0, start, &[1]);
    host.frame(start, 1, &ping(start));
    settle(&mut host, start);
    host.closed(start, 1);
    join(&mut host, start, 2, 0, 2);
    let owner = if host.server(0).id == "a" { "b" } else { "a" };
    // Whoever owns the slice leaves it: only one of both stays.
    list(&mut host, &[owner], Health::Ready);
    list(&mut host, &["c"], Health::Ready);
    let mut now = start;
    let mut line = None;
    while line.is_none() && now < start + 10 * SECOND {
        now += SECOND / 100;
        host.frame(now, 2, &ping(now));
        let frames = settle(&mut host, now);
        answer_all(&mut host, now, &frames);
        if frames.iter().any(|(_, body)| body[0] == kind::TABLE && !read(body, tag::LINE).1.is_empty()) {
            line = Some(now);
        }
    }
    assert!(
        line.expect("it is granted in the end") >= start + LEASE,
        "granted at {line:?} while the other may write"
    );
}

proptest! {
    /// Whatever streams bring, in whatever order: no panic, and the same outputs byte for byte.
    #[test]
    fn any_inputs_give_the_same_outputs_twice(
        steps in prop::collection::vec((0u8..7, 0u64..4, prop::collection::vec(any::<u8>(), 0..20), 0i64..3_000), 1..120),
    ) {
        let run = || {
            let mut host = host(0, 3, 2, &["a", "b"]);
            let (mut now, mut seen) = (0, Vec::new());
            for (what, stream, bytes, wait) in &steps {
                now += wait;
                match what {
                    0 => host.opened(now, *stream),
                    1 => host.frame(now, *stream, &hello(stream % 3, 1 + *wait as u64 % 2)),
                    2 => host.frame(now, *stream, bytes),
                    3 => host.closed(now, *stream),
                    4 => list(&mut host, &["a", "b"][..*stream as usize % 3], Health::Ready),
                    5 => host.frame(now, *stream, &answer(tag::MARK, *wait as u64 % 5)),
                    _ => {
                        let frames = settle(&mut host, now);
                        answer_all(&mut host, now, &frames);
                        seen.extend(frames);
                    }
                }
            }
            (seen, host.figures())
        };
        prop_assert_eq!(run(), run());
    }
}

/// `docs/incidents/reminder-lost.md`: a turn that comes by itself at the moment of a reminder asks for the next one, and
/// the reminder that is still to be handed in must not swallow that.
#[test]
fn a_reminder_met_by_a_turn_does_not_swallow_the_next() {
    let mut host = host(0, 2, 1, &["a"]);
    join(&mut host, 0, 1, 0, 1);
    settle(&mut host, 0);
    // At every time that it asks for, something comes in first, and is decided on before the timeout.
    let mut now = 0;
    for _ in 0..3 {
        now = host.next_timeout(now).max(now) + 1;
        list(&mut host, &["a"], Health::Ready);
        while let Some(output) = host.poll(now) {
            if let Output::Frame { stream, .. } = output {
                host.sent(now, stream);
            }
        }
        host.timeout(now);
        while let Some(output) = host.poll(now) {
            if let Output::Frame { stream, .. } = output {
                host.sent(now, stream);
            }
        }
    }
    // From here on nothing comes but what it asks for itself.
    let mut granted = false;
    while !granted && now < 10 * (LEASE + SETTLE) {
        now = host.next_timeout(now).max(now + 1);
        host.frame(now, 1, &ping(now));
        let frames = settle(&mut host, now);
        granted = frames.iter().any(|(_, body)| !read(body, tag::LINE).1.is_empty());
        answer_all(&mut host, now, &frames);
    }
    assert!(granted, "nothing was decided any more");
}
