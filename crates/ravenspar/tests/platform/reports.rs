//! Collectors' reports with invalid ones among them.

use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

use crate::harness::*;

/// Returns the levels that were ordered for slice 0.
fn levels(orders: &[Value]) -> Vec<Value> {
    let of_slice = |order: &&Value| order["verb"] == "admit" && order["cluster"] == 0;
    orders.iter().filter(of_slice).cloned().collect()
}

#[tokio::test]
async fn valid_reports_count_despite_invalid_ones_around_them() {
    const INVALID: [&str; 5] = [
        r#"{"msg":"LOAD","site":"a","target":"B","count":"many","fail":0,"mean":1.0,"over":500.0}"#,
        r#"{"msg":"LOAD","site":"a","target":"B","count":100,"fail":101,"mean":1.0,"over":500.0}"#,
        r#"{"msg":"SHARD","range":99,"lane":"lookup","count":200,"fail":0,"over":500.0}"#,
        r#"{"msg":"SHARD","range":0,"lane":"none","count":200,"fail":0,"over":500.0}"#,
        r#"{"msg":7}"#,
    ];
    // B answers all requests late; they are of one class.
    const LATE: &str =
        r#"{"msg":"LOAD","site":"a","target":"B","count":100,"fail":0,"mean":5000.0,"over":500.0}"#;
    const REQUESTS: &str = r#"{"msg":"SHARD","range":0,"lane":"lookup","count":200,"fail":0,"over":500.0}"#;
    let (relay, discovery, _, steward) = start_serving().await;
    let mut collector = steward.connect().await;
    collector.write_all(&frame(r#"{"msg":"SOURCE","site":"a"}"#)).await.expect("the reports are sent");
    move_all_slices(&relay, &discovery, "A", "B").await;
    let valid_among_invalid: Vec<u8> = INVALID
        .iter()
        .flat_map(|invalid| [frame(invalid), frame(LATE), frame(invalid), frame(REQUESTS), frame(invalid)])
        .flatten()
        .collect();
    let reported = async {
        while relay.with(|state| levels(&state.orders)).is_empty() {
            collector.write_all(&valid_among_invalid).await.expect("the reports are sent");
            sleep(Duration::from_millis(500)).await;
        }
    };
    timeout(Duration::from_secs(20), reported).await.expect("a level is ordered in time");
    let levels = relay.with(|state| levels(&state.orders));
    assert!(
        levels.iter().all(|level| level["routes"] == json!(["lookup"])),
        "only valid reports count: {levels:?}"
    );
    assert!(answers_ping(&mut collector).await, "the connection stays open");
}
