//! Streams between two processes, by the lab: pieces both ways, each direction as its way is.

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

use super::{End, Way, Ways};

/// What is seen of a stream.
pub enum Seen<'a> {
    Opened,
    Piece { up: bool, bytes: &'a [u8] },
    Shut,
}

/// How a stream is cut into pieces: whole frames, or bytes as they come.
pub trait Pieces:
    Decoder<Item = BytesMut, Error = io::Error> + Encoder<Bytes, Error = io::Error> + 'static
{
}

impl<C: Decoder<Item = BytesMut, Error = io::Error> + Encoder<Bytes, Error = io::Error> + 'static> Pieces
    for C
{
}

/// The streams that one process opens to another.
pub struct Streams {
    /// Where the lab listens for them.
    pub address: SocketAddr,
    from: End,
    to: End,
    ways: Rc<Ways>,
    /// Where they go; none while nobody is there.
    target: Rc<Cell<Option<SocketAddr>>>,
    /// Told of each, by its number among all of the day.
    watch: Rc<dyn Fn(u64, Seen)>,
    open: RefCell<Vec<(u64, AbortHandle)>>,
}

/// Pieces of a stream under way in one direction; then its reading waits, as with a full window.
const UNDER_WAY: usize = 256;

/// A lost piece comes again this much later, and twice that when it is lost again: the least that systems wait.
const AGAIN: Duration = Duration::from_millis(200);

impl Streams {
    pub async fn listen<C: Pieces>(
        ways: &Rc<Ways>,
        (from, to): (End, End),
        target: Rc<Cell<Option<SocketAddr>>>,
        pieces: impl Fn() -> C + 'static,
        watch: Rc<dyn Fn(u64, Seen)>,
    ) -> io::Result<Rc<Streams>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let streams = Rc::new(Streams {
            address,
            from,
            to,
            ways: ways.clone(),
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

    /// Ends all streams; new ones get through unless the way is closed.
    pub fn cut(&self) {
        for (stream, task) in self.open.borrow_mut().drain(..) {
            if !task.is_finished() {
                task.abort();
                (self.watch)(stream, Seen::Shut);
            }
        }
    }

    fn is_closed(&self) -> bool {
        self.ways.of(self.from, self.to).closed > 0 || self.ways.of(self.to, self.from).closed > 0
    }

    fn open<C: Pieces>(self: &Rc<Streams>, near: TcpStream, pieces: impl Fn() -> C) {
        let stream = self.ways.streams.get();
        self.ways.streams.set(stream + 1);
        (self.watch)(stream, Seen::Opened);
        let (up, down) = ((pieces(), pieces()), (pieces(), pieces()));
        let streams = self.clone();
        let task = spawn_local(async move {
            tokio::select! {
                () = streams.ways.until(|_| streams.is_closed()) => {}
                () = streams.carry(stream, near, up, down) => {}
            }
            (streams.watch)(stream, Seen::Shut);
        });
        let mut open = self.open.borrow_mut();
        open.retain(|(_, task)| !task.is_finished());
        open.push((stream, task.abort_handle()));
    }

    async fn carry<C: Pieces>(&self, stream: u64, near: TcpStream, up: (C, C), down: (C, C)) {
        self.ways.until(|ways| ways.of(self.from, self.to).cut + ways.of(self.to, self.from).cut == 0).await;
        let Some(target) = self.target.get() else { return };
        let Ok(far) = TcpStream::connect(target).await else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (from_near, to_near) = near.into_split();
        let (from_far, to_far) = far.into_split();
        let up = self.carry_one(
            (self.from, self.to),
            FramedRead::new(from_near, up.0),
            FramedWrite::new(to_far, up.1),
            |bytes| (self.watch)(stream, Seen::Piece { up: true, bytes }),
        );
        let down = self.carry_one(
            (self.to, self.from),
            FramedRead::new(from_far, down.0),
            FramedWrite::new(to_near, down.1),
            |bytes| (self.watch)(stream, Seen::Piece { up: false, bytes }),
        );
        tokio::select! {
            () = up => {}
            () = down => {}
        }
    }

    /// One direction, until either end of it is over. A piece is seen where it comes from on its way up, as it leaves for
    /// the steward or the store, and once it is written on its way down: no later than it acts, and no sooner.
    async fn carry_one<C: Pieces>(
        &self,
        (from, to): (End, End),
        mut read: FramedRead<impl tokio::io::AsyncRead + Unpin, C>,
        mut write: FramedWrite<impl tokio::io::AsyncWrite + Unpin, C>,
        seen: impl Fn(&[u8]),
    ) {
        let ways = &self.ways;
        let passes = move || ways.until(move |ways| ways.of(from, to).cut == 0);
        let (under_way, mut due) = mpsc::channel::<(Instant, Bytes)>(UNDER_WAY);
        let reading = async move {
            let mut last = Instant::now();
            loop {
                // Reading waits too, so that the sender's buffers fill as they would.
                passes().await;
                let Some(Ok(body)) = read.next().await else { return };
                let way = self.ways.of(from, to);
                last = last.max(Instant::now() + self.delay(&way));
                last += way.pace.map_or(Duration::ZERO, |pace| {
                    Duration::from_secs_f64(body.len() as f64 / f64::from(pace.max(1)))
                });
                if under_way.send((last, body.freeze())).await.is_err() {
                    return;
                }
            }
        };
        let writing = async {
            while let Some((at, body)) = due.recv().await {
                if at > Instant::now() {
                    tokio::time::sleep_until(at).await;
                }
                // What was on its way when it was cut is held too.
                passes().await;
                let up = (from, to) == (self.from, self.to);
                if up {
                    seen(&body);
                }
                let shown = body.clone();
                if write.send(body).await.is_err() {
                    return;
                }
                if !up {
                    seen(&shown);
                }
            }
        };
        tokio::pin!(writing);
        tokio::select! {
            () = reading => {}
            () = &mut writing => return,
        }
        // What was read before the end still arrives.
        writing.await;
    }

    fn delay(&self, way: &Way) -> Duration {
        let mut delay = self.ways.up_to(way.late);
        let mut again = AGAIN;
        while self.ways.chance(way.loss.min(0.99)) {
            delay += again;
            again = (2 * again).min(64 * AGAIN);
        }
        delay
    }
}
