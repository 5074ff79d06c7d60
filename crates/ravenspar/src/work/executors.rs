//! The tasks that access the store for the fleet work of one incarnation. Each has its own fenced writer, takes
//! commands from a bounded queue, and sends an event with the outcome of each.

use ravenspar_debt::{Fact, Fold, Key, UseRow};
use ravenspar_duty::{Duty, Permit, Step};
use ravenspar_jobs::{Ended, JobLine, State, Token, Write};
use ravenspar_net::Clock;
use ravenspar_store::{at, delete, exists, put, Compare, FencedWriter, Range, SharedStore, WriteError};
use tokio::sync::mpsc;

use super::rows::{self, OutcomeRecord, Reachability};
use super::Event;
use crate::failpoint::{Failpoint, Point};
use crate::shared::{encode_incarnation, Keys};
use crate::supervisor::spawn_supervised;

/// Capacity of the duty executor's queue: each caller has only a few commands in flight.
const QUEUE_CAPACITY: usize = 64;

/// Commands to the executor for duties.
pub enum DutyCommand {
    /// Claim a duty or hand it over.
    Step { step: Step, name: &'static str },
    /// Write job lines as the leader of the duty of jobs.
    Lines { permit: Permit, writes: Vec<Write> },
    /// Write a fold as the leader of the duty of debts.
    Fold { permit: Permit, fold: Fold },
    /// Write what this steward reports of itself.
    Reachability(Reachability),
}

/// Executes duty commands one at a time.
pub struct DutyExecutor {
    pub writer: FencedWriter,
    pub keys: Keys,
    pub incarnation: u64,
    pub clock: Clock,
    pub failpoint: Option<Failpoint>,
    /// The names of the duties, indexed by [`Duty`].
    pub duty_names: &'static [&'static str],
    pub events: mpsc::Sender<Event>,
}

impl DutyExecutor {
    pub fn start(mut self) -> (mpsc::Sender<DutyCommand>, tokio::task::AbortHandle) {
        let (commands, mut queue) = mpsc::channel(QUEUE_CAPACITY);
        let events = self.events.clone();
        let task = async move {
            while let Some(command) = queue.recv().await {
                let event = self.execute(command).await;
                if self.events.send(event).await.is_err() {
                    return;
                }
            }
        };
        (commands, spawn_supervised("the executor for duties", task, events, Event::Terminated))
    }

