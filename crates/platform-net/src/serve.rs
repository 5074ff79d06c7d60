//! The session loop: feeds input from the sockets to the session and carries out its calls.

use std::path::Path;
use std::time::Duration;

use ravenspar_net::{listen, Clock};
use ravenspar_platform::{Addresses, Call, Config, ListError, Session, Time};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior};

use crate::listener::{self, Connections, Listener};
use crate::tasks::Tasks;
use crate::{discovery, process, relay, Event, ListResponse, EVENT_QUEUE_CAPACITY};

/// Why the steward could not start or go on.
#[derive(Debug)]
pub enum ServeError {
    /// The configuration is invalid; says what was expected.
    InvalidConfig(String),
    /// The system or a socket task failed.
    Failed(String),
}

/// Time after SIGTERM to settle calls that are decided, and to answer requests that were read. The platform
/// kills no sooner than 0.7 s after SIGTERM.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a failing start is retried; the platform waits 30 s for a steward.
const START_RETRY_LIMIT: Duration = Duration::from_secs(5);

/// Pause before a configuration that could not be read is read again, as it may be about to be replaced.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Interval of the `status` log line.
const STATUS_INTERVAL: Duration = Duration::from_secs(10);

/// Most events handled before a decision: queued input is handled first, but a flood delays no decision.
const MAX_EVENTS_AT_ONCE: usize = 4 * EVENT_QUEUE_CAPACITY;

/// Converts a span to whole milliseconds.
fn to_ms(span: Time) -> i64 {
    span / (ravenspar_platform::SECOND / 1000)
}

fn failed(what: &str) -> impl Fn(std::io::Error) -> ServeError + '_ {
    move |error| ServeError::Failed(format!("{what}: {error}"))
}

struct SessionLoop {
    clock: Clock,
    session: Session,
    /// The last subscription whose notifications could not be used.
    unusable_subscription: watch::Sender<u64>,
    calls: mpsc::Sender<Call>,
    /// The id of the last call.
    last_call: u64,
    /// The last subscription whose snapshot was logged as complete.
    logged_subscription: u64,
    /// Why the last invalid report since the last status line was dropped.
    last_error: Option<String>,
}

