//! Frames that peers send to the steward's own address: one JSON object each, prefixed by its length in four bytes.

use serde_json::Value;
use tokio_util::codec::LengthDelimitedCodec;

use crate::fields::{self, DecodeError};

/// The longest frame accepted from a peer that has joined.
pub const MAX_FRAME: usize = 1 << 20;

/// The longest frame accepted from a peer that has not joined: enough for a PING, or a SOURCE with a long name.
/// Limits the memory that hundreds of unidentified peers can hold with half-sent frames.
pub const MAX_GREETING: usize = 1_024;

/// The answer to a PING.
pub const PONG: &[u8] = br#"{"msg":"PONG"}"#;
/// Sent to a peer before its connection is closed as unusable.
pub const NACK: &[u8] = br#"{"msg":"NACK"}"#;

/// Returns the codec of frames with a given maximum length.
pub fn codec(max_frame_len: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .little_endian()
        .length_field_length(4)
        .max_frame_length(max_frame_len)
        .new_codec()
}

/// A decoded frame.
#[derive(Debug, PartialEq)]
pub enum Message {
    Ping,
    /// The peer is the collector of a zone, given by its index in the settings' list of zones.
    Source(usize),
    /// A report for the session, from a peer that has joined.
    Report(Value),
}

/// Decodes one frame. After an error the connection must be closed.
pub fn decode(frame: &[u8], joined: bool, zones: &[String]) -> Result<Message, DecodeError> {
    let message: Value = serde_json::from_slice(frame).unwrap_or_default();
    if !message.is_object() {
        return fields::invalid("msg", "a JSON object");
    }
    match message["msg"].as_str() {
        Some("PING") => Ok(Message::Ping),
        _ if joined => Ok(Message::Report(message)),
        Some("SOURCE") => {
            let site = fields::text(&message, "site")?;
            let zone = zones.iter().position(|zone| zone == site);
            zone.map(Message::Source).ok_or(DecodeError { field: "site", expected: "a zone of the settings" })
        }
        _ => fields::invalid("msg", "PING or SOURCE before all else"),
    }
}

#[cfg(test)]
mod tests;
