//! The state of the model (stewards, their store, forwarders and the streams between them) and its invariant.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};

use ravenspar_sharing::{Fleet, Incarnation, Step};

pub(super) const STEWARDS: usize = 3;

pub(super) const SLICES: usize = 3;

pub(super) const FORWARDERS: usize = 2;

pub(super) type Server = u8;

/// Initial assignment: one slice per steward.
pub(super) const ONE_EACH: [usize; SLICES] = [0, 1, 2];

/// Initial assignment: all slices at the first steward, which then hands some over.
pub(super) const ALL_AT_FIRST: [usize; SLICES] = [0; SLICES];

/// A message from a steward; a forwarder receives the messages of each steward in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Message {
    Assigned(usize, u64, Option<Server>),
    Line(usize, u64, Option<Server>),
    Released(usize),
}

/// A steward's request to the store: sent, then executed, then answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Request {
    Step(Step),
    Line(usize, u64, Option<Server>),
}

/// Term, owner, and the forwarders that have not answered the revoke in progress.
pub(super) type Served = (u64, Option<Server>, BTreeSet<usize>);

/// A steward's state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Steward {
    pub(super) fleet: Fleet,
    /// By its own clock its membership has stopped: it takes no more steps.
    pub(super) stopped: bool,
    pub(super) request: Option<(Request, Option<u64>)>,
    /// The slices that it serves.
    pub(super) serves: [Option<Served>; SLICES],
}

/// A forwarder's entry for one slice.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub(super) struct Route {
    pub(super) term: u64,
    pub(super) steward: usize,
    pub(super) owner: Option<Server>,
    /// Set once the steward has released the slice: true as long as the lease held at that time lasts.
    pub(super) released_lease: Option<bool>,
}

/// A safeguard that is removed to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Removed {
    NoSafeguard,
    /// Forwarders accept messages with a lower term.
    Terms,
    /// A lease from any steward is valid for every slice.
    OwnLeases,
    /// A steward echoes forwarders that have not received its releases yet.
    ReleasesFirst,
    /// The store accepts requests of a steward whose assignment has another term.
    TermComparison,
}

/// The state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct World {
    pub(super) removed: Removed,
    /// False hints: each steward may at any time see any members marked as resting.
    pub(super) false_hints: bool,
    pub(super) members: BTreeSet<usize>,
    pub(super) revision: u64,
    pub(super) assignments: [(usize, u64); SLICES],
    pub(super) record: [Option<Server>; SLICES],
    pub(super) stewards: Vec<Steward>,
    /// By steward and forwarder; `None` if there is no stream.
    pub(super) streams: Vec<Vec<Option<VecDeque<Message>>>>,
    /// By steward and forwarder: the forwarder has once applied all messages on its stream and may be echoed.
    pub(super) joined: Vec<Vec<bool>>,
    pub(super) leases: Vec<Vec<bool>>,
    pub(super) routes: Vec<Vec<Route>>,
}

/// An event of the model; the numbers are steward, slice and forwarder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Event {
    /// The steward reads the store.
    ReadStore(usize),
    /// The same, with a bit set for each member that is falsely marked as resting.
    ReadFalseHints(usize, usize),
    /// The steward takes its next step.
    TakeStep(usize),
    /// The store executes the steward's request.
    ExecuteRequest(usize),
    /// The steward receives the outcome of its request.
    ReceiveOutcome(usize),
    Revoke(usize, usize),
    Grant(usize, usize),
    /// A revoke no longer waits for a forwarder without a stream, as a lease has passed.
    LeasePassed(usize, usize, usize),
    Deliver(usize, usize),
    Echo(usize, usize),
    Cut(usize, usize),
    Rejoin(usize, usize),
    /// The forwarder's lease from the steward expires.
    LeaseExpires(usize, usize),
    /// The lease under which the forwarder (first number) holds a released slice expires.
    ReleasedLeaseExpires(usize, usize),
    /// The membership expires at the steward.
    MembershipExpires(usize),
    /// The membership expires at the store.
    MembershipExpiresAtStore(usize),
}

