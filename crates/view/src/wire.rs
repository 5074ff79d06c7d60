//! Encoding of datagram bodies. The envelope with its MAC is added and checked by the caller.
//!
//! All numbers are big endian. A malformed body is ignored as a whole.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use bytes::{Buf, BufMut};

use crate::table::{Record, State, Vote};
use crate::{ForwarderSummary, Id, Incarnation, MAX_NAME_LENGTH};

/// The longest body, in bytes: with its envelope a datagram has 256.
pub const MAX_BODY_LENGTH: usize = 206;

/// Message kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A probe, answered by an `Ack` with the same sequence number.
    Ping = 3,
    /// Answer to a `Ping`.
    Ack = 4,
    /// Asks for an indirect probe of a member; answered by an `IndirectAck` once that member has answered.
    ProbeRequest = 5,
    /// The member of a `ProbeRequest` has answered.
    IndirectAck = 6,
    /// Updates alone.
    Gossip = 7,
    /// Digests of the sixteen parts of a table range.
    Digests = 8,
    /// The few records of a range; the receiver answers with its records of the range that are not among them.
    Push = 9,
    /// Asks for a page of the view, answered by `Page`.
    PageRequest = 10,
    /// A page of the view.
    Page = 11,
}

impl Kind {
    pub fn read(byte: u8) -> Option<Kind> {
        use Kind::{Ack, Digests, Gossip, IndirectAck, Page, PageRequest, Ping, ProbeRequest, Push};
        [Ping, Ack, ProbeRequest, IndirectAck, Gossip, Digests, Push, PageRequest, Page]
            .into_iter()
            .find(|kind| *kind as u8 == byte)
    }
}

/// State of the sender, at the start of each `Ping` and `Ack`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SenderStatus {
    pub seq: u32,
    pub from: Id,
    pub incarnation: Incarnation,
    /// Number and digest of the view that the sender shows.
    pub view_number: u32,
    pub view_digest: u64,
    /// Digest of the sender's membership table.
    pub table_digest: u64,
    pub forwarders: ForwarderSummary,
}

/// Encoded length of a [`SenderStatus`], in bytes.
pub const STATUS_LENGTH: usize = 52;

impl SenderStatus {
    pub fn write(&self, to: &mut Vec<u8>) {
        to.put_u32(self.seq);
        to.put_u64(self.from);
        to.put_u64(self.incarnation);
        to.put_u32(self.view_number);
        to.put_u64(self.view_digest);
        to.put_u64(self.table_digest);
        to.put_u32(self.forwarders.joined);
        to.put_u64(self.forwarders.digest);
    }

    pub fn read(from: &mut &[u8]) -> Option<SenderStatus> {
        (from.remaining() >= STATUS_LENGTH).then(|| SenderStatus {
            seq: from.get_u32(),
            from: from.get_u64(),
            incarnation: from.get_u64(),
            view_number: from.get_u32(),
            view_digest: from.get_u64(),
            table_digest: from.get_u64(),
            forwarders: ForwarderSummary { joined: from.get_u32(), digest: from.get_u64() },
        })
    }
}

/// Appends an address: 4 or 6 for the IP version, the IP, the port.
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

/// Reads an address off the front of `from`, or returns `None` if it is malformed.
pub fn read_address(from: &mut &[u8]) -> Option<SocketAddr> {
    let ip: IpAddr = match from.try_get_u8().ok()? {
        4 => Ipv4Addr::from(from.try_get_u32().ok()?).into(),
        6 => Ipv6Addr::from(from.try_get_u128().ok()?).into(),
        _ => return None,
    };
    Some(SocketAddr::new(ip, from.try_get_u16().ok()?))
}

/// An update in a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    Record(Record),
    Vote(Vote),
}

/// Incarnations start at wall-clock milliseconds and rise by ones, so none comes near. Keeps the next one from overflowing.
const MAX_INCARNATION: Incarnation = Incarnation::MAX / 2;

const VOTE_ALIVE: u8 = 16;
const VOTE_SUSPECT: u8 = 17;
/// Encoded length of a vote, in bytes.
pub const VOTE_LENGTH: usize = 31;

/// Encoded length of a record, in bytes.
pub fn length(record: &Record) -> usize {
    let address = if record.address.is_ipv4() { 6 } else { 18 };
    1 + 1 + address + 8 + 4 + 1 + record.name.len()
}

impl Item {
    pub fn write(&self, to: &mut Vec<u8>) {
        match self {
            Item::Record(record) => {
                to.put_u8(match record.state {
                    State::Alive => 1,
                    State::Left => 2,
                    State::Gone => 3,
                });
                write_address(&record.address, to);
                to.put_u64(record.incarnation);
                to.put_u32(record.refutations);
                to.put_u8(record.name.len() as u8);
                to.put_slice(record.name.as_bytes());
            }
            Item::Vote(vote) => {
                to.put_u8(if vote.suspects { VOTE_SUSPECT } else { VOTE_ALIVE });
                to.put_u64(vote.subject);
                to.put_u64(vote.incarnation);
                to.put_u32(vote.refutations);
                to.put_u64(vote.observer);
                to.put_u16(vote.seq);
            }
        }
    }

    fn read(from: &mut &[u8]) -> Option<Item> {
        let kind = from.try_get_u8().ok()?;
        if kind == VOTE_ALIVE || kind == VOTE_SUSPECT {
            return Some(Item::Vote(Vote {
                subject: from.try_get_u64().ok()?,
                incarnation: from.try_get_u64().ok()?,
                refutations: from.try_get_u32().ok()?,
                observer: from.try_get_u64().ok()?,
                seq: from.try_get_u16().ok()?,
                suspects: kind == VOTE_SUSPECT,
            }));
        }
        let state = match kind {
            1 => State::Alive,
            2 => State::Left,
            3 => State::Gone,
            _ => return None,
        };
        let address = read_address(from)?;
        let (incarnation, refutations): (Incarnation, u32) =
            (from.try_get_u64().ok()?, from.try_get_u32().ok()?);
        if incarnation > MAX_INCARNATION {
            return None;
        }
        let length = usize::from(from.try_get_u8().ok()?);
        if length == 0 || length > MAX_NAME_LENGTH || from.remaining() < length {
            return None;
        }
        let name = std::str::from_utf8(&from[..length]).ok()?.to_owned();
        from.advance(length);
        let id = crate::id(&name);
        Some(Item::Record(Record { id, name, address, incarnation, refutations, state }))
    }

    /// Reads items up to the end of the body. Returns `None` if any of them is malformed.
    pub fn read_all(mut from: &[u8]) -> Option<Vec<Item>> {
        let mut items = Vec::new();
        while !from.is_empty() {
            items.push(Item::read(&mut from)?);
        }
        Some(items)
    }
}

/// A range of the table: the names whose ids begin with the first `bits` bits of `prefix`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Range {
    pub bits: u8,
    pub prefix: u64,
}

impl Range {
    /// Parts that a range is split into for a comparison.
    pub const PARTS: u64 = 16;

    /// The part with this index; parts are 4 bits longer than their range.
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
        // A range of sixty bits can still be split once.
        let aligned = bits <= 60 && bits.is_multiple_of(4);
        let outside = aligned && bits > 0 && prefix & (Id::MAX >> bits) != 0 || bits == 0 && prefix != 0;
        (aligned && !outside).then_some(Range { bits, prefix })
    }
}
