//! A forwarder's view of the slices, merged from the tables of several stewards.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ravenspar_protocol::{tag, DecodeError, Field};

use crate::Time;

/// The line and levels of a slice.
#[derive(Clone, Debug, Default)]
struct Line {
    owner: Option<Owner>,
    /// True if the weight is below the full weight: the slice is open to reads only.
    reads_only: bool,
    /// Mask of request kinds (0: all) and the admitted share, the newest last.
    levels: Vec<(u64, f64)>,
}

#[derive(Clone, Copy, Debug)]
struct Owner {
    /// The server's number in the table of the steward that set the line; `None` once that table has been replaced.
    server: Option<u64>,
    address: SocketAddr,
}

/// The state of a slice and the steward that it is from.
#[derive(Clone, Debug, Default)]
struct Slice {
    /// The highest term seen for the slice. Assignments of lower terms are refused.
    term: u64,
    steward: usize,
    line: Line,
    /// Set when the steward has released the slice: its lease counts no further than at that moment.
    lease_until: Option<Time>,
}

/// State of one steward beside its lines.
#[derive(Clone, Debug, Default)]
struct Steward {
    /// Levels for all slices, as in `Line::levels`.
    all: Vec<(u64, f64)>,
    servers: BTreeMap<u64, SocketAddr>,
    /// Servers that the steward has withdrawn.
    withdrawn: Vec<u64>,
    /// End of the lease that its last echo gave.
    lease_until: Time,
}

/// The full table of a steward while it is read. At its end it replaces the previous one atomically.
#[derive(Clone, Debug, Default)]
pub struct PartialTable {
    slices: BTreeMap<usize, (u64, Line)>,
    steward: Steward,
}

/// The merged tables of all stewards.
#[derive(Clone, Debug, Default)]
pub struct Table {
    slices: Vec<Slice>,
    stewards: Vec<Steward>,
    /// True for each request kind that writes.
    kinds: Vec<bool>,
    /// How long a req waits for a slice to get a server.
    pub hold: Time,
    /// Time within which a write ends.
    pub settle: Time,
    /// Fault: terms are ignored. The latest change applies, and any lease counts for any slice.
    pub ignores_terms: bool,
    /// Number of fields refused because a higher term had been seen for their slice.
    pub refused: u64,
}

impl Table {
    pub fn new(stewards: usize, ignores_terms: bool) -> Table {
        Table { stewards: vec![Steward::default(); stewards], ignores_terms, ..Table::default() }
    }

    /// Applies a welcome: the number of slices, which kinds write, and the times.
    pub fn set_shape(&mut self, slices: usize, kinds: Vec<bool>, hold: Time, settle: Time) {
        self.slices.resize(slices, Slice::default());
        (self.kinds, self.hold, self.settle) = (kinds, hold, settle);
    }

    /// Returns true if a slice is assigned to the steward, so that its change applies; else counts the refusal.
    fn accepts(&mut self, steward: usize, slice: usize) -> bool {
        let Some(entry) = self.slices.get(slice) else { return false };
        let accepted = self.ignores_terms || entry.steward == steward && entry.term > 0;
        self.refused += u64::from(!accepted);
        accepted
    }

    fn assign(&mut self, steward: usize, slice: usize, term: u64, line: Line) {
        let Some(entry) = self.slices.get_mut(slice) else { return };
        if term < entry.term && !self.ignores_terms {
            self.refused += 1;
        } else {
            *entry = Slice { term, steward, line, lease_until: None };
        }
    }

    fn release(&mut self, steward: usize, slice: usize) {
        let until = self.stewards[steward].lease_until;
        if let Some(entry) = self.slices.get_mut(slice).filter(|entry| entry.steward == steward) {
            entry.lease_until.get_or_insert(until);
        }
    }

    /// Reads one field of a part of the full table.
    pub fn read(&self, partial: &mut PartialTable, tag: u8, mut field: Field) -> Result<(), DecodeError> {
        match tag {
            tag::CHARGE => {
                let (first, count, term) = (field.index()?, field.index()?, field.number()?);
                let slices = first..first.saturating_add(count).min(self.slices.len());
                partial.slices.extend(slices.map(|slice| (slice, (term, Line::default()))));
            }
            tag::LINE => {
                if let Some((_, line)) = partial.slices.get_mut(&field.index()?) {
                    line.take(&mut field, &partial.steward.servers)?;
                }
            }
            tag::LEVEL => {
                let (slice, kinds, share) = (field.index()?, field.number()?, field.fraction()?);
                let own = slice.checked_sub(1).and_then(|slice| partial.slices.get_mut(&slice));
                match own {
                    Some((_, line)) => set_level(&mut line.levels, kinds, share),
                    None if slice == 0 => set_level(&mut partial.steward.all, kinds, share),
                    None => {}
                }
            }
            tag::ADDRESS | tag::WITHDRAW => partial.steward.take(tag, field)?,
            _ => {}
        }
        Ok(())
    }

    /// Replaces a steward's table by one that has been read in full.
    pub fn replace(&mut self, steward: usize, partial: PartialTable) {
        for slice in 0..self.slices.len() {
            if self.slices[slice].steward == steward && !partial.slices.contains_key(&slice) {
                self.release(steward, slice);
                // The old table's server numbers are no longer valid.
                self.slices[slice].line.owner.iter_mut().for_each(|owner| owner.server = None);
            }
        }
        let lease_until = self.stewards[steward].lease_until;
        self.stewards[steward] = Steward { lease_until, ..partial.steward };
        for (slice, (term, line)) in partial.slices {
            self.assign(steward, slice, term, line);
        }
    }

