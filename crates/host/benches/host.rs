//! Benchmarks of the host (a ping, and an update with all its answers, at growing numbers of proxies) and of the codec.

#[path = "../tests/common/mod.rs"]
mod common;

use common::*;
use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion, Throughput};
use ravenspar_host::Host;
use ravenspar_protocol::{kind, tag, Body, Frame};
use ravenspar_steward::{Health, Time, SECOND};

const PROXIES: [usize; 3] = [100, 1_000, 10_000];
const SLICES: usize = 100;

/// Returns a host with all proxies joined and all slices granted, and the simulated time.
fn joined(proxies: usize) -> (Host, Time) {
    // No rate limit and no queue limit, so that only the work is measured and no waiting.
    let mut cfg = settings(SLICES, proxies);
    cfg.set("family_info.channel_rate", "1e15");
    cfg.set("family_info.pending_max", "1e12");
    let mut host = host_of(0, cfg, &["a", "b", "c", "d"]);
    for proxy in 0..proxies as u64 {
        host.opened(0, proxy);
        host.frame(0, proxy, &hello(proxy, 1));
    }
    let mut now = 0;
    while now < 3 * SECOND {
        for proxy in 0..proxies as u64 {
            host.frame(now, proxy, &ping(now));
        }
        loop {
            let frames = settle(&mut host, now);
            if frames.is_empty() {
                break;
            }
            answer_all(&mut host, now, &frames);
        }
        now += SECOND / 4;
    }
    assert_eq!(host.metrics().joined, proxies);
    (host, now)
}

fn pings(c: &mut Criterion) {
    let mut group = c.benchmark_group("ping, echoed");
    for proxies in PROXIES {
        let (mut host, now) = joined(proxies);
        settle(&mut host, now);
        let mut proxy = 0;
        group.bench_function(BenchmarkId::from_parameter(proxies), |b| {
            b.iter(|| {
                proxy = (proxy + 1) % proxies as u64;
                host.frame(now, proxy, &ping(now));
                while let Some(output) = host.poll(now) {
                    if let ravenspar_host::Output::Frame { stream, .. } = output {
                        host.sent(now, stream);
                    }
                }
            });
        });
    }
}

/// A drain, from the decision to the answer of every proxy; includes the steward's own work.
fn drains(c: &mut Criterion) {
    let mut group = c.benchmark_group("drain of a server, to the last answer");
    group.sample_size(10);
    for proxies in PROXIES {
        group.throughput(Throughput::Elements(proxies as u64));
        group.bench_function(BenchmarkId::from_parameter(proxies), |b| {
            b.iter_batched_ref(
                || joined(proxies),
                |(host, now)| {
                    list(host, &["a", "b", "c"], Health::Ready);
                    let frames = settle(host, *now);
                    assert!(frames.len() >= proxies, "only {} frames were sent", frames.len());
                    answer_all(host, *now, &frames);
                    settle(host, *now + 20)
                },
                BatchSize::PerIteration,
            );
        });
    }
}

fn codec(c: &mut Criterion) {
    let mut group = c.benchmark_group("frame of 20 lines");
    let write = || {
        let mut frame = Frame::new(kind::TABLE);
        for slice in 0..20 {
            frame.numbers(tag::LINE, &[slice, slice % 7, 1_000_000]);
        }
        frame.numbers(tag::MARK, &[123_456]).finish()
    };
    group.throughput(Throughput::Elements(1));
    group.bench_function("written", |b| b.iter(write));
    let bytes = write();
    group.bench_function("read", |b| {
        b.iter(|| {
            let mut body = Body::new(&bytes).expect("valid frame");
            let mut sum = 0;
            while let Some((_, mut field)) = body.field().expect("valid field") {
                while let Ok(number) = field.number() {
                    sum += number;
                }
            }
            sum
        });
    });
}

criterion_group!(benches, pings, drains, codec);
criterion_main!(benches);
