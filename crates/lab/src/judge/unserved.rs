//! Rule 1: while a warm server is listed as ready, no connected forwarder is without a line for a slice for too long.

use ravenspar_standin::{Event, Time};

use super::tables::ForwarderTables;
use super::{Rules, Violation};

/// The periods in which the list had a server that was ready and warm.
fn available_periods(events: &[Event], rules: &Rules, end: Time) -> Vec<(Time, Time)> {
    let listed = events.iter().filter_map(|event| match event {
        Event::Listed { at, servers } => Some((*at, servers)),
        _ => None,
    });
    let listed: Vec<_> = listed.collect();
    let mut periods: Vec<(Time, Time)> = Vec::new();
    for (i, (at, servers)) in listed.iter().enumerate() {
        let until = listed.get(i + 1).map_or(end, |(next, _)| *next);
        let ready = servers.iter().filter(|(_, state, _)| state == "ready");
        let warm =
            ready.map(|&(_, _, boot)| if boot == 0 { *at } else { (boot + rules.cold_for).max(*at) }).min();
        let Some(warm) = warm.filter(|&warm| warm < until) else { continue };
        match periods.last_mut().filter(|last| last.1 == warm) {
            Some(last) => last.1 = until,
            None => periods.push((warm, until)),
        }
    }
    periods
}

pub fn judge(events: &[Event], rules: &Rules, tables: &ForwarderTables, violations: &mut Vec<Violation>) {
    let end = events.last().map_or(0, Event::at);
    let available = available_periods(events, rules, end);
    for (&(forwarder, slice), routes) in &tables.routes {
        let connected = tables.connected_periods(forwarder, slice);
        for route in routes.iter().filter(|route| route.server.is_none()) {
            for &(from, to) in &connected {
                let (from, to) = (from.max(route.from), to.min(route.to).min(end));
                let longest = available.iter().map(|&(a, b)| (b.min(to) - a.max(from), a.max(from))).max();
                if let Some((length, since)) = longest.filter(|&(length, _)| length > rules.max_unserved) {
                    let what = format!(
                        "forwarder {forwarder} had no server for slice {slice} for {:.3} s",
                        length as f64 / ravenspar_standin::SECOND as f64
                    );
                    violations.push(Violation { rule: 0, at: since + rules.max_unserved, what });
                }
            }
        }
    }
    // A forwarder that connects must receive assignments promptly.
    for connection in &tables.connections {
        let known = tables.assigned.iter().filter(|((forwarder, _), _)| *forwarder == connection.forwarder);
        let first =
            known.filter_map(|(_, all)| all.iter().find(|(at, _)| *at >= connection.from)).map(|c| c.0).min();
        let assigned_before = was_assigned_before(tables, connection.forwarder, connection.from);
        let to = first.unwrap_or(end).min(connection.to).min(end);
        let longest = available
            .iter()
            .map(|&(a, b)| (b.min(to) - a.max(connection.from), a.max(connection.from)))
            .max();
        if let Some((length, since)) =
            longest.filter(|&(length, _)| !assigned_before && length > rules.max_unserved)
        {
            let what = format!(
                "forwarder {} received no assignment for {:.3} s",
                connection.forwarder,
                length as f64 / ravenspar_standin::SECOND as f64
            );
            violations.push(Violation { rule: 0, at: since + rules.max_unserved, what });
        }
    }
}

/// Returns true if a forwarder had received any assignment before `at`.
fn was_assigned_before(tables: &ForwarderTables, forwarder: u64, at: Time) -> bool {
    tables
        .assigned
        .iter()
        .any(|((receiver, _), all)| *receiver == forwarder && all.first().is_some_and(|first| first.0 < at))
}
