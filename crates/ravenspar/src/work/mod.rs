//! Work on behalf of the whole fleet: the task of one incarnation that handles its duties and its agents' streams.
//!
//! The task owns all its state and communicates over bounded channels: with the executors that write to the store,
//! with the task that polls it, with the streams of agents, and with the core, to which it reports its end. If it or
//! one of those tasks panics, the incarnation ends: the steward joins again and continues from the state of the
//! store.

mod agents;
mod duties;
mod executors;
mod frames;
mod poll;
mod rows;
mod uses;

use std::collections::BTreeMap;
use std::sync::Arc;

use ravenspar_debt::{DebtTracker, Facts, Fold, Key};
use ravenspar_duty::{Duties, Duty, Leadership, Pace, Step, Term};
use ravenspar_jobs::{AgentSessions, JobLine, Scheduler, Token, Write};
use ravenspar_net::Clock;
use ravenspar_sharing::resting::RestDetector;
use ravenspar_sharing::Incarnation;
use ravenspar_steward::{Time, SECOND};
use ravenspar_store::{FencedWriter, SharedStore};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::failpoint::Failpoint;
use crate::settings;
use crate::shared::Keys;
use crate::streams::{self, Stream, StreamEvent};

use executors::{AgentExecutor, AgentRequest, DutyCommand, DutyExecutor};
use poll::{PollRequest, PollResult, Poller};
use rows::Reachability;

/// The names of all duties in the store, indexed by [`Duty`].
pub const DUTIES: &[&str] = &["jobs", "debts"];
const JOBS: Duty = 0;
const DEBTS: Duty = 1;

/// Results of store operations, sent to the task by the executors, the poller and the calls for agents.
enum Event {
    Polled(Box<PollResult>),
    /// A poll failed, for this reason.
    StoreUnavailable(String),
    /// A claim or hand-over of a duty has ended, with the new term if it was committed.
    DutyStepDone {
        step: Step,
        term: Option<Term>,
    },
    /// Job lines were written at this revision, or not at all.
    LinesWritten {
        writes: Vec<Write>,
        revision: Option<u64>,
    },
    /// A fold was committed at this revision, or not at all.
    Folded {
        fold: Fold,
        revision: Option<u64>,
    },
    /// Uses that are in the store now, by token and job.
    Counted(Vec<(Key, u64)>),
    ReachabilityWritten,
    Registered {
        stream: u64,
        incarnation: Incarnation,
    },
    /// A site's lease was renewed. `held` is `None` if the store did not answer.
    Renewed {
        stream: u64,
        incarnation: Incarnation,
        sent: u64,
        held: Option<bool>,
    },
    /// A job's line and its revision, as read for an outcome; `None` if there is no such line.
    LineRead {
        job: String,
        line: Option<(JobLine, u64)>,
    },
    /// The write of an outcome has ended. Unless it is `written`, the outcome has to be reported again.
    Settled {
        job: String,
        written: bool,
    },
    SpecRead {
        stream: u64,
        term: u64,
        incarnation: Incarnation,
        job: String,
        token: Token,
        spec: String,
    },
    /// This incarnation has to end, for this reason.
    Terminated(String),
}

/// Capacity of the task's event queue; senders wait while it is full.
const EVENT_QUEUE_CAPACITY: usize = 256;

/// Limit of concurrent calls for agents: registrations, renewals, ends. Beyond it they are dropped, as agents ask
/// again.
const MAX_CALLS: usize = 256;

/// Capacity of an agent's outbound queue, in frames: enough for all orders that one poll may bring for a large site.
const STREAM_QUEUE_CAPACITY: usize = 256;

/// Limit of reported uses that wait to be written; agents report again those that are left out.
const MAX_PENDING_USES: usize = 4_096;

/// Interval between two status lines in the log.
const STATUS_INTERVAL: Time = 10 * SECOND;

/// The state of this steward's membership, published by the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipStatus {
    /// When the membership expires, by this steward's clock.
    pub until: Time,
    pub leaving: bool,
}

