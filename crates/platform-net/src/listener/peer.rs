//! One connection accepted by the listener: its frames, the answers, and a close that leaves no request read
//! and unanswered.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use ravenspar_platform::{codec, decode, Message, MAX_FRAME, MAX_GREETING, NACK, PONG};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};
use tokio_util::codec::{Decoder, Framed, LengthDelimitedCodec, LengthDelimitedCodecError};
use tokio_util::sync::CancellationToken;

use crate::retrying::Retrying;

/// A peer that has not joined within this time is closed, as the platform allows.
pub const GREETING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long answers may take, whether the system refuses the write or the peer doesn't read, and how long the
/// close of a rejected peer may take. With the second of [`GREETING_TIMEOUT`] and [`LINGER`] an unidentified
/// peer is closed within the 3 s that the platform allows.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The same for a collector, whose connection need not be freed as quickly.
const COLLECTOR_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a rejected peer is still read from, as a close with unread data left is a reset.
const LINGER: Duration = Duration::from_millis(200);

/// The result of waiting for a peer's next frame.
pub enum Received {
    Frame(BytesMut),
    /// The peer has closed, or the connection is asked to close and all frames that were read are handed out.
    /// All answers have been sent.
    Closed,
    /// The peer's bytes can't be decoded any more.
    Unreadable,
    /// The connection is broken, or the peer did not read its answers in time.
    Broken,
}

/// A connection. Answers are queued and flushed together before anything more is read, so answers are owed
/// for the requests of one read at most.
pub struct Peer {
    framed: Framed<Retrying<TcpStream>, LengthDelimitedCodec>,
    closing: CancellationToken,
    answer_timeout: Duration,
    /// Answers aren't waited for past this time; set for unidentified and rejected peers.
    close_by: Option<Instant>,
}

impl Peer {
    /// Wraps the connection of an unidentified peer, to be closed on `closing`.
    pub fn new(socket: TcpStream, closing: CancellationToken) -> Peer {
        let _ = socket.set_nodelay(true);
        let framed = Framed::new(Retrying::new(socket), codec(MAX_GREETING));
        Peer {
            framed,
            closing,
            answer_timeout: ANSWER_TIMEOUT,
            close_by: Some(Instant::now() + GREETING_TIMEOUT + ANSWER_TIMEOUT),
        }
    }

    /// Treats the peer as a collector from here on: its messages may be long.
    pub fn promote_to_collector(&mut self) {
        self.framed.codec_mut().set_max_frame_length(MAX_FRAME);
        self.answer_timeout = COLLECTOR_ANSWER_TIMEOUT;
        self.close_by = None;
    }

    /// Returns the token that stops further reads when cancelled.
    pub fn closing(&self) -> &CancellationToken {
        &self.closing
    }

    /// Returns the next frame. Cancel safe. The caller answers a frame before it asks for the next one, so
    /// that a peer that is to close has no request read and unanswered.
    pub async fn next(&mut self) -> Received {
        if let Some(next) = self.next_buffered() {
            return next;
        }
        if !self.flush_answers().await {
            return Received::Broken;
        }
        tokio::select! {
            biased;
            () = self.closing.cancelled() => Received::Closed,
            frame = self.framed.next() => match frame {
                Some(Ok(frame)) => Received::Frame(frame),
                Some(Err(error)) if is_malformed(&error) => Received::Unreadable,
                // Unread data is left, and makes the close a reset.
                Some(Err(_)) => Received::Broken,
                None => Received::Closed,
            },
        }
    }

    /// Returns the next frame that was read already, if there is one.
    fn next_buffered(&mut self) -> Option<Received> {
        let mut read = std::mem::take(self.framed.read_buffer_mut());
        let frame = self.framed.codec_mut().decode(&mut read);
        *self.framed.read_buffer_mut() = read;
        match frame {
            Ok(frame) => frame.map(Received::Frame),
            Err(_) => Some(Received::Unreadable),
        }
    }

    /// Queues the answer to a ping. Returns whether the peer can still be answered.
    pub async fn queue_pong(&mut self) -> bool {
        self.queue(PONG).await
    }

