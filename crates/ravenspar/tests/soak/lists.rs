//! The list of servers that each steward has received. Pure: it is told what discovery does.

/// How discovery serves one steward.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Discovery {
    /// It reports changes at once.
    Current,
    /// It does not answer. Afterwards it sends this list, or the newest one if `None`.
    Silent(Option<Vec<bool>>),
    /// It sends a list that is out of date.
    Old,
}

/// The list that one steward has received.
#[derive(Clone, Debug)]
struct Received {
    draining: Vec<bool>,
    /// Its running process has received a list.
    has_list: bool,
    discovery: Discovery,
}

/// The list of servers, and what each steward has received of it.
#[derive(Debug)]
pub struct Lists {
    draining: Vec<bool>,
    received: Vec<Received>,
}

impl Lists {
    /// Creates lists without draining servers.
    pub fn new(stewards: usize, servers: usize) -> Lists {
        let draining = vec![false; servers];
        let received = Received { draining: draining.clone(), has_list: true, discovery: Discovery::Current };
        Lists { draining, received: vec![received; stewards] }
    }

    /// A server drains from now on, or no longer.
    pub fn set(&mut self, server: usize, drains: bool) {
        self.draining[server] = drains;
        for received in self.received.iter_mut().filter(|received| received.discovery == Discovery::Current) {
            received.draining[server] = drains;
        }
    }

    /// Returns true if a server drains.
    pub fn drains(&self, server: usize) -> bool {
        self.draining[server]
    }

    /// Returns true if a server drains and the steward has received that.
    pub fn knows_drain(&self, steward: usize, server: usize) -> bool {
        self.draining[server] && self.received[steward].draining[server]
    }

    /// Returns true if the running process of a steward has received a list.
    pub fn has_list(&self, steward: usize) -> bool {
        self.received[steward].has_list
    }

    /// Another process of the steward starts, without a list.
    pub fn process_starts(&mut self, steward: usize) {
        let received = &mut self.received[steward];
        received.has_list = !matches!(received.discovery, Discovery::Silent(_));
    }

    /// Discovery stops answering the steward.
    pub fn stop_answering(&mut self, steward: usize) {
        self.received[steward].discovery = Discovery::Silent(None);
    }

    /// The current list is what the steward receives next.
    pub fn pin_list(&mut self, steward: usize) {
        self.received[steward].discovery = Discovery::Silent(Some(self.draining.clone()));
    }

    /// The steward receives the list that was held back.
    pub fn resume_answering(&mut self, steward: usize) {
        let received = &mut self.received[steward];
        if let Discovery::Silent(held) = std::mem::replace(&mut received.discovery, Discovery::Old) {
            received.draining = held.unwrap_or_else(|| self.draining.clone());
            received.has_list = true;
        }
    }

    /// The steward receives the newest list.
    pub fn unpin_list(&mut self, steward: usize) {
        let received = &mut self.received[steward];
        received.draining.clone_from(&self.draining);
        (received.has_list, received.discovery) = (true, Discovery::Current);
    }
}
