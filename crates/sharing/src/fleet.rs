//! One steward's knowledge of the fleet's assignments, and its next step.

use std::collections::BTreeMap;

use crate::shares::moves;
use crate::{Incarnation, Time};

/// One step at the store. The next one is returned once the outcome of this one has been reported.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Take over slices whose steward is gone, on condition that each assignment still has this term (0: the slice was
    /// never assigned) and that none of `gone` is a member.
    TakeOver { slices: Vec<(usize, u64)>, gone: Vec<Incarnation> },
    /// Read the record of slices that were handed over to this steward under these terms, and serve them.
    Serve { slices: Vec<(usize, u64)> },
    /// Stop deciding on slices, notify forwarders, and only then hand them over, on condition that each assignment still
    /// has this term and that `to` is a member.
    HandOver { slices: Vec<(usize, u64)>, to: Incarnation },
    /// This steward has left: it serves no slices, no other steward could take them over, or the time for leaving is up.
    Left,
    /// A slice served by this steward is assigned to another, or it is no longer a member: it must stop at once.
    Lost,
}

/// The steward that a slice is assigned to, and the term of the assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Assignment {
    steward: Incarnation,
    term: u64,
}

/// The fleet as known to one steward: members, assignments, and the state of its own steps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fleet {
    me: Incarnation,
    /// Members, and whether each is leaving.
    members: BTreeMap<Incarnation, bool>,
    assignments: Vec<Option<Assignment>>,
    /// Per slice: the term under which this steward serves it, or 0 if it does not.
    served_terms: Vec<u64>,
    step_in_progress: bool,
    /// No slice is taken over before this time, so that stewards which start or return together see each other first.
    take_over_at: Time,
    /// When the next round of handing over may start.
    hand_over_at: Time,
    /// Minimum interval between two rounds of handing over.
    pace: Time,
    /// Since when this steward is leaving.
    leaving_since: Option<Time>,
    /// Without new information there is nothing to do before this time.
    next_check: Time,
    /// The members have been read from the store.
    has_members: bool,
    /// New information arrived that may lead to a step.
    decision_due: bool,
}

impl Fleet {
    /// Slices handed over in one round: few enough that the receiver's forwarders can keep up, and enough that 20,000
    /// slices are distributed among three stewards within half a minute at one round per second.
    const ROUND_SIZE: usize = 512;

    /// How often slices that are in the middle of a move are checked again.
    const REST_POLL: Time = 500;

    /// How long a leaving steward waits for slices in the middle of a move: about as long as settling takes.
    const REST_TIMEOUT: Time = 20_000;

    /// How long leaving may take. After that the other stewards take over as from a crashed one, once its lease expires.
    const LEAVE_TIMEOUT: Time = 100_000;

    /// Returns the minimum interval between two rounds of handing over. In each round both stewards send every forwarder a
    /// message, and at most `messages` may be sent per `window` (0 means no limit). Rounds use a quarter of these and leave
    /// the rest to drains. Without a limit, rounds are as frequent as the stewards' polls of the store.
    pub fn pace(window: Time, messages: Time) -> Time {
        const MIN_INTERVAL: Time = 2_500;
        (4 * window).checked_div(messages).unwrap_or(0).max(MIN_INTERVAL)
    }

    /// Starts as a member. `pace`: see [`Fleet::pace`]. `after`: how long to wait before the first slice is taken over.
    pub fn new(now: Time, me: Incarnation, slices: usize, pace: Time, after: Time) -> Fleet {
        Fleet {
            me,
            members: BTreeMap::new(),
            assignments: vec![None; slices],
            served_terms: vec![0; slices],
            step_in_progress: false,
            take_over_at: now + after,
            hand_over_at: now,
            pace,
            leaving_since: None,
            next_check: now,
            has_members: false,
            decision_due: false,
        }
    }

