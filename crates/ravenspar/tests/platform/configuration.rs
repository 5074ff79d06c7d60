//! The configuration at the start and at SIGHUP.

use std::process::Stdio;
use std::time::Duration;

use ravenspar_standin::platform::{Discovery, Fault, Relay, RelayState};
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
    wait_until(&relay, |state| state.subscriptions == 1).await;
    std::fs::write(&steward.config, "{\"discovery\":").expect("the file is written");
    steward.signal("-HUP").await;
    assert!(steward.wait_for_log("the previous one stays in use").await.contains("expected"));
    // During a move whose calls are lost.
    relay.inject(&[Fault::Lost, Fault::Unanswered, Fault::Lost]);
    discovery.set("A", "leaving");
    wait_until(&relay, |state| state.calls > 0).await;
    let (new_relay, new_discovery) =
        (relay.at_new_address().await.expect("a relay"), Discovery::start(&["A", "B"]).await);
    let new_discovery = new_discovery.expect("discovery");
    new_discovery.set("A", "leaving");
    config["relay"]["address"] = json!(new_relay.address.to_string());
    config["discovery"] = json!(new_discovery.address.to_string());
    std::fs::write(&steward.config, config.to_string()).expect("the file is written");
    steward.signal("-HUP").await;
    steward.signal("-HUP").await;
    drop((relay, discovery));
    wait_until(&new_relay, |state| all_slices_at(state, "B")).await;
    new_relay.with(|state| assert_moves_revoke_first(state));
    new_discovery.set("A", "active");
    new_discovery.set("B", "leaving");
    wait_until(&new_relay, |state| all_slices_at(state, "A")).await;
    steward.signal("-HUP").await;
    steward.signal("-TERM").await;
    assert_eq!(steward.wait_exit().await.code(), Some(0));
}

/// Returns an address where connects neither succeed nor fail, for as long as the other returned values live.
async fn unresponsive_address() -> (std::net::SocketAddr, Vec<tokio::net::TcpStream>, tokio::net::TcpListener)
{
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("bound");
    let listener = socket.listen(1).expect("it listens");
    let at = listener.local_addr().expect("an address");
    let mut filled = Vec::new();
    let connect = || timeout(std::time::Duration::from_millis(500), tokio::net::TcpStream::connect(at));
    while let Ok(taken) = connect().await {
        filled.push(taken.expect("the backlog takes it"));
    }
    (at, filled, listener)
}

#[tokio::test]
async fn pending_connects_to_old_addresses_delay_neither_the_new_ones_nor_shutdown() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut config = config(&relay, &discovery);
    let (unresponsive, _filled, _listener) = unresponsive_address().await;
    config["relay"]["address"] = json!(unresponsive.to_string());
    config["discovery"] = json!(unresponsive.to_string());
    let mut steward = Steward::start(&config).await;
    // Both connects wait for their full timeout again and again, so the signal arrives during one.
    steward.wait_for_log("no connection in time").await;
    config["relay"]["address"] = json!(relay.address.to_string());
    config["discovery"] = json!(discovery.address.to_string());
    std::fs::write(&steward.config, config.to_string()).expect("the file is written");
    steward.signal("-HUP").await;
    wait_until(&relay, |state| state.subscriptions == 1).await;
    move_all_slices(&relay, &discovery, "A", "B").await;
    // The same at shutdown.
    config["relay"]["address"] = json!(unresponsive.to_string());
    std::fs::write(&steward.config, config.to_string()).expect("the file is written");
    steward.signal("-HUP").await;
    steward.wait_for_log("no connection in time").await;
    steward.signal("-TERM").await;
    assert_eq!(steward.wait_exit().await.code(), Some(0));
}

#[tokio::test]
async fn an_invalid_configuration_exits_with_code_two_and_says_what_was_expected() {
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
        std::fs::write(&path, text).expect("the file is written");
        let run =
            Command::new(env!("CARGO_BIN_EXE_ravenspar")).arg("platform").env("RELAY_CONFIG", &path).output();
        let output = timeout(TEST_TIMEOUT, run).await.expect("in time").expect("it ran");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{stderr}");
        assert!(stderr.contains(expected) && stderr.contains("config.json"), "{stderr}");
    }
    let mut run = Command::new(env!("CARGO_BIN_EXE_ravenspar"));
    run.arg("platform").env("RELAY_CONFIG", dir.path().join("none")).stderr(Stdio::null());
    assert_eq!(run.status().await.expect("it ran").code(), Some(2));
}

