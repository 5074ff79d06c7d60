//! The servers met so far, by small indices that never change while the host lives.

use ravenspar_steward::{Health, IdTable, Time};

/// What a proxy has to know of a server to send to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Server {
    pub id: String,
    pub zone: String,
    pub address: String,
}

#[derive(Debug, Default)]
pub struct Servers {
    index: IdTable<String>,
    all: Vec<Server>,
    /// What the list now says of each, and the newest start known of it, by list or record.
    listed: Vec<(Option<Health>, Time)>,
}

impl Servers {
    /// The index of an id, which may be new.
    pub fn index(&mut self, id: &str) -> usize {
        let server = self.index.index(&id.to_owned());
        if server == self.all.len() {
            self.all.push(Server { id: id.to_owned(), ..Server::default() });
            self.listed.push((None, 0));
        }
        server
    }

    pub fn learn(&mut self, id: &str, zone: &str, address: &str) -> usize {
        let index = self.index(id);
        let server = &mut self.all[index];
        (server.zone, server.address) = (zone.to_owned(), address.to_owned());
        index
    }

    /// A complete list follows.
    pub fn unlist(&mut self) {
        self.listed.iter_mut().for_each(|entry| entry.0 = None);
    }

    pub fn list(&mut self, server: usize, health: Health, boot: Time) {
        let entry = &mut self.listed[server];
        *entry = (Some(health), boot.max(entry.1));
    }

    /// A start of it that the record tells of. Returns what the list says of it, if the start is news.
    pub fn started(&mut self, server: usize, boot: Time) -> Option<Option<Health>> {
        let entry = &mut self.listed[server];
        (boot > entry.1).then(|| {
            entry.1 = boot;
            entry.0
        })
    }

    /// When it last started, as far as known.
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