/// Serves with the configuration at `path` until SIGTERM or SIGINT.
pub async fn serve(path: &Path) -> Result<(), ServeError> {
    let input = |why: String| ServeError::InvalidConfig(format!("{}: {why}", path.display()));
    let mut hangup = signal(SignalKind::hangup()).map_err(failed("signals"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(failed("signals"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed("signals"))?;
    let bytes = retry_start(|| std::fs::read(path)).await.map_err(|e| input(e.to_string()))?;
    let config = Config::read(&bytes).map_err(input)?;
    drop(bytes);
    let clock = Clock::new();
    let session = Session::new(clock.now(), config.seed, &config.settings, &config.known).map_err(input)?;
    let listener = retry_start(|| listen(config.listen)).await.map_err(failed(&config.listen.to_string()))?;
    let address = listener.local_addr().map_err(failed("listen"))?;
    let (events, mut inputs) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (addresses, address_updates) = watch::channel(config.addresses);
    let (calls, call_queue) = mpsc::channel(1);
    let (unusable_subscription, unusable) = watch::channel(0);
    let connections = Connections::default();
    let listener_setup = Listener {
        listener,
        zones: session.zones().into(),
        events: events.clone(),
        sockets: config.sockets,
        connections: connections.clone(),
    };
    let (mut listener_task, mut tasks) = (Tasks::default(), Tasks::default());
    listener_task.spawn("listener", listener::accept_peers(listener_setup));
    tasks.spawn("relay's calls", relay::run_calls(address_updates.clone(), call_queue, events.clone()));
    tasks.spawn("relay's news", relay::run_subscriptions(address_updates.clone(), unusable, events.clone()));
    tasks.spawn("list", discovery::watch_hosts(address_updates, config.known_version(), clock, events));
    tracing::info!(name = %config.name, listen = %address, relay = %config.addresses.relay,
        discovery = %config.addresses.discovery, "serving");
    let mut session_loop = SessionLoop {
        clock,
        session,
        unusable_subscription,
        calls,
        last_call: 0,
        logged_subscription: 0,
        last_error: None,
    };
    let mut status = tokio::time::interval_at(Instant::now() + STATUS_INTERVAL, STATUS_INTERVAL);
    status.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reload_at: Option<Instant> = None;
    loop {
        let wake = session_loop.poll();
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload_at = reload(path, &addresses, true),
            why = listener_task.next_exit() => return Err(ServeError::Failed(why)),
            why = tasks.next_exit() => return Err(ServeError::Failed(why)),
            event = inputs.recv() => session_loop.handle_events(event, &mut inputs),
            _ = status.tick() => session_loop.log_status(),
            () = tokio::time::sleep_until(reload_at.unwrap_or(wake)), if reload_at.is_some() => {
                reload_at = reload(path, &addresses, false);
            }
            () = tokio::time::sleep_until(wake) => {}
        }
    }
    let end = Instant::now() + SHUTDOWN_TIMEOUT;
    tracing::info!("asked to end");
    // No connection is accepted any more, and nothing more is read: unread data makes a close a reset, which
    // tells the peer so.
    drop(listener_task);
    connections.request_close();
    session_loop.handle_events(inputs.try_recv().ok(), &mut inputs);
    let mut wake = session_loop.poll();
    while !session_loop.session.settled() && Instant::now() < end {
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            event = inputs.recv() => session_loop.handle_events(event, &mut inputs),
            () = tokio::time::sleep_until(wake.min(end)) => {}
        }
        wake = session_loop.poll_queued();
    }
    session_loop.log_status();
    connections.wait_closed(end).await;
    Ok(())
}

/// Retries a step of the start on errors that may pass: out of descriptors or buffers, an input error, or an
/// address still held by a process that was just killed.
async fn retry_start<T>(mut attempt: impl FnMut() -> std::io::Result<T>) -> std::io::Result<T> {
    use std::io::ErrorKind::{InvalidInput, NotFound, PermissionDenied};
    let end = Instant::now() + START_RETRY_LIMIT;
    loop {
        match attempt() {
            Err(error)
                if !matches!(error.kind(), InvalidInput | NotFound | PermissionDenied)
                    && Instant::now() < end =>
            {
                tracing::warn!(%error, "the start is tried again");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            done => return done,
        }
    }
}

/// Applies the addresses of a replaced configuration file. One that can't be read changes nothing and is read
/// again at the time that is returned, as the old addresses are about to close for good. `first` says whether
/// to log the failure.
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
                tracing::error!(%why, "the new configuration can't be read; the previous one stays in use");
            }
            Some(Instant::now() + RETRY_PAUSE)
        }
    }
}

impl SessionLoop {
    /// Handles `first` and all queued events before anything is decided.
    fn handle_events(&mut self, first: Option<Event>, inputs: &mut mpsc::Receiver<Event>) {
        let now = self.clock.now();
        let mut next = first;
        for _ in 0..MAX_EVENTS_AT_ONCE {
            let Some(event) = next else { break };
            self.handle_event(now, event);
            next = inputs.try_recv().ok();
        }
    }

    fn handle_event(&mut self, now: i64, event: Event) {
        match event {
            Event::Report(report) => {
                tracing::trace!(%report, "report");
                if let Err(fault) = self.session.handle_report(now, &report) {
                    tracing::debug!(%fault, %report, "a report can't be used and is dropped");
                    self.last_error = Some(fault.to_string());
                }
            }
            Event::Notification(number, line) => {
                tracing::trace!(%line, "news");
                if let Err(fault) = self.session.handle_notification(now, line.as_bytes()) {
                    tracing::warn!(subscription = number, %fault, line = %line.chars().take(200).collect::<String>(), "a notification can't be used; subscribing again");
                    self.unusable_subscription.send_replace(number);
                }
                self.log_live(now, number);
            }
            Event::SubscriptionLost(number, why) => {
                tracing::info!(subscription = number, %why, "the relay's news have broken off");
                self.session.handle_subscription_lost(now);
            }
            Event::Answer(line) => {
                tracing::trace!(%line, "answer");
                self.session.handle_answer(now, line.as_bytes());
            }
            Event::CallLost(written, why) => {
                tracing::info!(call = self.last_call, written, %why, "a call is lost");
                self.session.handle_call_lost(now, written);
            }
            Event::List(response) => self.handle_list(now, response),
        }
    }

