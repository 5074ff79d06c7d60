//! Actions that rely on a key's absence from the store: the transaction itself checks that, so that a steward with
//! stale knowledge does no harm.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use ravenspar_duty::Leadership;
use ravenspar_jobs::Incarnation;
use ravenspar_standin::store::Memory;
use ravenspar_store::{CommitOutcome, FencedTransaction, Page, Read, Store, StoreError};

use super::*;
use crate::shared::decode_incarnation;
use crate::work::DUTIES;

const JOBS: Duty = 0;
/// Lease of each incarnation in seconds, far longer than a test takes.
const LEASE: u32 = 600;

fn keys() -> Keys {
    Keys::new("/fleet/")
}

/// Joins as a member and returns its executor; the events' receiver is dropped.
async fn join(store: &SharedStore, incarnation: Incarnation) -> DutyExecutor {
    store.grant(incarnation, LEASE).await.expect("the lease is granted");
    let keys = keys();
    let mut writer = FencedWriter::new(store.clone(), incarnation, keys.work_witness(incarnation, "own"));
    let then = vec![put(keys.member(incarnation), Vec::new(), incarnation)];
    writer.commit(Vec::new(), then).await.expect("the member's key is written");
    let (events, _) = mpsc::channel(1);
    DutyExecutor {
        writer,
        keys,
        incarnation,
        clock: Clock::new(),
        failpoint: None,
        duty_names: DUTIES,
        events,
    }
}

/// Returns the revision at which a duty's step was committed, if it was.
async fn step(executor: &mut DutyExecutor, step: Step) -> Option<u64> {
    match executor.execute(DutyCommand::Step { step, name: DUTIES[JOBS] }).await {
        Event::DutyStepDone { term, .. } => term,
        Event::Terminated(why) => panic!("{why}"),
        _ => panic!("unexpected event"),
    }
}

async fn claim(executor: &mut DutyExecutor) -> Option<u64> {
    step(executor, Step::Claim { duty: JOBS }).await
}

/// Writes a job's line under a term of the duty. Returns the revision if it was committed.
async fn write_line(executor: &mut DutyExecutor, term: u64, write: Write) -> Option<u64> {
    let permit = Leadership::new(JOBS, term).permit(0, i64::MAX).expect("the membership has no end");
    match executor.execute(DutyCommand::Lines { permit, writes: vec![write] }).await {
        Event::LinesWritten { revision, .. } => revision,
        Event::Terminated(why) => panic!("{why}"),
        _ => panic!("unexpected event"),
    }
}

async fn value(store: &SharedStore, key: Vec<u8>) -> Option<Vec<u8>> {
    let read = store.read(vec![Range { key, end: Vec::new(), since: 0 }]).await.expect("the store answers");
    read.ranges.into_iter().flatten().next().map(|row| row.value)
}

async fn leader(store: &SharedStore) -> Option<Incarnation> {
    decode_incarnation(&value(store, keys().duty(DUTIES[JOBS])).await?)
}

fn line_write(seen: u64, state: State) -> Write {
    let line = JobLine::new(state);
    Write { job: "a".to_owned(), seen, line, there: None, gone: None, delete: false }
}

/// Guards against two leaders when both stewards saw the claim's key absent.
#[tokio::test]
async fn only_one_of_two_concurrent_claims_of_a_duty_succeeds() {
    let store: SharedStore = Arc::new(Memory::default());
    let (mut first, mut second) = (join(&store, 1).await, join(&store, 2).await);
    assert!(claim(&mut first).await.is_some());
    assert_eq!(claim(&mut second).await, None);
    assert_eq!(leader(&store).await, Some(1));
    store.revoke(1).await.expect("the lease is revoked");
    assert!(claim(&mut second).await.is_some(), "the claim is deleted with its leader's lease");
    assert_eq!(leader(&store).await, Some(2));
}

#[tokio::test]
async fn a_duty_is_handed_over_only_to_a_current_member_and_under_the_current_term() {
    let store: SharedStore = Arc::new(Memory::default());
    let (mut first, _second) = (join(&store, 1).await, join(&store, 2).await);
    let term = claim(&mut first).await.expect("the duty has no leader");
    let hand_over = |term, to| Step::HandOver { duty: JOBS, term, to };
    assert_eq!(step(&mut first, hand_over(term, 3)).await, None, "3 is not a member");
    assert_eq!(step(&mut first, hand_over(term - 1, 2)).await, None, "the term is outdated");
    assert_eq!(leader(&store).await, Some(1));
    assert!(step(&mut first, hand_over(term, 2)).await.is_some());
    assert_eq!(leader(&store).await, Some(2));
}

/// Guards against writes by a leader that was replaced while its membership still holds by its own clock.
#[tokio::test]
async fn nothing_is_written_under_an_outdated_term() {
    let store: SharedStore = Arc::new(Memory::default());
    let (mut first, mut second) = (join(&store, 1).await, join(&store, 2).await);
    let term = claim(&mut first).await.expect("the duty has no leader");
    let next =
        step(&mut first, Step::HandOver { duty: JOBS, term, to: 2 }).await.expect("the duty is handed over");
    assert_eq!(write_line(&mut first, term, line_write(0, State::Waiting)).await, None);
    assert_eq!(value(&store, keys().line("a")).await, None);
    assert!(write_line(&mut second, next, line_write(0, State::Waiting)).await.is_some());
}

