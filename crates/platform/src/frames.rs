//! What peers send to the steward's own address: frames of one JSON object each, a length of four bytes before it.

use serde_json::Value;
use tokio_util::codec::LengthDelimitedCodec;

use crate::fields::{self, Fault};

/// The longest frame of a peer that has joined.
pub const MOST_FRAME: usize = 1 << 20;

/// The longest frame of one that has not: room for a PING or a SOURCE with a long name. Guards memory against
/// unidentified peers that send half of something long, by the hundred.
pub const MOST_GREETING: usize = 1_024;

pub const PONG: &[u8] = br#"{"msg":"PONG"}"#;
pub const NACK: &[u8] = br#"{"msg":"NACK"}"#;

pub fn codec(most: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().little_endian().length_field_length(4).max_frame_length(most).new_codec()
}

/// The message of one frame.
#[derive(Debug, PartialEq)]
pub enum Message {
    Ping,
    /// The peer is the collector of the zone with this place among the settings' zones.
    Source(usize),
    /// Something for the session, of a peer that has joined.
    Report(Value),
}

/// Fails where the connection is of no further use.
pub fn decode(frame: &[u8], joined: bool, zones: &[String]) -> Result<Message, Fault> {
    let message: Value = serde_json::from_slice(frame).unwrap_or_default();
    if !message.is_object() {
        return fields::fault("msg", "a JSON object");
    }
    match message["msg"].as_str() {
        Some("PING") => Ok(Message::Ping),
        _ if joined => Ok(Message::Report(message)),
        Some("SOURCE") => {
            let site = fields::text(&message, "site")?;
            let zone = zones.iter().position(|zone| zone == site);
            zone.map(Message::Source).ok_or(Fault { field: "site", expected: "a zone of the settings" })
        }
        _ => fields::fault("msg", "PING or SOURCE before all else"),
    }
}

#[cfg(test)]
mod tests;
