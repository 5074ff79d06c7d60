//! The frames between stewards and agents of sites; `docs/protocol.md` has the table.

use std::collections::BTreeSet;

use bytes::Bytes;
use ravenspar_debt::Key;
use ravenspar_jobs::{Ended, Hello, Incarnation, Token};
use ravenspar_protocol::{kind, tag, Body, DecodeError, Frame, VERSION};

/// An agent's report of what a job has used under a token so far; `last` marks the final one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Used {
    pub token: Token,
    pub used: u64,
    pub last: bool,
    pub job: String,
}

/// A message from an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Introduces the site and its incarnation; `before` are earlier incarnations that have ended for good.
    Site { hello: Hello, before: Vec<Incarnation>, version: u64 },
    /// Renews the incarnation's lease, and lists the jobs that the site runs or has outcomes of.
    Keep { sent: u64, held_jobs: BTreeSet<(String, Token)> },
    /// Reports how a job ended.
    Outcome { job: String, token: Token, ended: Ended },
    /// Reports what was used under tokens.
    Used(Vec<Used>),
    /// Rejects an order: the agent knows this term of the duty, which is higher than the order's.
    Holds(u64),
    /// Ends this incarnation, which runs no jobs any more.
    Over(Incarnation),
    /// A heartbeat, with the time at which it was sent.
    Ping(u64),
    /// A frame of a kind that agents don't send.
    Unknown,
}

/// Decodes an agent's frame; fails if it is malformed or lacks a required field.
pub fn decode(body: &[u8]) -> Result<Message, DecodeError> {
    let mut body = Body::new(body)?;
    let kind = body.kind();
    let (mut sent, mut version, mut term, mut incarnation) = (0, 0, 0, 0);
    let (mut hello, mut before, mut held_jobs, mut uses) = (None, Vec::new(), Vec::new(), Vec::new());
    let mut ended = None;
    while let Some((tag, mut field)) = body.field()? {
        match tag {
            tag::VERSION => version = field.number()?,
            tag::SENT => sent = field.number()?,
            tag::TERM => term = field.number()?,
            tag::LIFE => {
                incarnation = field.number()?;
                if kind == kind::SITE {
                    let (boot, room) = (field.number()?, field.index()?);
                    hello = Some(Hello { incarnation, boot, room, name: field.text()?.to_owned() });
                }
            }
            tag::BEFORE => before.push(field.number()?),
            tag::JOB => {
                let token = field.number()?;
                held_jobs.push((field.text()?.to_owned(), token));
            }
            tag::ENDED => {
                let how = field.number()?;
                let why = field.text()?.to_owned();
                ended = Some(match how {
                    0 => Ended::Done,
                    1 => Ended::Failed(why),
                    _ => Ended::Stopped,
                });
            }
            tag::USE => {
                let (token, used, last) = (field.number()?, field.number()?, field.number()? > 0);
                uses.push(Used { token, used, last, job: field.text()?.to_owned() });
            }
            _ => {}
        }
    }
    Ok(match kind {
        kind::SITE => match hello {
            Some(hello) => Message::Site { hello, before, version },
            None => return Err(DecodeError::MissingNumber(tag::LIFE)),
        },
        kind::KEEP => Message::Keep { sent, held_jobs: held_jobs.into_iter().collect() },
        kind::OUTCOME => match (held_jobs.pop(), ended) {
            (Some((job, token)), Some(ended)) => Message::Outcome { job, token, ended },
            _ => return Err(DecodeError::MissingNumber(tag::JOB)),
        },
        kind::PING => Message::Ping(sent),
        kind::USED => Message::Used(uses),
        kind::HOLDS => Message::Holds(term),
        kind::OVER => Message::Over(incarnation),
        _ => Message::Unknown,
    })
}

/// The last frame of a stream that this steward closes, with the reason.
pub fn refusal(reason: &str) -> Bytes {
    Frame::new(kind::REFUSAL).numbers(tag::VERSION, &[VERSION]).text(tag::REASON, &[], reason).finish()
}

/// Confirms a renewal that the agent sent at `sent`.
pub fn kept(incarnation: Incarnation, sent: u64, lease: u64) -> Bytes {
    let mut frame = Frame::new(kind::KEPT);
    frame
        .numbers(tag::LIFE, &[incarnation])
        .numbers(tag::SENT, &[sent])
        .numbers(tag::LEASE, &[lease])
        .finish()
}

/// Answers a heartbeat.
pub fn echo(sent: u64) -> Bytes {
    Frame::new(kind::ECHO).numbers(tag::SENT, &[sent]).finish()
}

/// Tells an agent that its site's incarnation has ended.
pub fn over(incarnation: Incarnation) -> Bytes {
    Frame::new(kind::OVER).numbers(tag::LIFE, &[incarnation]).finish()
}

/// Assigns a job to a site's incarnation.
pub fn give(term: u64, incarnation: Incarnation, job: &str, token: Token, spec: &str) -> Bytes {
    let mut frame = Frame::new(kind::GIVE);
    frame.numbers(tag::TERM, &[term]).numbers(tag::LIFE, &[incarnation]);
    frame.text(tag::JOB, &[token], job).text(tag::SPEC, &[], spec).finish()
}

/// Tells an agent to stop a job.
pub fn stop(term: u64, job: &str, token: Token) -> Bytes {
    Frame::new(kind::STOP).numbers(tag::TERM, &[term]).text(tag::JOB, &[token], job).finish()
}

/// Accepts a reported outcome, or refuses it for a reason.
pub fn verdict(job: &str, token: Token, refused: Option<&str>) -> Bytes {
    let how = u64::from(refused.is_some());
    let mut frame = Frame::new(kind::VERDICT);
    frame.text(tag::JOB, &[token], job).text(tag::ENDED, &[how], refused.unwrap_or("")).finish()
}

/// Acknowledges uses that are stored or need not be reported any more.
pub fn counted(uses: &[(Key, u64)]) -> Bytes {
    let mut frame = Frame::new(kind::COUNTED);
    for ((token, job), used) in uses {
        frame.text(tag::USE, &[*token, *used, 0], job);
    }
    frame.finish()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn agent_messages_are_decoded_and_incomplete_ones_rejected() {
        let mut site = Frame::new(kind::SITE);
        site.numbers(tag::VERSION, &[VERSION])
            .text(tag::LIFE, &[9, 1, 4], "north")
            .numbers(tag::BEFORE, &[8]);
        let hello = Hello { incarnation: 9, boot: 1, room: 4, name: "north".to_owned() };
        assert_eq!(decode(&site.finish()), Ok(Message::Site { hello, before: vec![8], version: VERSION }));
        let mut outcome = Frame::new(kind::OUTCOME);
        outcome.text(tag::JOB, &[70], "a").text(tag::ENDED, &[1], "why");
        let ended = Ended::Failed("why".to_owned());
        assert_eq!(decode(&outcome.finish()), Ok(Message::Outcome { job: "a".to_owned(), token: 70, ended }));
        assert!(decode(&Frame::new(kind::SITE).finish()).is_err());
        assert!(decode(&Frame::new(kind::OUTCOME).finish()).is_err());
        assert!(decode(Frame::new(kind::KEEP).numbers(tag::JOB, &[]).finish().as_ref()).is_err());
        use super::super::rows;
        assert!(
            rows::is_name("a-1.b_C")
                && !rows::is_name("")
                && !rows::is_name("a/b")
                && !rows::is_name(&"x".repeat(129))
        );
    }
}
