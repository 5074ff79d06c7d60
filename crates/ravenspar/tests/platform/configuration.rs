//! The configuration at the start and at SIGHUP.

use std::process::Stdio;
use std::time::Duration;

use ravenspar_standin::platform::{Discovery, Fault, Relay, Said};
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt;
use tokio::process::Command;
use tokio::time::{sleep, timeout};

use crate::harness::*;

#[tokio::test]
async fn new_addresses_are_used_at_once_and_a_broken_file_changes_nothing() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut config = config(&relay, &discovery);
    let mut steward = Steward::start(&config).await;
    until(&relay, |said| said.subscriptions == 1).await;
    std::fs::write(&steward.config, "{\"discovery\":").expect("written");
    steward.signal("-HUP").await;
    assert!(steward.logged("the previous one stays in use").await.contains("expected"));
    // In the midst of a move whose calls are lost.
    relay.befall(&[Fault::Lost, Fault::Unanswered, Fault::Lost]);
    discovery.set("A", "leaving");
    until(&relay, |said| said.calls > 0).await;
    let (other, elsewhere) = (relay.also().await.expect("a relay"), Discovery::start(&["A", "B"]).await);
    let elsewhere = elsewhere.expect("discovery");
    elsewhere.set("A", "leaving");
    config["relay"]["address"] = json!(other.address.to_string());
    config["discovery"] = json!(elsewhere.address.to_string());
    std::fs::write(&steward.config, config.to_string()).expect("written");
    steward.signal("-HUP").await;
    steward.signal("-HUP").await;
    drop((relay, discovery));
    until(&other, |said| all_at(said, "B")).await;
    other.with(|said| kept_the_way(said));
    elsewhere.set("A", "active");
    elsewhere.set("B", "leaving");
    until(&other, |said| all_at(said, "A")).await;
    steward.signal("-HUP").await;
    steward.signal("-TERM").await;
    assert_eq!(steward.ended().await.code(), Some(0));
}

/// An address that takes no connection and refuses none: whoever connects waits. Lives as long as what is returned.
async fn full() -> (std::net::SocketAddr, Vec<tokio::net::TcpStream>, tokio::net::TcpListener) {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bound");
    let listener = socket.listen(1).expect("it listens");
    let at = listener.local_addr().expect("an address");
    let mut filled = Vec::new();
    let connect = || timeout(std::time::Duration::from_millis(500), tokio::net::TcpStream::connect(at));
    while let Ok(taken) = connect().await {
        filled.push(taken.expect("it takes what it has room for"));
    }
    (at, filled, listener)
}

#[tokio::test]
async fn connects_that_wait_at_the_old_addresses_hold_up_neither_the_new_ones_nor_the_end() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut config = config(&relay, &discovery);
    let (waits, _filled, _listener) = full().await;
    config["relay"]["address"] = json!(waits.to_string());
    config["discovery"] = json!(waits.to_string());
    let mut steward = Steward::start(&config).await;
    // Both wait for the whole of their time, again and again, so that the signal comes while they do.
    steward.logged("no connection in time").await;
    config["relay"]["address"] = json!(relay.address.to_string());
    config["discovery"] = json!(discovery.address.to_string());
    std::fs::write(&steward.config, config.to_string()).expect("written");
    steward.signal("-HUP").await;
    until(&relay, |said| said.subscriptions == 1).await;
    moves(&relay, &discovery, "A", "B").await;
    // The same at the end.
    config["relay"]["address"] = json!(waits.to_string());
    std::fs::write(&steward.config, config.to_string()).expect("written");
    steward.signal("-HUP").await;
    steward.logged("no connection in time").await;
    steward.signal("-TERM").await;
    assert_eq!(steward.ended().await.code(), Some(0));
}

