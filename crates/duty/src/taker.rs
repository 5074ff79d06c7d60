//! Whoever takes effects.

use std::collections::BTreeMap;

/// The highest term that was seen of each duty. `D`: however the taker names duties.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Taker<D: Ord> {
    highest: BTreeMap<D, u64>,
    most: usize,
    /// Effects refused.
    pub refused: u64,
}

/// An effect that may be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// Under the term that is on record already.
    Known,
    /// The term has to be on record before anything is done by it.
    Record,
}

/// An effect that may not be had, and the term that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    pub holds: u64,
}

impl<D: Ord> Taker<D> {
    /// `most`: duties that are remembered at most; those past it are refused, as a taker that forgets one is none.
    pub fn new(most: usize) -> Taker<D> {
        Taker { highest: BTreeMap::new(), most, refused: 0 }
    }

    /// What was on record.
    pub fn remember(&mut self, duty: D, term: u64) {
        let highest = self.highest.entry(duty).or_default();
        *highest = term.max(*highest);
    }

    /// The highest term seen; 0: none.
    pub fn highest(&self, duty: &D) -> u64 {
        self.highest.get(duty).copied().unwrap_or(0)
    }

    /// Duties that are remembered.
    pub fn len(&self) -> usize {
        self.highest.len()
    }

    pub fn is_empty(&self) -> bool {
        self.highest.is_empty()
    }

    /// An effect arrives that bears a duty and a term.
    pub fn take(&mut self, duty: D, term: u64) -> Result<Taken, Refused> {
        let holds = self.highest(&duty);
        if term < holds || (!self.highest.contains_key(&duty) && self.highest.len() >= self.most) {
            self.refused += 1;
            return Err(Refused { holds });
        }
        if term == holds && self.highest.contains_key(&duty) {
            return Ok(Taken::Known);
        }
        self.highest.insert(duty, term);
        Ok(Taken::Record)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_lower_term_is_refused_and_told_which_one_holds() {
        let mut taker = Taker::new(2);
        assert_eq!(taker.take("jobs", 5), Ok(Taken::Record));
        assert_eq!(taker.take("jobs", 5), Ok(Taken::Known));
        assert_eq!(taker.take("jobs", 9), Ok(Taken::Record));
        assert_eq!(taker.take("jobs", 5), Err(Refused { holds: 9 }));
        assert_eq!(taker.take("debts", 1), Ok(Taken::Record), "duties are told apart");
        assert_eq!(taker.take("third", 1), Err(Refused { holds: 0 }), "none is forgotten for another");
        assert_eq!(taker.refused, 2);
        let mut anew = Taker::new(2);
        anew.remember("jobs", 9);
        assert_eq!(anew.take("jobs", 8), Err(Refused { holds: 9 }), "what is on record holds after a start");
    }
}