    async fn execute(&mut self, command: DutyCommand) -> Event {
        match command {
            DutyCommand::Step { step, name } => {
                let key = self.keys.duty(name);
                Failpoint::hit(&mut self.failpoint, Point::Claim);
                let committed = match step {
                    Step::Claim { .. } => {
                        let then =
                            vec![put(key.clone(), encode_incarnation(self.incarnation), self.incarnation)];
                        self.writer.commit(vec![at(key, 0)], then).await
                    }
                    Step::HandOver { term, to, .. } => {
                        let compare = vec![at(key.clone(), term), exists(self.keys.member(to))];
                        self.writer.commit(compare, vec![put(key, encode_incarnation(to), to)]).await
                    }
                };
                Failpoint::hit(&mut self.failpoint, Point::Claimed);
                commit_event(committed, |term| Event::DutyStepDone { step, term })
            }
            DutyCommand::Lines { permit, writes } => {
                let mut compare = Vec::new();
                let mut site_conditions: Vec<Compare> = writes
                    .iter()
                    .flat_map(|write| {
                        let present = write.there.map(|site| exists(self.keys.site(site)));
                        let absent = write.gone.map(|site| at(self.keys.site(site), 0));
                        present.into_iter().chain(absent)
                    })
                    .collect();
                site_conditions.sort_by(|a, b| a.key.cmp(&b.key));
                site_conditions.dedup();
                compare.extend(site_conditions);
                let mut then = Vec::new();
                for Write { job, seen, line, delete: is_deletion, .. } in &writes {
                    compare.push(at(self.keys.line(job), *seen));
                    if *is_deletion {
                        then.extend([delete(self.keys.line(job)), delete(self.keys.outcome(job))]);
                        continue;
                    }
                    then.push(put(self.keys.line(job), rows::encode(line), 0));
                    let ended = match line.state {
                        State::Parked => "parked",
                        State::Cancelled => "cancelled",
                        _ => continue,
                    };
                    let row =
                        OutcomeRecord { ended: ended.to_owned(), token: line.last, why: line.why.clone() };
                    then.push(put(self.keys.outcome(job), rows::encode(&row), 0));
                }
                let committed = self.commit_for_duty(permit, compare, then).await;
                commit_event(committed, |revision| Event::LinesWritten { writes, revision })
            }
            DutyCommand::Fold { permit, fold } => {
                // The ranking's unchanged revision proves that no other fold came between, so the known sums are
                // current.
                let mut compare = vec![at(self.keys.ranking(), fold.seen)];
                let mut then = vec![put(self.keys.ranking(), rows::encode(&fold.epoch), 0)];
                for ((token, job), seen, row) in &fold.uses {
                    compare.push(at(self.keys.use_of(*token, job), *seen));
                    then.push(put(self.keys.use_of(*token, job), rows::encode(row), 0));
                }
                then.extend(fold.gone.iter().map(|(token, job)| delete(self.keys.use_of(*token, job))));
                for (kind, sums) in [('u', &fold.totals.users), ('g', &fold.totals.groups)] {
                    then.extend(
                        sums.iter().map(|(name, sum)| put(self.keys.sum(kind, name), rows::encode(sum), 0)),
                    );
                }
                let committed = self.commit_for_duty(permit, compare, then).await;
                commit_event(committed, |revision| Event::Folded { fold, revision })
            }
            DutyCommand::Reachability(reachability) => {
                let key = self.keys.reach(self.incarnation);
                let then = vec![put(key, rows::encode(&reachability), self.incarnation)];
                let committed = self.writer.commit(Vec::new(), then).await;
                commit_event(committed, |_| Event::ReachabilityWritten)
            }
        }
    }

    /// Commits a transaction on behalf of a duty; all of a duty's effects on the store go through here. The permit is
    /// checked right before the transaction is sent, which compares the claim with the permit's term, and the
    /// incarnation's witness.
    async fn commit_for_duty(
        &mut self,
        permit: Permit,
        mut compare: Vec<Compare>,
        then: Vec<ravenspar_store::Step>,
    ) -> Result<u64, WriteError> {
        let Some((duty, term)) = permit.spend(self.clock.now()) else {
            return Err(WriteError::ConditionFailed);
        };
        compare.push(at(self.keys.duty(self.duty_name(duty)), term));
        Failpoint::hit(&mut self.failpoint, Point::Effect);
        let committed = self.writer.commit(compare, then).await;
        Failpoint::hit(&mut self.failpoint, Point::Effected);
        committed
    }

    fn duty_name(&self, duty: Duty) -> &'static str {
        self.duty_names.get(duty).copied().unwrap_or_default()
    }
}

/// Returns the event for a transaction: with its revision if it was committed and without one if a condition failed.
/// If its outcome is unknown, the incarnation has to end.
fn commit_event(committed: Result<u64, WriteError>, event: impl FnOnce(Option<u64>) -> Event) -> Event {
    match committed {
        Ok(revision) => event(Some(revision)),
        Err(WriteError::ConditionFailed) => event(None),
        Err(WriteError::Fatal(why)) => Event::Terminated(why),
    }
}

