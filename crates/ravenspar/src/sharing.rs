//! What the core of a steward among others does beside its host: membership, steps, hints.

use ravenspar_host::Charged;
use ravenspar_notes::kind;
use ravenspar_sharing::useful::dealt_nothing;
use ravenspar_sharing::Step;
use ravenspar_steward::{Time, SECOND};

use crate::failpoint::{Halt, Point};
use crate::recorder::Batch;
use crate::shared::{backward, Event, From, EARLY};
use crate::state::{Core, End};

/// How long one that leaves waits for its duties to be given: some calls at the store.
const GIVE: Time = 2 * SECOND;

impl Core<'_> {
    /// Whether the process is to end at once: one that shares gives its slices away first.
    pub fn stop(&mut self) -> bool {
        let now = self.clock.now();
        let Some(shared) = self.shared.as_mut().filter(|shared| !shared.life.fleet.is_leaving()) else {
            return true;
        };
        tracing::info!(slices = shared.life.fleet.count(), "leaving");
        shared.life.fleet.leave(now);
        shared.life.say_leaving();
        self.give_hint(kind::LOOK, u64::MAX);
        false
    }

    /// What the store or a step says. Returns why this life is over, if it is.
    pub fn event(&mut self, event: Event) -> Option<String> {
        let now = self.clock.now();
        let shared = self.shared.as_mut()?;
        let fleet = &mut shared.life.fleet;
        match event {
            Event::Snapshot(said) => {
                if let Some(why) = backward(&said, shared.seen) {
                    return Some(why);
                }
                for key in &said.unread {
                    tracing::error!(%key, "a key of the shared store can't be read and is left alone");
                }
                if std::mem::take(&mut shared.away) {
                    tracing::info!("the store answers again");
                }
                shared.seen = Some((said.cluster, said.revision));
                said.charges.iter().for_each(|&(slice, life, term)| fleet.charge(slice, life, term));
                shared.names = said.members.iter().map(|(_, member)| member.name.clone()).collect();
                let members = said.members.iter().map(|(life, m)| (*life, m.leaving, m.resting));
                let members = dealt_nothing(&members.collect::<Vec<_>>());
                fleet.members(&members);
                if members.len() < std::mem::replace(&mut shared.members, members.len()) {
                    shared.life.look_as_usual();
                }
            }
            Event::Away(why) => {
                if !std::mem::replace(&mut shared.away, true) {
                    tracing::warn!(%why, "the store does not answer");
                }
            }
            Event::Renewed(sent) => shared.life.renewed(sent),
            Event::Serves { slices, mut rows, from } => {
                let echoed_until = match from {
                    From::Nobody => None,
                    From::Given => Some(now),
                    From::Gone => Some(now + EARLY),
                };
                fleet.served(&slices);
                rows.sort_by_key(|row| row.slice);
                let charged = slices.into_iter().map(|(slice, term)| {
                    let row =
                        rows.binary_search_by_key(&(slice as u32), |row| row.slice).ok().map(|at| &rows[at]);
                    let owner =
                        row.and_then(|row| Some((row.owner.clone()?, row.weight as f64 / 1e6, row.boot)));
                    Charged { slice, term, echoed_until, owner }
                });
                shared.arrived.add(now, charged);
            }
            Event::Gave { slices, to, term } => {
                tracing::info!(slices = slices.len(), to = %format_args!("{to:016x}"), term, "gave slices");
                fleet.gave(&slices, to, term);
                self.give_hint(kind::LOOK, term);
            }
            Event::Done => {
                shared.arrived.complete();
                fleet.done();
            }
            Event::Over(why) => return Some(why),
        }
        None
    }

    /// The view of the fleet is another. It never says more than that a look at the store is worth while.
    pub fn view_changed(&mut self) {
        let Some(fleet) = &mut self.door.fleet else { return };
        let shown = fleet.shown.borrow_and_update().clone();
        // One that hears from nobody knows nothing of who is gone.
        if shown.cut_off {
            return;
        }
        let before = std::mem::replace(&mut self.members, shown.members);
        let still_there = |name: &str| self.shared.as_ref().is_some_and(|shared| shared.names.contains(name));
        // A steward may have another name in the view than at the store: then nothing is known of it there.
        let one_name = before.iter().any(|(name, _)| still_there(name));
        let went = before.iter().filter(|member| !self.members.contains(member));
        let went = went.map(|(name, _)| name.clone());
        // One that the store has let go already, as it left in order, leaves nothing to wait for.
        let went: Vec<String> = went.filter(|name| !one_name || still_there(name)).collect();
        if let Some(shared) = self.shared.as_ref().filter(|_| !went.is_empty()) {
            tracing::debug!(?went, "the store is looked at often");
            shared.life.look_often(self.clock.now());
        }
    }

    /// Tells the other stewards something that may be of use to them.
    pub fn give_hint(&self, kind: u8, number: u64) {
        if let Some(fleet) = self.door.fleet.as_ref().filter(|_| self.shared.is_some()) {
            fleet.hint(kind, number);
        }
    }

    /// Says in the store whether this steward rests: it reaches so few of the forwarders that others reach, or crawls, that
    /// its slices are better off with them.
    pub fn be_of_use(&mut self, own: u32, others: Option<&[u32]>) {
        let now = self.clock.now();
        let slow = self.pace.runs(now);
        let Some(shared) = self.shared.as_mut() else { return };
        let resting = shared.useful.look(now, own, others) || slow;
        if resting != std::mem::replace(&mut shared.resting, resting) {
            tracing::warn!(resting, own, ?others, slow, "forwarders reached here and by the others");
            shared.life.say_resting(resting);
        }
    }

    /// How many stewards the decisions go by follows the view, where it shows as many as the store.
    pub fn count_stewards(&mut self, view: Option<usize>) {
        let now = self.clock.now();
        let Some((counted, live)) = &mut self.door.counted else { return };
        let store = self.shared.as_ref().filter(|shared| !shared.away).map(|shared| shared.members);
        let (before, count) = (live.get(), counted.look(now, view, store));
        if before != count as f64 {
            tracing::info!(before, count, "stewards that the decisions divide by");
            live.set(count as f64);
        }
    }

    /// Another steward says that there is something to be looked at.
    pub fn hint(&mut self, kind: u8, number: u64) {
        let Some(shared) = &self.shared else { return };
        match kind {
            // Only what was not seen yet is worth a look.
            kind::LOOK if shared.seen.is_none_or(|(_, seen)| seen < number) => shared.life.look(),
            kind::LIST => self.door.look.notify_one(),
            _ => {}
        }
    }

    /// Renews the membership, and takes the next step towards even shares. Returns how this life ends, if it does.
    pub fn share(&mut self) -> Option<End> {
        let now = self.clock.now();
        let shared = self.shared.as_mut()?;
        if !shared.life.membership.holds(now) {
            return Some(End::Over("the membership could not be renewed in time".to_owned()));
        }
        if now >= shared.life.membership.renew_at() {
            shared.life.renew(now);
            Halt::meet(&mut self.door.halt, Point::Renew);
        }
        if now >= shared.noted + 10 * SECOND {
            shared.noted = now;
            if let Some((cluster, revision)) = shared.seen {
                self.door.kept.write(Batch::Seen(cluster, revision));
            }
        }
        if let Some(arrived) = shared.arrived.take(now, self.host.room()) {
            tracing::info!(
                slices = arrived.len(),
                taken_over = arrived[0].echoed_until.is_some(),
                "in charge of slices"
            );
            self.host.charged(now, &arrived);
        }
        if let Some((ticket, step)) = shared.waits.take() {
            if ticket > shared.life.recorder.durable() {
                shared.waits = Some((ticket, step));
            } else {
                shared.life.carry_out(step);
            }
        }
        if !shared.arrived.is_empty() && now < shared.life.fleet.gives_up_at() {
            return None;
        }
        let host = &self.host;
        match shared.life.fleet.next(now, |slice| host.is_at_rest(slice))? {
            // A duty is given and not waited for; one that can't be is free once the membership ends.
            Step::Left
                if !shared.life.is_free() && now < shared.left.get_or_insert(now).saturating_add(GIVE) =>
            {
                None
            }
            Step::Left => {
                tracing::info!(slices = shared.life.fleet.count(), "left; what it still has is taken over");
                Some(End::Stopped)
            }
            Step::Lost => Some(End::Over("another steward is in charge of what this one was".to_owned())),
            Step::Give { slices, to } => {
                let left: Vec<usize> = slices.iter().map(|&(slice, _)| slice).collect();
                self.host.left(&left);
                // What was decided on them goes on record first.
                shared.waits = Some((self.ran.ticket, Step::Give { slices, to }));
                self.share()
            }
            step => {
                if matches!(step, Step::Take { .. }) {
                    Halt::meet(&mut self.door.halt, Point::Take);
                }
                shared.life.carry_out(step);
                None
            }
        }
    }
}
