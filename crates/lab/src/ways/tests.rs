//! What is said of a way is what happens on it: without this a day could keep all rules as nothing befell it.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio_util::codec::BytesCodec;

use super::{Datagrams, End, Seen, Streams, Way, Ways};

const NEAR: End = End::Forwarder(0);
const FAR: End = End::Steward(0);

fn block_on(future: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), future);
}

/// Whether it went up, and its bytes.
type Piece = (bool, Vec<u8>);

/// A stream through the lab, both its ends, and how often one was seen to shut.
struct Rig {
    ways: Rc<Ways>,
    streams: Rc<Streams>,
    listener: TcpListener,
    shut: Rc<Cell<usize>>,
    pieces: Rc<RefCell<Vec<Piece>>>,
}

impl Rig {
    async fn new() -> Rig {
        let ways = Ways::new(1, Way::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let target = Rc::new(Cell::new(listener.local_addr().ok()));
        let (shut, pieces) = (Rc::new(Cell::new(0)), Rc::new(RefCell::new(Vec::new())));
        let (counted, kept) = (shut.clone(), pieces.clone());
        let watch = Rc::new(move |_, seen: Seen| match seen {
            Seen::Shut => counted.set(counted.get() + 1),
            Seen::Piece { up, bytes } => kept.borrow_mut().push((up, bytes.to_vec())),
            Seen::Opened => {}
        });
        let streams = Streams::listen(&ways, (NEAR, FAR), target, BytesCodec::new, watch).await;
        Rig { ways, streams: streams.expect("listens"), listener, shut, pieces }
    }

    async fn open(&self) -> (TcpStream, TcpStream) {
        let near = TcpStream::connect(self.streams.address).await.expect("connected");
        let (far, _) = self.listener.accept().await.expect("accepted");
        (near, far)
    }
}

async fn arrives(at: &mut TcpStream, sent: &[u8]) {
    let mut bytes = vec![0; sent.len()];
    at.read_exact(&mut bytes).await.expect("read");
    assert_eq!(bytes, sent);
}

/// Whether it stays open and silent for a while. Not a bound on time: what is held is held however long one looks.
async fn is_silent(at: &mut TcpStream) -> bool {
    tokio::time::timeout(Duration::from_millis(100), at.read_u8()).await.is_err()
}

#[test]
fn a_cut_holds_one_direction_and_lets_go_of_all_when_it_ends() {
    block_on(async {
        let rig = Rig::new().await;
        let (mut near, mut far) = rig.open().await;
        rig.ways.change([(FAR, NEAR)], |way| way.cut += 1);
        near.write_all(b"up").await.expect("written");
        arrives(&mut far, b"up").await;
        far.write_all(b"down").await.expect("written");
        assert!(is_silent(&mut near).await);
        rig.ways.change([(FAR, NEAR)], |way| way.cut -= 1);
        arrives(&mut near, b"down").await;
        assert_eq!(*rig.pieces.borrow(), [(true, b"up".to_vec()), (false, b"down".to_vec())]);
    });
}

#[test]
fn a_stream_that_is_opened_in_a_cut_comes_about_after_it() {
    block_on(async {
        let rig = Rig::new().await;
        rig.ways.change([(NEAR, FAR)], |way| way.cut += 1);
        let mut near = TcpStream::connect(rig.streams.address).await.expect("connected");
        near.write_all(b"hello").await.expect("written");
        let waits = tokio::time::timeout(Duration::from_millis(100), rig.listener.accept());
        assert!(waits.await.is_err());
        rig.ways.change([(NEAR, FAR)], |way| way.cut -= 1);
        let (mut far, _) = rig.listener.accept().await.expect("accepted");
        arrives(&mut far, b"hello").await;
    });
}

#[test]
fn what_is_closed_ends_and_is_refused_until_the_last_to_close_it_opens_it() {
    block_on(async {
        let rig = Rig::new().await;
        let (mut near, _far) = rig.open().await;
        rig.ways.change([(FAR, NEAR)], |way| way.closed += 2);
        assert!(matches!(near.read(&mut [0; 8]).await, Ok(0) | Err(_)));
        rig.ways.change([(FAR, NEAR)], |way| way.closed -= 1);
        let mut refused = TcpStream::connect(rig.streams.address).await.expect("connected");
        assert!(matches!(refused.read(&mut [0; 8]).await, Ok(0) | Err(_)));
        rig.ways.change([(FAR, NEAR)], |way| way.closed -= 1);
        let (mut near, mut far) = rig.open().await;
        near.write_all(b"again").await.expect("written");
        arrives(&mut far, b"again").await;
        assert_eq!(rig.shut.get(), 1);
    });
}

#[test]
fn what_was_sent_before_an_end_arrives_on_a_slow_and_late_way_in_order() {
    block_on(async {
        let rig = Rig::new().await;
        let (mut near, mut far) = rig.open().await;
        let bad =
            |way: &mut Way| (way.loss, way.late, way.pace) = (0.3, Duration::from_millis(20), Some(20_000));
        rig.ways.change([(FAR, NEAR)], bad);
        let began = tokio::time::Instant::now();
        let sent: Vec<u8> = (0..2_000).map(|n| n as u8).collect();
        far.write_all(&sent).await.expect("written");
        drop(far);
        arrives(&mut near, &sent).await;
        assert!(began.elapsed() >= Duration::from_millis(100), "2,000 bytes at 20,000 a second");
        assert_eq!(near.read(&mut [0; 8]).await.expect("ended"), 0);
    });
}

/// Two stewards' sockets, and what came to the second of so many datagrams.
async fn datagrams(way: Way, sent: u8) -> (Vec<u8>, u64) {
    let ways = Ways::new(1, Way::default());
    ways.change([(End::Steward(0), End::Steward(1))], |to| *to = way);
    let between = Datagrams::open(&ways, 2, true).await.expect("open");
    let own = [UdpSocket::bind(between.of(0).1).await, UdpSocket::bind(between.of(1).1).await];
    let [Ok(first), Ok(second)] = own else { panic!("the ports found free are taken") };
    for n in 0..sent {
        first.send_to(&[n], between.of(1).0).await.expect("sent");
        // One at a time, so that no buffer is too small.
        while between.came.get() <= u64::from(n) {
            tokio::task::yield_now().await;
        }
    }
    let mut came = Vec::new();
    let mut byte = [0; 1];
    // Late ones come within 20 ms.
    while let Ok(Ok((_, from))) =
        tokio::time::timeout(Duration::from_millis(200), second.recv_from(&mut byte)).await
    {
        assert_eq!(from, between.of(0).0, "answers take the way back");
        came.push(byte[0]);
    }
    second.send_to(&[0], between.of(0).0).await.expect("sent");
    first.recv_from(&mut byte).await.expect("the way back is another");
    (came, between.lost.get())
}

#[test]
fn datagrams_are_lost_doubled_and_out_of_order_as_their_way_is() {
    block_on(async {
        let whole: Vec<u8> = (0..100).collect();
        assert_eq!(datagrams(Way::default(), 100).await, (whole.clone(), 0));
        assert_eq!(datagrams(Way { cut: 1, ..Way::default() }, 100).await, (Vec::new(), 100));
        let (came, lost) = datagrams(Way { loss: 0.5, ..Way::default() }, 100).await;
        assert!((20..80).contains(&lost) && came.len() as u64 == 100 - lost);
        let (came, _) = datagrams(Way { doubled: 0.5, ..Way::default() }, 100).await;
        assert!((120..180).contains(&came.len()));
        let (mut came, _) = datagrams(Way { late: Duration::from_millis(20), ..Way::default() }, 100).await;
        assert_ne!(came, whole, "out of order");
        came.sort_unstable();
        assert_eq!(came, whole);
    });
}
