//! The state of the core for one incarnation: the host, the streams, and this steward's part in the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use ravenspar_duty::Pace;
use ravenspar_host::Host;
use ravenspar_net::Clock;
use ravenspar_sharing::resting::RestDetector;
use ravenspar_sharing::Step;
use ravenspar_steward::Time;
use tokio::sync::mpsc;

use crate::assignment_batch::AssignmentBatch;
use crate::process::ProcessContext;
use crate::recorder::Recorder;
use crate::shared::MemberSession;
use crate::streams::{self, Stream, StreamEvent};

/// How the core's loop ended, other than by an error.
pub enum End {
    Stopped,
    /// The steward may not continue as a member, and nothing more of this incarnation may be sent.
    MembershipEnded(String),
}

/// Counters and tickets of one incarnation.
#[derive(Default)]
pub struct RunStats {
    pub messages: u64,
    pub batches: u64,
    /// Lines handed to the recorder.
    pub lines: u64,
    pub refused: u64,
    pub list_failed: bool,
    /// The last ticket handed to the recorder.
    pub last_ticket: Option<u64>,
    /// The last ticket reported as durable.
    pub last_durable: Option<u64>,
}

/// The event loop's state; see [`Core::run`].
pub struct Core<'a> {
    pub process: &'a mut ProcessContext,
    pub clock: Clock,
    pub host: Host,
    /// Makes the lines of slices durable.
    pub recorder: Rc<Recorder>,
    pub shared: Option<Shared>,
    pub streams: BTreeMap<u64, Stream>,
    pub stream_events_tx: mpsc::Sender<StreamEvent>,
    pub stream_events: mpsc::Receiver<StreamEvent>,
    /// The number of the next stream.
    pub next_stream: u64,
    pub stats: RunStats,
    /// Names and incarnations in the last view seen.
    pub members: Vec<(String, u64)>,
    /// When the other stewards are next notified which forwarders are joined here.
    pub next_reach_at: Time,
    /// Detects that this process runs too slowly; used only with a view, where other stewards can be compared.
    pub pace: Pace,
}

impl<'a> Core<'a> {
    pub fn new(process: &'a mut ProcessContext, host: Host, shared: Option<Shared>) -> Core<'a> {
        let (stream_events_tx, stream_events) = mpsc::channel(streams::EVENT_QUEUE_CAPACITY);
        let clock = process.clock;
        let recorder = shared.as_ref().map_or(&process.embedded, |shared| &shared.session.recorder).clone();
        Core {
            process,
            clock,
            host,
            recorder,
            shared,
            streams: BTreeMap::new(),
            stream_events_tx,
            stream_events,
            next_stream: 0,
            stats: RunStats::default(),
            members: Vec::new(),
            next_reach_at: Time::MIN,
            pace: Pace::default(),
        }
    }
}

/// The state of a steward that shares the slices with others.
pub struct Shared {
    pub session: MemberSession,
    /// Cluster and revision of the store at the last snapshot.
    pub seen: Option<(u64, u64)>,
    /// When `seen` was last handed to the steward's own record.
    pub seen_recorded_at: Time,
    /// A step that waits until lines up to this ticket are durable.
    pub pending_step: Option<(Option<u64>, Step)>,
    /// Assigned slices that are not announced yet. Until they are, no step is taken except to end.
    pub new_assignments: AssignmentBatch,
    pub store_unavailable: bool,
    /// Tells whether this steward reaches the forwarders that other stewards reach.
    pub rest_detector: RestDetector,
    pub resting: bool,
    /// The number of members in the last snapshot of the store.
    pub members: usize,
    /// Their names.
    pub names: BTreeSet<String>,
    /// Since when a leaving steward has had no slices assigned.
    pub unassigned_since: Option<Time>,
}

impl Shared {
    pub fn new(session: MemberSession, seen: Option<(u64, u64)>) -> Shared {
        Shared {
            session,
            seen,
            seen_recorded_at: 0,
            pending_step: None,
            new_assignments: AssignmentBatch::default(),
            store_unavailable: false,
            members: 0,
            names: BTreeSet::new(),
            unassigned_since: None,
            rest_detector: RestDetector::default(),
            resting: false,
        }
    }
}
