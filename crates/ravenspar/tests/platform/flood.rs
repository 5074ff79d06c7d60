//! A flood of reports while other work is due.

use std::time::Instant;

use tokio::io::AsyncWriteExt;

use crate::harness::*;

#[tokio::test]
async fn a_flood_of_reports_delays_neither_answers_nor_lists_nor_shutdown() {
    let (relay, discovery, _, mut steward) = start_serving().await;
    let mut floods = tokio::task::JoinSet::new();
    for zone in ["a", "b"] {
        for _ in 0..4 {
            let mut collector = steward.connect().await;
            let source = format!(r#"{{"msg":"SOURCE","site":"{zone}"}}"#);
            collector.write_all(&frame(&source)).await.expect("the message is sent");
            assert!(answers_ping(&mut collector).await);
            let load = r#"{"msg":"LOAD","site":"a","target":"A","count":1,"fail":0,"mean":1,"over":500}"#;
            let burst = frame(load).repeat(200);
            floods.spawn(async move { while collector.write_all(&burst).await.is_ok() {} });
        }
    }
    let started = Instant::now();
    for _ in 0..3 {
        move_all_slices(&relay, &discovery, "A", "B").await;
        move_all_slices(&relay, &discovery, "B", "A").await;
    }
    println!("six moves of all slices beside a flood: {:?}", started.elapsed());
    assert!(floods.try_join_next().is_none(), "no collector was closed");
    let signalled_at = Instant::now();
    assert_eq!(steward.terminate_and_count_log("news have broken off").await, 0);
    assert_eq!(steward.wait_exit().await.code(), Some(0));
    println!("from SIGTERM to the end: {:?}", signalled_at.elapsed());
}
