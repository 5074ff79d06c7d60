//! What the orders of the log come to: keys with revisions, bound to leases. The same orders give the same state at every
//! copy: no clock, no chance, nothing in hash order.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// A key's value and its writes, counted by revisions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    pub key: Vec<u8>,
    pub value: Vec<u8>,
    pub created: u64,
    pub modified: u64,
    pub version: u64,
    /// 0: none.
    pub lease: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum How {
    Equal,
    Greater,
    Less,
    NotEqual,
}

/// What a key is compared by; a key that is not there has zeros and no value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum By {
    Version(u64),
    Created(u64),
    Modified(u64),
    Lease(u64),
    Value(Vec<u8>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Compare {
    pub key: Vec<u8>,
    pub how: How,
    pub by: By,
}

/// Keys from one on, up to an end that is not in it; an empty end: that key alone; an end of one zero byte: all from there.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Range {
    pub key: Vec<u8>,
    pub end: Vec<u8>,
    /// Only what was modified at this revision or later.
    pub since: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Step {
    Read(Range),
    Put { key: Vec<u8>, value: Vec<u8>, lease: u64 },
    Delete(Range),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Order {
    /// All or nothing: the steps of the first list where all comparisons hold, else those of the second.
    Do {
        compare: Vec<Compare>,
        then: Vec<Step>,
        otherwise: Vec<Step>,
    },
    Grant {
        lease: u64,
        seconds: u32,
    },
    Renew {
        lease: u64,
    },
    Revoke {
        lease: u64,
    },
    /// The leader's word that a lease has run out since it was renewed so often.
    End {
        lease: u64,
        renewals: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Did {
    Read(Vec<Row>),
    Put,
    Deleted(u64),
}

/// What came of an order, and the revision that the state has with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    pub revision: u64,
    pub result: Result<Done, Not>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Done {
    Did {
        held: bool,
        steps: Vec<Did>,
    },
    /// A lease with this many seconds.
    Lease(u32),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Not {
    /// The lease is there already.
    Taken,
    /// There is no such lease.
    NoLease,
    /// A key stands twice in one order's writes.
    Twice,
    /// It can't be read.
    Unread,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    pub seconds: u32,
    pub renewals: u64,
    keys: BTreeSet<Vec<u8>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    pub revision: u64,
    rows: BTreeMap<Vec<u8>, Row>,
    pub leases: BTreeMap<u64, Lease>,
}

impl Default for State {
    fn default() -> State {
        // The first write has revision 2, as with etcd: 0 says of a key that it is not there.
        State { revision: 1, rows: BTreeMap::new(), leases: BTreeMap::new() }
    }
}

impl State {
    /// Carries an order out, as written by [`Order::write`].
    pub fn apply(&mut self, order: &[u8]) -> Outcome {
        let result = match Order::read(order) {
            Some(order) => self.carry_out(order),
            None => Err(Not::Unread),
        };
        Outcome { revision: self.revision, result }
    }

    /// Reads at the revision that the state has.
    pub fn read(&self, ranges: &[Range]) -> Outcome {
        let steps = ranges.iter().map(|range| Did::Read(self.range(range))).collect();
        Outcome { revision: self.revision, result: Ok(Done::Did { held: true, steps }) }
    }

    fn carry_out(&mut self, order: Order) -> Result<Done, Not> {
        match order {
            Order::Do { compare, then, otherwise } => {
                let held = compare.iter().all(|compare| self.holds(compare));
                let steps = if held { then } else { otherwise };
                self.check(&steps)?;
                let next = self.revision + 1;
                let mut wrote = false;
                let steps = steps.into_iter().map(|step| self.step(step, next, &mut wrote)).collect();
                self.revision += u64::from(wrote);
                Ok(Done::Did { held, steps })
            }
            Order::Grant { lease, .. } if self.leases.contains_key(&lease) => Err(Not::Taken),
            Order::Grant { lease, seconds } => {
                self.leases.insert(lease, Lease { seconds, renewals: 0, keys: BTreeSet::new() });
                Ok(Done::Lease(seconds))
            }
            Order::Renew { lease } => {
                let known = self.leases.get_mut(&lease).ok_or(Not::NoLease)?;
                known.renewals += 1;
                Ok(Done::Lease(known.seconds))
            }
            Order::Revoke { lease } => self.end(lease),
            Order::End { lease, renewals } => {
                // Renewed meanwhile: the log's order decides.
                let runs_out = self.leases.get(&lease).is_some_and(|known| known.renewals == renewals);
                if runs_out {
                    self.end(lease)
                } else {
                    Err(Not::NoLease)
                }
            }
        }
    }

    fn end(&mut self, lease: u64) -> Result<Done, Not> {
        let ended = self.leases.remove(&lease).ok_or(Not::NoLease)?;
        if !ended.keys.is_empty() {
            self.revision += 1;
        }
        ended.keys.iter().for_each(|key| _ = self.rows.remove(key));
        Ok(Done::Lease(0))
    }

    /// An order is refused whole before anything of it is done.
    fn check(&self, steps: &[Step]) -> Result<(), Not> {
        let mut written: BTreeSet<&[u8]> = BTreeSet::new();
        for step in steps {
            if let Step::Put { key, lease, .. } = step {
                if *lease != 0 && !self.leases.contains_key(lease) {
                    return Err(Not::NoLease);
                }
                if !written.insert(key) {
                    return Err(Not::Twice);
                }
            }
        }
        Ok(())
    }

    fn holds(&self, compare: &Compare) -> bool {
        let row = self.rows.get(&compare.key);
        let of = |field: fn(&Row) -> u64| row.map_or(0, field);
        let order = match &compare.by {
            By::Version(than) => of(|row| row.version).cmp(than),
            By::Created(than) => of(|row| row.created).cmp(than),
            By::Modified(than) => of(|row| row.modified).cmp(than),
            By::Lease(than) => of(|row| row.lease).cmp(than),
            By::Value(than) => match row {
                Some(row) => row.value.cmp(than),
                None => return false,
            },
        };
        match compare.how {
            How::Equal => order.is_eq(),
            How::Greater => order.is_gt(),
            How::Less => order.is_lt(),
            How::NotEqual => order.is_ne(),
        }
    }

    fn range(&self, range: &Range) -> Vec<Row> {
        let within = |key: &[u8]| match range.end.as_slice() {
            [] => key == range.key,
            [0] => true,
            end => key < end,
        };
        let rows = self.rows.range(range.key.clone()..).map(|(_, row)| row);
        let rows = rows.take_while(|row| within(&row.key));
        rows.filter(|row| row.modified >= range.since).cloned().collect()
    }

    fn step(&mut self, step: Step, revision: u64, wrote: &mut bool) -> Did {
        match step {
            Step::Read(range) => Did::Read(self.range(&range)),
            Step::Put { key, value, lease } => {
                *wrote = true;
                let old = self.rows.get(&key);
                let (created, version) = old.map_or((revision, 1), |old| (old.created, old.version + 1));
                let before = old.map_or(0, |old| old.lease);
                if let Some(before) = self.leases.get_mut(&before) {
                    before.keys.remove(&key);
                }
                if let Some(lease) = self.leases.get_mut(&lease) {
                    lease.keys.insert(key.clone());
                }
                let row = Row { key: key.clone(), value, created, modified: revision, version, lease };
                self.rows.insert(key, row);
                Did::Put
            }
            Step::Delete(range) => {
                let rows = self.range(&Range { since: 0, ..range });
                *wrote |= !rows.is_empty();
                for row in &rows {
                    self.rows.remove(&row.key);
                    if let Some(lease) = self.leases.get_mut(&row.lease) {
                        lease.keys.remove(&row.key);
                    }
                }
                Did::Deleted(rows.len() as u64)
            }
        }
    }
}

impl Order {
    pub fn write(&self) -> Vec<u8> {
        // Of fields alone, none of which can fail to be written.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Option<Order> {
        postcard::from_bytes(bytes).ok()
    }
}
