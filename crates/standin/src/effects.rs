//! A service that applies the effects of jobs and follows the rules for effect receivers: it keeps the highest token of
//! each job, refuses lower ones, and records which steps have been applied.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use ravenspar_duty::EffectReceiver;
use ravenspar_protocol::codec;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

use crate::Time;

/// Maximum size in bytes of a call or an answer.
pub const MAX_MESSAGE_BYTES: usize = 4_096;

/// A call by a site, which names itself in `site`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Claims the job under this token and asks how many of its steps have been applied. Calls with a lower token are
    /// refused from here on.
    Open { site: String, job: String, token: u64 },
    /// Applies the step of this number, unless it has been applied.
    Step { site: String, job: String, token: u64, step: u64 },
}

/// The answer to a [`Call`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The number of steps that have been applied.
    #[serde(rename = "landed")]
    Applied(u64),
    /// Refused, as a higher token has been seen: this one.
    Refused(u64),
}

/// A call and its answer, as recorded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallRecord {
    pub at: Time,
    pub call: Call,
    pub answer: Answer,
    /// True if the step took effect by this call.
    pub effect: bool,
}

struct Inner {
    effect_receiver: EffectReceiver<String>,
    applied: BTreeMap<String, u64>,
    landings: Vec<CallRecord>,
    /// Fault: it remembers neither tokens nor steps.
    forgets: bool,
    now: Box<dyn Fn() -> Time>,
}

/// The effects service; clones share its state.
#[derive(Clone)]
pub struct Effects(Rc<RefCell<Inner>>);

impl Effects {
    /// Remembers at most `jobs` jobs.
    pub fn new(jobs: usize, forgets: bool, now: impl Fn() -> Time + 'static) -> Effects {
        Effects(Rc::new(RefCell::new(Inner {
            effect_receiver: EffectReceiver::new(jobs),
            applied: BTreeMap::new(),
            landings: Vec::new(),
            forgets,
            now: Box::new(now),
        })))
    }

    /// Returns all calls so far, in order.
    pub fn landings(&self) -> Vec<CallRecord> {
        self.0.borrow().landings.clone()
    }

    /// Listens on loopback until the runtime ends.
    pub async fn listen(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let effects = self.clone();
        tokio::task::spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::task::spawn_local(effects.clone().serve(socket));
            }
        });
        Ok(address)
    }

    async fn serve(self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut frames = Framed::new(socket, codec(MAX_MESSAGE_BYTES));
        while let Some(Ok(body)) = frames.next().await {
            let Ok(call) = serde_json::from_slice(&body) else { return };
            let answer = serde_json::to_vec(&self.handle_call(call)).unwrap_or_default();
            if frames.send(Bytes::from(answer)).await.is_err() {
                return;
            }
        }
    }

    fn handle_call(&self, call: Call) -> Answer {
        let inner = &mut *self.0.borrow_mut();
        let (job, token) = match &call {
            Call::Open { job, token, .. } | Call::Step { job, token, .. } => (job.clone(), *token),
        };
        let refused = if inner.forgets { None } else { inner.effect_receiver.take(job.clone(), token).err() };
        let applied = inner.applied.entry(job).or_default();
        let mut effect = false;
        let answer = match (refused, &call) {
            (Some(refused), _) => Answer::Refused(refused.highest_term),
            (None, Call::Open { .. }) => Answer::Applied(if inner.forgets { 0 } else { *applied }),
            (None, Call::Step { step, .. }) => {
                effect = inner.forgets || *step == *applied;
                *applied = (*applied).max(step + 1);
                Answer::Applied(*applied)
            }
        };
        let at = (inner.now)();
        inner.landings.push(CallRecord { at, call, answer, effect });
        answer
    }
}
