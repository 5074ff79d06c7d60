//! The steward's own address: unidentified peers until they have said who they are, collectors from then on.

mod peer;

use std::collections::VecDeque;
use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use ravenspar_platform::{decode, Message};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::Event;
use peer::{Next, Peer};

/// A peer that has not joined by then is closed, as the platform allows.
const GREETING: Duration = Duration::from_millis(1_000);

/// How long an answer to an unidentified peer may take, whether it is the system that refuses the write or the peer that takes nothing in.
/// With the greeting's second and the last word it is closed within the 3 s that the platform allows.
const GREETING_ANSWER: Duration = Duration::from_millis(1_500);

/// The same for a collector, which nobody has to be rid of.
const COLLECTORS_ANSWER: Duration = Duration::from_secs(5);

/// Connections kept for one zone: its collector may come again before the connection before is known to be dead.
const FOR_ZONE: usize = 4;

/// Descriptors that unidentified peers never take: for collectors, relay, discovery, files and what the runtime needs.
const KEPT_FREE: usize = 96;

/// Connections that are to end and have not yet: past that the first of them is cut off, whatever it is owed. Guards the
/// descriptors against connections that take in no answer.
const ENDING: usize = 32;

/// What the steward listens with.
pub struct Listener {
    pub listener: TcpListener,
    pub zones: Arc<[String]>,
    pub events: mpsc::Sender<Event>,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// All connections' tasks.
    pub connections: Connections,
}

/// The tasks of all connections, which end by themselves once they are asked to: what was read of a connection is answered.
#[derive(Clone, Default)]
pub struct Connections {
    tasks: TaskTracker,
    ending: CancellationToken,
}

impl Connections {
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        self.tasks.spawn(task).abort_handle()
    }

    /// Ends all connections, within this time.
    pub async fn end(&self, within: Duration) {
        self.ending.cancel();
        self.tasks.close();
        let _ = timeout(within, self.tasks.wait()).await;
    }
}

/// A connection's task, and how it is asked to end.
struct Connection {
    task: AbortHandle,
    ending: CancellationToken,
}

/// Connections that were asked to end.
#[derive(Default)]
struct Endings(VecDeque<AbortHandle>);

impl Endings {
    fn end(&mut self, connection: Connection) {
        connection.ending.cancel();
        self.0.retain(|task| !task.is_finished());
        self.0.push_back(connection.task);
        if self.0.len() > ENDING {
            self.0.pop_front().inspect(AbortHandle::abort);
        }
    }
}

/// An unidentified peer that has become a collector.
struct Joined {
    task: tokio::task::Id,
    zone: usize,
    heard: Arc<Heartbeat>,
}

/// What the tasks of connections have in common.
#[derive(Clone)]
struct Core {
    zones: Arc<[String]>,
    events: mpsc::Sender<Event>,
    joined: mpsc::Sender<Joined>,
    began: Instant,
}

/// Serves an unidentified peer until it joins or is turned away. The same task serves the collector from then on: guards against a
/// peer that is on its way to another task, with requests that were read, as the process ends.
async fn greet(mut peer: Peer, core: Core) {
    let by = Instant::now() + GREETING;
    loop {
        let frame = match timeout_at(by, peer.next()).await {
            Ok(Next::Frame(frame)) => frame,
            Ok(Next::Ended) => return,
            Err(_) | Ok(Next::Unreadable) => return peer.turn_away().await,
        };
        match decode(&frame, false, &core.zones) {
            // What came in time is answered; one that pings without end is no collector all the same.
            Ok(Message::Ping) if peer.pong(GREETING_ANSWER).await && Instant::now() < by => {}
            Ok(Message::Source(zone)) => {
                peer.is_collector();
                let heard = Heartbeat::new(core.began);
                let joined = Joined { task: tokio::task::id(), zone, heard: heard.clone() };
                // At the end of the process nobody counts collectors any more.
                let _ = core.joined.send(joined).await;
                return collect(peer, &core, &heard).await;
            }
            _ => return peer.turn_away().await,
        }
    }
}

