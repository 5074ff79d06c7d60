//! The channel budget: how many lines and messages an update may write, given what the proxies have answered.
//!
//! Answers show what still waits. Where the host may have missed some, the store's channel counts as one queue: messages
//! leave it in the order in which they were written, so an answer to a later update, from any proxy, shows that no earlier
//! update waits there any more.
//!
//! A proxy joins before this steward is notified of it, and receives messages that are written meanwhile. So every proxy
//! counts as a receiver, joined or not, until the notifications show that it was absent: joins and answers are notified in
//! order, so when a mark is answered, all proxies that joined before that mark was written have been reported.

use super::state::{Proxy, State};
use super::Steward;
use crate::{Resend, Time, WaitingLines, SECOND};

/// An update in the channel budget: its time, the lines it wrote to each proxy, and its mark.
pub(super) struct Update {
    pub at: Time,
    pub lines: f64,
    pub mark: u64,
}

/// Answers that may never be received, to marks up to this one: they were sent while the store's notifications were
/// interrupted, or the mark was never written.
pub(super) struct MissedAnswers {
    pub mark: u64,
    /// When such an answer was last received, or could first have been.
    pub idle_since: Time,
}

/// What the store's notifications show of the channel.
#[derive(Default)]
pub(super) struct ChannelEvidence {
    /// The highest mark known to be answered by any proxy, with no notification missed before it.
    pub answered_mark: u64,
    /// When the first answer to it was received.
    answered_at: Time,
    /// Messages up to this mark have left the channel, as it was idle for long enough.
    cleared_mark: u64,
    /// When an answer was last received, or could first have been.
    idle_since: Time,
    /// When a notification was last received.
    at: Time,
}

/// Heartbeats come once a second: after a longer gap between notifications, answers may be delayed too.
const MAX_NOTIFICATION_GAP: Time = 15 * SECOND / 10;

/// Factor by which the channel may be slower than configured for a while (brief, 7.4).
const MAX_SLOWDOWN: f64 = 5.0;

/// The share of the permitted waiting lines that an update with urgent lines may fill.
const URGENT_SHARE: f64 = 0.9;

/// The same for other updates: leaves enough for a later drain to arrive within its grace period.
const ORDINARY_SHARE: f64 = 0.65;

/// The same for a probe, or for one urgent line in its place.
const PROBE_SHARE: f64 = 1.0;

impl Steward {
    /// Returns an estimate of the lines that wait in the channel.
    pub fn waiting(&self) -> WaitingLines {
        let updates =
            self.updates.iter().map(|update| (update.at, update.lines * self.pending_proxies(update.mark)));
        let waiting = updates.filter(|(_, lines)| *lines > 0.0);
        let all = waiting.fold(WaitingLines::default(), |sum, (at, lines)| WaitingLines {
            lines: sum.lines + lines,
            since: Some(sum.since.map_or(at, |since| since.min(at))),
        });
        if self.notifications_interrupted || self.missed_answers.is_some() {
            WaitingLines { lines: all.lines.min(self.max_waiting_lines()), ..all }
        } else {
            all
        }
    }

    /// Returns an upper bound of the waiting lines that needs no answers: a leaky bucket at the channel's slowest rate,
    /// starting when an answer last showed that nothing earlier waits. Used where answers may be missed.
    fn max_waiting_lines(&self) -> f64 {
        let slowest_rate = self.channel_rate() / MAX_SLOWDOWN / SECOND as f64;
        let receivers = self.receivers();
        let remaining =
            |(level, at): (f64, Time), now: Time| (level - slowest_rate * (now - at) as f64).max(0.0);
        let (answered_mark, answered_at) = (self.evidence.answered_mark, self.evidence.answered_at);
        let may_wait = self.updates.iter().filter(|update| update.mark >= answered_mark);
        let written = may_wait.fold((0.0, answered_at), |before, update| {
            let at = update.at.max(answered_at);
            (remaining(before, at) + update.lines * receivers, at)
        });
        remaining(written, self.now)
    }

    /// Returns the configured rate of the channel, in lines per second.
    fn channel_rate(&self) -> f64 {
        self.cfg.number("family_info.channel_rate").unwrap_or(1.0).max(1.0)
    }

