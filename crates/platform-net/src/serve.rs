//! One loop that hands the session what the sockets bring, and carries out what it says.

use std::path::Path;
use std::time::Duration;

use ravenspar_net::{listen, Clock};
use ravenspar_platform::{Addresses, Call, Config, Session, Time};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior};

use crate::listener::{self, Connections, Listener};
use crate::tasks::Tasks;
use crate::{discovery, process, relay, Event, EVENTS};

/// Why the steward could not start.
#[derive(Debug)]
pub enum Fault {
    /// Bad input, with what was expected.
    Input(String),
    Failed(String),
}

/// After SIGTERM, for calls that are decided and not settled, and beside them for answers to what was read of peers. The
/// platform kills no sooner than 0.7 s after it.
const LAST_WORK: Duration = Duration::from_millis(600);

/// How long a start that fails is tried again; the platform waits 30 s for a steward.
const START: Duration = Duration::from_secs(5);

/// Between two tries to read a configuration that could not be read: it may be about to be replaced.
const REREAD: Duration = Duration::from_millis(100);

/// Between two lines of the log that say how things are.
const STATUS: Duration = Duration::from_secs(10);

/// Events taken in before a decision: what has come in is learnt first, and a flood holds no decision up.
const AT_ONCE: usize = 4 * EVENTS;

/// A span in whole milliseconds.
fn in_ms(span: Time) -> i64 {
    span / (ravenspar_platform::SECOND / 1000)
}

fn failed(what: &str) -> impl Fn(std::io::Error) -> Fault + '_ {
    move |error| Fault::Failed(format!("{what}: {error}"))
}

struct Core {
    clock: Clock,
    session: Session,
    /// The number of the last subscription whose news could not be used.
    spoilt_news: watch::Sender<u64>,
    calls: mpsc::Sender<Call>,
    /// The number of the last call.
    call: u64,
    /// The last subscription that has told all that stands.
    told: u64,
    /// The last reason for which a message could not be used, since the last status.
    spoilt: Option<String>,
}

