//! A steward's reads and transactions at the shared store.

use ravenspar_list::FollowError as HistoryError;
use ravenspar_record::SliceRow;
use ravenspar_sharing::Incarnation;
use ravenspar_store::{at, exists, prefix_range, put, Range, Row, SharedStore, Store, StoreError, MAX_STEPS};

pub use ravenspar_store::WriteError;

use super::rows::{decode_incarnation, decode_slice, encode_incarnation, encode_slice, Keys, Member};

/// The state of the fleet in the store at one revision.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    pub cluster: u64,
    pub revision: u64,
    pub members: Vec<(Incarnation, Member)>,
    /// Assignments that changed since the requested revision: slice, steward, term.
    pub assignments: Vec<(usize, Incarnation, u64)>,
    /// Duties with their leaders and terms; see [`with_duties`].
    pub duties: Vec<(String, Incarnation, u64)>,
    /// Number of sites with a live lease; see [`with_duties`].
    pub sites: usize,
    /// Keys whose entries can't be decoded.
    pub undecodable: Vec<String>,
}

/// Reads all members and the assignments that changed since a revision, at one revision.
pub async fn snapshot(store: &dyn Store, keys: &Keys, since: u64) -> Result<Snapshot, StoreError> {
    let read =
        store.read(vec![prefix_range(keys.members(), 0), prefix_range(keys.assignments(), since)]).await?;
    let mut snapshot = Snapshot { cluster: read.cluster, revision: read.revision, ..Snapshot::default() };
    let mut ranges = read.ranges.into_iter();
    let mut next = || ranges.next().unwrap_or_default();
    let shown = |row: &Row| String::from_utf8_lossy(&row.key).into_owned();
    for row in next() {
        match (Keys::incarnation(&row.key), serde_json::from_slice(&row.value)) {
            (Some(incarnation), Ok(member)) => snapshot.members.push((incarnation, member)),
            _ => snapshot.undecodable.push(shown(&row)),
        }
    }
    for row in next() {
        match (Keys::number(&row.key), decode_incarnation(&row.value)) {
            (Some(slice), Some(incarnation)) => snapshot.assignments.push((slice, incarnation, row.modified)),
            _ => snapshot.undecodable.push(shown(&row)),
        }
    }
    Ok(snapshot)
}

/// Reads the record of the slices from `first` to `last`, by pages at one revision. Slices without a record are left
/// out.
pub async fn read_slices(
    store: &dyn Store,
    keys: &Keys,
    first: usize,
    last: usize,
) -> Result<Vec<SliceRow>, StoreError> {
    let end = [&keys.slice(last)[..], &[0]].concat();
    let (_, rows) = ravenspar_store::read_all(store, Range { key: keys.slice(first), end, since: 0 }).await?;
    rows.iter().map(|row| decode_slice(&row.key, &row.value).map_err(StoreError::Refused)).collect()
}

/// The fenced writer of one incarnation: all its writes to members and slices go through here, in order, and none
/// takes effect once its lease has ended at the store.
pub struct MemberWriter {
    writer: ravenspar_store::FencedWriter,
    keys: Keys,
    incarnation: Incarnation,
}

impl MemberWriter {
    /// Joins as a member under the incarnation's lease, which has just been granted. Returns the revision as its
    /// term.
    pub async fn join(
        store: SharedStore,
        keys: Keys,
        incarnation: Incarnation,
        member: &Member,
    ) -> Result<(MemberWriter, u64), WriteError> {
        let writer = ravenspar_store::FencedWriter::new(store, incarnation, keys.witness(incarnation));
        let mut writer = MemberWriter { writer, keys, incarnation };
        let term = writer.put_member(member).await?;
        Ok((writer, term))
    }

    /// Rewrites the member's entry, for instance as it is leaving and no slices are to be handed over to it.
    pub async fn write_member(&mut self, member: &Member) -> Result<(), WriteError> {
        self.put_member(member).await.map(|_| ())
    }

