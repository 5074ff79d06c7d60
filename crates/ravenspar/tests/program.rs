//! The program as its users meet it: exit codes, faults of input, sockets, and deaths at the worst moments.

mod common;

use std::io::Write;
use std::net::TcpStream;

use common::{path, run, stderr, until, Dir, Proxy};
use ravenspar_protocol::{kind, Frame, MAX_BODY_FROM_PROXY};

#[test]
fn all_faults_of_a_settings_file_are_told_at_once_with_their_places() {
    let dir = Dir::new(4, 2, &["a"]);
    let text = std::fs::read_to_string(dir.settings()).expect("settings");
    assert_eq!(run(&["check", path(&dir.settings())]).status.code(), Some(0));
    let bad = text
        .replace("lease: 400ms", "lease: 400")
        .replace("slices: 4", "slises: 4")
        .replace("credit: 2", "credit: much")
        .replace("repeats: replayable", "repeats: sometimes");
    std::fs::write(dir.settings(), bad).expect("written");
    let output = run(&["check", path(&dir.settings())]);
    assert_eq!(output.status.code(), Some(2));
    let said = stderr(&output);
    for expected in [
        "steward.yaml:6:8: lease: 400: expected a time with its unit",
        "slises: unknown setting, expected one of",
        "slices: missing, expected a whole number",
        "credit: much: expected a number",
        "repeats: sometimes: expected one of replayable, uniqued, non-replayable",
    ] {
        assert!(said.contains(expected), "{expected} is not in:\n{said}");
    }
}

#[test]
fn a_setting_that_the_decisions_need_is_missed_by_check() {
    let dir = Dir::new(4, 2, &["a"]);
    let text = std::fs::read_to_string(dir.settings()).expect("settings");
    for line in text.lines().filter(|line| !line.starts_with(' ') && !line.starts_with("kinds")) {
        std::fs::write(dir.settings(), text.replace(&format!("{line}\n"), "")).expect("written");
        let output = run(&["check", path(&dir.settings())]);
        assert_eq!(output.status.code(), Some(2), "without {line}: {}", stderr(&output));
        assert!(stderr(&output).contains("missing, expected"), "without {line}: {}", stderr(&output));
    }
}

#[test]
fn bad_input_is_exit_code_2() {
    let dir = Dir::new(4, 2, &["a"]);
    assert_eq!(run(&["check", "nowhere.yaml"]).status.code(), Some(2));
    assert_eq!(run(&["swerve"]).status.code(), Some(2));
    assert_eq!(run(&["--log", "=,=", "check", path(&dir.settings())]).status.code(), Some(2));
    for torn in ["", "redb", "servers: []\n"] {
        std::fs::write(dir.record(), torn).expect("written");
        let output = run(&["serve", path(&dir.settings())]);
        assert_eq!(output.status.code(), Some(2), "{}", stderr(&output));
        assert!(stderr(&output).contains("steward.redb: can't be opened as a record"), "{}", stderr(&output));
        assert_eq!(std::fs::read_to_string(dir.record()).expect("the file"), torn, "it was touched");
    }
}

#[test]
fn slices_are_granted_moved_and_on_record_and_sigterm_ends_in_order() {
    let dir = Dir::new(6, 2, &["a", "b"]);
    let mut steward = dir.serve(&[]);
    let mut one = Proxy::dial(steward.address, 0, 1);
    let mut two = Proxy::dial(steward.address, 1, 1);
    until("all slices are granted", &mut [&mut one, &mut two], |all| {
        all.iter().all(|proxy| proxy.owners.len() == 6)
    });
    dir.list(&["a"]);
    let moved = |proxy: &Proxy| (0..6).all(|slice| proxy.owner(slice) == Some("a"));
    until("all slices are at a", &mut [&mut one, &mut two], |all| all.iter().all(|proxy| moved(proxy)));
    steward.signal("TERM");
    assert_eq!(steward.ended().code(), Some(0));
    let recorded = dir.recorded();
    assert_eq!(recorded.len(), 6);
    assert!(recorded.iter().all(|(_, owner, _)| owner.as_deref() == Some("a")), "{recorded:?}");
}

