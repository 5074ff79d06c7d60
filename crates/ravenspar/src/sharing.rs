//! The core's part in sharing slices with other stewards: membership, steps of redistribution, hints.

use ravenspar_host::AssignedSlice;
use ravenspar_notes::kind;
use ravenspar_sharing::resting::excluded_members;
use ravenspar_sharing::Step;
use ravenspar_steward::{Time, SECOND};

use crate::failpoint::{Failpoint, Point};
use crate::recorder::RecordUpdate;
use crate::shared::{history_error, Event, Origin, EARLY_EXPIRY_GRACE};
use crate::state::{Core, End};

/// How long a leaving steward waits for its duties to be handed over: the time of some calls to the store.
const DUTY_HANDOVER_TIMEOUT: Time = 2 * SECOND;

impl Core<'_> {
    /// Handles a request to shut down. Returns true if the process may end at once; a steward that shares hands over its
    /// slices first.
    pub fn begin_shutdown(&mut self) -> bool {
        let now = self.clock.now();
        let Some(shared) = self.shared.as_mut().filter(|shared| !shared.session.fleet.is_leaving()) else {
            return true;
        };
        tracing::info!(slices = shared.session.fleet.count(), "leaving");
        shared.session.fleet.leave(now);
        shared.session.announce_leaving();
        self.send_hint(kind::STORE_CHANGED, u64::MAX);
        false
    }

    /// Handles an event of the store or of a step. Returns why the membership has ended, if it has.
    pub fn handle_sharing_event(&mut self, event: Event) -> Option<String> {
        let now = self.clock.now();
        let shared = self.shared.as_mut()?;
        let fleet = &mut shared.session.fleet;
        match event {
            Event::Snapshot(snapshot) => {
                if let Some(why) = history_error(&snapshot, shared.seen) {
                    return Some(why);
                }
                for key in &snapshot.undecodable {
                    tracing::error!(%key, "a key of the shared store can't be read and is left alone");
                }
                if std::mem::take(&mut shared.store_unavailable) {
                    tracing::info!("the store answers again");
                }
                shared.seen = Some((snapshot.cluster, snapshot.revision));
                snapshot
                    .assignments
                    .iter()
                    .for_each(|&(slice, incarnation, term)| fleet.set_assignment(slice, incarnation, term));
                shared.names = snapshot.members.iter().map(|(_, member)| member.name.clone()).collect();
                let members =
                    snapshot.members.iter().map(|(incarnation, m)| (*incarnation, m.leaving, m.resting));
                let members = excluded_members(&members.collect::<Vec<_>>());
                fleet.members(&members);
                if members.len() < std::mem::replace(&mut shared.members, members.len()) {
                    shared.session.poll_normally();
                }
            }
            Event::StoreUnavailable(why) => {
                if !std::mem::replace(&mut shared.store_unavailable, true) {
                    tracing::warn!(%why, "the store does not answer");
                }
            }
            Event::Renewed(sent) => shared.session.renewed(sent),
            Event::Assigned { slices, mut rows, origin } => {
                let echoed_until = match origin {
                    Origin::Unassigned => None,
                    Origin::HandedOver => Some(now),
                    Origin::Expired => Some(now + EARLY_EXPIRY_GRACE),
                };
                fleet.served(&slices);
                rows.sort_by_key(|row| row.slice);
                let assigned = slices.into_iter().map(|(slice, term)| {
                    let row = rows
                        .binary_search_by_key(&(slice as u32), |row| row.slice)
                        .ok()
                        .map(|index| &rows[index]);
                    let owner =
                        row.and_then(|row| Some((row.owner.clone()?, row.weight as f64 / 1e6, row.boot)));
                    AssignedSlice { slice, term, echoed_until, owner }
                });
                shared.new_assignments.add(now, assigned);
            }
            Event::HandedOver { slices, to, term } => {
                tracing::info!(slices = slices.len(), to = %format_args!("{to:016x}"), term, "gave slices");
                fleet.handed_over(&slices, to, term);
                self.send_hint(kind::STORE_CHANGED, term);
            }
            Event::StepDone => {
                shared.new_assignments.complete();
                fleet.done();
            }
            Event::Terminated(why) => return Some(why),
        }
        None
    }

    /// Handles a change of the view. It decides nothing; at most the store is polled more often.
    pub fn view_changed(&mut self) {
        let Some(fleet) = &mut self.process.fleet else { return };
        let view = fleet.view.borrow_and_update().clone();
        // A steward that receives nothing can't tell which members are gone.
        if view.cut_off {
            return;
        }
        let before = std::mem::replace(&mut self.members, view.members);
        let in_store = |name: &str| self.shared.as_ref().is_some_and(|shared| shared.names.contains(name));
        // A steward may have different names in the view and in the store; then the store's names tell nothing here.
        let names_match = before.iter().any(|(name, _)| in_store(name));
        let went = before.iter().filter(|member| !self.members.contains(member));
        let went = went.map(|(name, _)| name.clone());
        // A member that is gone from the store already has left in order, and there is nothing to take over.
        let went: Vec<String> = went.filter(|name| !names_match || in_store(name)).collect();
        if let Some(shared) = self.shared.as_ref().filter(|_| !went.is_empty()) {
            tracing::debug!(?went, "members have gone from the view, the store is polled more often");
            shared.session.poll_often(self.clock.now());
        }
    }

    /// Sends a hint to the other stewards, if this one shares and has a view.
    pub fn send_hint(&self, kind: u8, number: u64) {
        if let Some(fleet) = self.process.fleet.as_ref().filter(|_| self.shared.is_some()) {
            fleet.hint(kind, number);
        }
    }

    /// Marks this steward in the store as resting, or no longer so. It rests while it reaches too few of the forwarders
    /// that others reach, or runs too slowly, so that its slices are better served by others.
    pub fn update_resting(&mut self, own: u32, others: Option<&[u32]>) {
        let now = self.clock.now();
        let slow = self.pace.record_wakeup(now);
        let Some(shared) = self.shared.as_mut() else { return };
        let resting = shared.rest_detector.update(now, own, others) || slow;
        if resting != std::mem::replace(&mut shared.resting, resting) {
            tracing::warn!(resting, own, ?others, slow, "forwarders reached here and by the others");
            shared.session.announce_resting(resting);
        }
    }

    /// Updates the number of stewards that decisions divide by: it follows the view while view and store show the same
    /// number.
    pub fn update_steward_count(&mut self, in_view: Option<usize>) {
        let now = self.clock.now();
        let Some((steward_count, live)) = &mut self.process.steward_count else { return };
        let in_store =
            self.shared.as_ref().filter(|shared| !shared.store_unavailable).map(|shared| shared.members);
        let (before, count) = (live.get(), steward_count.update(now, in_view, in_store));
        if before != count as f64 {
            tracing::info!(before, count, "stewards that the decisions divide by");
            live.set(count as f64);
        }
    }

    /// Handles another steward's hint: polls the store, or reads the list.
    pub fn handle_hint(&mut self, kind: u8, number: u64) {
        let Some(shared) = &self.shared else { return };
        match kind {
            // A revision that was seen already needs no poll.
            kind::STORE_CHANGED if shared.seen.is_none_or(|(_, seen)| seen < number) => {
                shared.session.poll_now()
            }
            kind::SERVER_LIST_CHANGED => self.process.refresh_list.notify_one(),
            _ => {}
        }
    }

    /// Renews the membership, announces new assignments, and takes the next step towards even shares. Returns how the
    /// incarnation ends, if it does.
    pub fn advance_sharing(&mut self) -> Option<End> {
        let now = self.clock.now();
        let shared = self.shared.as_mut()?;
        if !shared.session.membership.holds(now) {
            return Some(End::MembershipEnded("the membership could not be renewed in time".to_owned()));
        }
        if now >= shared.session.membership.renew_at() {
            shared.session.renew(now);
            Failpoint::hit(&mut self.process.failpoint, Point::Renew);
        }
        if now >= shared.seen_recorded_at + 10 * SECOND {
            shared.seen_recorded_at = now;
            if let Some((cluster, revision)) = shared.seen {
                self.process.embedded.write(RecordUpdate::Seen(cluster, revision));
            }
        }
        if let Some(assigned) = shared.new_assignments.take_ready(now, self.host.spare_lines()) {
            tracing::info!(
                slices = assigned.len(),
                taken_over = assigned[0].echoed_until.is_some(),
                "in charge of slices"
            );
            self.host.assign(now, &assigned);
        }
        if let Some((ticket, step)) = shared.pending_step.take() {
            if ticket > shared.session.recorder.durable() {
                shared.pending_step = Some((ticket, step));
            } else {
                shared.session.execute(step);
            }
        }
        if !shared.new_assignments.is_empty() && now < shared.session.fleet.gives_up_at() {
            return None;
        }
        let host = &self.host;
        match shared.session.fleet.next(now, |slice| host.is_at_rest(slice))? {
            // The hand-over of a duty gets limited time; a duty that can't be handed over is free once the membership ends.
            Step::Left
                if !shared.session.has_no_duty()
                    && now
                        < shared
                            .unassigned_since
                            .get_or_insert(now)
                            .saturating_add(DUTY_HANDOVER_TIMEOUT) =>
            {
                None
            }
            Step::Left => {
                tracing::info!(
                    slices = shared.session.fleet.count(),
                    "left; what it still has is taken over"
                );
                Some(End::Stopped)
            }
            Step::Lost => {
                Some(End::MembershipEnded("another steward is in charge of what this one was".to_owned()))
            }
            Step::HandOver { slices, to } => {
                let leaving: Vec<usize> = slices.iter().map(|&(slice, _)| slice).collect();
                self.host.release(&leaving);
                // Decisions about these slices are recorded first.
                shared.pending_step = Some((self.stats.last_ticket, Step::HandOver { slices, to }));
                self.advance_sharing()
            }
            step => {
                if matches!(step, Step::TakeOver { .. }) {
                    Failpoint::hit(&mut self.process.failpoint, Point::Take);
                }
                shared.session.execute(step);
                None
            }
        }
    }
}
