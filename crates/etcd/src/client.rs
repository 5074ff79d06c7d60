//! Calls with deadlines, failover between endpoints, and retries where they are safe.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

use ravenspar_net::{Clock, Progress, StallDetector};
use ravenspar_steward::{from_seconds, Time, SECOND};
use ravenspar_store::StoreError;

use crate::api::kv_client::KvClient;
use crate::api::lease_client::LeaseClient;
use crate::api::{
    LeaseGrantRequest, LeaseKeepAliveRequest, LeaseRevokeRequest, RangeRequest, RangeResponse, TxnRequest,
    TxnResponse,
};
use crate::connector::lazy_channel;

/// Maps a status to an error. Some codes mean that the server did not carry out the call; any other may come after it took
/// effect.
pub(crate) fn store_error(status: &Status) -> StoreError {
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
        | Code::ResourceExhausted => StoreError::Refused(why),
        _ => StoreError::Unknown(why),
    }
}

/// A client that accepts the largest responses that etcd sends; tonic's default limit is 4 MiB.
fn kv(channel: Channel) -> KvClient<Channel> {
    const MAX_RESPONSE_BYTES: usize = 64 << 20;
    KvClient::new(channel).max_decoding_message_size(MAX_RESPONSE_BYTES)
}

/// A response that has begun is given up after this long without progress.
const STALL_TIMEOUT: Time = 6 * SECOND;

/// How often a response is checked for progress.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A client of an etcd cluster.
pub struct Client {
    endpoints: Vec<Endpoint>,
    /// A channel to each endpoint.
    channels: Mutex<Vec<Channel>>,
    /// The endpoint that the next call goes to, modulo their number.
    current: AtomicUsize,
    deadline: Duration,
    rng: Mutex<fastrand::Rng>,
    clock: Clock,
    /// What all connections have received.
    progress: Arc<Progress>,
}

/// Checks that a text is a valid endpoint; fails with what is wrong with it.
pub fn check_endpoint(text: &str) -> Result<(), String> {
    let endpoint = Endpoint::from_shared(text.to_owned()).map_err(|e| format!("{text}: {e}"))?;
    let uri = endpoint.uri();
    match uri.scheme_str() == Some("http") && uri.authority().is_some() {
        true => Ok(()),
        false => Err(format!("{text}: not an http address")),
    }
}

impl Client {
    /// Creates a client that connects on first use. `deadline` bounds the wait for the begin of each response. Fails if an
    /// endpoint is invalid.
    pub fn new(endpoints: &[String], deadline: Duration, seed: u64) -> Result<Client, String> {
        let (clock, progress) = (Clock::new(), Arc::new(Progress::default()));
        let endpoint = |text: &String| {
            let endpoint = Endpoint::from_shared(text.clone()).map_err(|e| format!("{text}: {e}"))?;
            Ok(endpoint.timeout(deadline))
        };
        let endpoints: Vec<Endpoint> = endpoints.iter().map(endpoint).collect::<Result<_, String>>()?;
        if endpoints.is_empty() {
            return Err("expected one endpoint or more".to_owned());
        }
        let channel = |endpoint| lazy_channel(endpoint, deadline, clock, progress.clone());
        let channels = Mutex::new(endpoints.iter().map(channel).collect());
        let rng = Mutex::new(fastrand::Rng::with_seed(seed));
        Ok(Client { endpoints, channels, current: AtomicUsize::new(0), deadline, rng, clock, progress })
    }

    /// The number of endpoints.
    pub fn endpoints(&self) -> usize {
        self.endpoints.len()
    }

    /// Makes the next call go to the next endpoint, though this one answered.
    pub fn skip_endpoint(&self) {
        self.current.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a detector of responses that make no progress for this long.
    pub fn stall_detector(&self, timeout: Time) -> StallDetector {
        StallDetector::new(self.clock.now(), self.progress.get().0, timeout)
    }

    /// Records at a detector that a response was received.
    pub fn record_response(&self, stall: &mut StallDetector) {
        stall.progressed(self.clock.now());
    }

    /// Returns true if nothing has been received for the detector's timeout.
    pub fn is_stalled(&self, stall: &mut StallDetector) -> bool {
        stall.is_stalled(self.clock.now(), self.progress.get().0)
    }

    /// Waits for a response for as long as it makes progress. Its begin is awaited until the deadline.
    async fn complete<T>(
        &self,
        response: impl std::future::Future<Output = Result<T, Status>>,
    ) -> Result<T, Status> {
        let mut stall = self.stall_detector(from_seconds(self.deadline.as_secs_f64()) + STALL_TIMEOUT);
        let mut check = tokio::time::interval(STALL_CHECK_INTERVAL);
        tokio::pin!(response);
        loop {
            tokio::select! {
                result = &mut response => return result,
                _ = check.tick() => if self.is_stalled(&mut stall) {
                    return Err(Status::deadline_exceeded("the response makes no progress"));
                },
            }
        }
    }

    /// The deadline for the begin of a response.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// The index of the endpoint that the next call goes to.
    fn current(&self) -> usize {
        self.current.load(Ordering::Relaxed) % self.endpoints.len()
    }

    fn channels(&self) -> MutexGuard<'_, Vec<Channel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn channel(&self) -> Channel {
        self.channels()[self.current()].clone()
    }

