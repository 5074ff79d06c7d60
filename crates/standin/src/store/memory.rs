//! The state machine of the replicated log as an in-process store: one copy, no log, no disk. It shows that the state
//! machine meets the store's contract, which the `replicated` store relies on, and serves tests that need no sockets.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use futures_util::future::BoxFuture;
use ravenspar_replica::state::{Applied, Command, Executed, Rejection};
use ravenspar_replica::State;
use ravenspar_store::{
    at, put, CommitOutcome, FencedTransaction, Page, Range, Read, Step, Store, StoreError,
};

use crate::{Clock, Time, SECOND};

/// An in-memory store; clones share its state.
#[derive(Clone, Default)]
pub struct Memory {
    inner: Arc<Mutex<(State, BTreeMap<u64, Time>)>>,
    clock: Clock,
}

impl Memory {
    fn order(&self, order: Command) -> (u64, Result<Applied, Rejection>) {
        let now = self.clock.now();
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let (state, ends) = &mut *inner;
        let expired: Vec<u64> =
            ends.iter().filter(|(_, end)| now >= **end).map(|(lease, _)| *lease).collect();
        for lease in expired {
            ends.remove(&lease);
            state.apply(&Command::RevokeLease { lease }.encode());
        }
        let outcome = state.apply(&order.encode());
        match (&order, &outcome.result) {
            (
                Command::GrantLease { lease, .. } | Command::RenewLease { lease },
                Ok(Applied::Lease(seconds)),
            ) => {
                ends.insert(*lease, now + Time::from(*seconds) * SECOND);
            }
            (Command::RevokeLease { lease }, _) => _ = ends.remove(lease),
            _ => {}
        }
        (outcome.revision, outcome.result)
    }

    fn reads(&self, ranges: Vec<Range>) -> Read {
        let then = ranges.into_iter().map(Step::Read).collect();
        let (revision, result) =
            self.order(Command::Transaction { compare: Vec::new(), then, otherwise: Vec::new() });
        let Ok(Applied::Executed { steps, .. }) = result else { return Read::default() };
        let rows = |did| if let Executed::Read(rows) = did { rows } else { Vec::new() };
        Read { cluster: 1, revision, ranges: steps.into_iter().map(rows).collect() }
    }

    fn lease(&self, order: Command) -> Result<u32, Rejection> {
        match self.order(order).1? {
            Applied::Lease(seconds) => Ok(seconds),
            Applied::Executed { .. } => Err(Rejection::Undecodable),
        }
    }
}

impl Store for Memory {
    fn read(&self, ranges: Vec<Range>) -> BoxFuture<'_, Result<Read, StoreError>> {
        Box::pin(async move { Ok(self.reads(ranges)) })
    }

    /// Earlier revisions aren't kept: later pages show the current state.
    fn page(&self, range: Range, limit: usize, revision: u64) -> BoxFuture<'_, Result<Page, StoreError>> {
        Box::pin(async move {
            let read = self.reads(vec![range]);
            let mut rows = read.ranges.into_iter().next().unwrap_or_default();
            let more = limit > 0 && rows.len() > limit;
            if more {
                rows.truncate(limit);
            }
            Ok(Page { revision: if revision > 0 { revision } else { read.revision }, rows, more })
        })
    }

    fn commit(
        &self,
        guarded: FencedTransaction,
        _fences: u32,
    ) -> BoxFuture<'_, Result<CommitOutcome, StoreError>> {
        Box::pin(async move {
            let mut compare = vec![at(guarded.witness.clone(), guarded.revision)];
            compare.extend(guarded.compare);
            let mut then = guarded.then;
            then.push(put(guarded.witness.clone(), guarded.value, guarded.lease));
            let read = Step::Read(Range { key: guarded.witness, end: Vec::new(), since: 0 });
            let (revision, result) =
                self.order(Command::Transaction { compare, then, otherwise: vec![read] });
            match result {
                Ok(Applied::Executed { succeeded: true, .. }) => {
                    Ok(CommitOutcome::Committed { witness: revision })
                }
                Ok(Applied::Executed { steps, .. }) => {
                    let row = |did| if let Executed::Read(rows) = did { rows } else { Vec::new() };
                    let found = steps.into_iter().flat_map(row).next();
                    Ok(CommitOutcome::Aborted { witness: found.map_or(0, |row| row.modified) })
                }
                Ok(Applied::Lease(_)) => {
                    Err(StoreError::Unknown("a lease in reply to a transaction".to_owned()))
                }
                Err(rejection) => Err(StoreError::Refused(format!("{rejection:?}"))),
            }
        })
    }

    fn grant(&self, lease: u64, seconds: u32) -> BoxFuture<'_, Result<u32, StoreError>> {
        let made = self.lease(Command::GrantLease { lease, seconds });
        Box::pin(async move { made.map_err(|rejection| StoreError::Refused(format!("{rejection:?}"))) })
    }

    fn renew(&self, lease: u64) -> BoxFuture<'_, Result<Option<u32>, StoreError>> {
        let renewed = self.lease(Command::RenewLease { lease });
        Box::pin(async move { Ok(renewed.ok()) })
    }

    fn revoke(&self, lease: u64) -> BoxFuture<'_, Result<(), StoreError>> {
        let _ = self.order(Command::RevokeLease { lease });
        Box::pin(async { Ok(()) })
    }
}
