//! The proxied links between the processes of a day. Each direction of each pair can be cut or closed, and can lose,
//! duplicate, delay, reorder or throttle what it carries. Datagrams and streams use the same links.

mod datagrams;
mod streams;
#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

pub use datagrams::{make_key, DatagramProxy, SentDatagram};
pub use streams::{StreamEvent, StreamProxy};

/// An endpoint of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    Steward(usize),
    Forwarder(usize),
    Store,
    /// A site's agent.
    Agent(usize),
    /// The effects service, which receives the calls of jobs.
    Effects,
}

/// The state of a link in one direction.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// The number of cuts in effect: while there are any, nothing passes. An open stream stays open without traffic, as if its
    /// endpoints kept retransmitting until one of them gives up; new connections wait.
    pub cut: usize,
    /// Like `cut`, but open streams are closed and new connections are refused, as by a host without such a port.
    pub closed: usize,
    /// The share of pieces that are lost. On a stream they are retransmitted later.
    pub loss: f64,
    /// The share of datagrams that are delivered twice.
    pub doubled: f64,
    /// The longest random delay of a piece. It reorders datagrams but not streams.
    pub late: Duration,
    /// Throughput limit in bytes per second, if any.
    pub bytes_per_s: Option<u32>,
}

/// All links of a day.
pub struct Links {
    links: RefCell<BTreeMap<(Endpoint, Endpoint), Link>>,
    /// State of a link between two stewards without an injected fault. All other links have no loss or delay then.
    baseline: Link,
    /// Notified after each change of a link.
    changed: Notify,
    rng: RefCell<fastrand::Rng>,
    /// The number of the next stream.
    next_stream: Cell<u64>,
}

impl Links {
    pub fn new(seed: u64, baseline: Link) -> Rc<Links> {
        Rc::new(Links {
            links: RefCell::default(),
            baseline,
            changed: Notify::new(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            next_stream: Cell::new(0),
        })
    }

    /// The state of a link without an injected fault.
    pub fn baseline(&self, from: Endpoint, to: Endpoint) -> Link {
        match (from, to) {
            (Endpoint::Steward(_), Endpoint::Steward(_)) => self.baseline,
            _ => Link::default(),
        }
    }

    /// The present state of a link.
    pub fn state(&self, from: Endpoint, to: Endpoint) -> Link {
        let changed_link = self.links.borrow().get(&(from, to)).copied();
        changed_link.unwrap_or_else(|| self.baseline(from, to))
    }

    /// Changes links, each in the given direction only.
    pub fn change(&self, links: impl IntoIterator<Item = (Endpoint, Endpoint)>, change: impl Fn(&mut Link)) {
        for (from, to) in links {
            let baseline = self.baseline(from, to);
            change(self.links.borrow_mut().entry((from, to)).or_insert(baseline));
        }
        self.changed.notify_waiters();
    }

    /// Changes both directions of the links between these pairs.
    pub fn change_both_directions(
        &self,
        pairs: impl IntoIterator<Item = (Endpoint, Endpoint)>,
        change: impl Fn(&mut Link),
    ) {
        self.change(pairs.into_iter().flat_map(|(a, b)| [(a, b), (b, a)]), change);
    }

    /// Returns true if the link is open in both directions.
    pub fn is_open_between(&self, a: Endpoint, b: Endpoint) -> bool {
        let open = |link: Link| link.cut == 0 && link.closed == 0;
        open(self.state(a, b)) && open(self.state(b, a))
    }

    /// Waits until the condition holds.
    async fn wait_until(&self, condition: impl Fn(&Links) -> bool) {
        loop {
            // Registered before the check, so that no change in between is missed.
            let changed = self.changed.notified();
            if condition(self) {
                return;
            }
            changed.await;
        }
    }

    /// Draws whether an event of this probability happens.
    fn happens(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.borrow_mut().f64() < probability
    }

    /// Draws a delay of up to `max`.
    fn random_delay(&self, max: Duration) -> Duration {
        if max.is_zero() {
            return max;
        }
        max.mul_f64(self.rng.borrow_mut().f64())
    }
}
