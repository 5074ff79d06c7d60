//! One incarnation of a steward as a member: its requests to the store, whose results are sent to the core as events.

use std::future::Future;
use std::rc::Rc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use ravenspar_record::SliceRow;
use ravenspar_sharing::membership::Membership;
use ravenspar_sharing::{Fleet, Step};
use ravenspar_steward::{Time, SECOND};
use ravenspar_store::SharedStore;
use tokio::sync::{mpsc, watch, Mutex, Notify};
use tokio::task::AbortHandle;

use super::rows::{Keys, Member};
use super::store::{read_slices, snapshot, MemberWriter, Snapshot, WriteError};
use crate::failpoint::Failpoint;
use crate::recorder::{MergedUpdates, RecordStorage, Recorder};
use crate::settings::{Debts, Jobs, Share};
use crate::supervisor::spawn_supervised;
use crate::work::{MembershipStatus, Work, WorkContext};
use ravenspar_net::Clock;

/// Notifications to the core.
#[derive(Debug)]
pub enum Event {
    Snapshot(Snapshot),
    /// A call to the store failed, for this reason; the last known state is kept.
    StoreUnavailable(String),
    /// The membership was renewed by the renewal sent at this time.
    Renewed(Time),
    /// Slices (with their terms) were assigned to this steward; `rows` is their record.
    Assigned {
        slices: Vec<(usize, u64)>,
        rows: Vec<SliceRow>,
        origin: Origin,
    },
    /// Slices were handed over to another steward, under a new term.
    HandedOver {
        slices: Vec<(usize, u64)>,
        to: u64,
        term: u64,
    },
    /// The step in progress has ended.
    StepDone,
    /// The incarnation has to end, for this reason.
    Terminated(String),
}

/// The previous state of a slice's assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// It was never assigned.
    Unassigned,
    /// A member handed it over.
    HandedOver,
    /// It was assigned to a steward whose membership has ended.
    Expired,
}

/// Capacity of the queue to the core; tasks wait while it is full.
const EVENT_QUEUE_CAPACITY: usize = 64;

/// Interval between polls of members and assignments. A planned hand-over waits half of it on average, and its
/// forwarders with it; four small reads a second cost the store little.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// How long a steward may go on after the store has ended its membership early: until its next poll, doubled.
pub const EARLY_EXPIRY_GRACE: Time = 2 * POLL_INTERVAL.as_millis() as Time * 10;

/// What a steward needs to join the fleet.
#[derive(Clone)]
pub struct JoinParams {
    pub share: Share,
    pub store: SharedStore,
    pub keys: Keys,
    pub clock: Clock,
    pub slices: usize,
    /// The minimum time between two rounds of hand-overs.
    pub hand_over_interval: Time,
    /// The settings of the duty of jobs, if it is configured, with the listener for its agents.
    pub jobs: Option<(Jobs, Arc<tokio::net::TcpListener>)>,
    pub debts: Option<Debts>,
}

/// The membership of one incarnation, with the tasks that access the store for it; dropping it aborts them.
pub struct MemberSession {
    /// The incarnation, which is also its lease id.
    pub number: u64,
    pub term: u64,
    pub fleet: Fleet,
    pub membership: Membership,
    pub recorder: Rc<Recorder>,
    /// Triggers a poll before its time.
    poll_trigger: Arc<Notify>,
    /// Until then the store is polled at the minimum interval.
    frequent_polls_until: Arc<AtomicI64>,
    /// What fleet work needs to know: how long the membership holds, and whether the steward is leaving.
    membership_status: watch::Sender<MembershipStatus>,
    /// Fleet work, if it is configured.
    work: Option<Work>,
    member: Member,
    join_params: JoinParams,
    writer: Arc<Mutex<MemberWriter>>,
    events: mpsc::Sender<Event>,
    queue: mpsc::Receiver<Event>,
    tasks: Vec<AbortHandle>,
    renewals_in_flight: Arc<std::sync::atomic::AtomicUsize>,
}

