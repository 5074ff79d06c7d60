//! Debounces changes of the table, so that one fault becomes one change of the view.

use std::collections::BTreeMap;

use super::View;
use crate::{Id, Incarnation, Time};

/// Rounds without a change of the table before it is shown as the new view.
const STABLE_ROUNDS: Time = 2;

/// Rounds after the first change when it is shown even if the table still changes.
const MAX_WAIT_ROUNDS: Time = 10;

impl View {
    /// Notes a change of the table that the view may have to show.
    pub(super) fn mark_changed(&mut self, now: Time) {
        let first = self.changed.map_or(now, |(_, first)| first);
        self.changed = Some((now, first));
    }

    /// When to show a table that changed first at `first` and last at `last`.
    pub(super) fn show_at(&self, last: Time, first: Time) -> Time {
        (last + STABLE_ROUNDS * self.cfg.round).min(first + MAX_WAIT_ROUNDS * self.cfg.round)
    }

    /// Returns true if some member will be dropped unless it refutes: it has more suspicions than votes that it is alive.
    /// The next view waits for that, as one fault may take several members that are not all suspected at the same time.
    fn is_drop_pending(&self) -> bool {
        let mut others = self.table.members().filter(|(id, _)| *id != self.me);
        others
            .any(|(_, entry)| entry.suspected_since.is_some() && entry.suspect_votes() > entry.alive_votes())
    }

    /// Shows the table once it is stable and no drop is pending.
    pub(super) fn show_when_stable(&mut self, now: Time) {
        let Some((last, first)) = self.changed.filter(|(last, first)| now >= self.show_at(*last, *first))
        else {
            return;
        };
        if now < first + MAX_WAIT_ROUNDS * self.cfg.round && self.is_drop_pending() {
            self.changed = Some((now.max(last), first));
        } else {
            self.show();
        }
    }

    /// Makes the table's current members the view; a different view gets a number above all reported ones.
    pub(super) fn show(&mut self) {
        self.changed = None;
        let shown: BTreeMap<Id, Incarnation> =
            self.table.members().map(|(id, entry)| (id, entry.record.incarnation)).collect();
        if shown != self.shown {
            let reported =
                self.table.members().filter_map(|(_, entry)| entry.reported_view.map(|(number, _)| number));
            self.view_number = reported.max().unwrap_or(0).max(self.view_number) + 1;
            self.metrics.changes += 1;
            self.shown = shown;
        }
        self.view_digest = self.table.members_digest;
    }
}