/// Requests to the executor for agents.
pub enum AgentRequest {
    /// Read a job's line, for an outcome that was reported.
    ReadLine(String),
    /// Write an outcome and the resulting line, provided that the line is still at the revision `seen`.
    Settle { job: String, seen: u64, line: JobLine, token: Token, ended: Ended },
    /// Write uses that agents have reported, each merged with its entry in the store.
    WriteUses(Vec<ReportedUse>),
    /// Read a job's specification, to send it to its site.
    ReadSpec { stream: u64, term: u64, incarnation: u64, job: String, token: Token },
}

/// A use that an agent has reported.
#[derive(Clone, Debug)]
pub struct ReportedUse {
    pub token: Token,
    pub used: u64,
    pub last: bool,
    pub job: String,
}

/// Executes the requests made for agents, in batches.
pub struct AgentExecutor {
    pub writer: FencedWriter,
    pub store: SharedStore,
    pub keys: Keys,
    pub events: mpsc::Sender<Event>,
}

impl AgentExecutor {
    pub fn start(mut self) -> (mpsc::Sender<AgentRequest>, tokio::task::AbortHandle) {
        let (requests, mut queue) = mpsc::channel(ravenspar_store::MAX_STEPS * 4);
        let events = self.events.clone();
        let task = async move {
            let mut waiting = Vec::new();
            // Waiting requests are executed as a batch; each takes three of a transaction's operations at most.
            while queue.recv_many(&mut waiting, ravenspar_store::MAX_STEPS / 3).await > 0 {
                for event in self.execute(std::mem::take(&mut waiting)).await {
                    if self.events.send(event).await.is_err() {
                        return;
                    }
                }
            }
        };
        (requests, spawn_supervised("the executor for agents", task, events, Event::Terminated))
    }

    async fn execute(&mut self, requests: Vec<AgentRequest>) -> Vec<Event> {
        let (mut reads, mut outcomes, mut uses) = (Vec::new(), Vec::new(), Vec::new());
        for request in requests {
            match request {
                AgentRequest::WriteUses(reported) => uses.extend(reported),
                AgentRequest::Settle { job, seen, line, token, ended } => {
                    outcomes.push((job, seen, line, token, ended))
                }
                read => reads.push(read),
            }
        }
        let mut events = self.read(reads).await;
        for chunk in uses.chunks(ravenspar_store::MAX_STEPS / 3) {
            match self.write_uses(chunk).await {
                Ok(counted) => events.push(Event::Counted(counted)),
                Err(WriteError::Fatal(why)) => events.push(Event::Terminated(why)),
                // Another steward has written one of them, or the store does not answer: they are written again.
                Err(WriteError::ConditionFailed) => events.push(Event::Counted(Vec::new())),
            }
        }
        match self.write_outcomes(&outcomes).await {
            Ok(()) => {
                events.extend(outcomes.into_iter().map(|(job, ..)| Event::Settled { job, written: true }))
            }
            Err(WriteError::Fatal(why)) => events.push(Event::Terminated(why)),
            // A line has changed since it was read: each outcome is tried on its own.
            Err(WriteError::ConditionFailed) => {
                for outcome in outcomes {
                    let written = self.write_outcomes(std::slice::from_ref(&outcome)).await;
                    match written {
                        Err(WriteError::Fatal(why)) => events.push(Event::Terminated(why)),
                        result => events.push(Event::Settled { job: outcome.0, written: result.is_ok() }),
                    }
                }
            }
        }
        events
    }