impl Drop for MemberSession {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Writes slices' records through the member's writer, so that they are in order with the changes of assignments.
struct RecordWriter(Arc<Mutex<MemberWriter>>);

impl RecordStorage for RecordWriter {
    async fn write(&mut self, merged: MergedUpdates) -> Result<(), String> {
        let written = self.0.lock().await.write_records(&merged.slices).await;
        written.map_err(|stop| match stop {
            WriteError::ConditionFailed => "a slice to be recorded is assigned to another steward".to_owned(),
            WriteError::Fatal(why) => why,
        })
    }
}

impl MemberSession {
    /// Joins as a member. `number` is the incarnation, drawn at random and unique; `failpoint` is where a test makes
    /// its fleet work crash or pause.
    pub async fn join(
        join_params: &JoinParams,
        number: u64,
        address: &str,
        failpoint: Option<Failpoint>,
    ) -> Result<MemberSession, String> {
        let JoinParams { share, store, keys, clock, .. } = join_params.clone();
        let lease = Time::from(share.member_lease) * SECOND;
        let mut membership = Membership::new(lease, EXPIRY_MARGIN);
        let sent = clock.now();
        membership.renewing(sent);
        let seconds = store.grant(number, share.member_lease).await.map_err(|e| e.to_string())?;
        if seconds != share.member_lease {
            return Err(format!(
                "the store granted a lease of {seconds} s in place of {} s",
                share.member_lease
            ));
        }
        membership.renewed(sent);
        let member =
            Member { name: share.name.clone(), address: address.to_owned(), leaving: false, resting: false };
        let joined = MemberWriter::join(store, keys, number, &member).await;
        let (writer, term) = joined.map_err(|stop| format!("{stop:?}"))?;
        let writer = Arc::new(Mutex::new(writer));
        // Two polls pass before the first step, so that stewards that start together, or return with the store, share
        // the slices from the start.
        let fleet = Fleet::new(
            clock.now(),
            number,
            join_params.slices,
            join_params.hand_over_interval,
            EARLY_EXPIRY_GRACE,
        );
        let (events, queue) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let recorder = Rc::new(Recorder::in_task(RecordWriter(writer.clone())));
        let (membership_status, status_receiver) =
            watch::channel(MembershipStatus { until: membership.until(), leaving: false });
        let work = join_params.jobs.clone().map(|(settings, listener)| {
            Work::start(WorkContext {
                store: join_params.store.clone(),
                keys: join_params.keys.clone(),
                clock: join_params.clock,
                incarnation: number,
                listener,
                settings,
                debts: join_params.debts.clone(),
                membership_status: status_receiver,
                failpoint,
            })
        });
        let mut session = MemberSession {
            number,
            term,
            fleet,
            membership,
            recorder,
            poll_trigger: Arc::default(),
            frequent_polls_until: Arc::new(AtomicI64::new(Time::MIN)),
            membership_status,
            work,
            member,
            join_params: join_params.clone(),
            writer,
            events,
            queue,
            tasks: Vec::new(),
            renewals_in_flight: Arc::default(),
        };
        session.start_polls();
        Ok(session)
    }

    /// Starts a task of this incarnation. If it panics, the incarnation ends and the steward joins again: otherwise
    /// it would go on with stale knowledge, or wait for a step that never ends.
    fn start_task(&mut self, what: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.retain(|task| !task.is_finished());
        self.tasks.push(spawn_supervised(what, task, self.events.clone(), Event::Terminated));
    }

