//! Checks that links behave as their state says: otherwise a day could keep all rules because no fault took effect.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio_util::codec::BytesCodec;

use super::{DatagramProxy, Endpoint, Link, Links, StreamEvent, StreamProxy};

const CLIENT: Endpoint = Endpoint::Forwarder(0);
const SERVER: Endpoint = Endpoint::Steward(0);

fn block_on(future: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("the runtime is built"), future);
}

/// True if the piece went up, and its bytes.
type Piece = (bool, Vec<u8>);

/// A stream proxy, the listener behind it, the number of streams closed and the pieces relayed.
struct Rig {
    links: Rc<Links>,
    streams: Rc<StreamProxy>,
    listener: TcpListener,
    closed_streams: Rc<Cell<usize>>,
    pieces: Rc<RefCell<Vec<Piece>>>,
}

impl Rig {
    async fn new() -> Rig {
        let links = Links::new(1, Link::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let target = Rc::new(Cell::new(listener.local_addr().ok()));
        let (closed_streams, pieces) = (Rc::new(Cell::new(0)), Rc::new(RefCell::new(Vec::new())));
        let (counted, kept) = (closed_streams.clone(), pieces.clone());
        let watch = Rc::new(move |_, event: StreamEvent| match event {
            StreamEvent::Closed => counted.set(counted.get() + 1),
            StreamEvent::Piece { up, bytes } => kept.borrow_mut().push((up, bytes.to_vec())),
            StreamEvent::Opened => {}
        });
        let streams = StreamProxy::listen(&links, (CLIENT, SERVER), target, BytesCodec::new, watch).await;
        Rig { links, streams: streams.expect("the proxy listens"), listener, closed_streams, pieces }
    }

    async fn open(&self) -> (TcpStream, TcpStream) {
        let client = TcpStream::connect(self.streams.address).await.expect("connected");
        let (server, _) = self.listener.accept().await.expect("accepted");
        (client, server)
    }
}

async fn arrives(at: &mut TcpStream, sent: &[u8]) {
    let mut bytes = vec![0; sent.len()];
    at.read_exact(&mut bytes).await.expect("read");
    assert_eq!(bytes, sent);
}

/// Returns true if the stream stays open without data for a while. The duration is no bound: held data stays held for as long
/// as one waits.
async fn is_silent(at: &mut TcpStream) -> bool {
    tokio::time::timeout(Duration::from_millis(100), at.read_u8()).await.is_err()
}

#[test]
fn cut_holds_one_direction_and_releases_all_data_when_it_ends() {
    block_on(async {
        let rig = Rig::new().await;
        let (mut client, mut server) = rig.open().await;
        rig.links.change([(SERVER, CLIENT)], |link| link.cut += 1);
        client.write_all(b"up").await.expect("written");
        arrives(&mut server, b"up").await;
        server.write_all(b"down").await.expect("written");
        assert!(is_silent(&mut client).await);
        rig.links.change([(SERVER, CLIENT)], |link| link.cut -= 1);
        arrives(&mut client, b"down").await;
        assert_eq!(*rig.pieces.borrow(), [(true, b"up".to_vec()), (false, b"down".to_vec())]);
    });
}

#[test]
fn stream_opened_during_a_cut_is_connected_after_it() {
    block_on(async {
        let rig = Rig::new().await;
        rig.links.change([(CLIENT, SERVER)], |link| link.cut += 1);
        let mut client = TcpStream::connect(rig.streams.address).await.expect("connected");
        client.write_all(b"hello").await.expect("written");
        let accepted = tokio::time::timeout(Duration::from_millis(100), rig.listener.accept());
        assert!(accepted.await.is_err());
        rig.links.change([(CLIENT, SERVER)], |link| link.cut -= 1);
        let (mut server, _) = rig.listener.accept().await.expect("accepted");
        arrives(&mut server, b"hello").await;
    });
}

#[test]
fn closed_link_ends_streams_and_refuses_new_ones_until_its_last_closure_ends() {
    block_on(async {
        let rig = Rig::new().await;
        let (mut client, _server) = rig.open().await;
        rig.links.change([(SERVER, CLIENT)], |link| link.closed += 2);
        assert!(matches!(client.read(&mut [0; 8]).await, Ok(0) | Err(_)));
        rig.links.change([(SERVER, CLIENT)], |link| link.closed -= 1);
        let mut refused = TcpStream::connect(rig.streams.address).await.expect("connected");
        assert!(matches!(refused.read(&mut [0; 8]).await, Ok(0) | Err(_)));
        rig.links.change([(SERVER, CLIENT)], |link| link.closed -= 1);
        let (mut client, mut server) = rig.open().await;
        client.write_all(b"again").await.expect("written");
        arrives(&mut server, b"again").await;
        assert_eq!(rig.closed_streams.get(), 1);
    });
}

#[test]
fn data_sent_before_the_end_arrives_in_order_on_a_slow_lossy_link() {
    block_on(async {
        let rig = Rig::new().await;
        let (mut client, mut server) = rig.open().await;
        let degrade = |link: &mut Link| {
            (link.loss, link.late, link.bytes_per_s) = (0.3, Duration::from_millis(20), Some(20_000))
        };
        rig.links.change([(SERVER, CLIENT)], degrade);
        let began = tokio::time::Instant::now();
        let sent: Vec<u8> = (0..2_000).map(|n| n as u8).collect();
        server.write_all(&sent).await.expect("written");
        drop(server);
        arrives(&mut client, &sent).await;
        assert!(began.elapsed() >= Duration::from_millis(100), "2,000 bytes at 20,000 a second");
        assert_eq!(client.read(&mut [0; 8]).await.expect("the stream ends without an error"), 0);
    });
}

/// Sends datagrams from one steward to another over a link in this state. Returns those that arrived and the number lost.
async fn relay_datagrams(link: Link, sent: u8) -> (Vec<u8>, u64) {
    let links = Links::new(1, Link::default());
    links.change([(Endpoint::Steward(0), Endpoint::Steward(1))], |to| *to = link);
    let proxy = DatagramProxy::open(&links, 2, true).await.expect("open");
    let sockets = [UdpSocket::bind(proxy.addresses(0).1).await, UdpSocket::bind(proxy.addresses(1).1).await];
    let [Ok(first), Ok(second)] = sockets else { panic!("the chosen ports are taken by other processes") };
    for n in 0..sent {
        first.send_to(&[n], proxy.addresses(1).0).await.expect("sent");
        // One at a time, so that no buffer overflows.
        while proxy.received.get() <= u64::from(n) {
            tokio::task::yield_now().await;
        }
    }
    let mut received = Vec::new();
    let mut byte = [0; 1];
    // Delays in these tests are at most 20 ms.
    while let Ok(Ok((_, from))) =
        tokio::time::timeout(Duration::from_millis(200), second.recv_from(&mut byte)).await
    {
        assert_eq!(from, proxy.addresses(0).0, "datagrams come from the sender's address in the lab");
        received.push(byte[0]);
    }
    second.send_to(&[0], proxy.addresses(0).0).await.expect("sent");
    first.recv_from(&mut byte).await.expect("the reverse link is open");
    (received, proxy.lost.get())
}

#[test]
fn datagrams_are_lost_duplicated_and_reordered_as_their_link_says() {
    block_on(async {
        let all: Vec<u8> = (0..100).collect();
        assert_eq!(relay_datagrams(Link::default(), 100).await, (all.clone(), 0));
        assert_eq!(relay_datagrams(Link { cut: 1, ..Link::default() }, 100).await, (Vec::new(), 100));
        let (received, lost) = relay_datagrams(Link { loss: 0.5, ..Link::default() }, 100).await;
        assert!((20..80).contains(&lost) && received.len() as u64 == 100 - lost);
        let (received, _) = relay_datagrams(Link { doubled: 0.5, ..Link::default() }, 100).await;
        assert!((120..180).contains(&received.len()));
        let (mut received, _) =
            relay_datagrams(Link { late: Duration::from_millis(20), ..Link::default() }, 100).await;
        assert_ne!(received, all, "reordered");
        received.sort_unstable();
        assert_eq!(received, all);
    });
}