    /// Makes the next call go to the next endpoint, as this one did not answer. Its connection may be silent and stay open,
    /// so later calls to it open another one; calls in progress go on.
    pub fn give_up_connection(&self) {
        let current = self.current();
        let channel =
            lazy_channel(&self.endpoints[current], self.deadline, self.clock, self.progress.clone());
        self.channels()[current] = channel;
        self.skip_endpoint();
    }

    /// Waits before a retry: exponential backoff from 50 ms to one second, with full jitter so that clients that failed
    /// together don't retry together.
    pub(crate) async fn back_off(&self, attempt: u32) {
        let max_ms = (50u64 << attempt.min(5)).min(1_000);
        let wait = self.rng.lock().map_or(max_ms, |mut rng| rng.u64(0..=max_ms));
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }

    /// Makes a call that may be repeated, at most twice per endpoint.
    async fn with_retries<T, F>(&self, call: impl Fn(Channel) -> F) -> Result<T, StoreError>
    where
        F: std::future::Future<Output = Result<T, Status>>,
    {
        let mut attempt = 0;
        loop {
            match self.complete(call(self.channel())).await {
                Ok(response) => return Ok(response),
                Err(status) => {
                    let error = store_error(&status);
                    attempt += 1;
                    if matches!(error, StoreError::Refused(_)) || attempt >= 2 * self.endpoints.len() as u32 {
                        return Err(error);
                    }
                    self.give_up_connection();
                    self.back_off(attempt).await;
                }
            }
        }
    }

    /// Reads keys; linearizable unless the request says otherwise.
    pub async fn range(&self, request: RangeRequest) -> Result<RangeResponse, StoreError> {
        self.with_retries(|channel| {
            let request = request.clone();
            async move { Ok(kv(channel).range(request).await?.into_inner()) }
        })
        .await
    }

    /// Executes a transaction, without retries. See [`Client::commit`] if its outcome has to be known.
    pub async fn txn(&self, request: TxnRequest) -> Result<TxnResponse, StoreError> {
        let mut client = kv(self.channel());
        match self.complete(client.txn(request)).await {
            Ok(response) => Ok(response.into_inner()),
            Err(status) => {
                self.give_up_connection();
                Err(store_error(&status))
            }
        }
    }

    /// Executes a read-only transaction, with retries.
    pub async fn read(&self, request: TxnRequest) -> Result<TxnResponse, StoreError> {
        self.with_retries(|channel| {
            let request = request.clone();
            async move { Ok(kv(channel).txn(request).await?.into_inner()) }
        })
        .await
    }

    /// Creates a lease with an id that the caller drew at random, and returns its time to live in seconds. If a retry finds
    /// that the id exists, the earlier attempt created it.
    pub async fn lease_grant(&self, id: i64, seconds: i64) -> Result<i64, StoreError> {
        let attempts = AtomicUsize::new(0);
        let attempts = &attempts;
        let granted = self
            .with_retries(|channel| async move {
                let is_retry = attempts.fetch_add(1, Ordering::Relaxed) > 0;
                let request = LeaseGrantRequest { ttl: seconds, id };
                match LeaseClient::new(channel).lease_grant(request).await {
                    Err(status) if is_retry && status.code() == Code::FailedPrecondition => {
                        Ok((seconds, String::new()))
                    }
                    Err(status) => Err(status),
                    Ok(response) => {
                        let response = response.into_inner();
                        Ok((response.ttl, response.error))
                    }
                }
            })
            .await?;
        match granted {
            (seconds, error) if error.is_empty() => Ok(seconds),
            (_, error) => Err(StoreError::Refused(error)),
        }
    }

    /// Ends a lease and deletes its keys. Succeeds if the lease is gone already.
    pub async fn lease_revoke(&self, id: i64) -> Result<(), StoreError> {
        self.with_retries(|channel| async move {
            match LeaseClient::new(channel).lease_revoke(LeaseRevokeRequest { id }).await {
                Ok(_) => Ok(()),
                Err(status) if status.code() == Code::NotFound => Ok(()),
                Err(status) => Err(status),
            }
        })
        .await
    }

    /// Renews a lease once and returns its time to live in seconds from when the server handled the call, or `None` if the
    /// lease is gone. The caller should count from when it made the call, which is earlier.
    pub async fn keep_alive(&self, id: i64) -> Result<Option<i64>, StoreError> {
        self.with_retries(|channel| async move {
            let requests = tokio_stream::iter([LeaseKeepAliveRequest { id }]);
            let mut responses = LeaseClient::new(channel).lease_keep_alive(requests).await?.into_inner();
            let response = responses.message().await?;
            let response =
                response.ok_or_else(|| Status::unavailable("the stream ended without a response"))?;
            Ok(Some(response.ttl).filter(|ttl| *ttl > 0))
        })
        .await
    }
}
