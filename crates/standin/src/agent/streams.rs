//! An agent's stream to a steward.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use ravenspar_jobs::{Ended, Told};
use ravenspar_protocol::{codec, kind, tag, Body, Fault, Frame, MOST_DOWN, MOST_UP, VERSION};
use tokio::net::TcpStream;
use tokio::time::{interval, sleep, timeout};
use tokio_util::codec::{FramedRead, FramedWrite};

use super::{runs, Agent, Core};
use crate::{Time, SECOND};

/// Interval of the checks for messages to send: renewals that are due, outcomes without an acknowledgement.
const LOOK: Duration = Duration::from_millis(100);

/// Interval of the pings, by which each steward knows that it reaches this site.
const PING: Time = SECOND;
/// A stream on which nothing was received for this long is closed.
const SILENT: Time = 4 * SECOND;

/// Maximum number of outcomes, and of usages, sent at a time.
const AT_ONCE: usize = 32;

/// Keeps a stream to a steward, reconnecting forever.
pub(super) async fn follow(agent: Rc<Agent>, number: usize, address: SocketAddr) {
    loop {
        let _ = joined(&agent, number, address).await;
        let wait = agent.core.borrow_mut().chance.u64(50..300);
        sleep(Duration::from_millis(wait)).await;
    }
}

async fn joined(agent: &Rc<Agent>, number: usize, address: SocketAddr) -> std::io::Result<()> {
    let broken = |fault: Fault| std::io::Error::other(fault.to_string());
    let connecting = timeout(Duration::from_millis(400), TcpStream::connect(address));
    let socket = connecting.await.map_err(std::io::Error::other)??;
    socket.set_nodelay(true)?;
    let (read, write) = socket.into_split();
    let (mut read, mut write) =
        (FramedRead::new(read, codec(MOST_DOWN)), FramedWrite::new(write, codec(MOST_UP)));
    let mut look = interval(LOOK);
    let (mut life, mut kept_at) = (0, 0);
    let (mut ping_at, mut heard) = (0, agent.core.borrow().clock.now());
    loop {
        let now = agent.core.borrow().clock.now();
        if now >= heard + SILENT {
            return Ok(());
        }
        if now >= ping_at && life != 0 {
            ping_at = now + PING;
            write.send(Frame::new(kind::PING).numbers(tag::SENT, &[now as u64]).finish()).await?;
        }
        tokio::select! {
            biased;
            body = read.next() => {
                let Some(body) = body else { return Ok(()) };
                let body = body?;
                heard = agent.core.borrow().clock.now();
                for answer in take(agent, number, &body).map_err(broken)? {
                    write.send(answer).await?;
                }
            }
            _ = look.tick() => {
                for body in say(agent, number, &mut life, &mut kept_at) {
                    write.send(body).await?;
                }
            }
            () = agent.news.notified() => {
                for body in say(agent, number, &mut life, &mut kept_at) {
                    write.send(body).await?;
                }
            }
        }
    }
}

/// Returns the frames that are due on this stream.
fn say(agent: &Agent, number: usize, life: &mut u64, kept_at: &mut Time) -> Vec<Bytes> {
    let core = &mut *agent.core.borrow_mut();
    let now = core.clock.now();
    let mut said = Vec::new();
    if *life != core.holder.life() {
        *life = core.holder.life();
        let mut site = Frame::new(kind::SITE);
        site.numbers(tag::VERSION, &[VERSION]);
        site.text(tag::LIFE, &[*life, 1, core.options.room as u64], &core.options.name);
        core.before.iter().for_each(|before| _ = site.numbers(tag::BEFORE, &[*before]));
        said.push(site.finish());
        *kept_at = 0;
    }
    // If the current steward hasn't acknowledged a renewal for two fifths of a lease, renew through this one, whose
    // stream is open.
    if number != core.current && now > core.heard + core.options.lease * 2 / 5 {
        (core.current, core.heard, *kept_at) = (number, now, 0);
    }
    if number != core.current {
        if core.options.doubles {
            said.extend(uses(core, true));
        }
        return said;
    }
    let every = if core.alive { core.options.lease / 5 } else { 2_000 };
    if now >= *kept_at + every {
        *kept_at = now;
        core.holder.renewing(now);
        let mut keep = Frame::new(kind::KEEP);
        keep.numbers(tag::SENT, &[now as u64]);
        core.holder.held().for_each(|(job, held)| _ = keep.text(tag::JOB, &[held.token], job));
        core.holder.outcomes().for_each(|(job, token, _)| _ = keep.text(tag::JOB, &[token], job));
        said.push(keep.finish());
    }
    let outcomes: Vec<_> = core
        .holder
        .outcomes()
        .take(AT_ONCE)
        .map(|(job, token, ended)| (job.to_owned(), token, ended.clone()))
        .collect();
    for (job, token, ended) in outcomes {
        let (how, why) = match &ended {
            Ended::Done => (0, ""),
            Ended::Failed(why) => (1, why.as_str()),
            Ended::Stopped => (2, ""),
        };
        let mut outcome = Frame::new(kind::OUTCOME);
        said.push(outcome.text(tag::JOB, &[token], &job).text(tag::ENDED, &[how], why).finish());
        if core.options.forgets {
            core.holder.delivered(&job, token);
        }
    }
    // Final usage is sent until it is acknowledged, the rest with each renewal.
    let kept = *kept_at == now;
    said.extend(uses(core, kept));
    said
}

/// Returns a frame with the final usages and, with `all`, those of active runs too; `None` if there are none.
fn uses(core: &Core, all: bool) -> Option<Bytes> {
    let uses = core.used.iter().filter(|(_, (_, last))| all || *last).take(AT_ONCE);
    let mut used = Frame::new(kind::USED);
    let empty = used.len();
    for ((token, job), (amount, last)) in uses {
        used.text(tag::USE, &[*token, *amount as u64, u64::from(*last)], job);
    }
    (used.len() > empty).then(|| used.finish())
}

/// Handles a frame from a steward; returns the replies.
fn take(agent: &Rc<Agent>, number: usize, body: &[u8]) -> Result<Vec<Bytes>, Fault> {
    let mut fields = Body::new(body)?;
    let kind = fields.kind();
    let (mut sent, mut life, mut term) = (0, 0, 0);
    let (mut job, mut spec, mut counted) = (None, "", Vec::new());
    while let Some((tag, mut field)) = fields.field()? {
        match tag {
            tag::SENT => sent = field.time()?,
            tag::LIFE => life = field.number()?,
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
            core.holder.renewed(life, sent);
            core.alive |= core.holder.may_work(now);
            if number == core.current {
                core.heard = now;
            }
        }
        (kind::OVER, _) if life == core.holder.life() && core.alive && !core.options.ignores_lease => {
            core.over();
            agent.news.notify_waiters();
        }
        (kind::GIVE, Some((job, token))) => match core.holder.begin(now, term, life, job, token, spec) {
            Told::Begin { record } => {
                if record {
                    core.disk.term(term);
                }
                tokio::task::spawn_local(runs::run(agent.clone(), job.to_owned(), token, spec.to_owned()));
            }
            Told::Refused(holds) => {
                return Ok(vec![Frame::new(kind::HOLDS).numbers(tag::TERM, &[holds]).finish()]);
            }
            Told::Known | Told::Old => {}
        },
        (kind::STOP, Some((job, token))) if core.holder.stop(job, token) => {
            core.holder.keep(job, token, Ended::Stopped);
            agent.news.notify_waiters();
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
                    core.disk.counted(token, job);
                }
            }
        }
        _ => {}
    }
    Ok(Vec::new())
}
