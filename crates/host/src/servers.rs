//! The servers known so far, by small indices that stay the same as long as the host runs.

use ravenspar_steward::{Health, IdTable, Time};

/// What a proxy needs to know to send requests to a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Server {
    pub id: String,
    pub zone: String,
    pub address: String,
}

/// All servers known from the list or the record.
#[derive(Debug, Default)]
pub struct Servers {
    index: IdTable<String>,
    all: Vec<Server>,
    /// Per server: its health in the current list, and its newest start known from list or record.
    listed: Vec<(Option<Health>, Time)>,
}

impl Servers {
    /// Returns the index of an id; a new id is added.
    pub fn index(&mut self, id: &str) -> usize {
        let server = self.index.index(&id.to_owned());
        if server == self.all.len() {
            self.all.push(Server { id: id.to_owned(), ..Server::default() });
            self.listed.push((None, 0));
        }
        server
    }

    /// Sets a server's zone and address; returns its index.
    pub fn learn(&mut self, id: &str, zone: &str, address: &str) -> usize {
        let index = self.index(id);
        let server = &mut self.all[index];
        (server.zone, server.address) = (zone.to_owned(), address.to_owned());
        index
    }

    /// Forgets the listed health of all servers, as a complete list follows.
    pub fn clear_listed(&mut self) {
        self.listed.iter_mut().for_each(|entry| entry.0 = None);
    }

    /// Sets what the list has of a server.
    pub fn set_listed(&mut self, server: usize, health: Health, boot: Time) {
        let entry = &mut self.listed[server];
        *entry = (Some(health), boot.max(entry.1));
    }

    /// Applies a start known from the record. Returns the server's listed health if the start is newer than the known
    /// one, else `None`.
    pub fn record_start(&mut self, server: usize, boot: Time) -> Option<Option<Health>> {
        let entry = &mut self.listed[server];
        (boot > entry.1).then(|| {
            entry.1 = boot;
            entry.0
        })
    }

    /// Returns when a server last started, as far as known.
    pub fn boot(&self, server: usize) -> Time {
        self.listed[server].1
    }

    pub fn get(&self, server: usize) -> &Server {
        &self.all[server]
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }
}
