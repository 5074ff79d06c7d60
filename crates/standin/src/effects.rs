//! A place where the effects of jobs land, as its takers are asked to be: it keeps the highest token of each job, refuses
//! lower ones, and knows which steps have landed.

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

/// Bytes of a call or an answer at most.
pub const MOST: usize = 4_096;

/// What a site asks for. `site`: who it says it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// The job is mine under this token: which of its steps have landed? Nobody with a lower token gets anything done from
    /// here on.
    Open { site: String, job: String, token: u64 },
    /// Step number so much lands, if it has not yet.
    Step { site: String, job: String, token: u64, step: u64 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// So many steps have landed.
    Landed(u64),
    /// The token that holds is higher.
    Refused(u64),
}

/// What came of a call, in order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Landing {
    pub at: Time,
    pub call: Call,
    pub answer: Answer,
    /// The step took effect by this call.
    pub effect: bool,
}

struct Inner {
    effect_receiver: EffectReceiver<String>,
    landed: BTreeMap<String, u64>,
    landings: Vec<Landing>,
    /// It has no memory, neither of tokens nor of steps: a taker that is none.
    forgets: bool,
    now: Box<dyn Fn() -> Time>,
}

/// Shared by its sockets.
#[derive(Clone)]
pub struct Effects(Rc<RefCell<Inner>>);

impl Effects {
    /// `jobs`: remembered at most.
    pub fn new(jobs: usize, forgets: bool, now: impl Fn() -> Time + 'static) -> Effects {
        Effects(Rc::new(RefCell::new(Inner {
            effect_receiver: EffectReceiver::new(jobs),
            landed: BTreeMap::new(),
            landings: Vec::new(),
            forgets,
            now: Box::new(now),
        })))
    }

    pub fn landings(&self) -> Vec<Landing> {
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
        let mut frames = Framed::new(socket, codec(MOST));
        while let Some(Ok(body)) = frames.next().await {
            let Ok(call) = serde_json::from_slice(&body) else { return };
            let answer = serde_json::to_vec(&self.take(call)).unwrap_or_default();
            if frames.send(Bytes::from(answer)).await.is_err() {
                return;
            }
        }
    }

    fn take(&self, call: Call) -> Answer {
        let inner = &mut *self.0.borrow_mut();
        let (job, token) = match &call {
            Call::Open { job, token, .. } | Call::Step { job, token, .. } => (job.clone(), *token),
        };
        let refused = if inner.forgets { None } else { inner.effect_receiver.take(job.clone(), token).err() };
        let landed = inner.landed.entry(job).or_default();
        let mut effect = false;
        let answer = match (refused, &call) {
            (Some(refused), _) => Answer::Refused(refused.highest_term),
            (None, Call::Open { .. }) => Answer::Landed(if inner.forgets { 0 } else { *landed }),
            (None, Call::Step { step, .. }) => {
                effect = inner.forgets || *step == *landed;
                *landed = (*landed).max(step + 1);
                Answer::Landed(*landed)
            }
        };
        let at = (inner.now)();
        inner.landings.push(Landing { at, call, answer, effect });
        answer
    }
}