/// Guards against a job that runs twice: the leader missed the site's key in its poll, but the key exists when the
/// transaction is executed, or the site is back under another incarnation.
#[tokio::test]
async fn a_job_is_taken_from_a_site_only_if_its_incarnation_is_gone_from_the_store() {
    let store: SharedStore = Arc::new(Memory::default());
    let mut leader = join(&store, 1).await;
    let term = claim(&mut leader).await.expect("the duty has no leader");
    let site = |incarnation| vec![put(keys().site(incarnation), Vec::new(), incarnation)];
    for incarnation in [7, 8] {
        store.grant(incarnation, LEASE).await.expect("the lease is granted");
    }
    leader.writer.commit(Vec::new(), site(7)).await.expect("the site's key is written");
    let assigned = Write { there: Some(7), ..line_write(0, State::Leased(7)) };
    let seen = write_line(&mut leader, term, assigned).await.expect("the site's key exists");
    let take_back = || Write { gone: Some(7), ..line_write(seen, State::Waiting) };
    assert_eq!(write_line(&mut leader, term, take_back()).await, None, "the incarnation's key exists");
    leader
        .writer
        .commit(Vec::new(), site(8))
        .await
        .expect("the key of the site's next incarnation is written");
    store.revoke(7).await.expect("the lease is revoked");
    let stale = Write { seen: seen - 1, ..take_back() };
    assert_eq!(write_line(&mut leader, term, stale).await, None, "the line may have changed by an outcome");
    assert!(write_line(&mut leader, term, take_back()).await.is_some());
    let again = Write { there: Some(7), ..line_write(0, State::Leased(7)) };
    assert_eq!(
        write_line(&mut leader, term, Write { job: "b".to_owned(), ..again }).await,
        None,
        "the site's incarnation is gone"
    );
}

/// A store that fails each call.
struct UnavailableStore;

fn unavailable<T: Send>() -> BoxFuture<'static, Result<T, StoreError>> {
    Box::pin(async { Err(StoreError::Refused("unavailable".to_owned())) })
}

impl Store for UnavailableStore {
    fn read(&self, _: Vec<Range>) -> BoxFuture<'_, Result<Read, StoreError>> {
        unavailable()
    }

    fn page(&self, _: Range, _: usize, _: u64) -> BoxFuture<'_, Result<Page, StoreError>> {
        unavailable()
    }

    fn commit(&self, _: FencedTransaction, _: u32) -> BoxFuture<'_, Result<CommitOutcome, StoreError>> {
        unavailable()
    }

    fn grant(&self, _: u64, _: u32) -> BoxFuture<'_, Result<u32, StoreError>> {
        unavailable()
    }

    fn renew(&self, _: u64) -> BoxFuture<'_, Result<Option<u32>, StoreError>> {
        unavailable()
    }

    fn revoke(&self, _: u64) -> BoxFuture<'_, Result<(), StoreError>> {
        unavailable()
    }
}

/// The executor for agents, with the events' receiver dropped.
fn agent_executor(store: SharedStore) -> AgentExecutor {
    let keys = keys();
    let writer = FencedWriter::new(store.clone(), 1, keys.work_witness(1, "agents"));
    let (events, _) = mpsc::channel(1);
    AgentExecutor { writer, store, keys, events }
}

/// Guards against a failed read being taken for a missing job: the agent then gets no verdict and reports its outcome
/// again.
#[tokio::test]
async fn a_failed_read_of_a_line_refuses_no_outcome() {
    let read_line = || vec![AgentRequest::ReadLine("a".to_owned())];
    let failed = agent_executor(Arc::new(UnavailableStore)).execute(read_line()).await;
    assert!(matches!(&failed[..], [Event::Settled { job, written: false }] if job == "a"));
    let answered = agent_executor(Arc::new(Memory::default())).execute(read_line()).await;
    assert!(
        matches!(&answered[..], [Event::LineRead { job, line: None }] if job == "a"),
        "the job has no line"
    );
}

/// Outcomes of two agents are written in one transaction. Guards against the loss of both when only one conflicts.
#[tokio::test]
async fn an_outcome_that_conflicts_does_not_fail_others_of_its_batch() {
    let store: SharedStore = Arc::new(Memory::default());
    store.grant(1, LEASE).await.expect("the lease is granted");
    let mut executor = agent_executor(store.clone());
    let lines = ["a", "b"].map(|job| put(keys().line(job), rows::encode(&JobLine::new(State::Leased(7))), 0));
    let seen = executor.writer.commit(Vec::new(), lines.into()).await.expect("the lines are written");
    let settle = |job: &str, seen| {
        let line = JobLine { last: seen, ..JobLine::new(State::Done) };
        AgentRequest::Settle { job: job.to_owned(), seen, line, token: seen, ended: Ended::Done }
    };
    let events = executor.execute(vec![settle("a", seen - 1), settle("b", seen)]).await;
    let is_settled = |job: &str| {
        events
            .iter()
            .any(|event| matches!(event, Event::Settled { job: settled, written: true } if settled == job))
    };
    assert_eq!((is_settled("a"), is_settled("b")), (false, true));
    assert_eq!(value(&store, keys().outcome("a")).await, None);
}
