//! What one life as a core holds: the host, the streams, and its part in the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use ravenspar_duty::Pace;
use ravenspar_host::Host;
use ravenspar_net::Clock;
use ravenspar_sharing::useful::Useful;
use ravenspar_sharing::Step;
use ravenspar_steward::Time;
use tokio::sync::mpsc;

use crate::assignment_batch::Gathering;
use crate::process::Door;
use crate::recorder::Recorder;
use crate::shared::Life;
use crate::streams::{self, Input, Stream};

/// How a life as a core came to its end, where nothing failed.
pub enum End {
    Stopped,
    /// It may not go on as a member, and nothing of it may go out any more.
    Over(String),
}

#[derive(Default)]
pub struct Ran {
    pub messages: u64,
    pub batches: u64,
    /// Lines handed to the record.
    pub lines: u64,
    pub refused: u64,
    pub list_failed: bool,
    /// The last ticket that was handed to the record.
    pub ticket: Option<u64>,
    /// The last ticket that was said to be durable.
    pub durable: Option<u64>,
}

pub struct Core<'a> {
    pub door: &'a mut Door,
    pub clock: Clock,
    pub host: Host,
    /// Where lines of slices are made durable.
    pub recorder: Rc<Recorder>,
    pub shared: Option<Shared>,
    pub streams: BTreeMap<u64, Stream>,
    pub inputs: mpsc::Sender<Input>,
    pub queue: mpsc::Receiver<Input>,
    /// The number of the next stream.
    pub next: u64,
    pub ran: Ran,
    /// Names and lives in the view, as last looked at.
    pub members: Vec<(String, u64)>,
    /// When the others are told next which forwarders are joined.
    pub reach_at: Time,
    /// Whether this process crawls; looked at where there is a view that others are seen by.
    pub pace: Pace,
}

impl<'a> Core<'a> {
    pub fn new(door: &'a mut Door, host: Host, shared: Option<Shared>) -> Core<'a> {
        let (inputs, queue) = mpsc::channel(streams::INPUTS);
        let clock = door.clock;
        let recorder = shared.as_ref().map_or(&door.kept, |shared| &shared.life.recorder).clone();
        Core {
            door,
            clock,
            host,
            recorder,
            shared,
            streams: BTreeMap::new(),
            inputs,
            queue,
            next: 0,
            ran: Ran::default(),
            members: Vec::new(),
            reach_at: Time::MIN,
            pace: Pace::default(),
        }
    }
}

/// What a steward among others has beside its host.
pub struct Shared {
    pub life: Life,
    /// Cluster and revision of the store.
    pub seen: Option<(u64, u64)>,
    pub noted: Time,
    /// A step that waits until lines up to a ticket are durable.
    pub waits: Option<(Option<u64>, Step)>,
    /// Slices that have come into charge and are not told yet. No step is taken before they are, but to end.
    pub arrived: Gathering,
    pub away: bool,
    /// Whether this steward reaches the forwarders that others reach.
    pub useful: Useful,
    pub resting: bool,
    /// How many members the store had at the last look.
    pub members: usize,
    /// Their names.
    pub names: BTreeSet<String>,
    /// Since when it is in charge of nothing, as one that leaves.
    pub left: Option<Time>,
}

impl Shared {
    pub fn new(life: Life, seen: Option<(u64, u64)>) -> Shared {
        Shared {
            life,
            seen,
            noted: 0,
            waits: None,
            arrived: Gathering::default(),
            away: false,
            members: 0,
            names: BTreeSet::new(),
            left: None,
            useful: Useful::default(),
            resting: false,
        }
    }
}
