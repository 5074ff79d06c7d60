//! Keys and values in the shared store. `docs/design/sharing.md` has the table.

use ravenspar_record::SliceRow;
use ravenspar_sharing::Life;
use serde::{Deserialize, Serialize};

/// The keys of one fleet, all under one prefix.
#[derive(Clone, Debug)]
pub struct Keys(String);

impl Keys {
    pub fn new(prefix: &str) -> Keys {
        Keys(prefix.to_owned())
    }

    pub fn members(&self) -> Vec<u8> {
        format!("{}member/", self.0).into_bytes()
    }

    pub fn member(&self, life: Life) -> Vec<u8> {
        format!("{}member/{life:016x}", self.0).into_bytes()
    }

    /// The key that a life's transactions compare and write anew.
    pub fn witness(&self, life: Life) -> Vec<u8> {
        format!("{}witness/{life:016x}", self.0).into_bytes()
    }

    pub fn charges(&self) -> Vec<u8> {
        format!("{}charge/", self.0).into_bytes()
    }

    pub fn charge(&self, slice: usize) -> Vec<u8> {
        format!("{}charge/{slice:05}", self.0).into_bytes()
    }

    pub fn slices(&self) -> Vec<u8> {
        format!("{}slice/", self.0).into_bytes()
    }

    pub fn slice(&self, slice: usize) -> Vec<u8> {
        format!("{}slice/{slice:05}", self.0).into_bytes()
    }

    /// The key that the writes of a life's work for the fleet compare and write anew; each of its hands has its own.
    pub fn work_witness(&self, life: Life, hand: &str) -> Vec<u8> {
        format!("{}witness/{life:016x}/{hand}", self.0).into_bytes()
    }

    pub fn duties(&self) -> Vec<u8> {
        format!("{}duty/", self.0).into_bytes()
    }

    /// The claim of a duty: a life, bound to its membership.
    pub fn duty(&self, name: &str) -> Vec<u8> {
        format!("{}duty/{name}", self.0).into_bytes()
    }

    pub fn reaches(&self) -> Vec<u8> {
        format!("{}reach/", self.0).into_bytes()
    }

    pub fn reach(&self, life: Life) -> Vec<u8> {
        format!("{}reach/{life:016x}", self.0).into_bytes()
    }

    pub fn sites(&self) -> Vec<u8> {
        format!("{}site/", self.0).into_bytes()
    }

    pub fn site(&self, life: Life) -> Vec<u8> {
        format!("{}site/{life:016x}", self.0).into_bytes()
    }

    pub fn jobs(&self) -> Vec<u8> {
        format!("{}job/", self.0).into_bytes()
    }

    pub fn job(&self, id: &str) -> Vec<u8> {
        format!("{}job/{id}", self.0).into_bytes()
    }

    /// Where a job is; only stewards write here.
    pub fn lines(&self) -> Vec<u8> {
        format!("{}line/", self.0).into_bytes()
    }

    pub fn line(&self, id: &str) -> Vec<u8> {
        format!("{}line/{id}", self.0).into_bytes()
    }

    pub fn outcome(&self, id: &str) -> Vec<u8> {
        format!("{}outcome/{id}", self.0).into_bytes()
    }

    /// What the owner of the duty of debts publishes with each fold: the ranking's version.
    pub fn ranking(&self) -> Vec<u8> {
        format!("{}ranking", self.0).into_bytes()
    }

    /// What was used, by whom: `u` a user, `g` a group.
    pub fn sums(&self) -> Vec<u8> {
        format!("{}sum/", self.0).into_bytes()
    }

    pub fn sum(&self, kind: char, name: &str) -> Vec<u8> {
        format!("{}sum/{kind}/{name}", self.0).into_bytes()
    }

    pub fn uses(&self) -> Vec<u8> {
        format!("{}use/", self.0).into_bytes()
    }

    /// What was used for a job under a token; those that were given out together have one.
    pub fn use_of(&self, token: u64, job: &str) -> Vec<u8> {
        format!("{}use/{token:016x}/{job}", self.0).into_bytes()
    }

    /// The text behind a key's last slash.
    pub fn last(key: &[u8]) -> Option<&str> {
        std::str::from_utf8(key).ok()?.rsplit('/').next()
    }

    /// The number behind a key's last slash.
    pub fn number(key: &[u8]) -> Option<usize> {
        std::str::from_utf8(key).ok()?.rsplit('/').next()?.parse().ok()
    }

    pub fn life(key: &[u8]) -> Option<Life> {
        Life::from_str_radix(std::str::from_utf8(key).ok()?.rsplit('/').next()?, 16).ok()
    }
}

/// What a member says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub address: String,
    pub leaving: bool,
    /// It reaches few of the forwarders that others reach: it is dealt no slices.
    #[serde(default)]
    pub resting: bool,
}

#[derive(Serialize, Deserialize)]
struct Line {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    owner: Option<String>,
    weight: u64,
    mark: u64,
    term: u64,
    boot: i64,
}

pub fn write_slice(row: &SliceRow) -> Vec<u8> {
    let SliceRow { owner, weight, mark, term, boot, .. } = row.clone();
    serde_json::to_vec(&Line { owner, weight, mark, term, boot }).unwrap_or_default()
}

/// Fails with what was expected.
pub fn read_slice(key: &[u8], value: &[u8]) -> Result<SliceRow, String> {
    let shown = String::from_utf8_lossy(key).into_owned();
    let slice = Keys::number(key)
        .ok_or_else(|| format!("{shown}: expected a slice's number behind the last slash"))?;
    let line: Line = serde_json::from_slice(value).map_err(|e| format!("{shown}: {e}"))?;
    let Line { owner, weight, mark, term, boot } = line;
    Ok(SliceRow { slice: slice as u32, owner, weight, mark, term, boot })
}

/// A charge's value is its steward's life.
pub fn write_life(life: Life) -> Vec<u8> {
    format!("{life:016x}").into_bytes()
}

pub fn read_life(value: &[u8]) -> Option<Life> {
    Life::from_str_radix(std::str::from_utf8(value).ok()?, 16).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rows_read_back_as_they_were_written() {
        let keys = Keys::new("/r/");
        let owned = SliceRow { slice: 7, owner: Some("a".to_owned()), weight: 5, mark: 6, term: 7, boot: -8 };
        let bare = SliceRow { slice: 65_534, owner: None, weight: 0, mark: 1, term: 2, boot: 0 };
        for row in [owned, bare] {
            assert_eq!(read_slice(&keys.slice(row.slice as usize), &write_slice(&row)), Ok(row));
        }
        assert!(read_slice(&keys.slice(1), b"{}").is_err_and(|why| why.contains("/r/slice/00001")));
        assert_eq!(read_life(&write_life(77)), Some(77));
        assert_eq!(Keys::life(&keys.member(0xabc)), Some(0xabc));
    }
}
