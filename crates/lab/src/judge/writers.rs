//! Rule 2: each slice has one writer at a time, a former owner takes no write after its successor, and no req has its
//! effect twice.

use std::collections::BTreeMap;

use ravenspar_standin::{Event, Time};

use super::tables::ForwarderTables;
use super::Violation;

/// A write that a server accepted. It ends when it is done, when the server dies, or at its deadline.
struct Write<'a> {
    at: Time,
    end: Time,
    server: &'a str,
    forwarder: u64,
    req: u64,
}

/// Reports violations and returns the number of writes.
pub fn judge(events: &[Event], tables: &ForwarderTables, violations: &mut Vec<Violation>) -> usize {
    let mut slices: BTreeMap<u64, Vec<Write>> = BTreeMap::new();
    // Writes in progress, by server, req and attempt: the slice and the index of the write in it.
    let mut open: BTreeMap<(&str, u64, u64), (u64, usize)> = BTreeMap::new();
    let mut effects: BTreeMap<u64, (u64, &str)> = BTreeMap::new();
    let mut count = 0;
    for event in events {
        match event {
            Event::Accepted { at, server, req, attempt, slice, writes: true, forwarder, until } => {
                count += 1;
                let writes = slices.entry(*slice).or_default();
                open.insert((server, *req, *attempt), (*slice, writes.len()));
                let (end, forwarder, req) = (*until, *forwarder, *req);
                writes.push(Write { at: *at, end, server, forwarder, req });
            }
            Event::Ended { at, server, req, attempt, writes: true, done, .. } => {
                if let Some((slice, index)) = open.remove(&(server.as_str(), *req, *attempt)) {
                    if let Some(write) = slices.get_mut(&slice).and_then(|writes| writes.get_mut(index)) {
                        write.end = write.end.min(*at);
                    }
                }
                if *done {
                    let (times, first) = effects.entry(*req).or_insert((0, server));
                    *times += 1;
                    if *times > 1 {
                        let what = format!("req {req} had its effect at {first} and again at {server}");
                        violations.push(Violation { rule: 1, at: *at, what });
                    }
                }
            }
            // Writes in progress at a server end with it.
            Event::Down { at, server } => {
                open.retain(|&(writer, _, _), &mut (slice, index)| {
                    if writer == server.as_str() {
                        if let Some(write) = slices.get_mut(&slice).and_then(|writes| writes.get_mut(index)) {
                            write.end = write.end.min(*at);
                        }
                    }
                    writer != server.as_str()
                });
            }
            _ => {}
        }
    }
    for (slice, writes) in &slices {
        for (i, write) in writes.iter().enumerate() {
            // Looking back over 2,000 writes is enough, as older ones have ended. The bound keeps long captures cheap to judge.
            let before = writes[..i].iter().rev().take(2_000);
            if let Some(other) =
                before.clone().find(|other| other.server != write.server && other.end > write.at)
            {
                let what = format!(
                    "a write of slice {slice} (req {}) reached {} while {} had one in progress (req {})",
                    write.req, write.server, other.server, other.req
                );
                violations.push(Violation { rule: 1, at: write.at, what });
                continue;
            }
            // A forwarder that never received this owner counts as having had it since before the capture.
            let since = tables.routed_since(write.forwarder, *slice as usize, write.server, write.at);
            let since = since.unwrap_or(Time::MIN);
            let later = before.into_iter().find(|other| other.server != write.server && other.at > since);
            if let Some(later) = later {
                let what = format!(
                    "a write of slice {slice} (req {}) reached {} by forwarder {} after the later owner {} had accepted one",
                    write.req, write.server, write.forwarder, later.server
                );
                violations.push(Violation { rule: 1, at: write.at, what });
            }
        }
    }
    count
}
