//! Reading the fields of a message that is already JSON.

use std::fmt;

use ravenspar_steward::Time;
use serde_json::Value;

/// Why a message can't be used: the field, and what was expected of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    pub field: &'static str,
    pub expected: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "field {}: expected {}", self.field, self.expected)
    }
}

pub fn fault<T>(field: &'static str, expected: &'static str) -> Result<T, Fault> {
    Err(Fault { field, expected })
}

/// No count or time of one report comes near it: some hundred days in milliseconds.
const MOST: f64 = 1e10;

pub fn text<'a>(of: &'a Value, field: &'static str) -> Result<&'a str, Fault> {
    of[field].as_str().ok_or(Fault { field, expected: "a text" })
}

/// A number from 0 on.
pub fn number(of: &Value, field: &'static str) -> Result<f64, Fault> {
    match of[field].as_f64() {
        Some(number) if (0.0..MOST).contains(&number) => Ok(number),
        _ => fault(field, "a number from 0 on"),
    }
}

/// A whole number below `end`.
pub fn whole(of: &Value, field: &'static str, end: usize) -> Result<usize, Fault> {
    match of[field].as_u64() {
        Some(number) if number < end as u64 => Ok(number as usize),
        _ => fault(field, "a whole number within its range"),
    }
}

pub fn flag(of: &Value, field: &'static str) -> Result<bool, Fault> {
    match &of[field] {
        Value::Bool(flag) => Ok(*flag),
        value if value.as_u64().is_some_and(|number| number <= 1) => Ok(value.as_u64() == Some(1)),
        _ => fault(field, "true or false"),
    }
}

/// Milliseconds as a [`Time`].
pub fn time(of: &Value, field: &'static str) -> Result<Time, Fault> {
    number(of, field).map(|ms| (ms * 10.0).round() as Time)
}

/// Unix time in milliseconds as a [`Time`]; 0 means long ago.
pub fn moment(of: &Value, field: &'static str) -> Result<Time, Fault> {
    const YEAR_3000: u64 = 32_503_680_000_000;
    let value = &of[field];
    let ms = value.as_u64().or_else(|| value.as_f64().filter(|ms| *ms >= 0.0).map(|ms| ms as u64));
    match ms {
        Some(ms) if ms < YEAR_3000 => Ok(ms as Time * 10),
        _ => fault(field, "Unix time in milliseconds"),
    }
}
