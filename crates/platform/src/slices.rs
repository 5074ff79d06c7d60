//! The known state of each slice: whether it is assigned to this steward, and which line the store has.

use ravenspar_steward::{Order, Time, FULL_WEIGHT, SECOND};

use crate::calls::slice_of;
use crate::subscription::SliceSnapshot;

/// The line of a slice, if it has one: server and weight.
pub type Line = Option<(usize, f64)>;

/// Whether a slice is assigned to this steward, and how well its line is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Assignment {
    #[default]
    Unassigned,
    /// Just assigned. Its line, if it has one, is about to be received; it is accepted until an order for the slice
    /// is written.
    AwaitingLine,
    Assigned,
    /// Assigned either before or after one of this steward's orders for it was applied. Its line stays unknown until
    /// a revoke of it has been applied; other slices are decided meanwhile.
    LineUnclear,
}

/// The part of a slice's reported state that an order may have changed at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crossing {
    None,
    /// Only the levels.
    Levels,
    Line,
}

/// A call is applied within this time of being written or never; includes the time to connect and to write.
const CALL_TIMEOUT: Time = SECOND / 2;

/// Heartbeats after an assignment by which the slice's line, if any, has been received: the first may come between
/// the two.
const HEARTBEATS_WITHOUT_LINE: u8 = 2;

/// The known state of a slice, and the orders written for it.
#[derive(Clone, Debug)]
pub struct Slice {
    pub assignment: Assignment,
    /// The line in the store, as far as known.
    pub line: Line,
    /// Heartbeats since it was assigned, up to [`HEARTBEATS_WITHOUT_LINE`].
    heartbeats: u8,
    /// Lines that the store may have had since the subscription was lost; empty once a new snapshot is complete.
    possible_lines: Vec<Line>,
    /// When a call that names its line, or its levels, was last written.
    line_ordered_at: Time,
    levels_ordered_at: Time,
    /// A call that names its line was written since the present subscription began.
    line_ordered_since: bool,
}

impl Default for Slice {
    fn default() -> Slice {
        const NEVER: Time = Time::MIN / 2;
        Slice {
            assignment: Assignment::Unassigned,
            line: None,
            heartbeats: 0,
            possible_lines: Vec::new(),
            line_ordered_at: NEVER,
            levels_ordered_at: NEVER,
            line_ordered_since: false,
        }
    }
}

impl Slice {
    /// Returns true if it is assigned to this steward.
    pub fn is_assigned(&self) -> bool {
        self.assignment != Assignment::Unassigned
    }

    /// Records that the store has assigned it to this steward; its line is about to be received.
    pub fn assign(&mut self) {
        (self.assignment, self.line, self.heartbeats) = (Assignment::AwaitingLine, None, 0);
    }

    /// Records a heartbeat. One that ends a snapshot comes after all current lines.
    pub fn heartbeat(&mut self, ends_snapshot: bool) {
        let counted = if ends_snapshot { HEARTBEATS_WITHOUT_LINE } else { self.heartbeats + 1 };
        self.heartbeats = counted.min(HEARTBEATS_WITHOUT_LINE);
    }

    /// Returns true if it has no line: one would have been received by now. A line that is received later is still
    /// accepted until an order for the slice is written.
    pub fn is_without_line(&self) -> bool {
        self.assignment == Assignment::AwaitingLine && self.heartbeats >= HEARTBEATS_WITHOUT_LINE
    }

    /// Returns true if it is assigned to this steward and either its state in the store is known, or its line is
    /// known to be unclear.
    pub fn is_known(&self) -> bool {
        match self.assignment {
            Assignment::Unassigned => false,
            Assignment::AwaitingLine => self.is_without_line(),
            Assignment::Assigned | Assignment::LineUnclear => true,
        }
    }

    /// Records that a call with this order for it was written.
    pub fn order_written(&mut self, now: Time, order: &Order) {
        if self.assignment == Assignment::AwaitingLine {
            self.assignment = Assignment::Assigned;
        }
        match order {
            Order::SetLine { .. } | Order::DropLines { .. } => {
                (self.line_ordered_at, self.line_ordered_since) = (now, true);
            }
            _ => self.levels_ordered_at = now,
        }
    }

    /// Returns the part of a state reported by the store at time `reported` or later that this steward's calls may
    /// have changed.
    pub fn crossing(&self, reported: Time) -> Crossing {
        if reported < self.line_ordered_at + CALL_TIMEOUT {
            Crossing::Line
        } else if reported < self.levels_ordered_at + CALL_TIMEOUT {
            Crossing::Levels
        } else {
            Crossing::None
        }
    }

    /// Records that the subscription was lost or replaced: the store may have the known line, or the line that one of
    /// the `pending` orders sets.
    pub fn mark_uncertain(&mut self, pending: &[Line]) {
        self.line_ordered_since = false;
        self.add_possible_line(self.line);
        pending.iter().for_each(|line| self.add_possible_line(*line));
    }

    /// Records that the store may have this line from now on.
    pub fn add_possible_line(&mut self, line: Line) {
        if !self.possible_lines.contains(&line) {
            self.possible_lines.push(line);
        }
    }

    /// Records that the snapshot is complete, so that only the known line is possible.
    pub fn mark_certain(&mut self) {
        self.possible_lines.clear();
    }

    /// Returns true if a call that names its line was written since the present subscription began.
    pub fn is_line_ordered_since(&self) -> bool {
        self.line_ordered_since
    }

    /// Compares the slice's line in a snapshot with the known line and this steward's orders. `earliest` is the
    /// earliest time that the snapshot can date from; `pending` says that an order for its line is not settled.
    pub fn compare(&self, current: SliceSnapshot, earliest: Time, pending: bool) -> Comparison {
        if self.assignment == Assignment::LineUnclear {
            return Comparison::Matches;
        }
        // Guards against an order that was applied, without effect, while the slice was assigned to another steward,
        // which then handed it over with its line, or without one after a revoke of its own.
        if current.after_order {
            return Comparison::Unclear;
        }
        if current.line == self.line {
            return Comparison::Matches;
        }
        if !self.possible_lines.contains(&current.line) {
            let crossed = self.crossing(earliest) == Crossing::Line;
            return if crossed { Comparison::Unclear } else { Comparison::ChangedElsewhere };
        }
        // An order that is not settled is sent again. One that was written during this subscription and applied came
        // after the state in the snapshot.
        if pending || self.line_ordered_since {
            Comparison::Matches
        } else {
            Comparison::Unclear
        }
    }
}

/// How a slice's line in a snapshot relates to the known line and this steward's orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    Matches,
    /// Another steward changed it.
    ChangedElsewhere,
    /// An order applied in the gap may have found the slice assigned to this steward or to another.
    Unclear,
}

/// Returns the slice and its resulting line for an order that sets or drops a line.
pub fn line_of(order: &Order) -> Option<(usize, Line)> {
    let line = match *order {
        Order::SetLine { server, .. } => Some((server, FULL_WEIGHT)),
        Order::DropLines { .. } => None,
        _ => return None,
    };
    slice_of(order).map(|slice| (slice, line))
}
