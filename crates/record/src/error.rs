//! Errors of a record.

use std::fmt;
use std::path::{Path, PathBuf};

/// Why a record can't be opened, read or written. The first three variants mean that the file can't be used as it is and was
/// left untouched.
#[derive(Debug)]
pub enum RecordError {
    /// The file can't be opened: torn, read-only, locked by another process, or not a redb database.
    Open { path: PathBuf, why: String },
    /// The file is a redb database of another program.
    Foreign(PathBuf),
    /// The file was written with another layout, by another version of this program.
    Layout { path: PathBuf, found: u64, expected: u64 },
    /// Reading failed.
    Read(String),
    /// Writing failed.
    Write(String),
}

impl RecordError {
    pub(crate) fn open(path: &Path, why: redb::DatabaseError) -> RecordError {
        RecordError::Open { path: path.to_owned(), why: why.to_string() }
    }

    pub(crate) fn read(why: impl fmt::Display) -> RecordError {
        RecordError::Read(why.to_string())
    }

    pub(crate) fn write(why: impl fmt::Display) -> RecordError {
        RecordError::Write(why.to_string())
    }
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RecordError::Open { path, why } => {
                write!(f, "{}: can't be opened as a record: {why}", path.display())
            }
            RecordError::Foreign(path) => {
                write!(f, "{}: a store of another program, expected a record of ravenspar", path.display())
            }
            RecordError::Layout { path, found, expected } => {
                write!(f, "{}: a record of layout {found}, expected {expected}", path.display())
            }
            RecordError::Read(why) => write!(f, "the record can't be read: {why}"),
            RecordError::Write(why) => write!(f, "the record can't be written: {why}"),
        }
    }
}

impl std::error::Error for RecordError {}
