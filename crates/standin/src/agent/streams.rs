//! An agent's stream to a steward.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use ravenspar_jobs::{Ended, OrderOutcome};
use ravenspar_protocol::{
    codec, kind, tag, Body, DecodeError, Frame, MAX_BODY_FROM_PROXY, MAX_BODY_FROM_STEWARD, VERSION,
};
use tokio::net::TcpStream;
use tokio::time::{interval, sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite};

use super::{runs, Agent, Core};
use crate::{Time, SECOND};

/// Interval of the checks for messages to send: renewals that are due, outcomes without an acknowledgement.
const SEND_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of the pings, by which each steward knows that it reaches this site.
const PING_INTERVAL: Time = SECOND;
/// A stream on which nothing was received for this long is closed.
const IDLE_TIMEOUT: Time = 4 * SECOND;

/// Maximum number of outcomes, and of usages, sent at a time.
const MAX_BATCH: usize = 32;

/// Keeps a stream to a steward, reconnecting forever.
pub(super) async fn follow(agent: Rc<Agent>, number: usize, address: SocketAddr) {
    loop {
        let _ = run_connection(&agent, number, address).await;
        let wait = agent.core.borrow_mut().rng.u64(50..300);
        sleep(Duration::from_millis(wait)).await;
    }
}

async fn run_connection(agent: &Rc<Agent>, number: usize, address: SocketAddr) -> std::io::Result<()> {
    let protocol_error = |fault: DecodeError| std::io::Error::other(fault.to_string());
    let connecting = timeout(Duration::from_millis(400), TcpStream::connect(address));
    let socket = connecting.await.map_err(std::io::Error::other)??;
    socket.set_nodelay(true)?;
    let (read, write) = socket.into_split();
    let (mut read, mut write) = (
        FramedRead::new(read, codec(MAX_BODY_FROM_STEWARD)),
        FramedWrite::new(write, codec(MAX_BODY_FROM_PROXY)),
    );
    let mut send_check = interval(SEND_CHECK_INTERVAL);
    let (mut incarnation, mut renewed_at) = (0, 0);
    let (mut ping_at, mut received_at) = (0, agent.core.borrow().clock.now());
    loop {
        let now = agent.core.borrow().clock.now();
        if now >= received_at + IDLE_TIMEOUT {
            return Ok(());
        }
        if now >= ping_at && incarnation != 0 {
            ping_at = now + PING_INTERVAL;
            write.send(Frame::new(kind::PING).numbers(tag::SENT, &[now as u64]).finish()).await?;
        }
        tokio::select! {
            biased;
            body = read.next() => {
                let Some(body) = body else { return Ok(()) };
                let body = body?;
                received_at = agent.core.borrow().clock.now();
                for answer in handle_frame(agent, number, &body).map_err(protocol_error)? {
                    write.send(answer).await?;
                }
            }
            _ = send_check.tick() => {
                for body in frames_due(agent, number, &mut incarnation, &mut renewed_at) {
                    write.send(body).await?;
                }
            }
            () = agent.send_due.notified() => {
                for body in frames_due(agent, number, &mut incarnation, &mut renewed_at) {
                    write.send(body).await?;
                }
            }
        }
    }
}

/// Returns the frames that are due on this stream.
fn frames_due(agent: &Agent, number: usize, incarnation: &mut u64, renewed_at: &mut Time) -> Vec<Bytes> {
    let core = &mut *agent.core.borrow_mut();
    let now = core.clock.now();
    let mut frames = Vec::new();
    if *incarnation != core.holder.incarnation() {
        *incarnation = core.holder.incarnation();
        let mut site = Frame::new(kind::SITE);
        site.numbers(tag::VERSION, &[VERSION]);
        site.text(tag::LIFE, &[*incarnation, 1, core.options.room as u64], &core.options.name);
        core.earlier_incarnations.iter().for_each(|before| _ = site.numbers(tag::BEFORE, &[*before]));
        frames.push(site.finish());
        *renewed_at = 0;
    }
    // If the current steward hasn't acknowledged a renewal for two fifths of a lease, renew through this one, whose
    // stream is open.
    if number != core.current && now > core.acked_at + core.options.lease * 2 / 5 {
        (core.current, core.acked_at, *renewed_at) = (number, now, 0);
    }
    if number != core.current {
        if core.options.doubles {
            frames.extend(usage_frame(core, true));
        }
        return frames;
    }
    let every = if core.renewed { core.options.lease / 5 } else { 2_000 };
    if now >= *renewed_at + every {
        *renewed_at = now;
        core.holder.renewing(now);
        let mut renewal = Frame::new(kind::KEEP);
        renewal.numbers(tag::SENT, &[now as u64]);
        core.holder.held().for_each(|(job, held)| _ = renewal.text(tag::JOB, &[held.token], job));
        core.holder.outcomes().for_each(|(job, token, _)| _ = renewal.text(tag::JOB, &[token], job));
        frames.push(renewal.finish());
    }
    let outcomes: Vec<_> = core
        .holder
        .outcomes()
        .take(MAX_BATCH)
        .map(|(job, token, ended)| (job.to_owned(), token, ended.clone()))
        .collect();
    for (job, token, ended) in outcomes {
        let (code, why) = match &ended {
            Ended::Done => (0, ""),
            Ended::Failed(why) => (1, why.as_str()),
            Ended::Stopped => (2, ""),
        };
        let mut outcome = Frame::new(kind::OUTCOME);
        frames.push(outcome.text(tag::JOB, &[token], &job).text(tag::ENDED, &[code], why).finish());
        if core.options.forgets {
            core.holder.delivered(&job, token);
        }
    }
    // Final usage is sent until it is acknowledged, the rest with each renewal.
    let renewal_sent = *renewed_at == now;
    frames.extend(usage_frame(core, renewal_sent));
    frames
}

