//! The server list that the lab publishes, and the ways in which it lies.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;

use ravenspar_standin::server::Server;
use ravenspar_standin::{Capture, Event, Time, SECOND};

struct Entry {
    server: Rc<Server>,
    state: &'static str,
    boot: Time,
    /// How many troubles hide it.
    hidden: usize,
}

struct Inner {
    entries: Vec<Entry>,
    empty: usize,
    torn: usize,
}

pub struct Listing {
    path: PathBuf,
    capture: Capture,
    inner: RefCell<Inner>,
}

impl Listing {
    pub fn new(path: PathBuf, capture: Capture) -> Listing {
        Listing { path, capture, inner: RefCell::new(Inner { entries: Vec::new(), empty: 0, torn: 0 }) }
    }

    /// Lists a server as it is now.
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

    /// Takes a server off the list.
    pub fn drop(&self, server: &Server) {
        self.inner.borrow_mut().entries.retain(|entry| entry.server.id != server.id);
        self.publish();
    }

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

    /// Replaces the file, or, where it is torn, writes half of it in place.
    pub fn publish(&self) {
        let inner = self.inner.borrow();
        let shown = inner.entries.iter().filter(|entry| entry.hidden == 0 && inner.empty == 0);
        let mut text = "servers:\n".to_owned();
        let mut servers = Vec::new();
        for Entry { server, state, boot, .. } in shown {
            let seconds = *boot as f64 / SECOND as f64;
            let (id, zone, address) = (&server.id, &server.zone, server.address);
            text += &format!("  - {{id: {id}, zone: {zone}, address: \"{address}\", state: {state}, boot: {seconds:.4}}}\n");
            servers.push((id.clone(), (*state).to_owned(), *boot));
        }
        if inner.torn > 0 {
            // Cut within a line, so that it can't pass for a shorter list.
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