/// Serves by the file at `path` until SIGTERM or SIGINT.
pub async fn serve(path: &Path) -> Result<(), Fault> {
    let input = |why: String| Fault::Input(format!("{}: {why}", path.display()));
    let mut hangup = signal(SignalKind::hangup()).map_err(failed("signals"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(failed("signals"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed("signals"))?;
    let bytes = started(|| std::fs::read(path)).await.map_err(|e| input(e.to_string()))?;
    let config = Config::read(&bytes).map_err(input)?;
    drop(bytes);
    let clock = Clock::new();
    let session = Session::new(clock.now(), config.seed, &config.settings, &config.known).map_err(input)?;
    let listener = started(|| listen(config.listen)).await.map_err(failed(&config.listen.to_string()))?;
    let address = listener.local_addr().map_err(failed("listen"))?;
    let (events, mut inputs) = mpsc::channel(EVENTS);
    let (addresses, followed) = watch::channel(config.addresses);
    let (calls, to_call) = mpsc::channel(1);
    let (spoilt_news, again) = watch::channel(0);
    let connections = Connections::default();
    let with = Listener {
        listener,
        zones: session.zones().into(),
        events: events.clone(),
        sockets: config.sockets,
        connections: connections.clone(),
    };
    let (mut listening, mut tasks) = (Tasks::default(), Tasks::default());
    listening.spawn("listener", listener::open(with));
    tasks.spawn("relay's calls", relay::call(followed.clone(), to_call, events.clone()));
    tasks.spawn("relay's news", relay::news(followed.clone(), again, events.clone()));
    tasks.spawn("list", discovery::follow(followed, events));
    tracing::info!(name = %config.name, listen = %address, relay = %config.addresses.relay,
        discovery = %config.addresses.discovery, "serving");
    let mut core = Core { clock, session, spoilt_news, calls, call: 0, told: 0, spoilt: None };
    let mut status = tokio::time::interval_at(Instant::now() + STATUS, STATUS);
    status.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reread: Option<Instant> = None;
    loop {
        let wake = core.poll();
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reread = reload(path, &addresses, true),
            why = listening.ended() => return Err(Fault::Failed(why)),
            why = tasks.ended() => return Err(Fault::Failed(why)),
            event = inputs.recv() => core.take_all(event, &mut inputs),
            _ = status.tick() => core.status(),
            () = tokio::time::sleep_until(reread.unwrap_or(wake)), if reread.is_some() => {
                reread = reload(path, &addresses, false);
            }
            () = tokio::time::sleep_until(wake) => {}
        }
    }
    let end = Instant::now() + LAST_WORK;
    tracing::info!("asked to end");
    // Nobody comes any more, and nothing more is read: what is unread makes a close a reset, which tells the peer so.
    drop(listening);
    connections.ask_to_end();
    core.take_all(inputs.try_recv().ok(), &mut inputs);
    let mut wake = core.poll();
    while !core.session.settled() && Instant::now() < end {
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            event = inputs.recv() => core.take_all(event, &mut inputs),
            () = tokio::time::sleep_until(wake.min(end)) => {}
        }
        wake = core.poll_last();
    }
    core.status();
    connections.ended(end).await;
    Ok(())
}

/// What the start needs of the system, tried again where that may help: out of descriptors or buffers, an input error, an
/// address that a process killed a moment ago still has.
async fn started<T>(mut attempt: impl FnMut() -> std::io::Result<T>) -> std::io::Result<T> {
    use std::io::ErrorKind::{InvalidInput, NotFound, PermissionDenied};
    let end = Instant::now() + START;
    loop {
        match attempt() {
            Err(error)
                if !matches!(error.kind(), InvalidInput | NotFound | PermissionDenied)
                    && Instant::now() < end =>
            {
                tracing::warn!(%error, "the start is tried again");
                tokio::time::sleep(REREAD).await;
            }
            done => return done,
        }
    }
}

/// New addresses of a file that was replaced. One that can't be read changes nothing and is read again, at the time
/// that is returned: the old addresses are about to close for good. `first` says whether to log that.
fn reload(path: &Path, addresses: &watch::Sender<Addresses>, first: bool) -> Option<Instant> {
    let read = std::fs::read(path).map_err(|e| e.to_string());
    match read.and_then(|bytes| Config::read_addresses(&bytes)) {
        Ok(new) => {
            let changed = addresses.send_if_modified(|held| std::mem::replace(held, new) != new);
            tracing::info!(relay = %new.relay, discovery = %new.discovery, changed, "configuration read again");
            None
        }
        Err(why) => {
            if first {
                tracing::error!(%why, "the new configuration can't be read; the one before holds");
            }
            Some(Instant::now() + REREAD)
        }
    }
}

impl Core {
    /// Learns what has come before anything is decided, this event first.
    fn take_all(&mut self, first: Option<Event>, inputs: &mut mpsc::Receiver<Event>) {
        let now = self.clock.now();
        let mut next = first;
        for _ in 0..AT_ONCE {
            let Some(event) = next else { break };
            self.take(now, event);
            next = inputs.try_recv().ok();
        }
    }

    fn take(&mut self, now: i64, event: Event) {
        match event {
            Event::Report(report) => {
                tracing::trace!(%report, "report");
                if let Err(fault) = self.session.handle_report(now, &report) {
                    tracing::debug!(%fault, %report, "a report that can't be used");
                    self.spoilt = Some(fault.to_string());
                }
            }
            Event::News(number, line) => {
                tracing::trace!(%line, "news");
                if let Err(fault) = self.session.handle_notification(now, line.as_bytes()) {
                    tracing::warn!(subscription = number, %fault, line = %line.chars().take(200).collect::<String>(), "news that can't be used");
                    self.spoilt_news.send_replace(number);
                }
                self.log_told(now, number);
            }
            Event::NewsLost(number, why) => {
                tracing::info!(subscription = number, %why, "the relay's news have broken off");
                self.session.handle_subscription_lost(now);
            }
            Event::Answer(line) => {
                tracing::trace!(%line, "answer");
                self.session.handle_answer(now, line.as_bytes());
            }
            Event::CallLost(written, why) => {
                tracing::info!(call = self.call, written, %why, "a call is lost");
                self.session.handle_call_lost(now, written);
            }
            Event::List(body, whole, told) => {
                tracing::trace!(body = %String::from_utf8_lossy(&body), "list");
                let taken = self.session.handle_list(now, &body, whole);
                if let Err(why) = &taken {
                    tracing::warn!(%why, "a list that can't be used");
                }
                let _ = told.send(taken.ok());
            }
        }
    }

    /// Logs the moment from which all that stands is told.
    fn log_told(&mut self, now: Time, subscription: u64) {
        if !self.session.is_live() || self.told == subscription {
            return;
        }
        self.told = subscription;
        let of = self.session.metrics();
        let held_ms = of.held.map_or(0, |held| in_ms(now - held.since));
        tracing::info!(
            subscription,
            joined = of.joined,
            slices = of.slices,
            held_ms,
            "all that stands is told"
        );
    }

    /// Carries out what the session has to say, and returns when to ask it again.
    fn poll(&mut self) -> Instant {
        self.carry_out(Session::poll)
    }

    /// The same of what is decided already.
    fn poll_last(&mut self) -> Instant {
        self.carry_out(Session::poll_queued)
    }

    fn carry_out(&mut self, next: fn(&mut Session, Time) -> Option<Call>) -> Instant {
        let now = self.clock.now();
        while let Some(call) = next(&mut self.session, now) {
            tracing::trace!(call = call.id, anew = call.reconnect, line = %call.line, "call");
            self.call = call.id;
            // Room for one, and one at a time.
            if self.calls.try_send(call).is_err() {
                self.session.handle_call_lost(now, false);
                break;
            }
        }
        if let Some(owed) = self.session.overdue(now) {
            let held = self.session.metrics().held;
            tracing::warn!(
                slices = owed.slices,
                oldest_ms = in_ms(owed.oldest),
                held_ms = held.map_or(0, |held| in_ms(now - held.since)),
                held_why = held.map_or("", |held| held.why.name()),
                "drains are owed for half of their grace"
            );
        }
        // Without a reminder due it is the sockets that wake it.
        let idle = now + 10 * ravenspar_platform::SECOND;
        Instant::from_std(self.clock.instant(self.session.next_timeout().unwrap_or(idle)))
    }

    fn status(&mut self) {
        let (now, of) = (self.clock.now(), self.session.metrics());
        let age = |at: Option<Time>| at.map_or(-1, |at| in_ms(now - at));
        let owed = self.session.owed(now);
        let longest = self.session.take_longest_hold();
        tracing::info!(
            joined = of.joined,
            slices = of.slices,
            unsettled = of.unsettled,
            hosts = of.hosts,
            hosts_known = of.hosts_known,
            list_version = of.list_version.unwrap_or(0),
            list_age_ms = age(of.last_list),
            news_age_ms = age(of.last_notification),
            spoilt = of.spoilt,
            last_spoilt = self.spoilt.take().unwrap_or_default(),
            calls_lost = of.lost,
            orders_refused = of.refused,
            held_ms = of.held.map_or(0, |held| in_ms(now - held.since)),
            held_why = of.held.map_or("", |held| held.why.name()),
            longest_held_ms = longest.map_or(0, |(span, _)| in_ms(span)),
            longest_held_why = longest.map_or("", |(_, why)| why.name()),
            waiting_lines = of.waiting.lines as u64,
            waiting_ms = age(of.waiting.since),
            drains_owed = owed.slices,
            drains_owed_ms = in_ms(owed.oldest),
            memory_kb = process::memory_kb(),
            descriptors = process::descriptors(),
            "status"
        );
    }
}