/// Returns a frame with the final usages and, with `all`, those of active runs too; `None` if there are none.
fn usage_frame(core: &Core, all: bool) -> Option<Bytes> {
    let usages = core.used.iter().filter(|(_, (_, last))| all || *last).take(MAX_BATCH);
    let mut used = Frame::new(kind::USED);
    let empty = used.len();
    for ((token, job), (amount, last)) in usages {
        used.text(tag::USE, &[*token, *amount as u64, u64::from(*last)], job);
    }
    (used.len() > empty).then(|| used.finish())
}

/// Handles a frame from a steward; returns the replies.
fn handle_frame(agent: &Rc<Agent>, number: usize, body: &[u8]) -> Result<Vec<Bytes>, DecodeError> {
    let mut fields = Body::new(body)?;
    let kind = fields.kind();
    let (mut sent, mut incarnation, mut term) = (0, 0, 0);
    let (mut job, mut spec, mut counted) = (None, "", Vec::new());
    while let Some((tag, mut field)) = fields.field()? {
        match tag {
            tag::SENT => sent = field.time()?,
            tag::LIFE => incarnation = field.number()?,
            tag::TERM => term = field.number()?,
            tag::JOB => {
                let token = field.number()?;
                job = Some((field.text()?, token));
            }
            tag::SPEC => spec = field.text()?,
            tag::USE => {
                let (token, used, _) = (field.number()?, field.time()?, field.number()?);
                counted.push((token, used, field.text()?));
            }
            _ => {}
        }
    }
    let core = &mut *agent.core.borrow_mut();
    let now = core.clock.now();
    match (kind, job) {
        (kind::KEPT, _) => {
            // An acknowledgement for an earlier incarnation renews nothing.
            core.holder.renewed(incarnation, sent);
            core.renewed |= core.holder.may_work(now);
            if number == core.current {
                core.acked_at = now;
            }
        }
        (kind::OVER, _)
            if incarnation == core.holder.incarnation() && core.renewed && !core.options.ignores_lease =>
        {
            core.begin_incarnation();
            agent.send_due.notify_waiters();
        }
        (kind::GIVE, Some((job, token))) => match core.holder.begin(now, term, incarnation, job, token, spec)
        {
            OrderOutcome::Begin { record } => {
                if record {
                    core.disk.term(term);
                }
                tokio::task::spawn_local(runs::run(agent.clone(), job.to_owned(), token, spec.to_owned()));
            }
            OrderOutcome::Refused(holds) => {
                return Ok(vec![Frame::new(kind::HOLDS).numbers(tag::TERM, &[holds]).finish()]);
            }
            OrderOutcome::Known | OrderOutcome::Stale => {}
        },
        (kind::STOP, Some((job, token))) if core.holder.stop(job, token) => {
            core.holder.add_outcome(job, token, Ended::Stopped);
            agent.send_due.notify_waiters();
        }
        (kind::VERDICT, Some((job, token))) => {
            core.holder.delivered(job, token);
            core.disk.delivered(job, token);
        }
        (kind::COUNTED, _) => {
            for (token, used, job) in counted {
                let key = (token, job.to_owned());
                if core.used.get(&key).is_some_and(|(own, last)| *last && *own <= used) {
                    core.used.remove(&key);
                    core.disk.usage_acknowledged(token, job);
                }
            }
        }
        _ => {}
    }
    Ok(Vec::new())
}
