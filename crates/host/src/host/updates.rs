//! Updates: all decisions of one moment, recorded and then published to the proxies.

use ravenspar_protocol::Frame;
use ravenspar_steward::{Order, Time, FULL_WEIGHT};

use super::Host;
use crate::proxy::NEVER;
use crate::table::Change;
use crate::Output;

impl Host {
    /// Pulls the steward's pending decisions and makes one update of them.
    pub(super) fn update(&mut self, now: Time) {
        let (mut changes, mut epoch) = (Vec::new(), None);
        // Frames are handled as they are read, so all answers up to now are known.
        self.steward.notification_received(now);
        while let Some(order) = self.steward.next_order(now) {
            match order {
                Order::SetLine { slice, server } => {
                    changes.push(Change::Route { slice, server, weight: FULL_WEIGHT });
                }
                Order::DropLines { slice } => changes.push(Change::Drop { slice }),
                Order::SetLevel { slice, kinds, share } => {
                    changes.push(Change::AdmissionRatio { slice, kinds, share })
                }
                Order::Withdraw { server, out } => changes.push(Change::Withdraw { server, out }),
                Order::Mark { number } => {
                    // Epochs are sent in full; the steward's numbers are their low 16 bits.
                    self.epoch += u64::from(number.wrapping_sub(self.epoch as u16));
                    epoch = Some(self.epoch);
                }
                Order::SubscribeList => self.outputs.push_back(Output::Watch),
                Order::Remind { at } => _ = self.reminders.insert(at),
            }
        }
        if changes.is_empty() && epoch.is_none() {
            return;
        }
        let record: Vec<_> = changes
            .iter()
            .filter_map(|change| match *change {
                Change::Route { slice, server, weight } => Some((slice, Some(server), weight)),
                Change::Drop { slice } => Some((slice, None, 0.0)),
                _ => None,
            })
            .collect();
        for (slice, owner, _) in &record {
            // Proxies may hold leases of the previous steward, and so may an earlier incarnation of a proxy that this
            // host knows nothing of.
            if owner.is_none() && self.taken_over[*slice] != NEVER {
                self.answers_count_from =
                    self.answers_count_from.max(self.taken_over[*slice] + self.limits.lease);
            }
        }
        let mut fields = Frame::fields();
        changes.iter().for_each(|change| change.write(&self.servers, &mut fields));
        // An epoch costs one line too.
        let cost = self.limits.message_overhead + changes.len() as u64 + u64::from(epoch.is_some());
        let update = self.channel.push(fields.finish(), changes, cost, epoch, self.followers);
        self.updates += 1;
        self.unrecorded.push_back((update, !record.is_empty()));
        if !record.is_empty() {
            self.outputs.push_back(Output::Record { ticket: update, epoch: self.epoch, routes: record });
        }
        self.publish_durable();
    }

    /// Handles the report that all routes up to this ticket are durable.
    pub fn recorded(&mut self, ticket: u64) {
        for (update, waits) in &mut self.unrecorded {
            *waits &= *update > ticket;
        }
        self.publish_durable();
    }

    /// Applies, in order, every update that no longer waits for its routes to be recorded, and queues the proxies.
    pub(crate) fn publish_durable(&mut self) {
        let mut shown = false;
        while let Some((update, _)) = self.unrecorded.front().copied().filter(|(_, waits)| !waits) {
            self.unrecorded.pop_front();
            self.channel.mark_durable(update, |change| self.table.apply(change));
            shown = true;
        }
        if shown {
            for (number, entry) in self.proxies.iter_mut().enumerate() {
                if entry.stream.is_some() {
                    self.channel.enqueue(number, &mut entry.position);
                }
            }
        }
    }
}
