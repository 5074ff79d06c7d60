//! Relays streams between two processes, piece by piece; each direction behaves as its link does.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;
use tokio_util::codec::{Decoder, Encoder, FramedRead, FramedWrite};

use super::{Endpoint, Link, Links};

/// An event of a proxied stream.
pub enum StreamEvent<'a> {
    Opened,
    /// A piece was relayed; `up` is true if it went in the direction of the connection.
    Piece {
        up: bool,
        bytes: &'a [u8],
    },
    Closed,
}

/// A codec that splits a stream into pieces: whole frames, or bytes as they are read.
pub trait Pieces:
    Decoder<Item = BytesMut, Error = io::Error> + Encoder<Bytes, Error = io::Error> + 'static
{
}

impl<C: Decoder<Item = BytesMut, Error = io::Error> + Encoder<Bytes, Error = io::Error> + 'static> Pieces
    for C
{
}

/// A proxy for the streams that one process opens to another.
pub struct StreamProxy {
    /// Where the proxy listens.
    pub address: SocketAddr,
    from: Endpoint,
    to: Endpoint,
    links: Rc<Links>,
    /// Where the streams are relayed to; `None` while there is no such process.
    target: Rc<Cell<Option<SocketAddr>>>,
    /// Called with each event and the stream's number, which is unique within the day.
    watch: Rc<dyn Fn(u64, StreamEvent)>,
    /// The relay tasks of open streams, by stream number.
    open: RefCell<Vec<(u64, AbortHandle)>>,
}

/// Pieces of a stream that are in flight in one direction. Beyond that the relay stops reading, as with a full TCP window.
const MAX_IN_FLIGHT: usize = 256;

/// A lost piece is retransmitted after this time, doubled with each further loss. It is the least that operating systems wait.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);

impl StreamProxy {
    /// Starts the proxy on a free port. `pieces` makes a codec for each side of each direction.
    pub async fn listen<C: Pieces>(
        links: &Rc<Links>,
        (from, to): (Endpoint, Endpoint),
        target: Rc<Cell<Option<SocketAddr>>>,
        pieces: impl Fn() -> C + 'static,
        watch: Rc<dyn Fn(u64, StreamEvent)>,
    ) -> io::Result<Rc<StreamProxy>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let streams = Rc::new(StreamProxy {
            address,
            from,
            to,
            links: links.clone(),
            target,
            watch,
            open: RefCell::default(),
        });
        let accepting = streams.clone();
        spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                if !accepting.is_closed() {
                    accepting.open(socket, &pieces);
                }
            }
        });
        Ok(streams)
    }

    /// Closes all open streams; new connections are accepted unless the link is closed.
    pub fn close_all(&self) {
        for (stream, task) in self.open.borrow_mut().drain(..) {
            if !task.is_finished() {
                task.abort();
                (self.watch)(stream, StreamEvent::Closed);
            }
        }
    }

    fn is_closed(&self) -> bool {
        self.links.state(self.from, self.to).closed > 0 || self.links.state(self.to, self.from).closed > 0
    }

    fn open<C: Pieces>(self: &Rc<StreamProxy>, client: TcpStream, pieces: impl Fn() -> C) {
        let stream = self.links.next_stream.get();
        self.links.next_stream.set(stream + 1);
        (self.watch)(stream, StreamEvent::Opened);
        let (up, down) = ((pieces(), pieces()), (pieces(), pieces()));
        let streams = self.clone();
        let task = spawn_local(async move {
            tokio::select! {
                () = streams.links.wait_until(|_| streams.is_closed()) => {}
                () = streams.relay(stream, client, up, down) => {}
            }
            (streams.watch)(stream, StreamEvent::Closed);
        });
        let mut open = self.open.borrow_mut();
        open.retain(|(_, task)| !task.is_finished());
        open.push((stream, task.abort_handle()));
    }

    /// Connects to the target and relays both directions until one of them ends.
    async fn relay<C: Pieces>(&self, stream: u64, client: TcpStream, up: (C, C), down: (C, C)) {
        self.links
            .wait_until(|links| {
                links.state(self.from, self.to).cut + links.state(self.to, self.from).cut == 0
            })
            .await;
        let Some(target) = self.target.get() else { return };
        let Ok(server) = TcpStream::connect(target).await else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        let up = self.relay_one_way(
            (self.from, self.to),
            FramedRead::new(from_client, up.0),
            FramedWrite::new(to_server, up.1),
            |bytes| (self.watch)(stream, StreamEvent::Piece { up: true, bytes }),
        );
        let down = self.relay_one_way(
            (self.to, self.from),
            FramedRead::new(from_server, down.0),
            FramedWrite::new(to_client, down.1),
            |bytes| (self.watch)(stream, StreamEvent::Piece { up: false, bytes }),
        );
        tokio::select! {
            () = up => {}
            () = down => {}
        }
    }

    /// Relays one direction until either side ends it. The watcher is called just before a piece is sent up, to the steward or
    /// the store, and right after a piece was sent down: no later than the piece can take effect, and no sooner.
    async fn relay_one_way<C: Pieces>(
        &self,
        (from, to): (Endpoint, Endpoint),
        mut read: FramedRead<impl tokio::io::AsyncRead + Unpin, C>,
        mut write: FramedWrite<impl tokio::io::AsyncWrite + Unpin, C>,
        observe: impl Fn(&[u8]),
    ) {
        let links = &self.links;
        let link_open = move || links.wait_until(move |links| links.state(from, to).cut == 0);
        let (in_flight, mut due) = mpsc::channel::<(Instant, Bytes)>(MAX_IN_FLIGHT);
        let reading = async move {
            let mut last = Instant::now();
            loop {
                // Reading stops as well, so that the sender's buffers fill as they would on a real link.
                link_open().await;
                let Some(Ok(body)) = read.next().await else { return };
                let link = self.links.state(from, to);
                last = last.max(Instant::now() + self.delay(&link));
                last += link.bytes_per_s.map_or(Duration::ZERO, |bytes_per_s| {
                    Duration::from_secs_f64(body.len() as f64 / f64::from(bytes_per_s.max(1)))
                });
                if in_flight.send((last, body.freeze())).await.is_err() {
                    return;
                }
            }
        };
        let writing = async {
            while let Some((at, body)) = due.recv().await {
                if at > Instant::now() {
                    tokio::time::sleep_until(at).await;
                }
                // Pieces in flight at the time of a cut are held back too.
                link_open().await;
                let up = (from, to) == (self.from, self.to);
                if up {
                    observe(&body);
                }
                let sent = body.clone();
                if write.send(body).await.is_err() {
                    return;
                }
                if !up {
                    observe(&sent);
                }
            }
        };
        tokio::pin!(writing);
        tokio::select! {
            () = reading => {}
            () = &mut writing => return,
        }
        // Pieces read before the end are still delivered.
        writing.await;
    }

    /// Draws the delay of a piece, including its retransmissions.
    fn delay(&self, link: &Link) -> Duration {
        let mut delay = self.links.random_delay(link.late);
        let mut retransmit_after = RETRANSMIT_TIMEOUT;
        while self.links.happens(link.loss.min(0.99)) {
            delay += retransmit_after;
            retransmit_after = (2 * retransmit_after).min(64 * RETRANSMIT_TIMEOUT);
        }
        delay
    }
}
