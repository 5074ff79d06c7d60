//! Injection of faults in stewards, slices, streams and servers.

use ravenspar_platform::{Time, SECOND};

use super::*;

/// A fault to inject. Durations are in tenths of a second.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A steward is killed and restarts later without its state. Its slices are assigned to others after `reassign_after`,
    /// and back to it `return_after` after its return.
    Kill { steward: u8, duration: u8, reassign_after: u8, return_after: u8 },
    /// A steward is cut off: its subscription breaks or stalls, calls are lost, its proxies' streams break.
    Cut { steward: u8, duration: u8, reassign_after: u8, return_after: u8, stalled: bool },
    /// Only a steward's subscription is lost.
    Gap { steward: u8, duration: u8, stalled: bool },
    /// The store assigns slices, one bit each, to another steward, and to their usual ones again later.
    Handover { slices: u8, to: u8, duration: u8 },
    /// A stream breaks.
    StreamLost { proxy: u8, steward: u8, duration: u8 },
    /// A steward's calls are not answered, whether applied or not.
    CallsLost { steward: u8, duration: u8, applied: bool },
    /// At its next starts a steward has the first list as stored list, without these servers (one bit each), as from before
    /// they came. It receives the current list after `delay`, in milliseconds.
    StoredListOld { steward: u8, without: u8, delay: u16 },
    /// What a steward's subscription delivers is late by this time, in milliseconds, in its order.
    NotificationsLate { steward: u8, duration: u8, by: u16 },
    /// The listed state of a server changes.
    ListChanged { server: u8, to: Lifecycle },
    /// All tries at a server fail.
    Fails { server: u8, duration: u8 },
    /// A server answers late.
    Strained { server: u8, duration: u8 },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lifecycle {
    Active,
    Leaving,
    Left,
    /// It has just restarted.
    Restarted,
}

pub(super) fn tenths(duration: u8) -> Time {
    Time::from(duration) * SECOND / 10
}

impl Fault {
    /// How long after its start notifications may be late.
    pub fn lateness(&self) -> Time {
        match *self {
            Fault::NotificationsLate { duration, by, .. } => tenths(duration) + Time::from(by) * MILLISECOND,
            _ => 0,
        }
    }
}

impl World {
    pub(super) fn inject(&mut self, fault: Fault) {
        self.trace(|| format!("{fault:?}"));
        match fault {
            Fault::Kill { steward, duration, reassign_after, return_after } => {
                let steward = usize::from(steward) % STEWARDS;
                if self.stewards[steward].session.take().is_some() {
                    let entry = &mut self.stewards[steward];
                    (entry.incarnation, entry.subscribed, entry.call) = (entry.incarnation + 1, false, None);
                    let incarnation = entry.incarnation;
                    self.break_streams(steward, tenths(duration));
                    self.after(tenths(duration), Event::Start { steward });
                    self.after(tenths(reassign_after), Event::Reassign { steward, incarnation });
                    self.after(tenths(duration) + tenths(return_after), Event::Return { steward });
                }
            }
            Fault::Cut { steward, duration, reassign_after, return_after, stalled } => {
                let steward = usize::from(steward) % STEWARDS;
                let entry = &mut self.stewards[steward];
                entry.cut_until = entry.cut_until.max(self.now + tenths(duration));
                let incarnation = entry.incarnation;
                self.break_subscription(steward, stalled);
                self.break_streams(steward, tenths(duration));
                self.after(tenths(reassign_after), Event::Reassign { steward, incarnation });
                self.after(tenths(duration) + tenths(return_after), Event::Return { steward });
            }
            Fault::Gap { steward, duration, stalled } => {
                let steward = usize::from(steward) % STEWARDS;
                let entry = &mut self.stewards[steward];
                entry.gap_until = entry.gap_until.max(self.now + tenths(duration));
                self.break_subscription(steward, stalled);
            }
            Fault::Handover { slices, to, duration } => {
                for slice in (0..SLICES).filter(|slice| slices & (1 << slice) != 0) {
                    self.hand_over(slice, usize::from(to) % STEWARDS);
                    self.after(tenths(duration), Event::Handover { slice, to: slice % STEWARDS });
                }
            }
            Fault::StreamLost { proxy, steward, duration } => {
                let (proxy, steward) = (usize::from(proxy) % PROXIES, usize::from(steward) % STEWARDS);
                self.break_stream(proxy, steward, tenths(duration));
            }
            Fault::CallsLost { steward, duration, applied } => {
                let entry = &mut self.stewards[usize::from(steward) % STEWARDS];
                entry.calls_lost_until = self.now + tenths(duration);
                entry.lost_calls_applied = applied;
            }
            Fault::StoredListOld { steward, without, delay } => {
                let entry = &mut self.stewards[usize::from(steward) % STEWARDS];
                entry.stored_list_without = Some(without);
                entry.list_delay = Time::from(delay) * MILLISECOND;
            }
            Fault::NotificationsLate { steward, duration, by } => {
                let entry = &mut self.stewards[usize::from(steward) % STEWARDS];
                (entry.late_until, entry.late_by) =
                    (self.now + tenths(duration), Time::from(by) * MILLISECOND);
            }
            Fault::ListChanged { server, to } => {
                let server = &mut self.servers[usize::from(server) % SERVERS];
                let is_back = matches!(server.lifecycle, Lifecycle::Left) && to == Lifecycle::Active;
                if is_back || to == Lifecycle::Restarted {
                    server.started = self.now;
                }
                server.lifecycle = if to == Lifecycle::Restarted { Lifecycle::Active } else { to };
                self.publish_list();
            }
            Fault::Fails { server, duration } => {
                self.servers[usize::from(server) % SERVERS].fails_until = self.now + tenths(duration);
            }
            Fault::Strained { server, duration } => {
                self.servers[usize::from(server) % SERVERS].strained_until = self.now + tenths(duration);
            }
        }
    }
}
