//! What a forwarder holds of the tables, and how lines of several stewards change it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ravenspar_protocol::{tag, DecodeError, Field};

use crate::Time;

#[derive(Clone, Debug, Default)]
struct Line {
    owner: Option<Owner>,
    /// Its weight is below a whole: open to reads alone.
    reads_only: bool,
    levels: Vec<(u64, f64)>,
}

#[derive(Clone, Copy, Debug)]
struct Owner {
    /// Its number on the stream of the steward whose line it is; none once that stream has another table.
    server: Option<u64>,
    address: SocketAddr,
}

/// What holds for a slice, and who says so.
#[derive(Clone, Debug, Default)]
struct Slice {
    /// The highest term seen for it; nothing of a lower one is taken in.
    term: u64,
    steward: usize,
    line: Line,
    /// Its steward has left it: that one's lease counts no further than it did then.
    lease_until: Option<Time>,
}

/// What one steward says beside its lines, and the lease that it has given.
#[derive(Clone, Debug, Default)]
struct Steward {
    all: Vec<(u64, f64)>,
    servers: BTreeMap<u64, SocketAddr>,
    out: Vec<u64>,
    lease_until: Time,
}

/// The whole table of one steward while it is read: it takes the place of the one before at once.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    slices: BTreeMap<usize, (u64, Line)>,
    steward: Steward,
}

#[derive(Clone, Debug, Default)]
pub struct Table {
    slices: Vec<Slice>,
    stewards: Vec<Steward>,
    kinds: Vec<bool>,
    pub hold: Time,
    pub settle: Time,
    /// It takes in whatever comes last, and any lease for any slice, as if there were no terms.
    pub ignores_terms: bool,
    /// Fields that were refused because a higher term had been seen for their slice.
    pub refused: u64,
}

impl Table {
    pub fn new(stewards: usize, ignores_terms: bool) -> Table {
        Table { stewards: vec![Steward::default(); stewards], ignores_terms, ..Table::default() }
    }

    /// What a welcome says of the table's shape.
    pub fn shape(&mut self, slices: usize, kinds: Vec<bool>, hold: Time, settle: Time) {
        self.slices.resize(slices, Slice::default());
        (self.kinds, self.hold, self.settle) = (kinds, hold, settle);
    }

    /// Whether what a steward says of a slice counts. What doesn't is counted.
    fn counts(&mut self, steward: usize, slice: usize) -> bool {
        let Some(entry) = self.slices.get(slice) else { return false };
        let counts = self.ignores_terms || entry.steward == steward && entry.term > 0;
        self.refused += u64::from(!counts);
        counts
    }

    fn charge(&mut self, steward: usize, slice: usize, term: u64, line: Line) {
        let Some(entry) = self.slices.get_mut(slice) else { return };
        if term < entry.term && !self.ignores_terms {
            self.refused += 1;
        } else {
            *entry = Slice { term, steward, line, lease_until: None };
        }
    }

    fn leave(&mut self, steward: usize, slice: usize) {
        let until = self.stewards[steward].lease_until;
        if let Some(entry) = self.slices.get_mut(slice).filter(|entry| entry.steward == steward) {
            entry.lease_until.get_or_insert(until);
        }
    }

    /// Takes in one field of a part of the whole table.
    pub fn read(&self, reading: &mut Reading, tag: u8, mut field: Field) -> Result<(), DecodeError> {
        match tag {
            tag::CHARGE => {
                let (first, count, term) = (field.index()?, field.index()?, field.number()?);
                let slices = first..first.saturating_add(count).min(self.slices.len());
                reading.slices.extend(slices.map(|slice| (slice, (term, Line::default()))));
            }
            tag::LINE => {
                if let Some((_, line)) = reading.slices.get_mut(&field.index()?) {
                    line.take(&mut field, &reading.steward.servers)?;
                }
            }
            tag::LEVEL => {
                let (slice, kinds, share) = (field.index()?, field.number()?, field.fraction()?);
                let own = slice.checked_sub(1).and_then(|slice| reading.slices.get_mut(&slice));
                match own {
                    Some((_, line)) => set_level(&mut line.levels, kinds, share),
                    None if slice == 0 => set_level(&mut reading.steward.all, kinds, share),
                    None => {}
                }
            }
            tag::ADDRESS | tag::WITHDRAW => reading.steward.take(tag, field)?,
            _ => {}
        }
        Ok(())
    }

    /// The whole table of a steward has been read.
    pub fn replace(&mut self, steward: usize, reading: Reading) {
        for slice in 0..self.slices.len() {
            if self.slices[slice].steward == steward && !reading.slices.contains_key(&slice) {
                self.leave(steward, slice);
                // Numbers of servers are those of the new table from here on.
                self.slices[slice].line.owner.iter_mut().for_each(|owner| owner.server = None);
            }
        }
        let lease_until = self.stewards[steward].lease_until;
        self.stewards[steward] = Steward { lease_until, ..reading.steward };
        for (slice, (term, line)) in reading.slices {
            self.charge(steward, slice, term, line);
        }
    }

