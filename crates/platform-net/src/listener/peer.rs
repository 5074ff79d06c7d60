//! One connection at the steward's own address: its frames, the answers, and an end that leaves nothing read unanswered.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use ravenspar_platform::{codec, decode, Message, MOST_FRAME, MOST_GREETING, NACK, PONG};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tokio_util::codec::{Decoder, Framed, LengthDelimitedCodec, LengthDelimitedCodecError};
use tokio_util::sync::CancellationToken;

use crate::retrying::Retrying;

/// How long answers may take, whether it is the system that refuses the write or the peer that takes nothing in. With the
/// greeting's second an unidentified peer is closed within the 3 s that the platform allows.
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
}

impl Peer {
    /// A peer of which nothing is known, until `ending`.
    pub fn new(socket: TcpStream, ending: CancellationToken) -> Peer {
        let _ = socket.set_nodelay(true);
        let framed = Framed::new(Retrying::new(socket), codec(MOST_GREETING));
        Peer { framed, ending, answer: ANSWER }
    }

    /// It is a collector from here on, and its messages may be long.
    pub fn is_collector(&mut self) {
        self.framed.codec_mut().set_max_frame_length(MOST_FRAME);
        self.answer = COLLECTORS_ANSWER;
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

    async fn queue(&mut self, answer: &'static [u8]) -> bool {
        let limit = time_limit(&self.ending, self.answer);
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
        let limit = time_limit(&self.ending, self.answer);
        let flushed = SinkExt::<Bytes>::flush(&mut self.framed);
        tokio::select! {
            biased;
            flushed = flushed => flushed.is_ok(),
            () = limit => false,
        }
    }

    /// Says that the peer is of no use here, answers what was read behind that and what comes for a moment, and closes.
    pub async fn turn_away(mut self) {
        if !self.queue(NACK).await || !self.answered().await {
            return;
        }
        let until = Instant::now() + LINGER;
        loop {
            if Instant::now() >= until {
                self.ending.cancel();
            }
            match timeout_at(until, self.next()).await {
                Ok(Next::Frame(frame)) if is_ping(&frame) => {
                    if !self.pong().await {
                        return;
                    }
                }
                Ok(Next::Frame(_)) => {}
                Ok(Next::Unreadable) => return self.drain().await,
                Ok(Next::Ended) => break,
                Ok(Next::Broken) => return,
                Err(_) => self.ending.cancel(),
            }
        }
        let _ = self.framed.get_mut().shutdown().await;
    }

    /// Closes towards the peer, and reads on for a moment: guards the last answers against the reset that a close with
    /// something left unread is.
    async fn drain(mut self) {
        if !self.answered().await {
            return;
        }
        let ending = self.ending.clone();
        let socket = self.framed.get_mut();
        let mut rest = [0; 4096];
        let read_rest = async {
            socket.shutdown().await?;
            while socket.read(&mut rest).await? > 0 {}
            std::io::Result::Ok(())
        };
        tokio::select! {
            () = ending.cancelled() => {}
            _ = timeout(LINGER, read_rest) => {}
        }
    }
}

/// Ends once answers have taken this long, or, where the connection is asked to end, [`ANSWER`] after that.
async fn time_limit(ending: &CancellationToken, answer: Duration) {
    let asked_to_end = async {
        ending.cancelled().await;
        sleep(ANSWER).await;
    };
    tokio::select! {
        () = sleep(answer) => {}
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