    /// Applies an assignment read from the store. One with an older term than the known one is ignored.
    pub fn set_assignment(&mut self, slice: usize, steward: Incarnation, term: u64) {
        if let Some(known) = self.assignments.get_mut(slice) {
            if known.is_none_or(|known| known.term < term) {
                *known = Some(Assignment { steward, term });
                self.decision_due = true;
            }
        }
    }

    /// Sets the complete list of members, with whether each is leaving.
    pub fn members(&mut self, members: &[(Incarnation, bool)]) {
        let members = members.iter().copied().collect();
        self.decision_due |= self.members != members || !self.has_members;
        self.members = members;
        self.has_members = true;
    }

    /// Notes that this steward now serves slices, under these terms.
    pub fn served(&mut self, slices: &[(usize, u64)]) {
        for &(slice, term) in slices {
            self.set_assignment(slice, self.me, term);
            if let Some(served_term) = self.served_terms.get_mut(slice) {
                *served_term = term;
            }
        }
    }

    /// Notes that slices were handed over to another steward under this term.
    pub fn handed_over(&mut self, slices: &[(usize, u64)], to: Incarnation, term: u64) {
        for &(slice, _) in slices {
            self.set_assignment(slice, to, term);
        }
    }

    /// Notes that the step in progress has ended, whatever its outcome.
    pub fn done(&mut self) {
        (self.step_in_progress, self.decision_due) = (false, true);
    }

    /// Starts leaving: all slices are handed over, after a while also those in the middle of a move.
    pub fn leave(&mut self, now: Time) {
        self.leaving_since.get_or_insert(now);
        self.decision_due = true;
    }

    /// Returns true if this steward is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Returns the number of slices that this steward serves.
    pub fn count(&self) -> usize {
        self.served_terms.iter().filter(|term| **term > 0).count()
    }

    /// Returns when [`Fleet::next`] may return a step without new information.
    pub fn next_at(&self) -> Time {
        if self.step_in_progress {
            self.gives_up_at()
        } else {
            self.gives_up_at().min(self.next_check)
        }
    }

    /// Returns when leaving times out: from then on [`Fleet::next`] returns [`Step::Left`], whatever is in progress.
    pub fn gives_up_at(&self) -> Time {
        self.leaving_since.map_or(Time::MAX, |since| since + Self::LEAVE_TIMEOUT)
    }

    /// Returns the next step, or `None` if there is none for now. `at_rest` returns true for a slice that is not in the
    /// middle of a move.
    pub fn next(&mut self, now: Time, at_rest: impl Fn(usize) -> bool) -> Option<Step> {
        if now >= self.gives_up_at() {
            return Some(Step::Left);
        }
        if !self.has_members || !std::mem::take(&mut self.decision_due) && now < self.next_check {
            return None;
        }
        let next_time = [self.take_over_at, self.hand_over_at]
            .into_iter()
            .filter(|at| *at > now)
            .min()
            .unwrap_or(Time::MAX);
        let next_time =
            if self.leaving_since.is_some() { next_time.min(now + Self::REST_POLL) } else { next_time };
        self.next_check = next_time;
        let me = self.me;
        let mine =
            |assignment: &Option<Assignment>| assignment.is_some_and(|assignment| assignment.steward == me);
        let is_displaced = self.assignments.iter().zip(&self.served_terms).any(|(assignment, &term)| {
            term > 0
                && assignment.is_some_and(|assignment| assignment.steward != me || assignment.term != term)
        });
        if is_displaced || !self.members.contains_key(&me) {
            return Some(Step::Lost);
        }
        if self.step_in_progress {
            return None;
        }
        let step =
            self.next_to_serve(mine).or_else(|| self.take_over(now)).or_else(|| self.hand_over(now, at_rest));
        self.step_in_progress = step.as_ref().is_some_and(|step| *step != Step::Left);
        step
    }