/// Passes on what a collector reports, until what it says can't be read any more.
async fn collect(mut peer: Peer, core: &Core, heard: &Heartbeat) {
    let ending = peer.ending().clone();
    loop {
        let frame = match peer.next().await {
            Next::Frame(frame) => frame,
            Next::Ended if ending.is_cancelled() => return,
            Next::Ended | Next::Unreadable => break,
        };
        match decode(&frame, true, &core.zones) {
            Ok(Message::Report(report)) => {
                heard.beat();
                // A report is owed no answer; signs of life that were read behind it are.
                tokio::select! {
                    () = ending.cancelled() => {}
                    _ = core.events.send(Event::Report(report)) => {}
                }
            }
            Ok(Message::Ping) if peer.pong(COLLECTORS_ANSWER).await => {}
            _ => break,
        }
    }
    peer.turn_away().await;
}

/// When a collector last reported, or joined.
struct Heartbeat {
    began: Instant,
    us: AtomicU64,
}

impl Heartbeat {
    fn new(began: Instant) -> Arc<Heartbeat> {
        let new = Heartbeat { began, us: AtomicU64::new(0) };
        new.beat();
        Arc::new(new)
    }

    fn beat(&self) {
        self.us.store(self.began.elapsed().as_micros() as u64, Ordering::Relaxed);
    }
}

/// Ends those that have been quiet the longest, past [`FOR_ZONE`]: by age alone, peers that claim to be a zone's
/// collector and say nothing would throw out the one that reports.
fn bound_zone(collectors: &mut Vec<(Connection, Arc<Heartbeat>)>, endings: &mut Endings) {
    collectors.retain(|(connection, _)| !connection.task.is_finished());
    while collectors.len() > FOR_ZONE {
        let quiet = |n: &usize| collectors[*n].1.us.load(Ordering::Relaxed);
        let Some(quietest) = (0..collectors.len()).min_by_key(quiet) else { return };
        endings.end(collectors.remove(quietest).0);
    }
}

/// Ends the oldest that are still there, past so many.
fn bound(unidentified: &mut VecDeque<Connection>, most: usize, endings: &mut Endings) {
    unidentified.retain(|connection| !connection.task.is_finished());
    while unidentified.len() > most {
        unidentified.pop_front().into_iter().for_each(|oldest| endings.end(oldest));
    }
}

/// An error that the connection itself brings, as Linux passes those on, or that says nothing at all: the next one may be
/// taken at once, and nobody has to go.
fn is_of_the_connection(error: &std::io::Error) -> bool {
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

/// Never returns while the core lives.
pub async fn open(with: Listener) {
    let Listener { listener, zones, events, sockets, connections } = with;
    let most = sockets.saturating_sub(KEPT_FREE + FOR_ZONE * zones.len()).max(16);
    let mut unidentified = VecDeque::new();
    let mut endings = Endings::default();
    let mut collectors: Vec<Vec<_>> = zones.iter().map(|_| Vec::new()).collect();
    let (joined, mut joining) = mpsc::channel(16);
    let core = Core { zones, events, joined, began: Instant::now() };
    loop {
        tokio::select! {
            biased;
            Some(Joined { task, zone, heard }) = joining.recv() => {
                let place = unidentified.iter().position(|peer: &Connection| peer.task.id() == task);
                // One that was asked to end meanwhile is none.
                if let Some(collector) = place.and_then(|place| unidentified.remove(place)) {
                    collectors[zone].push((collector, heard));
                    bound_zone(&mut collectors[zone], &mut endings);
                }
            }
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    let ending = connections.ending.child_token();
                    let peer = Peer::new(socket, ending.clone());
                    let task = connections.spawn(greet(peer, core.clone()));
                    unidentified.push_back(Connection { task, ending });
                    bound(&mut unidentified, most, &mut endings);
                }
                Err(error) if is_of_the_connection(&error) => {
                    tracing::debug!(%error, "a connection is gone before it is taken");
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                Err(error) => {
                    // Out of descriptors, for one: unidentified peers go, and the next ones wait a moment.
                    tracing::warn!(%error, "no connection can be taken");
                    bound(&mut unidentified, most / 2, &mut endings);
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            },
        }
    }
}
