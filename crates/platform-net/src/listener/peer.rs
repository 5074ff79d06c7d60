//! One connection at the steward's own address: its frames, the answers, and an end that leaves nothing read unanswered.

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

/// A peer that has not joined by then is closed, as the platform allows.
pub const GREETING: Duration = Duration::from_millis(1_000);

/// How long answers may take, whether it is the system that refuses the write or the peer that takes nothing in, and how long the
/// close of a peer that is turned away. With the greeting's second and [`LINGER`] an unidentified peer is closed within the 3 s that
/// the platform allows.
const ANSWER: Duration = Duration::from_millis(1_500);

/// The same for a collector, which nobody has to be rid of.
const COLLECTORS_ANSWER: Duration = Duration::from_secs(5);

/// How long what still comes of a peer that is turned away is read, as a close with something left unread is a reset.
const LINGER: Duration = Duration::from_millis(200);

/// What comes next of a peer.
pub enum Next {
    Frame(BytesMut),
    /// It has ended, or it is to end and all that was read of it is handed out. All of its answers have gone out.
    Ended,
    /// What it sends can't be read any more.
    Unreadable,
    /// The connection is broken, or it has not taken in its answers in time.
    Broken,
}

/// A connection. Answers are queued, and go out together before anything more is read: so no more than one read's requests are ever
/// owed an answer.
pub struct Peer {
    framed: Framed<Retrying<TcpStream>, LengthDelimitedCodec>,
    ending: CancellationToken,
    answer: Duration,
    /// No answer is waited for past this time: set for an unidentified peer, and for one that is turned away.
    close_by: Option<Instant>,
}

impl Peer {
    /// A peer of which nothing is known, until `ending`.
    pub fn new(socket: TcpStream, ending: CancellationToken) -> Peer {
        let _ = socket.set_nodelay(true);
        let framed = Framed::new(Retrying::new(socket), codec(MAX_GREETING));
        Peer { framed, ending, answer: ANSWER, close_by: Some(Instant::now() + GREETING + ANSWER) }
    }

    /// It is a collector from here on, and its messages may be long.
    pub fn is_collector(&mut self) {
        self.framed.codec_mut().set_max_frame_length(MAX_FRAME);
        self.answer = COLLECTORS_ANSWER;
        self.close_by = None;
    }

    /// Once this is cancelled nothing more is read of it.
    pub fn ending(&self) -> &CancellationToken {
        &self.ending
    }

    /// The next frame. Loses nothing where it is dropped half-way. Whoever takes a frame answers it before the next one, so that a
    /// peer that is to end has no request read and unanswered.
    pub async fn next(&mut self) -> Next {
        if let Some(next) = self.next_read() {
            return next;
        }
        if !self.answered().await {
            return Next::Broken;
        }
        tokio::select! {
            biased;
            () = self.ending.cancelled() => Next::Ended,
            frame = self.framed.next() => match frame {
                Some(Ok(frame)) => Next::Frame(frame),
                Some(Err(error)) if is_malformed(&error) => Next::Unreadable,
                // What is unread stays so, and makes the close a reset.
                Some(Err(_)) => Next::Broken,
                None => Next::Ended,
            },
        }
    }

    /// The next frame of those that were read already, if there is one.
    fn next_read(&mut self) -> Option<Next> {
        let mut read = std::mem::take(self.framed.read_buffer_mut());
        let frame = self.framed.codec_mut().decode(&mut read);
        *self.framed.read_buffer_mut() = read;
        match frame {
            Ok(frame) => frame.map(Next::Frame),
            Err(_) => Some(Next::Unreadable),
        }
    }

    /// Queues the answer to a sign of life. Returns whether the peer can still be answered.
    pub async fn pong(&mut self) -> bool {
        self.queue(PONG).await
    }

    /// Until when an answer may take that is owed from now on.
    fn answer_by(&self) -> Instant {
        let by = Instant::now() + self.answer;
        self.close_by.map_or(by, |close_by| by.min(close_by))
    }

    async fn queue(&mut self, answer: &'static [u8]) -> bool {
        let limit = time_limit(&self.ending, self.answer_by());
        let queued = self.framed.feed(Bytes::from_static(answer));
        tokio::select! {
            biased;
            queued = queued => queued.is_ok(),
            () = limit => false,
        }
    }

    /// Waits until all answers have gone out. Returns whether they did in time.
    pub async fn answered(&mut self) -> bool {
        if self.framed.write_buffer().is_empty() {
            return true;
        }
        let limit = time_limit(&self.ending, self.answer_by());
        let flushed = SinkExt::<Bytes>::flush(&mut self.framed);
        tokio::select! {
            biased;
            flushed = flushed => flushed.is_ok(),
            () = limit => false,
        }
    }

    /// Says that the peer is of no use here, answers what was read behind that and what comes for a moment, and closes: all of
    /// that within [`ANSWER`] and [`LINGER`].
    pub async fn turn_away(mut self) {
        let by = Instant::now() + ANSWER;
        self.close_by = Some(self.close_by.map_or(by, |close_by| by.min(close_by)));
        if !self.queue(NACK).await || !self.answered().await {
            return;
        }
        let until = Instant::now() + LINGER;
        let Some(rest) = self.linger(until).await else { return };
        if !self.answered().await || self.framed.get_mut().shutdown().await.is_err() {
            return;
        }
        if rest == Rest::Unreadable {
            self.discard(until).await;
        }
    }

    /// Answers requests until this time, or until nothing more of the peer can be answered. `None` where the connection is broken.
    async fn linger(&mut self, until: Instant) -> Option<Rest> {
        loop {
            if Instant::now() >= until {
                self.ending.cancel();
            }
            match timeout_at(until, self.next()).await {
                Ok(Next::Frame(frame)) if is_ping(&frame) => {
                    if !self.pong().await {
                        return None;
                    }
                }
                Ok(Next::Frame(_)) => {}
                Ok(Next::Unreadable) => return Some(Rest::Unreadable),
                Ok(Next::Ended) => return Some(Rest::Unread),
                Ok(Next::Broken) => return None,
                Err(_) => self.ending.cancel(),
            }
        }
    }

    /// Reads on until this time what makes no frames, and so no request: guards the last answers against the reset that a close
    /// with something left unread is.
    async fn discard(&mut self, until: Instant) {
        let socket = self.framed.get_mut();
        let mut rest = [0; 4096];
        let read_rest = async { while socket.read(&mut rest).await.is_ok_and(|read| read > 0) {} };
        tokio::select! {
            () = self.ending.cancelled() => {}
            _ = timeout_at(until, read_rest) => {}
        }
    }
}

/// What may still come of a peer that is turned away, once the last of its requests is answered.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Rest {
    /// Nothing, or requests: these stay unread, and a reset says so.
    Unread,
    /// What makes no frames.
    Unreadable,
}

/// Ends at this time, or, where the connection is asked to end, [`ANSWER`] after that.
async fn time_limit(ending: &CancellationToken, answer_by: Instant) {
    let asked_to_end = async {
        ending.cancelled().await;
        sleep(ANSWER).await;
    };
    tokio::select! {
        () = sleep_until(answer_by) => {}
        () = asked_to_end => {}
    }
}

/// The bytes make no frame, as against a read that failed.
fn is_malformed(error: &std::io::Error) -> bool {
    error.get_ref().is_some_and(|error| error.is::<LengthDelimitedCodecError>())
}

fn is_ping(frame: &[u8]) -> bool {
    matches!(decode(frame, false, &[]), Ok(Message::Ping))
}
