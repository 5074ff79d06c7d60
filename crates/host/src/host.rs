//! The host: inputs update its state, `poll` returns the resulting actions.

mod messages;
mod streams;
mod updates;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use ravenspar_steward::{Health, IdTable, ListScope, Settings, Steward, Time};

use crate::channel::Channel;
use crate::limits::Limits;
use crate::proxy::{Proxy, Stream, NEVER};
use crate::servers::{Server, Servers};
use crate::table::{Change, Table};
use crate::totals::Totals;
use crate::Output;

/// Gauges, and counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    pub joined: usize,
    /// Lines waiting in the channel, message overhead included; `most_waiting` is the peak so far.
    pub waiting: u64,
    pub most_waiting: u64,
    pub updates: u64,
    pub messages: u64,
    /// Number of times that a proxy's message was delayed by its window.
    pub holds: u64,
    /// Answers to epochs or ends that no answer was expected to.
    pub stray_answers: u64,
    /// Streams that the host closed.
    pub broken: u64,
    pub reports_waiting: usize,
}

/// The host core of one steward; see the crate's documentation for how it is driven.
pub struct Host {
    pub(crate) steward: Steward,
    pub(crate) limits: Limits,
    term: u64,
    pub(crate) servers: Servers,
    zones: IdTable<String>,
    pub(crate) table: Table,
    pub(crate) channel: Channel,
    proxies: Vec<Proxy>,
    streams: BTreeMap<u64, Stream>,
    joined: usize,
    /// Number of proxies that are joined or joining: the log keeps updates for these.
    pub(crate) followers: u64,
    /// When to check each stream for a timeout; each open stream has one entry.
    deadlines: BinaryHeap<Reverse<(Time, u64)>>,
    /// When deferred answers start to count.
    deferred_answers: BinaryHeap<Reverse<(Time, usize)>>,
    totals: Totals,
    cycle_at: Time,
    /// Times at which the steward asked to be called. All are kept: a reminder whose time an update happens to meet must
    /// not replace the next one.
    reminders: BTreeSet<Time>,
    /// There was input that may lead to decisions.
    pub(crate) decision_due: bool,
    update_at: Time,
    epoch: u64,
    /// The term under which each slice is assigned to this steward; 0 if it is not.
    pub(crate) terms: Vec<u64>,
    /// Per slice: until when the previous steward may have echoed proxies.
    pub(crate) taken_over: Vec<Time>,
    /// Answers before this time are deferred: a slice was revoked shortly after it had been taken over.
    answers_count_from: Time,
    /// The end of the update that last gave up slices: a proxy that has not applied it is not echoed.
    pub(crate) release_end: u64,
    /// Updates that are not durable yet: ticket, and whether it still waits for its own routes to be recorded.
    pub(crate) unrecorded: VecDeque<(u64, bool)>,
    outputs: VecDeque<Output>,
    pub(crate) updates: u64,
    messages: u64,
    stray_answers: u64,
    broken: u64,
}

