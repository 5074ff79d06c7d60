//! One copy with its state, and the requests that wait for it.

use std::collections::{BTreeMap, VecDeque};

use crate::copy::{Act, Copy, Output, Refused};
use crate::log::{Body, Entry};
use crate::state::{Order, Outcome, Range, State};
use crate::{Id, Index, Message, Term, Time};

/// Of a request, by whoever asks.
pub type Token = u64;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    Order(Order),
    /// Of what is committed at some moment between the request and its answer.
    Read(Vec<Range>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Done(Outcome),
    /// Nothing of it was done, and nothing will be.
    Refused(Refused),
    /// It may have been carried out, or still be.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A [`Act::Save`] is answered by [`Keeper::saved`].
    Act(Act),
    Answer {
        token: Token,
        answer: Answer,
    },
}

const SECOND: Time = 10_000;

/// A lease's end that was put into the log and is not committed is looked at again after this.
const AGAIN: Time = SECOND;

pub struct Keeper {
    pub copy: Copy,
    state: State,
    applied: Index,
    orders: BTreeMap<Index, (Term, Token)>,
    reads: BTreeMap<u64, (Token, Vec<Range>)>,
    /// At a leader: when each lease has run out, by its own clock from when the renewal was committed here. That is later
    /// than when its holder sent it.
    leases: BTreeMap<u64, Time>,
    led: bool,
    /// In the order in which they came about; no more than requests wait.
    answers: VecDeque<Effect>,
}

impl Keeper {
    pub fn new(copy: Copy) -> Keeper {
        Keeper {
            copy,
            state: State::default(),
            applied: 0,
            orders: BTreeMap::new(),
            reads: BTreeMap::new(),
            leases: BTreeMap::new(),
            led: false,
            answers: VecDeque::new(),
        }
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    /// Up to which entry the state is.
    pub fn applied(&self) -> Index {
        self.applied
    }

    pub fn request(&mut self, token: Token, request: Request) {
        let term = self.copy.hard().term;
        let taken = match request {
            Request::Order(order) => self.copy.order(order.write()).map(|index| {
                // One that waited there was dropped with the log's end, and nobody has heard of it yet.
                if let Some((_, dropped)) = self.orders.insert(index, (term, token)) {
                    self.answers.push_back(Effect::Answer { token: dropped, answer: Answer::Unknown });
                }
            }),
            Request::Read(ranges) => {
                self.copy.read().map(|ticket| _ = self.reads.insert(ticket, (token, ranges)))
            }
        };
        if let Err(refused) = taken {
            self.answers.push_back(Effect::Answer { token, answer: Answer::Refused(refused) });
        }
    }

    pub fn handle(&mut self, now: Time, from: Id, fleet: u64, message: Message) {
        self.copy.handle(now, from, fleet, message);
    }

    pub fn saved(&mut self) {
        self.copy.saved();
    }

    pub fn next_timeout(&self) -> Time {
        let leases = self.leases.values().copied().min().filter(|_| self.led);
        self.copy.next_timeout().min(leases.unwrap_or(Time::MAX))
    }

    pub fn handle_timeout(&mut self, now: Time) {
        self.copy.handle_timeout(now);
        self.follow_leases(now);
        if !self.led || !self.copy.leads() {
            return;
        }
        let over: Vec<u64> = self.leases.iter().filter(|(_, at)| **at <= now).map(|(id, _)| *id).collect();
        for lease in over {
            self.leases.insert(lease, now + AGAIN);
            if let Some(renewals) = self.state.leases.get(&lease).map(|known| known.renewals) {
                // Where there is no room it is looked at again.
                let _ = self.copy.order(Order::End { lease, renewals }.write());
            }
        }
    }

    pub fn poll(&mut self, now: Time) -> Option<Effect> {
        loop {
            if let Some(answer) = self.answers.pop_front() {
                return Some(answer);
            }
            let output = self.copy.poll();
            self.follow_leases(now);
            match output? {
                Output::Act(act) => return Some(Effect::Act(act)),
                Output::Committed { index, entry } => self.apply(now, index, &entry),
                Output::Read(ticket) => {
                    if let Some((token, ranges)) = self.reads.remove(&ticket) {
                        let answer = Answer::Done(self.state.read(&ranges));
                        self.answers.push_back(Effect::Answer { token, answer });
                    }
                }
                Output::Lost => {
                    let orders = std::mem::take(&mut self.orders).into_values();
                    let unknown = orders.map(|(_, token)| Effect::Answer { token, answer: Answer::Unknown });
                    self.answers.extend(unknown);
                    let refused = Answer::Refused(Refused::Follows(None));
                    let reads = std::mem::take(&mut self.reads).into_values();
                    let refused = reads.map(|(token, _)| Effect::Answer { token, answer: refused.clone() });
                    self.answers.extend(refused);
                }
            }
        }
    }

    /// One that has come to lead gives every lease its whole time: it does not know when the one before had it renewed.
    fn follow_leases(&mut self, now: Time) {
        let leads = self.copy.leads();
        if leads != std::mem::replace(&mut self.led, leads) {
            let all = self.state.leases.iter().filter(|_| leads);
            self.leases = all.map(|(id, lease)| (*id, now + Time::from(lease.seconds) * SECOND)).collect();
        }
    }

    fn apply(&mut self, now: Time, index: Index, entry: &Entry) {
        self.applied = index;
        let Body::Order(order) = &entry.body else { return };
        let outcome = self.state.apply(order);
        let lease = match Order::read(order) {
            Some(Order::Grant { lease, .. } | Order::Renew { lease }) => Some(lease),
            Some(Order::Revoke { lease } | Order::End { lease, .. }) => Some(lease),
            _ => None,
        };
        if let Some(lease) = lease {
            match self.state.leases.get(&lease) {
                Some(known) => _ = self.leases.insert(lease, now + Time::from(known.seconds) * SECOND),
                None => _ = self.leases.remove(&lease),
            }
        }
        if let Some((term, token)) = self.orders.remove(&index) {
            // Another's order in its place: this one was dropped before it was committed.
            let answer = if term == entry.term { Answer::Done(outcome) } else { Answer::Unknown };
            self.answers.push_back(Effect::Answer { token, answer });
        }
    }
}
