//! Term fencing at the receiving end of effects.

use std::collections::BTreeMap;

/// The highest term seen for each duty; effects under lower terms are refused. `D` is the receiver's name for a duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EffectReceiver<D: Ord> {
    highest: BTreeMap<D, u64>,
    max_duties: usize,
    /// Effects refused.
    pub refused: u64,
}

/// How an accepted effect's term compares with the highest known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EffectOutcome {
    /// The term is already on record.
    Known,
    /// The term is new: it must be on record before the effect is carried out.
    Record,
}

/// An effect that was refused, with the highest term known for its duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    pub highest_term: u64,
}

impl<D: Ord> EffectReceiver<D> {
    /// `max_duties` bounds the duties that are remembered. Effects of further duties are refused, since a receiver
    /// that forgets a term no longer fences it.
    pub fn new(max_duties: usize) -> EffectReceiver<D> {
        EffectReceiver { highest: BTreeMap::new(), max_duties, refused: 0 }
    }

    /// Restores a term from the record after a restart.
    pub fn remember(&mut self, duty: D, term: u64) {
        let highest = self.highest.entry(duty).or_default();
        *highest = term.max(*highest);
    }

    /// Returns the highest term seen for a duty, or 0 if there is none.
    pub fn highest(&self, duty: &D) -> u64 {
        self.highest.get(duty).copied().unwrap_or(0)
    }

    /// Returns the number of duties remembered.
    pub fn len(&self) -> usize {
        self.highest.len()
    }

    pub fn is_empty(&self) -> bool {
        self.highest.is_empty()
    }

    /// Checks an effect that arrives for a duty under a term.
    pub fn take(&mut self, duty: D, term: u64) -> Result<EffectOutcome, Refused> {
        let highest_term = self.highest(&duty);
        if term < highest_term || (!self.highest.contains_key(&duty) && self.highest.len() >= self.max_duties)
        {
            self.refused += 1;
            return Err(Refused { highest_term });
        }
        if term == highest_term && self.highest.contains_key(&duty) {
            return Ok(EffectOutcome::Known);
        }
        self.highest.insert(duty, term);
        Ok(EffectOutcome::Record)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_lower_term_is_refused_with_the_highest_known_term() {
        let mut effect_receiver = EffectReceiver::new(2);
        assert_eq!(effect_receiver.take("jobs", 5), Ok(EffectOutcome::Record));
        assert_eq!(effect_receiver.take("jobs", 5), Ok(EffectOutcome::Known));
        assert_eq!(effect_receiver.take("jobs", 9), Ok(EffectOutcome::Record));
        assert_eq!(effect_receiver.take("jobs", 5), Err(Refused { highest_term: 9 }));
        assert_eq!(effect_receiver.take("debts", 1), Ok(EffectOutcome::Record), "each duty has its own term");
        assert_eq!(
            effect_receiver.take("third", 1),
            Err(Refused { highest_term: 0 }),
            "no duty is evicted for another"
        );
        assert_eq!(effect_receiver.refused, 2);
        let mut restarted = EffectReceiver::new(2);
        restarted.remember("jobs", 9);
        assert_eq!(
            restarted.take("jobs", 8),
            Err(Refused { highest_term: 9 }),
            "a recorded term still fences after a restart"
        );
    }
}
