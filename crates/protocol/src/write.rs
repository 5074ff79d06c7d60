//! Encoding a frame field by field.

use bytes::{BufMut, Bytes, BytesMut};

/// A body being encoded. The codec prepends its length.
#[derive(Clone, Debug)]
pub struct Frame {
    body: BytesMut,
}

fn varint(body: &mut BytesMut, mut value: u64) {
    while value >= 0x80 {
        body.put_u8(value as u8 | 0x80);
        value >>= 7;
    }
    body.put_u8(value as u8);
}

fn varint_length(value: u64) -> usize {
    (64 - (value | 1).leading_zeros() as usize).div_ceil(7)
}

impl Frame {
    /// Starts a body of this kind.
    pub fn new(kind: u8) -> Frame {
        let mut body = BytesMut::with_capacity(64);
        body.put_u8(kind);
        Frame { body }
    }

    /// Starts a sequence of fields without a kind, for [`Frame::append`].
    pub fn fields() -> Frame {
        Frame { body: BytesMut::new() }
    }

    /// Adds a field of numbers.
    pub fn numbers(&mut self, tag: u8, numbers: &[u64]) -> &mut Frame {
        self.text(tag, numbers, "")
    }

    /// Adds a field of numbers followed by text.
    pub fn text(&mut self, tag: u8, numbers: &[u64], text: &str) -> &mut Frame {
        let length: usize = numbers.iter().map(|&n| varint_length(n)).sum::<usize>() + text.len();
        self.body.put_u8(tag);
        varint(&mut self.body, length as u64);
        numbers.iter().for_each(|&n| varint(&mut self.body, n));
        self.body.put_slice(text.as_bytes());
        self
    }

    /// Adds fields that were encoded with [`Frame::fields`].
    pub fn append(&mut self, fields: &[u8]) -> &mut Frame {
        self.body.put_slice(fields);
        self
    }

    /// Returns the size so far, in bytes.
    pub fn len(&self) -> usize {
        self.body.len()
    }

    /// Returns true if nothing has been written yet.
    pub fn is_empty(&self) -> bool {
        self.body.is_empty()
    }

    /// Returns the encoded bytes and leaves the frame empty.
    pub fn finish(&mut self) -> Bytes {
        self.body.split().freeze()
    }
}

/// Converts a fraction to millionths; a number below 0 and NaN count as 0.
pub fn millionths(share: f64) -> u64 {
    (share * crate::MILLIONTHS_PER_UNIT).round() as u64
}
