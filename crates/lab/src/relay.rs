//! The wire between forwarders and the steward, in the lab's hands: captured both ways, and cut, held or closed.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::{SinkExt, StreamExt};
use ravenspar_protocol::{codec, MOST_DOWN};
use ravenspar_standin::capture::hex;
use ravenspar_standin::{Capture, Event};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};
use tokio_util::codec::{FramedRead, FramedWrite};

/// One forwarder's way to one steward.
pub struct Relay {
    pub address: SocketAddr,
    steward: usize,
    capture: Capture,
    /// Where the steward listens; none while it is not there.
    target: Rc<Cell<Option<SocketAddr>>>,
    next: Rc<Cell<u64>>,
    /// No stream gets through.
    closed: Cell<usize>,
    /// Nothing is read from the steward's side.
    deaf: Cell<bool>,
    heard: Notify,
    streams: RefCell<Vec<(u64, AbortHandle)>>,
}

impl Relay {
    /// `next` numbers the streams of all relays.
    pub async fn start(
        steward: usize,
        target: Rc<Cell<Option<SocketAddr>>>,
        next: Rc<Cell<u64>>,
        capture: Capture,
    ) -> std::io::Result<Rc<Relay>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let relay = Rc::new(Relay {
            address: listener.local_addr()?,
            steward,
            capture,
            target,
            next,
            closed: Cell::new(0),
            deaf: Cell::new(false),
            heard: Notify::new(),
            streams: RefCell::default(),
        });
        let accepting = relay.clone();
        spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                if accepting.closed.get() == 0 {
                    accepting.open(socket);
                }
            }
        });
        Ok(relay)
    }

    /// Ends all streams; new ones get through unless it is closed.
    pub fn cut(&self) {
        for (stream, task) in self.streams.borrow_mut().drain(..) {
            if !task.is_finished() {
                task.abort();
                self.capture.note(|at| Event::Shut { at, stream });
            }
        }
    }

    pub fn set_closed(&self, closed: bool) {
        // Of several troubles at a time the last to end opens it.
        self.closed.set(if closed { self.closed.get() + 1 } else { self.closed.get().saturating_sub(1) });
        if closed {
            self.cut();
        }
    }

    pub fn set_deaf(&self, deaf: bool) {
        self.deaf.set(deaf);
        self.heard.notify_waiters();
    }

    fn open(self: &Rc<Relay>, socket: TcpStream) {
        let stream = self.next.get();
        self.next.set(stream + 1);
        self.capture.note(|at| Event::Opened { at, stream, steward: self.steward });
        let relay = self.clone();
        let task = spawn_local(async move {
            relay.carry(stream, socket).await;
            relay.capture.note(|at| Event::Shut { at, stream });
        });
        let mut streams = self.streams.borrow_mut();
        streams.retain(|(_, task)| !task.is_finished());
        streams.push((stream, task.abort_handle()));
    }

    async fn hears(&self) {
        loop {
            let heard = self.heard.notified();
            if !self.deaf.get() {
                return;
            }
            heard.await;
        }
    }

    async fn carry(self: &Rc<Relay>, stream: u64, forwarder: TcpStream) {
        let Some(target) = self.target.get() else { return };
        let Ok(steward) = TcpStream::connect(target).await else { return };
        let _ = (forwarder.set_nodelay(true), steward.set_nodelay(true));
        let (from_forwarder, to_forwarder) = forwarder.into_split();
        let (from_steward, to_steward) = steward.into_split();
        let up = async {
            let mut frames = FramedRead::new(from_forwarder, codec(MOST_DOWN));
            let mut out = FramedWrite::new(to_steward, codec(MOST_DOWN));
            while let Some(Ok(body)) = frames.next().await {
                let captured = hex(&body);
                self.capture.note(|at| Event::Frame { at, stream, down: false, body: captured });
                if out.send(body.freeze()).await.is_err() {
                    return;
                }
            }
        };
        let down = async {
            let mut frames = FramedRead::new(from_steward, codec(MOST_DOWN));
            let mut out = FramedWrite::new(to_forwarder, codec(MOST_DOWN));
            loop {
                self.hears().await;
                let Some(Ok(body)) = frames.next().await else { return };
                // What was on its way when it went deaf is held too.
                self.hears().await;
                let captured = hex(&body);
                if out.send(body.freeze()).await.is_err() {
                    return;
                }
                self.capture.note(|at| Event::Frame { at, stream, down: true, body: captured });
            }
        };
        tokio::select! {
            () = up => {}
            () = down => {}
        }
    }
}
