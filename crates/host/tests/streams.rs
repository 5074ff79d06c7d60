//! Streams of proxies: joining, answering, limits and closing, one case per test.

mod common;

use common::*;
use proptest::prelude::*;
use ravenspar_host::{CloseReason, Host, Output};
use ravenspar_protocol::{kind, tag};
use ravenspar_steward::{Health, Time, SECOND};

fn kinds(frames: &[(u64, Vec<u8>)], stream: u64) -> Vec<u8> {
    frames.iter().filter(|(of, _)| *of == stream).map(|(_, body)| body[0]).collect()
}

/// Returns the streams that the host closes, with the reasons.
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
fn a_proxy_reads_the_whole_table_before_it_is_joined_and_echoed() {
    let mut host = host(0, 4, 1, &["a"]);
    host.opened(0, 9);
    host.frame(0, 9, &hello(0, 1));
    host.frame(0, 9, &ping(5));
    let frames = settle(&mut host, 10);
    assert_eq!(kinds(&frames, 9), [kind::WELCOME, kind::READ]);
    assert_eq!(host.metrics().joined, 0);
    answer_all(&mut host, 20, &frames);
    let frames = settle(&mut host, 20);
    assert_eq!(host.metrics().joined, 1);
    let (kind, sent) = read(&frames[0].1, tag::SENT);
    assert_eq!((kind, sent), (kind::ECHO, vec![5]));
}

