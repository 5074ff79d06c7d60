//! The sockets: a task that reads and one that writes for each stream, with bounded queues to and from the core.

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use ravenspar_protocol::{codec, MOST_DOWN, MOST_UP};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::{FramedRead, FramedWrite};

/// What a stream tells the core.
#[derive(Debug)]
pub enum Input {
    Frame(u64, BytesMut),
    /// The last frame handed to the writer has been taken by the socket.
    Sent(u64),
    Closed(u64),
}

/// Inputs of all streams that may wait for the core; readers wait in order where it is full.
pub const INPUTS: usize = 256;

/// A frame being written, a welcome's refusal behind it: the host hands out no more at a time.
pub const FRAMES: usize = 4;

/// The core's end of a stream. Dropping it lets the writer write what it was handed, and ends the reader.
pub struct Stream {
    frames: mpsc::Sender<Bytes>,
    reader: tokio::task::AbortHandle,
    writer: tokio::task::AbortHandle,
    /// The socket once more, to be reset.
    socket: Option<std::net::TcpStream>,
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

impl Stream {
    /// `most`: frames that may wait for the writer.
    pub fn start(number: u64, socket: TcpStream, inputs: &mpsc::Sender<Input>, most: usize) -> Stream {
        let _ = socket.set_nodelay(true);
        let kept = duplicate(&socket);
        let (read, write) = socket.into_split();
        let (frames, queue) = mpsc::channel(most);
        let writer = tokio::spawn(write_frames(number, write, queue, inputs.clone())).abort_handle();
        let reader = tokio::spawn(read_frames(number, read, inputs.clone())).abort_handle();
        Stream { frames, reader, writer, socket: kept }
    }

    /// Ends the stream at once, with what was handed to the writer and what the system still holds of it: nothing more
    /// of it arrives.
    pub fn reset(mut self) {
        self.writer.abort();
        if let Some(socket) = self.socket.take() {
            let _ = socket2::SockRef::from(&socket).set_linger(Some(std::time::Duration::ZERO));
        }
    }

    /// Hands a frame to the writer, if its queue has room; the host never has more than that under way.
    pub fn write(&self, body: Bytes) -> bool {
        self.frames.try_send(body).is_ok()
    }
}

fn duplicate(socket: &TcpStream) -> Option<std::net::TcpStream> {
    use std::os::fd::AsFd;
    socket.as_fd().try_clone_to_owned().ok().map(std::net::TcpStream::from)
}

async fn read_frames(number: u64, read: OwnedReadHalf, inputs: mpsc::Sender<Input>) {
    let mut frames = FramedRead::new(read, codec(MOST_UP));
    // A frame past the bound ends the stream as a broken one does.
    while let Some(Ok(body)) = frames.next().await {
        if inputs.send(Input::Frame(number, body)).await.is_err() {
            return;
        }
    }
    let _ = inputs.send(Input::Closed(number)).await;
}

async fn write_frames(
    number: u64,
    write: OwnedWriteHalf,
    mut queue: mpsc::Receiver<Bytes>,
    inputs: mpsc::Sender<Input>,
) {
    /// How long a closing stream may take to take in what it was handed.
    const CLOSING: std::time::Duration = std::time::Duration::from_millis(500);
    let mut frames = FramedWrite::new(write, codec(MOST_DOWN));
    while let Some(body) = queue.recv().await {
        let closing = queue.is_closed();
        let sent = frames.send(body);
        let sent = if closing {
            tokio::time::timeout(CLOSING, sent).await.unwrap_or(Ok(()))
        } else {
            // A stream that takes nothing in is closed by the core, which closes the queue.
            tokio::select! {
                sent = sent => sent,
                () = closed(&queue) => return,
            }
        };
        if sent.is_err() {
            let _ = inputs.send(Input::Closed(number)).await;
            return;
        }
        if inputs.send(Input::Sent(number)).await.is_err() {
            return;
        }
    }
}

/// Returns some time after the core has let go of the queue.
async fn closed(queue: &mpsc::Receiver<Bytes>) {
    let mut look = tokio::time::interval(std::time::Duration::from_millis(250));
    look.tick().await;
    while !queue.is_closed() {
        look.tick().await;
    }
    look.tick().await;
}