    /// Returns a step to serve the slices that other stewards handed over.
    fn next_to_serve(&self, mine: impl Fn(&Option<Assignment>) -> bool) -> Option<Step> {
        let to_serve = self
            .assignments
            .iter()
            .enumerate()
            .filter(|(slice, assignment)| mine(assignment) && self.served_terms[*slice] == 0);
        let slices: Vec<_> =
            to_serve.filter_map(|(slice, assignment)| Some((slice, assignment.as_ref()?.term))).collect();
        (!slices.is_empty()).then_some(Step::Serve { slices })
    }

    /// Returns the moves to even shares among the members that stay.
    fn moves(&self) -> Vec<crate::shares::Move> {
        // The store may not show yet that this steward is leaving.
        let stays = |member: Incarnation, leaving: bool| {
            !leaving && (member != self.me || self.leaving_since.is_none())
        };
        let members = self.members.iter().map(|(&incarnation, &leaving)| (incarnation, leaving));
        let stay: Vec<Incarnation> = members
            .filter(|&(incarnation, leaving)| stays(incarnation, leaving))
            .map(|(incarnation, _)| incarnation)
            .collect();
        let stewards: Vec<Option<Incarnation>> = self
            .assignments
            .iter()
            .map(|assignment| assignment.map(|assignment| assignment.steward))
            .collect();
        moves(&stewards, &stay)
    }

    /// Returns a step to take over this steward's part of the slices that are assigned to no member.
    fn take_over(&self, now: Time) -> Option<Step> {
        if now < self.take_over_at || self.leaving_since.is_some() {
            return None;
        }
        let unassigned = |assignment: &Option<Assignment>| {
            assignment.is_none_or(|assignment| !self.members.contains_key(&assignment.steward))
        };
        if !self.assignments.iter().any(unassigned) {
            return None;
        }
        let (mut slices, mut gone) = (Vec::new(), Vec::new());
        for step in self.moves().iter().filter(|step| step.to == self.me) {
            let assignment = self.assignments[step.slice];
            if unassigned(&assignment) {
                slices.push((step.slice, assignment.map_or(0, |assignment| assignment.term)));
                gone.extend(assignment.map(|assignment| assignment.steward));
            }
        }
        gone.sort_unstable();
        gone.dedup();
        slices.sort_unstable();
        (!slices.is_empty()).then_some(Step::TakeOver { slices, gone })
    }

    /// Returns one round of handing over this steward's excess slices, to one other steward.
    fn hand_over(&mut self, now: Time, at_rest: impl Fn(usize) -> bool) -> Option<Step> {
        let ignore_rest = self.leaving_since.is_some_and(|since| now >= since + Self::REST_TIMEOUT);
        if self.leaving_since.is_none() && now < self.hand_over_at {
            return None;
        }
        let has_receivers =
            self.members.iter().any(|(&incarnation, &leaving)| incarnation != self.me && !leaving);
        if self.leaving_since.is_some() && (!has_receivers || self.count() == 0) {
            return Some(Step::Left);
        }
        if !has_receivers || self.count() == 0 {
            return None;
        }
        let moves = self.moves();
        let mut ready = moves
            .iter()
            .filter(|step| self.served_terms[step.slice] > 0 && step.to != self.me)
            .filter(|step| ignore_rest || at_rest(step.slice))
            .peekable();
        let Some(to) = ready.peek().map(|step| step.to) else {
            if moves.iter().any(|step| self.served_terms[step.slice] > 0) {
                self.next_check = self.next_check.min(now + Self::REST_POLL);
            }
            return None;
        };
        let round = ready.filter(|step| step.to == to).take(Self::ROUND_SIZE);
        let mut slices: Vec<_> = round.map(|step| (step.slice, self.served_terms[step.slice])).collect();
        slices.sort_unstable();
        slices.iter().for_each(|&(slice, _)| self.served_terms[slice] = 0);
        self.hand_over_at = now + self.pace;
        self.next_check = self.next_check.min(self.hand_over_at);
        Some(Step::HandOver { slices, to })
    }
}
