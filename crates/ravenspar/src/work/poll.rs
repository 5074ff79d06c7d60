//! The task that polls the store for the state that fleet work depends on: at each poll, what changed since the last
//! one, read at one revision.

use std::sync::Arc;
use std::time::Duration;

use ravenspar_store::{prefix_range, Range, Row, SharedStore, StoreError};
use tokio::sync::{mpsc, watch, Notify};

use super::Event;
use crate::shared::Keys;
use crate::supervisor::spawn_supervised;

/// Interval between polls. A job waits half of it on average before it reaches its site; five small reads a second
/// cost the store little.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum interval between polls that are triggered early.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls between two full reads, while jobs are requested: only a full read shows which jobs were deleted.
const FULL_READ_EVERY: u32 = 150;

/// What to read besides the small ranges. 0 requests nothing; a number that differs from the last one requests a full
/// read, followed by the changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollRequest {
    /// The term of the jobs leader.
    pub jobs_term: u64,
    /// A generation number, incremented for each full read.
    pub uses_generation: u64,
}

/// The state and the changes that were read at one revision.
#[derive(Debug, Default)]
pub struct PollResult {
    pub revision: u64,
    pub members: Vec<Row>,
    pub reaches: Vec<Row>,
    pub claims: Vec<Row>,
    pub sites: Vec<Row>,
    /// Job lines that changed since the previous poll; all of them in the first.
    pub lines: Vec<Row>,
    /// Jobs that changed, if requested.
    pub jobs: Vec<Row>,
    /// True if `jobs` and `lines` are complete.
    pub is_full: bool,
    /// The ranking, if its entry changed, with the sums that changed since the previous one.
    pub ranking: Option<(Row, Vec<Row>)>,
    /// Uses that changed, if requested; all of them if `all_uses` is set.
    pub uses: Vec<Row>,
    pub all_uses: bool,
    /// The request that this poll answered.
    pub request: PollRequest,
}

/// The poller of one incarnation.
pub struct Poller {
    pub store: SharedStore,
    pub keys: Keys,
    pub requests: watch::Receiver<PollRequest>,
    /// True if the duty of debts is configured.
    pub debts_enabled: bool,
    /// Triggers a poll before its time.
    pub poll_now: Arc<Notify>,
    pub events: mpsc::Sender<Event>,
}

impl Poller {
    /// Starts the task; each poll is sent as an event.
    pub fn start(mut self) -> tokio::task::AbortHandle {
        let events = self.events.clone();
        let task = async move {
            let (mut since, mut last_request, mut polls_since_full) = (0, PollRequest::default(), 0);
            // The revision of the ranking that was reported last.
            let mut ranking_revision = 0;
            loop {
                let request = *self.requests.borrow_and_update();
                let refresh_due =
                    request.jobs_term != last_request.jobs_term || polls_since_full >= FULL_READ_EVERY;
                let full = since == 0 || request.jobs_term > 0 && refresh_due;
                let all_uses =
                    request.uses_generation > 0 && request.uses_generation != last_request.uses_generation;
                let event = match self.poll(since, ranking_revision, request, full, all_uses).await {
                    Ok(poll) => {
                        polls_since_full = if full { 0 } else { polls_since_full + 1 };
                        since = poll.revision + 1;
                        last_request = request;
                        ranking_revision =
                            poll.ranking.as_ref().map_or(ranking_revision, |(row, _)| row.modified);
                        Event::Polled(Box::new(poll))
                    }
                    Err(e) => Event::StoreUnavailable(e.to_string()),
                };
                if self.events.send(event).await.is_err() {
                    return;
                }
                tokio::select! {
                    () = tokio::time::sleep(POLL_INTERVAL) => {}
                    () = self.poll_now.notified() => tokio::time::sleep(MIN_POLL_INTERVAL).await,
                    changed = self.requests.changed() => if changed.is_err() { return },
                }
            }
        };
        spawn_supervised("the look at the store for duties", task, events, Event::Terminated)
    }

    /// Reads the state and what changed since the revision `since`; with `full`, all lines and jobs.
    async fn poll(
        &self,
        since: u64,
        ranking_revision: u64,
        request: PollRequest,
        full: bool,
        all_uses: bool,
    ) -> Result<PollResult, StoreError> {
        /// A revision that no store reaches; a read of what changed since it is empty.
        const UNREACHED_REVISION: u64 = u64::MAX >> 1;
        let keys = &self.keys;
        // A full read goes by pages first; changes made in the meantime are in the read that follows.
        let (mut lines, mut jobs, mut from) = (Vec::new(), Vec::new(), since);
        if full {
            (from, lines) = ravenspar_store::read_all(&*self.store, prefix_range(keys.lines(), 0)).await?;
            if request.jobs_term > 0 {
                let (at, all) = ravenspar_store::read_all(&*self.store, prefix_range(keys.jobs(), 0)).await?;
                (from, jobs) = (from.min(at), all);
            }
            from += 1;
        }
        let uses = match (request.uses_generation, all_uses) {
            (0, _) => UNREACHED_REVISION,
            (_, true) => 0,
            _ => since,
        };
        let ranges = vec![
            prefix_range(keys.members(), 0),
            prefix_range(keys.reaches(), 0),
            prefix_range(keys.duties(), 0),
            prefix_range(keys.sites(), 0),
            Range {
                key: keys.ranking(),
                end: Vec::new(),
                since: if self.debts_enabled { ranking_revision + 1 } else { UNREACHED_REVISION },
            },
            prefix_range(keys.uses(), uses),
            prefix_range(keys.lines(), from),
            prefix_range(keys.jobs(), if request.jobs_term > 0 { from } else { UNREACHED_REVISION }),
        ];
        let read = self.store.read(ranges).await?;
        let mut ranges = read.ranges.into_iter();
        let mut next = || ranges.next().unwrap_or_default();
        let (members, reaches, claims, sites) = (next(), next(), next(), next());
        let (rankings, uses) = (next(), next());
        lines.extend(next());
        jobs.extend(next());
        let mut poll = PollResult {
            revision: read.revision,
            members,
            reaches,
            claims,
            sites,
            lines,
            jobs,
            is_full: full && request.jobs_term > 0,
            ranking: None,
            uses,
            all_uses,
            request,
        };
        if let Some(row) = rankings.into_iter().next() {
            // Read at the ranking's revision, as its digest doesn't cover later folds.
            let changed = prefix_range(keys.sums(), ranking_revision + 1);
            let (_, sums) = ravenspar_store::read_all_at(&*self.store, changed, row.modified).await?;
            poll.ranking = Some((row, sums));
        }
        Ok(poll)
    }
}
