//! Writes the record in a thread of its own: whatever has gathered while one commit ran shares the next.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use ravenspar_record::{Record, ServerRow, SliceRow};
use tokio::sync::{mpsc, Notify};

/// One thing to make durable. Of lists that gather only the newest is written, and before the slices beside it.
#[derive(Debug)]
pub enum Batch {
    Slices { ticket: u64, rows: Vec<SliceRow> },
    List(Vec<ServerRow>),
}

/// Batches that may wait. A full queue holds the core up, as nothing may go out before it is on record anyway.
const QUEUE: usize = 256;

pub struct Recorder {
    batches: mpsc::Sender<Batch>,
    done: Arc<Done>,
    thread: std::thread::JoinHandle<()>,
}

#[derive(Default)]
struct Done {
    /// The last durable ticket, plus one.
    tickets: AtomicU64,
    commits: AtomicU64,
    changed: Notify,
    failed: AtomicBool,
    fault: Mutex<Option<String>>,
}

impl Recorder {
    pub fn start(record: Record) -> std::io::Result<Recorder> {
        let (batches, queue) = mpsc::channel(QUEUE);
        let done = Arc::new(Done::default());
        let told = done.clone();
        let thread =
            std::thread::Builder::new().name("record".to_owned()).spawn(move || run(record, queue, &told))?;
        Ok(Recorder { batches, done, thread })
    }

    /// Waits where the queue is full. A batch handed in after a fault is dropped: nothing is durable any more.
    pub async fn write(&self, batch: Batch) {
        let _ = self.batches.send(batch).await;
    }

    /// Returns when more has become durable or a fault has come.
    pub async fn changed(&self) {
        self.done.changed.notified().await;
    }

    /// The last durable ticket, if any.
    pub fn durable(&self) -> Option<u64> {
        self.done.tickets.load(Ordering::Acquire).checked_sub(1)
    }

    pub fn commits(&self) -> u64 {
        self.done.commits.load(Ordering::Relaxed)
    }

    pub fn fault(&self) -> Option<String> {
        if !self.done.failed.load(Ordering::Acquire) {
            return None;
        }
        self.done.fault.lock().ok().and_then(|fault| fault.clone())
    }

    /// Makes durable what was handed in, and ends.
    pub fn end(self) {
        drop(self.batches);
        let _ = self.thread.join();
    }
}

fn run(record: Record, mut queue: mpsc::Receiver<Batch>, done: &Done) {
    let mut gathered = Vec::new();
    while queue.blocking_recv_many(&mut gathered, QUEUE) > 0 {
        let (mut slices, mut list, mut last) = (Vec::new(), None, None);
        for batch in gathered.drain(..) {
            match batch {
                Batch::Slices { ticket, rows } => {
                    last = Some(ticket);
                    slices.extend(rows);
                }
                Batch::List(rows) => list = Some(rows),
            }
        }
        if let Err(fault) = record.write(&slices, list.as_deref()) {
            if let Ok(mut place) = done.fault.lock() {
                *place = Some(fault.to_string());
            }
            done.failed.store(true, Ordering::Release);
            done.changed.notify_one();
            return;
        }
        done.commits.fetch_add(1, Ordering::Relaxed);
        if let Some(ticket) = last {
            done.tickets.store(ticket + 1, Ordering::Release);
            done.changed.notify_one();
        }
    }
}
