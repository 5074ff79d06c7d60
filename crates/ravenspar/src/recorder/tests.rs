use super::*;

/// Stores this many writes, and then fails with a panic or an error.
struct FailingStorage {
    after: usize,
    panics: bool,
}

impl RecordStorage for FailingStorage {
    async fn write(&mut self, _: MergedUpdates) -> Result<(), String> {
        if self.after == 0 {
            assert!(!self.panics, "injected panic in the writer");
            return Err("the disk is full".to_owned());
        }
        self.after -= 1;
        Ok(())
    }
}

/// Writes two updates, and returns the error and the last durable ticket.
async fn write_until_error(recorder: &Recorder) -> (String, Option<u64>) {
    for ticket in 0..2 {
        recorder.write(RecordUpdate::Slices { ticket, rows: Vec::new() });
        while recorder.error().is_none() && recorder.durable() != Some(ticket) {
            recorder.changed().await;
        }
    }
    (recorder.error().expect("the writer has failed"), recorder.durable())
}

#[tokio::test]
async fn a_panic_of_the_writer_is_reported_like_an_error() {
    for (panics, why) in [(true, "its writer has ended"), (false, "the disk is full")] {
        let in_task = Recorder::in_task(FailingStorage { after: 1, panics });
        let in_thread = Recorder::in_thread(FailingStorage { after: 1, panics }).expect("a thread");
        for recorder in [in_task, in_thread] {
            let result =
                tokio::time::timeout(std::time::Duration::from_secs(60), write_until_error(&recorder)).await;
            assert_eq!(result.expect("in time"), (why.to_owned(), Some(0)));
        }
    }
}

/// Never finishes a write.
struct StalledStorage;

impl RecordStorage for StalledStorage {
    async fn write(&mut self, _: MergedUpdates) -> Result<(), String> {
        std::future::pending().await
    }
}

#[tokio::test]
async fn the_end_does_not_wait_forever_for_a_stalled_writer() {
    for recorder in
        [Recorder::in_task(StalledStorage), Recorder::in_thread(StalledStorage).expect("a thread")]
    {
        recorder.write(RecordUpdate::Seen(1, 1));
        let ended = tokio::time::timeout(2 * SHUTDOWN_TIMEOUT, recorder.end()).await;
        assert_eq!(ended.expect("in time"), Err(Unfinished));
    }
}

#[tokio::test]
async fn the_end_waits_for_queued_updates() {
    for recorder in [
        Recorder::in_task(FailingStorage { after: 1, panics: true }),
        Recorder::in_thread(FailingStorage { after: 1, panics: true }).expect("a thread"),
    ] {
        let progress = recorder.progress.clone();
        recorder.write(RecordUpdate::Slices { ticket: 4, rows: Vec::new() });
        assert_eq!((recorder.end().await, progress.tickets.load(Ordering::Acquire)), (Ok(()), 5));
    }
}

/// Writes far more updates than a bounded queue of them would hold.
#[tokio::test]
async fn a_stalled_writer_does_not_block_callers() {
    const CHANGES: u64 = 10_000;
    let recorder = Recorder::in_task(StalledStorage);
    let written = async {
        for change in 0..CHANGES {
            recorder.write(RecordUpdate::List(Vec::new()));
            recorder.write(RecordUpdate::Slices { ticket: change, rows: Vec::new() });
        }
    };
    tokio::time::timeout(std::time::Duration::from_secs(10), written).await.expect("writes return at once");
}