    /// Takes in one field of a change; true where it was a line.
    pub fn take(&mut self, steward: usize, tag: u8, mut field: Field) -> Result<bool, DecodeError> {
        match tag {
            tag::CHARGE => {
                let (first, count, term) = (field.index()?, field.index()?, field.number()?);
                for slice in first..first.saturating_add(count).min(self.slices.len()) {
                    self.charge(steward, slice, term, Line::default());
                }
            }
            tag::LEFT => {
                let (first, count) = (field.index()?, field.index()?);
                for slice in first..first.saturating_add(count).min(self.slices.len()) {
                    self.leave(steward, slice);
                }
            }
            tag::LINE | tag::HELD => {
                let slice = field.index()?;
                if self.counts(steward, slice) {
                    let entry = &mut self.slices[slice];
                    entry.steward = steward;
                    entry.line.take(&mut field, &self.stewards[steward].servers)?;
                }
                return Ok(tag == tag::LINE);
            }
            tag::DROP => {
                let slice = field.index()?;
                if self.counts(steward, slice) {
                    self.slices[slice].line = Line::default();
                }
                return Ok(true);
            }
            tag::LEVEL => {
                let (slice, kinds, share) = (field.index()?, field.number()?, field.fraction()?);
                match slice.checked_sub(1) {
                    None => set_level(&mut self.stewards[steward].all, kinds, share),
                    Some(slice) if self.counts(steward, slice) => {
                        set_level(&mut self.slices[slice].line.levels, kinds, share);
                    }
                    Some(_) => {}
                }
                return Ok(true);
            }
            tag::ADDRESS => self.stewards[steward].take(tag, field)?,
            tag::WITHDRAW => {
                self.stewards[steward].take(tag, field)?;
                return Ok(true);
            }
            _ => {}
        }
        Ok(false)
    }

    /// An echo by a steward that is in charge gives a lease until then.
    pub fn renew(&mut self, steward: usize, until: Time) {
        let lease = &mut self.stewards[steward].lease_until;
        *lease = until.max(*lease);
    }

    /// When the lease on a slice's writes ends.
    pub fn lease_until(&self, slice: u64) -> Time {
        if self.ignores_terms {
            return self.stewards.iter().map(|steward| steward.lease_until).max().unwrap_or(0);
        }
        let Some(entry) = self.slices.get(slice as usize) else { return 0 };
        let lease = self.stewards.get(entry.steward).map_or(0, |steward| steward.lease_until);
        entry.lease_until.map_or(lease, |until| until.min(lease))
    }

    /// Whether a field leaves every slice that has an owner with that one.
    pub fn keeps_owners(&self, tag: u8, mut field: Field) -> bool {
        if !matches!(tag, tag::LINE | tag::DROP) {
            return true;
        }
        let held = field.index().ok().and_then(|slice| self.slices.get(slice)?.line.owner);
        held.is_none_or(|owner| tag == tag::LINE && field.number().ok() == owner.server)
    }

    /// The slice of a key, once there are slices.
    pub fn slice(&self, key: u64) -> Option<u64> {
        key.checked_rem(self.slices.len() as u64)
    }

    /// Who is in charge of a slice.
    pub fn steward(&self, slice: u64) -> usize {
        self.slices.get(slice as usize).map_or(0, |entry| entry.steward)
    }

    /// The server that owns a slice: its number at the steward in charge, and its address.
    pub fn owner(&self, slice: u64) -> Option<(Option<u64>, SocketAddr)> {
        let entry = self.slices.get(slice as usize)?;
        let Owner { server, address } = entry.line.owner?;
        let newest = server.and_then(|server| self.stewards.get(entry.steward)?.servers.get(&server));
        Some((server, newest.copied().unwrap_or(address)))
    }

    /// The share of a kind that is let in: the lower of the slice's level and that of all, each the newest set.
    pub fn level(&self, slice: u64, kind: u64) -> f64 {
        let newest = |levels: &[(u64, f64)]| {
            let found = levels.iter().rev().find(|&&(kinds, _)| kinds == 0 || kinds >> kind & 1 != 0);
            found.map_or(1.0, |&(_, share)| share)
        };
        let Some(entry) = self.slices.get(slice as usize) else { return 1.0 };
        let all = self.stewards.get(entry.steward).map_or(1.0, |steward| newest(&steward.all));
        newest(&entry.line.levels).min(all)
    }

    /// Whether a slice's line lets no write through.
    pub fn reads_only(&self, slice: u64) -> bool {
        self.slices.get(slice as usize).is_some_and(|entry| entry.line.reads_only)
    }

    /// Whether the steward in charge of a slice has withdrawn a server.
    pub fn withdrawn(&self, slice: u64, server: Option<u64>) -> bool {
        let out = self.stewards.get(self.steward(slice)).map(|steward| &steward.out);
        server.is_some_and(|server| out.is_some_and(|out| out.contains(&server)))
    }

    pub fn writes(&self, kind: u64) -> bool {
        self.kinds.get(kind as usize).copied().unwrap_or(true)
    }
}

impl Line {
    /// The rest of a line behind its slice: server, weight.
    fn take(&mut self, field: &mut Field, servers: &BTreeMap<u64, SocketAddr>) -> Result<(), DecodeError> {
        let (server, weight) = (field.number()?, field.fraction()?);
        let owner = servers.get(&server).map(|&address| Owner { server: Some(server), address });
        self.owner = owner.filter(|_| weight > 0.0);
        self.reads_only = weight < 1.0;
        Ok(())
    }
}

impl Steward {
    fn take(&mut self, tag: u8, mut field: Field) -> Result<(), DecodeError> {
        let server = field.number()?;
        if tag == tag::ADDRESS {
            self.servers.extend(field.text()?.parse().ok().map(|address| (server, address)));
            return Ok(());
        }
        self.out.retain(|&other| other != server);
        if field.number()? != 0 {
            self.out.push(server);
        }
        Ok(())
    }
}

fn set_level(levels: &mut Vec<(u64, f64)>, kinds: u64, share: f64) {
    levels.retain(|&(old, _)| old != kinds);
    levels.push((kinds, share));
}
