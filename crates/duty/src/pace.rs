//! Whether a process crawls, as it can tell by itself.

use crate::Time;

/// How late a process is woken, as a share of time. One that is stopped and let go again and again, or starved of its core,
/// answers so late that what it owns stands still, though its membership holds.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    asked: Option<(Time, Time)>,
    /// In thousandths, averaged over some two seconds of ticks.
    late: Time,
    slow: bool,
}

impl Pace {
    /// Between two ticks.
    pub const TICK: Time = 1_000;
    /// Ticks that the average goes over.
    const OVER: Time = 16;
    /// Slow above half of the time, well again under a tenth: a busy machine is woken late by a few hundredths, and one
    /// that stands still for half of the time serves nobody.
    const SLOW: Time = 500;
    const WELL: Time = 100;

    /// It wants to be woken a tick from now.
    pub fn asks(&mut self, now: Time) -> Time {
        let due = now + Self::TICK;
        self.asked = Some((now, due));
        due
    }

    /// It runs: a tick that is due is counted with how late it is, a long stop as several. Returns whether it is slow.
    pub fn runs(&mut self, now: Time) -> bool {
        if let Some((since, due)) = self.asked.filter(|(_, due)| now >= *due) {
            self.asked = None;
            let share = 1_000 * (now - due) / (now - since).max(1);
            let ticks = ((now - since) / Self::TICK).clamp(1, 2 * Self::OVER);
            for _ in 0..ticks {
                self.late += (share - self.late) / Self::OVER;
            }
            self.slow = self.late > if self.slow { Self::WELL } else { Self::SLOW };
        }
        self.slow
    }

    /// Whether a tick is asked for.
    pub fn is_asked(&self) -> bool {
        self.asked.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Runs for so long and stands still for so long, in turns; returns after how many turns it is slow.
    fn turns(runs: Time, stands: Time, most: usize) -> Option<usize> {
        let (mut pace, mut now) = (Pace::default(), 0);
        for turn in 0..most {
            let until = now + runs;
            while now < until {
                let due = pace.asks(now);
                now = due.min(until);
                if now < due {
                    break;
                }
                if pace.runs(now) {
                    return Some(turn);
                }
            }
            now = until + stands;
            if pace.runs(now) {
                return Some(turn);
            }
        }
        None
    }

    #[test]
    fn one_that_stands_still_most_of_the_time_is_slow_and_a_busy_one_is_not() {
        assert!(turns(1_500, 13_500, 20).is_some_and(|turn| turn < 6));
        assert_eq!(turns(50_000, 4_000, 100), None, "a short stop now and then");
        assert_eq!(turns(1_000_000, 0, 3), None);
    }

    #[test]
    fn it_is_well_again_after_a_while() {
        let mut pace = Pace::default();
        let mut now = 0;
        for _ in 0..20 {
            pace.asks(now);
            now += 20 * Pace::TICK;
            pace.runs(now);
        }
        assert!(pace.runs(now));
        let since = now;
        while pace.runs(now) {
            now = pace.asks(now);
        }
        assert!((2 * Pace::OVER * Pace::TICK..8 * Pace::OVER * Pace::TICK).contains(&(now - since)));
    }
}
