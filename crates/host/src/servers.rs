//! The servers met so far, by small indices that never change while the host lives.

use ravenspar_steward::IdTable;

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
}

impl Servers {
    /// The index of an id, which may be new.
    pub fn index(&mut self, id: &str) -> usize {
        let be = self.index.index(&id.to_owned());
        if be == self.all.len() {
            self.all.push(Server { id: id.to_owned(), ..Server::default() });
        }
        be
    }

    pub fn learn(&mut self, id: &str, zone: &str, address: &str) -> usize {
        let be = self.index(id);
        let server = &mut self.all[be];
        (server.zone, server.address) = (zone.to_owned(), address.to_owned());
        be
    }

    pub fn get(&self, be: usize) -> &Server {
        &self.all[be]
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }
}
