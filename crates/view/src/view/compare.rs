//! Anti-entropy: tables that differ are compared range by range, and each side sends what the other lacks.

use std::net::SocketAddr;

use bytes::BufMut;

use super::View;
use crate::table::Record;
use crate::wire::{Item, Kind, Range, SenderStatus, MAX_BODY_LENGTH};
use crate::Time;

impl View {
    /// Starts a comparison with the sender of a status whose table has differed for a while.
    pub(super) fn compare(&mut self, now: Time, with: SocketAddr, status: &SenderStatus) {
        let same = status.table_digest == self.table.digest;
        // Updates in transit make tables differ for a moment, so a known member is compared with only after a while; one
        // that is new or was lost is compared with at once. The time is kept per member: where the fleet has two versions
        // of the table, members with the same one also meet often.
        let known = self.table.is_member(status.from) && self.table.member_count > 1;
        let mut unknown_member = None;
        let entry = self.table.entries.get_mut(&status.from);
        let since = entry.map_or(&mut unknown_member, |entry| &mut entry.differs_since);
        if same {
            *since = None;
            return;
        }
        let since = *since.get_or_insert(now);
        let too_early = known && now - since < 4 * self.cfg.round;
        if self.cfg.toggles.no_comparison || too_early || now < self.next_compare_at {
            return;
        }
        self.next_compare_at = now + self.cfg.round / 2;
        self.metrics.comparisons += 1;
        self.send_digests(with, Range::default());
    }

    fn send_digests(&mut self, to: SocketAddr, range: Range) {
        let mut body = Vec::new();
        range.write(&mut body);
        for n in 0..Range::PARTS {
            body.put_u64(self.table.range_digest(range.part(n)));
        }
        self.send(to, Kind::Digests, body);
    }

    /// Splits the parts of a range that differ, or sends their records if they are few.
    pub(super) fn handle_digests(
        &mut self,
        from: SocketAddr,
        range: Range,
        digests: &[u64; Range::PARTS as usize],
    ) {
        /// A part with at most this many records is sent rather than split further.
        const MAX_PUSHED: usize = 3;
        for (n, digest) in digests.iter().enumerate() {
            let part = range.part(n as u64);
            if self.table.range_digest(part) == *digest {
                continue;
            }
            if self.table.in_range(part).count() > MAX_PUSHED && part.bits < 60 {
                self.send_digests(from, part);
                continue;
            }
            let mut body = Vec::new();
            part.write(&mut body);
            for entry in self.table.in_range(part).take(MAX_PUSHED) {
                Item::Record(entry.record.clone()).write(&mut body);
            }
            self.send(from, Kind::Push, body);
        }
    }

    /// Takes in the records of a range, and sends back those of this table that were not among them.
    pub(super) fn handle_push(&mut self, now: Time, from: SocketAddr, range: Range, items: Vec<Item>) {
        /// Records sent back at once. The rest waits for the next comparison.
        const MAX_RETURNED: usize = 48;
        let received: Vec<Record> = items
            .into_iter()
            .filter_map(|item| match item {
                Item::Record(record) => Some(record),
                Item::Vote(_) => None,
            })
            .collect();
        for record in &received {
            self.learn_record(now, record);
        }
        let was_received = |record: &Record| received.iter().any(|other| other == record);
        let missing: Vec<Record> = self
            .table
            .in_range(range)
            .map(|entry| entry.record.clone())
            .filter(|record| !was_received(record))
            .take(MAX_RETURNED)
            .collect();
        let mut body = Vec::new();
        for record in missing {
            if body.len() + crate::wire::length(&record) > MAX_BODY_LENGTH {
                self.send(from, Kind::Gossip, std::mem::take(&mut body));
            }
            Item::Record(record).write(&mut body);
        }
        if !body.is_empty() {
            self.send(from, Kind::Gossip, body);
        }
    }
}
