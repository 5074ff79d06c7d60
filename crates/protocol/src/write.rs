//! Writing a frame field by field.

use bytes::{BufMut, Bytes, BytesMut};

/// A body being written. The codec puts its length before it.
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
    pub fn new(kind: u8) -> Frame {
        let mut body = BytesMut::with_capacity(64);
        body.put_u8(kind);
        Frame { body }
    }

    /// A row of fields without a kind, to be put into frames as it is.
    pub fn fields() -> Frame {
        Frame { body: BytesMut::new() }
    }

    /// A field of numbers.
    pub fn numbers(&mut self, tag: u8, numbers: &[u64]) -> &mut Frame {
        self.text(tag, numbers, "")
    }

    /// A field of numbers with a text behind them.
    pub fn text(&mut self, tag: u8, numbers: &[u64], text: &str) -> &mut Frame {
        let length: usize = numbers.iter().map(|&n| varint_length(n)).sum::<usize>() + text.len();
        self.body.put_u8(tag);
        varint(&mut self.body, length as u64);
        numbers.iter().for_each(|&n| varint(&mut self.body, n));
        self.body.put_slice(text.as_bytes());
        self
    }

    /// Fields written before, by [`Frame::fields`].
    pub fn append(&mut self, fields: &[u8]) -> &mut Frame {
        self.body.put_slice(fields);
        self
    }

    pub fn len(&self) -> usize {
        self.body.len()
    }

    pub fn is_empty(&self) -> bool {
        self.body.is_empty()
    }

    pub fn finish(&mut self) -> Bytes {
        self.body.split().freeze()
    }
}

/// A fraction in millionths; what is below 0 or no number counts as 0.
pub fn millionths(share: f64) -> u64 {
    (share * crate::MILLION).round() as u64
}
