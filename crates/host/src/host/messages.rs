//! Messages from proxies (hello, answers to epochs, pings and reports) and the replies to them.

use std::cmp::Reverse;

use bytes::Bytes;
use ravenspar_protocol::{kind, tag, Body, DecodeError, Frame, VERSION};
use ravenspar_steward::Time;

use super::Host;
use crate::proxy::NEVER;
use crate::{CloseReason, Output};

/// Clock rates may differ by one part in `CLOCK_DRIFT_DIVISOR`, so the lease announced to proxies is shorter by that part.
/// This is far above the drift of real clocks and a negligible part of a lease.
const CLOCK_DRIFT_DIVISOR: Time = 64;

impl Host {
    pub(super) fn hello(&mut self, now: Time, stream: u64, mut body: Body) -> Result<(), DecodeError> {
        let (mut version, mut number, mut boot, mut baseline, mut zone) = (0, None, 0, 0.0, "");
        while let Some((tag, mut field)) = body.field()? {
            match tag {
                tag::VERSION => version = field.number()?,
                tag::PROXY => number = Some(field.index()?),
                tag::BOOT => boot = field.number()?,
                tag::USUAL => baseline = field.fraction()?,
                tag::ZONE => zone = field.text()?,
                _ => {}
            }
        }
        if version != VERSION {
            self.refuse(
                now,
                stream,
                CloseReason::Version,
                "the steward speaks another version of the stream",
            );
            return Ok(());
        }
        let Some(proxy) = number.filter(|&number| number < self.proxies.len()) else {
            self.refuse(
                now,
                stream,
                CloseReason::Number,
                "the settings have no room for a proxy of this number",
            );
            return Ok(());
        };
        if let Some(older) = self.proxies[proxy].stream {
            self.close(now, older, CloseReason::Replaced);
        }
        let zone = self.zone(zone);
        let lease = self.limits.lease;
        let entry = &mut self.proxies[proxy];
        if entry.boot != boot && entry.last_echo != NEVER {
            // Its earlier incarnation may just be paused and continue to write until its lease expires.
            entry.answers_count_from = entry.answers_count_from.max(entry.last_echo + lease);
        }
        (entry.stream, entry.boot, entry.zone, entry.baseline) = (Some(stream), boot, zone, baseline);
        entry.applied_end = 0;
        let end = self.channel.join(&mut entry.position);
        entry.awaited_end = Some((end, now));
        self.followers += 1;
        let welcome = self.welcome();
        let snapshot = self.table.snapshot(&self.servers, end);
        if let Some(entry) = self.streams.get_mut(&stream) {
            entry.proxy = Some(proxy);
            entry.priority_frames.push_back(welcome);
            entry.priority_frames.extend(snapshot);
        }
        self.write_priority(now, stream);
        Ok(())
    }

    /// Returns the index of a zone. There are at most as many zones as proxies, else a proxy that names another zone on
    /// each join would exhaust the memory. Zones past that limit count as the first.
    pub(super) fn zone(&mut self, name: &str) -> usize {
        let name = name.to_owned();
        let full = self.zones.id(self.limits.proxies).is_some();
        self.zones.find(&name).unwrap_or_else(|| if full { 0 } else { self.zones.index(&name) })
    }

    /// Builds the welcome frame: term, intervals, and the request kinds.
    pub(super) fn welcome(&self) -> Bytes {
        let limits = &self.limits;
        let mut frame = Frame::new(kind::WELCOME);
        let times = [
            (tag::LEASE, limits.lease - limits.lease / CLOCK_DRIFT_DIVISOR),
            (tag::HOLD, limits.hold),
            (tag::SETTLE, limits.settle),
            // Four pings per lease, so that three may be lost to a series of short pauses.
            (tag::PING_EVERY, (limits.lease / 4).min(limits.stream_timeout / 4).max(1)),
            (tag::REPORT_EVERY, limits.cycle),
        ];
        frame.numbers(tag::VERSION, &[VERSION]).numbers(tag::TERM, &[self.term]);
        times.iter().for_each(|&(tag, time)| _ = frame.numbers(tag, &[time as u64]));
        frame.numbers(tag::SLICES, &[limits.slices as u64]);
        limits.kinds.iter().for_each(|(name, writes)| _ = frame.text(tag::KIND, &[u64::from(*writes)], name));
        frame.finish()
    }

