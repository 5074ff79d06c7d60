use bytes::{BufMut, BytesMut};
use tokio_util::codec::Decoder;

use super::*;

fn framed(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_le_bytes(), body].concat()
}

#[test]
fn frames_are_decoded_from_any_split_of_their_bytes() {
    let all = [framed(PONG), framed(b""), framed(NACK)].concat();
    for piece in [1, 3, 17, all.len()] {
        let (mut codec, mut buffer, mut out) = (codec(MAX_GREETING), BytesMut::new(), Vec::new());
        for bytes in all.chunks(piece) {
            buffer.put_slice(bytes);
            while let Some(frame) = codec.decode(&mut buffer).expect("valid frames") {
                out.push(frame.to_vec());
            }
        }
        assert_eq!(out, [PONG, b"", NACK], "in pieces of {piece}");
    }
}

#[test]
fn invalid_lengths_and_http_are_errors() {
    for bytes in [&b"\xff\xff\xff\xff"[..], b"GET / HTTP/1.1\r\n", b"\x01\x04\x00\x00"] {
        let mut buffer = BytesMut::from(bytes);
        assert!(codec(MAX_GREETING).decode(&mut buffer).is_err(), "{bytes:?}");
    }
    assert!(codec(MAX_FRAME).decode(&mut BytesMut::from(&[0, 0, 16, 0][..])).is_ok());
    assert!(codec(MAX_FRAME).decode(&mut BytesMut::from(&[1, 0, 16, 0][..])).is_err());
}

#[test]
fn only_a_ping_or_a_source_of_a_known_zone_is_accepted_before_joining() {
    let zones = ["a".to_owned(), "b".to_owned()];
    let decode = |frame: &str, joined| decode(frame.as_bytes(), joined, &zones);
    assert_eq!(decode(r#"{"msg":"PING"}"#, false), Ok(Message::Ping));
    assert_eq!(decode(r#"{"msg":"SOURCE","site":"b"}"#, false), Ok(Message::Source(1)));
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
        assert!(decode(frame, false).is_err(), "{frame}");
    }
    assert!(matches!(decode(r#"{"msg":7}"#, true), Ok(Message::Report(_))));
    assert!(decode("not JSON", true).is_err());
}