    /// Returns the deadline of an answer queued now.
    fn answer_deadline(&self) -> Instant {
        let deadline = Instant::now() + self.answer_timeout;
        self.close_by.map_or(deadline, |close_by| deadline.min(close_by))
    }

    async fn queue(&mut self, answer: &'static [u8]) -> bool {
        let limit = answer_timed_out(&self.closing, self.answer_deadline());
        let queued = self.framed.feed(Bytes::from_static(answer));
        tokio::select! {
            biased;
            queued = queued => queued.is_ok(),
            () = limit => false,
        }
    }

    /// Waits until all answers are sent. Returns whether they were in time.
    pub async fn flush_answers(&mut self) -> bool {
        if self.framed.write_buffer().is_empty() {
            return true;
        }
        let limit = answer_timed_out(&self.closing, self.answer_deadline());
        let flushed = SinkExt::<Bytes>::flush(&mut self.framed);
        tokio::select! {
            biased;
            flushed = flushed => flushed.is_ok(),
            () = limit => false,
        }
    }

    /// Sends a NACK, answers the requests that were read after it and those that arrive for a moment, and
    /// closes; all within [`ANSWER_TIMEOUT`] and [`LINGER`].
    pub async fn reject(mut self) {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        self.close_by = Some(self.close_by.map_or(deadline, |close_by| deadline.min(close_by)));
        if !self.queue(NACK).await || !self.flush_answers().await {
            return;
        }
        let until = Instant::now() + LINGER;
        let Some(rest) = self.linger(until).await else { return };
        if !self.flush_answers().await || self.framed.get_mut().shutdown().await.is_err() {
            return;
        }
        if rest == Remainder::Unreadable {
            self.discard(until).await;
        }
    }

    /// Answers requests until this time, or until no more can be read. Returns `None` if the connection is
    /// broken.
    async fn linger(&mut self, until: Instant) -> Option<Remainder> {
        loop {
            if Instant::now() >= until {
                self.closing.cancel();
            }
            match timeout_at(until, self.next()).await {
                Ok(Received::Frame(frame)) if is_ping(&frame) => {
                    if !self.queue_pong().await {
                        return None;
                    }
                }
                Ok(Received::Frame(_)) => {}
                Ok(Received::Unreadable) => return Some(Remainder::Unreadable),
                Ok(Received::Closed) => return Some(Remainder::Requests),
                Ok(Received::Broken) => return None,
                Err(_) => self.closing.cancel(),
            }
        }
    }

    /// Reads and drops bytes that make no frames, and so no requests, until this time: unread bytes would
    /// make the close a reset, which could overtake the last answers.
    async fn discard(&mut self, until: Instant) {
        let socket = self.framed.get_mut();
        let mut rest = [0; 4096];
        let read_rest = async { while socket.read(&mut rest).await.is_ok_and(|read| read > 0) {} };
        tokio::select! {
            () = self.closing.cancelled() => {}
            _ = timeout_at(until, read_rest) => {}
        }
    }
}

/// What a rejected peer may still send once the last of its requests is answered.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Remainder {
    /// Nothing, or requests; these stay unread, and the reset tells the peer so.
    Requests,
    /// Bytes that make no frames.
    Unreadable,
}

/// Completes at `answer_deadline`, or [`ANSWER_TIMEOUT`] after the connection is asked to close, whichever is
/// first.
async fn answer_timed_out(closing: &CancellationToken, answer_deadline: Instant) {
    let after_close_request = async {
        closing.cancelled().await;
        sleep(ANSWER_TIMEOUT).await;
    };
    tokio::select! {
        () = sleep_until(answer_deadline) => {}
        () = after_close_request => {}
    }
}

/// Returns true if the bytes make no frame, and false for a failed read.
fn is_malformed(error: &std::io::Error) -> bool {
    error.get_ref().is_some_and(|error| error.is::<LengthDelimitedCodecError>())
}

fn is_ping(frame: &[u8]) -> bool {
    matches!(decode(frame, false, &[]), Ok(Message::Ping))
}
