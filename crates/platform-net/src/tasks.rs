//! The tasks that own the sockets. None of them ends while the session loop runs.

use std::future::Future;

use tokio::task::JoinSet;

/// The running socket tasks. The process ends when one of them does: if one failed and the rest went on, the
/// steward would still answer PING but receive nothing.
#[derive(Default)]
pub struct Tasks(JoinSet<&'static str>);

impl Tasks {
    /// Starts a task under a name for error messages.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        self.0.spawn(async move {
            task.await;
            name
        });
    }

    /// Waits until a task has ended, and returns the reason. Never returns if there are no tasks.
    pub async fn next_exit(&mut self) -> String {
        match self.0.join_next().await {
            Some(Ok(name)) => format!("the task of the {name} has ended"),
            Some(Err(fault)) => format!("a task has failed: {fault}"),
            None => std::future::pending().await,
        }
    }
}

#[cfg(test)]
mod tests;
