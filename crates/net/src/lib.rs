//! The clock and the sockets that the program's network fronts share.

mod clock;
mod progress;
mod stall;

pub use clock::Clock;
pub use progress::{Observed, Progress};
pub use stall::StallDetector;
use tokio::net::{TcpListener, TcpSocket};

/// Send buffer of an accepted stream, in bytes. It holds an update of some thousand lines, and is small
/// enough that a proxy that has stopped reading is noticed by the next update.
const SEND_BUFFER: u32 = 64 * 1024;

/// Connections that may wait to be accepted: all proxies of a large fleet may connect at once.
const BACKLOG: u32 = 4_096;

/// Binds a listening socket with the shared socket options. Must be called within a tokio runtime.
pub fn listen(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Accepted streams inherit the buffer size.
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
