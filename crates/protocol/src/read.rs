//! Reading a body field by field.

use std::fmt;

/// Why a body can't be read. Nothing of it is to be used further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The body has no kind.
    Empty,
    /// A field ends past the body, or a number past its field.
    Cut,
    /// A number has more than 64 bits.
    TooLarge,
    /// A text is not UTF-8.
    NotText,
    /// A field lacks a number that its tag asks for.
    Missing(u8),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Empty => write!(f, "a frame without a kind"),
            Fault::Cut => write!(f, "a field that ends past its frame"),
            Fault::TooLarge => write!(f, "a number of more than 64 bits"),
            Fault::NotText => write!(f, "a text that is not UTF-8"),
            Fault::Missing(tag) => write!(f, "field {tag} lacks a number"),
        }
    }
}

impl std::error::Error for Fault {}

fn varint(from: &mut &[u8]) -> Result<u64, Fault> {
    let mut value = 0u64;
    for place in 0..10 {
        let (&byte, rest) = from.split_first().ok_or(Fault::Cut)?;
        *from = rest;
        let bits = u64::from(byte & 0x7f);
        if place == 9 && bits > 1 {
            return Err(Fault::TooLarge);
        }
        value |= bits << (7 * place);
        if byte < 0x80 {
            return Ok(value);
        }
    }
    Err(Fault::TooLarge)
}

/// A body being read. Borrows; allocates nothing.
#[derive(Clone, Debug)]
pub struct Body<'a> {
    kind: u8,
    rest: &'a [u8],
}

impl<'a> Body<'a> {
    pub fn new(bytes: &'a [u8]) -> Result<Body<'a>, Fault> {
        let (&kind, rest) = bytes.split_first().ok_or(Fault::Empty)?;
        Ok(Body { kind, rest })
    }

    pub fn kind(&self) -> u8 {
        self.kind
    }

    /// The next field's tag and content, or none at the end.
    pub fn field(&mut self) -> Result<Option<(u8, Numbers<'a>)>, Fault> {
        let Some((&tag, mut rest)) = self.rest.split_first() else { return Ok(None) };
        let length = usize::try_from(varint(&mut rest)?).map_err(|_| Fault::Cut)?;
        if length > rest.len() {
            return Err(Fault::Cut);
        }
        let (content, rest) = rest.split_at(length);
        self.rest = rest;
        Ok(Some((tag, Numbers { tag, rest: content })))
    }
}

/// The content of a field: a row of numbers, with a text at its end where the tag says so.
#[derive(Clone, Debug)]
pub struct Numbers<'a> {
    tag: u8,
    rest: &'a [u8],
}

impl<'a> Numbers<'a> {
    /// The next number; a field that has none left is a fault.
    pub fn number(&mut self) -> Result<u64, Fault> {
        if self.rest.is_empty() {
            return Err(Fault::Missing(self.tag));
        }
        varint(&mut self.rest)
    }

    /// The next number as an index; one that no index can be is a fault.
    pub fn index(&mut self) -> Result<usize, Fault> {
        usize::try_from(self.number()?).map_err(|_| Fault::TooLarge)
    }

    /// The next number as a time, in tenths of a millisecond.
    pub fn time(&mut self) -> Result<i64, Fault> {
        i64::try_from(self.number()?).map_err(|_| Fault::TooLarge)
    }

    /// The next number as a fraction, sent in millionths.
    pub fn fraction(&mut self) -> Result<f64, Fault> {
        Ok(self.number()? as f64 / crate::MILLION)
    }

    /// All that is left, as text.
    pub fn text(self) -> Result<&'a str, Fault> {
        std::str::from_utf8(self.rest).map_err(|_| Fault::NotText)
    }
}
