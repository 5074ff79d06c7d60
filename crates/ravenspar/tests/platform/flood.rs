//! A flood of reports beside what is owed.

use std::time::Instant;

use tokio::io::AsyncWriteExt;

use crate::harness::*;

#[tokio::test]
async fn a_flood_of_reports_holds_up_neither_answers_nor_lists_nor_the_end() {
    let (relay, discovery, _, mut steward) = at_work().await;
    let mut floods = tokio::task::JoinSet::new();
    for zone in ["a", "b"] {
        for _ in 0..4 {
            let mut collector = steward.connect().await;
            let source = format!(r#"{{"msg":"SOURCE","site":"{zone}"}}"#);
            collector.write_all(&frame(&source)).await.expect("taken in");
            assert!(alive(&mut collector).await);
            let load = r#"{"msg":"LOAD","site":"a","target":"A","count":1,"fail":0,"mean":1,"over":500}"#;
            let much = frame(load).repeat(200);
            floods.spawn(async move { while collector.write_all(&much).await.is_ok() {} });
        }
    }
    let began = Instant::now();
    for _ in 0..3 {
        moves(&relay, &discovery, "A", "B").await;
        moves(&relay, &discovery, "B", "A").await;
    }
    println!("six moves of all slices beside a flood: {:?}", began.elapsed());
    assert!(floods.try_join_next().is_none(), "no collector was closed");
    let asked = Instant::now();
    assert_eq!(steward.ended_with("news have broken off").await, 0);
    assert_eq!(steward.ended().await.code(), Some(0));
    println!("from SIGTERM to the end: {:?}", asked.elapsed());
}
