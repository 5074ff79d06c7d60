//! The tasks that own the sockets. None of them ends while the core lives.

use std::future::Future;

use tokio::task::JoinSet;

/// Guards against a steward that goes on deaf: were one of them to end by a fault, the rest would still answer PING.
#[derive(Default)]
pub struct Tasks(JoinSet<&'static str>);

impl Tasks {
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        self.0.spawn(async move {
            task.await;
            name
        });
    }

    /// Waits until one has ended, and says why. Never returns where there are none.
    pub async fn ended(&mut self) -> String {
        match self.0.join_next().await {
            Some(Ok(name)) => format!("the task of the {name} has ended"),
            Some(Err(fault)) => format!("a task has failed: {fault}"),
            None => std::future::pending().await,
        }
    }
}

#[cfg(test)]
mod tests;
