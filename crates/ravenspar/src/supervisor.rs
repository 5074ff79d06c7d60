//! Tasks whose failure is reported to whoever depends on them.

use std::future::Future;

use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Starts a task. Should it end by a fault, `over` makes of that what is reported; a task that ends, or is ended, is not.
/// Guards against a core that waits without end for what its task never brings.
pub fn watched<T: Send + 'static>(
    what: &'static str,
    task: impl Future<Output = ()> + Send + 'static,
    failures: mpsc::Sender<T>,
    over: fn(String) -> T,
) -> AbortHandle {
    let task = tokio::spawn(task);
    let abort = task.abort_handle();
    tokio::spawn(async move {
        if let Err(fault) = task.await {
            if fault.is_panic() {
                let _ = failures.send(over(format!("{what} has failed: {fault}"))).await;
            }
        }
    });
    abort
}

#[cfg(test)]
mod tests;