    /// Applies one field of a change; returns true if it counts as a line.
    pub fn take(&mut self, steward: usize, tag: u8, mut field: Field) -> Result<bool, DecodeError> {
        match tag {
            tag::CHARGE => {
                let (first, count, term) = (field.index()?, field.index()?, field.number()?);
                for slice in first..first.saturating_add(count).min(self.slices.len()) {
                    self.assign(steward, slice, term, Line::default());
                }
            }
            tag::LEFT => {
                let (first, count) = (field.index()?, field.index()?);
                for slice in first..first.saturating_add(count).min(self.slices.len()) {
                    self.release(steward, slice);
                }
            }
            tag::LINE | tag::HELD => {
                let slice = field.index()?;
                if self.accepts(steward, slice) {
                    let entry = &mut self.slices[slice];
                    entry.steward = steward;
                    entry.line.take(&mut field, &self.stewards[steward].servers)?;
                }
                return Ok(tag == tag::LINE);
            }
            tag::DROP => {
                let slice = field.index()?;
                if self.accepts(steward, slice) {
                    self.slices[slice].line = Line::default();
                }
                return Ok(true);
            }
            tag::LEVEL => {
                let (slice, kinds, share) = (field.index()?, field.number()?, field.fraction()?);
                match slice.checked_sub(1) {
                    None => set_level(&mut self.stewards[steward].all, kinds, share),
                    Some(slice) if self.accepts(steward, slice) => {
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

    /// Extends a steward's lease.
    pub fn renew(&mut self, steward: usize, until: Time) {
        let lease = &mut self.stewards[steward].lease_until;
        *lease = until.max(*lease);
    }

    /// Returns when the lease on a slice's writes ends.
    pub fn lease_until(&self, slice: u64) -> Time {
        if self.ignores_terms {
            return self.stewards.iter().map(|steward| steward.lease_until).max().unwrap_or(0);
        }
        let Some(entry) = self.slices.get(slice as usize) else { return 0 };
        let lease = self.stewards.get(entry.steward).map_or(0, |steward| steward.lease_until);
        entry.lease_until.map_or(lease, |until| until.min(lease))
    }

    /// Returns true if a field moves no slice away from an owner that it has.
    pub fn keeps_owners(&self, tag: u8, mut field: Field) -> bool {
        if !matches!(tag, tag::LINE | tag::DROP) {
            return true;
        }
        let held = field.index().ok().and_then(|slice| self.slices.get(slice)?.line.owner);
        held.is_none_or(|owner| tag == tag::LINE && field.number().ok() == owner.server)
    }

    /// Returns the slice of a key; `None` before the first welcome.
    pub fn slice(&self, key: u64) -> Option<u64> {
        key.checked_rem(self.slices.len() as u64)
    }

    /// Returns the index of the steward that a slice is assigned to.
    pub fn steward(&self, slice: u64) -> usize {
        self.slices.get(slice as usize).map_or(0, |entry| entry.steward)
    }

    /// Returns the owner of a slice: its number at the assigned steward, if still valid, and its address.
    pub fn owner(&self, slice: u64) -> Option<(Option<u64>, SocketAddr)> {
        let entry = self.slices.get(slice as usize)?;
        let Owner { server, address } = entry.line.owner?;
        let newest = server.and_then(|server| self.stewards.get(entry.steward)?.servers.get(&server));
        Some((server, newest.copied().unwrap_or(address)))
    }

    /// Returns the share of a kind that is admitted: the lower of the slice's newest level and the newest for all slices.
    pub fn level(&self, slice: u64, kind: u64) -> f64 {
        let newest = |levels: &[(u64, f64)]| {
            let found = levels.iter().rev().find(|&&(kinds, _)| kinds == 0 || kinds >> kind & 1 != 0);
            found.map_or(1.0, |&(_, share)| share)
        };
        let Some(entry) = self.slices.get(slice as usize) else { return 1.0 };
        let all = self.stewards.get(entry.steward).map_or(1.0, |steward| newest(&steward.all));
        newest(&entry.line.levels).min(all)
    }

    /// Returns true if a slice's line admits no writes.
    pub fn reads_only(&self, slice: u64) -> bool {
        self.slices.get(slice as usize).is_some_and(|entry| entry.line.reads_only)
    }

    /// Returns true if the steward that the slice is assigned to has withdrawn the server.
    pub fn withdrawn(&self, slice: u64, server: Option<u64>) -> bool {
        let withdrawn = self.stewards.get(self.steward(slice)).map(|steward| &steward.withdrawn);
        server.is_some_and(|server| withdrawn.is_some_and(|withdrawn| withdrawn.contains(&server)))
    }

    /// Returns true if a request kind writes; so does an unknown kind.
    pub fn writes(&self, kind: u64) -> bool {
        self.kinds.get(kind as usize).copied().unwrap_or(true)
    }
}

impl Line {
    /// Reads the fields after the slice: server and weight.
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
        self.withdrawn.retain(|&other| other != server);
        if field.number()? != 0 {
            self.withdrawn.push(server);
        }
        Ok(())
    }
}

fn set_level(levels: &mut Vec<(u64, f64)>, kinds: u64, share: f64) {
    levels.retain(|&(old, _)| old != kinds);
    levels.push((kinds, share));
}
