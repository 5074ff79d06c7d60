//! Input of the stewards: subscriptions, the server list and reports.

use ravenspar_platform::Time;
use serde_json::{json, Value};

use super::*;

impl World {
    pub(super) fn break_subscription(&mut self, steward: usize, stalled: bool) {
        let entry = &mut self.stewards[steward];
        if entry.session.is_some() && entry.subscribed && !entry.stalled {
            entry.stalled = true;
            let (incarnation, subscription) = (entry.incarnation, entry.subscription);
            let detected_after = if stalled { NOTIFICATION_TIMEOUT } else { 0 };
            self.after(detected_after, Event::SubscriptionLost { steward, incarnation, subscription });
        }
    }

    pub(super) fn lose_subscription(&mut self, steward: usize, incarnation: u64, subscription: u64) {
        let now = self.now;
        let entry = &mut self.stewards[steward];
        if entry.incarnation == incarnation
            && entry.subscription == subscription
            && std::mem::take(&mut entry.subscribed)
        {
            entry.session.iter_mut().for_each(|session| session.handle_subscription_lost(now));
            self.after(RESUBSCRIBE_DELAY, Event::Subscribe { steward, incarnation });
        }
    }

    /// Sends the snapshot of the store's current state first.
    pub(super) fn subscribe(&mut self, steward: usize, incarnation: u64) {
        let entry = &mut self.stewards[steward];
        if entry.incarnation != incarnation || entry.subscribed {
            return;
        }
        if self.now < entry.cut_until || self.now < entry.gap_until {
            self.after(RESUBSCRIBE_DELAY, Event::Subscribe { steward, incarnation });
            return;
        }
        entry.subscription += 1;
        (entry.subscribed, entry.stalled, entry.last_notification) = (true, false, self.now);
        let first = json!({"jsonrpc": "2.0", "id": 1, "result": true}).to_string();
        let subscription = entry.subscription;
        self.trace(|| format!("n{steward} subscribes"));
        self.after(0, Event::Notification { steward, incarnation, subscription, line: first });
        for proxy in 0..PROXIES {
            if self.proxies[proxy].streams[steward].joined {
                self.notify(
                    steward,
                    0,
                    "SUBSCRIBE",
                    json!({"id": proxy, "site": "a", "rps": 2.0, "new": false}),
                );
            }
        }
        for slice in 0..SLICES {
            if self.slices[slice].steward == steward {
                self.notify_assigned(steward, slice, 0);
            }
        }
    }

    /// Sends a notification after a delay, and never before an earlier one.
    pub(super) fn notify(&mut self, steward: usize, delay: Time, method: &str, params: Value) {
        let entry = &mut self.stewards[steward];
        if !entry.subscribed || entry.stalled {
            return;
        }
        let late = if self.now < entry.late_until { entry.late_by } else { 0 };
        entry.last_notification = entry.last_notification.max(self.now + delay + late);
        let (incarnation, subscription, at) =
            (entry.incarnation, entry.subscription, entry.last_notification - self.now);
        let line = json!({"jsonrpc": "2.0", "method": method, "params": params}).to_string();
        self.after(at, Event::Notification { steward, incarnation, subscription, line });
    }

    pub(super) fn notify_assigned(&mut self, steward: usize, slice: usize, delay: Time) {
        self.notify(steward, delay, "GRANT", json!({"range": slice, "flag": true}));
        if let Some((server, weight)) = self.slices[slice].table.line {
            self.notify(steward, 0, "ROW", json!({"range": slice, "target": name(server), "rps": weight}));
        }
    }

    pub(super) fn deliver(&mut self, steward: usize, incarnation: u64, subscription: u64, line: &str) {
        let now = self.now;
        let entry = &mut self.stewards[steward];
        if entry.incarnation != incarnation
            || entry.subscription != subscription
            || !entry.subscribed
            || entry.stalled
        {
            return;
        }
        let Some(session) = &mut entry.session else { return };
        let is_invalid = session.handle_notification(now, line.as_bytes()).is_err();
        if line.contains("GRANT") || line.contains("ROW") || is_invalid {
            self.trace(|| format!("n{steward} receives {line}"));
        }
        if is_invalid {
            self.lose_subscription(steward, incarnation, subscription);
        }
    }

    /// Publishes a new version of the list to every steward.
    pub(super) fn publish_list(&mut self) {
        let version = self.lists.len() as u64 + 1;
        let instances =
            self.servers.iter().enumerate().filter(|(_, server)| server.lifecycle != Lifecycle::Left);
        let instances = instances.map(|(number, server)| {
            let state = if server.lifecycle == Lifecycle::Leaving { "leaving" } else { "active" };
            json!({"instanceId": name(number), "lifecycle": state, "startedAtMs": server.started / 10})
        });
        let instances: Vec<Value> = instances.collect();
        self.lists.push(json!({"generation": version, "reset": true, "instances": instances}));
        for steward in 0..STEWARDS {
            let delay = self.draw("list", steward, 0, LIST_DELAY);
            self.after(delay, Event::List { steward, version });
        }
    }

    pub(super) fn deliver_list(&mut self, steward: usize, version: u64) {
        let now = self.now;
        let list = self.lists[version as usize - 1].to_string();
        // A list older than the current one is refused.
        let sessions = self.stewards[steward].session.iter_mut();
        sessions.for_each(|session| _ = session.handle_list(now, list.as_bytes(), true, now));
    }

    /// Sends the collectors' reports on servers and slices.
    pub(super) fn report(&mut self) {
        let now = self.now;
        let load = |(number, server): (usize, &Server)| {
            let count = 40;
            let failed = if now < server.fails_until { count } else { 0 };
            let mean = if now < server.strained_until { 5_000.0 } else { 20.0 };
            json!({"msg": "LOAD", "site": "a", "target": name(number), "count": count, "fail": failed, "mean": mean, "over": 500.0})
        };
        let loads: Vec<Value> = self.servers.iter().enumerate().map(load).collect();
        for steward in 0..STEWARDS {
            let own = (0..SLICES).filter(|slice| self.slices[*slice].steward == steward);
            let demand = |slice| json!({"msg": "SHARD", "range": slice, "lane": "write", "count": 10, "fail": 0, "over": 500.0});
            let reports: Vec<Value> = loads.iter().cloned().chain(own.map(demand)).collect();
            let Some(session) = &mut self.stewards[steward].session else { continue };
            // A report on a server that was never on this steward's list is dropped.
            reports.iter().for_each(|report| _ = session.handle_report(now, report));
        }
        self.after(REPORT_INTERVAL, Event::Reports);
    }
}
