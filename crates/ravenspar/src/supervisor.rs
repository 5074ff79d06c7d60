//! Tasks whose panics are reported to the component that depends on them.

use std::future::Future;

use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Spawns a task and sends `on_panic(message)` to `failures` if it panics; a task that returns or is aborted is not
/// reported. Guards against a core that waits forever for a result of a task that has panicked.
pub fn spawn_supervised<T: Send + 'static>(
    name: &'static str,
    task: impl Future<Output = ()> + Send + 'static,
    failures: mpsc::Sender<T>,
    on_panic: fn(String) -> T,
) -> AbortHandle {
    let task = tokio::spawn(task);
    let abort = task.abort_handle();
    tokio::spawn(async move {
        if let Err(error) = task.await {
            if error.is_panic() {
                let _ = failures.send(on_panic(format!("{name} has failed: {error}"))).await;
            }
        }
    });
    abort
}

#[cfg(test)]
mod tests;
