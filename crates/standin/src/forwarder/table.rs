//! What a forwarder holds of the tables, and how lines change it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ravenspar_protocol::{tag, Fault, Numbers};

use crate::Time;

#[derive(Clone, Debug, Default)]
struct Line {
    owner: Option<u64>,
    /// Its weight is below a whole: open to reads alone.
    reads_only: bool,
    levels: Vec<(u64, f64)>,
}

#[derive(Clone, Debug, Default)]
pub struct Table {
    lines: Vec<Line>,
    all: Vec<(u64, f64)>,
    servers: BTreeMap<u64, SocketAddr>,
    out: Vec<u64>,
    kinds: Vec<bool>,
    pub hold: Time,
    pub settle: Time,
}

impl Table {
    /// An empty table of a welcome's shape, to be read anew.
    pub fn new(slices: usize, kinds: Vec<bool>, hold: Time, settle: Time) -> Table {
        Table { lines: vec![Line::default(); slices], kinds, hold, settle, ..Table::default() }
    }

    /// Takes one field in; true where it was a line.
    pub fn take(&mut self, tag: u8, mut field: Numbers) -> Result<bool, Fault> {
        match tag {
            tag::ADDRESS => {
                let be = field.number()?;
                if let Ok(address) = field.text()?.parse() {
                    self.servers.insert(be, address);
                }
                return Ok(false);
            }
            tag::LINE => {
                let (slice, be) = (field.index()?, field.number()?);
                if let Some(line) = self.lines.get_mut(slice) {
                    let weight = field.fraction()?;
                    line.owner = Some(be).filter(|_| weight > 0.0);
                    line.reads_only = weight < 1.0;
                }
            }
            tag::DROP => {
                if let Some(line) = self.lines.get_mut(field.index()?) {
                    *line = Line::default();
                }
            }
            tag::LEVEL => {
                let (slice, kinds, share) = (field.index()?, field.number()?, field.fraction()?);
                let levels = match slice.checked_sub(1) {
                    Some(slice) => self.lines.get_mut(slice).map(|line| &mut line.levels),
                    None => Some(&mut self.all),
                };
                if let Some(levels) = levels {
                    levels.retain(|&(old, _)| old != kinds);
                    levels.push((kinds, share));
                }
            }
            tag::WITHDRAW => {
                let be = field.number()?;
                self.out.retain(|&other| other != be);
                if field.number()? != 0 {
                    self.out.push(be);
                }
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Whether a field leaves every slice that has an owner with that one.
    pub fn keeps_owners(&self, tag: u8, mut field: Numbers) -> bool {
        if !matches!(tag, tag::LINE | tag::DROP) {
            return true;
        }
        let held = field.index().ok().and_then(|slice| self.lines.get(slice)?.owner);
        held.is_none_or(|owner| tag == tag::LINE && field.number() == Ok(owner))
    }

    /// The slice of a key, once there are slices.
    pub fn slice(&self, key: u64) -> Option<u64> {
        key.checked_rem(self.lines.len() as u64)
    }

    pub fn owner(&self, slice: u64) -> Option<(u64, SocketAddr)> {
        let be = self.lines.get(slice as usize)?.owner?;
        Some((be, *self.servers.get(&be)?))
    }

    /// The share of a kind that is let in: the lower of the slice's level and that of all, each the newest set.
    pub fn level(&self, slice: u64, kind: u64) -> f64 {
        let newest = |levels: &[(u64, f64)]| {
            let found = levels.iter().rev().find(|&&(kinds, _)| kinds == 0 || kinds >> kind & 1 != 0);
            found.map_or(1.0, |&(_, share)| share)
        };
        let own = self.lines.get(slice as usize).map_or(1.0, |line| newest(&line.levels));
        own.min(newest(&self.all))
    }

    /// Whether a slice's line lets no write through.
    pub fn reads_only(&self, slice: u64) -> bool {
        self.lines.get(slice as usize).is_some_and(|line| line.reads_only)
    }

    pub fn withdrawn(&self, be: u64) -> bool {
        self.out.contains(&be)
    }

    pub fn writes(&self, kind: u64) -> bool {
        self.kinds.get(kind as usize).copied().unwrap_or(true)
    }
}
