//! Test helpers: a host with its settings, and frames as proxies write and read them.
#![allow(dead_code)] // no test file uses all of them

use ravenspar_host::{Host, Output};
use ravenspar_protocol::{kind, tag, Body, Frame, VERSION};
use ravenspar_steward::{Health, ListScope, Settings, Time, SECOND};

pub const LEASE: Time = SECOND;
pub const SETTLE: Time = SECOND;
pub const SILENT: Time = SECOND;

/// Settings for this many slices and proxies.
pub fn settings(slices: usize, proxies: usize) -> Settings {
    let mut cfg = Settings::default();
    for (name, value) in [
        ("family_info.write_lease_s", "1"),
        ("family_info.settle_s", "1"),
        ("family_info.hold_s", "0.5"),
        ("family_info.channel_rate", "100000"),
        ("family_info.pending_max", "100000"),
        ("family_info.fixed_cost", "10"),
        ("family_info.pushes_allowed", "0"),
        ("family_info.update_window_s", "10"),
        ("family_info.cycle_s", "0.5"),
        ("family_info.intake_per_s", "1000"),
        ("family_info.mutating", "false,true"),
        ("family_info.admit", "ratio"),
        ("family_info.single_writer", "true"),
        ("classes.count", "2"),
        ("classes.0.name", "quote"),
        ("classes.1.name", "commit"),
        ("classes.0.worth", "1"),
        ("classes.1.worth", "2"),
        ("safety.cold_from", "0.2"),
        ("safety.cold_s", "2"),
        ("safety.fall_multiple", "2.5"),
        ("discovery", "pushed"),
        ("host.silent_s", "1"),
        ("tick_s", "0.002"),
    ] {
        cfg.set(name, value);
    }
    cfg.set("family_info.ranges", &slices.to_string());
    cfg.set("family_info.proxy_count", &proxies.to_string());
    cfg
}

/// A host that all slices are assigned to, with these servers ready.
pub fn host(now: Time, slices: usize, proxies: usize, servers: &[&str]) -> Host {
    host_of(now, settings(slices, proxies), servers)
}

/// The same, with other settings.
pub fn host_of(now: Time, cfg: Settings, servers: &[&str]) -> Host {
    let mut host = Host::new(now, 7, cfg, 1, &[], &[]).expect("settings are complete");
    list(&mut host, servers, Health::Ready);
    host
}

/// Passes a complete server list: these servers, all with this health.
pub fn list(host: &mut Host, servers: &[&str], health: Health) {
    host.list_begin(ListScope::Complete);
    for id in servers {
        host.list_entry(id, "zone", "127.0.0.1:1", health, 0);
    }
    host.list_end(ListScope::Complete);
}

pub fn hello(proxy: u64, boot: u64) -> Vec<u8> {
    let mut frame = Frame::new(kind::HELLO);
    frame.numbers(tag::VERSION, &[VERSION]).numbers(tag::PROXY, &[proxy]).numbers(tag::BOOT, &[boot]);
    frame.finish().to_vec()
}

pub fn ping(sent: Time) -> Vec<u8> {
    Frame::new(kind::PING).numbers(tag::SENT, &[sent as u64]).finish().to_vec()
}

pub fn answer(tag: u8, number: u64) -> Vec<u8> {
    Frame::new(kind::ANSWER).numbers(tag, &[number]).finish().to_vec()
}

/// Returns a frame's kind, and the first number of each of its fields with this tag.
pub fn read(body: &[u8], wanted: u8) -> (u8, Vec<u64>) {
    let mut body = Body::new(body).expect("valid frame");
    let mut found = Vec::new();
    while let Some((tag, mut field)) = body.field().expect("valid field") {
        if tag == wanted {
            found.push(field.number().expect("valid number"));
        }
    }
    (body.kind(), found)
}

/// Carries out all outputs: frames are sent and routes recorded at once. Returns the frames in order.
pub fn settle(host: &mut Host, now: Time) -> Vec<(u64, Vec<u8>)> {
    let mut frames = Vec::new();
    host.timeout(now);
    while let Some(output) = host.poll(now) {
        match output {
            Output::Frame { stream, body } => {
                frames.push((stream, body.to_vec()));
                host.sent(now, stream);
            }
            Output::Record { ticket, .. } => host.recorded(ticket),
            _ => {}
        }
    }
    frames
}

/// Answers every epoch and end in these frames.
pub fn answer_all(host: &mut Host, now: Time, frames: &[(u64, Vec<u8>)]) {
    for (stream, body) in frames {
        for wanted in [tag::MARK, tag::END] {
            for number in read(body, wanted).1 {
                host.frame(now, *stream, &answer(wanted, number));
            }
        }
    }
}

/// Runs from one time to another, with the proxies on these streams answering and pinging. Returns the frames sent.
pub fn run_for_span(host: &mut Host, from: Time, to: Time, streams: &[u64]) -> Vec<(u64, Vec<u8>)> {
    let mut all = Vec::new();
    let mut now = from;
    while now < to {
        for &stream in streams {
            host.frame(now, stream, &ping(now));
        }
        loop {
            let frames = settle(host, now);
            if frames.is_empty() {
                break;
            }
            answer_all(host, now, &frames);
            all.extend(frames);
        }
        now += SECOND / 20;
    }
    all
}