    /// Returns the number of proxies for which a message with this mark may still wait.
    pub(super) fn pending_proxies(&self, mark: u64) -> f64 {
        let due = |proxy: &&Proxy| proxy.written_mark >= mark && self.cleared_up_to(proxy) < mark;
        self.proxies.iter().filter(due).count() as f64
    }

    /// Returns the mark up to which no message waits for a proxy: it has answered, was absent when they were written, or
    /// they have left the channel.
    fn cleared_up_to(&self, proxy: &Proxy) -> u64 {
        let left = if proxy.joined {
            let passed = self.evidence.answered_mark.saturating_sub(1).max(self.evidence.cleared_mark);
            passed.min(proxy.joined_at_mark)
        } else {
            self.evidence.answered_mark.max(self.evidence.cleared_mark)
        };
        left.max(proxy.cleared_mark).max(proxy.answered_mark)
    }

    /// Returns the latest mark with this number; marks are sent modulo 65536.
    fn latest_mark(&self, number: u16) -> u64 {
        self.mark.saturating_sub(self.mark.wrapping_sub(u64::from(number)) % 65_536)
    }

    /// A proxy has answered a mark.
    pub fn mark_answered(&mut self, now: Time, proxy: usize, number: u16) {
        self.decision_due = true;
        let mark = self.latest_mark(number);
        let entry = self.proxy(proxy);
        entry.answered_mark = entry.answered_mark.max(mark);
        self.evidence.idle_since = now;
        if !self.notifications_interrupted && mark > self.evidence.answered_mark {
            (self.evidence.answered_mark, self.evidence.answered_at) = (mark, now);
        }
        match &mut self.missed_answers {
            Some(missed_answers) if mark > missed_answers.mark => self.discard_missed_answers(),
            Some(missed_answers) => missed_answers.idle_since = now,
            None => {}
        }
    }

    /// Nothing written up to the missed mark waits any more. Proxies that have not answered it won't: they are sent a new mark.
    fn discard_missed_answers(&mut self) {
        let mark = self.missed_answers.take().map_or(0, |missed_answers| missed_answers.mark);
        self.updates.iter_mut().filter(|update| update.mark <= mark).for_each(|update| update.lines = 0.0);
        let overdue =
            self.proxies.iter_mut().filter(|proxy| proxy.answered_mark < mark && proxy.asked_mark <= mark);
        overdue.for_each(|proxy| proxy.asked_mark = 0);
        self.decision_due = true;
    }

    /// The store's notifications are interrupted: answers and joins of proxies are not received.
    pub fn notifications_interrupted(&mut self) {
        self.notifications_interrupted = true;
    }

    /// The store's notifications have resumed: answers are received from now on.
    pub fn notifications_resumed(&mut self, now: Time) {
        (self.evidence.at, self.evidence.idle_since) = (now, now);
        self.missed_answers = Some(MissedAnswers { mark: self.mark, idle_since: now });
    }

    /// It is unknown whether the last orders were carried out; if not, no proxy will answer them.
    pub fn outcome_unknown(&mut self, now: Time) {
        self.missed_answers = Some(MissedAnswers { mark: self.mark, idle_since: now });
    }

    /// After an interruption, the store has reported which proxies were joined at this time. Any other proxy, even one known
    /// to be disconnected before, may have joined and left until then unnoticed: its lease runs from then at the latest.
    pub fn joined_proxies_received(&mut self, at: Time) {
        self.notifications_interrupted = false;
        let away = self.proxies.iter_mut().filter(|proxy| !proxy.joined);
        away.for_each(|proxy| proxy.disconnected_at = proxy.disconnected_at.max(at));
    }

    /// A notification of the store was received, so all answers up to now have been received too.
    pub fn notification_received(&mut self, now: Time) {
        let had_gap = now - self.evidence.at >= MAX_NOTIFICATION_GAP;
        self.evidence.at = now;
        if had_gap {
            // A gap in the notifications, or a pause of this process, is no idle channel: answers may follow.
            self.evidence.idle_since = now;
            self.missed_answers.iter_mut().for_each(|missed_answers| missed_answers.idle_since = now);
        }
        if self.missed_answers.as_ref().is_some_and(|missed_answers| self.has_emptied(missed_answers, now)) {
            self.discard_missed_answers();
        }
        self.detect_empty_channel(now);
    }

