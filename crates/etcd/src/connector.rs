//! Connections to the store that record what they receive.

use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::TokioIo;
use ravenspar_net::{Clock, Observed, Progress};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tonic::transport::{Channel, Endpoint, Uri};

/// The port of an endpoint that names none.
const DEFAULT_PORT: u16 = 80;

/// Returns a channel to an endpoint that connects on first use, within `deadline`, and records its progress.
pub fn lazy_channel(
    endpoint: &Endpoint,
    deadline: Duration,
    clock: Clock,
    progress: Arc<Progress>,
) -> Channel {
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
