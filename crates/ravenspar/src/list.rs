//! The server list: its sources, and the parser of a list file.

use std::path::{Path, PathBuf};

use ravenspar_record::ServerRow;
use ravenspar_steward::{from_seconds, Health, Time};
use tokio::sync::mpsc;

use crate::process::CommandError;
use crate::yaml::{self, Node, ParseErrors, SpannedNode};

/// A notification of a list source.
#[derive(Debug)]
pub enum Notification {
    /// The complete list.
    Complete(Vec<ServerRow>),
    /// The state of following a list with revisions, to be recorded durably; the list it belongs to comes next.
    FollowState(ravenspar_list::FollowState),
    /// The list could not be read; the last good list stays in use.
    Failed(String),
}

/// Waits for the next notification. Fails if the source has ended, which none does while the receiver is open: a steward
/// that continued would never see a drain again.
pub async fn next(notifications: &mut mpsc::Receiver<Notification>) -> Result<Notification, CommandError> {
    notifications
        .recv()
        .await
        .ok_or_else(|| CommandError::Failed("the source of the server list has ended".to_owned()))
}

/// A source of the server list. It sends the list once at the start, then at every change, until the receiver is closed.
pub trait Source {
    /// Starts to follow the list; the capacity of the channel bounds how many notifications may be queued.
    fn follow(&self, notifications: mpsc::Sender<Notification>);
}

/// A list in a YAML file, which is read again when it changes.
pub struct ListFile {
    pub path: PathBuf,
    /// Triggers a read before the next scheduled one.
    pub refresh: std::sync::Arc<tokio::sync::Notify>,
}

impl Source for ListFile {
    fn follow(&self, notifications: mpsc::Sender<Notification>) {
        use notify::Watcher;
        let path = self.path.clone();
        let refresh = self.refresh.clone();
        let watcher_refresh = refresh.clone();
        // The folder is watched, because a file that is replaced is a new inode.
        let watcher = notify::recommended_watcher(move |event: notify::Result<notify::Event>| {
            if event.is_ok_and(|event| !event.kind.is_access()) {
                watcher_refresh.notify_one();
            }
        });
        tokio::spawn(async move {
            let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
            let watching = watcher.and_then(|mut watcher| {
                watcher.watch(folder, notify::RecursiveMode::NonRecursive)?;
                Ok(watcher)
            });
            if let Err(error) = &watching {
                tracing::warn!(path = %path.display(), %error, "the list can't be watched, it is read every second instead");
            }
            let mut last = None;
            loop {
                let read = read(&path);
                if let Some(notification) = match read {
                    Ok(list) if last.as_ref() == Some(&list) => None,
                    Ok(list) => {
                        last = Some(list.clone());
                        Some(Notification::Complete(list))
                    }
                    // The last good list stays in use; the next one is sent even if it is equal, to end the failure.
                    Err(errors) => {
                        last = None;
                        Some(Notification::Failed(errors.to_string()))
                    }
                } {
                    if notifications.send(notification).await.is_err() {
                        return;
                    }
                }
                // Read each second in any case: a watch may lose events, and a drain must not be missed.
                let second = std::time::Duration::from_secs(1);
                let _ = tokio::time::timeout(second, refresh.notified()).await;
            }
        });
    }
}

/// The code that a record has for a health; see [`health`].
pub fn health_code(health: Health) -> u8 {
    match health {
        Health::Ready => 0,
        Health::Draining => 1,
        Health::Gone => 2,
    }
}

/// The health that a record's code stands for.
pub fn health(code: u8) -> Health {
    match code {
        0 => Health::Ready,
        1 => Health::Draining,
        _ => Health::Gone,
    }
}

/// Reads a list file: `servers` is a list of maps with `id`, `zone`, `address`, `state` (`ready`, `draining` or
/// `gone`; `ready` if missing) and `boot` (seconds on the steward's wall clock; 0 or missing means long ago).
pub fn read(path: &Path) -> Result<Vec<ServerRow>, ParseErrors> {
    let tree = yaml::read(path)?;
    let mut errors = Vec::new();
    let rows = rows(&tree, &mut errors);
    match errors.is_empty() {
        true => Ok(rows),
        false => Err(ParseErrors { path: path.to_owned(), errors }),
    }
}

fn rows(tree: &SpannedNode, errors: &mut Vec<(u64, u64, String)>) -> Vec<ServerRow> {
    let mut rows: Vec<ServerRow> = Vec::new();
    let mut error = |at: &SpannedNode, what: String| errors.push((at.line, at.column, what));
    let list = match &tree.node {
        Node::Map(entries) => match entries.as_slice() {
            [(key, list)] if matches!(&key.node, Node::Text(name) if name == "servers") => list,
            _ => {
                error(tree, "expected one setting, servers, a list of servers".to_owned());
                return rows;
            }
        },
        _ => {
            error(tree, "expected servers, a list of servers".to_owned());
            return rows;
        }
    };
    let list = match &list.node {
        Node::List(list) => list.as_slice(),
        Node::Empty => &[],
        _ => {
            error(list, "servers: expected a list of servers".to_owned());
            return rows;
        }
    };
    for server in list {
        let Node::Map(entries) = &server.node else {
            error(server, "expected a server, a map with id, zone and address".to_owned());
            continue;
        };
        let mut row =
            ServerRow { id: String::new(), health: 0, boot: 0, zone: String::new(), address: String::new() };
        for (key, value) in entries {
            let (Node::Text(name), Node::Text(text)) = (&key.node, &value.node) else {
                error(value, "expected a value".to_owned());
                continue;
            };
            match name.as_str() {
                "id" => row.id = text.clone(),
                "zone" => row.zone = text.clone(),
                "address" if text.parse::<std::net::SocketAddr>().is_ok() => row.address = text.clone(),
                "address" => error(value, format!("address: {text}: expected an address and a port")),
                "state" => match text.as_str() {
                    "ready" => row.health = 0,
                    "draining" => row.health = 1,
                    "gone" => row.health = 2,
                    _ => error(value, format!("state: {text}: expected ready, draining or gone")),
                },
                "boot" => match text.parse::<f64>().ok().filter(|boot| boot.abs() < 1e12) {
                    Some(boot) => row.boot = boot_time(boot),
                    None => error(value, format!("boot: {text}: expected seconds")),
                },
                _ => error(key, format!("{name}: unknown, expected id, zone, address, state or boot")),
            }
        }
        if row.id.is_empty() || row.address.is_empty() {
            error(server, "expected a server with an id and an address".to_owned());
        } else if rows.iter().any(|other| other.id == row.id) {
            error(server, format!("{}: duplicate server id", row.id));
        }
        rows.push(row);
    }
    rows
}

fn boot_time(seconds: f64) -> Time {
    from_seconds(seconds)
}

#[cfg(test)]
mod tests;
