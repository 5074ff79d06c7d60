//! The steward's own address: accepts peers, which are unidentified until they send their zone and collectors
//! from then on.

mod peer;

use std::collections::VecDeque;
use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use ravenspar_platform::{decode, Message};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{timeout_at, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Event;
use peer::{Peer, Received, GREETING_TIMEOUT};

/// Connections kept for one zone: its collector may reconnect before its last connection is known to be dead.
const MAX_PER_ZONE: usize = 4;

/// Descriptors that unidentified peers never use: for collectors, the relay, discovery, files and the
/// runtime.
const RESERVED_DESCRIPTORS: usize = 96;

/// Connections that may still owe answers after they were asked to close; beyond that the next ones wait in
/// the backlog. Guards the descriptors against peers that don't read their answers.
const MAX_CLOSING: usize = 32;

/// Pause after a connection that ended before it was accepted.
const CONNECTION_ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Pause after another error, such as being out of descriptors, for which unidentified peers are closed.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// The listening socket and what the tasks of its connections need.
pub struct Listener {
    pub listener: TcpListener,
    pub zones: Arc<[String]>,
    pub events: mpsc::Sender<Event>,
    /// The limit of descriptors of the process.
    pub sockets: usize,
    /// All connections' tasks.
    pub connections: Connections,
}

/// The tasks of all connections. Asked to close, they answer the requests that were read and end by
/// themselves.
#[derive(Clone, Default)]
pub struct Connections {
    tasks: TaskTracker,
    closing: CancellationToken,
}

impl Connections {
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        self.tasks.spawn(task).abort_handle()
    }

    /// Asks all connections to close: nothing more is read from them.
    pub fn request_close(&self) {
        self.closing.cancel();
        self.tasks.close();
    }

    /// Waits until all tasks have ended, at most until the given time.
    pub async fn wait_closed(&self, until: Instant) {
        let _ = timeout_at(until, self.tasks.wait()).await;
    }
}

/// A connection's task and the token that asks it to close.
struct Connection {
    task: AbortHandle,
    closing: CancellationToken,
}

/// Sent when an unidentified peer has become a collector.
struct Joined {
    task: tokio::task::Id,
    zone: usize,
    last_report: Arc<LastReport>,
}

/// State shared by the tasks of all connections.
#[derive(Clone)]
struct Shared {
    zones: Arc<[String]>,
    events: mpsc::Sender<Event>,
    joined: mpsc::Sender<Joined>,
    started: Instant,
}

/// Serves an unidentified peer until it joins as a collector or is rejected. The same task then serves the
/// collector: a peer handed over to another task could be lost with requests that were read if the process
/// ended meanwhile.
async fn serve_unidentified(mut peer: Peer, shared: Shared) {
    let deadline = Instant::now() + GREETING_TIMEOUT;
    loop {
        let frame = match timeout_at(deadline, peer.next()).await {
            Ok(Received::Frame(frame)) => frame,
            Ok(Received::Closed | Received::Broken) => return,
            Err(_) | Ok(Received::Unreadable) => return peer.reject().await,
        };
        match decode(&frame, false, &shared.zones) {
            Ok(Message::Ping) if !peer.queue_pong().await => return,
            // A peer that only pings until the deadline is rejected too.
            Ok(Message::Ping) if Instant::now() < deadline => {}
            Ok(Message::Source(zone)) => return serve_collector(peer, zone, &shared).await,
            _ => return peer.reject().await,
        }
    }
}

/// Serves the peer as the collector of this zone from here on.
async fn serve_collector(mut peer: Peer, zone: usize, shared: &Shared) {
    peer.promote_to_collector();
    if !peer.flush_answers().await {
        return;
    }
    let last_report = LastReport::new(shared.started);
    let joined = Joined { task: tokio::task::id(), zone, last_report: last_report.clone() };
    // The receiver is gone while the process ends; nothing counts collectors then.
    let _ = shared.joined.send(joined).await;
    pass_on_reports(peer, shared, &last_report).await;
}

/// Passes on a collector's reports until it sends something that can't be read.
async fn pass_on_reports(mut peer: Peer, shared: &Shared, last_report: &LastReport) {
    let closing = peer.closing().clone();
    loop {
        let frame = match peer.next().await {
            Received::Frame(frame) => frame,
            Received::Closed | Received::Broken => return,
            Received::Unreadable => break,
        };
        match decode(&frame, true, &shared.zones) {
            Ok(Message::Report(report)) => {
                last_report.update();
                // Answers aren't delayed until the session loop accepts a report.
                if !peer.flush_answers().await {
                    return;
                }
                // A report needs no answer, but requests that were read after it do.
                tokio::select! {
                    () = closing.cancelled() => {}
                    _ = shared.events.send(Event::Report(report)) => {}
                }
            }
            Ok(Message::Ping) if !peer.queue_pong().await => return,
            Ok(Message::Ping) => {}
            _ => break,
        }
    }
    peer.reject().await;
}

