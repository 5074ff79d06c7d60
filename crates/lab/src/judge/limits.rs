//! Rule 5: limits on the lines that wait in the steward's channel and on the messages to one forwarder.

use std::collections::{BTreeMap, VecDeque};

use ravenspar_standin::Time;

use super::tables::ForwarderTables;
use super::{Rules, Violation};

/// Reports violations. Returns the most messages to one forwarder within a window and the most lines seen waiting.
pub fn judge(rules: &Rules, tables: &ForwarderTables, violations: &mut Vec<Violation>) -> (usize, u64) {
    let mut sent: BTreeMap<u64, VecDeque<Time>> = BTreeMap::new();
    let mut most_messages = 0;
    for message in &tables.messages {
        let times = sent.entry(message.stream).or_default();
        times.push_back(message.at);
        while times.front().is_some_and(|&at| message.at - at >= rules.message_window) {
            times.pop_front();
        }
        most_messages = most_messages.max(times.len());
        if rules.max_messages > 0 && times.len() > rules.max_messages {
            let what = format!("{} messages on stream {} within the window", times.len(), message.stream);
            violations.push(Violation { rule: 4, at: message.at, what });
        }
    }
    (most_messages, most_waiting(rules, tables, violations))
}

/// The channel of one incarnation of a steward, as far as sockets show it.
#[derive(Default)]
struct Channel {
    /// By mark: the lines of all updates up to it, by the stream that was sent the most.
    lines: BTreeMap<u64, u64>,
    /// The last mark that each stream was sent.
    sent_marks: BTreeMap<u64, u64>,
    newest: u64,
}

/// Returns the most lines that waited. An update that one forwarder has been sent still waits for every other connected
/// forwarder, so the result is a lower bound of what waited in the channel.
fn most_waiting(rules: &Rules, tables: &ForwarderTables, violations: &mut Vec<Violation>) -> u64 {
    let lines_up_to =
        |lines: &BTreeMap<u64, u64>, mark: u64| lines.range(..=mark).next_back().map_or(0, |(_, &sum)| sum);
    let mut most = 0;
    // Each incarnation of a steward has its own term and restarts its marks.
    let mut channels: BTreeMap<u64, Channel> = BTreeMap::new();
    let mut streams: Vec<u64> = Vec::new();
    for message in &tables.messages {
        let Some(mark) = message.mark else { continue };
        let Channel { lines, sent_marks, newest } = channels.entry(message.term).or_default();
        // A stream that has just connected is behind by this update alone.
        let sent_mark = *sent_marks.get(&message.stream).unwrap_or(&mark.saturating_sub(1));
        let sum = lines_up_to(lines, sent_mark) + message.lines + rules.message_cost;
        let recorded = lines_up_to(lines, mark);
        lines.insert(mark, sum.max(recorded));
        sent_marks.insert(message.stream, mark);
        *newest = (*newest).max(mark);
        streams.clear();
        streams.extend(
            tables.connections.iter().filter(|c| c.from <= message.at && message.at < c.to).map(|c| c.stream),
        );
        let all = lines_up_to(lines, *newest);
        let behind = streams.iter().filter_map(|stream| sent_marks.get(stream));
        let waits: u64 = behind.map(|&sent_mark| all.saturating_sub(lines_up_to(lines, sent_mark))).sum();
        most = most.max(waits);
        if waits as f64 > rules.max_waiting_lines {
            let what = format!("{waits} lines were waiting");
            violations.push(Violation { rule: 4, at: message.at, what });
        }
    }
    most
}
