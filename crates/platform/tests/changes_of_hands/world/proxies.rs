//! Proxies: their streams, their reads of the store, and their acknowledgements of marks.

use ravenspar_platform::Time;
use serde_json::json;

use super::*;

#[derive(Clone, Default)]
pub(super) struct Stream {
    pub(super) joined: bool,
    /// Identifies the current stream.
    pub(super) number: u64,
    pub(super) last_arrival: Time,
    /// Marks to acknowledge once pending reads are done.
    pub(super) marks: Vec<u64>,
}

#[derive(Clone, Default)]
pub(super) struct Proxy {
    pub(super) slices: Vec<ProxySlice>,
    pub(super) streams: Vec<Stream>,
}

impl World {
    /// Schedules a read of the store if the proxy is joined to the slice's steward.
    pub(super) fn read_soon(&mut self, proxy: usize, slice: usize) {
        if self.proxies[proxy].streams[self.slices[slice].steward].joined {
            self.reads += 1;
            let pending_read = self.reads;
            self.proxies[proxy].slices[slice].pending_read = Some(pending_read);
            let span = self.draw("read", proxy, slice, READ_DELAY);
            self.after(span, Event::Read { proxy, slice, pending_read });
        }
    }

    pub(super) fn read(&mut self, proxy: usize, slice: usize, pending_read: u64) {
        let cached = &mut self.proxies[proxy].slices[slice];
        if cached.pending_read == Some(pending_read) {
            let StoredSlice { table, version, .. } = self.slices[slice];
            *cached = ProxySlice { table, version, until: Time::MAX, pending_read: None };
            self.trace(|| format!("proxy {proxy} reads slice {slice}: {table:?}"));
        }
    }

    pub(super) fn break_streams(&mut self, steward: usize, duration: Time) {
        (0..PROXIES).for_each(|proxy| self.break_stream(proxy, steward, duration));
    }

    pub(super) fn break_stream(&mut self, proxy: usize, steward: usize, duration: Time) {
        let stream = &mut self.proxies[proxy].streams[steward];
        if !std::mem::take(&mut stream.joined) {
            return;
        }
        stream.number += 1;
        stream.marks.clear();
        for slice in (0..SLICES).filter(|slice| self.slices[*slice].steward == steward) {
            let cached = &mut self.proxies[proxy].slices[slice];
            (cached.until, cached.pending_read) = (cached.until.min(self.now + LEASE), None);
        }
        self.trace(|| format!("proxy {proxy} leaves n{steward}"));
        let delay = self.draw("left", proxy, steward, [0, 300 * MILLISECOND]);
        self.notify(steward, delay, "CLOSED", json!({"id": proxy}));
        let join_delay = self.draw("join", proxy, steward, JOIN_DELAY);
        self.after(duration + join_delay, Event::Join { proxy, steward });
    }

    pub(super) fn join(&mut self, proxy: usize, steward: usize) {
        if self.proxies[proxy].streams[steward].joined {
            return;
        }
        if !self.is_up(steward) {
            let join_delay = self.draw("join", proxy, steward, JOIN_DELAY);
            self.after(join_delay, Event::Join { proxy, steward });
            return;
        }
        self.proxies[proxy].streams[steward].joined = true;
        self.trace(|| format!("proxy {proxy} joins n{steward}"));
        let delay = self.draw("joined", proxy, steward, [0, 100 * MILLISECOND]);
        self.notify(steward, delay, "SUBSCRIBE", json!({"id": proxy, "site": "a", "rps": 2.0, "new": false}));
        for slice in (0..SLICES).filter(|slice| self.slices[*slice].steward == steward).collect::<Vec<_>>() {
            self.read_soon(proxy, slice);
        }
    }

    pub(super) fn deliver_message(&mut self, proxy: usize, steward: usize, stream: u64, message: &Message) {
        if self.proxies[proxy].streams[steward].number != stream {
            return;
        }
        for &(slice, change, version) in &message.changes {
            let cached = &mut self.proxies[proxy].slices[slice];
            // Changes older than its last read are known.
            if version > cached.version {
                cached.table.apply(change);
                self.trace(|| format!("proxy {proxy} applies n{steward}'s {change:?} of slice {slice}"));
            }
        }
        self.proxies[proxy].streams[steward].marks.extend(message.mark);
    }

    /// Acknowledges marks of proxies without pending reads.
    pub(super) fn answer_marks(&mut self) {
        for (proxy, steward) in
            (0..PROXIES).flat_map(|proxy| (0..STEWARDS).map(move |steward| (proxy, steward)))
        {
            let own = (0..SLICES).filter(|slice| self.slices[*slice].steward == steward);
            let has_pending_read =
                own.into_iter().any(|slice| self.proxies[proxy].slices[slice].pending_read.is_some());
            if has_pending_read || self.proxies[proxy].streams[steward].marks.is_empty() {
                continue;
            }
            for mark in std::mem::take(&mut self.proxies[proxy].streams[steward].marks) {
                self.trace(|| format!("proxy {proxy} acknowledges n{steward}'s mark {mark}"));
                let delay = self.draw("answer", proxy, steward, [0, 20 * MILLISECOND]);
                self.notify(steward, delay, "ACK", json!({"id": proxy, "seq": mark, "ms": 300.0}));
            }
        }
    }
}
