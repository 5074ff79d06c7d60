//! Lines of the relay, each with its end.

use bytes::BytesMut;
use tokio_util::codec::{Decoder, Encoder, LinesCodec, LinesCodecError};

/// As [`LinesCodec`], but that what a close leaves of a line is not taken for one: half of an answer may read like a
/// whole one, and half of some news would be held against the next subscription.
pub struct WholeLines(LinesCodec);

impl WholeLines {
    pub fn new(most: usize) -> WholeLines {
        WholeLines(LinesCodec::new_with_max_length(most))
    }
}

impl Decoder for WholeLines {
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

impl Encoder<String> for WholeLines {
    type Error = LinesCodecError;

    fn encode(&mut self, line: String, buffer: &mut BytesMut) -> Result<(), LinesCodecError> {
        self.0.encode(line, buffer)
    }
}
