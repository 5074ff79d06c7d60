//! No input panics, and what was written is read again.

use bytes::BytesMut;
use proptest::prelude::*;
use ravenspar_protocol::{codec, Body, Frame, MOST_UP};
use tokio_util::codec::Decoder;

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        if let Ok(mut body) = Body::new(&bytes) {
            let mut fields = 0;
            while let Ok(Some((_, mut numbers))) = body.field() {
                fields += 1;
                while numbers.number().is_ok() {}
                let _ = numbers.text();
            }
            prop_assert!(fields <= bytes.len());
        }
    }

    #[test]
    fn what_is_written_is_read(
        rows in prop::collection::vec((any::<u8>(), prop::collection::vec(any::<u64>(), 0..5), ".{0,9}"), 0..9),
    ) {
        let mut frame = Frame::new(9);
        for (tag, numbers, text) in &rows {
            frame.text(*tag, numbers, text);
        }
        let bytes = frame.finish();
        let mut body = Body::new(&bytes).unwrap();
        prop_assert_eq!(body.kind(), 9);
        for (tag, numbers, text) in &rows {
            let (read, mut content) = body.field().unwrap().unwrap();
            prop_assert_eq!(read, *tag);
            for number in numbers {
                prop_assert_eq!(content.number().unwrap(), *number);
            }
            prop_assert_eq!(content.text().unwrap(), text.as_str());
        }
        prop_assert!(body.field().unwrap().is_none());
    }

    /// A length past the bound is refused before anything of its body is taken in.
    #[test]
    fn the_bound_holds_for_any_stream(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let mut codec = codec(MOST_UP);
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(body)) = codec.decode(&mut buffer) {
            prop_assert!(body.len() <= MOST_UP);
        }
        prop_assert!(buffer.capacity() <= 2 * MOST_UP);
    }
}