#[test]
fn no_route_is_sent_before_it_is_recorded() {
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
                    assert_ne!(body[0], kind::TABLE, "a line was sent before it was recorded");
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
fn an_unsupported_version_and_an_unknown_proxy_number_are_refused() {
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
fn a_silent_a_stuck_and_an_unanswering_stream_are_closed() {
    let mut host = host(0, 2, 3, &["a"]);
    host.opened(0, 1);
    join(&mut host, 0, 2, 1, 1);
    join(&mut host, 0, 3, 2, 1);
    // Stream 1 sends nothing; 2 accepts nothing; 3 pings and never answers the mark.
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
fn a_newer_stream_of_a_proxy_closes_the_older_whose_answers_no_longer_count() {
    let mut host = host(0, 2, 1, &["a"]);
    join(&mut host, 0, 1, 0, 1);
    host.opened(10, 2);
    host.frame(10, 2, &hello(0, 1));
    assert_eq!(closes(&mut host, 10), [(1, CloseReason::Replaced)]);
    let stray = host.metrics().stray_answers;
    host.frame(11, 1, &answer(tag::END, 0));
    assert_eq!(host.metrics().joined, 0);
    assert_eq!(host.metrics().stray_answers, stray, "a frame on a closed stream is ignored");
}

#[test]
fn an_answer_to_a_mark_that_was_never_sent_does_not_count() {
    let mut host = host(0, 2, 1, &["a"]);
    join(&mut host, 0, 1, 0, 1);
    host.frame(1, 1, &answer(tag::MARK, 1));
    host.frame(1, 1, &answer(tag::END, 12));
    assert_eq!(host.metrics().stray_answers, 2);
}

/// Guards against a proxy that reads nothing and rejoins whenever its stream is closed: each join used to restart the
/// wait for its answer, so that slices stopped moving.
#[test]
fn a_proxy_that_reads_nothing_and_rejoins_does_not_delay_a_hand_over() {
    let mut host = host(0, 2, 2, &["a", "b"]);
    join(&mut host, 0, 1, 0, 1);
    join(&mut host, 0, 2, 1, 1);
    run_for_span(&mut host, 0, 4 * SECOND, &[1, 2]);
    list(&mut host, &["a"], Health::Ready);
    // From now on proxy 1 reads nothing on any of its streams.
    let (mut stuck_stream, mut granted, mut now) = (2, false, 4 * SECOND);
    while now < 12 * SECOND && !granted {
        now += SECOND / 20;
        host.frame(now, 1, &ping(now));
        host.frame(now, stuck_stream, &ping(now));
        host.timeout(now);
        while let Some(output) = host.poll(now) {
            match output {
                Output::Frame { stream: 1, body } => {
                    host.sent(now, 1);
                    granted |= body[0] == kind::TABLE && !read(&body, tag::LINE).1.is_empty();
                    answer_all(&mut host, now, &[(1, body.to_vec())]);
                }
                Output::Record { ticket, .. } => host.recorded(ticket),
                Output::Close { stream, .. } if stream == stuck_stream => {
                    stuck_stream += 1;
                    host.opened(now, stuck_stream);
                    host.frame(now, stuck_stream, &hello(1, 1));
                }
                _ => {}
            }
        }
    }
    assert!(granted, "the slices of b were not granted by {now}");
    assert!(stuck_stream > 2, "the stuck stream was never closed");
    assert!(now - 4 * SECOND <= SILENT + LEASE + SETTLE + SECOND, "the grant took until {now}");
}

/// Guards against a proxy process that is paused, replaced by another with its number, and resumed.
#[test]
fn answers_of_a_new_incarnation_wait_for_the_lease_of_the_previous_one() {
    let mut host = host(0, 1, 1, &["a", "b"]);
    join(&mut host, 0, 1, 0, 1);
    let start = 4 * SECOND;
    run_for_span(&mut host, 0, start, &[1]);
    host.frame(start, 1, &ping(start));
    settle(&mut host, start);
    host.closed(start, 1);
    join(&mut host, start, 2, 0, 2);
    let owner = if host.server(0).id == "a" { "b" } else { "a" };
    // The owner of the slice disappears from the list, whichever of the two it is.
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
        line.expect("the slice is granted") >= start + LEASE,
        "granted at {line:?} while the earlier incarnation may write"
    );
}

proptest! {
    /// Any inputs in any order cause no panic, and the same inputs give the same outputs byte for byte.
    #[test]
    fn the_same_inputs_give_the_same_outputs(
        steps in prop::collection::vec((0u8..7, 0u64..4, prop::collection::vec(any::<u8>(), 0..20), 0i64..3_000), 1..120),
    ) {
        let run = || {
            let mut host = host(0, 3, 2, &["a", "b"]);
            let (mut now, mut seen) = (0, Vec::new());
            for (input, stream, bytes, delay) in &steps {
                now += delay;
                match input {
                    0 => host.opened(now, *stream),
                    1 => host.frame(now, *stream, &hello(stream % 3, 1 + *delay as u64 % 2)),
                    2 => host.frame(now, *stream, bytes),
                    3 => host.closed(now, *stream),
                    4 => list(&mut host, &["a", "b"][..*stream as usize % 3], Health::Ready),
                    5 => host.frame(now, *stream, &answer(tag::MARK, *delay as u64 % 5)),
                    _ => {
                        let frames = settle(&mut host, now);
                        answer_all(&mut host, now, &frames);
                        seen.extend(frames);
                    }
                }
            }
            (seen, host.metrics())
        };
        prop_assert_eq!(run(), run());
    }
}

/// `docs/incidents/reminder-lost.md`: an update made at the time of a reminder asks for the next reminder, and handling
/// the first one afterwards must not lose the second.
#[test]
fn a_reminder_that_coincides_with_an_update_does_not_lose_the_next() {
    let mut host = host(0, 2, 1, &["a"]);
    join(&mut host, 0, 1, 0, 1);
    settle(&mut host, 0);
    // At each reminder other input arrives first and is decided on before the timeout is handled.
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
    // From here on the host gets no input but timeouts and pings.
    let mut granted = false;
    while !granted && now < 10 * (LEASE + SETTLE) {
        now = host.next_timeout(now).max(now + 1);
        host.frame(now, 1, &ping(now));
        let frames = settle(&mut host, now);
        granted = frames.iter().any(|(_, body)| !read(body, tag::LINE).1.is_empty());
        answer_all(&mut host, now, &frames);
    }
    assert!(granted, "no further decisions were made");
}
