//! The properties that operators require of the process.

use ravenspar_standin::platform::{Discovery, Relay};
use tokio::io::AsyncWriteExt;

use crate::harness::*;

/// Returns the inode, the socket state (hexadecimal) and whether there is a path, for each line of a table in
/// `/proc/PID/net`.
fn sockets(id: u32, table: &str, inode: usize, state: usize) -> Vec<(String, String, bool)> {
    let text = std::fs::read_to_string(format!("/proc/{id}/net/{table}")).unwrap_or_default();
    let line = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // A Unix socket that can be connected to has a path as its eighth field.
        Some(((*fields.get(inode)?).to_owned(), (*fields.get(state)?).to_owned(), fields.len() > 7))
    };
    text.lines().skip(1).filter_map(line).collect()
}

/// Checks what the fleet test requires of the process, as far as `/proc` shows it.
fn breaches(id: u32) -> Vec<String> {
    let read =
        |what: &str| std::fs::read_to_string(format!("/proc/{id}/{what}")).expect("the process is running");
    let mut found = Vec::new();
    let program = std::fs::canonicalize(env!("CARGO_BIN_EXE_ravenspar")).expect("the program");
    if std::fs::read_link(format!("/proc/{id}/exe")).expect("the process is running") != program {
        found.push("`run` does not end in the program by exec".to_owned());
    }
    let maps = read("maps");
    for part in ["/ld-", "/libc.so"] {
        if !maps.contains(part) {
            found.push(format!("not linked dynamically against the C library: no {part} mapped"));
        }
    }
    for entry in std::fs::read_dir("/proc").expect("/proc").flatten() {
        let stat = std::fs::read_to_string(entry.path().join("stat")).unwrap_or_default();
        // After the name, which ends in the last bracket: the state, then the parent.
        let parent = stat.rsplit(')').next().and_then(|rest| rest.split_whitespace().nth(1));
        if parent == Some(&id.to_string()) {
            found.push(format!("another program was started: {stat}"));
        }
    }
    let ipv4 = [sockets(id, "tcp", 9, 3), sockets(id, "udp", 9, 3)].concat();
    let unix = sockets(id, "unix", 6, 5);
    let mut pairs = 0;
    for fd in std::fs::read_dir(format!("/proc/{id}/fd")).expect("the process is running").flatten() {
        let Ok(link) = std::fs::read_link(fd.path()) else { continue };
        let link = link.to_string_lossy().into_owned();
        if link.contains("io_uring") {
            found.push(link.clone());
        }
        let Some(inode) = link.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']')) else {
            continue;
        };
        match unix.iter().find(|(socket_inode, ..)| socket_inode == inode) {
            // State 03 is connected: the pair by which tokio wakes its own loop at a signal, and no other.
            Some((_, state, false)) if state == "03" => pairs += 1,
            Some((_, state, _)) => found.push(format!("a Unix socket, state {state}")),
            // A connection that was just closed is in neither table.
            None if ipv4.iter().any(|(socket_inode, ..)| socket_inode == inode) => {}
            None => {
                let other = [sockets(id, "tcp6", 9, 3), sockets(id, "udp6", 9, 3)].concat();
                if other.iter().any(|(socket_inode, ..)| socket_inode == inode) {
                    found.push("a socket of IPv6".to_owned());
                }
            }
        }
    }
    // Both ends, and the copy that tokio keeps of one.
    if pairs > 3 {
        found.push(format!("{pairs} ends of pairs of Unix sockets"));
    }
    found
}

#[tokio::test]
async fn in_service_it_is_one_process_with_the_properties_of_the_fleet_test() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let steward = Steward::start(&config(&relay, &discovery)).await;
    let id = steward.child.id().expect("the process is running");
    let mut collector = steward.connect().await;
    collector.write_all(&frame(r#"{"msg":"SOURCE","site":"a"}"#)).await.expect("the message is sent");
    assert!(answers_ping(&mut collector).await);
    wait_until(&relay, |state| state.subscriptions == 1).await;
    assert_eq!(breaches(id), [""; 0], "before a move");
    discovery.set("A", "leaving");
    wait_until(&relay, |state| all_slices_at(state, "B")).await;
    steward.signal("-HUP").await;
    assert!(answers_ping(&mut collector).await);
    assert_eq!(breaches(id), [""; 0], "after a move and a signal");
}
