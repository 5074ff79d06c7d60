//! Framed TCP streams: a reader task and a writer task for each, with bounded queues to and from the core.

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use ravenspar_protocol::{codec, MAX_BODY_FROM_PROXY, MAX_BODY_FROM_STEWARD};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::{FramedRead, FramedWrite};

/// An event of a stream, by the stream's number.
#[derive(Debug)]
pub enum StreamEvent {
    Frame(u64, BytesMut),
    /// The socket has accepted the last frame that was handed to the writer.
    Sent(u64),
    Closed(u64),
}

/// Capacity of the queue of events that all streams share; readers wait their turn while it is full.
pub const EVENT_QUEUE_CAPACITY: usize = 256;

/// A frame being written, and the refusal that may follow a welcome: the host hands out no more at a time.
pub const MAX_QUEUED_FRAMES: usize = 4;

/// The core's handle to a stream. Dropping it ends the reader; the writer still writes the frames that are queued.
pub struct Stream {
    frames: mpsc::Sender<Bytes>,
    reader: tokio::task::AbortHandle,
    writer: tokio::task::AbortHandle,
    /// A duplicate of the socket, for [`Stream::reset`].
    socket: Option<std::net::TcpStream>,
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

impl Stream {
    /// Starts the tasks of a stream; `max_queued_frames` is the capacity of the writer's queue.
    pub fn start(
        number: u64,
        socket: TcpStream,
        events: &mpsc::Sender<StreamEvent>,
        max_queued_frames: usize,
    ) -> Stream {
        let _ = socket.set_nodelay(true);
        let reset_handle = duplicate(&socket);
        let (read, write) = socket.into_split();
        let (frames, queue) = mpsc::channel(max_queued_frames);
        let writer = tokio::spawn(write_frames(number, write, queue, events.clone())).abort_handle();
        let reader = tokio::spawn(read_frames(number, read, events.clone())).abort_handle();
        Stream { frames, reader, writer, socket: reset_handle }
    }

    /// Resets the connection: frames in the writer's queue and in the socket's buffer are discarded, and nothing more
    /// arrives at the peer.
    pub fn reset(mut self) {
        self.writer.abort();
        if let Some(socket) = self.socket.take() {
            let _ = socket2::SockRef::from(&socket).set_linger(Some(std::time::Duration::ZERO));
        }
    }

    /// Queues a frame for the writer. Returns false if the queue is full, which the host's own limit prevents.
    pub fn write(&self, body: Bytes) -> bool {
        self.frames.try_send(body).is_ok()
    }
}

fn duplicate(socket: &TcpStream) -> Option<std::net::TcpStream> {
    use std::os::fd::AsFd;
    socket.as_fd().try_clone_to_owned().ok().map(std::net::TcpStream::from)
}

async fn read_frames(number: u64, read: OwnedReadHalf, events: mpsc::Sender<StreamEvent>) {
    let mut frames = FramedRead::new(read, codec(MAX_BODY_FROM_PROXY));
    // A frame over the size limit ends the stream, as a read error does.
    while let Some(Ok(body)) = frames.next().await {
        if events.send(StreamEvent::Frame(number, body)).await.is_err() {
            return;
        }
    }
    let _ = events.send(StreamEvent::Closed(number)).await;
}

async fn write_frames(
    number: u64,
    write: OwnedWriteHalf,
    mut queue: mpsc::Receiver<Bytes>,
    events: mpsc::Sender<StreamEvent>,
) {
    /// How long the socket of a closing stream may take to accept a queued frame.
    const CLOSE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);
    let mut frames = FramedWrite::new(write, codec(MAX_BODY_FROM_STEWARD));
    while let Some(body) = queue.recv().await {
        let closing = queue.is_closed();
        let sent = frames.send(body);
        let sent = if closing {
            tokio::time::timeout(CLOSE_TIMEOUT, sent).await.unwrap_or(Ok(()))
        } else {
            // The core closes a stream whose peer stops reading, and with it the queue.
            tokio::select! {
                sent = sent => sent,
                () = closed(&queue) => return,
            }
        };
        if sent.is_err() {
            let _ = events.send(StreamEvent::Closed(number)).await;
            return;
        }
        if events.send(StreamEvent::Sent(number)).await.is_err() {
            return;
        }
    }
}

/// Returns 250 to 500 ms after the core has dropped its end of the queue.
async fn closed(queue: &mpsc::Receiver<Bytes>) {
    let mut poll = tokio::time::interval(std::time::Duration::from_millis(250));
    poll.tick().await;
    while !queue.is_closed() {
        poll.tick().await;
    }
    poll.tick().await;
}
