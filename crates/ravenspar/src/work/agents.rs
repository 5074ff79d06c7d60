//! Communication with the agents of sites: handles their messages, and makes the calls to the store and the replies
//! that follow from them.

use ravenspar_jobs::{Action, Hello};
use ravenspar_protocol::VERSION;
use ravenspar_sharing::Incarnation;
use ravenspar_steward::SECOND;
use ravenspar_store::{FencedWriter, SharedStore};

use crate::shared::Keys;

use super::executors::AgentRequest;
use super::frames::Message;
use super::{frames, rows, Event, Task};

impl Task {
    /// Handles a message that arrived on an agent's stream.
    pub(super) fn handle_message(&mut self, stream: u64, message: Message) {
        self.agent_sessions.message_received(self.context.clock.now(), stream);
        match message {
            Message::Ping(sent) => self.write(stream, frames::echo(sent)),
            Message::Site { version, .. } if version != VERSION => self.close(stream, "another version"),
            Message::Site { hello, before, .. }
                if hello.incarnation > 0 && hello.incarnation <= i64::MAX as u64 =>
            {
                self.agent_sessions.hello(self.context.clock.now(), stream, hello, before);
            }
            Message::Site { .. } => self.close(stream, "a life from 1 to 2^63 - 1 is expected"),
            Message::Keep { sent, held_jobs } => {
                self.agent_sessions.renewal_received(stream, sent, &held_jobs);
            }
            Message::Outcome { job, .. } if !rows::is_name(&job) => {
                self.close(stream, "no job has such an id")
            }
            Message::Outcome { job, token, ended } => {
                if self.agent_sessions.outcome_received(stream, &job, token, ended)
                    && self.agent_requests.try_send(AgentRequest::ReadLine(job.clone())).is_err()
                {
                    self.agent_sessions.settled(&job, false);
                }
            }
            Message::Used(uses) => self.handle_uses(stream, uses),
            Message::Holds(term) => {
                tracing::warn!(term, "an agent knows a higher term of the duty; reading the store again");
                self.agent_sessions.order_refused();
                self.poll_now.notify_one();
            }
            Message::Over(incarnation) => {
                self.spawn_call(move |store, keys| revoke_leases(store, keys, vec![incarnation]))
            }
            Message::Unknown => self.close(stream, "a kind of frame that no agent sends"),
        }
    }

    /// Queues a frame on an agent's stream, if it is still open.
    pub(super) fn write(&mut self, stream: u64, body: bytes::Bytes) {
        let Some(agent_stream) = self.streams.get(&stream) else { return };
        // An agent that doesn't read is disconnected; its jobs' state is sent again on its next stream.
        if !agent_stream.write(body) {
            self.close(stream, "it takes nothing in");
        }
    }

    /// Starts a call to the store on behalf of an agent; dropped if too many are in flight, as agents ask again.
    pub(super) fn spawn_call<F>(&mut self, call: impl FnOnce(SharedStore, Keys) -> F)
    where
        F: std::future::Future<Output = Option<Event>> + Send + 'static,
    {
        let Ok(call_permit) = self.call_permits.clone().try_acquire_owned() else { return };
        let call = call(self.context.store.clone(), self.context.keys.clone());
        let event_sender = self.event_sender.clone();
        tokio::spawn(async move {
            let event = call.await;
            drop(call_permit);
            if let Some(event) = event {
                let _ = event_sender.send(event).await;
            }
        });
    }

    /// Carries out the actions that the agents' sessions ask for.
    pub(super) fn run_actions(&mut self) {
        let seconds = self.context.settings.lease;
        while let Some(action) = self.agent_sessions.poll() {
            match action {
                Action::Register { stream, site } => {
                    let steward = self.context.incarnation;
                    self.spawn_call(move |store, keys| register(store, keys, stream, site, seconds, steward));
                }
                Action::End { incarnations } => {
                    self.spawn_call(move |store, keys| revoke_leases(store, keys, incarnations))
                }
                Action::Renew { stream, incarnation, sent } => self.spawn_call(move |store, _| async move {
                    let held = store.renew(incarnation).await.ok().map(|seconds| seconds.is_some());
                    Some(Event::Renewed { stream, incarnation, sent, held })
                }),
                Action::Kept { stream, incarnation, sent } => {
                    let lease = u64::from(seconds) * SECOND as u64;
                    self.write(stream, frames::kept(incarnation, sent, lease));
                }
                Action::Over { stream, incarnation } => self.write(stream, frames::over(incarnation)),
                Action::Begin { stream, term, incarnation, job, token } => {
                    // Dropped if the queue is full: the job is assigned again with the agent's next renewal.
                    let _ = self.agent_requests.try_send(AgentRequest::ReadSpec {
                        stream,
                        term,
                        incarnation,
                        job,
                        token,
                    });
                }
                Action::Stop { stream, term, job, token } => {
                    self.write(stream, frames::stop(term, &job, token));
                }
                Action::Settle { job, seen, line, token, ended } => {
                    if self
                        .agent_requests
                        .try_send(AgentRequest::Settle { job: job.clone(), seen, line, token, ended })
                        .is_err()
                    {
                        self.agent_sessions.settled(&job, false);
                    }
                }
                Action::Verdict { stream, job, token, refused } => {
                    self.write(stream, frames::verdict(&job, token, refused.as_deref()));
                }
                Action::Close { stream, why } => self.close(stream, why),
            }
        }
    }
}

/// Creates a site's lease and key, unless another steward has done so.
async fn register(
    store: SharedStore,
    keys: Keys,
    stream: u64,
    site: Hello,
    seconds: u32,
    steward: Incarnation,
) -> Option<Event> {
    let Hello { incarnation, boot, room, name } = site;
    // Refused if the lease exists already.
    let _ = store.grant(incarnation, seconds).await;
    // The witness is bound to the site's lease, as a site's key doesn't depend on a steward's membership.
    let witness = keys.work_witness(incarnation, &format!("{steward:016x}"));
    let row = rows::encode(&rows::SiteRecord { name, room, boot });
    let mut writer = FencedWriter::new(store, incarnation, witness);
    let key = keys.site(incarnation);
    let put = vec![ravenspar_store::put(key.clone(), row, incarnation)];
    let _ = writer.commit(vec![ravenspar_store::at(key, 0)], put).await;
    Some(Event::Registered { stream, incarnation })
}

/// Revokes the leases of sites' incarnations that have reported their end.
async fn revoke_leases(store: SharedStore, _keys: Keys, incarnations: Vec<Incarnation>) -> Option<Event> {
    for incarnation in incarnations {
        // If this fails, the lease expires by itself.
        let _ = store.revoke(incarnation).await;
    }
    None
}
