use super::*;

#[tokio::test]
async fn a_source_that_has_ended_is_a_fault_and_no_silence() {
    let (told, mut news) = mpsc::channel(1);
    told.send(News::Failed("not now".to_owned())).await.expect("heard");
    drop(told);
    assert!(matches!(next(&mut news).await, Ok(News::Failed(_))), "what was said before is heard first");
    assert!(matches!(next(&mut news).await, Err(Fault::Failed(_))));
}