    fn handle_list(
        &mut self,
        now: Time,
        ListResponse { body, is_complete, requested_at, verdict }: ListResponse,
    ) {
        tracing::trace!(body = %String::from_utf8_lossy(&body), "list");
        let accepted = self.session.handle_list(now, &body, is_complete, requested_at);
        match &accepted {
            Ok(_) => {}
            Err(why @ ListError::Overtaken { .. }) => tracing::debug!(%why, "a list that is not needed"),
            Err(why) => tracing::warn!(%why, "a list that can't be used"),
        }
        let _ = verdict.send(accepted);
    }

    /// Logs when a subscription's snapshot has been received completely.
    fn log_live(&mut self, now: Time, subscription: u64) {
        if !self.session.is_live() || self.logged_subscription == subscription {
            return;
        }
        self.logged_subscription = subscription;
        let metrics = self.session.metrics();
        let held_ms = metrics.held.map_or(0, |held| to_ms(now - held.since));
        tracing::info!(
            subscription,
            joined = metrics.joined,
            slices = metrics.slices,
            held_ms,
            "all that stands is told"
        );
    }

    /// Carries out the session's calls, and returns when to poll it again.
    fn poll(&mut self) -> Instant {
        self.run_calls(Session::poll)
    }

    /// Does the same for calls that are decided already.
    fn poll_queued(&mut self) -> Instant {
        self.run_calls(Session::poll_queued)
    }

    fn run_calls(&mut self, next: fn(&mut Session, Time) -> Option<Call>) -> Instant {
        let now = self.clock.now();
        while let Some(call) = next(&mut self.session, now) {
            tracing::trace!(call = call.id, anew = call.reconnect, line = %call.line, "call");
            self.last_call = call.id;
            // The queue holds one call, and one is in progress at a time.
            if self.calls.try_send(call).is_err() {
                self.session.handle_call_lost(now, false);
                break;
            }
        }
        if let Some(drains_due) = self.session.overdue(now) {
            let held = self.session.metrics().held;
            tracing::warn!(
                slices = drains_due.slices,
                oldest_ms = to_ms(drains_due.oldest),
                held_ms = held.map_or(0, |held| to_ms(now - held.since)),
                held_why = held.map_or("", |held| held.why.name()),
                "drains are owed for half of their grace"
            );
        }
        // Without a timeout due only the sockets wake the loop.
        let idle = now + 10 * ravenspar_platform::SECOND;
        Instant::from_std(self.clock.instant(self.session.next_timeout().unwrap_or(idle)))
    }

    fn log_status(&mut self) {
        let (now, metrics) = (self.clock.now(), self.session.metrics());
        let age = |at: Option<Time>| at.map_or(-1, |at| to_ms(now - at));
        let drains_due = self.session.pending_revokes(now);
        let longest = self.session.take_longest_hold();
        tracing::info!(
            joined = metrics.joined,
            slices = metrics.slices,
            unsettled = metrics.unsettled,
            hosts = metrics.hosts,
            hosts_known = metrics.hosts_known,
            list_version = metrics.list_version.unwrap_or(0),
            list_age_ms = age(metrics.last_list),
            news_age_ms = age(metrics.last_notification),
            spoilt = metrics.invalid_messages,
            last_spoilt = self.last_error.take().unwrap_or_default(),
            calls_lost = metrics.lost,
            orders_refused = metrics.refused,
            held_ms = metrics.held.map_or(0, |held| to_ms(now - held.since)),
            held_why = metrics.held.map_or("", |held| held.why.name()),
            longest_held_ms = longest.map_or(0, |(span, _)| to_ms(span)),
            longest_held_why = longest.map_or("", |(_, why)| why.name()),
            waiting_lines = metrics.waiting.lines as u64,
            waiting_ms = age(metrics.waiting.since),
            drains_owed = drains_due.slices,
            drains_owed_ms = to_ms(drains_due.oldest),
            memory_kb = process::memory_kb(),
            descriptors = process::descriptors(),
            "status"
        );
    }
}
