//! The view of the fleet over UDP: a task that owns the view and its socket, and publishes snapshots of it.

use std::net::SocketAddr;
use std::path::Path;

use ravenspar_net::Clock;
use ravenspar_notes::{kind, DatagramOpener, DatagramSealer, MAX_DATAGRAM_LENGTH};
use ravenspar_steward::{Time, SECOND};
use ravenspar_view::{ForwarderSummary, Kind, Metrics, View};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::settings;

/// Senders whose counts are remembered: enough for the comings and goings of an hour in a fleet of some hundred.
const MAX_SENDERS: usize = 4_096;

/// Interval of the log lines with the view's metrics.
const STATUS_INTERVAL: Time = 10 * SECOND;

/// Capacity of the command queue: commands are few, and the sender of an important one waits.
const COMMAND_QUEUE_CAPACITY: usize = 16;

/// How many stewards a hint is sent to; larger fleets are not expected.
const MAX_HINT_RECIPIENTS: usize = 64;

/// Capacity of the queue of received hints: a hint only says that a poll is worthwhile, so that one of each kind would do.
const HINT_QUEUE_CAPACITY: usize = 16;

/// Reads the fleet's key. A key file that users other than its owner can access is refused.
pub fn read_key(path: &Path) -> Result<Vec<u8>, String> {
    use std::os::unix::fs::PermissionsExt as _;
    /// The length of the hash, as RFC 2104 advises.
    const MIN_KEY_BYTES: usize = 32;
    let shown = path.display();
    let meta = std::fs::metadata(path).map_err(|e| format!("{shown}: {e}"))?;
    if meta.permissions().mode() & 0o077 != 0 {
        return Err(format!("{shown}: other users can access it, expected mode 0600"));
    }
    let key = std::fs::read(path).map_err(|e| format!("{shown}: {e}"))?;
    match key.len() >= MIN_KEY_BYTES {
        true => Ok(key),
        false => Err(format!("{shown}: {} bytes, expected {MIN_KEY_BYTES} or more", key.len())),
    }
}

/// A snapshot of the view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewSnapshot {
    pub number: u32,
    pub digest: u64,
    pub settled: bool,
    pub cut_off: bool,
    /// Names and incarnations, ordered by name.
    pub members: Vec<(String, u64)>,
    /// How many forwarders each of the other stewards reaches, in no particular order.
    pub reaches: Vec<u32>,
}

/// A command to the view's task.
enum Command {
    ForwarderSummary(ForwarderSummary),
    Hint(u8, u64),
    Leave(oneshot::Sender<()>),
}

/// An event of the view for the core.
pub enum FleetEvent {
    /// The snapshot has changed.
    ViewChanged,
    /// A hint from another steward: its kind and number.
    Hint(u8, u64),
    /// The task has failed: the last snapshot will never change.
    Ended,
}

/// The handle to the view's task.
pub struct Fleet {
    commands: mpsc::Sender<Command>,
    pub view: watch::Receiver<ViewSnapshot>,
    hints: mpsc::Receiver<(u8, u64)>,
}

impl Fleet {
    /// Publishes which forwarders this steward reaches. Dropped while the command queue is full, as a later call repeats it.
    pub fn set_forwarders(&self, reach: ForwarderSummary) {
        let _ = self.commands.try_send(Command::ForwarderSummary(reach));
    }

    /// Sends a hint to all other stewards in the view. Dropped while the command queue is full, as a hint may be lost anyway.
    pub fn hint(&self, kind: u8, number: u64) {
        let _ = self.commands.try_send(Command::Hint(kind, number));
    }

    /// Waits for the next event. While this handle exists, the task ends only by a failure.
    pub async fn next_event(&mut self) -> FleetEvent {
        tokio::select! {
            Ok(()) = self.view.changed() => FleetEvent::ViewChanged,
            Some((kind, number)) = self.hints.recv() => FleetEvent::Hint(kind, number),
            else => FleetEvent::Ended,
        }
    }

    /// Announces to the other stewards that this one leaves. Returns once the datagrams are sent.
    pub async fn leave(&self) {
        let (done, left) = oneshot::channel();
        if self.commands.send(Command::Leave(done)).await.is_ok() {
            let _ = left.await;
        }
    }
}

/// The task that owns the view and its socket.
struct Task {
    clock: Clock,
    socket: UdpSocket,
    view: View,
    opener: DatagramOpener,
    sealer: DatagramSealer,
    commands: mpsc::Receiver<Command>,
    snapshots: watch::Sender<ViewSnapshot>,
    hints: mpsc::Sender<(u8, u64)>,
    /// Hints sent, received, and dropped because the core's queue was full.
    hint_counts: [u64; 3],
    /// Stewards that were not sent a hint because of [`MAX_HINT_RECIPIENTS`].
    unhinted: u64,
    /// Datagrams that the socket did not accept.
    unsent: u64,
    next_status_at: Time,
    last_reported: Metrics,
}

