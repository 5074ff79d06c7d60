//! What can be wrong with a record.

use std::fmt;
use std::path::{Path, PathBuf};

/// The first three say that the file is not to be used as it is, and that it was left untouched.
#[derive(Debug)]
pub enum Fault {
    /// It can't be opened: torn, read-only, held by another process, or no file of the store at all.
    Open {
        path: PathBuf,
        why: String,
    },
    /// It is a file of the store, made by another program.
    Foreign(PathBuf),
    /// It was made by another version of this program.
    Layout {
        path: PathBuf,
        found: u64,
        expected: u64,
    },
    Read(String),
    Write(String),
}

impl Fault {
    pub(crate) fn open(path: &Path, why: redb::DatabaseError) -> Fault {
        Fault::Open { path: path.to_owned(), why: why.to_string() }
    }

    pub(crate) fn read(why: impl fmt::Display) -> Fault {
        Fault::Read(why.to_string())
    }

    pub(crate) fn write(why: impl fmt::Display) -> Fault {
        Fault::Write(why.to_string())
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Open { path, why } => write!(f, "{}: can't be opened as a record: {why}", path.display()),
            Fault::Foreign(path) => {
                write!(f, "{}: a store of another program, expected a record of ravenspar", path.display())
            }
            Fault::Layout { path, found, expected } => {
                write!(f, "{}: a record of layout {found}, expected {expected}", path.display())
            }
            Fault::Read(why) => write!(f, "the record can't be read: {why}"),
            Fault::Write(why) => write!(f, "the record can't be written: {why}"),
        }
    }
}

impl std::error::Error for Fault {}
