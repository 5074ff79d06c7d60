//! The ways between stewards: each pair and direction by itself is cut, loses, or is late.
//!
//! A steward's address in the fleet is a socket of the lab's. What comes there from another is handed on from that other's
//! socket, so that answers take the way back.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::spawn_local;

#[derive(Clone, Copy, Debug, Default)]
pub struct Way {
    /// Cuts that hold at the moment.
    pub cut: usize,
    pub loss: f64,
    pub late: Duration,
}

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

pub struct Ways {
    places: RefCell<Vec<Place>>,
    /// Whose socket an address is, those of earlier places included.
    owners: RefCell<BTreeMap<SocketAddr, usize>>,
    ways: RefCell<BTreeMap<(usize, usize), Way>>,
    pub crossed: RefCell<Vec<Crossed>>,
    chance: RefCell<fastrand::Rng>,
    began: std::time::Instant,
    /// Datagrams from nobody that is known here.
    pub strangers: Cell<u64>,
}

impl Ways {
    pub async fn open(stewards: usize, loss: f64, seed: u64) -> std::io::Result<Rc<Ways>> {
        let ways = Rc::new(Ways {
            places: RefCell::default(),
            owners: RefCell::default(),
            ways: RefCell::default(),
            crossed: RefCell::default(),
            chance: RefCell::new(fastrand::Rng::with_seed(seed)),
            began: std::time::Instant::now(),
            strangers: Cell::new(0),
        });
        for n in 0..stewards {
            let place = ways.place(n).await?;
            ways.places.borrow_mut().push(place);
        }
        for a in 0..stewards {
            for b in 0..stewards {
                ways.ways.borrow_mut().insert((a, b), Way { loss, ..Way::default() });
            }
        }
        Ok(ways)
    }

    async fn place(self: &Rc<Ways>, n: usize) -> std::io::Result<Place> {
        let near = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let shown = near.local_addr()?;
        // A port that the system has just found free; the steward binds it at once.
        let own = std::net::UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
        self.owners.borrow_mut().insert(own, n);
        let (ways, socket) = (self.clone(), near.clone());
        spawn_local(async move { ways.carry(n, &socket).await });
        Ok(Place { near, shown, own })
    }

    /// The steward has another address from now on; nobody is at the old one.
    pub async fn move_on(self: &Rc<Ways>, n: usize) -> std::io::Result<()> {
        let place = self.place(n).await?;
        self.places.borrow_mut()[n] = place;
        Ok(())
    }

    /// Another port for the steward to listen at, where somebody else got the one before: it was free when it was chosen.
    pub fn another_port(&self, n: usize) -> std::io::Result<()> {
        let own = std::net::UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
        self.owners.borrow_mut().insert(own, n);
        self.places.borrow_mut()[n].own = own;
        Ok(())
    }

    async fn carry(self: Rc<Ways>, to: usize, socket: &Rc<UdpSocket>) {
        let shown = socket.local_addr().ok();
        let mut buffer = [0; 512];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
            let Some(from) = self.owners.borrow().get(&from).copied() else {
                self.strangers.set(self.strangers.get() + 1);
                continue;
            };
            self.crossed.borrow_mut().push(Crossed { at: self.now(), from, to, bytes: length });
            let place = self.places.borrow()[to].clone();
            let way = self.ways.borrow().get(&(from, to)).copied().unwrap_or_default();
            let lost = self.chance.borrow_mut().f64() < way.loss;
            if way.cut > 0 || lost || Some(place.shown) != shown {
                continue;
            }
            let source = self.places.borrow()[from].near.clone();
            if way.late.is_zero() {
                // As on a network, what the receiver has no room for is lost.
                let _ = source.try_send_to(&buffer[..length], place.own);
                continue;
            }
            let late = way.late.mul_f64(self.chance.borrow_mut().f64());
            let datagram = buffer[..length].to_vec();
            spawn_local(async move {
                tokio::time::sleep(late).await;
                let _ = source.send_to(&datagram, place.own).await;
            });
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

    pub fn change(&self, of: impl Fn(usize, usize) -> bool, change: impl Fn(&mut Way)) {
        let mut ways = self.ways.borrow_mut();
        ways.iter_mut().filter(|((from, to), _)| of(*from, *to)).for_each(|(_, way)| change(way));
    }

    /// Whether something passes both ways.
    pub fn open_between(&self, a: usize, b: usize) -> bool {
        let ways = self.ways.borrow();
        let open = |from, to| ways.get(&(from, to)).is_some_and(|way| way.cut == 0);
        open(a, b) && open(b, a)
    }
}
