//! Maps host names to small indices, and forgets hosts that are long gone.

use std::collections::VecDeque;

use ravenspar_steward::{Health, IdTable, ListScope, Steward, Time, SECOND};
use serde_json::Value;

use crate::fields::{self, DecodeError};

/// The number of gone hosts that keep their index, as a slice that is handed back may name a host that left moments
/// ago. Several times the largest fleet seen; takes some hundred kilobytes.
const MAX_GONE: usize = 256;

/// Discovery reports a change within this time.
const DISCOVERY_DELAY: Time = 6 * SECOND;

/// The last listed state of a server.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    health: Health,
    /// Its last start by the wall clock of the list's author.
    listed_start: Time,
    /// Its last start by this process's clock.
    started: Time,
}

/// The hosts known from lists and lines, by index.
#[derive(Debug, Default)]
pub struct Servers {
    index: IdTable<String>,
    listed: Vec<bool>,
    last: Vec<Entry>,
    /// A complete list has been received, so a start listed from now on is a recent one.
    has_whole_list: bool,
    /// Those that the list has let go, the longest gone first.
    gone: VecDeque<usize>,
}

impl Servers {
    /// Returns the index of a known host.
    pub fn find(&self, id: &str) -> Option<usize> {
        self.index.find(&id.to_owned())
    }

    /// Returns the index of a host, which is assigned if the host is new.
    pub fn index(&mut self, id: &str) -> usize {
        let server = self.index.index(&id.to_owned());
        self.listed.resize(self.listed.len().max(server + 1), false);
        server
    }

    /// Returns the index of a host named by a line of the store, whether or not a list ever contained it.
    pub fn index_of_line(&mut self, id: &str) -> usize {
        let server = self.index(id);
        if !self.listed[server] && !self.gone.contains(&server) {
            self.gone.push_back(server);
        }
        server
    }

    /// Returns the name of a host, or an empty string if the index is not in use.
    pub fn id(&self, server: usize) -> &str {
        self.index.id(server).map_or("", String::as_str)
    }

    /// The number of indices in use.
    pub fn known_count(&self) -> usize {
        (0..self.listed.len()).filter(|&server| self.index.id(server).is_some()).count()
    }

    /// The number of hosts on the list.
    pub fn listed_count(&self) -> usize {
        self.listed.iter().filter(|listed| **listed).count()
    }

    /// Applies a list in discovery's format to the decisions. Fails with the first unreadable entry: its host keeps
    /// its last known state, and the readable entries are applied. If an entry's host name is unreadable, it may be
    /// any host, so no host is taken for gone by its absence.
    pub fn apply_list(
        &mut self,
        now: Time,
        list: &Value,
        scope: ListScope,
        steward: &mut Steward,
    ) -> Result<(), DecodeError> {
        let entries = list["instances"].as_array();
        let entries = entries.ok_or(DecodeError { field: "instances", expected: "a list" })?;
        let mut first_error = Ok(());
        let mut kept = Vec::new();
        let mut read = Vec::new();
        let mut scope = scope;
        for raw in entries {
            match entry(raw) {
                Ok(entry) => read.push(entry),
                Err(error) => {
                    first_error = first_error.and(Err(error));
                    match raw["instanceId"].as_str() {
                        Some(id) => kept.extend(self.find(id)),
                        None if scope == ListScope::Complete => scope = ListScope::Partial,
                        None => {}
                    }
                }
            }
        }
        kept.retain(|&server| self.listed[server]);
        let names_all = !matches!(scope, ListScope::Changes | ListScope::Partial);
        let mut listed = if names_all { Vec::new() } else { self.listed.clone() };
        steward.list_begin(scope);
        for (id, health, listed_start) in read {
            // A gone host that is unknown needs no index.
            if health == Health::Gone && self.find(id).is_none() {
                continue;
            }
            let server = self.index(id);
            listed.resize(listed.len().max(server + 1), false);
            listed[server] = health != Health::Gone;
            self.last.resize(self.last.len().max(server + 1), Entry::default());
            let started = self.started(now, server, listed_start);
            self.last[server] = Entry { health, listed_start, started };
            steward.list_entry(server, health, started);
        }
        listed.resize(self.listed.len(), false);
        for server in kept.into_iter().filter(|_| names_all) {
            listed[server] = true;
            steward.list_entry(server, self.last[server].health, self.last[server].started);
        }
        steward.list_end(scope);
        self.has_whole_list |= scope == ListScope::Complete;
        for (server, listed) in listed.into_iter().enumerate() {
            if self.listed[server] && !listed && !self.gone.contains(&server) {
                self.gone.push_back(server);
            }
            self.listed[server] = listed;
        }
        first_error
    }

    /// Returns a server's start by this process's clock. Guards against a wall clock that was stepped, here or
    /// elsewhere: a cold server would count as warm, or all servers as cold for the length of the step. A start in
    /// service is reported within [`DISCOVERY_DELAY`], so any other age is a difference between the clocks, and the
    /// server has started now.
    fn started(&self, now: Time, server: usize, listed_start: Time) -> Time {
        let last = self.last[server];
        if listed_start == 0 {
            return 0;
        }
        if listed_start == last.listed_start {
            return last.started;
        }
        let recent = now - DISCOVERY_DELAY <= listed_start && listed_start <= now;
        if self.has_whole_list && !recent {
            now
        } else {
            listed_start.min(now)
        }
    }

    /// Forgets the hosts that have been gone longest, unless something refers to them; `named` says whether the
    /// session still does.
    pub fn sweep(&mut self, steward: &mut Steward, named: impl Fn(usize) -> bool) {
        let listed = std::mem::take(&mut self.listed);
        self.gone.retain(|&server| !listed[server]);
        self.listed = listed;
        for _ in MAX_GONE..self.gone.len() {
            let Some(server) = self.gone.pop_front() else { return };
            if !named(server) && steward.forget(server) {
                self.index.release(server);
            } else {
                self.gone.push_back(server);
            }
        }
    }
}

fn entry(entry: &Value) -> Result<(&str, Health, Time), DecodeError> {
    let health = match fields::text(entry, "lifecycle")? {
        "active" => Health::Ready,
        "leaving" => Health::Draining,
        "left" => Health::Gone,
        _ => return fields::invalid("lifecycle", "active, leaving or left"),
    };
    Ok((fields::text(entry, "instanceId")?, health, fields::unix_time(entry, "startedAtMs")?))
}
