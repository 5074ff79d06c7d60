//! The state machine: keys with revisions, bound to leases. Deterministic, so that the same commands give the same state on
//! every replica: no clock, no random numbers, no iteration in hash order.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// A key with its value, the revisions at which it was created and last modified, and the number of its writes since.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    pub key: Vec<u8>,
    pub value: Vec<u8>,
    pub created: u64,
    pub modified: u64,
    pub version: u64,
    /// The lease that the key is bound to; 0: none.
    pub lease: u64,
}

/// The operator of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CompareOp {
    Equal,
    Greater,
    Less,
    NotEqual,
}

/// What a comparison looks at, and what with. A missing key has zeros and no value, so no comparison by value holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Operand {
    Version(u64),
    Created(u64),
    Modified(u64),
    Lease(u64),
    Value(Vec<u8>),
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Compare {
    pub key: Vec<u8>,
    pub how: CompareOp,
    pub by: Operand,
}

/// The keys from `key` up to, but not including, `end`. An empty end means `key` alone; an end of one zero byte means all
/// keys from `key` on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Range {
    pub key: Vec<u8>,
    pub end: Vec<u8>,
    /// Selects only keys that were modified at this revision or later.
    pub since: u64,
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Step {
    Read(Range),
    Put { key: Vec<u8>, value: Vec<u8>, lease: u64 },
    Delete(Range),
}

/// A command to the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A transaction: the steps of `then` if all comparisons hold, else those of `otherwise`. Atomic.
    Transaction {
        compare: Vec<Compare>,
        then: Vec<Step>,
        otherwise: Vec<Step>,
    },
    GrantLease {
        lease: u64,
        seconds: u32,
    },
    RenewLease {
        lease: u64,
    },
    RevokeLease {
        lease: u64,
    },
    /// Proposed by the leader when a lease expires; has no effect if the lease has been renewed since, so that `renewals` is
    /// no longer its count.
    ExpireLease {
        lease: u64,
        renewals: u64,
    },
}

/// The result of a [`Step`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Executed {
    Read(Vec<Row>),
    Put,
    /// The number of keys deleted.
    Deleted(u64),
}

/// The outcome of a command, and the revision of the state after it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    pub revision: u64,
    pub result: Result<Applied, Rejection>,
}

/// The result of a command that was carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Applied {
    /// A transaction: whether all comparisons held, and the result of each step.
    Executed { succeeded: bool, steps: Vec<Executed> },
    /// The lease's time to live in seconds; 0 if it was ended.
    Lease(u32),
}

/// Why a command was rejected; it had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// The lease exists already.
    LeaseExists,
    /// The lease does not exist, or was renewed before it could expire.
    LeaseNotFound,
    /// One transaction puts the same key twice.
    DuplicateKey,
    /// The command can't be decoded.
    Undecodable,
}

/// A lease and the keys bound to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    pub seconds: u32,
    /// How often it was renewed.
    pub renewals: u64,
    keys: BTreeSet<Vec<u8>>,
}

/// The state that the commands of the log produce.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    pub revision: u64,
    rows: BTreeMap<Vec<u8>, Row>,
    pub leases: BTreeMap<u64, Lease>,
}

impl Default for State {
    fn default() -> State {
        // The first write has revision 2, as with etcd; 0 stands for a missing key.
        State { revision: 1, rows: BTreeMap::new(), leases: BTreeMap::new() }
    }
}

impl State {
    /// Carries out a command, as encoded by [`Command::write`].
    pub fn apply(&mut self, command: &[u8]) -> Outcome {
        let result = match Command::decode(command) {
            Some(command) => self.execute(command),
            None => Err(Rejection::Undecodable),
        };
        Outcome { revision: self.revision, result }
    }

    /// Reads ranges at the current revision.
    pub fn read(&self, ranges: &[Range]) -> Outcome {
        let steps = ranges.iter().map(|range| Executed::Read(self.read_range(range))).collect();
        Outcome { revision: self.revision, result: Ok(Applied::Executed { succeeded: true, steps }) }
    }

