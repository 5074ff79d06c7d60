//! Datagrams between stewards.
//!
//! A steward's address for the others is a socket of the lab's. What comes there from another is handed on from that other's
//! socket, so that answers take the way back.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use super::{End, Ways};

/// Where a steward is reached, and where it listens itself.
#[derive(Clone)]
struct Place {
    near: Rc<UdpSocket>,
    shown: SocketAddr,
    own: SocketAddr,
}

/// One datagram that a steward sent.
#[derive(Clone, Copy, Debug)]
pub struct Crossed {
    /// Milliseconds since the start of the day.
    pub at: u64,
    pub from: usize,
    pub to: usize,
    pub bytes: usize,
}

pub struct Datagrams {
    ways: Rc<Ways>,
    places: RefCell<Vec<Place>>,
    /// Whose socket an address is, those of earlier places included.
    owners: RefCell<BTreeMap<SocketAddr, usize>>,
    /// What crossed, where somebody wants to know.
    pub crossed: Option<RefCell<Vec<Crossed>>>,
    pub lost: Cell<u64>,
    pub came: Cell<u64>,
    began: std::time::Instant,
}

impl Datagrams {
    /// `noted`: whether each that crosses is written down, for a judge.
    pub async fn open(ways: &Rc<Ways>, stewards: usize, noted: bool) -> std::io::Result<Rc<Datagrams>> {
        let datagrams = Rc::new(Datagrams {
            ways: ways.clone(),
            places: RefCell::default(),
            owners: RefCell::default(),
            crossed: noted.then(RefCell::default),
            lost: Cell::new(0),
            came: Cell::new(0),
            began: std::time::Instant::now(),
        });
        for n in 0..stewards {
            let place = datagrams.place(n).await?;
            datagrams.places.borrow_mut().push(place);
        }
        Ok(datagrams)
    }

    async fn place(self: &Rc<Datagrams>, n: usize) -> std::io::Result<Place> {
        let near = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let shown = near.local_addr()?;
        // A port that the system has just found free; the steward binds it at once.
        let own = std::net::UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
        self.owners.borrow_mut().insert(own, n);
        let (datagrams, socket) = (self.clone(), near.clone());
        spawn_local(async move { datagrams.carry(n, &socket).await });
        Ok(Place { near, shown, own })
    }

    /// The steward has another address from now on; nobody is at the old one.
    pub async fn move_on(self: &Rc<Datagrams>, n: usize) -> std::io::Result<()> {
        let place = self.place(n).await?;
        self.places.borrow_mut()[n] = place;
        Ok(())
    }

    /// Another port for the steward to listen at, where somebody else got the one before: it was free when it was chosen.
    fn another_port(&self, n: usize) -> std::io::Result<()> {
        let own = std::net::UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
        self.owners.borrow_mut().insert(own, n);
        self.places.borrow_mut()[n].own = own;
        Ok(())
    }

    /// Starts a steward, with another port where the one found free is somebody else's by then.
    pub async fn started<T, E: From<std::io::Error>>(
        &self,
        n: usize,
        start: impl AsyncFn() -> Result<T, E>,
    ) -> Result<T, E> {
        /// Tries to get a port that stays free until the steward binds it.
        const TRIES: usize = 8;
        for _ in 1..TRIES {
            if let Ok(started) = start().await {
                return Ok(started);
            }
            self.another_port(n)?;
        }
        start().await
    }

    async fn carry(self: Rc<Datagrams>, to: usize, socket: &Rc<UdpSocket>) {
        let shown = socket.local_addr().ok();
        let mut buffer = [0; 512];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
            // From nobody that is known here: a person who asks a steward, or another day on this machine.
            let Some(from) = self.owners.borrow().get(&from).copied() else { continue };
            self.came.set(self.came.get() + 1);
            if let Some(crossed) = &self.crossed {
                crossed.borrow_mut().push(Crossed { at: self.now(), from, to, bytes: length });
            }
            let place = self.places.borrow()[to].clone();
            let way = self.ways.of(End::Steward(from), End::Steward(to));
            let closed = way.cut + way.closed > 0 || Some(place.shown) != shown;
            if closed || self.ways.chance(way.loss) {
                self.lost.set(self.lost.get() + 1);
                continue;
            }
            let source = self.places.borrow()[from].near.clone();
            let times = 1 + usize::from(self.ways.chance(way.doubled));
            for _ in 0..times {
                if way.late.is_zero() {
                    // As on a network, what the receiver has no room for is lost.
                    let _ = source.try_send_to(&buffer[..length], place.own);
                    continue;
                }
                let (late, datagram) = (self.ways.up_to(way.late), buffer[..length].to_vec());
                let source = source.clone();
                spawn_local(async move {
                    tokio::time::sleep(late).await;
                    let _ = source.send_to(&datagram, place.own).await;
                });
            }
        }
    }

    /// Milliseconds since the start of the day.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Where others reach it, and where it listens.
    pub fn of(&self, n: usize) -> (SocketAddr, SocketAddr) {
        let place = &self.places.borrow()[n];
        (place.shown, place.own)
    }

    pub fn counts(&self) -> String {
        format!("{} sent, {} lost", self.came.get(), self.lost.get())
    }

    /// What the settings of a steward say of its view: all others are known at the start.
    pub fn settings(&self, n: usize) -> serde_json::Value {
        let (shown, own) = self.of(n);
        let peers: Vec<String> = self.places.borrow().iter().map(|place| place.shown.to_string()).collect();
        serde_json::json!({
            "name": format!("steward-{n}"), "listen": own.to_string(), "address": shown.to_string(), "key": "fleet.key",
            "peers": peers,
        })
    }
}

/// Makes the file `fleet.key` with the stewards' key.
pub fn make_key(dir: &std::path::Path) -> std::io::Result<std::path::PathBuf> {
    use std::os::unix::fs::PermissionsExt as _;
    let key = dir.join("fleet.key");
    std::fs::write(&key, "a key for the fleet of a lab's day, long enough")?;
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600))?;
    Ok(key)
}
