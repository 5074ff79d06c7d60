//! Tests of the program as its users meet it: exit codes, invalid input, sockets, and crashes at the worst
//! moments.

mod common;

use std::io::Write;
use std::net::TcpStream;

use common::{path, run, stderr, wait_until, Dir, Proxy};
use ravenspar_protocol::{kind, Frame, MAX_BODY_FROM_PROXY};

#[test]
fn all_errors_of_a_settings_file_are_reported_at_once_with_their_places() {
    let dir = Dir::new(4, 2, &["a"]);
    let text = std::fs::read_to_string(dir.settings()).expect("settings");
    assert_eq!(run(&["check", path(&dir.settings())]).status.code(), Some(0));
    let bad = text
        .replace("lease: 400ms", "lease: 400")
        .replace("slices: 4", "slises: 4")
        .replace("credit: 2", "credit: much")
        .replace("repeats: replayable", "repeats: sometimes");
    std::fs::write(dir.settings(), bad).expect("the file is written");
    let output = run(&["check", path(&dir.settings())]);
    assert_eq!(output.status.code(), Some(2));
    let stderr = stderr(&output);
    for expected in [
        "steward.yaml:6:8: lease: 400: expected a time with its unit",
        "slises: unknown setting, expected one of",
        "slices: missing, expected a whole number",
        "credit: much: expected a number",
        "repeats: sometimes: expected one of replayable, uniqued, non-replayable",
    ] {
        assert!(stderr.contains(expected), "{expected} is not in:\n{stderr}");
    }
}

#[test]
fn check_reports_each_required_setting_that_is_missing() {
    let dir = Dir::new(4, 2, &["a"]);
    let text = std::fs::read_to_string(dir.settings()).expect("settings");
    for line in text.lines().filter(|line| !line.starts_with(' ') && !line.starts_with("kinds")) {
        std::fs::write(dir.settings(), text.replace(&format!("{line}\n"), "")).expect("the file is written");
        let output = run(&["check", path(&dir.settings())]);
        assert_eq!(output.status.code(), Some(2), "without {line}: {}", stderr(&output));
        assert!(stderr(&output).contains("missing, expected"), "without {line}: {}", stderr(&output));
    }
}

#[test]
fn invalid_input_exits_with_code_2() {
    let dir = Dir::new(4, 2, &["a"]);
    assert_eq!(run(&["check", "nowhere.yaml"]).status.code(), Some(2));
    assert_eq!(run(&["swerve"]).status.code(), Some(2));
    assert_eq!(run(&["--log", "=,=", "check", path(&dir.settings())]).status.code(), Some(2));
    for torn in ["", "redb", "servers: []\n"] {
        std::fs::write(dir.record(), torn).expect("the file is written");
        let output = run(&["serve", path(&dir.settings())]);
        assert_eq!(output.status.code(), Some(2), "{}", stderr(&output));
        assert!(stderr(&output).contains("steward.redb: can't be opened as a record"), "{}", stderr(&output));
        assert_eq!(std::fs::read_to_string(dir.record()).expect("the file"), torn, "the file was changed");
    }
}

#[test]
fn slices_are_granted_moved_and_recorded_and_sigterm_exits_in_order() {
    let dir = Dir::new(6, 2, &["a", "b"]);
    let mut steward = dir.serve(&[]);
    let mut one = Proxy::dial(steward.address, 0, 1);
    let mut two = Proxy::dial(steward.address, 1, 1);
    wait_until("all slices are granted", &mut [&mut one, &mut two], |all| {
        all.iter().all(|proxy| proxy.owners.len() == 6)
    });
    dir.list(&["a"]);
    let moved = |proxy: &Proxy| (0..6).all(|slice| proxy.owner(slice) == Some("a"));
    wait_until("all slices are at a", &mut [&mut one, &mut two], |all| all.iter().all(|proxy| moved(proxy)));
    steward.signal("TERM");
    assert_eq!(steward.wait_exit().code(), Some(0));
    let recorded = dir.recorded();
    assert_eq!(recorded.len(), 6);
    assert!(recorded.iter().all(|(_, owner, _)| owner.as_deref() == Some("a")), "{recorded:?}");
}

