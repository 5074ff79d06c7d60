//! What parties say at the steward's own address: frames of one JSON object each, a length of four bytes before it.

use serde_json::Value;
use tokio_util::codec::LengthDelimitedCodec;

use crate::fields::{self, Fault};

/// The longest frame of a party that has joined.
pub const MOST_FRAME: usize = 1 << 20;

/// The longest frame of one that has not: room for a PING or a SOURCE with a long name. Guards memory against
/// strangers who send half of something long, by the hundred.
pub const MOST_GREETING: usize = 1_024;

pub const PONG: &[u8] = br#"{"msg":"PONG"}"#;
pub const NACK: &[u8] = br#"{"msg":"NACK"}"#;

pub fn codec(most: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().little_endian().length_field_length(4).max_frame_length(most).new_codec()
}

/// What one frame says.
#[derive(Debug, PartialEq)]
pub enum Heard {
    Ping,
    /// The party is the collector of the zone with this place among the settings' zones.
    Source(usize),
    /// Something for the session, of a party that has joined.
    Report(Value),
}

/// Fails where the connection is of no further use.
pub fn hear(frame: &[u8], joined: bool, zones: &[String]) -> Result<Heard, Fault> {
    let message: Value = serde_json::from_slice(frame).unwrap_or_default();
    if !message.is_object() {
        return fields::fault("msg", "a JSON object");
    }
    match message["msg"].as_str() {
        Some("PING") => Ok(Heard::Ping),
        _ if joined => Ok(Heard::Report(message)),
        Some("SOURCE") => {
            let site = fields::text(&message, "site")?;
            let zone = zones.iter().position(|zone| zone == site);
            zone.map(Heard::Source).ok_or(Fault { field: "site", expected: "a zone of the settings" })
        }
        _ => fields::fault("msg", "PING or SOURCE before all else"),
    }
}

#[cfg(test)]
mod tests {
    use bytes::{BufMut, BytesMut};
    use tokio_util::codec::Decoder;

    use super::*;

    fn framed(body: &[u8]) -> Vec<u8> {
        [&(body.len() as u32).to_le_bytes(), body].concat()
    }

    #[test]
    fn frames_come_out_whole_however_their_bytes_come_in() {
        let all = [framed(PONG), framed(b""), framed(NACK)].concat();
        for piece in [1, 3, 17, all.len()] {
            let (mut codec, mut buffer, mut out) = (codec(MOST_GREETING), BytesMut::new(), Vec::new());
            for bytes in all.chunks(piece) {
                buffer.put_slice(bytes);
                while let Some(frame) = codec.decode(&mut buffer).expect("these are frames") {
                    out.push(frame.to_vec());
                }
            }
            assert_eq!(out, [PONG, b"", NACK], "in pieces of {piece}");
        }
    }

    #[test]
    fn lengths_that_cannot_be_and_http_end_a_connection() {
        for bytes in [&b"\xff\xff\xff\xff"[..], b"GET / HTTP/1.1\r\n", b"\x01\x04\x00\x00"] {
            let mut buffer = BytesMut::from(bytes);
            assert!(codec(MOST_GREETING).decode(&mut buffer).is_err(), "{bytes:?}");
        }
        assert!(codec(MOST_FRAME).decode(&mut BytesMut::from(&[0, 0, 16, 0][..])).is_ok());
        assert!(codec(MOST_FRAME).decode(&mut BytesMut::from(&[1, 0, 16, 0][..])).is_err());
    }

    #[test]
    fn only_a_sign_of_life_and_a_collector_of_a_known_zone_are_heard_before_joining() {
        let zones = ["a".to_owned(), "b".to_owned()];
        let hear = |frame: &str, joined| hear(frame.as_bytes(), joined, &zones);
        assert_eq!(hear(r#"{"msg":"PING"}"#, false), Ok(Heard::Ping));
        assert_eq!(hear(r#"{"msg":"SOURCE","site":"b"}"#, false), Ok(Heard::Source(1)));
        for frame in [
            r#"{"msg":"SOURCE","site":"c"}"#,
            r#"{"msg":"SOURCE"}"#,
            r#"{"msg":"SOURCE","site":7}"#,
            r#"{"msg":"SUBSCRIBE","id":1,"site":"a","rps":1,"new":true}"#,
            r#"{"msg":"LOAD","site":"a"}"#,
            r#"{"verb":"clear","cluster":4}"#,
            r#"{}"#,
            "7",
            "",
            "\u{0}",
        ] {
            assert!(hear(frame, false).is_err(), "{frame}");
        }
        assert!(matches!(hear(r#"{"msg":7}"#, true), Ok(Heard::Report(_))));
        assert!(hear("not JSON", true).is_err());
    }
}
