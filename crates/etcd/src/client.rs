//! Calls with endpoints tried in turn, deadlines, and retries where a repeat is safe.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

use ravenspar_store::Fault;

use crate::api::kv_client::KvClient;
use crate::api::lease_client::LeaseClient;
use crate::api::{
    LeaseGrantRequest, LeaseKeepAliveRequest, LeaseRevokeRequest, RangeRequest, RangeResponse, TxnRequest,
    TxnResponse,
};

/// Codes by which a server says that it did not carry a call out. Anything else may come after the effect.
pub(crate) fn fault(status: &Status) -> Fault {
    let why = format!("{}: {}", status.code(), status.message());
    match status.code() {
        Code::InvalidArgument
        | Code::NotFound
        | Code::AlreadyExists
        | Code::PermissionDenied
        | Code::Unauthenticated
        | Code::FailedPrecondition
        | Code::OutOfRange
        | Code::Unimplemented
        | Code::ResourceExhausted => Fault::Refused(why),
        _ => Fault::Unknown(why),
    }
}

/// Answers may be as large as etcd sends them at most; tonic's own bound is 4 MiB.
fn kv(channel: Channel) -> KvClient<Channel> {
    const MOST: usize = 64 << 20;
    KvClient::new(channel).max_decoding_message_size(MOST)
}

pub struct Client {
    endpoints: Vec<Channel>,
    /// The endpoint that answered last.
    current: AtomicUsize,
    deadline: Duration,
    chance: Mutex<fastrand::Rng>,
}

/// Whether a text can be an endpoint; fails with what is wrong.
pub fn check_endpoint(text: &str) -> Result<(), String> {
    let endpoint = Endpoint::from_shared(text.to_owned()).map_err(|e| format!("{text}: {e}"))?;
    let uri = endpoint.uri();
    match uri.scheme_str() == Some("http") && uri.authority().is_some() {
        true => Ok(()),
        false => Err(format!("{text}: not an http address")),
    }
}

impl Client {
    /// Connects when first needed. `deadline` bounds each single call. Fails with the endpoint that can't be read.
    pub fn new(endpoints: &[String], deadline: Duration, seed: u64) -> Result<Client, String> {
        let channel = |text: &String| {
            let endpoint = Endpoint::from_shared(text.clone()).map_err(|e| format!("{text}: {e}"))?;
            Ok(endpoint.connect_timeout(deadline).timeout(deadline).connect_lazy())
        };
        let endpoints: Vec<Channel> = endpoints.iter().map(channel).collect::<Result<_, String>>()?;
        if endpoints.is_empty() {
            return Err("expected one endpoint or more".to_owned());
        }
        let chance = Mutex::new(fastrand::Rng::with_seed(seed));
        Ok(Client { endpoints, current: AtomicUsize::new(0), deadline, chance })
    }

    pub fn endpoints(&self) -> usize {
        self.endpoints.len()
    }

    /// Leaves the endpoint that answered last for the next.
    pub fn turn_away(&self) {
        self.turn();
    }

    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    pub(crate) fn channel(&self) -> Channel {
        self.endpoints[self.current.load(Ordering::Relaxed) % self.endpoints.len()].clone()
    }

    /// The next call goes to the next endpoint.
    pub(crate) fn turn(&self) {
        self.current.fetch_add(1, Ordering::Relaxed);
    }

    /// Waits before the nth repeat: up to 50 ms doubled each time, a second at most, drawn evenly so that clients that
    /// failed together don't come back together.
    pub(crate) async fn rest(&self, repeat: u32) {
        let most = (50u64 << repeat.min(5)).min(1_000);
        let wait = self.chance.lock().map_or(most, |mut chance| chance.u64(0..=most));
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }

    /// Carries out a call that may be repeated, at each endpoint twice at most.
    async fn repeated<T, F>(&self, call: impl Fn(Channel) -> F) -> Result<T, Fault>
    where
        F: std::future::Future<Output = Result<T, Status>>,
    {
        let mut repeat = 0;
        loop {
            match call(self.channel()).await {
                Ok(answer) => return Ok(answer),
                Err(status) => {
                    let why = fault(&status);
                    repeat += 1;
                    if matches!(why, Fault::Refused(_)) || repeat >= 2 * self.endpoints.len() as u32 {
                        return Err(why);
                    }
                    self.turn();
                    self.rest(repeat).await;
                }
            }
        }
    }

    /// Reads keys; linearizable unless the request says otherwise.
    pub async fn range(&self, request: RangeRequest) -> Result<RangeResponse, Fault> {
        self.repeated(|channel| {
            let request = request.clone();
            async move { Ok(kv(channel).range(request).await?.into_inner()) }
        })
        .await
    }

    /// Carries out a transaction, once. See [`Client::commit`] for one whose outcome has to be known.
    pub async fn txn(&self, request: TxnRequest) -> Result<TxnResponse, Fault> {
        match kv(self.channel()).txn(request).await {
            Ok(answer) => Ok(answer.into_inner()),
            Err(status) => {
                self.turn();
                Err(fault(&status))
            }
        }
    }

    /// Carries out a transaction that only reads: it may be repeated.
    pub async fn read(&self, request: TxnRequest) -> Result<TxnResponse, Fault> {
        self.repeated(|channel| {
            let request = request.clone();
            async move { Ok(kv(channel).txn(request).await?.into_inner()) }
        })
        .await
    }

    /// Makes a lease of a number that the caller drew at random, and returns its seconds. A repeat that finds the number
    /// taken found its own.
    pub async fn lease_grant(&self, id: i64, seconds: i64) -> Result<i64, Fault> {
        let asked_before = AtomicUsize::new(0);
        let asked_before = &asked_before;
        let made = self
            .repeated(|channel| async move {
                let again = asked_before.fetch_add(1, Ordering::Relaxed) > 0;
                let request = LeaseGrantRequest { ttl: seconds, id };
                match LeaseClient::new(channel).lease_grant(request).await {
                    Err(status) if again && status.code() == Code::FailedPrecondition => {
                        Ok((seconds, String::new()))
                    }
                    Err(status) => Err(status),
                    Ok(answer) => {
                        let answer = answer.into_inner();
                        Ok((answer.ttl, answer.error))
                    }
                }
            })
            .await?;
        match made {
            (seconds, error) if error.is_empty() => Ok(seconds),
            (_, error) => Err(Fault::Refused(error)),
        }
    }

    /// Ends a lease; its keys go with it. One that is gone already is as good.
    pub async fn lease_revoke(&self, id: i64) -> Result<(), Fault> {
        self.repeated(|channel| async move {
            match LeaseClient::new(channel).lease_revoke(LeaseRevokeRequest { id }).await {
                Ok(_) => Ok(()),
                Err(status) if status.code() == Code::NotFound => Ok(()),
                Err(status) => Err(status),
            }
        })
        .await
    }

    /// Renews a lease once and returns the seconds that it has from when the server took the call; none where it is
    /// gone. Reckon from when this was called: that lies before.
    pub async fn keep_alive(&self, id: i64) -> Result<Option<i64>, Fault> {
        self.repeated(|channel| async move {
            let requests = tokio_stream::iter([LeaseKeepAliveRequest { id }]);
            let mut answers = LeaseClient::new(channel).lease_keep_alive(requests).await?.into_inner();
            let answer = answers.message().await?;
            let answer = answer.ok_or_else(|| Status::unavailable("the stream ended without an answer"))?;
            Ok(Some(answer.ttl).filter(|ttl| *ttl > 0))
        })
        .await
    }
}
