use super::*;

async fn panic_if(panics: bool) {
    assert!(!panics, "injected panic");
}

#[tokio::test]
async fn only_a_panic_is_reported() {
    let (failures, mut reports) = mpsc::channel(1);
    let on_panic = |why: String| why;
    spawn_supervised("a renewal", panic_if(false), failures.clone(), on_panic);
    spawn_supervised("a word to the store", std::future::pending(), failures.clone(), on_panic).abort();
    spawn_supervised("a step", panic_if(true), failures, on_panic);
    let why = reports.recv().await.expect("the panic is reported");
    assert!(why.starts_with("a step has failed"), "{why}");
    assert!(reports.recv().await.is_none(), "tasks that returned or were aborted are not reported");
}
