//! Codec for the relay's lines, which ignores a line without its terminator.

use bytes::BytesMut;
use tokio_util::codec::{Decoder, Encoder, LinesCodec, LinesCodecError};

/// A [`LinesCodec`] that drops an unterminated line at the end of the stream: half of an answer may parse as
/// a whole one, and half of a notification would be held against the next subscription.
pub struct CompleteLines(LinesCodec);

impl CompleteLines {
    pub fn new(max_length: usize) -> CompleteLines {
        CompleteLines(LinesCodec::new_with_max_length(max_length))
    }
}

impl Decoder for CompleteLines {
    type Item = String;
    type Error = LinesCodecError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<String>, LinesCodecError> {
        self.0.decode(buffer)
    }

    fn decode_eof(&mut self, buffer: &mut BytesMut) -> Result<Option<String>, LinesCodecError> {
        let line = self.0.decode(buffer)?;
        if line.is_none() {
            buffer.clear();
        }
        Ok(line)
    }
}

impl Encoder<String> for CompleteLines {
    type Error = LinesCodecError;

    fn encode(&mut self, line: String, buffer: &mut BytesMut) -> Result<(), LinesCodecError> {
        self.0.encode(line, buffer)
    }
}