/// Opens the socket and starts the task.
pub async fn open(cfg: &settings::Fleet, clock: Clock, seed: u64) -> Result<Fleet, String> {
    let key = read_key(&cfg.key)?;
    let socket = UdpSocket::bind(cfg.listen).await.map_err(|e| format!("{}: {e}", cfg.listen))?;
    let own = socket.local_addr().map_err(|e| e.to_string())?;
    let address = cfg.address.unwrap_or(own);
    let mut settings = ravenspar_view::Settings::new(&cfg.name, address, &cfg.peers);
    (settings.round, settings.forget, settings.toggles) = (cfg.round, cfg.forget, cfg.toggles);
    let now = clock.now();
    // Whole milliseconds of the wall clock. If it ran ahead in an earlier incarnation, the
    // other members' reports raise the number.
    let incarnation = (now / 10).max(1) as u64;
    let view = View::new(now, incarnation, seed, settings);
    let (to_task, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let (snapshots, view_snapshot) = watch::channel(ViewSnapshot::default());
    let (to_core, hints) = mpsc::channel(HINT_QUEUE_CAPACITY);
    // A new sender id at each start, so that its counts need not be stored.
    let sender = seed ^ (now as u64).rotate_left(32) ^ u64::from(std::process::id());
    let mut task = Task {
        clock,
        socket,
        view,
        opener: DatagramOpener::new(&key, MAX_SENDERS),
        sealer: DatagramSealer::new(&key, sender),
        commands,
        snapshots,
        hints: to_core,
        hint_counts: [0; 3],
        unhinted: 0,
        unsent: 0,
        next_status_at: now + STATUS_INTERVAL,
        last_reported: Metrics::default(),
    };
    tracing::info!(listen = %own, %address, name = %cfg.name, life = incarnation, "in the fleet");
    task.publish_view();
    tokio::spawn(async move { task.run().await });
    Ok(Fleet { commands: to_task, view: view_snapshot, hints })
}

impl Task {
    async fn run(&mut self) {
        /// Datagrams read before anything is sent, so that a flood does not delay a round.
        const MAX_DATAGRAMS_PER_WAKEUP: usize = 64;
        let mut buffer = [0; MAX_DATAGRAM_LENGTH + 1];
        loop {
            let now = self.clock.now();
            self.view.handle_timeout(now);
            self.send();
            self.publish_view();
            let wakeup =
                Instant::from_std(self.clock.instant(self.view.next_timeout().min(self.next_status_at)));
            tokio::select! {
                readable = self.socket.readable() => {
                    if readable.is_err() {
                        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                    }
                    // The view learns of a pause of this process before it handles the datagrams that queued up meanwhile.
                    let now = self.clock.now();
                    self.view.handle_timeout(now);
                    for _ in 0..MAX_DATAGRAMS_PER_WAKEUP {
                        let Ok((length, from)) = self.socket.try_recv_from(&mut buffer) else { break };
                        self.handle_datagram(now, from, &buffer[..length]);
                    }
                }
                command = self.commands.recv() => match command {
                    None => return,
                    Some(Command::ForwarderSummary(reach)) => self.view.set_forwarders(reach),
                    Some(Command::Hint(kind, number)) => self.send_hint(kind, number),
                    Some(Command::Leave(done)) => {
                        self.view.leave(self.clock.now());
                        self.send();
                        let _ = done.send(());
                        return;
                    }
                },
                () = tokio::time::sleep_until(wakeup) => {}
            }
            if self.clock.now() >= self.next_status_at {
                self.log_status();
            }
        }
    }

    fn handle_datagram(&mut self, now: Time, from: SocketAddr, datagram: &[u8]) {
        match self.opener.open(datagram) {
            Ok(opened) => match (Kind::read(opened.kind), opened.kind, opened.hint_number()) {
                (Some(kind), ..) => self.view.handle(now, from, kind, opened.body),
                (None, kind @ (kind::STORE_CHANGED | kind::SERVER_LIST_CHANGED), Some(number)) => {
                    let queued = self.hints.try_send((kind, number)).is_ok();
                    self.hint_counts[if queued { 1 } else { 2 }] += 1;
                }
                _ => tracing::trace!(%from, kind = opened.kind, "datagram of an unknown kind"),
            },
            Err(why) => tracing::debug!(%from, ?why, "datagram refused"),
        }
    }

    /// Sends a hint once to each other steward in the view.
    fn send_hint(&mut self, kind: u8, number: u64) {
        let datagram = self.sealer.seal_hint(kind, number);
        self.unhinted += self.view.addresses().count().saturating_sub(MAX_HINT_RECIPIENTS) as u64;
        for to in self.view.addresses().take(MAX_HINT_RECIPIENTS) {
            self.hint_counts[0] += 1;
            self.unsent += u64::from(self.socket.try_send_to(&datagram, to).is_err());
        }
    }

    fn send(&mut self) {
        while let Some(send) = self.view.poll() {
            let datagram = self.sealer.seal(send.kind as u8, &send.body);
            // A datagram that the socket does not accept at once is lost, as any datagram may be.
            self.unsent += u64::from(self.socket.try_send_to(&datagram, send.to).is_err());
        }
    }

    /// Publishes a snapshot of the view if it has changed.
    fn publish_view(&mut self) {
        let now = self.clock.now();
        let (number, digest) = self.view.current_view();
        let mut members: Vec<(String, u64)> =
            self.view.names().map(|(name, life)| (name.to_owned(), life)).collect();
        members.sort();
        let new = ViewSnapshot {
            number,
            digest,
            settled: self.view.is_settled(now),
            cut_off: self.view.is_cut_off(now),
            members,
            reaches: self.view.forwarder_summaries().map(|reach| reach.joined).collect(),
        };
        self.snapshots.send_if_modified(|old| {
            if *old == new {
                return false;
            }
            if (old.number, old.digest) != (number, digest) {
                let names_only_in = |a: &ViewSnapshot, b: &ViewSnapshot| -> Vec<String> {
                    let missing = a.members.iter().filter(|(name, _)| !b.members.iter().any(|(n, _)| n == name));
                    missing.map(|(name, _)| name.clone()).collect()
                };
                let (came, went) = (names_only_in(&new, old), names_only_in(old, &new));
                let digest = format_args!("{digest:016x}").to_string();
                tracing::info!(number, %digest, members = new.members.len(), ?came, ?went, "the view has changed");
            }
            if old.cut_off != new.cut_off {
                tracing::warn!(cut_off = new.cut_off, "whether any other steward answers");
            }
            *old = new;
            true
        });
    }

    /// Logs the metrics since the last status line.
    fn log_status(&mut self) {
        let now = self.clock.now();
        let (metrics, before) =
            (self.view.metrics(), std::mem::replace(&mut self.last_reported, self.view.metrics()));
        tracing::info!(
            number = self.view.current_view().0,
            settled = self.view.is_settled(now),
            names = metrics.names,
            datagrams = metrics.sent - before.sent,
            bytes = metrics.sent_bytes - before.sent_bytes,
            unsent = self.unsent,
            refused = self.opener.refused,
            unreadable = metrics.unreadable,
            left_out = metrics.dropped_sends,
            unhelped = metrics.refused_indirect_probes,
            news = metrics.queued_updates,
            news_dropped = metrics.dropped_updates,
            hints = ?self.hint_counts,
            unhinted = self.unhinted,
            comparisons = metrics.comparisons,
            lives = metrics.incarnations,
            stalls = metrics.stalls,
            "fleet"
        );
        self.next_status_at = now + STATUS_INTERVAL;
    }
}

/// The answer of a steward to a query of its view.
pub struct Answer {
    pub view: ravenspar_view::show::Page,
    pub members: Vec<ravenspar_view::show::MemberInfo>,
}

/// Queries the view of the steward at an address, one page per member.
pub async fn query(at: SocketAddr, key: &Path) -> Result<Answer, String> {
    use ravenspar_view::show::{Page, PageRequest};
    /// Covers a steward that gets a tenth of the CPU time; otherwise an answer comes within milliseconds or is lost.
    const ANSWER_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);
    const MAX_ATTEMPTS: usize = 10;
    let key = read_key(key)?;
    let local: SocketAddr = if at.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(local).await.map_err(|e| e.to_string())?;
    // A random sender id: the steward accepts each count of a known sender only once.
    let mut rng = fastrand::Rng::new();
    let (token, sender) = (rng.u32(..), rng.u64(..));
    let mut sealer = DatagramSealer::new(&key, sender);
    let mut opener = DatagramOpener::new(&key, 16);
    let (mut members, mut index) = (Vec::new(), 0);
    'pages: loop {
        for _ in 0..MAX_ATTEMPTS {
            let request = PageRequest { token, index };
            let datagram = sealer.seal(Kind::PageRequest as u8, &request.write());
            socket.send_to(&datagram, at).await.map_err(|e| format!("{at}: {e}"))?;
            let until = Instant::now() + ANSWER_TIMEOUT;
            let mut buffer = [0; MAX_DATAGRAM_LENGTH + 1];
            while let Ok(Ok((length, _))) =
                tokio::time::timeout_at(until, socket.recv_from(&mut buffer)).await
            {
                let Ok(opened) = opener.open(&buffer[..length]) else { continue };
                let page = Page::read(opened.body).filter(|_| opened.kind == Kind::Page as u8);
                let Some(mut page) = page.filter(|page| (page.token, page.index) == (token, index)) else {
                    continue;
                };
                match page.member.take() {
                    None => return Ok(Answer { view: page, members }),
                    Some(member) => members.push(member),
                }
                index += 1;
                continue 'pages;
            }
        }
        return Err(format!("{at}: no steward answers at this address, or none with this key"));
    }
}

#[cfg(test)]
mod tests;
