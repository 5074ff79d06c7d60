//! Makes updates of the record durable, in order. Updates that arrive during one write share the next, so that callers never
//! wait for a write, and the queue is bounded by the size of the record.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use ravenspar_record::{Record, ServerRow, SliceRow};
use tokio::sync::{oneshot, Notify};

/// An update of the record. Only the newest of several queued lists is written, before the slices in the same write.
#[derive(Debug)]
pub enum RecordUpdate {
    Slices {
        ticket: u64,
        rows: Vec<SliceRow>,
    },
    List(Vec<ServerRow>),
    /// The state of following a list with revisions; written before the list it belongs to.
    FollowState(ravenspar_list::FollowState),
    /// Cluster and revision last seen of the shared store.
    Seen(u64, u64),
}

/// The updates of one write, merged: each slice at most once, with its last row.
#[derive(Debug, Default)]
pub struct MergedUpdates {
    pub slices: Vec<SliceRow>,
    pub list: Option<Vec<ServerRow>>,
    pub followed: Option<ravenspar_list::FollowState>,
    pub seen: Option<(u64, u64)>,
}

/// The storage of a record: the embedded file, or a store shared with other stewards.
pub trait RecordStorage: Send + 'static {
    /// Returns once the updates are durable. After an error nothing that depends on them may be sent.
    fn write(&mut self, merged: MergedUpdates) -> impl Future<Output = Result<(), String>> + Send;
}

/// How long a failed write is retried, for a full disk or a device that fails for a while. Nothing that depends on the
/// write is sent meanwhile.
const WRITE_RETRY_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between attempts to write.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

impl RecordStorage for Record {
    async fn write(&mut self, merged: MergedUpdates) -> Result<(), String> {
        let deadline = Instant::now() + WRITE_RETRY_TIMEOUT;
        let mut result = write_all(self, &merged);
        while let Err(error) = &result {
            if Instant::now() >= deadline {
                break;
            }
            tracing::warn!(fault = %error, "the record is tried again");
            std::thread::sleep(WRITE_RETRY_INTERVAL);
            result = self.reopen().and_then(|()| write_all(self, &merged));
        }
        result.map_err(|error| error.to_string())
    }
}

/// Writes all updates, the follow state before its list.
fn write_all(record: &Record, merged: &MergedUpdates) -> Result<(), ravenspar_record::RecordError> {
    if let Some(seen) = merged.seen {
        record.save_store_position(Some(seen))?;
    }
    if let Some(state) = &merged.followed {
        record.save_list_state(state.cluster, state.revision, &state.retired)?;
    }
    if merged.slices.is_empty() && merged.list.is_none() {
        return Ok(());
    }
    record.write(&merged.slices, merged.list.as_deref())
}

/// How long a process that ends waits for queued updates. Nothing that depends on them was sent, so that they may be lost.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// The updates queued for the next write, merged.
#[derive(Default)]
struct Waiting {
    slices: BTreeMap<u32, SliceRow>,
    /// The last ticket of the queued slices.
    ticket: Option<u64>,
    list: Option<Vec<ServerRow>>,
    followed: Option<ravenspar_list::FollowState>,
    seen: Option<(u64, u64)>,
    /// Set once no more updates follow.
    closed: bool,
}

impl Waiting {
    fn add(&mut self, update: RecordUpdate) {
        match update {
            RecordUpdate::Slices { ticket, rows } => {
                self.ticket = Some(ticket);
                self.slices.extend(rows.into_iter().map(|row| (row.slice, row)));
            }
            RecordUpdate::List(rows) => self.list = Some(rows),
            RecordUpdate::FollowState(state) => self.followed = Some(state),
            RecordUpdate::Seen(cluster, revision) => self.seen = Some((cluster, revision)),
        }
    }

    fn is_empty(&self) -> bool {
        self.ticket.is_none() && self.list.is_none() && self.followed.is_none() && self.seen.is_none()
    }

    /// Takes the next write, and the last ticket in it.
    fn take(&mut self) -> (MergedUpdates, Option<u64>) {
        let slices = std::mem::take(&mut self.slices).into_values().collect();
        let merged = MergedUpdates {
            slices,
            list: self.list.take(),
            followed: self.followed.take(),
            seen: self.seen.take(),
        };
        (merged, self.ticket.take())
    }
}

/// The queue between the recorder's handle and the writer.
#[derive(Default)]
struct Queue {
    waiting: Mutex<Waiting>,
    changed: Notify,
}

impl Queue {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the next write. Returns `None` once the queue is closed and empty.
    async fn next(&self) -> Option<(MergedUpdates, Option<u64>)> {
        loop {
            {
                let mut waiting = self.lock();
                if !waiting.is_empty() {
                    return Some(waiting.take());
                }
                if waiting.closed {
                    return None;
                }
            }
            self.changed.notified().await;
        }
    }
}

