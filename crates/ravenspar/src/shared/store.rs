//! What a steward does at the shared store, each as one call.

use std::sync::Arc;

use ravenspar_etcd::api::compare::{CompareResult, CompareTarget, TargetUnion};
use ravenspar_etcd::api::request_op::Request;
use ravenspar_etcd::api::response_op::Response;
use ravenspar_etcd::api::{Compare, KeyValue, PutRequest, RangeRequest, RequestOp, TxnRequest};
use ravenspar_etcd::{prefix_end, Client, Committed, Fault, Guarded};
use ravenspar_record::SliceRow;
use ravenspar_sharing::Life;

use super::rows::{read_life, read_slice, write_life, write_slice, Keys, Member};

/// Slices in one transaction: etcd takes 128 operations unless told otherwise, and some are for other keys.
const MOST: usize = 100;

/// Fences before an outcome is given up: with their waits and deadlines far longer than a membership lasts.
const FENCES: u32 = 12;

/// What the store says at one revision.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    pub cluster: u64,
    pub revision: i64,
    pub members: Vec<(Life, Member)>,
    /// Slice, steward, term; those that changed since the revision asked for.
    pub charges: Vec<(usize, Life, u64)>,
    /// Keys that can't be read.
    pub unread: Vec<String>,
}

fn range(key: Vec<u8>, since: i64) -> RequestOp {
    let range_end = prefix_end(&key);
    let range = RangeRequest { key, range_end, min_mod_revision: since, ..RangeRequest::default() };
    RequestOp { request: Some(Request::RequestRange(range)) }
}

fn put(key: Vec<u8>, value: Vec<u8>, lease: i64) -> RequestOp {
    RequestOp { request: Some(Request::RequestPut(PutRequest { key, value, lease, prev_kv: false })) }
}

/// The key's last write has this revision; 0: it is not there.
fn at(key: Vec<u8>, revision: u64) -> Compare {
    Compare {
        result: CompareResult::Equal as i32,
        target: CompareTarget::Mod as i32,
        key,
        target_union: Some(TargetUnion::ModRevision(revision as i64)),
    }
}

fn there(key: Vec<u8>) -> Compare {
    Compare { result: CompareResult::Greater as i32, ..at(key, 0) }
}

/// All members, and the charges that changed since a revision, read at one moment.
pub async fn snapshot(client: &Client, keys: &Keys, since: i64) -> Result<Snapshot, Fault> {
    let read = vec![range(keys.members(), 0), range(keys.charges(), since)];
    let answer = client.read(TxnRequest { success: read, ..TxnRequest::default() }).await?;
    let header = answer.header.unwrap_or_default();
    let mut said = Snapshot { cluster: header.cluster_id, revision: header.revision, ..Snapshot::default() };
    let mut ranges = answer.responses.into_iter().map(|response| match response.response {
        Some(Response::ResponseRange(range)) => range.kvs,
        _ => Vec::new(),
    });
    let mut next = || ranges.next().unwrap_or_default();
    let shown = |kv: &KeyValue| String::from_utf8_lossy(&kv.key).into_owned();
    for kv in next() {
        match (Keys::life(&kv.key), serde_json::from_slice(&kv.value)) {
            (Some(life), Ok(member)) => said.members.push((life, member)),
            _ => said.unread.push(shown(&kv)),
        }
    }
    for kv in next() {
        match (Keys::number(&kv.key), read_life(&kv.value)) {
            (Some(slice), Some(life)) => said.charges.push((slice, life, kv.mod_revision as u64)),
            _ => said.unread.push(shown(&kv)),
        }
    }
    Ok(said)
}

/// The record of slices, as far as there is one; read by pages at one revision.
pub async fn record(client: &Client, keys: &Keys, first: usize, last: usize) -> Result<Vec<SliceRow>, Fault> {
    /// Rows a page: some hundred kilobytes.
    const PAGE: i64 = 2_000;
    let end = [&keys.slice(last)[..], &[0]].concat();
    let (mut key, mut revision, mut rows) = (keys.slice(first), 0, Vec::new());
    loop {
        let request = RangeRequest {
            key: key.clone(),
            range_end: end.clone(),
            limit: PAGE,
            revision,
            ..RangeRequest::default()
        };
        let page = client.range(request).await?;
        revision = page.header.as_ref().map_or(0, |header| header.revision);
        for kv in &page.kvs {
            rows.push(read_slice(&kv.key, &kv.value).map_err(Fault::Refused)?);
        }
        match page.kvs.last().filter(|_| page.more) {
            Some(kv) => key = [&kv.key[..], &[0]].concat(),
            None => return Ok(rows),
        }
    }
}

