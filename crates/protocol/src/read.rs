//! Decoding a body field by field.

use std::fmt;

/// The reason for which a body can't be decoded. The rest of the body must not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The body has no kind.
    Empty,
    /// A field extends past the body, or a number past its field.
    Truncated,
    /// A number has more than 64 bits.
    Overflow,
    /// Text is not valid UTF-8.
    NotUtf8,
    /// A field with this tag lacks a required number.
    MissingNumber(u8),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DecodeError::Empty => write!(f, "frame has no kind"),
            DecodeError::Truncated => write!(f, "field or number extends past its end"),
            DecodeError::Overflow => write!(f, "number exceeds 64 bits"),
            DecodeError::NotUtf8 => write!(f, "text is not valid UTF-8"),
            DecodeError::MissingNumber(tag) => write!(f, "field {tag} lacks a number"),
        }
    }
}

impl std::error::Error for DecodeError {}

fn varint(from: &mut &[u8]) -> Result<u64, DecodeError> {
    let mut value = 0u64;
    for index in 0..10 {
        let (&byte, rest) = from.split_first().ok_or(DecodeError::Truncated)?;
        *from = rest;
        let bits = u64::from(byte & 0x7f);
        if index == 9 && bits > 1 {
            return Err(DecodeError::Overflow);
        }
        value |= bits << (7 * index);
        if byte < 0x80 {
            return Ok(value);
        }
    }
    Err(DecodeError::Overflow)
}

/// A body being decoded. Borrows its bytes and doesn't allocate.
#[derive(Clone, Debug)]
pub struct Body<'a> {
    kind: u8,
    rest: &'a [u8],
}

impl<'a> Body<'a> {
    /// Starts decoding a body. Fails if it is empty.
    pub fn new(bytes: &'a [u8]) -> Result<Body<'a>, DecodeError> {
        let (&kind, rest) = bytes.split_first().ok_or(DecodeError::Empty)?;
        Ok(Body { kind, rest })
    }

    /// Returns the frame's kind.
    pub fn kind(&self) -> u8 {
        self.kind
    }

    /// Returns the next field's tag and content, or `None` at the end.
    pub fn field(&mut self) -> Result<Option<(u8, Field<'a>)>, DecodeError> {
        let Some((&tag, mut rest)) = self.rest.split_first() else { return Ok(None) };
        let length = usize::try_from(varint(&mut rest)?).map_err(|_| DecodeError::Truncated)?;
        if length > rest.len() {
            return Err(DecodeError::Truncated);
        }
        let (content, rest) = rest.split_at(length);
        self.rest = rest;
        Ok(Some((tag, Field { tag, rest: content })))
    }
}

/// The content of a field: numbers, followed by text if the tag has any.
#[derive(Clone, Debug)]
pub struct Field<'a> {
    tag: u8,
    rest: &'a [u8],
}

impl<'a> Field<'a> {
    /// Returns the next number. Fails if there is none left.
    pub fn number(&mut self) -> Result<u64, DecodeError> {
        if self.rest.is_empty() {
            return Err(DecodeError::MissingNumber(self.tag));
        }
        varint(&mut self.rest)
    }

    /// Returns the next number as an index. Fails if it does not fit.
    pub fn index(&mut self) -> Result<usize, DecodeError> {
        usize::try_from(self.number()?).map_err(|_| DecodeError::Overflow)
    }

    /// Returns the next number as a time, in units of 0.1 ms.
    pub fn time(&mut self) -> Result<i64, DecodeError> {
        i64::try_from(self.number()?).map_err(|_| DecodeError::Overflow)
    }

    /// Returns the next number, sent in millionths, as a fraction.
    pub fn fraction(&mut self) -> Result<f64, DecodeError> {
        Ok(self.number()? as f64 / crate::MILLIONTHS_PER_UNIT)
    }

    /// Returns the rest of the field as text.
    pub fn text(self) -> Result<&'a str, DecodeError> {
        std::str::from_utf8(self.rest).map_err(|_| DecodeError::NotUtf8)
    }
}
