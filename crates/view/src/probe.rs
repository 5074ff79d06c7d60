//! Probes of the members that this one observes, and their results.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::{Id, Time};

/// A probe sent in this round.
#[derive(Clone, Debug)]
pub struct Probe {
    pub target: Id,
    pub answered: bool,
}

/// Probe results of one observed member.
#[derive(Clone, Debug, Default)]
pub struct Subject {
    /// Consecutive rounds in which it did not answer.
    pub missed_rounds: u32,
    /// Results of the last 16 rounds, the newest in the lowest bit; a set bit is an answer.
    pub history: u16,
    /// Rounds recorded in `history`.
    pub rounds: u32,
    /// Raised when it refutes a suspicion; [`SUSPECT_AFTER_ROUNDS`] is multiplied by one more than this.
    pub backoff: u32,
    /// Sequence number of this member's last vote on it.
    pub seq: u16,
    /// Whether that vote was a suspicion.
    pub suspected: bool,
}

/// A probe sent at another member's request.
#[derive(Clone, Debug)]
pub struct IndirectProbe {
    pub requester: SocketAddr,
    /// Sequence number of the requester's own probe.
    pub seq: u32,
    pub expires_at: Time,
}

/// This member's probes, and those that it sends for others, by sequence number.
#[derive(Debug, Default)]
pub struct Probes {
    pub pending: BTreeMap<u32, Probe>,
    pub subjects: BTreeMap<Id, Subject>,
    pub indirect: BTreeMap<u32, IndirectProbe>,
    /// Whether any probe of the last completed round was answered.
    pub any_answered: bool,
}

/// Indirect probes in flight. Requests beyond it are refused; the requester picks other members in the next round.
pub const MAX_INDIRECT_PROBES: usize = 256;

/// Missed rounds before a member votes to suspect another. At 20% datagram loss, with direct and three indirect probes,
/// one in two thousand rounds of a healthy link reaches it.
pub const SUSPECT_AFTER_ROUNDS: u32 = 3;

/// The highest backoff: how rarely a member behind a broken link, which keeps refuting, is suspected again.
pub const MAX_BACKOFF: u32 = 8;

impl Probes {
    /// Marks a probe as answered. Returns its target, or `None` if no such probe is pending.
    pub fn record_answer(&mut self, seq: u32) -> Option<Id> {
        let probe = self.pending.get_mut(&seq)?;
        probe.answered = true;
        Some(probe.target)
    }

    /// Ends the round: records for each probed member whether it answered.
    pub fn end_round(&mut self) {
        self.any_answered = self.pending.values().any(|probe| probe.answered);
        for probe in std::mem::take(&mut self.pending).into_values() {
            let subject = self.subjects.entry(probe.target).or_default();
            subject.history = subject.history << 1 | u16::from(probe.answered);
            subject.rounds = (subject.rounds + 1).min(u16::BITS);
            if probe.answered {
                if subject.missed_rounds == 0 {
                    subject.backoff = subject.backoff.saturating_sub(u32::from(!subject.suspected));
                }
                subject.missed_rounds = 0;
            } else {
                subject.missed_rounds = subject.missed_rounds.saturating_add(1);
            }
        }
    }

    /// Returns true if this member's own link is likely bad: most probes of the members that answer at all go unanswered.
    /// Members that crashed or are partitioned away answer none, so they count only until their last answer has left the
    /// history of sixteen rounds.
    pub fn is_own_link_bad(&self) -> bool {
        let (answered, rounds) = self.answer_counts(u16::BITS);
        2 * answered < rounds || self.has_own_link_just_failed()
    }

    /// Returns true if nearly all members stopped answering within the rounds that it takes to suspect one: this member's
    /// own link has more likely failed than all of them. If they did fail, they leave the history after sixteen rounds, and
    /// observers that lost fewer of their subjects suspect them meanwhile.
    fn has_own_link_just_failed(&self) -> bool {
        let (answered, rounds) = self.answer_counts(SUSPECT_AFTER_ROUNDS);
        3 * answered < rounds
    }

    /// Counts answers and rounds over the newest rounds of the members that answered in any of the last sixteen.
    fn answer_counts(&self, newest: u32) -> (u32, u32) {
        let alive = self.subjects.values().filter(|subject| subject.history != 0);
        let mask = u16::MAX >> (u16::BITS - newest);
        alive.fold((0, 0), |(answered, rounds), subject| {
            (answered + (subject.history & mask).count_ones(), rounds + subject.rounds.min(newest))
        })
    }

    /// Drops the pending probes after this process was paused, since their answers could not be received. Rounds missed
    /// before the pause still count, else a member that pauses repeatedly would never suspect a crashed one.
    pub fn discard_pending(&mut self) {
        self.pending.clear();
    }
}