/// At whatever point the steward dies, all that any proxy was notified of is on record, and the next steward
/// publishes the same.
#[test]
fn a_steward_that_dies_at_the_worst_moments_forgets_nothing() {
    for point in ["recorded:1", "recorded:2", "message:1", "message:2", "message:3", "message:4"] {
        let dir = Dir::new(6, 2, &["a", "b"]);
        let mut steward = dir.serve(&["--halt", point]);
        let mut one = Proxy::dial(steward.address, 0, 1);
        let mut two = Proxy::dial(steward.address, 1, 1);
        let mut drained = false;
        wait_until("the steward dies", &mut [&mut one, &mut two], |all| {
            // A drain, so that some points fall into revokes.
            if !drained && all.iter().all(|proxy| proxy.owners.len() == 6) {
                drained = true;
                dir.list(&["a"]);
            }
            all.iter().all(|proxy| proxy.closed)
        });
        assert!(!steward.wait_exit().success(), "{point}");
        let recorded = dir.recorded();
        for proxy in [&one, &two] {
            for (slice, owner, _) in &recorded {
                let granted_to = proxy.owner(*slice);
                // The record may be ahead of the notifications, never behind: a line that a proxy has is on
                // record, unless its end is on record as well.
                assert!(
                    granted_to.is_none() || owner.is_none() || owner.as_deref() == granted_to || drained,
                    "{point} {slice}"
                );
            }
            assert!(proxy.owners.len() <= recorded.len(), "{point}: a granted slice is not on record");
        }
        let mut steward = dir.serve(&[]);
        let mut again = Proxy::dial(steward.address, 0, 1);
        wait_until("the proxy is answered", &mut [&mut again], |all| all[0].echoes > 0);
        assert_eq!(again.term, 2, "{point}");
        let mut other = Proxy::dial(steward.address, 1, 2);
        let wanted = if drained { vec!["a"] } else { vec!["a", "b"] };
        wait_until("all slices have an owner", &mut [&mut again, &mut other], |all| {
            all.iter()
                .all(|p| (0..6).all(|slice| p.owner(slice).is_some_and(|owner| wanted.contains(&owner))))
        });
        steward.signal("TERM");
        assert_eq!(steward.wait_exit().code(), Some(0), "{point}");
    }
}

#[test]
fn a_forwarder_that_reads_nothing_is_disconnected_and_delays_no_other() {
    let dir = Dir::new(20_000, 2, &["a", "b"]);
    let steward = dir.serve(&[]);
    // A table of 20,000 slices is far more than the socket buffers hold.
    let mut one = Proxy::dial(steward.address, 0, 1);
    wait_until("all slices are granted", &mut [&mut one], |all| all[0].owners.len() == 20_000);
    let stalled = Proxy::dial(steward.address, 1, 1);
    dir.list(&["a"]);
    wait_until("the slices of b have moved", &mut [&mut one], |all| {
        all[0].owners.len() == 20_000 && all[0].owners.values().all(|server| all[0].names[server] == "a")
    });
    // On a busy machine it may have received everything before it had caught up and joined.
    wait_until("it is joined", &mut [&mut one], |all| all[0].echoes > 0);
    assert!(!one.closed);
    drop(stalled);
}

#[test]
fn a_forwarder_that_rejoins_ends_its_older_stream() {
    let dir = Dir::new(2, 1, &["a"]);
    let steward = dir.serve(&[]);
    let mut older = Proxy::dial(steward.address, 0, 1);
    wait_until("it is joined", &mut [&mut older], |all| all[0].echoes > 0);
    let mut newer = Proxy::dial(steward.address, 0, 1);
    wait_until("the older one ends", &mut [&mut older, &mut newer], |all| all[0].closed && all[1].echoes > 0);
    assert!(!newer.closed);
}

#[test]
fn no_bytes_on_the_port_disturb_other_streams() {
    let dir = Dir::new(4, 1, &["a"]);
    let steward = dir.serve(&[]);
    let mut valid = Proxy::dial(steward.address, 0, 1);
    wait_until("slices are granted", &mut [&mut valid], |all| all[0].owners.len() == 4);
    let unexpected = Frame::new(kind::ANSWER).finish();
    let too_long = [&((MAX_BODY_FROM_PROXY as u32) + 1).to_be_bytes()[..], &[0; 64]].concat();
    let inputs: [&[u8]; 6] = [&[], &[0; 4], &too_long, &[0xff; 4096], b"GET / HTTP/1.1\r\n\r\n", &unexpected];
    for round in 0..20 {
        for bytes in inputs {
            let mut socket = TcpStream::connect(steward.address).expect("the steward listens");
            let _ = socket.write_all(bytes);
        }
        // And random bodies of the right length, other ones each round.
        let mut random = round * 0x9e37_79b9_u64 + 1;
        let body: Vec<u8> = (0..200)
            .map(|_| (random = random.wrapping_mul(6_364_136_223_846_793_005) + 1, (random >> 33) as u8).1)
            .collect();
        let mut socket = TcpStream::connect(steward.address).expect("the steward listens");
        let _ = socket.write_all(&[&200u32.to_be_bytes()[..], &body].concat());
    }
    let before = valid.echoes;
    wait_until("the valid proxy is answered", &mut [&mut valid], |all| all[0].echoes > before + 3);
    assert!(!valid.closed);
}

#[test]
fn an_unreadable_list_keeps_the_last_valid_one_in_use() {
    let dir = Dir::new(4, 1, &["a", "b"]);
    let steward = dir.serve(&[]);
    let mut proxy = Proxy::dial(steward.address, 0, 1);
    wait_until("slices are granted", &mut [&mut proxy], |all| all[0].owners.len() == 4);
    let owners = proxy.owners.clone();
    for torn in
        ["servers:\n  - {id: a, zo", "servers: 7", "", "servers:\n  - {id: a, zone: z, address: nowhere}\n"]
    {
        std::fs::write(dir.dir.path().join("servers.yaml"), torn).expect("the file is written");
        let before = proxy.echoes;
        wait_until("the steward goes on", &mut [&mut proxy], |all| all[0].echoes > before + 3);
        assert_eq!(proxy.owners, owners, "after {torn}");
    }
    dir.list(&["b"]);
    wait_until("the next valid list is used", &mut [&mut proxy], |all| {
        (0..4).all(|slice| all[0].owner(slice) == Some("b"))
    });
}