    /// Reads lines and specifications, all in one request to the store.
    async fn read(&self, reads: Vec<AgentRequest>) -> Vec<Event> {
        if reads.is_empty() {
            return Vec::new();
        }
        let key = |request: &AgentRequest| match request {
            AgentRequest::ReadLine(job) | AgentRequest::Settle { job, .. } => self.keys.line(job),
            AgentRequest::ReadSpec { job, .. } => self.keys.job(job),
            AgentRequest::WriteUses(_) => Vec::new(),
        };
        let ranges =
            reads.iter().map(|request| Range { key: key(request), end: Vec::new(), since: 0 }).collect();
        let found = self.store.read(ranges).await;
        let mut rows = found.map(|read| read.ranges).unwrap_or_default().into_iter();
        let mut events = Vec::new();
        for request in reads {
            // If the store does not answer, agents and stewards ask again.
            let row = rows.next().map(|rows| rows.into_iter().next());
            events.extend(match (request, row) {
                (AgentRequest::ReadLine(job) | AgentRequest::Settle { job, .. }, Some(row)) => {
                    let line = row.and_then(|row| Some((rows::line(&row)?.1, row.modified)));
                    Some(Event::LineRead { job, line })
                }
                (AgentRequest::ReadLine(job) | AgentRequest::Settle { job, .. }, None) => {
                    Some(Event::Settled { job, written: false })
                }
                (AgentRequest::ReadSpec { stream, term, incarnation, job, token }, Some(Some(row))) => {
                    let spec = String::from_utf8_lossy(&row.value).into_owned();
                    Some(Event::SpecRead { stream, term, incarnation, job, token, spec })
                }
                (AgentRequest::ReadSpec { .. } | AgentRequest::WriteUses(_), _) => None,
            });
        }
        events
    }

    /// Writes outcomes and their lines in one transaction.
    async fn write_outcomes(
        &mut self,
        outcomes: &[(String, u64, JobLine, Token, Ended)],
    ) -> Result<(), WriteError> {
        if outcomes.is_empty() {
            return Ok(());
        }
        let (mut compare, mut then) = (Vec::new(), Vec::new());
        for (job, seen, line, token, ended) in outcomes {
            compare.push(at(self.keys.line(job), *seen));
            then.push(put(self.keys.line(job), rows::encode(line), 0));
            let outcome = match line.state {
                State::Done => "done",
                State::Cancelled => "cancelled",
                _ => continue,
            };
            let why = match ended {
                Ended::Failed(why) => why.clone(),
                _ => String::new(),
            };
            let row = OutcomeRecord { ended: outcome.to_owned(), token: *token, why };
            then.push(put(self.keys.outcome(job), rows::encode(&row), 0));
        }
        self.writer.commit(compare, then).await.map(|_| ())
    }

    /// Merges uses with their entries in the store. Returns those that are stored now or were before; a use of a
    /// deleted job is dropped and returned as well.
    async fn write_uses(&mut self, reported: &[ReportedUse]) -> Result<Vec<(Key, u64)>, WriteError> {
        let range = |key: Vec<u8>| Range { key, end: Vec::new(), since: 0 };
        let ranges = reported.iter().flat_map(|use_| {
            [range(self.keys.use_of(use_.token, &use_.job)), range(self.keys.job(&use_.job))]
        });
        let Ok(read) = self.store.read(ranges.collect()).await else {
            return Err(WriteError::ConditionFailed);
        };
        let (mut compare, mut then, mut counted) = (Vec::new(), Vec::new(), Vec::new());
        let mut found = read.ranges.into_iter().map(|rows| rows.into_iter().next());
        for use_ in reported {
            let (row, job) = (found.next().flatten(), found.next().flatten());
            let stored: Option<UseRow> = row.as_ref().and_then(|row| Some(rows::use_of(row)?.1));
            counted.push(((use_.token, use_.job.clone()), use_.used));
            let job = job.as_ref().and_then(rows::job).and_then(|(_, job)| job.ok());
            let Some(job) = job else { continue };
            let fact = Fact { user: job.user, group: job.group, used: use_.used, last: use_.last };
            if let Some(merged) = UseRow::merge(stored.as_ref(), &fact) {
                let key = self.keys.use_of(use_.token, &use_.job);
                compare.push(at(key.clone(), row.map_or(0, |row| row.modified)));
                then.push(put(key, rows::encode(&merged), 0));
            }
        }
        if !then.is_empty() {
            self.writer.commit(compare, then).await?;
        }
        Ok(counted)
    }
}

#[cfg(test)]
mod tests;
