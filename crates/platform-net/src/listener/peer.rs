//! One connection at the steward's own address: its frames, the answers, and the end that leaves nothing read unanswered.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use ravenspar_platform::{codec, MOST_FRAME, MOST_GREETING, NACK, PONG};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use crate::retrying::Retrying;

/// How long the last word to a peer may take.
const LAST_WORD: Duration = Duration::from_millis(200);

/// What a peer says next.
pub enum Next {
    Frame(BytesMut),
    /// It has ended, or it is to end and all that was read of it is handed out.
    Ended,
    /// What it says can't be read any more.
    Unreadable,
}

pub struct Peer {
    framed: Framed<Retrying<TcpStream>, LengthDelimitedCodec>,
    ending: CancellationToken,
}

impl Peer {
    /// A peer of which nothing is known, until `ending`.
    pub fn new(socket: TcpStream, ending: CancellationToken) -> Peer {
        let _ = socket.set_nodelay(true);
        Peer { framed: Framed::new(Retrying::new(socket), codec(MOST_GREETING)), ending }
    }

    /// It is a collector from here on, and its messages may be long.
    pub fn is_collector(&mut self) {
        self.framed.codec_mut().set_max_frame_length(MOST_FRAME);
    }

    /// Once this is cancelled nothing more is read of it.
    pub fn ending(&self) -> &CancellationToken {
        &self.ending
    }

    /// The next frame. Loses nothing where it is dropped half-way. Whoever takes a frame answers it before the next one, so that a
    /// peer that is to end has no request read and unanswered.
    pub async fn next(&mut self) -> Next {
        if self.ending.is_cancelled() {
            return self.next_read();
        }
        tokio::select! {
            biased;
            () = self.ending.cancelled() => self.next_read(),
            frame = self.framed.next() => match frame {
                Some(Ok(frame)) => Next::Frame(frame),
                Some(Err(_)) => Next::Unreadable,
                None => Next::Ended,
            },
        }
    }

    /// The next frame of those that were read already.
    fn next_read(&mut self) -> Next {
        let mut read = std::mem::take(self.framed.read_buffer_mut());
        let frame = self.framed.codec_mut().decode(&mut read);
        *self.framed.read_buffer_mut() = read;
        match frame {
            Ok(Some(frame)) => Next::Frame(frame),
            Ok(None) => Next::Ended,
            Err(_) => Next::Unreadable,
        }
    }

    /// Answers a sign of life. Returns whether it went out in time.
    pub async fn pong(&mut self, within: Duration) -> bool {
        let sent = timeout(within, self.framed.send(Bytes::from_static(PONG))).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Says that the peer is of no use here, and closes.
    pub async fn turn_away(mut self) {
        let ending = self.ending.clone();
        let word = async {
            self.framed.send(Bytes::from_static(NACK)).await?;
            let socket = self.framed.get_mut();
            socket.shutdown().await?;
            // A close with something left unread is a reset, which may take the last word with it.
            let mut rest = [0; 4096];
            let read_rest = async {
                while socket.read(&mut rest).await? > 0 {}
                std::io::Result::Ok(())
            };
            tokio::select! {
                () = ending.cancelled() => Ok(()),
                read = read_rest => read,
            }
        };
        // Whether it arrives or not, the close does.
        let _ = timeout(LAST_WORD, word).await;
    }
}
