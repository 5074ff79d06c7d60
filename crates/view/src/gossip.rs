//! News on their way: each goes out some times with whatever datagram leaves, the ones sent least first.

use std::collections::BTreeMap;

use crate::table::{Table, Word};
use crate::wire::{length, Item, WORD_LENGTH};
use crate::Id;

/// What a piece of news is about; a record is read from the table when it goes out, so never an old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum About {
    Word(Id, Id),
    Record(Id),
}

/// News that wait at most. At the bound what was sent most gives way; a comparison brings what is missed.
pub const MOST: usize = 1_024;

#[derive(Debug, Default)]
pub struct Spread {
    /// How often each went out.
    waiting: BTreeMap<About, u32>,
    /// The same, by how often.
    order: std::collections::BTreeSet<(u32, About)>,
    pub dropped: u64,
}

impl Spread {
    pub fn add(&mut self, about: About) {
        if let Some(sent) = self.waiting.insert(about, 0) {
            self.order.remove(&(sent, about));
        }
        self.order.insert((0, about));
        if self.waiting.len() > MOST {
            if let Some((_, most)) = self.order.pop_last() {
                self.waiting.remove(&most);
                self.dropped += 1;
            }
        }
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Fills a body with news, first those that speak of its receiver.
    pub fn fill(&mut self, table: &Table, to: Option<Id>, body: &mut Vec<u8>, most: usize) {
        if let Some(entry) = to.and_then(|to| table.get(to)) {
            // Whoever is accused has to hear of it to answer; one word says as much as many.
            if let Some(word) = entry.words.iter().find(|word| word.accuses) {
                put(body, &Item::Word(*word), WORD_LENGTH, most);
            }
        }
        // As often as makes it all but sure that everybody hears of it: SWIM's some times the logarithm.
        let times = 3 * (usize::BITS - table.members.leading_zeros()).max(1);
        let mut went = Vec::new();
        let mut past = Vec::new();
        for &(sent, about) in &self.order {
            if body.len() + WORD_LENGTH > most {
                break;
            }
            let item = match about {
                About::Record(of) => table.get(of).map(|entry| Item::Record(entry.record.clone())),
                About::Word(of, by) => table.get(of).and_then(|entry| {
                    let word: Option<&Word> = entry.words.iter().find(|word| word.by == by);
                    word.map(|word| Item::Word(*word))
                }),
            };
            let Some(item) = item else {
                past.push((sent, about));
                continue;
            };
            let bytes = match &item {
                Item::Record(record) => length(record),
                Item::Word(_) => WORD_LENGTH,
            };
            if put(body, &item, bytes, most) {
                went.push((sent, about));
            }
        }
        for key in past.into_iter().chain(went.iter().copied()) {
            self.order.remove(&key);
            self.waiting.remove(&key.1);
        }
        for (sent, about) in went.into_iter().filter(|(sent, _)| sent + 1 < times) {
            self.waiting.insert(about, sent + 1);
            self.order.insert((sent + 1, about));
        }
    }
}

fn put(body: &mut Vec<u8>, item: &Item, bytes: usize, most: usize) -> bool {
    let fits = body.len() + bytes <= most;
    if fits {
        item.write(body);
    }
    fits
}
