//! A reader of the log that stops or goes away must not block or end the process.

use ravenspar_standin::platform::{Discovery, Relay};
use tokio::io::AsyncWriteExt;

use crate::harness::*;

/// Far more than a pipe and the steward's log buffer hold.
const REPORTS: usize = 40;

/// Connects a collector that makes a steward at log level trace log megabytes.
async fn flood_log(steward: &Steward) -> tokio::net::TcpStream {
    let mut collector = steward.connect().await;
    collector.write_all(&frame(r#"{"msg":"SOURCE","site":"a"}"#)).await.expect("the message is sent");
    let long_report = format!(r#"{{"msg":"RATE","site":"a","long":"{}"}}"#, "x".repeat(1 << 16));
    for _ in 0..REPORTS {
        collector.write_all(&frame(&long_report)).await.expect("the message is sent");
    }
    // The pong follows all reports.
    assert!(answers_ping(&mut collector).await);
    collector
}

#[tokio::test]
async fn a_log_that_is_not_read_blocks_nothing() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut steward = Steward::start_with(&config(&relay, &discovery), "--log trace").await;
    wait_until(&relay, |state| state.subscriptions == 1).await;
    let _collector = flood_log(&steward).await;
    move_all_slices(&relay, &discovery, "A", "B").await;
    // The number of dropped lines is logged once the log is read again.
    steward.wait_for_log("lines of the log were left out").await;
    steward.signal("-TERM").await;
    steward.drain_log().await;
    assert_eq!(steward.wait_exit().await.code(), Some(0));
}

#[tokio::test]
async fn a_log_that_is_not_read_does_not_delay_exit() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut steward = Steward::start_with(&config(&relay, &discovery), "--log trace").await;
    let _collector = flood_log(&steward).await;
    steward.signal("-TERM").await;
    assert_eq!(steward.wait_exit().await.code(), Some(0));
}

#[tokio::test]
async fn a_closed_log_does_not_end_the_process() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut steward = Steward::start_with(&config(&relay, &discovery), "--log trace").await;
    steward.close_log();
    let mut collector = steward.connect().await;
    assert!(answers_ping(&mut collector).await);
    move_all_slices(&relay, &discovery, "A", "B").await;
    steward.signal("-HUP").await;
    assert!(answers_ping(&mut collector).await);
    steward.signal("-TERM").await;
    assert_eq!(steward.wait_exit().await.code(), Some(0));
}