/// The time at which a collector last reported, or joined.
struct LastReport {
    started: Instant,
    micros: AtomicU64,
}

impl LastReport {
    fn new(started: Instant) -> Arc<LastReport> {
        let new = LastReport { started, micros: AtomicU64::new(0) };
        new.update();
        Arc::new(new)
    }

    fn update(&self) {
        self.micros.store(self.started.elapsed().as_micros() as u64, Ordering::Relaxed);
    }
}

/// Asks the collectors of a zone that have been idle the longest to close, beyond [`MAX_PER_ZONE`]. By
/// connection age alone, peers that claim a zone and report nothing would push out the collector that
/// reports.
fn limit_collectors(collectors: &mut Vec<(Connection, Arc<LastReport>)>) {
    collectors.retain(|(connection, _)| !connection.task.is_finished());
    while collectors.len() > MAX_PER_ZONE {
        let last_report_at = |index: &usize| collectors[*index].1.micros.load(Ordering::Relaxed);
        let Some(most_idle) = (0..collectors.len()).min_by_key(last_report_at) else { return };
        collectors.remove(most_idle).0.closing.cancel();
    }
}

/// Asks the oldest unidentified connections to close until at most `max` are left.
fn limit_unidentified(unidentified: &mut VecDeque<Connection>, max: usize) {
    unidentified.retain(|connection| !connection.task.is_finished());
    while unidentified.len() > max {
        unidentified.pop_front().into_iter().for_each(|oldest| oldest.closing.cancel());
    }
}

/// Accepts the next connection once a permit is available.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> std::io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.map_err(std::io::Error::other)?;
    let (socket, _) = listener.accept().await?;
    Ok((socket, permit))
}

/// Returns true for errors of the accepted connection itself, which Linux reports in `accept`, and for
/// spurious ones: the next connection may be accepted at once, and none has to be closed.
fn is_connection_error(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{
        ConnectionAborted, ConnectionReset, HostUnreachable, Interrupted, NetworkDown, NetworkUnreachable,
        TimedOut,
    };
    matches!(
        error.kind(),
        ConnectionAborted
            | ConnectionReset
            | HostUnreachable
            | Interrupted
            | NetworkDown
            | NetworkUnreachable
            | TimedOut
    )
}

/// Accepts connections and bounds their number. Never returns.
pub async fn accept_peers(setup: Listener) {
    let Listener { listener, zones, events, sockets, connections } = setup;
    let for_collectors = MAX_PER_ZONE * zones.len();
    let max = sockets.saturating_sub(RESERVED_DESCRIPTORS + for_collectors).max(16);
    let permits = Arc::new(Semaphore::new(max + for_collectors + MAX_CLOSING));
    let mut unidentified = VecDeque::new();
    let mut collectors: Vec<Vec<_>> = zones.iter().map(|_| Vec::new()).collect();
    let (joined, mut joining) = mpsc::channel(16);
    let shared = Shared { zones, events, joined, started: Instant::now() };
    loop {
        tokio::select! {
            biased;
            Some(joined) = joining.recv() => move_to_collectors(joined, &mut unidentified, &mut collectors),
            accepted = accept(&listener, &permits) => match accepted {
                Ok((socket, permit)) => {
                    unidentified.push_back(start_serving(socket, permit, &connections, &shared));
                    limit_unidentified(&mut unidentified, max);
                }
                Err(error) if is_connection_error(&error) => {
                    tracing::debug!(%error, "a connection was closed before it was accepted");
                    tokio::time::sleep(CONNECTION_ERROR_PAUSE).await;
                }
                Err(error) => {
                    tracing::warn!(%error, "no connection can be taken");
                    limit_unidentified(&mut unidentified, max / 2);
                    tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
                }
            },
        }
    }
}

/// Serves a new connection in a task of its own, which holds the permit until it ends.
fn start_serving(
    socket: TcpStream,
    permit: OwnedSemaphorePermit,
    connections: &Connections,
    shared: &Shared,
) -> Connection {
    let closing = connections.closing.child_token();
    let serving = serve_unidentified(Peer::new(socket, closing.clone()), shared.clone());
    let task = connections.spawn(async move {
        serving.await;
        drop(permit);
    });
    Connection { task, closing }
}

/// Counts a peer as a collector of its zone, unless it was asked to close meanwhile.
fn move_to_collectors(
    joined: Joined,
    unidentified: &mut VecDeque<Connection>,
    collectors: &mut [Vec<(Connection, Arc<LastReport>)>],
) {
    let Joined { task, zone, last_report } = joined;
    let index = unidentified.iter().position(|peer| peer.task.id() == task);
    if let Some(collector) = index.and_then(|index| unidentified.remove(index)) {
        collectors[zone].push((collector, last_report));
        limit_collectors(&mut collectors[zone]);
    }
}

#[cfg(test)]
mod tests;
