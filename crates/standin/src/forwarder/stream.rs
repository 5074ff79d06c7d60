//! The stream to a steward: hello, the full table, changes, marks, pings and reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use ravenspar_protocol::{
    codec, kind, millionths, tag, Body, DecodeError, Frame, MAX_BODY_FROM_PROXY, MAX_BODY_FROM_STEWARD,
    VERSION,
};
use tokio::net::TcpStream;
use tokio::time::{interval, sleep, timeout, Instant};
use tokio_util::codec::{FramedRead, FramedWrite};

use super::table::PartialTable;
use super::{Forwarder, ServerStats};
use crate::{duration, Time};

/// Keeps a stream to each steward, reconnecting forever. A steward's table stays in use while it is unreachable.
pub fn follow(forwarder: &Rc<Forwarder>) {
    let (stewards, boot) = {
        let mut core = forwarder.core.borrow_mut();
        // A restarted forwarder has another boot id, though its seed is the same.
        let boot = core.clock.now() as u64 ^ core.rng.u64(..);
        (core.options.stewards.clone(), boot)
    };
    for (number, address) in stewards.into_iter().enumerate() {
        let forwarder = forwarder.clone();
        tokio::task::spawn_local(async move {
            let mut newest_term = 0;
            loop {
                let _ = run_connection(&forwarder, number, address, boot, &mut newest_term).await;
                let wait = forwarder.core.borrow_mut().rng.u64(50..300);
                sleep(Duration::from_millis(wait)).await;
            }
        });
    }
}

/// State of one stream.
struct StreamState {
    /// Index of the steward.
    steward: usize,
    /// Duration of the lease, from the welcome.
    lease: Time,
    /// True once the full table has been read on this stream.
    full_table_read: bool,
    partial: PartialTable,
}

async fn run_connection(
    forwarder: &Forwarder,
    number: usize,
    steward: SocketAddr,
    boot: u64,
    newest_term: &mut u64,
) -> std::io::Result<()> {
    let protocol_error = |fault: DecodeError| std::io::Error::other(fault.to_string());
    let connecting = timeout(Duration::from_millis(400), TcpStream::connect(steward));
    let socket = connecting.await.map_err(std::io::Error::other)??;
    socket.set_nodelay(true)?;
    let (read, write) = socket.into_split();
    let (mut read, mut write) = (
        FramedRead::new(read, codec(MAX_BODY_FROM_STEWARD)),
        FramedWrite::new(write, codec(MAX_BODY_FROM_PROXY)),
    );
    write.send(hello(forwarder, boot)).await?;
    let mut state =
        StreamState { steward: number, lease: 0, full_table_read: false, partial: PartialTable::default() };
    let (mut ping_every, mut report_every) = (Duration::from_secs(1), Duration::from_secs(1));
    let (mut ping, mut report) = (interval(ping_every), interval(report_every));
    let mut echoed_at = Instant::now();
    loop {
        tokio::select! {
            // Received frames are handled before anything is sent.
            biased;
            body = read.next() => {
                let Some(body) = body else { return Ok(()) };
                let body = body?;
                let mut fields = Body::new(&body).map_err(protocol_error)?;
                match fields.kind() {
                    kind::WELCOME => {
                        let term;
                        (state.lease, term, ping_every, report_every) =
                            welcome(forwarder, fields).map_err(protocol_error)?;
                        if term < *newest_term {
                            return Err(std::io::Error::other("a steward of a lower term"));
                        }
                        *newest_term = term;
                        (ping, report) = (interval(ping_every), interval(report_every));
                        report.tick().await;
                    }
                    kind::READ => {
                        if let Some(answer) = read_part(forwarder, &mut state, fields).map_err(protocol_error)? {
                            write.send(answer).await?;
                        }
                    }
                    kind::TABLE => {
                        if let Some(answer) = apply_changes(forwarder, &state, fields).map_err(protocol_error)? {
                            write.send(answer).await?;
                        }
                    }
                    kind::ECHO => {
                        while let Some((tag, mut field)) = fields.field().map_err(protocol_error)? {
                            if tag == tag::SENT {
                                echoed_at = Instant::now();
                                renew(forwarder, &state, field.time().map_err(protocol_error)?);
                            }
                        }
                    }
                    kind::REFUSAL => return Err(std::io::Error::other("refused")),
                    _ => {}
                }
            }
            _ = ping.tick() => {
                let ignores_terms = forwarder.core.borrow().options.ignores_terms;
                if echoed_at.elapsed() > 8 * ping_every && !ignores_terms {
                    return Err(std::io::Error::other("no echo"));
                }
                let now = forwarder.core.borrow().clock.now();
                write.send(Frame::new(kind::PING).numbers(tag::SENT, &[now as u64]).finish()).await?;
            }
            _ = report.tick() => {
                if let Some(body) = report_frame(forwarder, number, report_every) {
                    write.send(body).await?;
                }
            }
        }
    }
}

