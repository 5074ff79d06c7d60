//! Structured logs on standard error.
//!
//! A dedicated thread writes them, so that a pipe whose reader stalls or closes, or a full disk, neither blocks nor ends
//! the program. Lines that exceed the buffer are dropped and counted. `tracing-appender` is not used: it bounds the number
//! of lines regardless of their length, and reports its own end on standard output, where that may block or panic.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::EnvFilter;

/// Capacity of the buffer: some thousand lines, and little compared with the smallest memory limit of a steward.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// How long the program waits at its end for buffered lines to be written.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The buffered lines, and what the writer is doing.
#[derive(Default)]
struct QueueState {
    waiting: Vec<u8>,
    /// Lines dropped since the writer last logged their number.
    left_out: u64,
    /// The writer has taken lines that are not written yet.
    is_writing: bool,
}

/// The queue between log events and the writer thread; the condition variable signals each change.
#[derive(Clone, Default)]
struct LogQueue(Arc<(Mutex<QueueState>, Condvar)>);

impl LogQueue {
    fn lock(&self) -> MutexGuard<'_, QueueState> {
        // No panic can leave the state half updated.
        self.0 .0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for lines; returns them and the number of lines dropped before them.
    fn next(&self) -> (Vec<u8>, u64) {
        let mut queue = self.lock();
        queue.is_writing = false;
        self.0 .1.notify_all();
        while queue.waiting.is_empty() {
            queue = self.0 .1.wait(queue).unwrap_or_else(PoisonError::into_inner);
        }
        queue.is_writing = true;
        (std::mem::take(&mut queue.waiting), std::mem::take(&mut queue.left_out))
    }

    /// Writes lines forever. Lines that can't be written are lost.
    fn write_to(&self, mut out: impl Write) {
        loop {
            let (lines, left_out) = self.next();
            let _ = out.write_all(&lines).and_then(|()| out.flush());
            if left_out > 0 {
                tracing::warn!(lines = left_out, "lines of the log were left out");
            }
        }
    }

    /// Waits until all lines are written. Returns false after `timeout`.
    fn wait_until_written(&self, timeout: Duration) -> bool {
        let busy = |queue: &mut QueueState| queue.is_writing || !queue.waiting.is_empty();
        let result = self.0 .1.wait_timeout_while(self.lock(), timeout, busy);
        !result.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }
}

impl Write for LogQueue {
    /// Buffers a complete line or drops it; never fails.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut queue = self.lock();
        if queue.waiting.len() + line.len() > MAX_QUEUED_BYTES {
            queue.left_out += 1;
        } else {
            queue.waiting.extend_from_slice(line);
            self.0 .1.notify_all();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for LogQueue {
    type Writer = LogQueue;

    fn make_writer(&self) -> LogQueue {
        self.clone()
    }
}

/// The handle to the logs. Dropping it waits for buffered lines, so it is dropped last.
pub struct Logs(LogQueue);

impl Logs {
    /// Writes a plain line instead of an event: the reason that the program ends.
    pub fn write_line(&self, line: &str) {
        let _ = self.0.clone().write(format!("{line}\n").as_bytes());
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        self.0.wait_until_written(FINAL_FLUSH_TIMEOUT);
    }
}

/// Starts logging. `format` is `json` or `text`; `level` is a level or a filter in `tracing`'s syntax.
pub fn start(format: &str, level: &str) -> Result<Logs, String> {
    let filter = EnvFilter::try_new(level)
        .map_err(|e| format!("--log {level}: {e}, expected a level such as info"))?;
    let lines = LogQueue::default();
    let logs =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(lines.clone()).with_target(false);
    let started = match format {
        "json" => logs.json().flatten_event(true).try_init(),
        _ => logs.with_ansi(false).try_init(),
    };
    started.map_err(|e| e.to_string())?;
    let writer = lines.clone();
    let thread = std::thread::Builder::new().name("logs".to_owned());
    thread
        .spawn(move || writer.write_to(io::stderr()))
        .map_err(|e| format!("can't start the log thread: {e}"))?;
    Ok(Logs(lines))
}

#[cfg(test)]
mod tests;
