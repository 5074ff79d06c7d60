//! Checks that a panic in an executor or the poller ends the incarnation's work.

use std::collections::BTreeSet;

use futures_util::future::BoxFuture;
use ravenspar_store::{CommitOutcome, FencedTransaction, Page, Range, Read, Store, StoreError};

use super::*;

/// A store whose client panics on each call.
struct PanickingStore;

fn panics<T>() -> BoxFuture<'static, Result<T, StoreError>> {
    Box::pin(async { panic!("injected panic in the store's client") })
}

impl Store for PanickingStore {
    fn read(&self, _: Vec<Range>) -> BoxFuture<'_, Result<Read, StoreError>> {
        panics()
    }

    fn page(&self, _: Range, _: usize, _: u64) -> BoxFuture<'_, Result<Page, StoreError>> {
        panics()
    }

    fn commit(&self, _: FencedTransaction, _: u32) -> BoxFuture<'_, Result<CommitOutcome, StoreError>> {
        panics()
    }

    fn grant(&self, _: u64, _: u32) -> BoxFuture<'_, Result<u32, StoreError>> {
        panics()
    }

    fn renew(&self, _: u64) -> BoxFuture<'_, Result<Option<u32>, StoreError>> {
        panics()
    }

    fn revoke(&self, _: u64) -> BoxFuture<'_, Result<(), StoreError>> {
        panics()
    }
}

#[tokio::test]
async fn panic_in_an_executor_or_the_poller_terminates_the_incarnation() {
    let store: SharedStore = Arc::new(PanickingStore);
    let keys = Keys::new("test/");
    let writer = || FencedWriter::new(store.clone(), 1, keys.work_witness(1, "own"));
    let (event_sender, mut events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let duty_executor = DutyExecutor {
        writer: writer(),
        keys: keys.clone(),
        incarnation: 1,
        clock: Clock::new(),
        failpoint: None,
        duty_names: DUTIES,
        events: event_sender.clone(),
    };
    let (duty_commands, _) = duty_executor.start();
    duty_commands
        .try_send(DutyCommand::Reachability(Reachability::default()))
        .expect("the queue has capacity");
    let agent_executor = AgentExecutor {
        writer: writer(),
        store: store.clone(),
        keys: keys.clone(),
        events: event_sender.clone(),
    };
    let (agent_requests, _) = agent_executor.start();
    agent_requests.try_send(AgentRequest::ReadLine("a job".to_owned())).expect("the queue has capacity");
    let (_poll_request, requests) = watch::channel(PollRequest::default());
    let poller = Poller {
        store,
        keys,
        requests,
        debts_enabled: false,
        poll_now: Arc::default(),
        events: event_sender,
    };
    let _ = poller.start();
    let mut failed = BTreeSet::new();
    while failed.len() < 3 {
        match events.recv().await {
            Some(Event::Terminated(why)) => {
                _ = failed.insert(why.split(" has failed").next().unwrap_or("").to_owned())
            }
            Some(_) => {}
            None => panic!("only {failed:?} reported a failure"),
        }
    }
    let names = ["the executor for agents", "the executor for duties", "the look at the store for duties"];
    assert_eq!(failed, names.map(str::to_owned).into());
}
