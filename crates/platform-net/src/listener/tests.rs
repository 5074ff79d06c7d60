//! The limit on unidentified peers closes the oldest connections.

use super::*;

/// A connection whose peer has sent nothing.
fn idle_connection() -> Connection {
    Connection {
        task: tokio::spawn(std::future::pending::<()>()).abort_handle(),
        closing: CancellationToken::new(),
    }
}

/// A new peer may have sent its greeting already: its own task reads it and reports later.
#[tokio::test]
async fn the_oldest_are_closed_and_the_newest_stay() {
    let mut unidentified: VecDeque<Connection> = (0..5).map(|_| idle_connection()).collect();
    let closing: Vec<CancellationToken> = unidentified.iter().map(|peer| peer.closing.clone()).collect();
    limit_unidentified(&mut unidentified, 3);
    let cancelled: Vec<bool> = closing.iter().map(CancellationToken::is_cancelled).collect();
    assert_eq!(cancelled, [true, true, false, false, false]);
    assert_eq!(unidentified.len(), 3);
}

/// Ended connections don't count, and none is closed for them.
#[tokio::test]
async fn none_is_closed_below_the_limit() {
    let mut unidentified: VecDeque<Connection> = (0..4).map(|_| idle_connection()).collect();
    let closing: Vec<CancellationToken> = unidentified.iter().map(|peer| peer.closing.clone()).collect();
    for ended in unidentified.iter().skip(2) {
        ended.task.abort();
    }
    while unidentified.iter().filter(|peer| peer.task.is_finished()).count() < 2 {
        tokio::task::yield_now().await;
    }
    limit_unidentified(&mut unidentified, 2);
    assert_eq!(unidentified.len(), 2);
    assert!(!closing.iter().any(CancellationToken::is_cancelled));
}
