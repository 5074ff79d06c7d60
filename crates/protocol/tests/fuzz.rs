//! Decoding never panics, and decoding reverses encoding.

use bytes::BytesMut;
use proptest::prelude::*;
use ravenspar_protocol::{codec, Body, Frame, MAX_BODY_FROM_PROXY};
use tokio_util::codec::Decoder;

proptest! {
    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        if let Ok(mut body) = Body::new(&bytes) {
            let mut count = 0;
            while let Ok(Some((_, mut numbers))) = body.field() {
                count += 1;
                while numbers.number().is_ok() {}
                let _ = numbers.text();
            }
            prop_assert!(count <= bytes.len());
        }
    }

    #[test]
    fn decoding_reverses_encoding(
        fields in prop::collection::vec((any::<u8>(), prop::collection::vec(any::<u64>(), 0..5), ".{0,9}"), 0..9),
    ) {
        let mut frame = Frame::new(9);
        for (tag, numbers, text) in &fields {
            frame.text(*tag, numbers, text);
        }
        let bytes = frame.finish();
        let mut body = Body::new(&bytes).unwrap();
        prop_assert_eq!(body.kind(), 9);
        for (tag, numbers, text) in &fields {
            let (read, mut content) = body.field().unwrap().unwrap();
            prop_assert_eq!(read, *tag);
            for number in numbers {
                prop_assert_eq!(content.number().unwrap(), *number);
            }
            prop_assert_eq!(content.text().unwrap(), text.as_str());
        }
        prop_assert!(body.field().unwrap().is_none());
    }

    /// A length past the limit is refused before any of its body is buffered.
    #[test]
    fn the_size_limit_holds_for_any_stream(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let mut codec = codec(MAX_BODY_FROM_PROXY);
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(body)) = codec.decode(&mut buffer) {
            prop_assert!(body.len() <= MAX_BODY_FROM_PROXY);
        }
        prop_assert!(buffer.capacity() <= 2 * MAX_BODY_FROM_PROXY);
    }
}
