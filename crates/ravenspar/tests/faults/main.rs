//! Tests of the platform front as a process whose system calls fail in ways that Linux documents: it goes on,
//! and what was due is done once the calls work again. Each test asserts that the faults were delivered.

mod answers;
#[path = "../common/mod.rs"]
mod common;
mod disk;
mod ends;
#[path = "../platform/harness.rs"]
#[allow(dead_code)]
mod harness;
mod kills;
mod outage;
mod record;
mod schedule;
mod storm;

use harness::*;
use ravenspar_standin::platform::{Discovery, Relay};
use schedule::library;
use serde_json::Value;
use tokio::io::AsyncWriteExt;

/// Error numbers of Linux.
const EINTR: i32 = 4;
const EIO: i32 = 5;
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EADDRNOTAVAIL: i32 = 99;
const ENETUNREACH: i32 = 101;
const ECONNABORTED: i32 = 103;
const ECONNRESET: i32 = 104;
const ENOBUFS: i32 = 105;
const ETIMEDOUT: i32 = 110;
const EHOSTUNREACH: i32 = 113;

/// A steward process under a schedule of system-call faults, with its stand-ins.
struct Faulty {
    relay: Relay,
    discovery: Discovery,
    steward: Steward,
    folder: tempfile::TempDir,
}

impl Faulty {
    /// Starts a steward with all slices at A, whose system calls fail by this schedule.
    async fn start(schedule: &str) -> Faulty {
        let relay = Relay::start(2, "A", 2).await.expect("a relay");
        let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
        Faulty::start_with(relay, discovery, schedule, |_| {}).await
    }

    /// Starts it against these stand-ins and with changed settings.
    async fn start_with(
        relay: Relay,
        discovery: Discovery,
        schedule: &str,
        settings: fn(&mut Value),
    ) -> Faulty {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let (rules, delivered) = (folder.path().join("schedule"), folder.path().join("delivered"));
        std::fs::write(&rules, schedule).expect("the schedule is written");
        let (library, mut config) = (library(), config(&relay, &discovery));
        settings(&mut config);
        let environment = [
            ("LD_PRELOAD", library.as_path()),
            (ravenspar_faults::SCHEDULE, rules.as_path()),
            (ravenspar_faults::DELIVERED, delivered.as_path()),
        ];
        let level = std::env::var("RAVENSPAR_STORM_LOG").unwrap_or("info".to_owned());
        let steward = Steward::start_in(&config, &format!("--log {level}"), &environment).await;
        Faulty { relay, discovery, steward, folder }
    }

    /// Returns how often this fault was delivered.
    fn delivered(&self, what: &str) -> usize {
        let delivered = std::fs::read_to_string(self.folder.path().join("delivered")).unwrap_or_default();
        delivered.lines().filter(|line| *line == what).count()
    }

