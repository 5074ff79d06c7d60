//! Actions that rely on a member's key being absent: the transactions check that at the store themselves, so that a
//! steward with stale knowledge, or a wrong view of the fleet, does no harm.

use std::sync::Arc;

use ravenspar_record::SliceRow;
use ravenspar_sharing::Incarnation;
use ravenspar_standin::store::Memory;
use ravenspar_store::SharedStore;

use super::store::{MemberWriter, WriteError};
use super::*;

/// Lease of each incarnation in seconds, far longer than a test takes.
const LEASE: u32 = 600;
/// The term of a slice that was never assigned.
const UNASSIGNED: u64 = 0;

async fn join(store: &SharedStore, incarnation: Incarnation) -> MemberWriter {
    store.grant(incarnation, LEASE).await.expect("the lease is granted");
    let address = "127.0.0.1:9".to_owned();
    let member = Member { name: format!("steward-{incarnation}"), address, leaving: false, resting: false };
    MemberWriter::join(store.clone(), Keys::new("/fleet/"), incarnation, &member)
        .await
        .expect("the member joins")
        .0
}

/// Returns the steward that the first slice is assigned to.
async fn assigned_steward(store: &SharedStore) -> Option<Incarnation> {
    let snapshot = snapshot(&**store, &Keys::new("/fleet/"), 0).await.expect("the store answers");
    snapshot.assignments.iter().find(|(slice, ..)| *slice == 0).map(|(_, incarnation, _)| *incarnation)
}

fn row(term: u64) -> SliceRow {
    SliceRow { slice: 0, owner: Some("a".to_owned()), weight: 1, mark: 1, term, boot: 0 }
}

/// Guards against a takeover from a live steward that the view showed as gone or that a poll of the store missed.
#[tokio::test]
async fn slices_are_taken_only_from_a_steward_whose_membership_has_ended_at_the_store() {
    let store: SharedStore = Arc::new(Memory::default());
    let (mut first, mut second) = (join(&store, 1).await, join(&store, 2).await);
    let term = first.take(&[(0, UNASSIGNED)], &[]).await.expect("the slice is unassigned");
    assert_eq!(
        second.take(&[(0, term)], &[1]).await,
        Err(WriteError::ConditionFailed),
        "1 is still a member"
    );
    assert_eq!(assigned_steward(&store).await, Some(1));
    store.revoke(1).await.expect("the lease is revoked");
    assert_eq!(
        second.take(&[(0, term - 1)], &[1]).await,
        Err(WriteError::ConditionFailed),
        "the term is outdated"
    );
    assert!(second.take(&[(0, term)], &[1]).await.is_ok());
    assert_eq!(assigned_steward(&store).await, Some(2));
}

#[tokio::test]
async fn only_one_of_two_concurrent_takes_of_an_unassigned_slice_succeeds() {
    let store: SharedStore = Arc::new(Memory::default());
    let (mut first, mut second) = (join(&store, 1).await, join(&store, 2).await);
    assert!(first.take(&[(0, UNASSIGNED)], &[]).await.is_ok());
    assert_eq!(second.take(&[(0, UNASSIGNED)], &[]).await, Err(WriteError::ConditionFailed));
    assert_eq!(assigned_steward(&store).await, Some(1));
}

#[tokio::test]
async fn slices_are_handed_over_only_to_a_current_member() {
    let store: SharedStore = Arc::new(Memory::default());
    let (mut first, _second) = (join(&store, 1).await, join(&store, 2).await);
    let term = first.take(&[(0, UNASSIGNED)], &[]).await.expect("the slice is unassigned");
    store.revoke(2).await.expect("the lease is revoked");
    assert_eq!(first.hand_over(&[(0, term)], 2).await, Err(WriteError::ConditionFailed));
    assert_eq!(assigned_steward(&store).await, Some(1));
}

/// Guards against a steward that was paused and still takes the slice for its own.
#[tokio::test]
async fn a_steward_that_lost_a_slice_or_its_membership_writes_no_more() {
    let store: SharedStore = Arc::new(Memory::default());
    let (mut first, mut second) = (join(&store, 1).await, join(&store, 2).await);
    let term = first.take(&[(0, UNASSIGNED)], &[]).await.expect("the slice is unassigned");
    first.write_records(&[row(term)]).await.expect("the slice is assigned to it");
    let next = first.hand_over(&[(0, term)], 2).await.expect("the slice is handed over");
    assert_eq!(
        first.write_records(&[row(term)]).await,
        Err(WriteError::ConditionFailed),
        "the assignment has another term"
    );
    second.write_records(&[row(next)]).await.expect("the slice is assigned to it");
    store.revoke(1).await.expect("the lease is revoked");
    assert!(matches!(first.write_records(&[]).await, Ok(())));
    assert!(
        matches!(first.take(&[(1, UNASSIGNED)], &[]).await, Err(WriteError::Fatal(_))),
        "the membership has ended"
    );
}