/// Whatever point it dies at, what any proxy was told is on record, and the next steward tells the same.
#[test]
fn a_steward_that_dies_at_its_worst_moments_forgets_nothing() {
    for point in ["recorded:1", "recorded:2", "message:1", "message:2", "message:3", "message:4"] {
        let dir = Dir::new(6, 2, &["a", "b"]);
        let mut steward = dir.serve(&["--halt", point]);
        let mut one = Proxy::dial(steward.address, 0, 1);
        let mut two = Proxy::dial(steward.address, 1, 1);
        let mut drained = false;
        until("it dies", &mut [&mut one, &mut two], |all| {
            // A drain, so that revokes are among what it dies at.
            if !drained && all.iter().all(|proxy| proxy.owners.len() == 6) {
                drained = true;
                dir.list(&["a"]);
            }
            all.iter().all(|proxy| proxy.closed)
        });
        assert!(!steward.ended().success(), "{point}");
        let recorded = dir.recorded();
        for proxy in [&one, &two] {
            for (slice, owner, _) in &recorded {
                let told = proxy.owner(*slice);
                // The record may be ahead of what was told; it is never behind: a line told is a line on record,
                // unless its end is on record as well.
                assert!(
                    told.is_none() || owner.is_none() || owner.as_deref() == told || drained,
                    "{point} {slice}"
                );
            }
            assert!(proxy.owners.len() <= recorded.len(), "{point}: a slice was told that is not on record");
        }
        let mut steward = dir.serve(&[]);
        let mut again = Proxy::dial(steward.address, 0, 1);
        until("it reads", &mut [&mut again], |all| all[0].echoes > 0);
        assert_eq!(again.term, 2, "{point}");
        let mut other = Proxy::dial(steward.address, 1, 2);
        let wanted = if drained { vec!["a"] } else { vec!["a", "b"] };
        until("all slices have an owner", &mut [&mut again, &mut other], |all| {
            all.iter()
                .all(|p| (0..6).all(|slice| p.owner(slice).is_some_and(|owner| wanted.contains(&owner))))
        });
        steward.signal("TERM");
        assert_eq!(steward.ended().code(), Some(0), "{point}");
    }
}

#[test]
fn a_forwarder_that_reads_nothing_is_broken_off_and_holds_nobody_up() {
    let dir = Dir::new(20_000, 2, &["a", "b"]);
    let steward = dir.serve(&[]);
    // A table of 20,000 slices is far more than the system's buffers hold.
    let mut one = Proxy::dial(steward.address, 0, 1);
    until("all slices are granted", &mut [&mut one], |all| all[0].owners.len() == 20_000);
    let deaf = Proxy::dial(steward.address, 1, 1);
    dir.list(&["a"]);
    until("the slices of b have moved", &mut [&mut one], |all| {
        all[0].owners.len() == 20_000 && all[0].owners.values().all(|server| all[0].names[server] == "a")
    });
    // On a busy machine it may have been told of all before it had caught up and was joined.
    until("it is joined", &mut [&mut one], |all| all[0].echoes > 0);
    assert!(!one.closed);
    drop(deaf);
}

#[test]
fn a_forwarder_that_rejoins_ends_its_older_stream() {
    let dir = Dir::new(2, 1, &["a"]);
    let steward = dir.serve(&[]);
    let mut older = Proxy::dial(steward.address, 0, 1);
    until("it is joined", &mut [&mut older], |all| all[0].echoes > 0);
    let mut newer = Proxy::dial(steward.address, 0, 1);
    until("the older one ends", &mut [&mut older, &mut newer], |all| all[0].closed && all[1].echoes > 0);
    assert!(!newer.closed);
}

#[test]
fn no_bytes_on_the_port_stop_others() {
    let dir = Dir::new(4, 1, &["a"]);
    let steward = dir.serve(&[]);
    let mut good = Proxy::dial(steward.address, 0, 1);
    until("slices are granted", &mut [&mut good], |all| all[0].owners.len() == 4);
    let unheard = Frame::new(kind::ANSWER).finish();
    let too_long = [&((MAX_BODY_FROM_PROXY as u32) + 1).to_be_bytes()[..], &[0; 64]].concat();
    let inputs: [&[u8]; 6] = [&[], &[0; 4], &too_long, &[0xff; 4096], b"GET / HTTP/1.1\r\n\r\n", &unheard];
    for round in 0..20 {
        for bytes in inputs {
            let mut socket = TcpStream::connect(steward.address).expect("it listens");
            let _ = socket.write_all(bytes);
        }
        // And bytes that change from round to round, as bodies of the right length.
        let mut chance = round * 0x9e37_79b9_u64 + 1;
        let body: Vec<u8> = (0..200)
            .map(|_| (chance = chance.wrapping_mul(6_364_136_223_846_793_005) + 1, (chance >> 33) as u8).1)
            .collect();
        let mut socket = TcpStream::connect(steward.address).expect("it listens");
        let _ = socket.write_all(&[&200u32.to_be_bytes()[..], &body].concat());
    }
    let before = good.echoes;
    until("the good one is echoed", &mut [&mut good], |all| all[0].echoes > before + 3);
    assert!(!good.closed);
}

#[test]
fn a_list_that_cant_be_read_keeps_the_last_good_one() {
    let dir = Dir::new(4, 1, &["a", "b"]);
    let steward = dir.serve(&[]);
    let mut proxy = Proxy::dial(steward.address, 0, 1);
    until("slices are granted", &mut [&mut proxy], |all| all[0].owners.len() == 4);
    let owners = proxy.owners.clone();
    for torn in
        ["servers:\n  - {id: a, zo", "servers: 7", "", "servers:\n  - {id: a, zone: z, address: nowhere}\n"]
    {
        std::fs::write(dir.dir.path().join("servers.yaml"), torn).expect("written");
        let before = proxy.echoes;
        until("it goes on", &mut [&mut proxy], |all| all[0].echoes > before + 3);
        assert_eq!(proxy.owners, owners, "after {torn}");
    }
    dir.list(&["b"]);
    until("the next good list holds", &mut [&mut proxy], |all| {
        (0..4).all(|slice| all[0].owner(slice) == Some("b"))
    });
}