    /// Detects that messages have left the channel which may never be answered, as perhaps no proxy was there to receive them.
    fn detect_empty_channel(&mut self, now: Time) {
        let Some(last) = self.updates.back().filter(|last| last.mark > self.evidence.cleared_mark) else {
            return;
        };
        let idle_since = self.evidence.idle_since.max(last.at);
        let all = MissedAnswers { mark: last.mark, idle_since };
        if self.has_emptied(&all, now) {
            self.evidence.cleared_mark = all.mark;
        }
    }

    /// Returns true if nothing written up to the missed mark waits any more, so as not to wait for answers that can't come.
    /// A channel that still held some of it would show an answer: even at the slowest rate, the longest message is sent
    /// and answered within the idle time required. So that proxies which answer nothing at all don't look like an empty
    /// channel, the time must also suffice for all lines: at the slowest rate where answers may be missed, as a probe
    /// shows it sooner there, see [`Steward::is_probe_due`].
    fn has_emptied(&self, missed_answers: &MissedAnswers, now: Time) -> bool {
        let before = || self.updates.iter().filter(|update| update.mark <= missed_answers.mark);
        let Some(last) = before().map(|update| update.at).max() else { return true };
        let slowest = self.channel_rate() / MAX_SLOWDOWN;
        let transit = self.cfg.time("family_info.transit_max_s").unwrap_or(SECOND);
        let longest = before().map(|update| update.lines).fold(0.0, f64::max);
        let send_time = |lines: f64, rate: f64| transit + crate::from_seconds(lines / rate);
        let is_idle = now - missed_answers.idle_since >= send_time(longest, slowest);
        if !is_idle {
            return false;
        }
        let all: f64 = before().map(|update| update.lines * self.pending_proxies(update.mark)).sum();
        let rate = if self.missed_answers.is_some() { slowest } else { self.channel_rate() };
        now - last >= send_time(all, rate)
    }

    /// Returns true if a message, if need be with nothing but its mark, would show what waits: answers may be missed,
    /// messages count as waiting because of that, and none was written since. An answer to it from any proxy shows that the
    /// channel holds nothing earlier.
    pub(super) fn is_probe_due(&self) -> bool {
        let Some(missed_answers) = &self.missed_answers else { return false };
        let waits = |update: &Update| update.lines > 0.0 && self.pending_proxies(update.mark) > 0.0;
        self.mark <= missed_answers.mark && self.updates.iter().any(waits)
    }

    /// Takes the last update out of the budget: its orders wait behind others that are re-sent, and count when written.
    pub fn uncount_last_update(&mut self) {
        self.updates.pop_back();
    }

    /// The revoke of a slice was written in the last message: its hand-over waits for answers to that message's mark, not to
    /// another part of a reply or to an earlier attempt that may not have been carried out.
    pub fn revoke_written(&mut self, slice: usize) {
        self.await_mark(slice, self.mark);
    }

    /// The revoke of a slice was carried out under this mark, even if it was written again since: answers to it count.
    pub fn revoke_confirmed(&mut self, slice: usize, number: u16) {
        self.await_mark(slice, self.latest_mark(number));
    }

    /// The revoke of a slice will be written after the last message: no answer received so far counts for it.
    pub fn revoke_deferred(&mut self, slice: usize) {
        const NOT_WRITTEN: u64 = u64::MAX;
        self.await_mark(slice, NOT_WRITTEN);
    }

    fn await_mark(&mut self, slice: usize, awaited_mark: u64) {
        let all_proxies = (0..self.proxies.len()).collect();
        if let Some(State::HandingOff { mark, awaited_proxies }) =
            self.slices.get_mut(slice).map(|entry| &mut entry.state)
        {
            (*mark, *awaited_proxies) = (awaited_mark, all_proxies);
        }
    }

