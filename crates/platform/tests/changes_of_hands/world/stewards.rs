//! Stewards: their starts and their calls.

use std::rc::Rc;

use ravenspar_platform::{Session, Time, SECOND};
use serde_json::{json, Value};

use super::*;

pub(super) struct Steward {
    pub(super) session: Option<Session>,
    /// The number of its restarts.
    pub(super) incarnation: u64,
    /// The current subscription, whether there is one, and whether it has stalled.
    pub(super) subscription: u64,
    pub(super) subscribed: bool,
    pub(super) stalled: bool,
    pub(super) last_notification: Time,
    pub(super) call: Option<u64>,
    pub(super) polled_at: Time,
    pub(super) cut_until: Time,
    pub(super) gap_until: Time,
    pub(super) calls_lost_until: Time,
    pub(super) lost_calls_applied: bool,
    /// If the list that it has at a start is the first one, the servers that it lacks, one bit each.
    pub(super) stored_list_without: Option<u8>,
    /// How long after a start it receives the current list.
    pub(super) list_delay: Time,
    pub(super) late_until: Time,
    pub(super) late_by: Time,
}

impl Steward {
    pub(super) fn new() -> Steward {
        Steward {
            session: None,
            incarnation: 0,
            subscription: 0,
            subscribed: false,
            stalled: false,
            last_notification: START,
            call: None,
            polled_at: START,
            cut_until: START,
            gap_until: START,
            calls_lost_until: START,
            lost_calls_applied: false,
            stored_list_without: None,
            list_delay: 0,
            late_until: START,
            late_by: 0,
        }
    }
}

pub(super) fn settings() -> Value {
    json!({
        "azs": ["a"], "discovery": "pushed", "classes": [{"name": "read"}, {"name": "write"}], "balancers": STEWARDS,
        "family_info": {
            "ranges": SLICES, "proxy_count": PROXIES, "write_lease_s": LEASE as f64 / SECOND as f64,
            "settle_s": SETTLE as f64 / SECOND as f64, "cycle_s": 0.5, "channel_rate": 3000.0, "fixed_cost": 2.0,
            "pending_max": 3000.0, "pushes_allowed": 20, "update_window_s": 10.0, "transit_max_s": 0.5,
            "mutating": [false, true], "admit": "ratio",
        },
        "safety": {"drain_grace_s": 3.0, "cold_from": 0.2, "cold_s": 5.0, "fall_multiple": 2.5},
    })
}

impl World {
    /// Starts a steward that knows only a list. The slices that are still its own are assigned to it again, which
    /// resets their levels.
    pub(super) fn start(&mut self, steward: usize) {
        if self.stewards[steward].session.is_some() {
            return;
        }
        self.trace(|| format!("n{steward} starts"));
        let known = self.stored_list(steward);
        let list_delay = self.stewards[steward].list_delay;
        let session = Session::new(self.now, 7 + steward as u64, &settings(), &known).expect("good settings");
        let entry = &mut self.stewards[steward];
        entry.session = Some(session);
        let incarnation = entry.incarnation;
        for stored in self.slices.iter_mut().filter(|stored| incarnation > 0 && stored.steward == steward) {
            stored.table.closed = false;
            stored.version += 1;
        }
        self.after(list_delay, Event::List { steward, version: self.lists.len() as u64 });
        self.after(RESUBSCRIBE_DELAY / 2, Event::Subscribe { steward, incarnation });
    }

    /// Returns the list that a steward has at a start: the current one, or an older one.
    fn stored_list(&self, steward: usize) -> Value {
        let Some(without) = self.stewards[steward].stored_list_without else {
            return self.lists.last().cloned().unwrap_or_default();
        };
        let mut list = self.lists.first().cloned().unwrap_or_default();
        let lacks = |entry: &Value| {
            (0..SERVERS).any(|server| without & (1 << server) != 0 && entry["instanceId"] == name(server))
        };
        if let Some(entries) = list["instances"].as_array_mut() {
            entries.retain(|entry| !lacks(entry));
        }
        list
    }

    pub(super) fn is_up(&self, steward: usize) -> bool {
        self.stewards[steward].session.is_some() && self.now >= self.stewards[steward].cut_until
    }

    pub(super) fn next_poll(&self, steward: usize) -> Option<Time> {
        let entry = &self.stewards[steward];
        let session = entry.session.as_ref().filter(|_| entry.call.is_none())?;
        session.next_timeout().map(|at| at.max(entry.polled_at + 10 * MILLISECOND).max(self.now))
    }

    pub(super) fn poll(&mut self, steward: usize) {
        let entry = &mut self.stewards[steward];
        let Some(session) = entry.session.as_mut().filter(|_| entry.call.is_none()) else { return };
        entry.polled_at = self.now;
        let Some(call) = session.poll(self.now) else { return };
        entry.call = Some(call.id);
        let (incarnation, id) = (entry.incarnation, call.id);
        let lost = self.now < entry.cut_until || self.now < entry.calls_lost_until;
        let is_applied = !lost || self.now >= entry.cut_until && entry.lost_calls_applied;
        let call: Rc<Value> = Rc::new(serde_json::from_str(&call.line).expect("calls are JSON"));
        self.trace(|| {
            let (changes, note) = (&call["params"]["changes"], if lost { " (no answer)" } else { "" });
            format!("n{steward} calls {changes}{note}")
        });
        let accepted = call["params"]["changes"].as_array().map_or(0, Vec::len);
        let apply_delay = self.draw("carried", steward, 0, APPLY_DELAY);
        let answer_delay = self.draw("answered", steward, 0, ANSWER_DELAY);
        if is_applied {
            self.after(apply_delay, Event::ApplyCall { steward, call });
        }
        if !lost {
            self.after(
                apply_delay + answer_delay,
                Event::Answer { steward, incarnation, call: id, accepted },
            );
        }
        self.after(CALL_TIMEOUT, Event::Unanswered { steward, incarnation, call: id });
    }

    pub(super) fn answer(&mut self, steward: usize, incarnation: u64, call: u64, accepted: usize) {
        let is_cut = self.now < self.stewards[steward].cut_until;
        let entry = &mut self.stewards[steward];
        if is_cut || entry.incarnation != incarnation || entry.call != Some(call) {
            return;
        }
        entry.call = None;
        let line = json!({"jsonrpc": "2.0", "id": call, "result": {"ok_count": accepted}}).to_string();
        let now = self.now;
        entry.session.iter_mut().for_each(|session| session.handle_answer(now, line.as_bytes()));
    }

    pub(super) fn unanswered(&mut self, steward: usize, incarnation: u64, call: u64) {
        let entry = &mut self.stewards[steward];
        if entry.incarnation == incarnation && entry.call == Some(call) {
            entry.call = None;
            let now = self.now;
            entry.session.iter_mut().for_each(|session| session.handle_call_lost(now, true));
        }
    }
}