    /// Handles the answer to an epoch or an end.
    pub(super) fn answer(&mut self, now: Time, proxy: usize, mut body: Body) -> Result<(), DecodeError> {
        while let Some((tag, mut field)) = body.field()? {
            if tag == tag::END {
                let end = field.number()?;
                self.handle_end(now, proxy, end);
            }
            if tag != tag::MARK {
                continue;
            }
            let epoch = field.number()?;
            let entry = &mut self.proxies[proxy];
            if !entry.unanswered.iter().any(|&(pending, _)| pending == epoch) {
                self.stray_answers += 1;
                continue;
            }
            entry.unanswered.retain(|&(pending, _)| pending > epoch);
            let number = (epoch % 65_536) as u16;
            let answers_count_from = entry.answers_count_from.max(self.answers_count_from);
            if now < answers_count_from {
                entry.deferred_answer = Some(number);
                self.deferred_answers.push(Reverse((answers_count_from, proxy)));
            } else {
                self.decision_due = true;
                self.steward.mark_answered(now, proxy, number);
            }
        }
        Ok(())
    }

    /// Handles a proxy's statement that it has applied all updates up to `end`. A joining proxy is joined once it has
    /// applied every update there is. Until then it is not echoed, and decisions neither wait for it nor rely on it. So
    /// a proxy that reads nothing can't delay a hand-over by joining repeatedly, and no echoed proxy holds a line that
    /// was revoked without its answer.
    pub(super) fn handle_end(&mut self, now: Time, proxy: usize, end: u64) {
        let entry = &mut self.proxies[proxy];
        let (Some(stream), Some((awaited_end, _))) = (entry.stream, entry.awaited_end) else {
            self.stray_answers += 1;
            return;
        };
        if end < awaited_end {
            return; // answers an earlier message; the one that counts is still unanswered
        }
        if end > awaited_end {
            self.stray_answers += 1;
            return;
        }
        entry.awaited_end = None;
        entry.applied_end = end;
        if entry.joined {
            self.write_priority(now, stream); // an echo may have been held back until this answer
            return;
        }
        if !self.channel.is_caught_up(&entry.position) {
            return; // the updates still to be sent ask for another answer
        }
        entry.joined = true;
        self.joined += 1;
        self.decision_due = true;
        self.steward.proxy_joined(proxy, entry.baseline);
        self.outputs.push_back(Output::Joined { stream, proxy });
        self.write_priority(now, stream);
    }

    /// Handles a ping; it is echoed as soon as the stream allows.
    pub(super) fn ping(&mut self, now: Time, stream: u64, mut body: Body) -> Result<(), DecodeError> {
        while let Some((tag, mut field)) = body.field()? {
            if let (tag::SENT, Some(entry)) = (tag, self.streams.get_mut(&stream)) {
                entry.unechoed_ping = Some(field.number()?);
            }
        }
        self.write_priority(now, stream);
        Ok(())
    }

    /// Handles a traffic report; invalid entries are ignored.
    pub(super) fn report(&mut self, proxy: usize, mut body: Body) -> Result<(), DecodeError> {
        let zone = self.proxies[proxy].zone;
        while let Some((tag, mut field)) = body.field()? {
            match tag {
                tag::MET => {
                    let (server, count, failed) = (field.index()?, field.number()?, field.number()?);
                    // Mean times are capped at one minute; larger ones carry no more information.
                    let took = field.time()?.min(600_000);
                    let util = field.fraction().ok();
                    if server < self.servers.len() && failed <= count {
                        let (count, failed) = (clamp_count(count), clamp_count(failed));
                        self.totals.add_traffic(zone, server, count, failed, took, util);
                    }
                }
                tag::ARRIVED => {
                    let (slice, kind, count) = (field.index()?, field.index()?, field.number()?);
                    if slice < self.limits.slices && kind < self.limits.kinds.len() {
                        self.totals.add_demand(slice, kind, clamp_count(count));
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Sends a refusal and closes the stream.
    pub(super) fn refuse(&mut self, now: Time, stream: u64, why: CloseReason, reason: &str) {
        let body = Frame::new(kind::REFUSAL)
            .numbers(tag::VERSION, &[VERSION])
            .text(tag::REASON, &[], reason)
            .finish();
        self.outputs.push_back(Output::Frame { stream, body });
        self.close(now, stream, why);
    }
}

/// Limits a reported count to one million per cycle; a larger one is not plausible.
fn clamp_count(count: u64) -> f64 {
    count.min(1_000_000) as f64
}
