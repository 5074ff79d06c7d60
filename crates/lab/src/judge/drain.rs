//! Rule 3: once the grace has passed after a server was listed as draining or left the list, no req is sent to it.

use std::collections::BTreeMap;

use ravenspar_standin::{Event, Time};

use super::tables::ForwarderTables;
use super::{Rules, Violation};

pub fn judge(events: &[Event], rules: &Rules, tables: &ForwarderTables, violations: &mut Vec<Violation>) {
    /// A req that was sent in time may take this long to cross loopback on a busy machine.
    const MAX_TRANSIT: Time = 1_000;
    // When each server was listed as leaving.
    let mut leaving: BTreeMap<&str, Time> = BTreeMap::new();
    let mut listed: Vec<&str> = Vec::new();
    // By steward: when it was last started or continued, and whether it runs. One without any event runs.
    let mut states: BTreeMap<usize, (Time, bool)> = BTreeMap::new();
    for event in events {
        match event {
            Event::Listed { at, servers } => {
                let current: Vec<&str> = servers.iter().map(|(id, ..)| id.as_str()).collect();
                for (id, state, _) in servers {
                    if state == "ready" {
                        leaving.remove(id.as_str());
                    } else {
                        leaving.entry(id).or_insert(*at);
                    }
                }
                if !rules.only_draining_binds {
                    listed
                        .iter()
                        .filter(|id| !current.contains(id))
                        .for_each(|id| _ = leaving.entry(id).or_insert(*at));
                }
                listed = current;
            }
            Event::Steward { at, number, state } => {
                let entry = states.entry(*number).or_insert((Time::MIN, true));
                entry.1 = state == "started" || state == "continued";
                if entry.1 {
                    entry.0 = *at;
                }
            }
            Event::Accepted { at, server, req, forwarder, slice, .. }
            | Event::Rejected { at, server, req, forwarder, slice, .. } => {
                let Some(&since) = leaving.get(server.as_str()) else { continue };
                let assignment = tables.assigned_since(*forwarder, *slice as usize, *at);
                let Some((assigned_since, steward)) = assignment else { continue };
                let (resumed, running) = states.get(&steward).copied().unwrap_or((Time::MIN, true));
                if !running {
                    continue;
                }
                let since = since.max(resumed).max(assigned_since);
                if at - since > rules.drain_grace + MAX_TRANSIT {
                    let late = (at - since - rules.drain_grace) as f64 / ravenspar_standin::SECOND as f64;
                    let what = format!(
                        "forwarder {forwarder} sent req {req} to {server} {late:.3} s after the grace"
                    );
                    violations.push(Violation { rule: 2, at: *at, what });
                }
            }
            _ => {}
        }
    }
}
