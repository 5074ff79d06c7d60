//! The events of the model: which are possible in a state, and their effects.

use std::collections::{BTreeSet, VecDeque};

use ravenspar_sharing::resting::{excluded_members, MemberState};
use ravenspar_sharing::Step;

use super::world::{
    incarnation, Event, Message, Removed, Request, Route, Server, World, FORWARDERS, SLICES, STEWARDS,
};

impl World {
    /// Queues a message from a steward on all its streams.
    pub(super) fn send(&mut self, steward: usize, message: &Message) {
        self.streams[steward].iter_mut().flatten().for_each(|stream| stream.push_back(message.clone()));
    }

    /// Returns the possible next events.
    pub(super) fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for s in 0..STEWARDS {
            let steward = &self.stewards[s];
            if self.members.contains(&s) {
                events.push(if steward.stopped {
                    Event::MembershipExpiresAtStore(s)
                } else {
                    Event::MembershipExpires(s)
                });
            }
            match &steward.request {
                // A request may be executed however long its steward has been gone.
                Some((_, None)) => events.push(Event::ExecuteRequest(s)),
                Some((_, Some(_))) if !steward.stopped => events.push(Event::ReceiveOutcome(s)),
                None if !steward.stopped => {
                    events.extend([Event::ReadStore(s), Event::TakeStep(s)]);
                    let false_hints = (1..1 << STEWARDS).filter(|_| self.false_hints);
                    events.extend(false_hints.map(|resting| Event::ReadFalseHints(s, resting)));
                }
                _ => {}
            }
            for slice in 0..SLICES {
                if let Some((_, owner, unanswered)) = &steward.serves[slice] {
                    if !steward.stopped && steward.request.is_none() {
                        events.push(match (owner, unanswered.is_empty()) {
                            (Some(_), _) => Event::Revoke(s, slice),
                            (None, true) => Event::Grant(s, slice),
                            (None, false) => {
                                events.extend(
                                    unanswered
                                        .iter()
                                        .filter(|&&f| self.lease_has_passed(s, slice, f))
                                        .map(|&f| Event::LeasePassed(s, slice, f)),
                                );
                                continue;
                            }
                        });
                    }
                }
            }
            for f in 0..FORWARDERS {
                match &self.streams[s][f] {
                    Some(stream) => {
                        if !stream.is_empty() {
                            events.push(Event::Deliver(s, f));
                        }
                        // Not echoed before it has received all releases.
                        let release_pending = self.removed != Removed::ReleasesFirst
                            && stream.iter().any(|message| matches!(message, Message::Released(_)));
                        if self.joined[s][f] && !steward.stopped && !release_pending && !self.leases[s][f] {
                            events.push(Event::Echo(s, f));
                        }
                        events.push(Event::Cut(s, f));
                    }
                    None => {
                        if !steward.stopped {
                            events.push(Event::Rejoin(s, f));
                        }
                    }
                }
                // The forwarder is echoed as long as there is a stream; without one its lease can expire.
                if self.leases[s][f] && (self.streams[s][f].is_none() || steward.stopped) {
                    events.push(Event::LeaseExpires(s, f));
                }
            }
        }
        for f in 0..FORWARDERS {
            let released = (0..SLICES).filter(|&slice| self.routes[f][slice].released_lease == Some(true));
            events.extend(released.map(|slice| Event::ReleasedLeaseExpires(f, slice)));
        }
        events
    }

    /// Applies one event.
    pub(super) fn apply(&mut self, event: &Event) {
        match *event {
            Event::ReadStore(_) | Event::ReadFalseHints(..) => {
                let (s, resting) = match *event {
                    Event::ReadFalseHints(s, resting) => (s, resting),
                    Event::ReadStore(s) => (s, 0),
                    _ => return,
                };
                let rests = |m: usize| resting >> m & 1 == 1;
                let members: Vec<MemberState> =
                    self.members.iter().map(|&m| (incarnation(m), false, rests(m))).collect();
                let members = excluded_members(&members);
                let fleet = &mut self.stewards[s].fleet;
                for (slice, (steward, term)) in self.assignments.iter().enumerate() {
                    fleet.set_assignment(slice, incarnation(*steward), *term);
                }
                fleet.members(&members);
            }
            Event::TakeStep(s) => match self.stewards[s].fleet.next(0, |_| true) {
                Some(Step::Lost) => self.stewards[s].stopped = true,
                Some(Step::HandOver { slices, to }) => {
                    for &(slice, _) in &slices {
                        self.stewards[s].serves[slice] = None;
                        self.send(s, &Message::Released(slice));
                    }
                    self.stewards[s].request = Some((Request::Step(Step::HandOver { slices, to }), None));
                }
                Some(step) => self.stewards[s].request = Some((Request::Step(step), None)),
                None => {}
            },
            Event::ExecuteRequest(s) => self.execute(s),
            Event::ReceiveOutcome(s) => self.receive_outcome(s),
            Event::Revoke(s, slice) => {
                if let Some((term, owner, unanswered)) = &mut self.stewards[s].serves[slice] {
                    (*owner, *unanswered) = (None, (0..FORWARDERS).collect());
                    let request = Request::Line(slice, *term, None);
                    self.stewards[s].request = Some((request, None));
                }
            }
            Event::Grant(s, slice) => {
                if let Some((term, _, _)) = self.stewards[s].serves[slice] {
                    // Another server than the last one, so that a stale writer is detected.
                    let server = (term % 2) as Server + 1;
                    self.stewards[s].request = Some((Request::Line(slice, term, Some(server)), None));
                }
            }
            Event::LeasePassed(s, slice, f) => {
                if let Some((_, _, unanswered)) = &mut self.stewards[s].serves[slice] {
                    unanswered.remove(&f);
                }
            }
            Event::Deliver(s, f) => self.deliver(s, f),
            Event::Echo(s, f) => self.leases[s][f] = true,
            Event::Cut(s, f) => (self.streams[s][f], self.joined[s][f]) = (None, false),
            Event::Rejoin(s, f) => {
                let all: Vec<Message> = (0..SLICES)
                    .filter_map(|slice| {
                        let (term, owner, _) = self.stewards[s].serves[slice].as_ref()?;
                        Some(Message::Assigned(slice, *term, *owner))
                    })
                    .collect();
                // The whole table: slices that are not in it have been released.
                for slice in 0..SLICES {
                    let lease = self.leases[s][f];
                    let route = &mut self.routes[f][slice];
                    let is_assigned = all
                        .iter()
                        .any(|message| matches!(message, Message::Assigned(of, ..) if *of == slice));
                    if route.steward == s && !is_assigned {
                        route.released_lease.get_or_insert(lease);
                    }
                }
                self.joined[s][f] = all.is_empty();
                self.streams[s][f] = Some(all.into());
            }
            Event::LeaseExpires(s, f) => self.leases[s][f] = false,
            Event::ReleasedLeaseExpires(f, slice) => self.routes[f][slice].released_lease = Some(false),
            Event::MembershipExpires(s) => self.stewards[s].stopped = true,
            Event::MembershipExpiresAtStore(s) => _ = self.members.remove(&s),
        }
    }

    /// The store executes a steward's request atomically, if the steward is a member and the compared terms match.
    pub(super) fn execute(&mut self, s: usize) {
        let Some((request, _)) = self.stewards[s].request.clone() else { return };
        let mut revision_written = 0;
        if self.members.contains(&s) || self.removed == Removed::TermComparison {
            let revision = self.revision + 1;
            let at = |slices: &[(usize, u64)], assignments: &[(usize, u64); SLICES]| {
                slices.iter().all(|&(slice, term)| assignments[slice].1 == term)
            };
            match &request {
                Request::Step(Step::TakeOver { slices, gone }) => {
                    let are_gone = gone.iter().all(|&gone| !self.members.contains(&(gone as usize - 1)));
                    if are_gone && at(slices, &self.assignments) {
                        slices.iter().for_each(|&(slice, _)| self.assignments[slice] = (s, revision));
                        revision_written = revision;
                    }
                }
                Request::Step(Step::HandOver { slices, to }) => {
                    let to = *to as usize - 1;
                    if self.members.contains(&to) && at(slices, &self.assignments) {
                        slices.iter().for_each(|&(slice, _)| self.assignments[slice] = (to, revision));
                        revision_written = revision;
                    }
                }
                Request::Step(_) => revision_written = revision,
                &Request::Line(slice, term, owner) => {
                    if self.assignments[slice] == (s, term) || self.removed == Removed::TermComparison {
                        self.record[slice] = owner;
                        revision_written = revision;
                    }
                }
            }
            self.revision += u64::from(revision_written > 0);
        }
        self.stewards[s].request = Some((request, Some(revision_written)));
    }

    /// A steward receives the outcome of its request and notifies forwarders.
    pub(super) fn receive_outcome(&mut self, s: usize) {
        let Some((request, Some(revision_written))) = self.stewards[s].request.take() else { return };
        match request {
            Request::Step(Step::TakeOver { slices, .. }) if revision_written > 0 => {
                let slices: Vec<_> = slices.iter().map(|&(slice, _)| (slice, revision_written)).collect();
                self.serve(s, &slices);
            }
            Request::Step(Step::Serve { slices }) => self.serve(s, &slices),
            Request::Step(Step::HandOver { slices, to }) if revision_written > 0 => {
                self.stewards[s].fleet.handed_over(&slices, to, revision_written);
            }
            Request::Step(_) => {}
            // The line was refused: the slice is assigned to another steward.
            Request::Line(..) if revision_written == 0 => {
                self.stewards[s].stopped = true;
                return;
            }
            Request::Line(slice, term, owner) => {
                if let Some((_, known, _)) = &mut self.stewards[s].serves[slice] {
                    *known = owner;
                }
                self.send(s, &Message::Line(slice, term, owner));
                return;
            }
        }
        self.stewards[s].fleet.done();
    }

    /// A steward starts to serve slices and notifies forwarders.
    pub(super) fn serve(&mut self, s: usize, slices: &[(usize, u64)]) {
        self.stewards[s].fleet.served(slices);
        for &(slice, term) in slices {
            let owner = self.record[slice];
            // A moving slice waits for all forwarders again.
            let unanswered = if owner.is_none() { (0..FORWARDERS).collect() } else { BTreeSet::new() };
            self.stewards[s].serves[slice] = Some((term, owner, unanswered));
            self.send(s, &Message::Assigned(slice, term, owner));
            if owner.is_none() {
                self.send(s, &Message::Line(slice, term, None));
            }
        }
    }

    /// A forwarder receives the next message of a stream.
    pub(super) fn deliver(&mut self, s: usize, f: usize) {
        let Some(message) = self.streams[s][f].as_mut().and_then(VecDeque::pop_front) else { return };
        self.joined[s][f] |= self.streams[s][f].as_ref().is_some_and(VecDeque::is_empty);
        let lease = self.leases[s][f];
        match message {
            Message::Assigned(slice, term, owner) => {
                let route = &mut self.routes[f][slice];
                if term >= route.term || self.removed == Removed::Terms {
                    *route = Route { term, steward: s, owner, released_lease: None };
                }
            }
            Message::Line(slice, term, owner) => {
                let route = &mut self.routes[f][slice];
                if (route.steward, route.term) == (s, term) || self.removed == Removed::Terms {
                    (route.owner, route.steward, route.released_lease) =
                        (owner, s, route.released_lease.filter(|_| route.steward == s));
                }
                // Whether applied or refused for a higher term, the forwarder no longer writes to an earlier owner on behalf of
                // this steward.
                if owner.is_none() && !self.stewards[s].stopped {
                    if let Some((_, None, unanswered)) = &mut self.stewards[s].serves[slice] {
                        unanswered.remove(&f);
                    }
                }
            }
            Message::Released(slice) => {
                let route = &mut self.routes[f][slice];
                if route.steward == s {
                    route.released_lease.get_or_insert(lease);
                }
            }
        }
    }
}
