//! The relay: a connection for calls, one at a time, and one for its news.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{FutureExt, SinkExt, StreamExt};
use ravenspar_platform::{Addresses, Call, NOTIFICATION_TIMEOUT, SECOND, SUBSCRIBE};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, Instant};
use tokio_util::codec::Framed;

use crate::lines::WholeLines;
use crate::{moved, Event};

/// The longest line taken in; answers and news are some hundred bytes.
const MOST_LINE: usize = 1 << 20;

/// An address on the platform's own network takes a connection at once or not at all.
const CONNECT: Duration = Duration::from_millis(300);

/// An answer comes within 50 ms or never; some more for a process that has to wait for its core.
const ANSWER: Duration = Duration::from_millis(60);

/// The relay closes what is idle for some seconds: a connection is left well before.
const IDLE: Duration = Duration::from_secs(3);

/// News come with a sign of life every second. Two missed and some: the connection is dead.
const SILENT: Duration = Duration::from_millis(1_000 * NOTIFICATION_TIMEOUT as u64 / SECOND as u64);

/// Between two subscriptions that failed.
const PAUSE: Duration = Duration::from_millis(100);

struct Line {
    at: SocketAddr,
    lines: Framed<TcpStream, WholeLines>,
    used: Instant,
}

impl Line {
    async fn connect(at: SocketAddr) -> Result<Line, String> {
        let socket = timeout(CONNECT, TcpStream::connect(at)).await.map_err(|_| "no connection in time")?;
        let socket = socket.map_err(|e| e.to_string())?;
        let _ = socket.set_nodelay(true);
        let lines = Framed::new(socket, WholeLines::new(MOST_LINE));
        Ok(Line { at, lines, used: Instant::now() })
    }

    async fn next(&mut self, within: Duration) -> Result<String, String> {
        let line = timeout(within, self.lines.next()).await.map_err(|_| "silent")?;
        line.ok_or("closed")?.map_err(|e| e.to_string())
    }

    /// Whether it can take a call. What has come since the last answer answers none to come.
    fn usable(&mut self) -> bool {
        loop {
            match self.lines.next().now_or_never() {
                None => return true,
                Some(Some(Ok(_))) => {}
                Some(_) => return false,
            }
        }
    }

    async fn call(&mut self, call: String) -> Result<String, String> {
        self.used = Instant::now();
        let sent = timeout(ANSWER, self.lines.send(call)).await.map_err(|_| "it takes nothing in")?;
        sent.map_err(|e| e.to_string())?;
        self.next(ANSWER).await
    }
}

/// Carries out one call after the other, and says of each how it ended.
pub async fn call(
    addresses: watch::Receiver<Addresses>,
    mut calls: mpsc::Receiver<Call>,
    events: mpsc::Sender<Event>,
) {
    let mut line: Option<Line> = None;
    while let Some(Call { line: text, reconnect, .. }) = calls.recv().await {
        let at = addresses.borrow().relay;
        let left = |line: &mut Line| line.at != at || line.used.elapsed() >= IDLE || !line.usable();
        if reconnect || line.as_mut().is_some_and(left) {
            line = None;
        }
        if line.is_none() {
            match Line::connect(at).await {
                Ok(new) => line = Some(new),
                Err(why) => {
                    let _ = events.send(Event::CallLost(false, why)).await;
                    continue;
                }
            }
        }
        let Some(open) = &mut line else { continue };
        let event = match open.call(text).await {
            Ok(answer) => Event::Answer(answer),
            Err(why) => {
                line = None;
                Event::CallLost(true, why)
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
}

async fn read(at: SocketAddr, number: u64, events: &mpsc::Sender<Event>) -> Result<(), String> {
    let mut line = Line::connect(at).await?;
    let subscribe = String::from_utf8_lossy(SUBSCRIBE).into_owned();
    line.lines.send(subscribe).await.map_err(|e| e.to_string())?;
    loop {
        let news = line.next(SILENT).await?;
        if events.send(Event::News(number, news)).await.is_err() {
            return Ok(());
        }
    }
}

/// Subscribes, and again whenever the news break off, fall silent, are to come from elsewhere or are of no use:
/// `spoilt` is the number of the subscription of which that was last so. By the number, what is said of one
/// subscription never ends the next.
pub async fn news(
    mut addresses: watch::Receiver<Addresses>,
    mut spoilt: watch::Receiver<u64>,
    events: mpsc::Sender<Event>,
) {
    let mut chance = fastrand::Rng::new();
    let mut number = 0;
    while !events.is_closed() {
        number += 1;
        let at = addresses.borrow_and_update().relay;
        let began = Instant::now();
        let why = tokio::select! {
            ended = read(at, number, &events) => ended.err().unwrap_or_default(),
            no_use = spoilt.wait_for(|of| *of == number) => match no_use {
                Ok(_) => "they can't be used".to_owned(),
                Err(_) => return,
            },
            changed = moved(&mut addresses, |new| new.relay, at) => match changed {
                Ok(()) => "another address".to_owned(),
                Err(_) => return,
            },
        };
        let _ = events.send(Event::NewsLost(number, why)).await;
        if began.elapsed() < PAUSE {
            // Spread, so that stewards that lost it together don't come back together.
            tokio::time::sleep(PAUSE / 2 + PAUSE.mul_f64(chance.f64())).await;
        }
    }
}