/// What the task needs to start.
pub struct WorkContext {
    pub store: SharedStore,
    pub keys: Keys,
    pub clock: Clock,
    pub incarnation: Incarnation,
    pub listener: Arc<TcpListener>,
    pub settings: settings::Jobs,
    pub debts: Option<settings::Debts>,
    pub membership_status: watch::Receiver<MembershipStatus>,
    /// Where a test makes the process crash or pause.
    pub failpoint: Option<Failpoint>,
}

/// The core's handle to the task; dropping it aborts the task and its children.
pub struct Work {
    task: AbortHandle,
    ended: mpsc::Receiver<String>,
    /// How many duties this incarnation leads.
    duty_count: watch::Receiver<usize>,
}

impl Drop for Work {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Work {
    /// Starts the task.
    pub fn start(context: WorkContext) -> Work {
        let (end_sender, ended) = mpsc::channel(1);
        let (duty_count, seen) = watch::channel(0);
        let task = tokio::spawn(async move {
            let why = Task::new(context, duty_count).run().await;
            let _ = end_sender.send(why).await;
        });
        Work { task: task.abort_handle(), ended, duty_count: seen }
    }

    /// Waits until the task has ended and returns the reason.
    pub async fn ended(&mut self) -> String {
        self.ended.recv().await.unwrap_or_else(|| "the task for fleet work has ended".to_owned())
    }

    /// Returns true if this incarnation leads no duty.
    pub fn has_no_duty(&self) -> bool {
        *self.duty_count.borrow() == 0
    }
}

/// Child tasks, aborted when dropped.
struct AbortOnDrop(Vec<AbortHandle>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.iter().for_each(AbortHandle::abort);
    }
}

/// The state of the task.
struct Task {
    context: WorkContext,
    duties: Duties,
    /// Detects that this task runs late.
    pace: Pace,
    /// Detects that this steward reaches few of the sites that the others reach.
    rest_detector: RestDetector,
    reachability: Reachability,
    /// True while a write of `reachability` is in flight.
    reachability_write_pending: bool,
    /// What all members of the fleet report of themselves.
    peer_reachability: BTreeMap<Incarnation, Reachability>,
    agent_sessions: AgentSessions,
    /// Set while this steward is the leader of the duty of jobs.
    jobs_leadership: Option<(Leadership, Scheduler)>,
    debt_tracker: DebtTracker,
    /// When the ranking in use was applied.
    ranking_changed_at: Time,
    /// Set while this steward is the leader of the duty of debts, with the time when the next epoch begins.
    debts_leadership: Option<(Leadership, Time)>,
    /// Uses that agents have reported and that are not in the store yet, and the stream that reported each last.
    pending_uses: Facts,
    reported_by: BTreeMap<Key, u64>,
    next_use_write_at: Time,
    /// True while a write of uses is in flight.
    use_write_pending: bool,
    /// Incremented whenever all uses have to be read again.
    uses_generation: u64,
    streams: BTreeMap<u64, Stream>,
    next_stream: u64,
    inputs: mpsc::Sender<StreamEvent>,
    queue: mpsc::Receiver<StreamEvent>,
    event_sender: mpsc::Sender<Event>,
    events: mpsc::Receiver<Event>,
    duty_commands: mpsc::Sender<DutyCommand>,
    agent_requests: mpsc::Sender<AgentRequest>,
    poll_request: watch::Sender<PollRequest>,
    poll_now: Arc<Notify>,
    call_permits: Arc<tokio::sync::Semaphore>,
    duty_count: watch::Sender<usize>,
    status_at: Time,
    store_unavailable: bool,
    rejected_connections: u64,
    _tasks: AbortOnDrop,
}

