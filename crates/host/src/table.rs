//! The tables as every joined proxy either has them or will have them next: what is durable, and no more.

use bytes::Bytes;
use ravenspar_protocol::{kind, millionths, tag, Frame};

use crate::servers::Servers;

/// One changed line. Levels are not kept on record: a steward that starts over closes and opens anew.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Line { slice: usize, be: usize, weight: f64 },
    Drop { slice: usize },
    Level { slice: Option<usize>, kinds: u32, share: f64 },
    Withdraw { be: usize, out: bool },
}

impl Change {
    /// Writes the line, and before it what a proxy has to know of its server.
    pub fn write(&self, servers: &Servers, into: &mut Frame) {
        let number = |slice: &Option<usize>| slice.map_or(0, |slice| slice as u64 + 1);
        match self {
            Change::Line { slice, be, weight } => {
                write_server(*be, servers, into);
                into.numbers(tag::LINE, &[*slice as u64, *be as u64, millionths(*weight)])
            }
            Change::Drop { slice } => into.numbers(tag::DROP, &[*slice as u64]),
            Change::Level { slice, kinds, share } => {
                into.numbers(tag::LEVEL, &[number(slice), u64::from(*kinds), millionths(*share)])
            }
            Change::Withdraw { be, out } => {
                write_server(*be, servers, into);
                into.numbers(tag::WITHDRAW, &[*be as u64, u64::from(*out)])
            }
        };
    }
}

fn write_server(be: usize, servers: &Servers, into: &mut Frame) {
    let server = servers.get(be);
    into.text(tag::SERVER, &[be as u64], &server.id).text(tag::ADDRESS, &[be as u64], &server.address);
}

#[derive(Clone, Debug, Default)]
struct Line {
    owner: Option<(usize, f64)>,
    /// Levels set since the line was last dropped: kinds, share.
    levels: Vec<(u32, f64)>,
}

#[derive(Debug, Default)]
pub struct Table {
    lines: Vec<Line>,
    /// Levels set for all slices, which hold beside those of a slice.
    all: Vec<(u32, f64)>,
    withdrawn: Vec<usize>,
    /// What a joining proxy is sent, as long as nothing has changed since it was written.
    read: Option<Vec<Bytes>>,
}

/// Sets a level among others, the newest last, and drops those that it replaces whole.
fn set_level(levels: &mut Vec<(u32, f64)>, kinds: u32, share: f64) {
    levels.retain(|&(old, _)| old & !kinds != 0 || (kinds == 0 && old != 0));
    levels.push((kinds, share));
}

impl Table {
    pub fn new(slices: usize) -> Table {
        Table { lines: vec![Line::default(); slices], ..Table::default() }
    }

    pub fn apply(&mut self, change: &Change) {
        self.read = None;
        match *change {
            Change::Line { slice, be, weight } => self.lines[slice].owner = Some((be, weight)),
            Change::Drop { slice } => self.lines[slice] = Line::default(),
            Change::Level { slice: Some(slice), kinds, share } => {
                set_level(&mut self.lines[slice].levels, kinds, share);
            }
            Change::Level { slice: None, kinds, share } => set_level(&mut self.all, kinds, share),
            Change::Withdraw { be, out } => {
                self.withdrawn.retain(|&other| other != be);
                if out {
                    self.withdrawn.push(be);
                }
            }
        }
    }

    /// The whole table as frames of a stated size; the last one holds the end, the number of the turn behind it.
    pub fn read(&mut self, servers: &Servers, end: u64) -> Vec<Bytes> {
        // Small enough that other streams get their turn between two parts, large enough that frames cost little.
        const PART: usize = 16 * 1024;
        if let Some(read) = &self.read {
            return read.clone();
        }
        let mut parts = Vec::new();
        let mut frame = Frame::new(kind::READ);
        let mut told = vec![false; servers.len()];
        let lines = self.lines.iter().enumerate().flat_map(|(slice, line)| {
            let owner = line.owner.iter().map(move |&(be, weight)| Change::Line { slice, be, weight });
            let level =
                move |&(kinds, share): &(u32, f64)| Change::Level { slice: Some(slice), kinds, share };
            owner.chain(line.levels.iter().map(level))
        });
        let all = self.all.iter().map(|&(kinds, share)| Change::Level { slice: None, kinds, share });
        let out = self.withdrawn.iter().map(|&be| Change::Withdraw { be, out: true });
        for change in all.chain(out).chain(lines) {
            match change {
                Change::Line { slice, be, weight } if std::mem::replace(&mut told[be], true) => {
                    frame.numbers(tag::LINE, &[slice as u64, be as u64, millionths(weight)]);
                }
                change => change.write(servers, &mut frame),
            }
            if frame.len() >= PART {
                parts.push(std::mem::replace(&mut frame, Frame::new(kind::READ)).finish());
            }
        }
        parts.push(frame.numbers(tag::END, &[end]).finish());
        self.read = Some(parts.clone());
        parts
    }
}
