//! When a table that has changed is shown: one fault is to be one change.

use std::collections::BTreeMap;

use super::View;
use crate::{Id, Life, Time};

/// Rounds that the table is to be still before a view of it is shown, and how many it is waited for at most.
const STILL: Time = 2;
const STILL_MOST: Time = 10;

impl View {
    /// Something may be shown otherwise from here on.
    pub(super) fn touched(&mut self, now: Time) {
        let first = self.changed.map_or(now, |(_, first)| first);
        self.changed = Some((now, first));
    }

    pub(super) fn show_at(&self, last: Time, first: Time) -> Time {
        (last + STILL * self.cfg.round).min(first + STILL_MOST * self.cfg.round)
    }

    /// Whether somebody is about to be dropped unless it answers: more accuse it than vouch for it. What is shown waits for
    /// that, as the same fault may have taken several whom others, late themselves, accuse later.
    fn is_about_to_drop(&self) -> bool {
        let mut others = self.table.members().filter(|(of, _)| *of != self.me);
        others.any(|(_, entry)| entry.accused.is_some() && entry.accusers() > entry.vouchers())
    }

    pub(super) fn show_when_still(&mut self, now: Time) {
        let Some((last, first)) = self.changed.filter(|(last, first)| now >= self.show_at(*last, *first))
        else {
            return;
        };
        if now < first + STILL_MOST * self.cfg.round && self.is_about_to_drop() {
            self.changed = Some((now.max(last), first));
        } else {
            self.show();
        }
    }

    pub(super) fn show(&mut self) {
        self.changed = None;
        let shown: BTreeMap<Id, Life> =
            self.table.members().map(|(of, entry)| (of, entry.record.life)).collect();
        if shown != self.shown {
            let said = self.table.members().filter_map(|(_, entry)| entry.view.map(|(number, _)| number));
            self.number = said.max().unwrap_or(0).max(self.number) + 1;
            self.figures.changes += 1;
            self.shown = shown;
        }
        self.digest = self.table.view;
    }
}