/// One life's hand at the store: all that it writes goes through here, in order, and nothing of it takes effect once its
/// lease is over there.
pub struct Hand {
    pub client: Arc<Client>,
    pub keys: Keys,
    pub life: Life,
    /// The witness's revision, and how often it was written.
    witness: i64,
    count: u64,
}

/// Why a life can't go on, or a step was not carried out.
#[derive(Debug)]
pub enum Stop {
    /// What was compared is not so.
    Not,
    /// The membership is gone, or it is not known what became of a transaction.
    Over(String),
}

impl From<Fault> for Stop {
    fn from(fault: Fault) -> Stop {
        Stop::Over(fault.to_string())
    }
}

impl Hand {
    /// Becomes a member under a lease of this number that has just been granted. Returns the revision as its term.
    pub async fn join(
        client: Arc<Client>,
        keys: Keys,
        life: Life,
        member: &Member,
    ) -> Result<(Hand, u64), Stop> {
        let mut hand = Hand { client, keys, life, witness: 0, count: 0 };
        let row = serde_json::to_vec(member).unwrap_or_default();
        let then = vec![put(hand.keys.member(life), row, life as i64)];
        let term = hand.commit(Vec::new(), then).await?;
        Ok((hand, term))
    }

    /// Says that it is leaving, so that nobody gives to it.
    pub async fn say(&mut self, member: &Member) -> Result<(), Stop> {
        let row = serde_json::to_vec(member).unwrap_or_default();
        let then = vec![put(self.keys.member(self.life), row, self.life as i64)];
        self.commit(Vec::new(), then).await.map(|_| ())
    }

    /// Carries out a transaction on condition that this life's lease is not over; returns its revision.
    async fn commit(&mut self, compare: Vec<Compare>, then: Vec<RequestOp>) -> Result<u64, Stop> {
        self.count += 1;
        let guarded = Guarded {
            witness: self.keys.witness(self.life),
            revision: self.witness,
            value: self.count.to_string().into_bytes(),
            compare,
            then,
            lease: self.life as i64,
        };
        match self.client.commit(&guarded, FENCES).await? {
            Committed::Yes { witness } => {
                self.witness = witness;
                Ok(witness as u64)
            }
            Committed::No { witness: 0 } => Err(Stop::Over("the store has let the membership go".to_owned())),
            Committed::No { witness } => {
                self.witness = witness;
                Err(Stop::Not)
            }
        }
    }

    /// Writes lines of slices, each on condition that its charge still has the line's term.
    pub async fn lines(&mut self, rows: &[SliceRow]) -> Result<(), Stop> {
        for rows in rows.chunks(MOST) {
            let compare = rows.iter().map(|row| at(self.keys.charge(row.slice as usize), row.term)).collect();
            let then = rows.iter().map(|row| put(self.keys.slice(row.slice as usize), write_slice(row), 0));
            let then = then.collect();
            self.commit(compare, then).await?;
        }
        Ok(())
    }

    /// Takes slices over, each on condition that its charge still has this term and that those in `gone` are. Returns
    /// the new term.
    pub async fn take(&mut self, slices: &[(usize, u64)], gone: &[Life]) -> Result<u64, Stop> {
        let mut compare: Vec<Compare> = gone.iter().map(|&life| at(self.keys.member(life), 0)).collect();
        compare.extend(slices.iter().map(|&(slice, term)| at(self.keys.charge(slice), term)));
        let then = slices.iter().map(|&(slice, _)| put(self.keys.charge(slice), write_life(self.life), 0));
        let then = then.collect();
        self.commit(compare, then).await
    }

    /// Gives slices to a member. Returns the new term.
    pub async fn give(&mut self, slices: &[(usize, u64)], to: Life) -> Result<u64, Stop> {
        let mut compare = vec![there(self.keys.member(to))];
        compare.extend(slices.iter().map(|&(slice, term)| at(self.keys.charge(slice), term)));
        let then = slices.iter().map(|&(slice, _)| put(self.keys.charge(slice), write_life(to), 0)).collect();
        self.commit(compare, then).await
    }

    /// The most slices of one call to [`Hand::take`] and [`Hand::give`].
    pub const MOST: usize = MOST;
}
