//! Calls with deadlines, failover between endpoints, and retries where they are safe.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

use ravenspar_net::Clock;
use ravenspar_steward::{from_seconds, Time, SECOND};
use ravenspar_store::StoreError;

use crate::api::kv_client::KvClient;
use crate::api::lease_client::LeaseClient;
use crate::api::{
    LeaseGrantRequest, LeaseKeepAliveRequest, LeaseRevokeRequest, RangeRequest, RangeResponse, TxnRequest,
    TxnResponse,
};
use crate::connector::Connection;

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

/// A response that has begun is given up after this long without progress, as is a watch.
pub(crate) const STALL_TIMEOUT: Time = 6 * SECOND;

/// Attempts of a call that may be repeated, per endpoint.
const ATTEMPTS_PER_ENDPOINT: u32 = 2;

/// How often a response is checked for progress.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A client of an etcd cluster.
pub struct Client {
    endpoints: Vec<Endpoint>,
    /// The connection to each endpoint that the next call to it uses.
    connections: Mutex<Vec<Connection>>,
    /// The endpoint that the next call goes to, modulo their number.
    current: AtomicUsize,
    deadline: Duration,
    rng: Mutex<fastrand::Rng>,
    clock: Clock,
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
        let clock = Clock::new();
        let endpoint = |text: &String| {
            let endpoint = Endpoint::from_shared(text.clone()).map_err(|e| format!("{text}: {e}"))?;
            Ok(endpoint.timeout(deadline))
        };
        let endpoints: Vec<Endpoint> = endpoints.iter().map(endpoint).collect::<Result<_, String>>()?;
        if endpoints.is_empty() {
            return Err("expected one endpoint or more".to_owned());
        }
        let connections = endpoints.iter().enumerate();
        let connections =
            connections.map(|(index, endpoint)| Connection::new(endpoint, index, deadline, clock));
        let connections = Mutex::new(connections.collect());
        let rng = Mutex::new(fastrand::Rng::with_seed(seed));
        Ok(Client { endpoints, connections, current: AtomicUsize::new(0), deadline, rng, clock })
    }

    /// The number of endpoints.
    pub fn endpoints(&self) -> usize {
        self.endpoints.len()
    }

    /// Makes the next call go to the next endpoint, though this one answered.
    pub fn skip_endpoint(&self) {
        self.current.fetch_add(1, Ordering::Relaxed);
    }

    /// Waits for a response for as long as its connection makes progress. Its begin is awaited until the deadline.
    async fn complete<T>(
        &self,
        connection: &Connection,
        response: impl std::future::Future<Output = Result<T, Status>>,
    ) -> Result<T, Status> {
        let mut monitor = connection.monitor(from_seconds(self.deadline.as_secs_f64()) + STALL_TIMEOUT);
        let mut check = tokio::time::interval(STALL_CHECK_INTERVAL);
        tokio::pin!(response);
        loop {
            tokio::select! {
                result = &mut response => return result,
                _ = check.tick() => if monitor.is_stalled() {
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

    fn connections(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the connection that the next call uses.
    pub(crate) fn connection(&self) -> Connection {
        self.connections()[self.current()].clone()
    }

    /// Makes the next call go to the next endpoint, as this connection brought no answer. It may be silent and stay open, so
    /// later calls to its endpoint open another one; calls in progress go on. Does nothing if it was given up before.
    pub(crate) fn give_up_connection(&self, connection: &Connection) {
        let index = connection.endpoint();
        let mut connections = self.connections();
        if !connections[index].is_same(connection) {
            return;
        }
        connections[index] = Connection::new(&self.endpoints[index], index, self.deadline, self.clock);
        if self.current() == index {
            self.skip_endpoint();
        }
    }

    /// Waits before a retry: exponential backoff from 50 ms to one second, with full jitter so that clients that failed
    /// together don't retry together.
    pub(crate) async fn back_off(&self, attempt: u32) {
        let max_ms = (50u64 << attempt.min(5)).min(1_000);
        let wait = self.rng.lock().map_or(max_ms, |mut rng| rng.u64(0..=max_ms));
        tokio::time::sleep(Duration::from_millis(wait)).await;
    }

    /// Makes a call that may be repeated, up to [`ATTEMPTS_PER_ENDPOINT`].
    async fn with_retries<T, F>(&self, call: impl Fn(Channel) -> F) -> Result<T, StoreError>
    where
        F: std::future::Future<Output = Result<T, Status>>,
    {
        let mut attempt = 0;
        loop {
            let connection = self.connection();
            let error = match self.complete(&connection, call(connection.channel())).await {
                Ok(response) => return Ok(response),
                Err(status) => store_error(&status),
            };
            if matches!(error, StoreError::Refused(_)) {
                return Err(error);
            }
            self.give_up_connection(&connection);
            attempt += 1;
            if attempt >= ATTEMPTS_PER_ENDPOINT * self.endpoints.len() as u32 {
                return Err(error);
            }
            self.back_off(attempt).await;
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
        let connection = self.connection();
        let mut client = kv(connection.channel());
        match self.complete(&connection, client.txn(request)).await {
            Ok(response) => Ok(response.into_inner()),
            Err(status) => {
                self.give_up_connection(&connection);
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
