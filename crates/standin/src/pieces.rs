//! A TCP relay that delivers what a server sends in pieces, or not at all, as a slow or cut network does.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How bytes are delivered to the client.
#[derive(Clone, Copy, Debug)]
struct Delivery {
    /// Bytes of a piece.
    size: usize,
    /// Pause after each piece.
    pause: Duration,
}

/// What the relay does with bytes to clients, shared by all its connections.
#[derive(Debug, Default)]
struct Shared {
    delivery: Mutex<Option<Delivery>>,
    /// Connections accepted so far.
    accepted: AtomicUsize,
    /// Bytes delivered to clients.
    delivered: AtomicUsize,
    /// This number of connections, counted from the first, deliver nothing any more.
    silenced: AtomicUsize,
}

/// A relay in front of a server. Bytes to the server are passed on at once.
pub struct PieceRelay {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl PieceRelay {
    /// Starts a relay to this server on a free port, which passes on everything at once until told otherwise.
    pub fn start(server: SocketAddr) -> std::io::Result<PieceRelay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let of_connections = shared.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let shared = of_connections.clone();
                let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || drop(relay(client, server, number, &shared)));
            }
        });
        Ok(PieceRelay { address, shared })
    }

    /// Returns the number of bytes delivered to clients so far.
    pub fn delivered(&self) -> usize {
        self.shared.delivered.load(Ordering::SeqCst)
    }

    /// From here on nothing is delivered on the connections that are open now. They stay open.
    pub fn silence_open_connections(&self) {
        self.shared.silenced.store(self.shared.accepted.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// From here on nothing is delivered on any connection, also on new ones, until
    /// [`silence_open_connections`](PieceRelay::silence_open_connections) lets new ones deliver again.
    pub fn silence_all_connections(&self) {
        self.shared.silenced.store(usize::MAX, Ordering::SeqCst);
    }

    /// From here on bytes to the client are delivered in pieces of this many bytes, with a pause after each.
    pub fn deliver_in_pieces(&self, size: usize, pause: Duration) {
        *self.shared.delivery.lock().unwrap_or_else(PoisonError::into_inner) = Some(Delivery { size, pause });
    }
}

/// Relays one connection until either end closes it.
fn relay(client: TcpStream, server: SocketAddr, number: usize, shared: &Shared) -> std::io::Result<()> {
    let server = TcpStream::connect(server)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (mut from_client, mut to_server) = (client.try_clone()?, server.try_clone()?);
    thread::spawn(move || {
        let _ = std::io::copy(&mut from_client, &mut to_server);
        let _ = to_server.shutdown(Shutdown::Both);
    });
    let result = deliver(&server, &client, number, shared);
    let _ = client.shutdown(Shutdown::Both);
    let _ = server.shutdown(Shutdown::Both);
    result
}

/// Passes on what the server sends.
fn deliver(
    mut server: &TcpStream,
    mut client: &TcpStream,
    number: usize,
    shared: &Shared,
) -> std::io::Result<()> {
    let mut buffer = [0; 4_096];
    loop {
        let received = server.read(&mut buffer)?;
        if received == 0 {
            return Ok(());
        }
        if number < shared.silenced.load(Ordering::SeqCst) {
            continue;
        }
        let current = *shared.delivery.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(Delivery { size, pause }) = current else {
            client.write_all(&buffer[..received])?;
            shared.delivered.fetch_add(received, Ordering::SeqCst);
            continue;
        };
        for piece in buffer[..received].chunks(size.max(1)) {
            if number < shared.silenced.load(Ordering::SeqCst) {
                break;
            }
            client.write_all(piece)?;
            shared.delivered.fetch_add(piece.len(), Ordering::SeqCst);
            thread::sleep(pause);
        }
    }
}
