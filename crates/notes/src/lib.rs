//! Notes between stewards. Pure: bytes in, hints out.
//!
//! A note may be lost, late, doubled, out of order or forged, so it carries a hint and never authority: whoever takes
//! one in looks sooner where it would have looked anyway. A note is 58 bytes: version (1), the sender's life (8), its
//! count (8), kind (1), a number (8), all big endian, and an HMAC-SHA256 over these (32, RFC 2104).

use std::collections::BTreeMap;

use hmac::{Hmac, KeyInit, Mac};
use ravenspar_sharing::Life;
use sha2::Sha256;

const VERSION: u8 = 1;
const BODY: usize = 26;
/// Bytes of a note.
pub const LENGTH: usize = BODY + 32;

/// Kinds of notes; a reader leaves alone those that it does not know.
pub mod kind {
    /// Slices have changed hands, at this revision of the store: look there.
    pub const LOOK: u8 = 1;
    /// The sender's list of servers has changed: read yours.
    pub const LIST: u8 = 2;
}

/// Why a note is not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Of another length or version.
    Form,
    /// Its MAC is not that of the key.
    Forged,
    /// Its sender is no member.
    Stranger,
    /// It has been taken in before, or is too old to tell.
    Replayed,
}

/// The sender's side.
pub struct Outbox {
    key: Vec<u8>,
    life: Life,
    count: u64,
}

fn mac(key: &[u8], body: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    mac.update(body);
    Some(mac)
}

impl Outbox {
    pub fn new(key: &[u8], life: Life) -> Outbox {
        Outbox { key: key.to_vec(), life, count: 0 }
    }

    /// A note that nobody has sent before.
    pub fn note(&mut self, kind: u8, number: u64) -> Vec<u8> {
        self.count += 1;
        let mut note = vec![VERSION];
        note.extend(self.life.to_be_bytes());
        note.extend(self.count.to_be_bytes());
        note.push(kind);
        note.extend(number.to_be_bytes());
        let tag = mac(&self.key, &note).map(|mac| mac.finalize().into_bytes().to_vec());
        note.extend(tag.unwrap_or_default());
        note
    }
}

/// The newest count taken in from a sender, and which of the 64 up to it were.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    newest: u64,
    seen: u64,
}

impl Window {
    /// Takes a count in once.
    fn takes(&mut self, count: u64) -> bool {
        if count > self.newest {
            let by = count - self.newest;
            self.seen = if by < 64 { self.seen << by | 1 } else { 1 };
            self.newest = count;
            return true;
        }
        let back = self.newest - count;
        let fresh = back < 64 && self.seen >> back & 1 == 0;
        if fresh {
            self.seen |= 1 << back;
        }
        fresh
    }
}

/// The receiver's side. It knows as many senders as there are members.
pub struct Inbox {
    key: Vec<u8>,
    senders: BTreeMap<Life, Window>,
    pub refused: u64,
}

impl Inbox {
    pub fn new(key: &[u8]) -> Inbox {
        Inbox { key: key.to_vec(), senders: BTreeMap::new(), refused: 0 }
    }

    /// Who is a member now. A life that was one before comes back to no other counts than it had.
    pub fn members(&mut self, lives: &[Life]) {
        self.senders.retain(|life, _| lives.contains(life));
        lives.iter().for_each(|&life| _ = self.senders.entry(life).or_default());
    }

    /// Sender, kind and number of a note that counts.
    pub fn open(&mut self, note: &[u8]) -> Result<(Life, u8, u64), Refused> {
        let opened = self.look(note);
        self.refused += u64::from(opened.is_err());
        opened
    }

    fn look(&mut self, note: &[u8]) -> Result<(Life, u8, u64), Refused> {
        if note.len() != LENGTH || note[0] != VERSION {
            return Err(Refused::Form);
        }
        let (body, tag) = note.split_at(BODY);
        let mac = mac(&self.key, body).ok_or(Refused::Forged)?;
        mac.verify_slice(tag).map_err(|_| Refused::Forged)?;
        let number = |at: usize| body[at..at + 8].iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte));
        let life = number(1);
        let window = self.senders.get_mut(&life).ok_or(Refused::Stranger)?;
        match window.takes(number(9)) {
            true => Ok((life, body[17], number(18))),
            false => Err(Refused::Replayed),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const KEY: &[u8] = b"a key of thirty-two bytes or more";

    fn pair() -> (Outbox, Inbox) {
        let mut inbox = Inbox::new(KEY);
        inbox.members(&[7]);
        (Outbox::new(KEY, 7), inbox)
    }

    #[test]
    fn a_note_counts_once_in_any_order() {
        let (mut outbox, mut inbox) = pair();
        let notes: Vec<_> = (0..70).map(|number| outbox.note(kind::LOOK, number)).collect();
        assert_eq!(inbox.open(&notes[1]), Ok((7, kind::LOOK, 1)));
        assert_eq!(inbox.open(&notes[0]), Ok((7, kind::LOOK, 0)));
        assert_eq!(inbox.open(&notes[1]), Err(Refused::Replayed));
        assert_eq!(inbox.open(&notes[69]), Ok((7, kind::LOOK, 69)));
        assert_eq!(inbox.open(&notes[2]), Err(Refused::Replayed), "too old to tell");
        assert_eq!(inbox.open(&notes[68]), Ok((7, kind::LOOK, 68)));
    }

    #[test]
    fn strangers_and_other_keys_are_refused() {
        let (_, mut inbox) = pair();
        assert_eq!(inbox.open(&Outbox::new(KEY, 8).note(kind::LOOK, 1)), Err(Refused::Stranger));
        assert_eq!(inbox.open(&Outbox::new(b"another", 7).note(kind::LOOK, 1)), Err(Refused::Forged));
        assert_eq!(inbox.refused, 2);
    }

    proptest! {
        #[test]
        fn no_change_of_a_note_is_taken_in(at in 0..LENGTH, bit in 0u8..8, number: u64) {
            let (mut outbox, mut inbox) = pair();
            let mut note = outbox.note(kind::LIST, number);
            note[at] ^= 1 << bit;
            prop_assert!(inbox.open(&note).is_err());
        }

        #[test]
        fn any_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..2 * LENGTH)) {
            prop_assert!(pair().1.open(&bytes).is_err());
        }
    }
}
