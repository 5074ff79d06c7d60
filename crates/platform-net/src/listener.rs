//! The steward's own address: strangers until they have said who they are, collectors from then on.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use ravenspar_platform::{codec, hear, Heard, MOST_FRAME, MOST_GREETING, NACK, PONG};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::patient::Patient;
use crate::Event;

/// A party that has not joined by then is closed, as the platform allows.
const GREETING: Duration = Duration::from_millis(1_000);

/// Connections kept for one zone: its collector may come again before the connection before is known to be dead.
const FOR_ZONE: usize = 4;

/// Descriptors that strangers never take: for collectors, relay, discovery, files and what the runtime needs.
const KEPT_FREE: usize = 96;

/// How long the last word to a party may take, and a sign of life.
const LAST_WORD: Duration = Duration::from_millis(200);

type Party = Framed<Patient<TcpStream>, LengthDelimitedCodec>;

/// What the steward listens with.
pub struct Listener {
    pub listener: TcpListener,
    pub zones: Arc<[String]>,
    pub events: mpsc::Sender<Event>,
    /// Descriptors that the process may hold.
    pub sockets: usize,
}

/// Answers a sign of life. Returns whether it went out.
async fn pong(party: &mut Party) -> bool {
    matches!(timeout(LAST_WORD, party.send(Bytes::from_static(PONG))).await, Ok(Ok(())))
}

async fn turn_away(mut party: Party) {
    // Whether it arrives or not, the close does.
    let word = async {
        party.send(Bytes::from_static(NACK)).await?;
        let socket = party.get_mut();
        socket.shutdown().await?;
        // A close with something left unread is a reset, which may take the last word with it.
        let mut rest = [0; 4096];
        while socket.read(&mut rest).await? > 0 {}
        std::io::Result::Ok(())
    };
    let _ = timeout(LAST_WORD, word).await;
}

/// Hears a stranger until it joins or is turned away.
async fn greet(socket: TcpStream, zones: Arc<[String]>, joined: mpsc::Sender<(usize, Party)>) {
    let _ = socket.set_nodelay(true);
    let by = Instant::now() + GREETING;
    let mut party = Framed::new(Patient::new(socket), codec(MOST_GREETING));
    loop {
        let frame = match timeout_at(by, party.next()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return,
            Err(_) | Ok(Some(Err(_))) => return turn_away(party).await,
        };
        match hear(&frame, false, &zones) {
            // What came in time is answered; one that pings without end is no collector all the same.
            Ok(Heard::Ping) if pong(&mut party).await && Instant::now() < by => {}
            Ok(Heard::Source(zone)) => {
                party.codec_mut().set_max_frame_length(MOST_FRAME);
                let _ = joined.send((zone, party)).await;
                return;
            }
            _ => return turn_away(party).await,
        }
    }
}

/// Passes on what a collector reports, until what it says can't be read any more.
async fn collect(mut party: Party, zones: Arc<[String]>, events: mpsc::Sender<Event>, heard: Arc<Heartbeat>) {
    while let Some(Ok(frame)) = party.next().await {
        match hear(&frame, true, &zones) {
            Ok(Heard::Report(report)) => {
                heard.beat();
                if events.send(Event::Report(report)).await.is_err() {
                    return;
                }
            }
            Ok(Heard::Ping) if pong(&mut party).await => {}
            _ => break,
        }
    }
    turn_away(party).await;
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

/// Aborts those that have been quiet the longest, past [`FOR_ZONE`]: by age alone, parties that claim to be a zone's
/// collector and say nothing would throw out the one that reports.
fn bound_zone(collectors: &mut Vec<(AbortHandle, Arc<Heartbeat>)>) {
    collectors.retain(|(task, _)| !task.is_finished());
    while collectors.len() > FOR_ZONE {
        let quiet = |n: &usize| collectors[*n].1.us.load(Ordering::Relaxed);
        let Some(quietest) = (0..collectors.len()).min_by_key(quiet) else { return };
        collectors.remove(quietest).0.abort();
    }
}

/// Aborts the oldest that are still there, past so many.
fn bound(tasks: &mut VecDeque<AbortHandle>, most: usize) {
    tasks.retain(|task| !task.is_finished());
    while tasks.len() > most {
        tasks.pop_front().inspect(AbortHandle::abort);
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
    let Listener { listener, zones, events, sockets } = with;
    let most = sockets.saturating_sub(KEPT_FREE + FOR_ZONE * zones.len()).max(16);
    let mut strangers = VecDeque::new();
    let mut collectors: Vec<Vec<_>> = zones.iter().map(|_| Vec::new()).collect();
    let began = Instant::now();
    let (joined, mut joining) = mpsc::channel::<(usize, Party)>(16);
    loop {
        tokio::select! {
            biased;
            Some((zone, party)) = joining.recv() => {
                let heard = Heartbeat::new(began);
                let collector = tokio::spawn(collect(party, zones.clone(), events.clone(), heard.clone()));
                collectors[zone].push((collector.abort_handle(), heard));
                bound_zone(&mut collectors[zone]);
            }
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    let stranger = tokio::spawn(greet(socket, zones.clone(), joined.clone()));
                    strangers.push_back(stranger.abort_handle());
                    bound(&mut strangers, most);
                }
                Err(error) if is_of_the_connection(&error) => {
                    tracing::debug!(%error, "a connection is gone before it is taken");
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                Err(error) => {
                    // Out of descriptors, for one: the strangers go, and the next ones wait a moment.
                    tracing::warn!(%error, "no connection can be taken");
                    bound(&mut strangers, most / 2);
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            },
        }
    }
}