pub(super) fn incarnation(steward: usize) -> Incarnation {
    steward as Incarnation + 1
}

impl World {
    /// The initial state: slices assigned as given, all granted to server 0, every forwarder joined at every steward and
    /// with a lease from it.
    pub(super) fn new(removed: Removed, assigned_to: [usize; SLICES]) -> World {
        let members: Vec<(Incarnation, bool)> =
            (0..STEWARDS).map(|steward| (incarnation(steward), false)).collect();
        let steward = |steward: usize| {
            let mut fleet = Fleet::new(0, incarnation(steward), SLICES, 0, 0);
            (0..SLICES).for_each(|slice| fleet.set_assignment(slice, incarnation(assigned_to[slice]), 1));
            fleet.members(&members);
            let mut serves = [const { None }; SLICES];
            for slice in (0..SLICES).filter(|&slice| assigned_to[slice] == steward) {
                fleet.served(&[(slice, 1)]);
                serves[slice] = Some((1, Some(0), BTreeSet::new()));
            }
            Steward { fleet, stopped: false, request: None, serves }
        };
        let route =
            |slice| Route { term: 1, steward: assigned_to[slice], owner: Some(0), released_lease: None };
        World {
            removed,
            false_hints: false,
            members: (0..STEWARDS).collect(),
            revision: 1,
            assignments: std::array::from_fn(|slice| (assigned_to[slice], 1)),
            record: [Some(0); SLICES],
            stewards: (0..STEWARDS).map(steward).collect(),
            streams: vec![vec![Some(VecDeque::new()); FORWARDERS]; STEWARDS],
            joined: vec![vec![true; FORWARDERS]; STEWARDS],
            leases: vec![vec![true; FORWARDERS]; STEWARDS],
            routes: vec![(0..SLICES).map(route).collect(); FORWARDERS],
        }
    }

    /// Returns the server that a forwarder may write a slice to now.
    pub(super) fn writes(&self, forwarder: usize, slice: usize) -> Option<Server> {
        let route = &self.routes[forwarder][slice];
        let leased = match route.released_lease {
            _ if self.removed == Removed::OwnLeases => {
                (0..STEWARDS).any(|steward| self.leases[steward][forwarder])
            }
            Some(released_lease) => released_lease,
            None => self.leases[route.steward][forwarder],
        };
        route.owner.filter(|_| leased)
    }

    /// Returns true if a lease has passed since the slice was assigned to steward `s` and since forwarder `f` lost its
    /// stream. The forwarder's leases from other stewards have then expired, except those of stewards that may still echo
    /// it because it has received all their releases.
    pub(super) fn lease_has_passed(&self, s: usize, slice: usize, f: usize) -> bool {
        let may_not_echo = |x: usize| match &self.streams[x][f] {
            None => true,
            Some(stream) => {
                let echoed = self.removed == Removed::ReleasesFirst;
                self.stewards[x].stopped || !echoed && stream.contains(&Message::Released(slice))
            }
        };
        self.streams[s][f].is_none()
            && self.routes[f][slice].released_lease != Some(true)
            && (self.removed == Removed::ReleasesFirst || self.writes(f, slice).is_none())
            && (0..STEWARDS).all(|x| !self.leases[x][f] || x != s && !may_not_echo(x))
    }

    /// Returns true if a forwarder may write a slice to another server than the one it is granted to.
    pub(super) fn has_two_writers(&self) -> bool {
        (0..SLICES).any(|slice| {
            let granted = self.record[slice];
            let writers = (0..FORWARDERS).filter_map(|forwarder| self.writes(forwarder, slice));
            granted.is_some() && writers.into_iter().any(|server| Some(server) != granted)
        })
    }

    /// Returns a hash that identifies the state.
    pub(super) fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}
