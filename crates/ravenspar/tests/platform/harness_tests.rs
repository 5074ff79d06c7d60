//! Tests that the harness tells a request that was read from one that was not.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::harness::is_left_unread;

/// Longer than the harness waits for a reset after everything is acknowledged.
const CLOSED_LATE: Duration = Duration::from_millis(300);

async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (client.expect("a connection"), accepted.expect("a connection").0)
}

/// Guards against a burst that CI took for lost: it reached a socket as it closed, and its reset came 200 ms
/// later, when the burst was sent again.
#[tokio::test]
async fn data_in_flight_at_the_end_of_the_stream_counts_as_unread() {
    let (mut client, mut server) = connection().await;
    while client.try_write(&[0; 65536]).is_ok() {}
    server.shutdown().await.expect("the end of the stream");
    assert_eq!(client.read(&mut [0; 8]).await.expect("the end of the stream"), 0);
    let closed = tokio::spawn(async move {
        sleep(CLOSED_LATE).await;
        drop(server);
    });
    assert!(is_left_unread(&client).await);
    closed.await.expect("closed");
}

#[tokio::test]
async fn data_read_before_the_end_of_the_stream_does_not_count_as_unread() {
    let (mut client, mut server) = connection().await;
    client.write_all(&[0; 100]).await.expect("requests are sent");
    server.read_exact(&mut [0; 100]).await.expect("requests");
    drop(server);
    assert_eq!(client.read(&mut [0; 8]).await.expect("the end of the stream"), 0);
    assert!(!is_left_unread(&client).await);
}
