//! The host must not assume that a proxy without a stream holds nothing. Single cases of leases that this host did not
//! grant and of changes that a proxy has not applied; `leases.rs` searches for such cases at random.

mod common;

use common::*;
use ravenspar_host::{Host, Output, Server};
use ravenspar_protocol::{kind, tag};
use ravenspar_steward::{Health, ListScope, Time, SECOND};

const SERVERS: [&str; 2] = ["a", "b"];
/// Interval at which the host is polled.
const STEP: Time = SECOND / 20;

/// Passes a complete server list in which the first server is draining.
fn drain(host: &mut Host) {
    host.list_begin(ListScope::Complete);
    for (id, health) in SERVERS.iter().zip([Health::Draining, Health::Ready]) {
        host.list_entry(id, "zone", "127.0.0.1:1", health, 0);
    }
    host.list_end(ListScope::Complete);
}

/// A host that starts from another steward's record: one slice at the first server.
fn host_from_record(now: Time, proxies: usize) -> Host {
    let server =
        |id: &str| Server { id: id.to_owned(), zone: "zone".to_owned(), address: "127.0.0.1:1".to_owned() };
    let list = SERVERS.map(|id| (server(id), Health::Ready, 0));
    let record = [(0, SERVERS[0].to_owned(), 1.0)];
    let mut host = Host::new(now, 7, settings(1, proxies), 2, &list, &record).expect("settings are complete");
    common::list(&mut host, &SERVERS, Health::Ready);
    host
}

fn join(host: &mut Host, now: Time, stream: u64, proxy: u64, boot: u64) {
    host.opened(now, stream);
    host.frame(now, stream, &hello(proxy, boot));
    let frames = settle(host, now);
    answer_all(host, now, &frames);
}

/// Returns when the slice is granted; the proxy on this stream answers at once.
fn granted_at(host: &mut Host, from: Time, stream: u64) -> Time {
    let mut now = from;
    loop {
        let frames = run_for_span(host, now, now + STEP, &[stream]);
        let grants =
            |(_, body): &(u64, Vec<u8>)| body[0] == kind::TABLE && !read(body, tag::LINE).1.is_empty();
        if frames.iter().any(grants) {
            return now;
        }
        now += STEP;
        assert!(now < from + 10 * SECOND, "no slice was granted");
    }
}

/// The proxy that answers may be a later incarnation, while the earlier one is paused with a lease of the previous
/// steward.
#[test]
fn after_a_start_answers_count_once_leases_of_the_previous_steward_have_expired() {
    let mut host = host_from_record(0, 1);
    join(&mut host, 0, 1, 0, 2);
    drain(&mut host);
    let granted = granted_at(&mut host, 0, 1);
    assert!(granted >= LEASE + SETTLE, "granted at {granted}");
}

/// An empty record may be one that was lost.
#[test]
fn without_a_record_nothing_is_granted_before_leases_of_a_previous_steward_have_expired() {
    let mut host = host(0, 1, 1, &SERVERS);
    join(&mut host, 0, 1, 0, 1);
    let granted = granted_at(&mut host, 0, 1);
    assert!(granted >= LEASE + SETTLE, "granted at {granted}");
}

/// The same, where the earlier incarnation was echoed by this host.
#[test]
fn the_answer_of_a_later_incarnation_counts_once_the_earlier_lease_has_expired() {
    let mut host = host(0, 1, 1, &SERVERS[..1]);
    join(&mut host, 0, 1, 0, 1);
    let start = granted_at(&mut host, 0, 1) + SECOND;
    // The first incarnation is echoed right before it is replaced.
    run_for_span(&mut host, start - STEP, start, &[1]);
    let echoed = start - STEP;
    join(&mut host, start, 2, 0, 2);
    drain(&mut host);
    let granted = granted_at(&mut host, start, 2);
    assert!(granted >= echoed + LEASE + SETTLE, "granted at {granted}, echoed at {echoed}");
}

/// A proxy answers the table while a revoke is waiting to be written to its stream. The other proxies have answered the
/// revoke, so this one may not be echoed before it has applied it.
#[test]
fn a_joining_proxy_is_echoed_once_it_has_applied_the_updates_made_meanwhile() {
    let mut host = host_from_record(0, 2);
    join(&mut host, 0, 1, 0, 1);
    run_for_span(&mut host, 0, 2 * SECOND, &[1]);
    let now = 2 * SECOND;
    host.opened(now, 2);
    host.frame(now, 2, &hello(1, 1));
    host.frame(now, 2, &ping(now));
    // The slice is revoked while the table is being written.
    let table = poll_until_frame(&mut host, now, 2, kind::READ);
    drain(&mut host);
    let revoke = run_with_blocked_stream(&mut host, now, now + SECOND / 4, 1, 2);
    assert!(revoke.iter().any(|(_, body)| !read(body, tag::DROP).1.is_empty()), "the slice is revoked");
    answer_all(&mut host, now + SECOND / 4, &[(2, table)]);
    host.sent(now + SECOND / 4, 2);
    let frames = settle(&mut host, now + SECOND / 4);
    let to_joining: Vec<&Vec<u8>> = frames.iter().filter(|(of, _)| *of == 2).map(|(_, body)| body).collect();
    assert!(
        to_joining.iter().any(|body| !read(body, tag::DROP).1.is_empty()),
        "the revoke is sent to the joining proxy"
    );
    assert!(
        to_joining.iter().all(|body| body[0] != kind::ECHO),
        "the joining proxy is echoed before it has applied the revoke"
    );
    answer_all(&mut host, now + SECOND / 4, &frames);
    let frames = settle(&mut host, now + SECOND / 4);
    assert!(
        frames.iter().any(|(of, body)| *of == 2 && body[0] == kind::ECHO),
        "the joining proxy is not echoed after it has applied the revoke"
    );
}

/// Carries out all outputs up to the stream's first frame of a kind. Returns that frame, whose write stays in progress.
fn poll_until_frame(host: &mut Host, now: Time, blocked: u64, wanted: u8) -> Vec<u8> {
    loop {
        match host.poll(now).expect("the frame is sent") {
            Output::Frame { stream, body } if stream == blocked && body[0] == wanted => return body.to_vec(),
            output => carry_out(host, now, output),
        }
    }
}

/// Runs from one time to another, with one proxy that answers and one stream whose write stays in progress.
fn run_with_blocked_stream(
    host: &mut Host,
    from: Time,
    to: Time,
    answering: u64,
    blocked: u64,
) -> Vec<(u64, Vec<u8>)> {
    let mut all = Vec::new();
    for now in (from..to).step_by(STEP as usize) {
        host.frame(now, answering, &ping(now));
        host.timeout(now);
        let mut frames = Vec::new();
        while let Some(output) = host.poll(now) {
            if let Output::Frame { stream, body } = &output {
                assert_ne!(*stream, blocked, "a second frame was sent during a write");
                frames.push((*stream, body.to_vec()));
            }
            carry_out(host, now, output);
        }
        answer_all(host, now, &frames);
        all.extend(frames);
    }
    all
}

fn carry_out(host: &mut Host, now: Time, output: Output) {
    match output {
        Output::Frame { stream, .. } => host.sent(now, stream),
        Output::Record { ticket, .. } => host.recorded(ticket),
        _ => {}
    }
}