impl Host {
    /// Creates the host of a steward that all slices are assigned to, which starts under a new term with the last known
    /// server list and the recorded routes (slice, owner, weight). Returns the name of the setting that is missing or
    /// invalid as the error.
    pub fn new(
        now: Time,
        seed: u64,
        cfg: Settings,
        term: u64,
        list: &[(Server, Health, Time)],
        record: &[(usize, String, f64)],
    ) -> Result<Host, &'static str> {
        let mut host = Host::without_slices(now, seed, cfg, term, ListScope::Stored, list)?;
        host.table = Table::new(host.limits.slices, term);
        host.terms = vec![term; host.limits.slices];
        (0..host.limits.slices).for_each(|slice| host.steward.slice_assigned(now, slice));
        for (slice, owner, weight) in record.iter().filter(|(slice, ..)| *slice < host.limits.slices) {
            let server = host.servers.index(owner);
            host.steward.line_recorded(now, *slice, server, *weight);
            host.table.apply(&Change::Route { slice: *slice, server, weight: *weight });
        }
        if term > 1 {
            // An earlier incarnation of a proxy may hold a lease of the previous steward, unless there was none.
            host.answers_count_from = now + host.limits.lease;
        }
        Ok(host)
    }

    /// Creates the host of a steward in a fleet, with no slices assigned yet; see [`Host::assign`]. The list is a stored one,
    /// or the complete one that its source has sent last.
    pub fn without_slices(
        now: Time,
        seed: u64,
        cfg: Settings,
        term: u64,
        scope: ListScope,
        list: &[(Server, Health, Time)],
    ) -> Result<Host, &'static str> {
        let limits = Limits::new(&cfg)?;
        let mut steward = Steward::new(now, seed, cfg)?;
        let mut servers = Servers::default();
        // The list comes first: it defines which start of a server the record refers to.
        steward.list_begin(scope);
        for (server, health, boot) in list {
            let server = servers.learn(&server.id, &server.zone, &server.address);
            servers.learn_start(server, *boot);
            steward.list_entry(server, *health, *boot);
        }
        steward.list_end(scope);
        Ok(Host {
            steward,
            term,
            servers,
            zones: IdTable::default(),
            table: Table::new(limits.slices, 0),
            channel: Channel::default(),
            proxies: vec![Proxy::new(); limits.proxies],
            streams: BTreeMap::new(),
            joined: 0,
            followers: 0,
            deadlines: BinaryHeap::new(),
            deferred_answers: BinaryHeap::new(),
            totals: Totals::default(),
            cycle_at: now + limits.cycle,
            reminders: BTreeSet::new(),
            decision_due: true,
            update_at: now,
            epoch: 0,
            terms: vec![0; limits.slices],
            taken_over: vec![NEVER; limits.slices],
            answers_count_from: NEVER,
            release_end: 0,
            unrecorded: VecDeque::new(),
            outputs: VecDeque::new(),
            limits,
            updates: 0,
            messages: 0,
            stray_answers: 0,
            broken: 0,
        })
    }

    /// Returns the server with this index.
    pub fn server(&self, server: usize) -> &Server {
        self.servers.get(server)
    }

    /// Iterates over the numbers of the joined proxies.
    pub fn joined(&self) -> impl Iterator<Item = usize> + '_ {
        self.proxies.iter().enumerate().filter(|(_, proxy)| proxy.joined).map(|(number, _)| number)
    }

    /// Returns the current metrics.
    pub fn metrics(&self) -> Metrics {
        Metrics {
            joined: self.joined,
            waiting: self.channel.waiting(),
            most_waiting: self.channel.most_waiting,
            updates: self.updates,
            messages: self.messages,
            holds: self.channel.window_waits,
            stray_answers: self.stray_answers,
            broken: self.broken,
            reports_waiting: self.totals.waiting(),
        }
    }

    /// Starts a server list; entries follow with `list_entry`, and `list_end` completes it.
    pub fn list_begin(&mut self, scope: ListScope) {
        self.decision_due = true;
        self.steward.list_begin(scope);
    }

    /// Adds one server to the list that was started.
    pub fn list_entry(&mut self, id: &str, zone: &str, address: &str, health: Health, boot: Time) {
        let server = self.servers.learn(id, zone, address);
        self.servers.learn_start(server, boot);
        self.steward.list_entry(server, health, boot);
    }

    /// Completes the server list.
    pub fn list_end(&mut self, scope: ListScope) {
        self.steward.list_end(scope);
    }

    /// Reports that the server list could not be read.
    pub fn list_failed(&mut self, now: Time) {
        self.decision_due = true;
        self.steward.list_failed(now);
    }

    /// Returns when [`Host::timeout`] must be called next.
    pub fn next_timeout(&self, now: Time) -> Time {
        let update = self.decision_due.then_some(self.update_at).filter(|_| self.has_capacity());
        let heaps = [self.deadlines.peek().map(|d| d.0 .0), self.deferred_answers.peek().map(|r| r.0 .0)];
        let all = [self.reminders.first().copied(), update, self.channel.next_proxy_at(now)]
            .into_iter()
            .chain(heaps)
            .flatten();
        all.chain([self.cycle_at]).min().unwrap_or(self.cycle_at)
    }

    /// Handles all timers that have expired.
    pub fn timeout(&mut self, now: Time) {
        while self.reminders.first().is_some_and(|at| now >= *at) {
            self.reminders.pop_first();
            self.decision_due = true;
            self.steward.reminder();
        }
        if now >= self.cycle_at {
            self.cycle_at = now + self.limits.cycle;
            self.decision_due |=
                self.totals.forward(now, self.limits.reports_per_second, &mut self.steward) > 0;
        }
        while let Some(&Reverse((at, proxy))) = self.deferred_answers.peek().filter(|r| r.0 .0 <= now) {
            self.deferred_answers.pop();
            let entry = &mut self.proxies[proxy];
            let answers_count_from = entry.answers_count_from.max(self.answers_count_from);
            if answers_count_from > at {
                if entry.deferred_answer.is_some() {
                    self.deferred_answers.push(Reverse((answers_count_from, proxy)));
                }
            } else if let Some(number) = entry.deferred_answer.take() {
                self.decision_due = true;
                self.steward.mark_answered(now, proxy, number);
            }
        }
        while let Some(&Reverse((_, stream))) = self.deadlines.peek().filter(|d| d.0 .0 <= now) {
            self.deadlines.pop();
            self.check_stream(now, stream);
        }
    }

    /// Returns the next action to carry out, or `None` if there is none for now.
    pub fn poll(&mut self, now: Time) -> Option<Output> {
        if let Some(output) = self.outputs.pop_front() {
            return Some(output);
        }
        if self.decision_due && now >= self.update_at && self.has_capacity() {
            self.decision_due = false;
            self.update_at = now + self.limits.tick;
            self.update(now);
            if let Some(output) = self.outputs.pop_front() {
                return Some(output);
            }
        }
        while let Some(proxy) = self.channel.next_proxy(now) {
            let entry = &mut self.proxies[proxy];
            let stream = entry.stream.and_then(|number| Some((number, self.streams.get_mut(&number)?)));
            let Some((number, stream)) = stream.filter(|(_, stream)| stream.writing_since.is_none()) else {
                // Queued again once its stream can take a frame, if ever.
                self.channel.mark_unqueued(&mut entry.position);
                continue;
            };
            // An answer is required until the proxy is joined and has applied that slices were given up.
            let require_answer = !entry.joined || entry.applied_end < self.release_end;
            if let Some(message) =
                self.channel.next_message(now, proxy, &mut entry.position, require_answer, &self.limits)
            {
                stream.writing_since = Some(now);
                entry.unanswered.extend(message.epoch.map(|epoch| (epoch, now)));
                entry.awaited_end = message.end.map(|end| (end, now)).or(entry.awaited_end);
                self.messages += 1;
                return Some(Output::Frame { stream: number, body: message.body });
            }
        }
        None
    }

    /// Returns true if the channel can take another update. At the limit of waiting lines decisions are postponed until
    /// lines have been sent.
    fn has_capacity(&self) -> bool {
        self.channel.waiting() < self.limits.max_waiting.max(1)
    }
}
