//! Relays datagrams between stewards.
//!
//! The address at which a steward is reached by the others is a socket of the lab. A datagram that another steward sends there
//! is forwarded from that sender's own socket in the lab, so that responses take the reverse link.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use super::{Endpoint, Links};

/// The lab's socket for a steward and the address at which the steward itself listens.
#[derive(Clone)]
struct StewardSocket {
    socket: Rc<UdpSocket>,
    /// Address of `socket`, at which the other stewards reach this one.
    advertised: SocketAddr,
    listen: SocketAddr,
}

/// A datagram that a steward sent, whether it arrived or not.
#[derive(Clone, Copy, Debug)]
pub struct SentDatagram {
    /// Milliseconds since the start of the day.
    pub at: u64,
    pub from: usize,
    pub to: usize,
    pub bytes: usize,
}

/// The proxy for all datagrams between the stewards of a day.
pub struct DatagramProxy {
    links: Rc<Links>,
    sockets: RefCell<Vec<StewardSocket>>,
    /// Numbers of stewards by the addresses they listen at, including earlier ones.
    steward_by_addr: RefCell<BTreeMap<SocketAddr, usize>>,
    /// All datagrams sent, if they are logged.
    pub log: Option<RefCell<Vec<SentDatagram>>>,
    /// Number of datagrams lost to cuts, to the loss rate or at an earlier address.
    pub lost: Cell<u64>,
    /// Number of datagrams received from stewards.
    pub received: Cell<u64>,
    began: std::time::Instant,
}

impl DatagramProxy {
    /// Opens the sockets for all stewards. With `keep_log`, each datagram is logged for the judge.
    pub async fn open(
        links: &Rc<Links>,
        stewards: usize,
        keep_log: bool,
    ) -> std::io::Result<Rc<DatagramProxy>> {
        let datagrams = Rc::new(DatagramProxy {
            links: links.clone(),
            sockets: RefCell::default(),
            steward_by_addr: RefCell::default(),
            log: keep_log.then(RefCell::default),
            lost: Cell::new(0),
            received: Cell::new(0),
            began: std::time::Instant::now(),
        });
        for n in 0..stewards {
            let steward = datagrams.open_socket(n).await?;
            datagrams.sockets.borrow_mut().push(steward);
        }
        Ok(datagrams)
    }

    async fn open_socket(self: &Rc<DatagramProxy>, n: usize) -> std::io::Result<StewardSocket> {
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let advertised = socket.local_addr()?;
        // A port that the system has just found free; the steward binds it at once.
        let listen = std::net::UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
        self.steward_by_addr.borrow_mut().insert(listen, n);
        let (datagrams, receiver) = (self.clone(), socket.clone());
        spawn_local(async move { datagrams.relay(n, &receiver).await });
        Ok(StewardSocket { socket, advertised, listen })
    }

    /// Gives the steward a new address. Datagrams to the old one are lost.
    pub async fn move_to_new_address(self: &Rc<DatagramProxy>, n: usize) -> std::io::Result<()> {
        let steward = self.open_socket(n).await?;
        self.sockets.borrow_mut()[n] = steward;
        Ok(())
    }

    /// Chooses another port for the steward to listen at, since another process may have taken the previous one between its
    /// choice and its use.
    fn choose_other_port(&self, n: usize) -> std::io::Result<()> {
        let listen = std::net::UdpSocket::bind("127.0.0.1:0")?.local_addr()?;
        self.steward_by_addr.borrow_mut().insert(listen, n);
        self.sockets.borrow_mut()[n].listen = listen;
        Ok(())
    }

    /// Starts a steward by `start`, which is called again with another port each time it fails: another process may have taken
    /// the port by then.
    pub async fn start_with_free_port<T, E: From<std::io::Error>>(
        &self,
        n: usize,
        start: impl AsyncFn() -> Result<T, E>,
    ) -> Result<T, E> {
        /// Attempts to get a port that stays free until the steward binds it.
        const MAX_ATTEMPTS: usize = 8;
        for _ in 1..MAX_ATTEMPTS {
            if let Ok(started) = start().await {
                return Ok(started);
            }
            self.choose_other_port(n)?;
        }
        start().await
    }

    /// Relays all datagrams that arrive at the socket for steward `to`.
    async fn relay(self: Rc<DatagramProxy>, to: usize, socket: &Rc<UdpSocket>) {
        let advertised = socket.local_addr().ok();
        let mut buffer = [0; 512];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
            // Not from a steward of this day: a person who queries a steward, or another day on this machine.
            let Some(from) = self.steward_by_addr.borrow().get(&from).copied() else { continue };
            self.received.set(self.received.get() + 1);
            if let Some(log) = &self.log {
                log.borrow_mut().push(SentDatagram { at: self.now(), from, to, bytes: length });
            }
            let steward = self.sockets.borrow()[to].clone();
            let link = self.links.state(Endpoint::Steward(from), Endpoint::Steward(to));
            let closed = link.cut + link.closed > 0 || Some(steward.advertised) != advertised;
            if closed || self.links.happens(link.loss) {
                self.lost.set(self.lost.get() + 1);
                continue;
            }
            let source = self.sockets.borrow()[from].socket.clone();
            let copies = 1 + usize::from(self.links.happens(link.doubled));
            for _ in 0..copies {
                if link.late.is_zero() {
                    // As on a network, a datagram is lost if the receiver's buffer is full.
                    let _ = source.try_send_to(&buffer[..length], steward.listen);
                    continue;
                }
                let (late, datagram) = (self.links.random_delay(link.late), buffer[..length].to_vec());
                let source = source.clone();
                spawn_local(async move {
                    tokio::time::sleep(late).await;
                    let _ = source.send_to(&datagram, steward.listen).await;
                });
            }
        }
    }

    /// Milliseconds since the start of the day.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// The addresses at which the others reach the steward and at which it listens.
    pub fn addresses(&self, n: usize) -> (SocketAddr, SocketAddr) {
        let steward = &self.sockets.borrow()[n];
        (steward.advertised, steward.listen)
    }

    /// The numbers of datagrams sent and lost, as text.
    pub fn counts(&self) -> String {
        format!("{} sent, {} lost", self.received.get(), self.lost.get())
    }

    /// The `fleet` section of a steward's settings, with all stewards as peers.
    pub fn settings(&self, n: usize) -> serde_json::Value {
        let (advertised, listen) = self.addresses(n);
        let peers: Vec<String> =
            self.sockets.borrow().iter().map(|steward| steward.advertised.to_string()).collect();
        serde_json::json!({
            "name": format!("steward-{n}"), "listen": listen.to_string(), "address": advertised.to_string(), "key": "fleet.key",
            "peers": peers,
        })
    }
}

/// Writes the file `fleet.key` with the stewards' shared key, readable by its owner only, and returns its path.
pub fn make_key(dir: &std::path::Path) -> std::io::Result<std::path::PathBuf> {
    use std::os::unix::fs::PermissionsExt as _;
    let key = dir.join("fleet.key");
    std::fs::write(&key, "a key for the fleet of a lab's day, long enough")?;
    std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600))?;
    Ok(key)
}
