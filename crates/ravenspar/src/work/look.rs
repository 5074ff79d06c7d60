//! The task that reads at the store what work for the fleet goes by: at one revision, what changed since the last look.

use std::sync::Arc;
use std::time::Duration;

use ravenspar_store::{under, Fault, Row, Shared};
use tokio::sync::{mpsc, watch, Notify};

use super::Told;
use crate::shared::Keys;

/// Between two looks. A job waits half of it on its way to its site; five small reads a second cost the store little.
const POLL: Duration = Duration::from_millis(200);

/// Looks that are asked for are so far apart at least.
const APART: Duration = Duration::from_millis(20);

/// Looks between two that read all jobs, where jobs are wanted: what was deleted is seen by its not being there.
const WHOLE: u32 = 150;

/// What was read at one revision.
#[derive(Debug, Default)]
pub struct Look {
    pub revision: u64,
    pub members: Vec<Row>,
    pub reaches: Vec<Row>,
    pub claims: Vec<Row>,
    pub sites: Vec<Row>,
    /// Lines that changed since the look before; all, at the first.
    pub lines: Vec<Row>,
    /// Jobs likewise, where they are wanted.
    pub jobs: Vec<Row>,
    /// All jobs and lines that there are.
    pub whole: bool,
    /// What the duty of debts publishes, where it changed.
    pub ranking: Vec<Row>,
    /// What was asked for when this was read.
    pub wanted: u64,
}

pub struct Looker {
    pub store: Shared,
    pub keys: Keys,
    /// 0: jobs are not wanted; another number: they are, all of them anew.
    pub jobs: watch::Receiver<u64>,
    pub sooner: Arc<Notify>,
    pub told: mpsc::Sender<Told>,
}

impl Looker {
    pub fn start(mut self) -> tokio::task::AbortHandle {
        tokio::spawn(async move {
            let (mut since, mut wanted, mut looks) = (0, 0, 0);
            loop {
                let want = *self.jobs.borrow_and_update();
                let whole = since == 0 || want != wanted && want > 0 || want > 0 && looks >= WHOLE;
                let told = match self.look(since, want, whole).await {
                    Ok(look) => {
                        looks = if whole { 0 } else { looks + 1 };
                        since = look.revision + 1;
                        wanted = want;
                        Told::Looked(Box::new(look))
                    }
                    Err(fault) => Told::Away(fault.to_string()),
                };
                if self.told.send(told).await.is_err() {
                    return;
                }
                tokio::select! {
                    () = tokio::time::sleep(POLL) => {}
                    () = self.sooner.notified() => tokio::time::sleep(APART).await,
                    changed = self.jobs.changed() => if changed.is_err() { return },
                }
            }
        })
        .abort_handle()
    }

    async fn look(&self, since: u64, want: u64, whole: bool) -> Result<Look, Fault> {
        let keys = &self.keys;
        // All of them by pages first: what changes meanwhile is in the read behind it.
        let (mut lines, mut jobs, mut from) = (Vec::new(), Vec::new(), since);
        if whole {
            (from, lines) = ravenspar_store::all(&*self.store, under(keys.lines(), 0)).await?;
            if want > 0 {
                let (at, all) = ravenspar_store::all(&*self.store, under(keys.jobs(), 0)).await?;
                (from, jobs) = (from.min(at), all);
            }
            from += 1;
        }
        let ranges = vec![
            under(keys.members(), 0),
            under(keys.reaches(), 0),
            under(keys.duties(), 0),
            under(keys.sites(), 0),
            under(keys.rankings(), since),
            under(keys.lines(), from),
            under(keys.jobs(), if want > 0 { from } else { u64::MAX >> 1 }),
        ];
        let read = self.store.read(ranges).await?;
        let mut ranges = read.ranges.into_iter();
        let mut next = || ranges.next().unwrap_or_default();
        let (members, reaches, claims, sites) = (next(), next(), next(), next());
        let ranking = next();
        lines.extend(next());
        jobs.extend(next());
        Ok(Look {
            revision: read.revision,
            members,
            reaches,
            claims,
            sites,
            lines,
            jobs,
            whole: whole && want > 0,
            ranking,
            wanted: want,
        })
    }
}
