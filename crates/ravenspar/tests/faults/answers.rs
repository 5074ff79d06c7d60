//! Requests that are read while the system refuses every send: each is answered before its connection closes. Guards against
//! connections that are closed, or cut off to make room, with requests that were read (issue 44).

use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::*;

/// From the bytes' arrival until they are surely read, on a machine that is not overloaded.
const READ: Duration = Duration::from_millis(100);

fn pings(count: usize) -> Vec<u8> {
    frame(r#"{"msg":"PING"}"#).repeat(count)
}

impl Faulty {
    /// A steward whose sends all fail by this error between these times, which have begun.
    async fn refusing_sends(error: i32, from_ms: u64, to_ms: u64) -> Faulty {
        let faulty = Faulty::start(&format!("send {error} {from_ms} {to_ms} 1")).await;
        let mut probe = faulty.steward.connect().await;
        while faulty.delivered(&format!("send Error({error})")) == 0 {
            probe.write_all(&pings(1)).await.expect("taken in");
            sleep(Duration::from_millis(5)).await;
        }
        faulty
    }

    /// So many peers connect and send so many requests each. Returns how each ended.
    async fn ask(&self, peers: usize, requests: usize, ends: &mut JoinSet<Result<(), End>>) {
        for _ in 0..peers {
            let mut peer = self.steward.connect().await;
            ends.spawn(async move {
                peer.write_all(&pings(requests)).await.map_err(|_| End::Kept)?;
                answered_or_unread(&mut peer, requests).await
            });
        }
    }
}

fn lost(ends: Vec<Result<(), End>>) -> Vec<End> {
    ends.into_iter().filter_map(Result::err).filter(|end| *end != End::Kept).collect()
}

#[tokio::test]
async fn requests_read_before_sigterm_are_answered_once_sends_work_again() {
    for (error, to_ms) in [(EINTR, 1_500), (ENOBUFS, 1_400)] {
        let mut faulty = Faulty::refusing_sends(error, 1_000, to_ms).await;
        let mut collector = faulty.steward.connect().await;
        let source = frame(r#"{"msg":"SOURCE","site":"a"}"#);
        collector.write_all(&[source, pings(20)].concat()).await.expect("taken in");
        sleep(READ).await;
        faulty.steward.signal("-TERM").await;
        let ended = answered_or_unread(&mut collector, 20).await;
        assert_eq!(lost(vec![ended]), [], "{error}");
        assert_eq!(faulty.steward.ended().await.code(), Some(0));
    }
}

#[tokio::test]
async fn requests_of_peers_that_make_room_for_others_are_answered() {
    for (error, to_ms, more) in [(EINTR, 1_600, 100), (ENOBUFS, 1_300, 60)] {
        let faulty = Faulty::refusing_sends(error, 900, to_ms).await;
        let mut ends = JoinSet::new();
        faulty.ask(150, 20, &mut ends).await;
        sleep(READ).await;
        faulty.ask(more, 20, &mut ends).await;
        assert_eq!(lost(ends.join_all().await), [], "{error}");
    }
}

#[tokio::test]
async fn requests_of_an_unidentified_peer_are_answered_though_its_second_is_over() {
    let faulty = Faulty::refusing_sends(EINTR, 1_000, 2_400).await;
    let mut peer: TcpStream = faulty.steward.connect().await;
    peer.write_all(&pings(5)).await.expect("taken in");
    assert_eq!(answered_or_unread(&mut peer, 5).await, Ok(()));
}

/// A read that fails ends the connection. What came with it was read all the same and thrown away, where the peer had been turned
/// away a moment before (soak 5250).
#[tokio::test]
async fn requests_are_left_unread_where_a_read_fails_behind_a_nack() {
    let faulty = Faulty::start(&format!("recv {ECONNRESET} 0 20000 2")).await;
    let unknown = frame(r#"{"msg":"SOURCE","site":"nowhere"}"#);
    let (mut turned_away, mut ends) = (0, Vec::new());
    while turned_away < 20 {
        let mut peer = faulty.steward.connect().await;
        if peer.write_all(&unknown).await.is_err() || heard(&mut peer).await.is_none() {
            continue;
        }
        turned_away += 1;
        if peer.write_all(&pings(3)).await.is_ok() {
            ends.push(answered_or_unread(&mut peer, 3).await);
        }
    }
    assert!(faulty.delivered(&format!("recv Error({ECONNRESET})")) >= 20);
    assert_eq!(lost(ends), []);
}
