//! What the program's fronts share: the one clock, and how they listen.

mod clock;

pub use clock::Clock;
use tokio::net::{TcpListener, TcpSocket};

/// Bytes that the system may hold for a stream that does not read: enough for a turn of some thousand lines, and so
/// little that a proxy that stands still is noticed by the next one.
const SEND_BUFFER: u32 = 64 * 1024;

/// Streams that wait to be accepted: all proxies of a large fleet may come at once.
const BACKLOG: u32 = 4_096;

pub fn listen(at: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Streams inherit it.
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}