fn hello(forwarder: &Forwarder, boot: u64) -> Bytes {
    let core = forwarder.core.borrow();
    let options = &core.options;
    Frame::new(kind::HELLO)
        .numbers(tag::VERSION, &[VERSION])
        .numbers(tag::PROXY, &[options.number])
        .numbers(tag::BOOT, &[boot])
        .numbers(tag::USUAL, &[millionths(options.usual)])
        .text(tag::ZONE, &[], &options.zone)
        .finish()
}

/// Returns the lease, the steward's term, and how often to ping and to report.
fn welcome(forwarder: &Forwarder, mut body: Body) -> Result<(Time, u64, Duration, Duration), DecodeError> {
    let (mut term, mut lease, mut hold, mut settle, mut slices) = (0, 0, 0, 0, 0);
    let (mut ping, mut report) = (Duration::from_secs(1), Duration::from_secs(1));
    let mut kinds = Vec::new();
    while let Some((tag, mut field)) = body.field()? {
        match tag {
            tag::TERM => term = field.number()?,
            tag::LEASE => lease = field.time()?,
            tag::HOLD => hold = field.time()?,
            tag::SETTLE => settle = field.time()?,
            tag::SLICES => slices = field.index()?.min(65_535),
            tag::PING_EVERY => ping = duration(field.time()?.max(1)),
            tag::REPORT_EVERY => report = duration(field.time()?.max(1)),
            tag::KIND => kinds.push(field.number()? != 0),
            _ => {}
        }
    }
    forwarder.core.borrow_mut().table.set_shape(slices, kinds, hold, settle);
    Ok((lease, term, ping, report))
}

/// Reads a part of the full table. At its end the table replaces the previous one, and the frame to answer is returned.
fn read_part(
    forwarder: &Forwarder,
    state: &mut StreamState,
    mut body: Body,
) -> Result<Option<Bytes>, DecodeError> {
    let mut answer = None;
    while let Some((tag, mut field)) = body.field()? {
        if tag != tag::END {
            forwarder.core.borrow().table.read(&mut state.partial, tag, field)?;
            continue;
        }
        answer = Some(Frame::new(kind::ANSWER).numbers(tag::END, &[field.number()?]).finish());
        forwarder.core.borrow_mut().table.replace(state.steward, std::mem::take(&mut state.partial));
        state.full_table_read = true;
        forwarder.changed.notify_waiters();
    }
    Ok(answer)
}

/// Applies changes, stalls for their lines, and returns the answer if one is requested.
fn apply_changes(
    forwarder: &Forwarder,
    state: &StreamState,
    mut body: Body,
) -> Result<Option<Bytes>, DecodeError> {
    if !state.full_table_read {
        return Err(DecodeError::Empty); // the full table comes first
    }
    let (mut answer, mut asked, mut lines) = (Frame::new(kind::ANSWER), false, 0);
    let mut core = forwarder.core.borrow_mut();
    while let Some((tag, mut field)) = body.field()? {
        if tag == tag::MARK || tag == tag::END {
            answer.numbers(tag, &[field.number()?]);
            asked = true;
        } else if !core.options.lies || core.table.keeps_owners(tag, field.clone()) {
            lines += u64::from(core.table.take(state.steward, tag, field)?);
        }
    }
    std::thread::sleep(Duration::from_micros(lines * core.options.stall_us));
    drop(core);
    forwarder.changed.notify_waiters();
    Ok(asked.then(|| answer.finish()))
}

/// Renews the lease from when the echoed ping was sent, if the full table has been read on this stream.
fn renew(forwarder: &Forwarder, state: &StreamState, sent: Time) {
    if state.full_table_read {
        forwarder.core.borrow_mut().table.renew(state.steward, sent + state.lease);
    }
}

/// Returns a steward's report: its servers and the arrivals of its slices. `None` if there is nothing to report.
fn report_frame(forwarder: &Forwarder, steward: usize, window: Duration) -> Option<Bytes> {
    let mut core = forwarder.core.borrow_mut();
    let core = &mut *core;
    let (stats, rest) =
        std::mem::take(&mut core.server_stats).into_iter().partition(|&((of, _), _)| of == steward);
    core.server_stats = rest;
    let stats: BTreeMap<(usize, u64), ServerStats> = stats;
    let own = |&((slice, _), _): &((u64, u64), u64)| core.table.steward(slice) == steward;
    let (arrived, rest) = std::mem::take(&mut core.arrived).into_iter().partition(own);
    core.arrived = rest;
    let arrived: BTreeMap<(u64, u64), u64> = arrived;
    if stats.is_empty() && arrived.is_empty() {
        return None;
    }
    let mut frame = Frame::new(kind::REPORT);
    frame.numbers(tag::WINDOW, &[window.as_micros() as u64 / 100]);
    for ((_, server), stats) in stats {
        let took = stats.took as u64 / (stats.tries - stats.failed).max(1);
        let mut numbers = vec![server, stats.tries, stats.failed, took];
        numbers.extend(stats.util.map(millionths));
        frame.numbers(tag::MET, &numbers);
    }
    for ((slice, kind), count) in arrived {
        frame.numbers(tag::ARRIVED, &[slice, kind, count]);
    }
    Some(frame.finish())
}
