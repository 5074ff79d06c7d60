//! Updates piggybacked on outgoing datagrams: each is sent a limited number of times, those sent least often first.

use std::collections::BTreeMap;

use crate::table::{Table, Vote};
use crate::wire::{length, Item, VOTE_LENGTH};
use crate::Id;

/// Identifies an update. Its content is read from the table when it is sent, so it is never outdated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GossipKey {
    /// The vote on a subject by an observer.
    Vote(Id, Id),
    Record(Id),
}

/// Queued updates. Beyond it the one sent most often is dropped; anti-entropy delivers what was missed.
pub const MAX_QUEUED: usize = 1_024;

/// Queue of updates to piggyback.
#[derive(Debug, Default)]
pub struct GossipQueue {
    /// How often each was sent.
    send_counts: BTreeMap<GossipKey, u32>,
    /// The same, ordered by how often.
    order: std::collections::BTreeSet<(u32, GossipKey)>,
    /// Updates dropped at [`MAX_QUEUED`].
    pub dropped: u64,
}

impl GossipQueue {
    /// Queues an update, or resets its send count if it is queued already.
    pub fn add(&mut self, key: GossipKey) {
        if let Some(sent) = self.send_counts.insert(key, 0) {
            self.order.remove(&(sent, key));
        }
        self.order.insert((0, key));
        if self.send_counts.len() > MAX_QUEUED {
            if let Some((_, most_sent)) = self.order.pop_last() {
                self.send_counts.remove(&most_sent);
                self.dropped += 1;
            }
        }
    }

    pub fn len(&self) -> usize {
        self.send_counts.len()
    }

    /// Appends updates to a body of at most `max_len` bytes, first a suspicion of its receiver.
    pub fn fill(&mut self, table: &Table, to: Option<Id>, body: &mut Vec<u8>, max_len: usize) {
        if let Some(entry) = to.and_then(|to| table.get(to)) {
            // A suspected member has to learn of it to refute it; one vote is enough.
            if let Some(vote) = entry.votes.iter().find(|vote| vote.suspects) {
                append_if_fits(body, &Item::Vote(*vote), VOTE_LENGTH, max_len);
            }
        }
        // A multiple of log2 of the members, as in SWIM, so that an update reaches nearly surely all of them.
        let max_sends = 3 * (usize::BITS - table.member_count.leading_zeros()).max(1);
        let mut sent_now = Vec::new();
        let mut obsolete = Vec::new();
        for &(sent, key) in &self.order {
            if body.len() + VOTE_LENGTH > max_len {
                break;
            }
            let item = match key {
                GossipKey::Record(id) => table.get(id).map(|entry| Item::Record(entry.record.clone())),
                GossipKey::Vote(subject, observer) => table.get(subject).and_then(|entry| {
                    let vote: Option<&Vote> = entry.votes.iter().find(|vote| vote.observer == observer);
                    vote.map(|vote| Item::Vote(*vote))
                }),
            };
            let Some(item) = item else {
                obsolete.push((sent, key));
                continue;
            };
            let bytes = match &item {
                Item::Record(record) => length(record),
                Item::Vote(_) => VOTE_LENGTH,
            };
            if append_if_fits(body, &item, bytes, max_len) {
                sent_now.push((sent, key));
            }
        }
        for queued in obsolete.into_iter().chain(sent_now.iter().copied()) {
            self.order.remove(&queued);
            self.send_counts.remove(&queued.1);
        }
        for (sent, key) in sent_now.into_iter().filter(|(sent, _)| sent + 1 < max_sends) {
            self.send_counts.insert(key, sent + 1);
            self.order.insert((sent + 1, key));
        }
    }
}

fn append_if_fits(body: &mut Vec<u8>, item: &Item, bytes: usize, max_len: usize) -> bool {
    let fits = body.len() + bytes <= max_len;
    if fits {
        item.write(body);
    }
    fits
}
