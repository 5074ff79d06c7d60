//! A job's run at its site. The lease is checked right before each step is sent.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use ravenspar_jobs::Ended;
use ravenspar_protocol::codec;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use super::Agent;
use crate::effects::{Answer, Call, MAX_MESSAGE_BYTES};

/// The specification of a job in the lab's days.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    pub user: String,
    #[serde(default)]
    pub group: String,
    pub steps: u64,
    pub step_ms: u64,
    /// Each run fails at its end.
    #[serde(default)]
    pub fails: bool,
    /// Each run crashes its agent.
    #[serde(default)]
    pub poison: bool,
}

enum Stopped {
    /// Another site holds the job or the lease has expired. There is no outcome to deliver.
    NotHeld,
    /// The effects service doesn't answer.
    Unavailable,
}

pub(super) async fn run(agent: Rc<Agent>, job: String, token: u64, spec: String) {
    let began = agent.core.borrow().clock.now();
    let ended = match serde_json::from_str::<Spec>(&spec) {
        Err(why) => Ok(Ended::Failed(format!("it can't be read: {why}"))),
        Ok(spec) => loop {
            match steps(&agent, &job, token, &spec, began).await {
                Err(Stopped::Unavailable) if agent.holds(&job, token) => {
                    sleep(Duration::from_millis(100)).await
                }
                Err(Stopped::Unavailable) => break Err(Stopped::NotHeld),
                ended => break ended,
            }
        },
    };
    let mut core = agent.core.borrow_mut();
    let used = (core.clock.now() - began) * core.options.lies as i64;
    core.used.insert((token, job.clone()), (used, true));
    core.disk.final_usage(token, used, &job);
    match ended {
        Ok(ended) => {
            core.disk.outcome(&job, token, &ended);
            core.holder.add_outcome(&job, token, ended);
        }
        Err(_) => {
            // Stopped by a steward, or the lease is over: the outcome is reported only if the job was still held.
            if core.holder.stop(&job, token) {
                core.holder.add_outcome(&job, token, Ended::Stopped);
            }
        }
    }
    drop(core);
    agent.send_due.notify_waiters();
}

impl Agent {
    /// Returns true if the job is held under this token and the lease is valid.
    pub(super) fn holds(&self, job: &str, token: u64) -> bool {
        let core = self.core.borrow();
        if core.options.ignores_lease {
            return true;
        }
        let mine = core.holder.held().any(|(held, hold)| held == job && hold.token == token);
        mine && core.holder.may_work(core.clock.now())
    }
}

/// Updates the usage of a run that goes on.
fn update_usage(agent: &Agent, job: &str, token: u64, began: crate::Time) {
    let core = &mut *agent.core.borrow_mut();
    let used = (core.clock.now() - began) * core.options.lies as i64;
    core.used.insert((token, job.to_owned()), (used, false));
}

async fn steps(
    agent: &Agent,
    job: &str,
    token: u64,
    spec: &Spec,
    began: crate::Time,
) -> Result<Ended, Stopped> {
    let (effects, site) = {
        let core = agent.core.borrow();
        (core.options.effects, core.options.name.clone())
    };
    let connecting = timeout(Duration::from_secs(2), TcpStream::connect(effects)).await;
    let socket = connecting.ok().and_then(Result::ok).ok_or(Stopped::Unavailable)?;
    let _ = socket.set_nodelay(true);
    let mut frames = Framed::new(socket, codec(MAX_MESSAGE_BYTES));
    let mut call = async |call: Call| -> Result<u64, Stopped> {
        if !agent.holds(job, token) {
            return Err(Stopped::NotHeld);
        }
        let pause = {
            let mut core = agent.core.borrow_mut();
            core.calls += 1;
            core.options.pause_at == Some(core.calls)
        };
        if pause {
            let own = std::process::id().to_string();
            let _ = std::process::Command::new("kill").args(["-STOP", &own]).status();
        }
        let body = serde_json::to_vec(&call).unwrap_or_default();
        frames.send(Bytes::from(body)).await.map_err(|_| Stopped::Unavailable)?;
        let answer = timeout(Duration::from_secs(2), frames.next()).await;
        let body = answer.ok().flatten().and_then(Result::ok).ok_or(Stopped::Unavailable)?;
        match serde_json::from_slice(&body).map_err(|_| Stopped::Unavailable)? {
            Answer::Applied(steps) => Ok(steps),
            Answer::Refused(_) => Err(Stopped::NotHeld),
        }
    };
    let open = Call::Open { site: site.clone(), job: job.to_owned(), token };
    let mut applied = call(open).await?;
    if spec.poison {
        std::process::abort();
    }
    while applied < spec.steps {
        sleep(Duration::from_millis(spec.step_ms)).await;
        update_usage(agent, job, token, began);
        let step = Call::Step { site: site.clone(), job: job.to_owned(), token, step: applied };
        applied = call(step).await?;
    }
    Ok(if spec.fails { Ended::Failed("it fails".to_owned()) } else { Ended::Done })
}
