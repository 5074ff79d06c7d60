//! Datagrams between stewards: the authenticated envelope, and the hints sent in it. Pure: bytes in, bytes out.
//!
//! Datagrams may be lost, delayed, duplicated, reordered or forged, so what they carry is a hint and no authority: its
//! receiver only reads earlier what it would have read anyway. A datagram has up to 256 bytes: version (1), sender (8),
//! counter (8), kind (1), the body, all big endian, and an HMAC-SHA256 over these (32, RFC 2104).

use std::collections::BTreeMap;

use hmac::{Hmac, KeyInit, Mac};
use ravenspar_sharing::Incarnation;
use sha2::Sha256;

const VERSION: u8 = 1;
/// Bytes before the body.
const HEADER_LENGTH: usize = 18;
/// Bytes of the HMAC after the body.
const TAG_LENGTH: usize = 32;
/// The longest datagram, in bytes.
pub const MAX_DATAGRAM_LENGTH: usize = 256;
/// The longest body, in bytes.
pub const MAX_BODY_LENGTH: usize = MAX_DATAGRAM_LENGTH - HEADER_LENGTH - TAG_LENGTH;

/// Kinds of hints, whose body is a number (8). Unknown kinds are ignored. Kinds from 3 on are those of `ravenspar-view`.
pub mod kind {
    /// Slices were handed over at this revision of the store, which the receiver should read.
    pub const STORE_CHANGED: u8 = 1;
    /// The sender's list of servers has changed, so the receiver should read its own again.
    pub const SERVER_LIST_CHANGED: u8 = 2;
}

/// Why a datagram was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// Its length is impossible, or its version is another.
    Form,
    /// Its MAC does not match the key.
    Forged,
    /// It was accepted before, or is too old to know.
    Replayed,
}

/// Seals datagrams with a key, a sender number and a counter.
pub struct DatagramSealer {
    key: Vec<u8>,
    sender: Incarnation,
    counter: u64,
}

fn mac(key: &[u8], body: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    mac.update(body);
    Some(mac)
}

impl DatagramSealer {
    /// The sender number must be new at each start, as the counter starts from zero.
    pub fn new(key: &[u8], sender: Incarnation) -> DatagramSealer {
        DatagramSealer { key: key.to_vec(), sender, counter: 0 }
    }

    /// Seals a hint under the next counter.
    pub fn seal_hint(&mut self, kind: u8, number: u64) -> Vec<u8> {
        self.seal(kind, &number.to_be_bytes())
    }

    /// Seals a body under the next counter. Receivers refuse a body that is longer than [`MAX_BODY_LENGTH`].
    pub fn seal(&mut self, kind: u8, body: &[u8]) -> Vec<u8> {
        self.counter += 1;
        let mut datagram = Vec::with_capacity(MAX_DATAGRAM_LENGTH);
        datagram.push(VERSION);
        datagram.extend(self.sender.to_be_bytes());
        datagram.extend(self.counter.to_be_bytes());
        datagram.push(kind);
        datagram.extend(body);
        let tag = mac(&self.key, &datagram).map(|mac| mac.finalize().into_bytes().to_vec());
        datagram.extend(tag.unwrap_or_default());
        datagram
    }
}

/// Replay window of a sender: its newest counter, and which of the 64 up to it were received.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    newest: u64,
    /// Bit n is set if the counter `newest - n` was received.
    seen: u64,
    /// Number of the datagram, of all verified ones, that the sender last sent.
    last_active: u64,
}

impl Window {
    /// Returns true if the counter was not accepted before and is recent enough to know.
    fn accept(&mut self, counter: u64) -> bool {
        if counter > self.newest {
            let advance = counter - self.newest;
            self.seen = if advance < 64 { self.seen << advance | 1 } else { 1 };
            self.newest = counter;
            return true;
        }
        let age = self.newest - counter;
        let fresh = age < 64 && self.seen >> age & 1 == 0;
        if fresh {
            self.seen |= 1 << age;
        }
        fresh
    }
}

/// A verified datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    pub sender: Incarnation,
    pub kind: u8,
    pub body: &'a [u8],
}

impl OpenedDatagram<'_> {
    /// The number of a hint, or `None` if the body is not 8 bytes long.
    pub fn hint_number(&self) -> Option<u64> {
        self.body.try_into().ok().map(u64::from_be_bytes)
    }
}

/// Verifies datagrams, and accepts each once. Any sender with the key is accepted. Replay windows are kept for a limited
/// number of senders; beyond it the one idle for the longest is forgotten.
pub struct DatagramOpener {
    key: Vec<u8>,
    senders: BTreeMap<Incarnation, Window>,
    max_senders: usize,
    /// Datagrams with a valid MAC, to know which sender was idle for the longest.
    verified: u64,
    /// Datagrams refused.
    pub refused: u64,
}

impl DatagramOpener {
    /// Datagrams of a forgotten sender can be replayed once more, so duplicates must do no harm.
    pub fn new(key: &[u8], max_senders: usize) -> DatagramOpener {
        DatagramOpener {
            key: key.to_vec(),
            senders: BTreeMap::new(),
            max_senders: max_senders.max(1),
            verified: 0,
            refused: 0,
        }
    }

