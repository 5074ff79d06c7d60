//! The streams of proxies: opening, reading, writing, closing, and timeouts.

use std::cmp::Reverse;

use ravenspar_protocol::{kind, tag, Body, DecodeError, Frame};
use ravenspar_steward::Time;

use super::Host;
use crate::proxy::Stream;
use crate::{CloseReason, Output};

impl Host {
    /// Handles a new connection, which must send its hello within `host.silent_s`.
    pub fn opened(&mut self, now: Time, stream: u64) {
        self.streams.insert(stream, Stream::new(now));
        self.deadlines.push(Reverse((now + self.limits.stream_timeout, stream)));
    }

    /// Handles a received frame body. A malformed one closes this stream and affects no other.
    pub fn frame(&mut self, now: Time, stream: u64, body: &[u8]) {
        let Some(entry) = self.streams.get_mut(&stream) else { return };
        entry.received_at = now;
        let proxy = entry.proxy;
        let read = Body::new(body).and_then(|body| match (body.kind(), proxy) {
            (kind::HELLO, None) => self.hello(now, stream, body),
            (kind::ANSWER, Some(proxy)) => self.answer(now, proxy, body),
            (kind::PING, Some(_)) => self.ping(now, stream, body),
            (kind::REPORT, Some(proxy)) => self.report(proxy, body),
            (_, Some(_)) => Ok(()),
            (_, None) => Err(DecodeError::Empty),
        });
        if read.is_err() {
            self.close(now, stream, CloseReason::Fault);
        }
    }

    /// Handles a closed stream; frames in transit are lost.
    pub fn closed(&mut self, now: Time, stream: u64) {
        let Some(entry) = self.streams.remove(&stream) else { return };
        let Some(proxy) = entry.proxy else { return };
        self.followers -= 1;
        let entry = &mut self.proxies[proxy];
        (entry.stream, entry.awaited_end, entry.deferred_answer) = (None, None, None);
        entry.unanswered.clear();
        self.channel.leave(&entry.position);
        // A proxy that had not joined was never echoed on this stream: its lease is that of its previous stream.
        if std::mem::replace(&mut entry.joined, false) {
            self.joined -= 1;
            self.decision_due = true;
            self.steward.proxy_disconnected(now, proxy);
        }
    }

    /// Handles the completed write of the stream's last frame to the socket.
    pub fn sent(&mut self, now: Time, stream: u64) {
        let Some(entry) = self.streams.get_mut(&stream) else { return };
        entry.writing_since = None;
        let proxy = entry.proxy;
        if let Some((_, since)) = proxy.and_then(|proxy| self.proxies[proxy].awaited_end.as_mut()) {
            // Reading a large table takes time: the answer's timeout starts with the last part.
            *since = now;
        }
        self.write_priority(now, stream);
        if let Some(proxy) = proxy {
            self.channel.enqueue(proxy, &mut self.proxies[proxy].position);
        }
    }

    /// Closes a stream from this side.
    pub(super) fn close(&mut self, now: Time, stream: u64, why: CloseReason) {
        self.broken += 1;
        self.outputs.push_back(Output::Close { stream, why });
        self.closed(now, stream);
    }

    /// Writes what has priority over updates, if no write is in progress: the welcome and the whole table, then the
    /// echo of the newest ping.
    pub(super) fn write_priority(&mut self, now: Time, stream: u64) {
        let Some(entry) = self.streams.get_mut(&stream).filter(|entry| entry.writing_since.is_none()) else {
            return;
        };
        // A proxy that has not yet applied that slices were given up would extend its lease on them.
        let is_up_to_date =
            |proxy: usize| self.proxies[proxy].joined && self.proxies[proxy].applied_end >= self.release_end;
        let echoed = entry.proxy.is_some_and(is_up_to_date);
        let body = match (entry.priority_frames.pop_front(), entry.unechoed_ping) {
            (Some(body), _) => body,
            (None, Some(sent)) if echoed => {
                entry.unechoed_ping = None;
                // The renewed lease runs from `sent`, which is in the past.
                entry.proxy.iter().for_each(|&proxy| self.proxies[proxy].last_echo = now);
                Frame::new(kind::ECHO).numbers(tag::SENT, &[sent]).finish()
            }
            (None, _) => return,
        };
        entry.writing_since = Some(now);
        self.outputs.push_back(Output::Frame { stream, body });
    }

    /// Closes a stream that has been silent, stuck or without an answer for too long, or schedules the next check.
    pub(super) fn check_stream(&mut self, now: Time, stream: u64) {
        let Some(entry) = self.streams.get(&stream) else { return };
        let epoch_sent =
            entry.proxy.and_then(|proxy| self.proxies[proxy].unanswered.front().map(|&(_, sent)| sent));
        let end_sent = entry.proxy.and_then(|proxy| self.proxies[proxy].awaited_end.map(|(_, since)| since));
        let reasons = [
            (Some(entry.received_at), CloseReason::Silent),
            (entry.writing_since, CloseReason::Stuck),
            (epoch_sent.or(end_sent), CloseReason::Unanswered),
        ];
        let since = reasons.into_iter().filter_map(|(since, why)| Some((since?, why)));
        let Some((since, why)) = since.min_by_key(|&(since, _)| since) else { return };
        if since + self.limits.stream_timeout <= now {
            self.close(now, stream, why);
        } else {
            self.deadlines.push(Reverse((since + self.limits.stream_timeout, stream)));
        }
    }
}
