//! The servers known so far, by small indices that stay the same as long as the host runs.

use ravenspar_steward::{IdTable, Time};

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
    /// Per server: its newest start known from list or record, 0 if unknown.
    boots: Vec<Time>,
}

impl Servers {
    /// Returns the index of an id; a new id is added.
    pub fn index(&mut self, id: &str) -> usize {
        let server = self.index.index(&id.to_owned());
        if server == self.all.len() {
            self.all.push(Server { id: id.to_owned(), ..Server::default() });
            self.boots.push(0);
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

    /// Applies a start from the list or the record. Returns true if it is newer than the known one.
    pub fn learn_start(&mut self, server: usize, boot: Time) -> bool {
        let known = &mut self.boots[server];
        let is_newer = boot > *known;
        *known = boot.max(*known);
        is_newer
    }

    /// Returns when a server last started, as far as known.
    pub fn boot(&self, server: usize) -> Time {
        self.boots[server]
    }

    pub fn get(&self, server: usize) -> &Server {
        &self.all[server]
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }
}
