//! Rule 2: one writer a slice, never a former owner after a later one, and no req has its effect twice.

use std::collections::BTreeMap;

use ravenspar_standin::{Event, Time};

use super::tables::View;
use super::Break;

/// A write that a server took in.
struct Write<'a> {
    at: Time,
    end: Time,
    server: &'a str,
    forwarder: u64,
    req: u64,
}

/// Returns how many writes there were.
pub fn judge(events: &[Event], view: &View, breaks: &mut Vec<Break>) -> usize {
    let mut slices: BTreeMap<u64, Vec<Write>> = BTreeMap::new();
    // Writes in hand, by server, req and attempt: where they stand.
    let mut open: BTreeMap<(&str, u64, u64), (u64, usize)> = BTreeMap::new();
    let mut effects: BTreeMap<u64, (u64, &str)> = BTreeMap::new();
    let mut count = 0;
    for event in events {
        match event {
            Event::Took { at, server, req, attempt, slice, writes: true, forwarder, until } => {
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
                        breaks.push(Break { rule: 1, at: *at, what });
                    }
                }
            }
            // What it had in hand has stopped.
            Event::Down { at, server } => {
                open.retain(|&(of, _, _), &mut (slice, index)| {
                    if of == server.as_str() {
                        if let Some(write) = slices.get_mut(&slice).and_then(|writes| writes.get_mut(index)) {
                            write.end = write.end.min(*at);
                        }
                    }
                    of != server.as_str()
                });
            }
            _ => {}
        }
    }
    for (slice, writes) in &slices {
        for (i, write) in writes.iter().enumerate() {
            // Long past, nothing is in hand any more; the bound keeps long captures cheap to judge.
            let before = writes[..i].iter().rev().take(2_000);
            if let Some(other) =
                before.clone().find(|other| other.server != write.server && other.end > write.at)
            {
                let what = format!(
                    "a write of slice {slice} (req {}) reached {} while {} had one in hand (req {})",
                    write.req, write.server, other.server, other.req
                );
                breaks.push(Break { rule: 1, at: write.at, what });
                continue;
            }
            // A forwarder that was never told of this owner has held it since for ever.
            let since = view.held_since(write.forwarder, *slice as usize, write.server, write.at);
            let since = since.unwrap_or(Time::MIN);
            let later = before.into_iter().find(|other| other.server != write.server && other.at > since);
            if let Some(later) = later {
                let what = format!(
                    "a write of slice {slice} (req {}) reached {} by forwarder {} after the later owner {} had taken one",
                    write.req, write.server, write.forwarder, later.server
                );
                breaks.push(Break { rule: 1, at: write.at, what });
            }
        }
    }
    count
}
