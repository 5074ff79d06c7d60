//! The hosts met so far by small indices, and the letting go of those that are long gone.

use std::collections::VecDeque;

use ravenspar_steward::{Health, IdTable, Scope, Steward, Time, SECOND};
use serde_json::Value;

use crate::fields::{self, Fault};

/// Hosts that are gone and still known: a slice that is given back may name one that left some moments ago. Several
/// times the largest fleet seen, some hundred kilobytes.
const GONE: usize = 256;

/// What discovery has to tell counts as told by then.
const TOLD_WITHIN: Time = 6 * SECOND;

/// What the list said of a server last.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    health: Health,
    /// When it last started, by the wall clock of whoever wrote the list.
    claimed: Time,
    /// The same by this process's clock.
    started: Time,
}

#[derive(Debug, Default)]
pub struct Servers {
    index: IdTable<String>,
    listed: Vec<bool>,
    last: Vec<Entry>,
    /// Discovery has told a whole list: a start that is told from now on was a moment ago.
    follows: bool,
    /// Those that the list has let go, the longest gone first.
    gone: VecDeque<usize>,
}

impl Servers {
    pub fn find(&self, id: &str) -> Option<usize> {
        self.index.find(&id.to_owned())
    }

    pub fn index(&mut self, id: &str) -> usize {
        let server = self.index.index(&id.to_owned());
        self.listed.resize(self.listed.len().max(server + 1), false);
        server
    }

    /// The index of a host that a line of the store names, whether or not a list ever did.
    pub fn index_of_line(&mut self, id: &str) -> usize {
        let server = self.index(id);
        if !self.listed[server] && !self.gone.contains(&server) {
            self.gone.push_back(server);
        }
        server
    }

    pub fn id(&self, server: usize) -> &str {
        self.index.id(server).map_or("", String::as_str)
    }

    /// Indices in use.
    pub fn known(&self) -> usize {
        (0..self.listed.len()).filter(|&server| self.index.id(server).is_some()).count()
    }

    pub fn listed(&self) -> usize {
        self.listed.iter().filter(|listed| **listed).count()
    }

    /// Hands a list in discovery's form to the decisions. Fails with the first entry that can't be read: that one's host
    /// is kept as known, and the rest is taken in. A host whose name can't be read may be any, so then none is taken for
    /// gone by its absence.
    pub fn list(
        &mut self,
        now: Time,
        list: &Value,
        scope: Scope,
        steward: &mut Steward,
    ) -> Result<(), Fault> {
        let entries = list["instances"].as_array();
        let entries = entries.ok_or(Fault { field: "instances", expected: "a list" })?;
        let mut unread = Ok(());
        let mut kept = Vec::new();
        let mut read = Vec::new();
        let mut scope = scope;
        for of in entries {
            match entry(of) {
                Ok(entry) => read.push(entry),
                Err(fault) => {
                    unread = unread.and(Err(fault));
                    match of["instanceId"].as_str() {
                        Some(id) => kept.extend(self.find(id)),
                        None => scope = if scope == Scope::Whole { Scope::Changes } else { scope },
                    }
                }
            }
        }
        kept.retain(|&server| self.listed[server]);
        let mut listed = if scope == Scope::Changes { self.listed.clone() } else { Vec::new() };
        steward.list_begin(scope);
        for (id, health, claimed) in read {
            // What is gone and was never met needs no index.
            if health == Health::Gone && self.find(id).is_none() {
                continue;
            }
            let server = self.index(id);
            listed.resize(listed.len().max(server + 1), false);
            listed[server] = health != Health::Gone;
            self.last.resize(self.last.len().max(server + 1), Entry::default());
            let started = self.started(now, server, claimed);
            self.last[server] = Entry { health, claimed, started };
            steward.list_entry(server, health, started);
        }
        listed.resize(self.listed.len(), false);
        for server in kept.into_iter().filter(|_| scope != Scope::Changes) {
            listed[server] = true;
            steward.list_entry(server, self.last[server].health, self.last[server].started);
        }
        steward.list_end(scope);
        self.follows |= scope == Scope::Whole;
        for (server, listed) in listed.into_iter().enumerate() {
            if self.listed[server] && !listed && !self.gone.contains(&server) {
                self.gone.push_back(server);
            }
            self.listed[server] = listed;
        }
        unread
    }

    /// When a server started, by this process's clock. Guards against a wall clock that was stepped, here or elsewhere: a
    /// cold server would count as warm, or all as cold for as long as the step. What is told of a start in service is told
    /// within [`TOLD_WITHIN`], so another age than that is the clocks' difference, and it has started now.
    fn started(&self, now: Time, server: usize, claimed: Time) -> Time {
        let last = self.last[server];
        if claimed == 0 {
            return 0;
        }
        if claimed == last.claimed {
            return last.started;
        }
        let recent = now - TOLD_WITHIN <= claimed && claimed <= now;
        if self.follows && !recent {
            now
        } else {
            claimed.min(now)
        }
    }

    /// Lets the longest gone go, as far as nothing names them; `named` tells whether the host itself still does.
    pub fn sweep(&mut self, steward: &mut Steward, named: impl Fn(usize) -> bool) {
        let listed = std::mem::take(&mut self.listed);
        self.gone.retain(|&server| !listed[server]);
        self.listed = listed;
        for _ in GONE..self.gone.len() {
            let Some(server) = self.gone.pop_front() else { return };
            if !named(server) && steward.forget(server) {
                self.index.release(server);
            } else {
                self.gone.push_back(server);
            }
        }
    }
}

fn entry(entry: &Value) -> Result<(&str, Health, Time), Fault> {
    let health = match fields::text(entry, "lifecycle")? {
        "active" => Health::Ready,
        "leaving" => Health::Draining,
        "left" => Health::Gone,
        _ => return fields::fault("lifecycle", "active, leaving or left"),
    };
    Ok((fields::text(entry, "instanceId")?, health, fields::moment(entry, "startedAtMs")?))
}
