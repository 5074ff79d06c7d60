//! The routing table that all proxies have or are about to have: durable routes only.

use bytes::Bytes;
use ravenspar_protocol::{kind, millionths, tag, Frame};

use crate::servers::Servers;

/// One change of the table. Admission ratios are not recorded: a steward that restarts sets them again.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Route {
        slice: usize,
        server: usize,
        weight: f64,
    },
    Drop {
        slice: usize,
    },
    AdmissionRatio {
        slice: Option<usize>,
        kinds: u32,
        share: f64,
    },
    Withdraw {
        server: usize,
        out: bool,
    },
    /// The slice is assigned to this steward under this term; its route is unknown until one is reported.
    Assigned {
        slice: usize,
        term: u64,
    },
    /// The slice's route as read from the record.
    Held {
        slice: usize,
        server: usize,
        weight: f64,
    },
    /// The slice is no longer assigned to this steward; proxies keep its last route.
    Left {
        slice: usize,
    },
}

impl Change {
    /// Writes the change, preceded by the description of its server.
    pub fn write(&self, servers: &Servers, frame: &mut Frame) {
        let number = |slice: &Option<usize>| slice.map_or(0, |slice| slice as u64 + 1);
        match self {
            Change::Route { slice, server, weight } => {
                write_server(*server, servers, frame);
                frame.numbers(tag::LINE, &[*slice as u64, *server as u64, millionths(*weight)])
            }
            Change::Drop { slice } => frame.numbers(tag::DROP, &[*slice as u64]),
            Change::AdmissionRatio { slice, kinds, share } => {
                frame.numbers(tag::LEVEL, &[number(slice), u64::from(*kinds), millionths(*share)])
            }
            Change::Withdraw { server, out } => {
                write_server(*server, servers, frame);
                frame.numbers(tag::WITHDRAW, &[*server as u64, u64::from(*out)])
            }
            Change::Assigned { slice, term } => frame.numbers(tag::CHARGE, &[*slice as u64, 1, *term]),
            Change::Held { slice, server, weight } => {
                write_server(*server, servers, frame);
                frame.numbers(tag::HELD, &[*slice as u64, *server as u64, millionths(*weight)])
            }
            Change::Left { slice } => frame.numbers(tag::LEFT, &[*slice as u64, 1]),
        };
    }
}

fn write_server(index: usize, servers: &Servers, frame: &mut Frame) {
    let server = servers.get(index);
    frame.text(tag::SERVER, &[index as u64], &server.id);
    frame.text(tag::ADDRESS, &[index as u64], &server.address);
}

/// Writes the assignment of slices in ascending order, each run of adjacent slices under one term as one field. Returns
/// the number of fields.
pub fn write_assigned(assigned: &[(usize, u64)], frame: &mut Frame) -> u64 {
    let runs = assigned.chunk_by(|a, b| b.0 == a.0 + 1 && a.1 == b.1);
    runs.map(|run| _ = frame.numbers(tag::CHARGE, &[run[0].0 as u64, run.len() as u64, run[0].1])).count()
        as u64
}

/// Writes the release of slices in ascending order, each run as one field. Returns the number of fields.
pub fn write_left(slices: &[usize], frame: &mut Frame) -> u64 {
    let runs = slices.chunk_by(|a, b| *b == a + 1);
    runs.map(|run| _ = frame.numbers(tag::LEFT, &[run[0] as u64, run.len() as u64])).count() as u64
}

#[derive(Clone, Debug, Default)]
struct Route {
    /// The term under which the slice is assigned to this steward; 0 if it is not.
    term: u64,
    owner: Option<(usize, f64)>,
    /// Admission ratios set since the route was last dropped: request kinds (a bit set) and share.
    admission_ratios: Vec<(u32, f64)>,
}

/// The routes and admission ratios in force.
#[derive(Debug, Default)]
pub struct Table {
    routes: Vec<Route>,
    /// Admission ratios for all slices, which apply in addition to those of a slice.
    global_ratios: Vec<(u32, f64)>,
    withdrawn: Vec<usize>,
    /// The encoded table for joining proxies, cached until the next change.
    snapshot: Option<Vec<Bytes>>,
}

