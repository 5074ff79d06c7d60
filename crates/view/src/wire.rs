//! What stewards say to each other: bodies of datagrams, whose envelope, with a MAC, is not seen here.
//!
//! All numbers are big endian. A body that can't be read is passed over whole.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use bytes::{Buf, BufMut};

use crate::table::{Record, State, Word};
use crate::{Id, Life, Reach, NAME};

/// Bytes of a body at most: with the envelope a datagram has 256.
pub const BODY: usize = 206;

/// What a body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Are you there? Answered by an ACK with the same number.
    Ping = 3,
    Ack = 4,
    /// Is that one there? Answered by HEARD once it answered.
    Ask = 5,
    Heard = 6,
    /// News alone.
    Gossip = 7,
    /// Digests of sixteen parts of a range of the table.
    Sum = 8,
    /// All records of a range, few; what is missing is sent back.
    Push = 9,
    /// Somebody asks what the view is; answered by SHOWN.
    Show = 10,
    Shown = 11,
}

impl Kind {
    pub fn read(byte: u8) -> Option<Kind> {
        use Kind::{Ack, Ask, Gossip, Heard, Ping, Push, Show, Shown, Sum};
        [Ping, Ack, Ask, Heard, Gossip, Sum, Push, Show, Shown].into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// What every probe and answer says of its sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Said {
    pub seq: u32,
    pub from: Id,
    pub life: Life,
    /// Number and digest of the view that it shows.
    pub number: u32,
    pub view: u64,
    /// Digest of all that it knows.
    pub table: u64,
    pub reach: Reach,
}

pub const SAID: usize = 52;

impl Said {
    pub fn write(&self, to: &mut Vec<u8>) {
        to.put_u32(self.seq);
        to.put_u64(self.from);
        to.put_u64(self.life);
        to.put_u32(self.number);
        to.put_u64(self.view);
        to.put_u64(self.table);
        to.put_u32(self.reach.joined);
        to.put_u64(self.reach.digest);
    }

    pub fn read(from: &mut &[u8]) -> Option<Said> {
        (from.remaining() >= SAID).then(|| Said {
            seq: from.get_u32(),
            from: from.get_u64(),
            life: from.get_u64(),
            number: from.get_u32(),
            view: from.get_u64(),
            table: from.get_u64(),
            reach: Reach { joined: from.get_u32(), digest: from.get_u64() },
        })
    }
}

pub fn write_address(address: &SocketAddr, to: &mut Vec<u8>) {
    match address.ip() {
        IpAddr::V4(ip) => {
            to.put_u8(4);
            to.put_slice(&ip.octets());
        }
        IpAddr::V6(ip) => {
            to.put_u8(6);
            to.put_slice(&ip.octets());
        }
    }
    to.put_u16(address.port());
}

pub fn read_address(from: &mut &[u8]) -> Option<SocketAddr> {
    let ip: IpAddr = match from.try_get_u8().ok()? {
        4 => Ipv4Addr::from(from.try_get_u32().ok()?).into(),
        6 => Ipv6Addr::from(from.try_get_u128().ok()?).into(),
        _ => return None,
    };
    Some(SocketAddr::new(ip, from.try_get_u16().ok()?))
}

/// A piece of news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    Record(Record),
    Word(Word),
}

/// Lives begin at milliseconds of the wall clock and go up by ones: none comes near. Guards those that follow on it.
const MOST_LIFE: Life = Life::MAX / 2;

const WORD: u8 = 16;
const ACCUSES: u8 = 17;
/// Bytes of a word.
pub const WORD_LENGTH: usize = 31;

/// Bytes of a record.
pub fn length(record: &Record) -> usize {
    let address = if record.address.is_ipv4() { 6 } else { 18 };
    1 + 1 + address + 8 + 4 + 1 + record.name.len()
}

impl Item {
    pub fn write(&self, to: &mut Vec<u8>) {
        match self {
            Item::Record(record) => {
                to.put_u8(match record.state {
                    State::In => 1,
                    State::Left => 2,
                    State::Gone => 3,
                });
                write_address(&record.address, to);
                to.put_u64(record.life);
                to.put_u32(record.count);
                to.put_u8(record.name.len() as u8);
                to.put_slice(record.name.as_bytes());
            }
            Item::Word(word) => {
                to.put_u8(if word.accuses { ACCUSES } else { WORD });
                to.put_u64(word.of);
                to.put_u64(word.life);
                to.put_u32(word.count);
                to.put_u64(word.by);
                to.put_u16(word.seq);
            }
        }
    }

    fn read(from: &mut &[u8]) -> Option<Item> {
        let kind = from.try_get_u8().ok()?;
        if kind == WORD || kind == ACCUSES {
            return Some(Item::Word(Word {
                of: from.try_get_u64().ok()?,
                life: from.try_get_u64().ok()?,
                count: from.try_get_u32().ok()?,
                by: from.try_get_u64().ok()?,
                seq: from.try_get_u16().ok()?,
                accuses: kind == ACCUSES,
            }));
        }
        let state = match kind {
            1 => State::In,
            2 => State::Left,
            3 => State::Gone,
            _ => return None,
        };
        let address = read_address(from)?;
        let (life, count): (Life, u32) = (from.try_get_u64().ok()?, from.try_get_u32().ok()?);
        if life > MOST_LIFE {
            return None;
        }
        let length = usize::from(from.try_get_u8().ok()?);
        if length == 0 || length > NAME || from.remaining() < length {
            return None;
        }
        let name = std::str::from_utf8(&from[..length]).ok()?.to_owned();
        from.advance(length);
        let id = crate::id(&name);
        Some(Item::Record(Record { id, name, address, life, count, state }))
    }

    /// All items to the end, or none where one can't be read.
    pub fn read_all(mut from: &[u8]) -> Option<Vec<Item>> {
        let mut items = Vec::new();
        while !from.is_empty() {
            items.push(Item::read(&mut from)?);
        }
        Some(items)
    }
}

/// A part of the table: the names whose numbers begin with these bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Range {
    pub bits: u8,
    pub prefix: u64,
}

impl Range {
    /// Parts that a range is compared by.
    pub const PARTS: u64 = 16;

    pub fn part(self, n: u64) -> Range {
        let bits = self.bits + 4;
        Range { bits, prefix: self.prefix | n << (64 - u32::from(bits)) }
    }

    pub fn first(self) -> Id {
        self.prefix
    }

    pub fn last(self) -> Id {
        if self.bits == 0 {
            Id::MAX
        } else {
            self.prefix | Id::MAX.checked_shr(u32::from(self.bits)).unwrap_or(0)
        }
    }

    pub fn write(self, to: &mut Vec<u8>) {
        to.put_u8(self.bits);
        to.put_u64(self.prefix);
    }

    pub fn read(from: &mut &[u8]) -> Option<Range> {
        let (bits, prefix) = (from.try_get_u8().ok()?, from.try_get_u64().ok()?);
        // Sixty bits leave room for one more step.
        let whole = bits <= 60 && bits.is_multiple_of(4);
        let outside = whole && bits > 0 && prefix & (Id::MAX >> bits) != 0 || bits == 0 && prefix != 0;
        (whole && !outside).then_some(Range { bits, prefix })
    }
}
