//! Lists that break off, stop or start over.

use ravenspar_standin::platform::{Discovery, ListFault};
use serde_json::json;

use crate::harness::*;

#[tokio::test]
async fn a_watch_that_is_alive_and_tells_nothing_new_holds_no_drain_up_for_good() {
    let (relay, discovery, _, _steward) = at_work().await;
    let calls = discovery.calls();
    discovery.freeze();
    discovery.set("A", "leaving");
    until(&relay, |said| all_at(said, "B")).await;
    assert!(discovery.calls() > calls + 5, "the watch went on");
}

#[tokio::test]
async fn answers_that_break_off_are_asked_for_again() {
    let (relay, discovery, _, _steward) = at_work().await;
    use ListFault::{Broken, Short, Silent, Spoilt};
    discovery.befall(&[Broken, Short, Spoilt, Silent, Broken, Broken, Broken, Broken, Short]);
    moves(&relay, &discovery, "A", "B").await;
    moves(&relay, &discovery, "B", "A").await;
}

#[tokio::test]
async fn an_entry_that_cannot_be_read_holds_up_nothing_but_its_own_host() {
    let (relay, discovery, _, mut steward) = at_work().await;
    discovery.set("C", "of another version");
    assert!(steward.logged("a list that can't be used").await.contains("lifecycle"));
    moves(&relay, &discovery, "A", "B").await;
}

#[tokio::test]
async fn a_discovery_that_counts_from_elsewhere_is_followed() {
    let (relay, discovery, mut config, mut steward) = at_work().await;
    discovery.renumber(40);
    moves(&relay, &discovery, "A", "B").await;
    let elsewhere = Discovery::start(&["A", "B"]).await.expect("discovery");
    config["discovery"] = json!(elsewhere.address.to_string());
    std::fs::write(&steward.config, config.to_string()).expect("written");
    steward.signal("-HUP").await;
    assert!(steward.logged("older than the one held").await.contains("version 1 "));
    moves(&relay, &elsewhere, "B", "A").await;
}