/// Appends an admission ratio and removes the older ones that it fully replaces.
fn set_admission_ratio(admission_ratios: &mut Vec<(u32, f64)>, kinds: u32, share: f64) {
    admission_ratios.retain(|&(old, _)| old & !kinds != 0 || (kinds == 0 && old != 0));
    admission_ratios.push((kinds, share));
}

impl Table {
    /// Creates a table whose slices are all assigned to this steward under `term`, or not assigned if it is 0.
    pub fn new(slices: usize, term: u64) -> Table {
        Table { routes: vec![Route { term, ..Route::default() }; slices], ..Table::default() }
    }

    /// Returns true if a slice has an owner that accepts writes.
    pub fn accepts_writes(&self, slice: usize) -> bool {
        self.routes.get(slice).and_then(|route| route.owner).is_some_and(|(_, weight)| weight >= 1.0)
    }

    /// Applies one durable change.
    pub fn apply(&mut self, change: &Change) {
        self.snapshot = None;
        match *change {
            Change::Route { slice, server, weight } => self.routes[slice].owner = Some((server, weight)),
            Change::Drop { slice } => {
                let term = self.routes[slice].term;
                self.routes[slice] = Route { term, ..Route::default() };
            }
            Change::Assigned { slice, term } => self.routes[slice] = Route { term, ..Route::default() },
            Change::Held { slice, server, weight } => self.routes[slice].owner = Some((server, weight)),
            Change::Left { slice } => self.routes[slice] = Route::default(),
            Change::AdmissionRatio { slice: Some(slice), kinds, share } => {
                set_admission_ratio(&mut self.routes[slice].admission_ratios, kinds, share);
            }
            Change::AdmissionRatio { slice: None, kinds, share } => {
                set_admission_ratio(&mut self.global_ratios, kinds, share)
            }
            Change::Withdraw { server, out } => {
                self.withdrawn.retain(|&other| other != server);
                if out {
                    self.withdrawn.push(server);
                }
            }
        }
    }

    /// Returns the whole table as frames of about `PART_BYTES` bytes. The last one carries `end`, the number of the first
    /// update that the table does not include.
    pub fn snapshot(&mut self, servers: &Servers, end: u64) -> Vec<Bytes> {
        // Small enough that other streams are served between two parts, large enough to keep the frame overhead low.
        const PART_BYTES: usize = 16 * 1024;
        if let Some(snapshot) = &self.snapshot {
            return snapshot.clone();
        }
        let mut parts = Vec::new();
        let mut frame = Frame::new(kind::READ);
        let mut written = vec![false; servers.len()];
        let owned = self.routes.iter().enumerate().filter(|(_, route)| route.term > 0);
        let assigned: Vec<(usize, u64)> = owned.map(|(slice, route)| (slice, route.term)).collect();
        write_assigned(&assigned, &mut frame);
        let routes = self.routes.iter().enumerate().flat_map(|(slice, route)| {
            let owner =
                route.owner.iter().map(move |&(server, weight)| Change::Route { slice, server, weight });
            let admission_ratio = move |&(kinds, share): &(u32, f64)| Change::AdmissionRatio {
                slice: Some(slice),
                kinds,
                share,
            };
            owner.chain(route.admission_ratios.iter().map(admission_ratio))
        });
        let global_ratios = self.global_ratios.iter().map(|&(kinds, share)| Change::AdmissionRatio {
            slice: None,
            kinds,
            share,
        });
        let out = self.withdrawn.iter().map(|&server| Change::Withdraw { server, out: true });
        for change in global_ratios.chain(out).chain(routes) {
            match change {
                Change::Route { slice, server, weight } if std::mem::replace(&mut written[server], true) => {
                    frame.numbers(tag::LINE, &[slice as u64, server as u64, millionths(weight)]);
                }
                change => change.write(servers, &mut frame),
            }
            if frame.len() >= PART_BYTES {
                parts.push(std::mem::replace(&mut frame, Frame::new(kind::READ)).finish());
            }
        }
        parts.push(frame.numbers(tag::END, &[end]).finish());
        self.snapshot = Some(parts.clone());
        parts
    }
}
