//! The events of the model: which can happen next, and what each does.

use std::collections::{BTreeSet, VecDeque};

use ravenspar_sharing::useful::{dealt_nothing, MemberState};
use ravenspar_sharing::Step;

use super::world::{life, Asked, Event, Held, Message, Server, Without, World, FORWARDERS, SLICES, STEWARDS};

impl World {
    pub(super) fn send(&mut self, steward: usize, message: &Message) {
        self.streams[steward].iter_mut().flatten().for_each(|stream| stream.push_back(message.clone()));
    }

    /// All that can happen next.
    pub(super) fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for s in 0..STEWARDS {
            let steward = &self.stewards[s];
            if self.members.contains(&s) {
                events.push(if steward.over { Event::Expire(s) } else { Event::Over(s) });
            }
            match &steward.asked {
                // What was asked for may be carried out however long its steward is gone.
                Some((_, None)) => events.push(Event::Store(s)),
                Some((_, Some(_))) if !steward.over => events.push(Event::Hear(s)),
                None if !steward.over => {
                    events.extend([Event::Look(s), Event::Act(s)]);
                    let lies = (1..1 << STEWARDS).filter(|_| self.lies);
                    events.extend(lies.map(|resting| Event::Believe(s, resting)));
                }
                _ => {}
            }
            for slice in 0..SLICES {
                if let Some((_, owner, waits)) = &steward.serves[slice] {
                    if !steward.over && steward.asked.is_none() {
                        events.push(match (owner, waits.is_empty()) {
                            (Some(_), _) => Event::Revoke(s, slice),
                            (None, true) => Event::Grant(s, slice),
                            (None, false) => {
                                events.extend(
                                    waits
                                        .iter()
                                        .filter(|&&f| self.has_waited(s, slice, f))
                                        .map(|&f| Event::Waited(s, slice, f)),
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
                        // Not echoed before it has heard of what was left.
                        let left = self.without != Without::Hearing
                            && stream.iter().any(|message| matches!(message, Message::Left(_)));
                        if self.joined[s][f] && !steward.over && !left && !self.leases[s][f] {
                            events.push(Event::Echo(s, f));
                        }
                        events.push(Event::Cut(s, f));
                    }
                    None => {
                        if !steward.over {
                            events.push(Event::Rejoin(s, f));
                        }
                    }
                }
                // It pings and is echoed as long as there is a stream; without one its lease ends.
                if self.leases[s][f] && (self.streams[s][f].is_none() || steward.over) {
                    events.push(Event::LeaseOver(s, f));
                }
            }
        }
        for f in 0..FORWARDERS {
            let left = (0..SLICES).filter(|&slice| self.held[f][slice].left == Some(true));
            events.extend(left.map(|slice| Event::LeftOver(f, slice)));
        }
        events
    }

    pub(super) fn happen(&mut self, event: &Event) {
        match *event {
            Event::Look(_) | Event::Believe(..) => {
                let (s, resting) = match *event {
                    Event::Believe(s, resting) => (s, resting),
                    Event::Look(s) => (s, 0),
                    _ => return,
                };
                let rests = |m: usize| resting >> m & 1 == 1;
                let members: Vec<MemberState> =
                    self.members.iter().map(|&m| (life(m), false, rests(m))).collect();
                let members = dealt_nothing(&members);
                let fleet = &mut self.stewards[s].fleet;
                for (slice, (steward, term)) in self.charge.iter().enumerate() {
                    fleet.charge(slice, life(*steward), *term);
                }
                fleet.members(&members);
            }
            Event::Act(s) => match self.stewards[s].fleet.next(0, |_| true) {
                Some(Step::Lost) => self.stewards[s].over = true,
                Some(Step::Give { slices, to }) => {
                    for &(slice, _) in &slices {
                        self.stewards[s].serves[slice] = None;
                        self.send(s, &Message::Left(slice));
                    }
                    self.stewards[s].asked = Some((Asked::Step(Step::Give { slices, to }), None));
                }
                Some(step) => self.stewards[s].asked = Some((Asked::Step(step), None)),
                None => {}
            },
            Event::Store(s) => self.carry_out(s),
            Event::Hear(s) => self.hear(s),
            Event::Revoke(s, slice) => {
                if let Some((term, owner, waits)) = &mut self.stewards[s].serves[slice] {
                    (*owner, *waits) = (None, (0..FORWARDERS).collect());
                    let asked = Asked::Line(slice, *term, None);
                    self.stewards[s].asked = Some((asked, None));
                }
            }
            Event::Grant(s, slice) => {
                if let Some((term, _, _)) = self.stewards[s].serves[slice] {
                    // Another than the last, so that a stale writer shows.
                    let server = (term % 2) as Server + 1;
                    self.stewards[s].asked = Some((Asked::Line(slice, term, Some(server)), None));
                }
            }
            Event::Waited(s, slice, f) => {
                if let Some((_, _, waits)) = &mut self.stewards[s].serves[slice] {
                    waits.remove(&f);
                }
            }
            Event::Deliver(s, f) => self.deliver(s, f),
            Event::Echo(s, f) => self.leases[s][f] = true,
            Event::Cut(s, f) => (self.streams[s][f], self.joined[s][f]) = (None, false),
            Event::Rejoin(s, f) => {
                let all: Vec<Message> = (0..SLICES)
                    .filter_map(|slice| {
                        let (term, owner, _) = self.stewards[s].serves[slice].as_ref()?;
                        Some(Message::Charge(slice, *term, *owner))
                    })
                    .collect();
                // The whole table: what is not in it has been left.
                for slice in 0..SLICES {
                    let lease = self.leases[s][f];
                    let held = &mut self.held[f][slice];
                    let told =
                        all.iter().any(|message| matches!(message, Message::Charge(of, ..) if *of == slice));
                    if held.steward == s && !told {
                        held.left.get_or_insert(lease);
                    }
                }
                self.joined[s][f] = all.is_empty();
                self.streams[s][f] = Some(all.into());
            }
            Event::LeaseOver(s, f) => self.leases[s][f] = false,
            Event::LeftOver(f, slice) => self.held[f][slice].left = Some(false),
            Event::Over(s) => self.stewards[s].over = true,
            Event::Expire(s) => _ = self.members.remove(&s),
        }
    }

    /// The store's part: all or nothing, on condition of the asker's membership and what it compares.
    pub(super) fn carry_out(&mut self, s: usize) {
        let Some((asked, _)) = self.stewards[s].asked.clone() else { return };
        let mut done = 0;
        if self.members.contains(&s) || self.without == Without::Compare {
            let revision = self.revision + 1;
            let at = |slices: &[(usize, u64)], charge: &[(usize, u64); SLICES]| {
                slices.iter().all(|&(slice, term)| charge[slice].1 == term)
            };
            match &asked {
                Asked::Step(Step::Take { slices, gone }) => {
                    let are_gone = gone.iter().all(|&gone| !self.members.contains(&(gone as usize - 1)));
                    if are_gone && at(slices, &self.charge) {
                        slices.iter().for_each(|&(slice, _)| self.charge[slice] = (s, revision));
                        done = revision;
                    }
                }
                Asked::Step(Step::Give { slices, to }) => {
                    let to = *to as usize - 1;
                    if self.members.contains(&to) && at(slices, &self.charge) {
                        slices.iter().for_each(|&(slice, _)| self.charge[slice] = (to, revision));
                        done = revision;
                    }
                }
                Asked::Step(_) => done = revision,
                &Asked::Line(slice, term, owner) => {
                    if self.charge[slice] == (s, term) || self.without == Without::Compare {
                        self.record[slice] = owner;
                        done = revision;
                    }
                }
            }
            self.revision += u64::from(done > 0);
        }
        self.stewards[s].asked = Some((asked, Some(done)));
    }

    /// The asker learns what came of it, and says what forwarders are to know.
    pub(super) fn hear(&mut self, s: usize) {
        let Some((asked, Some(done))) = self.stewards[s].asked.take() else { return };
        match asked {
            Asked::Step(Step::Take { slices, .. }) if done > 0 => {
                let slices: Vec<_> = slices.iter().map(|&(slice, _)| (slice, done)).collect();
                self.serve(s, &slices);
            }
            Asked::Step(Step::Serve { slices }) => self.serve(s, &slices),
            Asked::Step(Step::Give { slices, to }) if done > 0 => {
                self.stewards[s].fleet.gave(&slices, to, done);
            }
            Asked::Step(_) => {}
            // A line that was not taken in: somebody else is in charge.
            Asked::Line(..) if done == 0 => {
                self.stewards[s].over = true;
                return;
            }
            Asked::Line(slice, term, owner) => {
                if let Some((_, known, _)) = &mut self.stewards[s].serves[slice] {
                    *known = owner;
                }
                self.send(s, &Message::Line(slice, term, owner));
                return;
            }
        }
        self.stewards[s].fleet.done();
    }

    pub(super) fn serve(&mut self, s: usize, slices: &[(usize, u64)]) {
        self.stewards[s].fleet.served(slices);
        for &(slice, term) in slices {
            let owner = self.record[slice];
            // What is on its way is waited for as from the start.
            let waits = if owner.is_none() { (0..FORWARDERS).collect() } else { BTreeSet::new() };
            self.stewards[s].serves[slice] = Some((term, owner, waits));
            self.send(s, &Message::Charge(slice, term, owner));
            if owner.is_none() {
                self.send(s, &Message::Line(slice, term, None));
            }
        }
    }

    pub(super) fn deliver(&mut self, s: usize, f: usize) {
        let Some(message) = self.streams[s][f].as_mut().and_then(VecDeque::pop_front) else { return };
        self.joined[s][f] |= self.streams[s][f].as_ref().is_some_and(VecDeque::is_empty);
        let lease = self.leases[s][f];
        match message {
            Message::Charge(slice, term, owner) => {
                let held = &mut self.held[f][slice];
                if term >= held.term || self.without == Without::Terms {
                    *held = Held { term, steward: s, owner, left: None };
                }
            }
            Message::Line(slice, term, owner) => {
                let held = &mut self.held[f][slice];
                if (held.steward, held.term) == (s, term) || self.without == Without::Terms {
                    (held.owner, held.steward, held.left) =
                        (owner, s, held.left.filter(|_| held.steward == s));
                }
                // Applied or refused for a higher term: either way it writes to no earlier owner by this steward.
                if owner.is_none() && !self.stewards[s].over {
                    if let Some((_, None, waits)) = &mut self.stewards[s].serves[slice] {
                        waits.remove(&f);
                    }
                }
            }
            Message::Left(slice) => {
                let held = &mut self.held[f][slice];
                if held.steward == s {
                    held.left.get_or_insert(lease);
                }
            }
        }
    }
}