    /// Verifies a datagram and returns its content.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<OpenedDatagram<'a>, OpenError> {
        let opened = self.verify(datagram);
        self.refused += u64::from(opened.is_err());
        opened
    }

    fn verify<'a>(&mut self, datagram: &'a [u8]) -> Result<OpenedDatagram<'a>, OpenError> {
        if !(HEADER_LENGTH + TAG_LENGTH..=MAX_DATAGRAM_LENGTH).contains(&datagram.len())
            || datagram[0] != VERSION
        {
            return Err(OpenError::Form);
        }
        let (signed, tag) = datagram.split_at(datagram.len() - TAG_LENGTH);
        let mac = mac(&self.key, signed).ok_or(OpenError::Forged)?;
        mac.verify_slice(tag).map_err(|_| OpenError::Forged)?;
        let read_u64 = |at: usize| signed[at..at + 8].iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte));
        let sender = read_u64(1);
        if !self.senders.contains_key(&sender) && self.senders.len() >= self.max_senders {
            let idlest = self.senders.iter().min_by_key(|(sender, window)| (window.last_active, **sender));
            let idlest = idlest.map(|(sender, _)| *sender);
            idlest.map(|sender| self.senders.remove(&sender));
        }
        let window = self.senders.entry(sender).or_default();
        self.verified += 1;
        window.last_active = self.verified;
        match window.accept(read_u64(9)) {
            true => {
                Ok(OpenedDatagram { sender, kind: signed[HEADER_LENGTH - 1], body: &signed[HEADER_LENGTH..] })
            }
            false => Err(OpenError::Replayed),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const KEY: &[u8] = b"a key of thirty-two bytes or more";

    fn read(opener: &mut DatagramOpener, datagram: &[u8]) -> Result<(Incarnation, u8, u64), OpenError> {
        opener
            .open(datagram)
            .map(|opened| (opened.sender, opened.kind, opened.hint_number().expect("a number")))
    }

    fn pair() -> (DatagramSealer, DatagramOpener) {
        (DatagramSealer::new(KEY, 7), DatagramOpener::new(KEY, 2))
    }

    #[test]
    fn each_hint_is_accepted_once_in_any_order() {
        let (mut sealer, mut opener) = pair();
        let hints: Vec<_> = (0..70).map(|number| sealer.seal_hint(kind::STORE_CHANGED, number)).collect();
        assert_eq!(read(&mut opener, &hints[1]), Ok((7, kind::STORE_CHANGED, 1)));
        assert_eq!(read(&mut opener, &hints[0]), Ok((7, kind::STORE_CHANGED, 0)));
        assert_eq!(read(&mut opener, &hints[1]), Err(OpenError::Replayed));
        assert_eq!(read(&mut opener, &hints[69]), Ok((7, kind::STORE_CHANGED, 69)));
        assert_eq!(read(&mut opener, &hints[2]), Err(OpenError::Replayed), "outside the replay window");
        assert_eq!(read(&mut opener, &hints[68]), Ok((7, kind::STORE_CHANGED, 68)));
    }

    #[test]
    fn any_sender_with_the_key_is_accepted_and_the_longest_idle_is_forgotten_first() {
        let mut opener = DatagramOpener::new(KEY, 2);
        let mut sealers: Vec<_> = (1..4).map(|sender| DatagramSealer::new(KEY, sender)).collect();
        let first = sealers[0].seal(3, b"body");
        assert_eq!(opener.open(&first), Ok(OpenedDatagram { sender: 1, kind: 3, body: b"body" }));
        let second = sealers[1].seal(4, &[0; MAX_BODY_LENGTH]);
        assert_eq!(second.len(), MAX_DATAGRAM_LENGTH);
        assert!(opener.open(&second).is_ok());
        assert_eq!(opener.open(&first), Err(OpenError::Replayed));
        assert!(opener.open(&sealers[2].seal(3, b"")).is_ok());
        assert_eq!(
            opener.open(&first),
            Err(OpenError::Replayed),
            "a replayed datagram counts as activity of its sender"
        );
        assert!(opener.open(&second).is_ok(), "its sender was forgotten, so a replay is accepted");
        assert_eq!(opener.open(&DatagramSealer::new(b"another", 9).seal(3, b"")), Err(OpenError::Forged));
        assert_eq!(opener.senders.len(), 2, "a forged datagram evicts no sender");
        assert_eq!(opener.open(&sealers[0].seal(3, &[0; MAX_BODY_LENGTH + 1])), Err(OpenError::Form));
    }

    proptest! {
        #[test]
        fn a_datagram_with_a_changed_bit_is_refused(at in 0..58usize, bit in 0u8..8, number: u64) {
            let (mut sealer, mut opener) = pair();
            let mut datagram = sealer.seal_hint(kind::SERVER_LIST_CHANGED, number);
            datagram[at] ^= 1 << bit;
            prop_assert!(opener.open(&datagram).is_err());
        }

        #[test]
        fn any_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..2 * MAX_DATAGRAM_LENGTH)) {
            prop_assert!(pair().1.open(&bytes).is_err());
        }
    }
}
