//! The state that a steward keeps of servers, proxies and slices. No decisions are made here.

use std::collections::VecDeque;

use crate::{Health, Time};

/// Earlier than any time on the clock.
pub(super) const NEVER: Time = Time::MIN / 2;

/// Maximum number of request kinds, the width of the bit masks on the wire.
pub(super) const MAX_KINDS: usize = 32;

/// Marks a level that may differ from the one last ordered, so that it is ordered again.
pub(super) const UNKNOWN_LEVEL: f64 = -1.0;

/// A server and its load.
#[derive(Clone, Debug, Default)]
pub(super) struct Server {
    /// Some list has named it.
    pub seen: bool,
    /// The latest list names it as ready or draining.
    pub listed: bool,
    pub withdrawn: bool,
    pub health: Health,
    /// Dropped from the list without a drain, or named by a record only: it counts as ready while it works.
    pub presumed_ready: bool,
    /// When it started, 0 if unknown.
    pub boot: Time,
    /// When a record last named it as the server of a slice.
    pub last_recorded_at: Time,
    /// Slices of this steward that it held by the records, at the start or at take-overs; the baseline for balancing moves.
    pub initial_slices: usize,
    pub last_grant_at: Time,
    pub try_reports: VecDeque<TryReport>,
    pub suspect_until: Time,
    /// Successful tries for which proxies may still keep a connection open, as of `kept_connections_at`.
    pub kept_connections: f64,
    pub kept_connections_at: Time,
    /// It fails many reqs although it is neither late nor busy.
    pub degraded: bool,
    /// The admitted share of the reqs for its slices.
    pub level: f64,
    /// Reqs per second that it can handle well, as of the last tick.
    pub capacity: f64,
    /// When a successful answer was last late, or its cores were last busy.
    pub last_strained_at: Time,
    /// Slices of this steward that it holds, as of the current update.
    pub held_slices: usize,
    /// Reqs per second for these slices.
    pub load: f64,
    /// The share of its capacity that it has at least reached since its start; 1 for a warm server.
    pub warm_share: f64,
    /// Reqs per second that may be sent to a cold server.
    pub budget: f64,
}

/// A report of the tries that proxies made at a server.
#[derive(Clone, Debug)]
pub(super) struct TryReport {
    pub at: Time,
    pub count: f64,
    pub failed: f64,
    /// Mean response time of the successful tries.
    pub response_time: Time,
    /// CPU utilization, if reported.
    pub util: Option<f64>,
}

/// A report of the requests for a slice.
#[derive(Clone, Debug)]
pub(super) struct Demand {
    pub at: Time,
    pub kind: usize,
    pub count: f64,
    pub window: Time,
}

/// A proxy and the marks that it was sent and has answered.
#[derive(Clone, Debug, Default)]
pub(super) struct Proxy {
    pub joined: bool,
    /// When its stream broke, or when this steward started if it was never connected.
    pub disconnected_at: Time,
    /// The last mark written to it, joined or not.
    pub written_mark: u64,
    /// The highest mark that it has answered.
    pub answered_mark: u64,
    /// The last mark written while it was joined, whose answer can't have been missed.
    pub asked_mark: u64,
    /// The last mark when its joining was reported: earlier messages may have been written before or after it joined.
    pub joined_at_mark: u64,
    /// No message up to this mark waits for it, whether or not it has answered them.
    pub cleared_mark: u64,
    /// Reqs per second that it usually gets.
    pub baseline_rate: f64,
}

/// The state of a slice as this steward knows it. Only an `Owned` slice has a known line.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) enum State {
    /// Assigned to another steward.
    #[default]
    NotAssigned,
    /// The store has its line at this server. `restarted`: the server has restarted and no longer serves it.
    Owned { server: usize, restarted: bool },
    /// The store's line, and so the server that may be writing, is unknown: the slice is revoked first.
    LineUnknown,
    /// Revoked under this mark, which these proxies have to answer.
    HandingOff { mark: u64, awaited_proxies: Vec<usize> },
    /// From this time on no write of a former owner is in flight.
    Settling { until: Time },
}

/// A slice, its demand and its levels.
#[derive(Clone, Debug, Default)]
pub(super) struct Slice {
    pub state: State,
    pub assigned_at: Time,
    /// The notification of its line may still arrive: until then it is not granted.
    pub line_pending: bool,
    pub demand: VecDeque<Demand>,
    /// Reqs per second by request kind.
    pub rates: [f64; MAX_KINDS],
    /// The admitted share of each request kind, as last ordered; 1 if never ordered.
    pub levels: [f64; MAX_KINDS],
}

impl Server {
    pub fn new() -> Server {
        let (last_grant_at, suspect_until, last_strained_at, last_recorded_at) = (NEVER, NEVER, NEVER, NEVER);
        let new = Server {
            last_grant_at,
            suspect_until,
            last_strained_at,
            last_recorded_at,
            level: 1.0,
            warm_share: 1.0,
            ..Server::default()
        };
        Server { capacity: f64::INFINITY, budget: f64::INFINITY, ..new }
    }

    /// Returns the number of tries within the last `window`, and how many of them succeeded.
    pub fn tries_within(&self, now: Time, window: Time) -> (f64, f64) {
        let recent = self.try_reports.iter().filter(|t| now - t.at < window);
        recent.fold((0.0, 0.0), |(count, successful), t| (count + t.count, successful + t.count - t.failed))
    }
}

impl Slice {
    pub fn new() -> Slice {
        Slice { levels: [1.0; MAX_KINDS], ..Slice::default() }
    }

    pub fn is_assigned(&self) -> bool {
        self.state != State::NotAssigned
    }

    /// Returns the server of its line, if it has one.
    pub fn owner(&self) -> Option<usize> {
        match self.state {
            State::Owned { server, .. } => Some(server),
            _ => None,
        }
    }
}

/// Appends a sample and drops the oldest ones beyond `most`.
pub(super) fn push_bounded<T>(samples: &mut VecDeque<T>, sample: T, most: usize) {
    samples.push_back(sample);
    samples.drain(..samples.len().saturating_sub(most));
}