impl Task {
    fn new(context: WorkContext, duty_count: watch::Sender<usize>) -> Task {
        let (inputs, queue) = mpsc::channel(streams::EVENT_QUEUE_CAPACITY);
        let (event_sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let (store, keys) = (context.store.clone(), context.keys.clone());
        let (incarnation, clock) = (context.incarnation, context.clock);
        let writer =
            |name: &str| FencedWriter::new(store.clone(), incarnation, keys.work_witness(incarnation, name));
        let failpoint = context.failpoint;
        let duty_executor = DutyExecutor {
            writer: writer("own"),
            keys: keys.clone(),
            incarnation,
            clock,
            failpoint,
            duty_names: DUTIES,
            events: event_sender.clone(),
        };
        let (duty_commands, duty_task) = duty_executor.start();
        let agent_executor = AgentExecutor {
            writer: writer("agents"),
            store: store.clone(),
            keys: keys.clone(),
            events: event_sender.clone(),
        };
        let (agent_requests, agent_task) = agent_executor.start();
        let (poll_request, requests) = watch::channel(PollRequest::default());
        let poll_now: Arc<Notify> = Arc::default();
        let poller = Poller {
            store,
            keys,
            requests,
            debts_enabled: context.debts.is_some(),
            poll_now: poll_now.clone(),
            events: event_sender.clone(),
        };
        let now = clock.now();
        Task {
            // The duty of debts exists only if it is configured.
            duties: Duties::new(
                incarnation,
                if context.debts.is_some() { 2 } else { 1 },
                now + FIRST_CLAIM_DELAY,
            ),
            pace: Pace::default(),
            rest_detector: RestDetector::default(),
            reachability: Reachability::default(),
            reachability_write_pending: false,
            peer_reachability: BTreeMap::new(),
            agent_sessions: AgentSessions::default(),
            jobs_leadership: None,
            debt_tracker: DebtTracker::new(
                context.debts.as_ref().map(|debts| debts.shares.clone()).unwrap_or_default(),
            ),
            ranking_changed_at: now,
            debts_leadership: None,
            pending_uses: Facts::new(MAX_PENDING_USES),
            reported_by: BTreeMap::new(),
            next_use_write_at: now,
            use_write_pending: false,
            uses_generation: 0,
            streams: BTreeMap::new(),
            next_stream: 0,
            inputs,
            queue,
            event_sender,
            events,
            duty_commands,
            agent_requests,
            poll_request,
            poll_now,
            call_permits: Arc::new(tokio::sync::Semaphore::new(MAX_CALLS)),
            duty_count,
            status_at: now + STATUS_INTERVAL,
            store_unavailable: false,
            rejected_connections: 0,
            _tasks: AbortOnDrop(vec![duty_task, agent_task, poller.start()]),
            context,
        }
    }

    /// Runs the task's loop. Returns the reason why this incarnation has to end.
    async fn run(mut self) -> String {
        loop {
            let now = self.context.clock.now();
            if !self.pace.is_scheduled() {
                self.pace.schedule_tick(now);
            }
            let next =
                self.jobs_leadership.as_ref().map_or(Time::MAX, |(_, scheduler)| scheduler.next_at(now));
            let wake = next.min(now + Pace::TICK).min(self.status_at);
            let wake = Instant::from_std(self.context.clock.instant(wake));
            let listener = self.context.listener.clone();
            tokio::select! {
                Ok((socket, _)) = listener.accept() => self.accept(socket),
                Some(input) = self.queue.recv() => self.handle_input(input),
                Some(event) = self.events.recv() => if let Some(why) = self.handle_event(event) { return why },
                changed = self.context.membership_status.changed() => if changed.is_err() { return "the core has ended".to_owned() },
                () = tokio::time::sleep_until(wake) => {}
            }
            // All queued events are handled before any decision.
            for _ in 0..EVENT_QUEUE_CAPACITY {
                let Ok(event) = self.events.try_recv() else { break };
                if let Some(why) = self.handle_event(event) {
                    return why;
                }
            }
            for _ in 0..streams::EVENT_QUEUE_CAPACITY {
                let Ok(input) = self.queue.try_recv() else { break };
                self.handle_input(input);
            }
            self.report_reachability();
            self.update_leadership();
            self.assign_jobs();
            self.fold();
            self.write_uses();
            self.run_actions();
            self.log_status();
        }
    }

    fn accept(&mut self, socket: tokio::net::TcpStream) {
        // Each site's agent has one stream and perhaps another that replaces it.
        if self.streams.len() >= 2 * self.context.settings.sites {
            self.rejected_connections += 1;
            return;
        }
        let number = self.next_stream;
        self.next_stream += 1;
        self.streams.insert(number, Stream::start(number, socket, &self.inputs, STREAM_QUEUE_CAPACITY));
    }

    fn handle_input(&mut self, input: StreamEvent) {
        match input {
            StreamEvent::Frame(stream, body) => match frames::decode(&body) {
                Ok(message) => self.handle_message(stream, message),
                Err(why) => self.close(stream, &why.to_string()),
            },
            StreamEvent::Sent(_) => {}
            StreamEvent::Closed(stream) => {
                self.streams.remove(&stream);
                self.agent_sessions.closed(stream);
            }
        }
    }

    fn close(&mut self, stream: u64, why: &str) {
        if let Some(stream) = self.streams.remove(&stream) {
            tracing::warn!(why, "closing an agent's stream");
            stream.write(frames::refusal(why));
        }
        self.agent_sessions.closed(stream);
    }

    /// Returns the reason if this incarnation has to end.
    fn handle_event(&mut self, event: Event) -> Option<String> {
        let now = self.context.clock.now();
        match event {
            Event::Polled(poll) => self.handle_poll(now, *poll),
            Event::StoreUnavailable(why) => {
                if !std::mem::replace(&mut self.store_unavailable, true) {
                    tracing::warn!(%why, "the store does not answer polls for fleet work; retrying");
                }
            }
            Event::DutyStepDone { step, term } => {
                tracing::info!(?step, ?term, "a claim or hand-over of a duty has ended");
                self.duties.complete(step, term);
                self.poll_now.notify_one();
            }
            Event::LinesWritten { writes, revision } => {
                if let Some((_, scheduler)) = &mut self.jobs_leadership {
                    scheduler.complete(now, &writes, revision);
                }
                if revision.is_some() {
                    for write in writes.iter().filter(|write| !write.delete) {
                        self.agent_sessions.line(&write.job, write.line.clone(), revision.unwrap_or(0));
                    }
                } else {
                    self.poll_now.notify_one();
                }
            }
            Event::Folded { fold, revision } => self.handle_fold(now, fold, revision),
            Event::Counted(counted) => self.handle_counted(&counted),
            Event::ReachabilityWritten => self.reachability_write_pending = false,
            Event::Registered { stream, incarnation } => self.agent_sessions.registered(stream, incarnation),
            Event::Renewed { stream, incarnation, sent, held } => {
                self.agent_sessions.renewed(stream, incarnation, sent, held)
            }
            Event::LineRead { job, line } => self.agent_sessions.read(&job, line),
            Event::Settled { job, written } => {
                self.agent_sessions.settled(&job, written);
                if written {
                    self.poll_now.notify_one();
                }
            }
            Event::SpecRead { stream, term, incarnation, job, token, spec } => {
                self.write(stream, frames::give(term, incarnation, &job, token, &spec));
            }
            Event::Terminated(why) => return Some(why),
        }
        None
    }

    /// Logs the metrics of work for the fleet, once per interval.
    fn log_status(&mut self) {
        let now = self.context.clock.now();
        if now < self.status_at {
            return;
        }
        self.status_at = now + STATUS_INTERVAL;
        let metrics = self.agent_sessions.metrics();
        let (term, scheduler) = match &self.jobs_leadership {
            Some((leadership, scheduler)) => (leadership.term(), Some(scheduler.metrics())),
            None => (0, None),
        };
        tracing::info!(
            term,
            jobs = ?scheduler,
            agents = ?metrics,
            streams = self.streams.len(),
            turned_away = self.rejected_connections,
            calls = MAX_CALLS - self.call_permits.available_permits(),
            changes = self.duties.changes,
            poor = self.reachability.poor,
            epoch = self.debt_tracker.epoch(),
            ranking_age_s = (now - self.ranking_changed_at) / SECOND,
            users = self.debt_tracker.ledger().users(),
            uses = ?self.debt_tracker.use_counts(),
            pending_uses = self.pending_uses.len(),
            pending_uses_left_out = self.pending_uses.dropped,
            differs = self.debt_tracker.digest_mismatches,
            "work for the fleet"
        );
    }
}

/// Time from joining to the first claim: several polls, so that stewards that start together share the duties.
const FIRST_CLAIM_DELAY: Time = SECOND / 2;

#[cfg(test)]
mod tests;