/// The sender's end of the queue, which closes it when dropped.
struct QueueHandle(Arc<Queue>);

impl Drop for QueueHandle {
    fn drop(&mut self) {
        self.0.lock().closed = true;
        self.0.changed.notify_one();
    }
}

/// The handle to a record's writer.
pub struct Recorder {
    updates: QueueHandle,
    progress: Arc<Progress>,
    /// Closed once the writer has ended and dropped its storage.
    ended: oneshot::Receiver<()>,
}

/// The queued updates were not written in time.
#[derive(Debug, PartialEq, Eq)]
pub struct Unfinished;

/// The state of the writer, as the recorder's handle reads it.
#[derive(Default)]
struct Progress {
    /// The last durable ticket, plus one.
    tickets: AtomicU64,
    commits: AtomicU64,
    changed: Notify,
    failed: AtomicBool,
    error: Mutex<Option<String>>,
}

impl Recorder {
    /// Writes in a dedicated thread, for storage that blocks.
    pub fn in_thread(storage: impl RecordStorage) -> std::io::Result<Recorder> {
        let queue = Arc::new(Queue::default());
        let updates = QueueHandle(queue.clone());
        let progress = Arc::new(Progress::default());
        let writer_progress = progress.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().build()?;
        let (writing, ended) = oneshot::channel::<()>();
        std::thread::Builder::new().name("record".to_owned()).spawn(move || {
            runtime.block_on(run(storage, &queue, &writer_progress));
            drop(writing);
        })?;
        Ok(Recorder { updates, progress, ended })
    }

    /// Writes in a task, for storage that awaits responses.
    pub fn in_task(storage: impl RecordStorage) -> Recorder {
        let queue = Arc::new(Queue::default());
        let updates = QueueHandle(queue.clone());
        let progress = Arc::new(Progress::default());
        let writer_progress = progress.clone();
        let (writing, ended) = oneshot::channel::<()>();
        tokio::spawn(async move {
            run(storage, &queue, &writer_progress).await;
            drop(writing);
        });
        Recorder { updates, progress, ended }
    }

    /// Queues an update. After an error no more updates become durable.
    pub fn write(&self, update: RecordUpdate) {
        self.updates.0.lock().add(update);
        self.updates.0.changed.notify_one();
    }

    /// Returns when more updates have become durable or the writer has failed.
    pub async fn changed(&self) {
        self.progress.changed.notified().await;
    }

    /// The last durable ticket, if any.
    pub fn durable(&self) -> Option<u64> {
        self.progress.tickets.load(Ordering::Acquire).checked_sub(1)
    }

    pub fn commits(&self) -> u64 {
        self.progress.commits.load(Ordering::Relaxed)
    }

    /// The error that ended the writer, if any.
    pub fn error(&self) -> Option<String> {
        if !self.progress.failed.load(Ordering::Acquire) {
            return None;
        }
        self.progress.error.lock().ok().and_then(|error| error.clone())
    }

    /// Ends the writer once all queued updates are durable. Fails, and leaves the writer running, if the storage takes too
    /// long.
    pub async fn end(self) -> Result<(), Unfinished> {
        drop(self.updates);
        let ended = tokio::time::timeout(SHUTDOWN_TIMEOUT, self.ended).await;
        ended.map(|_| ()).map_err(|_| Unfinished)
    }
}

impl Progress {
    /// Marks the writer as failed. The first error is kept.
    fn fail(&self, error: String) {
        if let Ok(mut first) = self.error.lock() {
            first.get_or_insert(error);
        }
        self.failed.store(true, Ordering::Release);
        self.changed.notify_one();
    }
}

/// Marks the writer as failed when it ends in any way. Guards against a panic in the writer: the core would keep answering
/// while it waits forever for updates to become durable.
struct FailOnDrop<'a>(&'a Progress);

impl Drop for FailOnDrop<'_> {
    fn drop(&mut self) {
        self.0.fail("its writer has ended".to_owned());
    }
}

async fn run(mut storage: impl RecordStorage, queue: &Queue, progress: &Progress) {
    let _guard = FailOnDrop(progress);
    while let Some((merged, last)) = queue.next().await {
        if let Err(error) = storage.write(merged).await {
            return progress.fail(error);
        }
        progress.commits.fetch_add(1, Ordering::Relaxed);
        if let Some(ticket) = last {
            progress.tickets.store(ticket + 1, Ordering::Release);
            progress.changed.notify_one();
        }
    }
}

#[cfg(test)]
mod tests;
