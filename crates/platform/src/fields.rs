//! Typed access to the fields of a parsed JSON message.

use std::fmt;

use ravenspar_steward::Time;
use serde_json::Value;

/// The field that makes a message unusable, and what was expected of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError {
    pub field: &'static str,
    pub expected: &'static str,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "field {}: expected {}", self.field, self.expected)
    }
}

/// Returns the error for a field that is not as expected.
pub fn invalid<T>(field: &'static str, expected: &'static str) -> Result<T, DecodeError> {
    Err(DecodeError { field, expected })
}

/// Upper bound of counts and times in a report. As milliseconds it is more than a hundred days.
const MAX_NUMBER: f64 = 1e10;

/// Reads a string.
pub fn text<'a>(message: &'a Value, field: &'static str) -> Result<&'a str, DecodeError> {
    message[field].as_str().ok_or(DecodeError { field, expected: "a text" })
}

/// Reads a number from 0 up to [`MAX_NUMBER`].
pub fn number(message: &Value, field: &'static str) -> Result<f64, DecodeError> {
    match message[field].as_f64() {
        Some(number) if (0.0..MAX_NUMBER).contains(&number) => Ok(number),
        _ => invalid(field, "a number from 0 on"),
    }
}

/// Reads an integer below `end`.
pub fn integer(message: &Value, field: &'static str, end: usize) -> Result<usize, DecodeError> {
    match message[field].as_u64() {
        Some(number) if number < end as u64 => Ok(number as usize),
        _ => invalid(field, "a whole number within its range"),
    }
}

/// Reads a boolean, which may also be written as 0 or 1.
pub fn flag(message: &Value, field: &'static str) -> Result<bool, DecodeError> {
    match &message[field] {
        Value::Bool(flag) => Ok(*flag),
        value if value.as_u64().is_some_and(|number| number <= 1) => Ok(value.as_u64() == Some(1)),
        _ => invalid(field, "true or false"),
    }
}

/// Reads a duration in milliseconds as a [`Time`].
pub fn duration(message: &Value, field: &'static str) -> Result<Time, DecodeError> {
    number(message, field).map(|ms| (ms * 10.0).round() as Time)
}

/// Reads a Unix time in milliseconds as a [`Time`]; 0 means long ago.
pub fn unix_time(message: &Value, field: &'static str) -> Result<Time, DecodeError> {
    const YEAR_3000: u64 = 32_503_680_000_000;
    let value = &message[field];
    let ms = value.as_u64().or_else(|| value.as_f64().filter(|ms| *ms >= 0.0).map(|ms| ms as u64));
    match ms {
        Some(ms) if ms < YEAR_3000 => Ok(ms as Time * 10),
        _ => invalid(field, "Unix time in milliseconds"),
    }
}