#[tokio::test]
async fn a_configuration_that_cannot_be_read_is_an_exit_code_of_two_with_what_was_expected() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("config.json");
    let good = r#""name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","relay":{"address":"127.0.0.1:1"}"#;
    for (text, expected) in [
        ("{".to_owned(), "expected a JSON object"),
        (r#"{"name":"n0","settings":{}}"#.to_owned(), "listen: expected an address"),
        (format!("{{{good}}}"), "settings: expected an object"),
        (format!(r#"{{{good},"settings":{{}}}}"#), "settings.family_info.proxy_count: expected"),
        (
            format!(r#"{{{good},"settings":{{"family_info":{{"proxy_count":1}}}}}}"#),
            "settings.family_info.ranges: expected a number",
        ),
        (
            format!(r#"{{{good},"settings":{{"classes":[{{"name":"x"}},{{"name":"x"}}]}}}}"#),
            "settings.classes.1: expected another name",
        ),
        (
            format!(
                r#"{{{good},"settings":{{"classes":[{{"name":"x"}}],"family_info":{{"mutating":[true,false]}}}}}}"#
            ),
            "settings.family_info.mutating: expected 1 of them",
        ),
        (
            format!(r#"{{{good},"settings":{{"family_info":{{"pushes_allowed":"some"}}}}}}"#),
            "settings.family_info.pushes_allowed: expected a number",
        ),
    ] {
        std::fs::write(&path, text).expect("written");
        let run =
            Command::new(env!("CARGO_BIN_EXE_ravenspar")).arg("platform").env("RELAY_CONFIG", &path).output();
        let output = timeout(PATIENCE, run).await.expect("in time").expect("it ran");
        let said = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(said.contains(expected) && said.contains("config.json"), "{said}");
    }
    let mut run = Command::new(env!("CARGO_BIN_EXE_ravenspar"));
    run.arg("platform").env("RELAY_CONFIG", dir.path().join("none")).stderr(Stdio::null());
    assert_eq!(run.status().await.expect("it ran").code(), Some(2));
}

#[tokio::test]
async fn a_file_that_is_replaced_beside_the_signal_is_read_once_it_is_whole() {
    let (relay, discovery, mut config, mut steward) = at_work().await;
    let (other, elsewhere) = (relay.also().await.expect("a relay"), Discovery::start(&["A", "B"]).await);
    let elsewhere = elsewhere.expect("discovery");
    config["relay"]["address"] = json!(other.address.to_string());
    config["discovery"] = json!(elsewhere.address.to_string());
    let text = config.to_string();
    std::fs::write(&steward.config, &text[..text.len() / 2]).expect("written");
    steward.signal("-HUP").await;
    steward.logged("the previous one stays in use").await;
    // The old addresses close for good, and no other signal comes.
    drop((relay, discovery));
    std::fs::write(&steward.config, &text).expect("written");
    moves(&other, &elsewhere, "A", "B").await;
}

#[tokio::test]
async fn an_address_that_stays_keeps_its_connections() {
    let (relay, discovery, mut config, mut steward) = at_work().await;
    moves(&relay, &discovery, "A", "B").await;
    let elsewhere = Discovery::start(&["A", "B"]).await.expect("discovery");
    config["discovery"] = json!(elsewhere.address.to_string());
    std::fs::write(&steward.config, config.to_string()).expect("written");
    steward.signal("-HUP").await;
    steward.logged("configuration read again").await;
    moves(&relay, &elsewhere, "B", "A").await;
    assert_eq!(relay.with(|said| said.subscriptions), 1, "the news went on");
    let connections = elsewhere.connections();
    let other = relay.also().await.expect("a relay");
    config["relay"]["address"] = json!(other.address.to_string());
    std::fs::write(&steward.config, config.to_string()).expect("written");
    steward.signal("-HUP").await;
    until(&other, |said| said.subscriptions == 2).await;
    moves(&other, &elsewhere, "A", "B").await;
    assert_eq!(elsewhere.connections(), connections, "the watch went on");
    // The same file once more is no reason for anything.
    steward.signal("-HUP").await;
    while !steward.logged("configuration read again").await.contains("changed=false") {}
    moves(&other, &elsewhere, "B", "A").await;
    assert_eq!((other.with(|said| said.subscriptions), elsewhere.connections()), (2, connections));
}

#[tokio::test]
async fn classes_and_zones_go_by_the_names_that_the_settings_give() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut config = config(&relay, &discovery);
    let names = ["saldo, visão", "crédito já", "crédito_já"];
    relay.with(|said| said.classes = names.map(str::to_owned).to_vec());
    config["settings"]["classes"] = names.iter().map(|name| json!({"name": name, "worth": 1.0})).collect();
    config["settings"]["family_info"]["mutating"] = json!([false, true, false]);
    config["settings"]["azs"] = json!(["São Luís", "belém, doca 2"]);
    let steward = Steward::start(&config).await;
    let mut collector = steward.connect().await;
    collector.write_all(&frame(r#"{"msg":"SOURCE","site":"belém, doca 2"}"#)).await.expect("taken in");
    assert!(alive(&mut collector).await, "a zone of the settings");
    until(&relay, |said| said.subscriptions == 1).await;
    moves(&relay, &discovery, "A", "B").await;
    // B is late with all that is asked of it, which is of one class.
    let late = r#"{"msg":"LOAD","site":"belém, doca 2","target":"B","count":100,"fail":0,"mean":5000.0,"over":500.0}"#;
    let asked = r#"{"msg":"SHARD","range":0,"lane":"crédito já","count":200,"fail":0,"over":500.0}"#;
    let levels = |said: &mut Said| {
        let levels: Vec<Value> = said
            .orders
            .iter()
            .filter(|order| order["verb"] == "admit" && order["cluster"] == 0)
            .cloned()
            .collect();
        levels
    };
    let reported = async {
        while relay.with(levels).is_empty() {
            collector.write_all(&frame(late)).await.expect("taken in");
            collector.write_all(&frame(asked)).await.expect("taken in");
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(Duration::from_secs(20), reported).await.expect("a level");
    let levels = relay.with(levels);
    assert_eq!(relay.with(|said| said.refused), 0);
    assert!(
        levels.iter().all(|level| level["routes"] == json!(["crédito já"])),
        "by its name alone: {levels:?}"
    );
}
