//! The server list that the lab publishes, and the faults of that list.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;

use ravenspar_standin::server::Server;
use ravenspar_standin::{Capture, Event, Time, SECOND};

/// A listed server, with its state and boot time as published.
struct Entry {
    server: Rc<Server>,
    state: &'static str,
    boot: Time,
    /// Number of active faults that hide it.
    hidden: usize,
}

struct Inner {
    entries: Vec<Entry>,
    /// Nonzero while the list is published without entries.
    empty: usize,
    /// Nonzero while the file is truncated.
    torn: usize,
}

/// The list of servers, published to a file.
pub struct Listing {
    path: PathBuf,
    capture: Capture,
    inner: RefCell<Inner>,
}

impl Listing {
    pub fn new(path: PathBuf, capture: Capture) -> Listing {
        Listing { path, capture, inner: RefCell::new(Inner { entries: Vec::new(), empty: 0, torn: 0 }) }
    }

    /// Lists a server in this state, with its current boot time.
    pub fn show(&self, server: &Rc<Server>, state: &'static str) {
        {
            let entries = &mut self.inner.borrow_mut().entries;
            let boot = server.boot();
            match entries.iter_mut().find(|entry| entry.server.id == server.id) {
                Some(entry) => (entry.state, entry.boot) = (state, boot),
                None => entries.push(Entry { server: server.clone(), state, boot, hidden: 0 }),
            }
        }
        self.publish();
    }

    /// Removes a server from the list.
    pub fn remove(&self, server: &Server) {
        self.inner.borrow_mut().entries.retain(|entry| entry.server.id != server.id);
        self.publish();
    }

    /// Hides servers from the list, or undoes one hiding of them.
    pub fn hide(&self, servers: &[Rc<Server>], hidden: bool) {
        for entry in &mut self.inner.borrow_mut().entries {
            if servers.iter().any(|server| server.id == entry.server.id) {
                entry.hidden = if hidden { entry.hidden + 1 } else { entry.hidden.saturating_sub(1) };
            }
        }
        self.publish();
    }

    pub fn set_empty(&self, empty: bool) {
        self.inner.borrow_mut().empty = usize::from(empty);
        self.publish();
    }

    pub fn set_torn(&self, torn: bool) {
        self.inner.borrow_mut().torn = usize::from(torn);
        self.publish();
    }

    /// Replaces the file atomically, or writes a truncated one in place while it is torn.
    pub fn publish(&self) {
        let inner = self.inner.borrow();
        let listed = inner.entries.iter().filter(|entry| entry.hidden == 0 && inner.empty == 0);
        let mut text = "servers:\n".to_owned();
        let mut servers = Vec::new();
        for Entry { server, state, boot, .. } in listed {
            let seconds = *boot as f64 / SECOND as f64;
            let (id, zone, address) = (&server.id, &server.zone, server.address);
            text += &format!("  - {{id: {id}, zone: {zone}, address: \"{address}\", state: {state}, boot: {seconds:.4}}}\n");
            servers.push((id.clone(), (*state).to_owned(), *boot));
        }
        if inner.torn > 0 {
            // Truncated within a line, so that it isn't a valid shorter list.
            let _ = std::fs::write(&self.path, &text[..text.len().saturating_sub(30)]);
            return;
        }
        let draft = self.path.with_extension("draft");
        let written = std::fs::write(&draft, text).and_then(|()| std::fs::rename(&draft, &self.path));
        if written.is_ok() {
            self.capture.note(|at| Event::Listed { at, servers });
        }
    }
}
