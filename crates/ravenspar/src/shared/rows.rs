//! Keys and values in the shared store; `docs/design/sharing.md` lists them.

use ravenspar_record::SliceRow;
use ravenspar_sharing::Incarnation;
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

    pub fn member(&self, incarnation: Incarnation) -> Vec<u8> {
        format!("{}member/{incarnation:016x}", self.0).into_bytes()
    }

    /// The key that each transaction of an incarnation compares and rewrites, which puts them in order.
    pub fn witness(&self, incarnation: Incarnation) -> Vec<u8> {
        format!("{}witness/{incarnation:016x}", self.0).into_bytes()
    }

    /// The prefix of all assignments.
    pub fn assignments(&self) -> Vec<u8> {
        format!("{}charge/", self.0).into_bytes()
    }

    /// The assignment of a slice: the steward's incarnation.
    pub fn assignment(&self, slice: usize) -> Vec<u8> {
        format!("{}charge/{slice:05}", self.0).into_bytes()
    }

    /// The prefix of the record of slices.
    pub fn slices(&self) -> Vec<u8> {
        format!("{}slice/", self.0).into_bytes()
    }

    pub fn slice(&self, slice: usize) -> Vec<u8> {
        format!("{}slice/{slice:05}", self.0).into_bytes()
    }

    /// The witness of one of an incarnation's writers for fleet work.
    pub fn work_witness(&self, incarnation: Incarnation, writer: &str) -> Vec<u8> {
        format!("{}witness/{incarnation:016x}/{writer}", self.0).into_bytes()
    }

    pub fn duties(&self) -> Vec<u8> {
        format!("{}duty/", self.0).into_bytes()
    }

    /// The claim of a duty: the incarnation that leads it, bound to its membership.
    pub fn duty(&self, name: &str) -> Vec<u8> {
        format!("{}duty/{name}", self.0).into_bytes()
    }

    pub fn reaches(&self) -> Vec<u8> {
        format!("{}reach/", self.0).into_bytes()
    }

    /// What a steward reports of itself for duties, bound to its membership.
    pub fn reach(&self, incarnation: Incarnation) -> Vec<u8> {
        format!("{}reach/{incarnation:016x}", self.0).into_bytes()
    }

    pub fn sites(&self) -> Vec<u8> {
        format!("{}site/", self.0).into_bytes()
    }

    /// The entry of a site's incarnation, bound to its lease.
    pub fn site(&self, incarnation: Incarnation) -> Vec<u8> {
        format!("{}site/{incarnation:016x}", self.0).into_bytes()
    }

    pub fn jobs(&self) -> Vec<u8> {
        format!("{}job/", self.0).into_bytes()
    }

    /// A job as submitted.
    pub fn job(&self, id: &str) -> Vec<u8> {
        format!("{}job/{id}", self.0).into_bytes()
    }

    /// The prefix of job lines, which hold the state of each job; only stewards write them.
    pub fn lines(&self) -> Vec<u8> {
        format!("{}line/", self.0).into_bytes()
    }

    pub fn line(&self, id: &str) -> Vec<u8> {
        format!("{}line/{id}", self.0).into_bytes()
    }

    /// A job's outcome, for the client that submitted it.
    pub fn outcome(&self, id: &str) -> Vec<u8> {
        format!("{}outcome/{id}", self.0).into_bytes()
    }

    /// The ranking, which the leader of the duty of debts publishes with each fold.
    pub fn ranking(&self) -> Vec<u8> {
        format!("{}ranking", self.0).into_bytes()
    }

    /// The prefix of the sums of use.
    pub fn sums(&self) -> Vec<u8> {
        format!("{}sum/", self.0).into_bytes()
    }

    /// The sum of what a user (kind `u`) or a group (kind `g`) has used.
    pub fn sum(&self, kind: char, name: &str) -> Vec<u8> {
        format!("{}sum/{kind}/{name}", self.0).into_bytes()
    }

    pub fn uses(&self) -> Vec<u8> {
        format!("{}use/", self.0).into_bytes()
    }

    /// What a job has used under a token; jobs that were assigned in one transaction share a token.
    pub fn use_of(&self, token: u64, job: &str) -> Vec<u8> {
        format!("{}use/{token:016x}/{job}", self.0).into_bytes()
    }

    /// Returns the text after a key's last slash.
    pub fn last(key: &[u8]) -> Option<&str> {
        std::str::from_utf8(key).ok()?.rsplit('/').next()
    }

    /// Returns the decimal number after a key's last slash, if it is one.
    pub fn number(key: &[u8]) -> Option<usize> {
        std::str::from_utf8(key).ok()?.rsplit('/').next()?.parse().ok()
    }

    /// Returns the incarnation (hexadecimal) after a key's last slash, if it is one.
    pub fn incarnation(key: &[u8]) -> Option<Incarnation> {
        Incarnation::from_str_radix(std::str::from_utf8(key).ok()?.rsplit('/').next()?, 16).ok()
    }
}

/// A member's own entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub address: String,
    pub leaving: bool,
    /// True if it is to be assigned no slices, as it reaches few of the forwarders that the other stewards reach.
    #[serde(default)]
    pub resting: bool,
}

/// The value of a slice's record.
#[derive(Serialize, Deserialize)]
struct SliceValue {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    owner: Option<String>,
    weight: u64,
    mark: u64,
    term: u64,
    boot: i64,
}

/// Encodes the value of a slice's record.
pub fn encode_slice(row: &SliceRow) -> Vec<u8> {
    let SliceRow { owner, weight, mark, term, boot, .. } = row.clone();
    serde_json::to_vec(&SliceValue { owner, weight, mark, term, boot }).unwrap_or_default()
}

/// Decodes the record of a slice; the error names the key and what is wrong with it.
pub fn decode_slice(key: &[u8], value: &[u8]) -> Result<SliceRow, String> {
    let shown = String::from_utf8_lossy(key).into_owned();
    let slice = Keys::number(key)
        .ok_or_else(|| format!("{shown}: expected a slice's number after the last slash"))?;
    let decoded: SliceValue = serde_json::from_slice(value).map_err(|e| format!("{shown}: {e}"))?;
    let SliceValue { owner, weight, mark, term, boot } = decoded;
    Ok(SliceRow { slice: slice as u32, owner, weight, mark, term, boot })
}

/// Encodes an incarnation as the value of an assignment or a claim.
pub fn encode_incarnation(incarnation: Incarnation) -> Vec<u8> {
    format!("{incarnation:016x}").into_bytes()
}

/// Decodes the value of an assignment or a claim.
pub fn decode_incarnation(value: &[u8]) -> Option<Incarnation> {
    Incarnation::from_str_radix(std::str::from_utf8(value).ok()?, 16).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn entries_round_trip() {
        let keys = Keys::new("/r/");
        let owned = SliceRow { slice: 7, owner: Some("a".to_owned()), weight: 5, mark: 6, term: 7, boot: -8 };
        let bare = SliceRow { slice: 65_534, owner: None, weight: 0, mark: 1, term: 2, boot: 0 };
        for row in [owned, bare] {
            assert_eq!(decode_slice(&keys.slice(row.slice as usize), &encode_slice(&row)), Ok(row));
        }
        assert!(decode_slice(&keys.slice(1), b"{}").is_err_and(|why| why.contains("/r/slice/00001")));
        assert_eq!(decode_incarnation(&encode_incarnation(77)), Some(77));
        assert_eq!(Keys::incarnation(&keys.member(0xabc)), Some(0xabc));
    }
}
