//! Requests that are read while every send fails: each is answered before its connection closes. Guards
//! against connections that are closed, or pushed out by new ones, with requests that were read (issue 44).

use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::*;

/// Time from the arrival of bytes until they are surely read, on a machine that is not overloaded.
const READ_TIME: Duration = Duration::from_millis(100);

fn pings(count: usize) -> Vec<u8> {
    frame(r#"{"msg":"PING"}"#).repeat(count)
}

impl Faulty {
    /// Starts a steward whose sends all fail with this error from `from_ms` to `to_ms`, and waits until they
    /// do.
    async fn refusing_sends(error: i32, from_ms: u64, to_ms: u64) -> Faulty {
        let faulty = Faulty::start(&format!("send {error} {from_ms} {to_ms} 1")).await;
        let mut probe = faulty.steward.connect().await;
        while faulty.delivered(&format!("send Error({error})")) == 0 {
            probe.write_all(&pings(1)).await.expect("the message is sent");
            sleep(Duration::from_millis(5)).await;
        }
        faulty
    }

    /// Connects `peers` peers that send `requests` requests each; `ends` returns how each connection ended.
    async fn ask(&self, peers: usize, requests: usize, ends: &mut JoinSet<Result<(), ConnectionEnd>>) {
        for _ in 0..peers {
            let mut peer = self.steward.connect().await;
            ends.spawn(async move {
                peer.write_all(&pings(requests)).await.map_err(|_| ConnectionEnd::NothingLost)?;
                read_pongs(&mut peer, requests).await
            });
        }
    }
}

fn lost_answers(ends: Vec<Result<(), ConnectionEnd>>) -> Vec<ConnectionEnd> {
    ends.into_iter().filter_map(Result::err).filter(|end| *end != ConnectionEnd::NothingLost).collect()
}

#[tokio::test]
async fn requests_read_before_sigterm_are_answered_once_sends_work_again() {
    for (error, to_ms) in [(EINTR, 1_500), (ENOBUFS, 1_400)] {
        let mut faulty = Faulty::refusing_sends(error, 1_000, to_ms).await;
        let mut collector = faulty.steward.connect().await;
        let source = frame(r#"{"msg":"SOURCE","site":"a"}"#);
        collector.write_all(&[source, pings(20)].concat()).await.expect("the message is sent");
        sleep(READ_TIME).await;
        faulty.steward.signal("-TERM").await;
        let ended = read_pongs(&mut collector, 20).await;
        assert_eq!(lost_answers(vec![ended]), [], "{error}");
        assert_eq!(faulty.steward.wait_exit().await.code(), Some(0));
    }
}

#[tokio::test]
async fn requests_of_peers_that_are_pushed_out_are_answered() {
    for (error, to_ms, more) in [(EINTR, 1_600, 100), (ENOBUFS, 1_300, 60)] {
        let faulty = Faulty::refusing_sends(error, 900, to_ms).await;
        let mut ends = JoinSet::new();
        faulty.ask(150, 20, &mut ends).await;
        sleep(READ_TIME).await;
        faulty.ask(more, 20, &mut ends).await;
        assert_eq!(lost_answers(ends.join_all().await), [], "{error}");
    }
}

#[tokio::test]
async fn requests_of_an_unidentified_peer_are_answered_past_its_greeting_timeout() {
    let faulty = Faulty::refusing_sends(EINTR, 1_000, 2_400).await;
    let mut peer: TcpStream = faulty.steward.connect().await;
    peer.write_all(&pings(5)).await.expect("the message is sent");
    assert_eq!(read_pongs(&mut peer, 5).await, Ok(()));
}

/// Guards against requests that were read and dropped together with a failing read, after the peer had been
/// rejected (soak 5250).
#[tokio::test]
async fn requests_are_left_unread_if_a_read_fails_after_a_nack() {
    let faulty = Faulty::start(&format!("recv {ECONNRESET} 0 20000 2")).await;
    let unknown = frame(r#"{"msg":"SOURCE","site":"nowhere"}"#);
    let (mut rejected, mut ends) = (0, Vec::new());
    while rejected < 20 {
        let mut peer = faulty.steward.connect().await;
        if peer.write_all(&unknown).await.is_err() || read_frame(&mut peer).await.is_none() {
            continue;
        }
        rejected += 1;
        if peer.write_all(&pings(3)).await.is_ok() {
            ends.push(read_pongs(&mut peer, 3).await);
        }
    }
    assert!(faulty.delivered(&format!("recv Error({ECONNRESET})")) >= 20);
    assert_eq!(lost_answers(ends), []);
}
