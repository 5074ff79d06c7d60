//! Whoever reads the log holds nothing up, and ends nothing.

use ravenspar_standin::platform::{Discovery, Relay};
use tokio::io::AsyncWriteExt;

use crate::harness::*;

/// Far more than a pipe holds, and than the steward keeps for whoever reads it.
const REPORTS: usize = 40;

/// A steward that logs whatever it hears, with a collector that has reported megabytes to it.
async fn flooded(steward: &Steward) -> tokio::net::TcpStream {
    let mut collector = steward.connect().await;
    collector.write_all(&frame(r#"{"msg":"SOURCE","site":"a"}"#)).await.expect("taken in");
    let long = format!(r#"{{"msg":"RATE","site":"a","long":"{}"}}"#, "x".repeat(1 << 16));
    for _ in 0..REPORTS {
        collector.write_all(&frame(&long)).await.expect("taken in");
    }
    // Answered behind all of it.
    assert!(alive(&mut collector).await);
    collector
}

#[tokio::test]
async fn a_log_that_nobody_reads_on_stops_nothing() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut steward = Steward::start_with(&config(&relay, &discovery), "--log trace").await;
    until(&relay, |said| said.subscriptions == 1).await;
    let _collector = flooded(&steward).await;
    moves(&relay, &discovery, "A", "B").await;
    // What was left out is said once it is read again.
    steward.logged("lines of the log were left out").await;
    steward.signal("-TERM").await;
    steward.read_log().await;
    assert_eq!(steward.ended().await.code(), Some(0));
}

#[tokio::test]
async fn a_log_that_nobody_reads_on_holds_no_end_up() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut steward = Steward::start_with(&config(&relay, &discovery), "--log trace").await;
    let _collector = flooded(&steward).await;
    steward.signal("-TERM").await;
    assert_eq!(steward.ended().await.code(), Some(0));
}

#[tokio::test]
async fn a_log_whose_reader_is_gone_ends_nothing() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut steward = Steward::start_with(&config(&relay, &discovery), "--log trace").await;
    steward.close_log();
    let mut collector = steward.connect().await;
    assert!(alive(&mut collector).await);
    moves(&relay, &discovery, "A", "B").await;
    steward.signal("-HUP").await;
    assert!(alive(&mut collector).await);
    steward.signal("-TERM").await;
    assert_eq!(steward.ended().await.code(), Some(0));
}
