//! Client of the relay: a connection for calls, one at a time, and one for the subscription.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{FutureExt, SinkExt, StreamExt};
use ravenspar_platform::{Addresses, Call, NOTIFICATION_TIMEOUT, SECOND, SUBSCRIBE};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, Instant};
use tokio_util::codec::Framed;

use crate::lines::CompleteLines;
use crate::{address_changed, Event};

/// The longest line accepted, in bytes; answers and notifications have some hundred.
const MAX_LINE: usize = 1 << 20;

/// An address on the platform's own network accepts a connection at once or not at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The relay answers within 50 ms or never; the rest is for a process that has to wait for its CPU.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// The relay closes connections that are idle for some seconds; a connection is replaced well before.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// The longest time without a notification: the relay sends a heartbeat every second, and after two missed
/// ones and some slack the connection is dead.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000 * NOTIFICATION_TIMEOUT as u64 / SECOND as u64);

/// Pause between two subscriptions that failed at once.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A connection to the relay, read and written line by line.
struct Connection {
    at: SocketAddr,
    framed: Framed<TcpStream, CompleteLines>,
    last_used: Instant,
}

impl Connection {
    async fn connect(at: SocketAddr) -> Result<Connection, String> {
        let socket =
            timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await.map_err(|_| "no connection in time")?;
        let socket = socket.map_err(|e| e.to_string())?;
        let _ = socket.set_nodelay(true);
        let framed = Framed::new(socket, CompleteLines::new(MAX_LINE));
        Ok(Connection { at, framed, last_used: Instant::now() })
    }

    async fn next(&mut self, within: Duration) -> Result<String, String> {
        let line = timeout(within, self.framed.next()).await.map_err(|_| "silent")?;
        line.ok_or("closed")?.map_err(|e| e.to_string())
    }

    /// Returns true if the connection can carry a call. Discards what has arrived since the last answer, as
    /// it answers no call to come.
    fn is_usable(&mut self) -> bool {
        loop {
            match self.framed.next().now_or_never() {
                None => return true,
                Some(Some(Ok(_))) => {}
                Some(_) => return false,
            }
        }
    }

    async fn call(&mut self, text: String) -> Result<String, String> {
        self.last_used = Instant::now();
        let sent =
            timeout(ANSWER_TIMEOUT, self.framed.send(text)).await.map_err(|_| "it takes nothing in")?;
        sent.map_err(|e| e.to_string())?;
        self.next(ANSWER_TIMEOUT).await
    }
}

/// Carries out calls one at a time, and reports the result of each.
pub async fn run_calls(
    addresses: watch::Receiver<Addresses>,
    mut calls: mpsc::Receiver<Call>,
    events: mpsc::Sender<Event>,
) {
    let mut connection: Option<Connection> = None;
    while let Some(Call { line: text, reconnect, .. }) = calls.recv().await {
        let at = addresses.borrow().relay;
        let needs_reconnect = |connection: &mut Connection| {
            connection.at != at || connection.last_used.elapsed() >= MAX_IDLE || !connection.is_usable()
        };
        if reconnect || connection.as_mut().is_some_and(needs_reconnect) {
            connection = None;
        }
        if connection.is_none() {
            match Connection::connect(at).await {
                Ok(new) => connection = Some(new),
                Err(why) => {
                    let _ = events.send(Event::CallLost(false, why)).await;
                    continue;
                }
            }
        }
        let Some(open) = &mut connection else { continue };
        let event = match open.call(text).await {
            Ok(answer) => Event::Answer(answer),
            Err(why) => {
                connection = None;
                Event::CallLost(true, why)
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
}

/// Subscribes and passes on notifications until the subscription ends. Fails with the reason.
async fn read_notifications(at: SocketAddr, number: u64, events: &mpsc::Sender<Event>) -> Result<(), String> {
    let mut connection = Connection::connect(at).await?;
    let subscribe = String::from_utf8_lossy(SUBSCRIBE).into_owned();
    connection.framed.send(subscribe).await.map_err(|e| e.to_string())?;
    loop {
        let notification = connection.next(READ_TIMEOUT).await?;
        if events.send(Event::Notification(number, notification)).await.is_err() {
            return Ok(());
        }
    }
}

/// Keeps a subscription: subscribes again when it breaks off, times out, moves to another address or can't be
/// used. `unusable` holds the number of the last subscription whose notifications could not be used; by the
/// number, a verdict on one subscription never ends the next.
pub async fn run_subscriptions(
    mut addresses: watch::Receiver<Addresses>,
    mut unusable: watch::Receiver<u64>,
    events: mpsc::Sender<Event>,
) {
    let mut rng = fastrand::Rng::new();
    let mut number = 0;
    while !events.is_closed() {
        number += 1;
        let at = addresses.borrow_and_update().relay;
        let started = Instant::now();
        let why = tokio::select! {
            ended = read_notifications(at, number, &events) => ended.err().unwrap_or_default(),
            found_unusable = unusable.wait_for(|unusable| *unusable == number) => match found_unusable {
                Ok(_) => "its notifications can't be used".to_owned(),
                Err(_) => return,
            },
            changed = address_changed(&mut addresses, |new| new.relay, at) => match changed {
                Ok(()) => "another address".to_owned(),
                Err(_) => return,
            },
        };
        let _ = events.send(Event::SubscriptionLost(number, why)).await;
        if started.elapsed() < RETRY_PAUSE {
            // Random, so that stewards whose subscriptions broke together don't all return at the same time.
            tokio::time::sleep(RETRY_PAUSE / 2 + RETRY_PAUSE.mul_f64(rng.f64())).await;
        }
    }
}