    /// Waits for the next event.
    pub async fn next(&mut self) -> Event {
        let ended = async {
            match &mut self.work {
                Some(work) => work.ended().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            // The queue never closes, as `self` holds a sender.
            event = self.queue.recv() => event.unwrap_or_else(|| Event::Terminated("all tasks of the membership have ended".to_owned())),
            why = ended => Event::Terminated(why),
        }
    }

    /// Extends the membership, as the renewal sent at this time was confirmed.
    pub fn renewed(&mut self, sent: Time) {
        self.membership.renewed(sent);
        let until = self.membership.until();
        self.membership_status.send_modify(|membership_status| membership_status.until = until);
    }

    /// Returns true if no duty is left to be handed over.
    pub fn has_no_duty(&self) -> bool {
        self.work.as_ref().is_none_or(Work::has_no_duty)
    }

    fn start_polls(&mut self) {
        /// Minimum interval between polls that hints trigger, so that hints can't overload the store.
        const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
        let (events, join_params, poll_trigger) =
            (self.events.clone(), self.join_params.clone(), self.poll_trigger.clone());
        let frequent_polls_until = self.frequent_polls_until.clone();
        self.start_task("the look at the store", async move {
            let mut since = 0;
            loop {
                let event = match snapshot(&*join_params.store, &join_params.keys, since).await {
                    Ok(snapshot) => {
                        since = snapshot.revision + 1;
                        Event::Snapshot(snapshot)
                    }
                    Err(e) => Event::StoreUnavailable(e.to_string()),
                };
                if events.send(event).await.is_err() {
                    return;
                }
                let interval = if join_params.clock.now() < frequent_polls_until.load(Ordering::Relaxed) {
                    MIN_POLL_INTERVAL
                } else {
                    POLL_INTERVAL
                };
                tokio::select! {
                    () = tokio::time::sleep(interval) => {}
                    () = poll_trigger.notified() => tokio::time::sleep(MIN_POLL_INTERVAL).await,
                }
            }
        });
    }

    /// Triggers a poll without waiting for the interval.
    pub fn poll_now(&self) {
        self.poll_trigger.notify_one();
    }

    /// Polls the store at the minimum interval, as a steward is gone from the view of the fleet: its membership ends
    /// at the store within the time of a lease, and its slices may be taken from then on.
    pub fn poll_often(&self, now: Time) {
        self.frequent_polls_until.store(
            now + Time::from(self.join_params.share.member_lease) * SECOND + SECOND,
            Ordering::Relaxed,
        );
        self.poll_now();
    }

    /// Returns to the normal interval, as the store has ended a membership.
    pub fn poll_normally(&self) {
        self.frequent_polls_until.store(Time::MIN, Ordering::Relaxed);
    }

    /// Sends a renewal, without waiting for those in flight.
    pub fn renew(&mut self, now: Time) {
        /// Limit of concurrent renewals.
        const MAX_IN_FLIGHT: usize = 8;
        self.membership.renewing(now);
        if self.renewals_in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT {
            return;
        }
        self.renewals_in_flight.fetch_add(1, Ordering::Relaxed);
        let (events, store, renewals_in_flight) =
            (self.events.clone(), self.join_params.store.clone(), self.renewals_in_flight.clone());
        let number = self.number;
        self.start_task("a renewal", async move {
            let event = match store.renew(number).await {
                Ok(Some(_)) => Event::Renewed(now),
                Ok(None) => Event::Terminated("the store has let the membership go".to_owned()),
                Err(e) => Event::StoreUnavailable(e.to_string()),
            };
            renewals_in_flight.fetch_sub(1, Ordering::Relaxed);
            let _ = events.send(event).await;
        });
    }

    /// Executes a step; its last event is [`Event::StepDone`], or [`Event::Terminated`] if the incarnation has to end.
    pub fn execute(&mut self, step: Step) {
        let (events, writer, join_params) =
            (self.events.clone(), self.writer.clone(), self.join_params.clone());
        self.start_task("a step", async move {
            let result = match step {
                Step::TakeOver { slices, gone } => take(&slices, &gone, &writer, &join_params, &events).await,
                Step::Serve { slices } => {
                    read_records(slices, Origin::HandedOver, &join_params, &events).await
                }
                Step::HandOver { slices, to } => hand_over(slices, to, &writer, &events).await,
                Step::Left | Step::Lost => Ok(()),
            };
            let event = match result {
                Ok(()) | Err(WriteError::ConditionFailed) => Event::StepDone,
                Err(WriteError::Fatal(why)) => Event::Terminated(why),
            };
            let _ = events.send(event).await;
        });
    }

    /// Announces in the store that this steward is leaving.
    pub fn announce_leaving(&mut self) {
        self.member.leaving = true;
        self.membership_status.send_modify(|membership_status| membership_status.leaving = true);
        self.write_member();
    }

    /// Announces in the store whether this steward is to be assigned slices.
    pub fn announce_resting(&mut self, resting: bool) {
        self.member.resting = resting;
        self.write_member();
    }

    fn write_member(&mut self) {
        let (writer, events) = (self.writer.clone(), self.events.clone());
        let member = self.member.clone();
        self.start_task("a word to the store", async move {
            if let Err(WriteError::Fatal(why)) = writer.lock().await.write_member(&member).await {
                let _ = events.send(Event::Terminated(why)).await;
            }
        });
    }

    /// Ends the membership at the store. For a steward that has no slices and publishes nothing any more.
    pub async fn end(self) {
        // Best effort: the lease expires by itself.
        let _ = self.join_params.store.revoke(self.number).await;
    }
}

/// A steward's membership ends this much earlier by its own clock: the time from a check of the clock until data is
/// in the system's buffer.
const EXPIRY_MARGIN: Time = SECOND / 20;

/// Takes slices over from the members in `gone`, and reads their records.
async fn take(
    slices: &[(usize, u64)],
    gone: &[u64],
    writer: &Mutex<MemberWriter>,
    join_params: &JoinParams,
    events: &mpsc::Sender<Event>,
) -> Result<(), WriteError> {
    let chunk_len = MemberWriter::MAX_SLICES.saturating_sub(gone.len()).max(1);
    // Slices that were never assigned go apart, as no forwarders hold leases on them.
    for never_assigned in [false, true] {
        let part: Vec<_> =
            slices.iter().copied().filter(|(_, term)| (*term == 0) == never_assigned).collect();
        for slices in part.chunks(chunk_len) {
            // Fails if another steward was quicker; the next poll shows what is left.
            let term = writer.lock().await.take(slices, gone).await?;
            let slices = slices.iter().map(|&(slice, _)| (slice, term)).collect();
            read_records(
                slices,
                if never_assigned { Origin::Unassigned } else { Origin::Expired },
                join_params,
                events,
            )
            .await?;
        }
    }
    Ok(())
}

/// Reads the record of slices that were assigned to this steward, which no other can write any more.
async fn read_records(
    slices: Vec<(usize, u64)>,
    origin: Origin,
    join_params: &JoinParams,
    events: &mpsc::Sender<Event>,
) -> Result<(), WriteError> {
    let (Some(&(first, _)), Some(&(last, _))) = (slices.first(), slices.last()) else { return Ok(()) };
    let mut rows = read_slices(&*join_params.store, &join_params.keys, first, last).await?;
    rows.retain(|row| slices.binary_search_by_key(&(row.slice as usize), |&(slice, _)| slice).is_ok());
    let _ = events.send(Event::Assigned { slices, rows, origin }).await;
    Ok(())
}

/// Hands slices over to a member.
async fn hand_over(
    slices: Vec<(usize, u64)>,
    to: u64,
    writer: &Mutex<MemberWriter>,
    events: &mpsc::Sender<Event>,
) -> Result<(), WriteError> {
    for slices in slices.chunks(MemberWriter::MAX_SLICES) {
        let term = writer.lock().await.hand_over(slices, to).await?;
        let _ = events.send(Event::HandedOver { slices: slices.to_vec(), to, term }).await;
    }
    Ok(())
}
