//! Detection of a slow process by the process itself.

use crate::Time;

/// How late a process is woken, as a share of elapsed time. A process that is paused again and again, or starved of
/// CPU, answers so late that its duties make no progress although its membership holds.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    scheduled: Option<(Time, Time)>,
    /// Lateness in thousandths, averaged over about two seconds of ticks.
    lateness: Time,
    slow: bool,
}

impl Pace {
    /// The interval between two ticks.
    pub const TICK: Time = 1_000;
    /// The number of ticks that the average covers.
    const AVERAGED_TICKS: Time = 16;
    /// Slow above half of the time, recovered below a tenth: a busy machine wakes its processes late by a few
    /// hundredths, and a process that stands still half of the time makes no progress.
    const SLOW_ABOVE: Time = 500;
    const RECOVERED_BELOW: Time = 100;

    /// Schedules a tick one interval from `now` and returns when it is due.
    pub fn schedule_tick(&mut self, now: Time) -> Time {
        let due = now + Self::TICK;
        self.scheduled = Some((now, due));
        due
    }

    /// Records that the process runs. A due tick counts by how late it is, and a long pause counts as several ticks.
    /// Returns true if the process is slow.
    pub fn record_wakeup(&mut self, now: Time) -> bool {
        if let Some((since, due)) = self.scheduled.filter(|(_, due)| now >= *due) {
            self.scheduled = None;
            let share = 1_000 * (now - due) / (now - since).max(1);
            let ticks = ((now - since) / Self::TICK).clamp(1, 2 * Self::AVERAGED_TICKS);
            for _ in 0..ticks {
                self.lateness += (share - self.lateness) / Self::AVERAGED_TICKS;
            }
            self.slow = self.lateness > if self.slow { Self::RECOVERED_BELOW } else { Self::SLOW_ABOVE };
        }
        self.slow
    }

    /// Returns true if a tick is scheduled.
    pub fn is_scheduled(&self) -> bool {
        self.scheduled.is_some()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Alternates between running and pausing; returns the cycle in which the process is first found slow.
    fn first_slow_cycle(run_for: Time, pause_for: Time, max_cycles: usize) -> Option<usize> {
        let (mut pace, mut now) = (Pace::default(), 0);
        for cycle in 0..max_cycles {
            let until = now + run_for;
            while now < until {
                let due = pace.schedule_tick(now);
                now = due.min(until);
                if now < due {
                    break;
                }
                if pace.record_wakeup(now) {
                    return Some(cycle);
                }
            }
            now = until + pause_for;
            if pace.record_wakeup(now) {
                return Some(cycle);
            }
        }
        None
    }

    #[test]
    fn a_mostly_paused_process_is_slow_and_a_busy_one_is_not() {
        assert!(first_slow_cycle(1_500, 13_500, 20).is_some_and(|cycle| cycle < 6));
        assert_eq!(first_slow_cycle(50_000, 4_000, 100), None, "an occasional short pause");
        assert_eq!(first_slow_cycle(1_000_000, 0, 3), None);
    }

    #[test]
    fn a_slow_process_recovers() {
        let mut pace = Pace::default();
        let mut now = 0;
        for _ in 0..20 {
            pace.schedule_tick(now);
            now += 20 * Pace::TICK;
            pace.record_wakeup(now);
        }
        assert!(pace.record_wakeup(now));
        let since = now;
        while pace.record_wakeup(now) {
            now = pace.schedule_tick(now);
        }
        assert!((2 * Pace::AVERAGED_TICKS * Pace::TICK..8 * Pace::AVERAGED_TICKS * Pace::TICK)
            .contains(&(now - since)));
    }
}