#[tokio::test]
async fn a_file_half_written_at_the_signal_is_read_once_it_is_complete() {
    let (relay, discovery, mut config, mut steward) = start_serving().await;
    let (new_relay, new_discovery) =
        (relay.at_new_address().await.expect("a relay"), Discovery::start(&["A", "B"]).await);
    let new_discovery = new_discovery.expect("discovery");
    config["relay"]["address"] = json!(new_relay.address.to_string());
    config["discovery"] = json!(new_discovery.address.to_string());
    let text = config.to_string();
    std::fs::write(&steward.config, &text[..text.len() / 2]).expect("the file is written");
    steward.signal("-HUP").await;
    steward.wait_for_log("the previous one stays in use").await;
    // The old addresses close for good, and no other signal is sent.
    drop((relay, discovery));
    std::fs::write(&steward.config, &text).expect("the file is written");
    move_all_slices(&new_relay, &new_discovery, "A", "B").await;
}

#[tokio::test]
async fn an_unchanged_address_keeps_its_connections() {
    let (relay, discovery, mut config, mut steward) = start_serving().await;
    move_all_slices(&relay, &discovery, "A", "B").await;
    let new_discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    config["discovery"] = json!(new_discovery.address.to_string());
    std::fs::write(&steward.config, config.to_string()).expect("the file is written");
    steward.signal("-HUP").await;
    steward.wait_for_log("configuration read again").await;
    move_all_slices(&relay, &new_discovery, "B", "A").await;
    assert_eq!(relay.with(|state| state.subscriptions), 1, "the subscription was kept");
    let connections = new_discovery.connections();
    let new_relay = relay.at_new_address().await.expect("a relay");
    config["relay"]["address"] = json!(new_relay.address.to_string());
    std::fs::write(&steward.config, config.to_string()).expect("the file is written");
    steward.signal("-HUP").await;
    wait_until(&new_relay, |state| state.subscriptions == 2).await;
    move_all_slices(&new_relay, &new_discovery, "A", "B").await;
    assert_eq!(new_discovery.connections(), connections, "the watch was kept");
    // The same file again changes nothing.
    steward.signal("-HUP").await;
    while !steward.wait_for_log("configuration read again").await.contains("changed=false") {}
    move_all_slices(&new_relay, &new_discovery, "B", "A").await;
    assert_eq!((new_relay.with(|state| state.subscriptions), new_discovery.connections()), (2, connections));
}

#[tokio::test]
async fn classes_and_zones_are_known_by_the_names_in_the_settings() {
    let relay = Relay::start(2, "A", 2).await.expect("a relay");
    let discovery = Discovery::start(&["A", "B"]).await.expect("discovery");
    let mut config = config(&relay, &discovery);
    let names = ["saldo, visão", "crédito já", "crédito_já"];
    relay.with(|state| state.classes = names.map(str::to_owned).to_vec());
    config["settings"]["classes"] = names.iter().map(|name| json!({"name": name, "worth": 1.0})).collect();
    config["settings"]["family_info"]["mutating"] = json!([false, true, false]);
    config["settings"]["azs"] = json!(["São Luís", "belém, doca 2"]);
    let steward = Steward::start(&config).await;
    let mut collector = steward.connect().await;
    collector
        .write_all(&frame(r#"{"msg":"SOURCE","site":"belém, doca 2"}"#))
        .await
        .expect("the message is sent");
    assert!(answers_ping(&mut collector).await, "a zone of the settings");
    wait_until(&relay, |state| state.subscriptions == 1).await;
    move_all_slices(&relay, &discovery, "A", "B").await;
    // B answers all requests late; they are of one class.
    let late_reports = r#"{"msg":"LOAD","site":"belém, doca 2","target":"B","count":100,"fail":0,"mean":5000.0,"over":500.0}"#;
    let requests = r#"{"msg":"SHARD","range":0,"lane":"crédito já","count":200,"fail":0,"over":500.0}"#;
    let levels = |state: &mut RelayState| {
        let levels: Vec<Value> = state
            .orders
            .iter()
            .filter(|order| order["verb"] == "admit" && order["cluster"] == 0)
            .cloned()
            .collect();
        levels
    };
    let reported = async {
        while relay.with(levels).is_empty() {
            collector.write_all(&frame(late_reports)).await.expect("the message is sent");
            collector.write_all(&frame(requests)).await.expect("the message is sent");
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(Duration::from_secs(20), reported).await.expect("a level is ordered in time");
    let levels = relay.with(levels);
    assert_eq!(relay.with(|state| state.refused_orders), 0);
    assert!(
        levels.iter().all(|level| level["routes"] == json!(["crédito já"])),
        "levels name the class alone: {levels:?}"
    );
}