    async fn put_member(&mut self, member: &Member) -> Result<u64, WriteError> {
        let row = serde_json::to_vec(member).unwrap_or_default();
        let then = vec![put(self.keys.member(self.incarnation), row, self.incarnation)];
        self.writer.commit(Vec::new(), then).await
    }

    /// Writes records of slices, each on condition that the slice's assignment still has the record's term.
    pub async fn write_records(&mut self, rows: &[SliceRow]) -> Result<(), WriteError> {
        for rows in rows.chunks(MAX_STEPS) {
            let compare =
                rows.iter().map(|row| at(self.keys.assignment(row.slice as usize), row.term)).collect();
            let then = rows.iter().map(|row| put(self.keys.slice(row.slice as usize), encode_slice(row), 0));
            let then = then.collect();
            self.writer.commit(compare, then).await?;
        }
        Ok(())
    }

    /// Takes slices over, on condition that each assignment still has this term and that the members in `gone` are
    /// absent from the store. Returns the new term.
    pub async fn take(&mut self, slices: &[(usize, u64)], gone: &[Incarnation]) -> Result<u64, WriteError> {
        let absent = gone.iter().map(|&incarnation| at(self.keys.member(incarnation), 0)).collect();
        self.assign(slices, absent, self.incarnation).await
    }

    /// Hands slices over to a member, on condition that it is still there. Returns the new term.
    pub async fn hand_over(&mut self, slices: &[(usize, u64)], to: Incarnation) -> Result<u64, WriteError> {
        let present = vec![exists(self.keys.member(to))];
        self.assign(slices, present, to).await
    }

    async fn assign(
        &mut self,
        slices: &[(usize, u64)],
        mut compare: Vec<ravenspar_store::Compare>,
        to: Incarnation,
    ) -> Result<u64, WriteError> {
        compare.extend(slices.iter().map(|&(slice, term)| at(self.keys.assignment(slice), term)));
        let then = slices
            .iter()
            .map(|&(slice, _)| put(self.keys.assignment(slice), encode_incarnation(to), 0))
            .collect();
        self.writer.commit(compare, then).await
    }

    /// Limit of slices in one call to [`MemberWriter::take`] or [`MemberWriter::hand_over`].
    pub const MAX_SLICES: usize = MAX_STEPS;
}

/// Returns an error message if a snapshot can't follow on the last seen cluster and revision, as it is of another
/// store or of an older state.
pub fn history_error(snapshot: &Snapshot, seen: Option<(u64, u64)>) -> Option<String> {
    let (cluster, revision) = seen?;
    let found = (snapshot.cluster, snapshot.revision as i64);
    let error = ravenspar_list::check_continuity((cluster, revision as i64), found).err()?;
    let found_store = match error {
        HistoryError::Cluster { .. } => "another store",
        HistoryError::Backward { .. } => "an older store",
    };
    Some(format!(
            "{found_store}: cluster {:x} revision {} where cluster {cluster:x} revision {revision} was seen; \
             slices could get a second writer by it. Once every other steward is stopped and every forwarder's \
             lease is over, `ravenspar accept` takes it",
            found.0, found.1
        ))
}

/// Adds the leaders of duties and the number of sites to a snapshot, for display.
pub async fn with_duties(
    store: &dyn Store,
    keys: &Keys,
    mut snapshot: Snapshot,
) -> Result<Snapshot, StoreError> {
    let read = store.read(vec![prefix_range(keys.duties(), 0), prefix_range(keys.sites(), 0)]).await?;
    let duty =
        |row: &Row| Some((Keys::last(&row.key)?.to_owned(), decode_incarnation(&row.value)?, row.modified));
    snapshot.duties = read.ranges.first().into_iter().flatten().filter_map(duty).collect();
    snapshot.sites = read.ranges.get(1).map_or(0, Vec::len);
    Ok(snapshot)
}
