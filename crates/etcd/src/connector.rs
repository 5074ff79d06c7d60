//! Connections to the store, which record what they receive.

use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::TokioIo;
use ravenspar_net::{Clock, Observed, Progress, StallDetector};
use ravenspar_steward::Time;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint, Uri};

/// The port of an endpoint that names none.
const DEFAULT_PORT: u16 = 80;

/// A connection to an endpoint, opened on first use.
#[derive(Clone)]
pub struct Connection {
    channel: Channel,
    /// The index of its endpoint.
    endpoint: usize,
    clock: Clock,
    progress: Arc<Progress>,
}

impl Connection {
    /// Creates a connection to the endpoint with this index, which is opened within `deadline`.
    pub fn new(address: &Endpoint, endpoint: usize, deadline: Duration, clock: Clock) -> Connection {
        let progress = Arc::new(Progress::default());
        let channel = lazy_channel(address, deadline, clock, progress.clone());
        Connection { channel, endpoint, clock, progress }
    }

    pub fn channel(&self) -> Channel {
        self.channel.clone()
    }

    /// The index of its endpoint.
    pub fn endpoint(&self) -> usize {
        self.endpoint
    }

    /// Returns true if both are the same connection.
    pub fn is_same(&self, other: &Connection) -> bool {
        Arc::ptr_eq(&self.progress, &other.progress)
    }

    /// Returns a monitor that notices when nothing is received for `timeout`.
    pub fn monitor(&self, timeout: Time) -> ConnectionMonitor {
        let (received, _) = self.progress.get();
        ConnectionMonitor {
            clock: self.clock,
            progress: self.progress.clone(),
            detector: StallDetector::new(self.clock.now(), received, timeout),
        }
    }
}

/// Notices when a connection that should deliver a response delivers nothing.
pub struct ConnectionMonitor {
    clock: Clock,
    progress: Arc<Progress>,
    detector: StallDetector,
}

impl ConnectionMonitor {
    /// Records that a complete response was received.
    pub fn record_response(&mut self) {
        self.detector.progressed(self.clock.now());
    }

    /// Returns true if nothing has been received for the timeout.
    pub fn is_stalled(&mut self) -> bool {
        let (received, _) = self.progress.get();
        self.detector.is_stalled(self.clock.now(), received)
    }
}

/// Returns a channel to an endpoint that connects on first use, within `deadline`, and records its progress.
fn lazy_channel(endpoint: &Endpoint, deadline: Duration, clock: Clock, progress: Arc<Progress>) -> Channel {
    let connector = tower::service_fn(move |uri: Uri| {
        let progress = progress.clone();
        async move {
            let connection = timeout(deadline, connect(&uri)).await;
            let socket =
                connection.map_err(|_| Error::new(ErrorKind::TimedOut, "no connection in time"))??;
            Ok::<_, Error>(TokioIo::new(Observed::new(socket, clock, progress)))
        }
    });
    endpoint.connect_with_connector_lazy(connector)
}

async fn connect(uri: &Uri) -> Result<TcpStream, Error> {
    let host = uri.host().ok_or_else(|| Error::new(ErrorKind::InvalidInput, "an address without a host"))?;
    // An IPv6 address stands in brackets.
    let host = host.trim_start_matches('[').trim_end_matches(']');
    let socket = TcpStream::connect((host, uri.port_u16().unwrap_or(DEFAULT_PORT))).await?;
    socket.set_nodelay(true)?;
    Ok(socket)
}