    /// Waits until this fault was delivered `times` times.
    async fn wait_until_delivered(&self, what: &str, times: usize) {
        let wait = async {
            while self.delivered(what) < times {
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, wait).await.expect(what);
    }

    /// Asserts that slices still move, pings are answered and the process exits in order.
    async fn assert_goes_on(mut self) {
        move_all_slices(&self.relay, &self.discovery, "A", "B").await;
        move_all_slices(&self.relay, &self.discovery, "B", "A").await;
        assert!(answers_ping(&mut self.steward.connect().await).await);
        self.steward.signal("-TERM").await;
        assert_eq!(self.steward.wait_exit().await.code(), Some(0));
    }
}

#[tokio::test]
async fn connections_that_cannot_be_accepted() {
    for error in [ECONNABORTED, ENFILE, EMFILE, ENOBUFS, EINTR] {
        let faulty = Faulty::start(&format!("accept4 {error} 0 700 1")).await;
        let mut early = faulty.steward.connect().await;
        faulty.wait_until_delivered(&format!("accept4 Error({error})"), 1).await;
        assert!(answers_ping(&mut early).await, "the connection waits to be accepted, and is answered");
        faulty.assert_goes_on().await;
    }
}

#[tokio::test]
async fn relay_and_discovery_that_cannot_be_reached() {
    for error in [EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EINTR] {
        let faulty = Faulty::start(&format!("connect {error} 0 1200 1")).await;
        faulty.wait_until_delivered(&format!("connect Error({error})"), 2).await;
        faulty.assert_goes_on().await;
    }
    for error in [EMFILE, ENFILE, ENOBUFS] {
        let faulty = Faulty::start(&format!("socket {error} 200 1500 1")).await;
        tokio::time::sleep(std::time::Duration::from_millis(250)).await;
        faulty.relay.cut();
        faulty.wait_until_delivered(&format!("socket Error({error})"), 2).await;
        faulty.assert_goes_on().await;
    }
}

#[tokio::test]
async fn reads_and_writes_that_fail_or_are_short() {
    for (call, fault, every) in [
        ("recv", "short", 1),
        ("send", "short", 2),
        ("recv", "4", 7),
        ("send", "4", 3),
        ("recv", "104", 11),
        ("recv", "110", 11),
        ("send", "105", 3),
        ("send", "104", 3),
    ] {
        let started = tokio::time::Instant::now();
        let faulty = Faulty::start(&format!("{call} {fault} 0 3000 {every}")).await;
        let delivered = fault.parse::<i32>().map_or("Short".to_owned(), |error| format!("Error({error})"));
        move_all_slices(&faulty.relay, &faulty.discovery, "A", "B").await;
        assert!(faulty.delivered(&format!("{call} {delivered}")) > 0, "{call} {fault}");
        move_all_slices(&faulty.relay, &faulty.discovery, "B", "A").await;
        // Pings are sent only after the faults, as a reset among them would look like a failure.
        tokio::time::sleep_until(started + std::time::Duration::from_millis(3_500)).await;
        faulty.assert_goes_on().await;
    }
    assert_eq!((EINTR, ECONNRESET, ENOBUFS, ETIMEDOUT), (4, 104, 105, 110));
}

#[tokio::test]
async fn a_ping_is_answered_though_its_send_fails_for_a_moment() {
    for error in [EINTR, ENOBUFS] {
        let faulty = Faulty::start(&format!("send {error} 0 20000 2")).await;
        let mut peer = faulty.steward.connect().await;
        for _ in 0..20 {
            assert!(answers_ping(&mut peer).await, "{error}");
        }
        assert!(faulty.delivered(&format!("send Error({error})")) >= 5);
    }
}

/// Guards against answers that were dropped after 0.2 s without send buffers: the connection closed with the
/// request read and not answered (soak 5037).
#[tokio::test]
async fn a_ping_is_answered_though_sends_fail_for_most_of_a_second() {
    let faulty = Faulty::start(&format!("send {ENOBUFS} 500 1300 1")).await;
    let (mut unidentified, mut collector) = (faulty.steward.connect().await, faulty.steward.connect().await);
    collector.write_all(&frame(r#"{"msg":"SOURCE","site":"a"}"#)).await.expect("the message is sent");
    while faulty.delivered(&format!("send Error({ENOBUFS})")) == 0 {
        assert!(answers_ping(&mut collector).await, "a collector");
    }
    assert!(answers_ping(&mut collector).await, "a collector");
    drop(unidentified);
    unidentified = faulty.steward.connect().await;
    assert!(answers_ping(&mut unidentified).await, "an unidentified peer");
}

/// Guards against a connection that ended when a signal interrupted a read or a read found no memory for a
/// moment: requests that were read before lost their answers.
#[tokio::test]
async fn pings_are_answered_though_reads_fail_for_a_moment() {
    for error in [EINTR, ENOMEM, ENOBUFS] {
        let faulty = Faulty::start(&format!("recv {error} 0 20000 2")).await;
        let mut peer = faulty.steward.connect().await;
        for _ in 0..20 {
            assert!(answers_ping(&mut peer).await, "{error}");
        }
        assert!(faulty.delivered(&format!("recv Error({error})")) >= 5);
    }
}

#[tokio::test]
async fn waits_interrupted_by_signals() {
    let faulty = Faulty::start(&format!("epoll_wait {EINTR} 0 5000 2")).await;
    faulty.wait_until_delivered(&format!("epoll_wait Error({EINTR})"), 10).await;
    faulty.assert_goes_on().await;
}

#[tokio::test]
async fn an_address_and_a_configuration_that_are_not_available_at_first() {
    for (call, error) in [("listen", ENOBUFS), ("socket", EMFILE), ("read", EIO)] {
        let faulty = Faulty::start(&format!("{call} {error} 0 600 1")).await;
        assert!(faulty.delivered(&format!("{call} Error({error})")) > 0, "{call}");
        faulty.assert_goes_on().await;
    }
}

#[tokio::test]
async fn a_configuration_that_cannot_be_read_at_sighup() {
    let faulty = Faulty::start(&format!("read {EIO} 300 1500 1")).await;
    tokio::time::sleep(std::time::Duration::from_millis(350)).await;
    faulty.steward.signal("-HUP").await;
    faulty.wait_until_delivered(&format!("read Error({EIO})"), 1).await;
    faulty.assert_goes_on().await;
}

#[tokio::test]
async fn a_wall_clock_stepped_at_the_start_and_in_service() {
    for step in [3_600, -3_600, 5, -5] {
        let faulty = Faulty::start(&format!("realtime {step} 0\nrealtime {step} 400")).await;
        faulty.assert_goes_on().await;
    }
}