    fn execute(&mut self, command: Command) -> Result<Applied, Rejection> {
        match command {
            Command::Transaction { compare, then, otherwise } => {
                let succeeded = compare.iter().all(|compare| self.matches(compare));
                let steps = if succeeded { then } else { otherwise };
                self.validate(&steps)?;
                let next = self.revision + 1;
                let mut wrote = false;
                let steps = steps.into_iter().map(|step| self.execute_step(step, next, &mut wrote)).collect();
                self.revision += u64::from(wrote);
                Ok(Applied::Executed { succeeded, steps })
            }
            Command::GrantLease { lease, .. } if self.leases.contains_key(&lease) => {
                Err(Rejection::LeaseExists)
            }
            Command::GrantLease { lease, seconds } => {
                self.leases.insert(lease, Lease { seconds, renewals: 0, keys: BTreeSet::new() });
                Ok(Applied::Lease(seconds))
            }
            Command::RenewLease { lease } => {
                let known = self.leases.get_mut(&lease).ok_or(Rejection::LeaseNotFound)?;
                known.renewals += 1;
                Ok(Applied::Lease(known.seconds))
            }
            Command::RevokeLease { lease } => self.end_lease(lease),
            Command::ExpireLease { lease, renewals } => {
                // If a renewal precedes the expiry in the log, the renewal wins.
                let is_current = self.leases.get(&lease).is_some_and(|known| known.renewals == renewals);
                if is_current {
                    self.end_lease(lease)
                } else {
                    Err(Rejection::LeaseNotFound)
                }
            }
        }
    }

    /// Removes a lease and deletes its keys.
    fn end_lease(&mut self, lease: u64) -> Result<Applied, Rejection> {
        let ended = self.leases.remove(&lease).ok_or(Rejection::LeaseNotFound)?;
        if !ended.keys.is_empty() {
            self.revision += 1;
        }
        ended.keys.iter().for_each(|key| _ = self.rows.remove(key));
        Ok(Applied::Lease(0))
    }

    /// Rejects an invalid transaction as a whole, before any step is carried out.
    fn validate(&self, steps: &[Step]) -> Result<(), Rejection> {
        let mut written: BTreeSet<&[u8]> = BTreeSet::new();
        for step in steps {
            if let Step::Put { key, lease, .. } = step {
                if *lease != 0 && !self.leases.contains_key(lease) {
                    return Err(Rejection::LeaseNotFound);
                }
                if !written.insert(key) {
                    return Err(Rejection::DuplicateKey);
                }
            }
        }
        Ok(())
    }

    /// Evaluates a comparison.
    fn matches(&self, compare: &Compare) -> bool {
        let row = self.rows.get(&compare.key);
        let number = |field: fn(&Row) -> u64| row.map_or(0, field);
        let ordering = match &compare.by {
            Operand::Version(than) => number(|row| row.version).cmp(than),
            Operand::Created(than) => number(|row| row.created).cmp(than),
            Operand::Modified(than) => number(|row| row.modified).cmp(than),
            Operand::Lease(than) => number(|row| row.lease).cmp(than),
            Operand::Value(than) => match row {
                Some(row) => row.value.cmp(than),
                None => return false,
            },
        };
        match compare.how {
            CompareOp::Equal => ordering.is_eq(),
            CompareOp::Greater => ordering.is_gt(),
            CompareOp::Less => ordering.is_lt(),
            CompareOp::NotEqual => ordering.is_ne(),
        }
    }

    fn read_range(&self, range: &Range) -> Vec<Row> {
        let within = |key: &[u8]| match range.end.as_slice() {
            [] => key == range.key,
            [0] => true,
            end => key < end,
        };
        let rows = self.rows.range(range.key.clone()..).map(|(_, row)| row);
        let rows = rows.take_while(|row| within(&row.key));
        rows.filter(|row| row.modified >= range.since).cloned().collect()
    }

    fn execute_step(&mut self, step: Step, revision: u64, wrote: &mut bool) -> Executed {
        match step {
            Step::Read(range) => Executed::Read(self.read_range(&range)),
            Step::Put { key, value, lease } => {
                *wrote = true;
                let old = self.rows.get(&key);
                let (created, version) = old.map_or((revision, 1), |old| (old.created, old.version + 1));
                let old_lease = old.map_or(0, |old| old.lease);
                if let Some(old_lease) = self.leases.get_mut(&old_lease) {
                    old_lease.keys.remove(&key);
                }
                if let Some(lease) = self.leases.get_mut(&lease) {
                    lease.keys.insert(key.clone());
                }
                let row = Row { key: key.clone(), value, created, modified: revision, version, lease };
                self.rows.insert(key, row);
                Executed::Put
            }
            Step::Delete(range) => {
                let rows = self.read_range(&Range { since: 0, ..range });
                *wrote |= !rows.is_empty();
                for row in &rows {
                    self.rows.remove(&row.key);
                    if let Some(lease) = self.leases.get_mut(&row.lease) {
                        lease.keys.remove(&row.key);
                    }
                }
                Executed::Deleted(rows.len() as u64)
            }
        }
    }
}

impl Command {
    /// Encodes the command for the log.
    pub fn encode(&self) -> Vec<u8> {
        // A command of plain data always serializes.
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a command; `None` if the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<Command> {
        postcard::from_bytes(bytes).ok()
    }
}