    /// Returns how many orders, including a mark, may be sent that are not in the budget: those whose outcome is unknown and
    /// those that waited behind them. Counts them if so: all, or a part of them if that is a probe or a substantial part of
    /// what an empty channel takes. Returns `None` if there is no capacity. This keeps the proxies' limits even if the store
    /// carries out orders without answering.
    pub fn resend(&mut self, now: Time, orders: usize) -> Option<Resend> {
        let probe_due = self.is_probe_due();
        let capacity = self.available_lines(now, orders).0;
        let fits = orders.min(capacity);
        let substantial_part = (self.empty_channel_capacity(URGENT_SHARE) / 2.0).max(2.0) as usize;
        let is_worth_sending = fits >= orders.min(substantial_part) && fits >= orders.min(2);
        let is_probe = probe_due && fits > 0;
        if !is_worth_sending && !is_probe {
            return None;
        }
        self.mark += 1;
        self.record_update(now, self.message_overhead() + fits as f64);
        Some(Resend { orders: fits, number: (self.mark % 65_536) as u16 })
    }

    /// Records an update under the current mark. It goes to every joined proxy, and to any whose joining is not yet known.
    pub(super) fn record_update(&mut self, now: Time, lines: f64) {
        let mark = self.mark;
        self.updates.push_back(Update { at: now, lines, mark });
        for proxy in &mut self.proxies {
            proxy.written_mark = mark;
            if proxy.joined {
                proxy.asked_mark = mark;
            }
        }
    }

    /// Returns the fixed cost of a message, in lines.
    pub(super) fn message_overhead(&self) -> f64 {
        self.cfg.number("family_info.fixed_cost").unwrap_or(0.0)
    }

    /// Returns the number of proxies that may receive a message: all, as any of them may have joined without a notification yet.
    fn receivers(&self) -> f64 {
        self.proxies.len().max(1) as f64
    }

    /// Returns the lines per proxy that one message may have on an empty channel, for this share of the permitted waiting lines.
    fn empty_channel_capacity(&self, share: f64) -> f64 {
        let most = self.cfg.number("family_info.pending_max").unwrap_or(f64::INFINITY);
        let header = self.message_overhead() + 1.0;
        (share * most / self.receivers() - header).min(65_535.0)
    }

    /// Returns how many lines per proxy an update may have now, in total and as ordinary (non-urgent) lines.
    /// `urgent` is the number of urgent lines. All writes to the channel go by this budget.
    pub(super) fn available_lines(&mut self, now: Time, urgent: usize) -> (usize, usize) {
        self.now = now;
        let window = self.cfg.time("family_info.update_window_s").unwrap_or(10 * SECOND) + SECOND / 10;
        while self.updates.front().is_some_and(|update| now - update.at >= window) {
            self.updates.pop_front();
        }
        let allowed = self.cfg.number("family_info.pushes_allowed").unwrap_or(0.0) as usize;
        if allowed > 0 {
            // A quarter is kept for drains; messages are spread so that a series of bursts can't use it up.
            let most = allowed - if urgent > 0 { 0 } else { allowed / 4 };
            let gap = window * (2 * self.updates.len()).min(most) as Time / (most * most) as Time;
            let spaced =
                self.urgent_update || self.updates.back().is_none_or(|update| now - update.at >= gap);
            if self.updates.len() >= most || !spaced {
                return (0, 0);
            }
        }
        let waiting = self.waiting().lines / self.receivers();
        let header = self.message_overhead() + 1.0;
        // In a full channel, each line that left admitted one line with a header at each proxy, so it carried
        // little but headers. Less than a header's worth is not sent, unless more never fits or less is all there is.
        let capacity = |share: f64, wanted: f64| {
            let empty = self.empty_channel_capacity(share);
            let free = empty - waiting;
            if free < wanted.min(header).min(empty / 2.0) {
                0
            } else {
                free.clamp(0.0, 65_535.0) as usize
            }
        };
        let ordinary = capacity(ORDINARY_SHARE, f64::INFINITY);
        let all = if urgent > 0 { capacity(URGENT_SHARE, urgent as f64) } else { ordinary };
        if all == 0 && self.is_probe_due() {
            let free = self.empty_channel_capacity(PROBE_SHARE) - waiting;
            return (usize::from(free >= 1.0), 0);
        }
        (all, ordinary)
    }
}
